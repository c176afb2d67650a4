#include "platform.h"

#include <errno.h>
#include <string.h>

#define VERSIONS_MAX 64

/* A value of a key; @value is NULL where the key was deleted. */
struct version {
	uint64_t revision;
	GString *value;
};

/* The versions of a key, oldest first; the oldest leave at VERSIONS_MAX. */
struct key {
	GArray *versions;
};

struct keys {
	GTree *tree;
	uint64_t revision;
};

static void version_clear(gpointer p)
{
	struct version *v = p;

	if (v->value)
		g_string_free(v->value, TRUE);
}

static void key_free(gpointer p)
{
	struct key *key = p;

	g_array_free(key->versions, TRUE);
	g_free(key);
}

static gint compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

/**
 * keys_new() - an empty service
 *
 * Return: the keys.
 */
struct keys *keys_new(void)
{
	struct keys *k = g_new0(struct keys, 1);

	k->tree = g_tree_new_full(compare, NULL, g_free, key_free);
	return k;
}

void keys_free(struct keys *k)
{
	if (!k)
		return;
	g_tree_destroy(k->tree);
	g_free(k);
}

/**
 * keys_name_ok() - whether a key may have this name
 * @key: name
 *
 * Return: true for parts of letters, digits, '.', '_' and '-', split by
 * single slashes.
 */
bool keys_name_ok(const char *key)
{
	const char *at;

	if (!*key || *key == '/' || strlen(key) >= KEY_MAX_BYTES)
		return false;
	for (at = key; *at; at++) {
		if (*at == '/' && (at[1] == '/' || at[1] == '\0'))
			return false;
		if (!g_ascii_isalnum(*at) && !strchr("._-/", *at))
			return false;
	}
	return true;
}

static struct key *key_add(struct keys *k, const char *name)
{
	struct key *key = g_new0(struct key, 1);

	key->versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	g_array_set_clear_func(key->versions, version_clear);
	g_tree_insert(k->tree, g_strdup(name), key);
	return key;
}

static void append(struct keys *k, struct key *key, GString *take)
{
	struct version v = { ++k->revision, take };

	if (key->versions->len == VERSIONS_MAX)
		g_array_remove_index(key->versions, 0);
	g_array_append_val(key->versions, v);
}

static const struct version *at_revision(const struct key *key, uint64_t as_of)
{
	guint i;

	for (i = key->versions->len; i > 0; i--) {
		const struct version *v =
			&g_array_index(key->versions, struct version, i - 1);

		if (v->revision <= as_of)
			return v;
	}
	return NULL;
}

/**
 * keys_put() - set a value
 * @k: keys
 * @key: name
 * @value: value, copied
 * @size_bytes: its size
 * @revision: filled with the service's new revision
 *
 * Return: 0; -EINVAL for a bad name; -EFBIG for a value over 1 MB.
 */
int keys_put(struct keys *k, const char *key, const void *value,
	     size_t size_bytes, uint64_t *revision)
{
	struct key *found;

	if (!keys_name_ok(key))
		return -EINVAL;
	if (size_bytes > VALUE_MAX_BYTES)
		return -EFBIG;
	found = g_tree_lookup(k->tree, key);
	if (!found)
		found = key_add(k, key);
	append(k, found, g_string_new_len(value, (gssize)size_bytes));
	*revision = k->revision;
	return 0;
}

/**
 * keys_delete() - take a key away
 * @k: keys
 * @key: name
 * @revision: filled with the service's new revision
 *
 * Return: 0, or -ENOENT.
 */
int keys_delete(struct keys *k, const char *key, uint64_t *revision)
{
	struct key *found = g_tree_lookup(k->tree, key);
	const struct version *v =
		found ? at_revision(found, REVISION_LATEST) : NULL;

	if (!v || !v->value)
		return -ENOENT;
	append(k, found, NULL);
	*revision = k->revision;
	return 0;
}

uint64_t keys_revision(const struct keys *k)
{
	return k->revision;
}

/**
 * keys_get() - read a value
 * @k: keys
 * @key: name
 * @as_of: serve the state at this revision
 * @out: the value is appended
 * @revision: filled with the key's revision
 *
 * Return: 0, or -ENOENT.
 */
int keys_get(const struct keys *k, const char *key, uint64_t as_of,
	     GString *out, uint64_t *revision)
{
	const struct key *found = g_tree_lookup(k->tree, key);
	const struct version *v = found ? at_revision(found, as_of) : NULL;

	if (!v || !v->value)
		return -ENOENT;
	g_string_append_len(out, v->value->str, (gssize)v->value->len);
	*revision = v->revision;
	return 0;
}

/* Arguments of a walk over all keys, and its result. */
struct walk {
	const char *prefix;
	uint64_t after;
	uint64_t as_of;
	bool deleted_too;
	GString *out;
	uint32_t n;
};

static gboolean visit(gpointer name, gpointer value, gpointer arg)
{
	struct walk *w = arg;
	const struct version *v = at_revision(value, w->as_of);

	if (!v || v->revision <= w->after)
		return FALSE;
	if (!v->value && !w->deleted_too)
		return FALSE;
	if (!g_str_has_prefix(name, w->prefix))
		return FALSE;
	w->n++;
	if (w->out)
		g_string_append_printf(w->out, "%" G_GUINT64_FORMAT " %s\n",
				       v->revision, (const char *)name);
	return FALSE;
}

/**
 * keys_list() - name the keys under a prefix
 * @k: keys
 * @prefix: prefix
 * @as_of: serve the state at this revision
 * @out: lines "REVISION KEY" are appended
 *
 * Return: how many.
 */
uint32_t keys_list(const struct keys *k, const char *prefix, uint64_t as_of,
		   GString *out)
{
	struct walk w = { prefix, 0, as_of, false, out, 0 };

	g_tree_foreach(k->tree, visit, &w);
	return w.n;
}

/**
 * keys_changes() - name the keys that changed, deleted ones too
 * @k: keys
 * @after: past this revision
 * @as_of: serve the state at this revision
 * @out: lines "REVISION KEY" are appended; NULL to only count
 *
 * Return: how many.
 */
uint32_t keys_changes(const struct keys *k, uint64_t after, uint64_t as_of,
		      GString *out)
{
	struct walk w = { "", after, as_of, true, out, 0 };

	if (after >= MIN(k->revision, as_of))
		return 0;
	g_tree_foreach(k->tree, visit, &w);
	return w.n;
}
