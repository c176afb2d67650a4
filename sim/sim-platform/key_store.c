#include "platform.h"

#include <errno.h>
#include <string.h>

#define VERSIONS_MAX 64

/* Value of a key since a revision; @value is NULL if the key was deleted. */
struct version {
	uint64_t revision;
	GString *value;
};

/* Versions of a key, oldest first; the last VERSIONS_MAX are kept. */
struct key {
	GArray *versions;
};

/* Maps key names to struct key; @revision is that of the latest change. */
struct key_store {
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
 * key_store_new() - create an empty key store
 *
 * Return: key store at revision 0, to be freed with key_store_free().
 */
struct key_store *key_store_new(void)
{
	struct key_store *store = g_new0(struct key_store, 1);

	store->tree = g_tree_new_full(compare, NULL, g_free, key_free);
	return store;
}

void key_store_free(struct key_store *store)
{
	if (!store)
		return;
	g_tree_destroy(store->tree);
	g_free(store);
}

/**
 * key_store_name_is_valid() - check the name of a key
 * @key: name
 *
 * Return: true if the name is shorter than KEY_MAX_BYTES and consists of
 * components of letters, digits, '.', '_' and '-', separated by single slashes.
 */
bool key_store_name_is_valid(const char *key)
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

static struct key *key_add(struct key_store *store, const char *name)
{
	struct key *key = g_new0(struct key, 1);

	key->versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	g_array_set_clear_func(key->versions, version_clear);
	g_tree_insert(store->tree, g_strdup(name), key);
	return key;
}

static void append_version(struct key_store *store, struct key *key,
			   GString *value)
{
	struct version v = { ++store->revision, value };

	if (key->versions->len == VERSIONS_MAX)
		g_array_remove_index(key->versions, 0);
	g_array_append_val(key->versions, v);
}

static const struct version *version_at(const struct key *key, uint64_t as_of)
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
 * key_store_put() - set the value of a key
 * @store: key store
 * @key: name of the key, created if it does not exist
 * @value: value, copied
 * @size_bytes: size of @value
 * @revision: receives the new revision of the store
 *
 * Return: 0; -EINVAL for an invalid name; -EFBIG for a value over
 * VALUE_MAX_BYTES.
 */
int key_store_put(struct key_store *store, const char *key, const void *value,
		  size_t size_bytes, uint64_t *revision)
{
	struct key *found;

	if (!key_store_name_is_valid(key))
		return -EINVAL;
	if (size_bytes > VALUE_MAX_BYTES)
		return -EFBIG;
	found = g_tree_lookup(store->tree, key);
	if (!found)
		found = key_add(store, key);
	append_version(store, found,
		       g_string_new_len(value, (gssize)size_bytes));
	*revision = store->revision;
	return 0;
}

/**
 * key_store_delete() - delete a key
 * @store: key store
 * @key: name of the key
 * @revision: receives the new revision of the store
 *
 * Return: 0, or -ENOENT if the key does not exist.
 */
int key_store_delete(struct key_store *store, const char *key,
		     uint64_t *revision)
{
	struct key *found = g_tree_lookup(store->tree, key);
	const struct version *v =
		found ? version_at(found, REVISION_LATEST) : NULL;

	if (!v || !v->value)
		return -ENOENT;
	append_version(store, found, NULL);
	*revision = store->revision;
	return 0;
}

uint64_t key_store_revision(const struct key_store *store)
{
	return store->revision;
}

/**
 * key_store_get() - read the value of a key
 * @store: key store
 * @key: name of the key
 * @as_of: revision of the state to read
 * @out: string to append the value to
 * @revision: receives the revision of the key's last change up to @as_of
 *
 * Return: 0, or -ENOENT if the key does not exist in that state.
 */
int key_store_get(const struct key_store *store, const char *key,
		  uint64_t as_of, GString *out, uint64_t *revision)
{
	const struct key *found = g_tree_lookup(store->tree, key);
	const struct version *v = found ? version_at(found, as_of) : NULL;

	if (!v || !v->value)
		return -ENOENT;
	g_string_append_len(out, v->value->str, (gssize)v->value->len);
	*revision = v->revision;
	return 0;
}

/* Filter for a walk over all keys, and the number of matching keys. */
struct key_filter {
	const char *prefix;
	uint64_t after;
	uint64_t as_of;
	bool include_deleted;
	GString *out;
	uint32_t n_matches;
};

static gboolean match_key(gpointer name, gpointer value, gpointer arg)
{
	struct key_filter *filter = arg;
	const struct version *v = version_at(value, filter->as_of);

	if (!v || v->revision <= filter->after)
		return FALSE;
	if (!v->value && !filter->include_deleted)
		return FALSE;
	if (!g_str_has_prefix(name, filter->prefix))
		return FALSE;
	filter->n_matches++;
	if (filter->out)
		g_string_append_printf(filter->out,
				       "%" G_GUINT64_FORMAT " %s\n",
				       v->revision, (const char *)name);
	return FALSE;
}

/**
 * key_store_list() - list the keys with a prefix
 * @store: key store
 * @prefix: prefix of the names, "" for all keys
 * @as_of: revision of the state to list
 * @out: string to append lines "REVISION KEY" to, sorted by key
 *
 * Return: number of keys.
 */
uint32_t key_store_list(const struct key_store *store, const char *prefix,
			uint64_t as_of, GString *out)
{
	struct key_filter filter = { prefix, 0, as_of, false, out, 0 };

	g_tree_foreach(store->tree, match_key, &filter);
	return filter.n_matches;
}

/**
 * key_store_changes() - list the keys that changed, including deleted ones
 * @store: key store
 * @after: revision after which the keys changed
 * @as_of: revision of the state to list
 * @out: string to append lines "REVISION KEY" to; NULL to count only
 *
 * Return: number of keys.
 */
uint32_t key_store_changes(const struct key_store *store, uint64_t after,
			   uint64_t as_of, GString *out)
{
	struct key_filter filter = { "", after, as_of, true, out, 0 };

	if (after >= MIN(store->revision, as_of))
		return 0;
	g_tree_foreach(store->tree, match_key, &filter);
	return filter.n_matches;
}
