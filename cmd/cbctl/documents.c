/* Published documents, from a directory or from the platform. */
#include "cbctl.h"

#include <stdlib.h>
#include <string.h>

static const char *const kinds[] = { "account", "template", "vms" };

static void document_free(gpointer p)
{
	struct document *doc = p;

	g_free(doc->key);
	g_free(doc->text);
	g_free(doc);
}

static void add(struct documents *d, char *key, char *text)
{
	struct document *doc = g_new(struct document, 1);

	doc->key = key;
	doc->text = text;
	g_ptr_array_add(d->list, doc);
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	const struct document *const *x = a;
	const struct document *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static enum exit_code file_load(struct documents *d, const char *dir,
				const char *kind, const char *name)
{
	char *path = g_build_filename(dir, kind, name, NULL);
	GError *error = NULL;
	char *text = NULL;
	enum exit_code code = EXIT_OK;

	if (g_file_get_contents(path, &text, NULL, &error)) {
		add(d, g_strdup_printf("%s/%s", kind, name), text);
	} else {
		complain("read", path, "%s", error->message);
		g_error_free(error);
		code = EXIT_USAGE;
	}
	g_free(path);
	return code;
}

static bool is_editors(const char *name)
{
	return name[0] == '.' || g_str_has_suffix(name, "~");
}

static enum exit_code kind_load(struct documents *d, const char *dir,
				const char *kind)
{
	char *path = g_build_filename(dir, kind, NULL);
	GDir *entries = g_dir_open(path, 0, NULL);
	enum exit_code code = EXIT_OK;
	const char *name;

	g_free(path);
	if (!entries) /* a source needs no templates, or no list of VMs */
		return EXIT_OK;
	while ((name = g_dir_read_name(entries)))
		if (!is_editors(name))
			code = worse(code, file_load(d, dir, kind, name));
	g_dir_close(entries);
	return code;
}

static enum exit_code directory_load(const char *dir, struct documents *d)
{
	enum exit_code code = EXIT_OK;

	if (!g_file_test(dir, G_FILE_TEST_IS_DIR)) {
		complain("read", dir, "not a directory");
		return EXIT_USAGE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		code = worse(code, kind_load(d, dir, kinds[i]));
	return code;
}

static enum exit_code key_load(struct documents *d, const char *url,
			       const char *key)
{
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *at = g_strdup_printf("%s/v1/keys/%s", url, escaped);
	GString *body = g_string_new(NULL);
	enum exit_code code = ask_url("read", url, at, body);

	if (code == EXIT_OK)
		add(d, g_strdup(key), g_strdup(body->str));
	g_string_free(body, TRUE);
	g_free(at);
	g_free(escaped);
	return code;
}

/* Lines "REVISION KEY" of the platform's list. */
static enum exit_code listed_load(struct documents *d, const char *url,
				  const char *list)
{
	char **lines = g_strsplit(list, "\n", -1);
	enum exit_code code = EXIT_OK;

	for (char **l = lines; *l && code == EXIT_OK; l++) {
		const char *key = strchr(*l, ' ');

		if (key)
			code = key_load(d, url, key + 1);
	}
	g_strfreev(lines);
	return code;
}

static enum exit_code platform_load(const char *url, struct documents *d)
{
	GString *list = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds) && code == EXIT_OK; i++) {
		char *at =
			g_strdup_printf("%s/v1/list?prefix=%s/", url, kinds[i]);

		code = ask_url("list", url, at, list);
		if (code == EXIT_OK)
			code = listed_load(d, url, list->str);
		g_free(at);
	}
	g_string_free(list, TRUE);
	return code;
}

/* A wrong directory would otherwise look like one without mistakes. */
static enum exit_code none_at_all(const char *source)
{
	complain("read", source, "no account/, template/ or vms/ in it");
	return EXIT_USAGE;
}

/**
 * documents_load() - read all that is published
 * @source: directory laid out as the platform's keys, or the platform's URL
 * @out: filled; to be freed with documents_free() in every case
 *
 * Return: EXIT_OK, or what the process should end with; it was told why.
 */
enum exit_code documents_load(const char *source, struct documents *out)
{
	enum exit_code code;

	out->list = g_ptr_array_new_with_free_func(document_free);
	if (g_str_has_prefix(source, "http://") ||
	    g_str_has_prefix(source, "https://"))
		code = platform_load(source, out);
	else
		code = directory_load(source, out);
	g_ptr_array_sort(out->list, by_key);
	if (code == EXIT_OK && !out->list->len)
		return none_at_all(source);
	return code;
}

/**
 * documents_free() - free them
 * @d: documents
 */
void documents_free(struct documents *d)
{
	g_ptr_array_free(d->list, TRUE);
}

/**
 * document_name() - name of a document of a kind
 * @doc: document
 * @kind: account, template or vms
 *
 * Return: the name after the slash, or NULL when it is of another kind.
 */
const char *document_name(const struct document *doc, const char *kind)
{
	size_t size = strlen(kind);

	if (strncmp(doc->key, kind, size) || doc->key[size] != '/')
		return NULL;
	return doc->key + size + 1;
}

/**
 * documents_find() - text of a document
 * @d: documents
 * @kind: account, template or vms
 * @name: its name
 *
 * Return: the text, or NULL.
 */
const char *documents_find(const struct documents *d, const char *kind,
			   const char *name)
{
	for (guint i = 0; i < d->list->len; i++) {
		const struct document *doc = g_ptr_array_index(d->list, i);
		const char *its = document_name(doc, kind);

		if (its && !strcmp(its, name))
			return doc->text;
	}
	return NULL;
}

static const char *template_find(void *ctx, const char *name)
{
	return documents_find(ctx, "template", name);
}

/**
 * documents_templates() - templates among the documents
 * @d: documents
 *
 * Return: a port that finds them.
 */
struct template_source documents_templates(struct documents *d)
{
	return (struct template_source){ d, template_find };
}

/**
 * account_set_load() - render every account
 * @d: documents
 * @out: those that render; to be freed with account_set_free()
 * @m: mistakes of the others, and warnings
 */
void account_set_load(struct documents *d, struct account_set *out,
		      struct mistakes *m)
{
	out->accounts =
		g_ptr_array_new_with_free_func((GDestroyNotify)account_free);
	for (guint i = 0; i < d->list->len; i++) {
		const struct document *doc = g_ptr_array_index(d->list, i);
		const char *name = document_name(doc, "account");
		struct account_conf *a;

		if (!name)
			continue;
		a = publication_render(name, doc->text, documents_templates(d),
				       NULL, m);
		if (a)
			g_ptr_array_add(out->accounts, a);
	}
}

/**
 * account_set_find() - an account by name
 * @s: accounts
 * @name: name
 *
 * Return: the account, or NULL.
 */
const struct account_conf *account_set_find(const struct account_set *s,
					    const char *name)
{
	for (guint i = 0; i < s->accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(s->accounts, i);

		if (!strcmp(a->name, name))
			return a;
	}
	return NULL;
}

/**
 * account_set_free() - free them
 * @s: accounts
 */
void account_set_free(struct account_set *s)
{
	g_ptr_array_free(s->accounts, TRUE);
}
