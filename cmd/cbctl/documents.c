/* Published documents, read from a directory or from the platform. */
#include "cbctl.h"

#include <stdlib.h>
#include <string.h>

static const char *const document_kinds[] = { "account", "template", "vms" };

static void document_free(gpointer p)
{
	struct document *doc = p;

	g_free(doc->key);
	g_free(doc->text);
	g_free(doc);
}

static void add_document(struct documents *documents, char *key, char *text)
{
	struct document *doc = g_new(struct document, 1);

	doc->key = key;
	doc->text = text;
	g_ptr_array_add(documents->list, doc);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct document *const *x = a;
	const struct document *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static enum exit_code load_file(struct documents *documents, const char *dir,
				const char *kind, const char *name)
{
	char *path = g_build_filename(dir, kind, name, NULL);
	GError *error = NULL;
	char *text = NULL;
	enum exit_code code = EXIT_OK;

	if (g_file_get_contents(path, &text, NULL, &error)) {
		add_document(documents, g_strdup_printf("%s/%s", kind, name),
			     text);
	} else {
		report_error("read", path, "%s", error->message);
		g_error_free(error);
		code = EXIT_USAGE;
	}
	g_free(path);
	return code;
}

static bool is_editor_file(const char *name)
{
	return name[0] == '.' || g_str_has_suffix(name, "~");
}

static enum exit_code load_kind(struct documents *documents, const char *dir,
				const char *kind)
{
	char *path = g_build_filename(dir, kind, NULL);
	GDir *entries = g_dir_open(path, 0, NULL);
	enum exit_code code = EXIT_OK;
	const char *name;

	g_free(path);
	if (!entries) /* template/ and vms/ are optional */
		return EXIT_OK;
	while ((name = g_dir_read_name(entries)))
		if (!is_editor_file(name))
			code = worse_exit_code(code, load_file(documents, dir,
							       kind, name));
	g_dir_close(entries);
	return code;
}

static enum exit_code load_directory(const char *dir,
				     struct documents *documents)
{
	enum exit_code code = EXIT_OK;

	if (!g_file_test(dir, G_FILE_TEST_IS_DIR)) {
		report_error("read", dir, "not a directory");
		return EXIT_USAGE;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(document_kinds); i++)
		code = worse_exit_code(code, load_kind(documents, dir,
						       document_kinds[i]));
	return code;
}

static enum exit_code load_key(struct documents *documents, const char *url,
			       const char *key)
{
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *key_url = g_strdup_printf("%s/v1/keys/%s", url, escaped);
	GString *body = g_string_new(NULL);
	enum exit_code code = fetch_url("read", url, key_url, body);

	if (code == EXIT_OK)
		add_document(documents, g_strdup(key), g_strdup(body->str));
	g_string_free(body, TRUE);
	g_free(key_url);
	g_free(escaped);
	return code;
}

/* Loads the keys of the platform's list, lines "REVISION KEY". */
static enum exit_code load_listed_keys(struct documents *documents,
				       const char *url, const char *list)
{
	char **lines = g_strsplit(list, "\n", -1);
	enum exit_code code = EXIT_OK;

	for (char **l = lines; *l && code == EXIT_OK; l++) {
		const char *key = strchr(*l, ' ');

		if (key)
			code = load_key(documents, url, key + 1);
	}
	g_strfreev(lines);
	return code;
}

static enum exit_code load_platform(const char *url,
				    struct documents *documents)
{
	GString *list = g_string_new(NULL);
	enum exit_code code = EXIT_OK;

	for (size_t i = 0; i < G_N_ELEMENTS(document_kinds) && code == EXIT_OK;
	     i++) {
		char *list_url = g_strdup_printf("%s/v1/list?prefix=%s/", url,
						 document_kinds[i]);

		code = fetch_url("list", url, list_url, list);
		if (code == EXIT_OK)
			code = load_listed_keys(documents, url, list->str);
		g_free(list_url);
	}
	g_string_free(list, TRUE);
	return code;
}

/* Without this error, a wrong directory would pass as one without mistakes. */
static enum exit_code report_no_documents(const char *source)
{
	report_error("read", source, "no account/, template/ or vms/ in it");
	return EXIT_USAGE;
}

/**
 * documents_load() - read all published documents and report failures
 * @source: directory laid out as the platform's keys, or the platform's URL
 * @out: receives the documents, on an error those read so far; to be freed with
 *	documents_free() in every case
 *
 * Return: EXIT_OK, or the exit code after an error message: EXIT_USAGE when
 * @source can't be read or has no documents, EXIT_PROBLEMS or
 * EXIT_UNREACHABLE as fetch_url().
 */
enum exit_code documents_load(const char *source, struct documents *out)
{
	enum exit_code code;

	out->list = g_ptr_array_new_with_free_func(document_free);
	if (g_str_has_prefix(source, "http://") ||
	    g_str_has_prefix(source, "https://"))
		code = load_platform(source, out);
	else
		code = load_directory(source, out);
	g_ptr_array_sort(out->list, compare_keys);
	if (code == EXIT_OK && !out->list->len)
		return report_no_documents(source);
	return code;
}

/**
 * documents_free() - free documents
 * @documents: documents; the structure itself belongs to the caller
 */
void documents_free(struct documents *documents)
{
	g_ptr_array_free(documents->list, TRUE);
}

/**
 * document_name() - name of a document of a given kind
 * @doc: document
 * @kind: "account", "template" or "vms"
 *
 * Return: the part of the key after the slash, owned by @doc, or NULL when the
 * document is of another kind.
 */
const char *document_name(const struct document *doc, const char *kind)
{
	size_t size = strlen(kind);

	if (strncmp(doc->key, kind, size) || doc->key[size] != '/')
		return NULL;
	return doc->key + size + 1;
}

/**
 * documents_find() - text of a document by kind and name
 * @documents: documents to search
 * @kind: "account", "template" or "vms"
 * @name: part of the key after the slash
 *
 * Return: the text, owned by @documents, or NULL when there is none.
 */
const char *documents_find(const struct documents *documents, const char *kind,
			   const char *name)
{
	for (guint i = 0; i < documents->list->len; i++) {
		const struct document *doc =
			g_ptr_array_index(documents->list, i);
		const char *doc_name = document_name(doc, kind);

		if (doc_name && !strcmp(doc_name, name))
			return doc->text;
	}
	return NULL;
}

static const char *template_find(void *ctx, const char *name)
{
	return documents_find(ctx, "template", name);
}

/**
 * documents_templates() - source of templates for publication_render()
 * @documents: documents; has to outlive the source
 *
 * Return: a source that finds the templates among @documents.
 */
struct template_source documents_templates(struct documents *documents)
{
	return (struct template_source){ documents, template_find };
}

/**
 * account_set_load() - render every account
 * @documents: documents of a source
 * @out: receives the accounts that render without errors; to be freed with
 *	account_set_free()
 * @mistakes: receives the errors of the other accounts, and all warnings
 */
void account_set_load(struct documents *documents, struct account_set *out,
		      struct mistakes *mistakes)
{
	out->accounts =
		g_ptr_array_new_with_free_func((GDestroyNotify)account_free);
	for (guint i = 0; i < documents->list->len; i++) {
		const struct document *doc =
			g_ptr_array_index(documents->list, i);
		const char *name = document_name(doc, "account");
		struct account_conf *a;

		if (!name)
			continue;
		a = publication_render(name, doc->text,
				       documents_templates(documents), NULL,
				       mistakes);
		if (a)
			g_ptr_array_add(out->accounts, a);
	}
}

/**
 * account_set_find() - find an account by name
 * @set: accounts to search
 * @name: account's name
 *
 * Return: the account, owned by @set, or NULL when there is none.
 */
const struct account_conf *account_set_find(const struct account_set *set,
					    const char *name)
{
	for (guint i = 0; i < set->accounts->len; i++) {
		const struct account_conf *a =
			g_ptr_array_index(set->accounts, i);

		if (!strcmp(a->name, name))
			return a;
	}
	return NULL;
}

/**
 * account_set_free() - free accounts
 * @set: accounts; the structure itself belongs to the caller
 */
void account_set_free(struct account_set *set)
{
	g_ptr_array_free(set->accounts, TRUE);
}
