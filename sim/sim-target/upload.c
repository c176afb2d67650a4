#include "target.h"

/**
 * struct upload - a body on its way in
 * @next_num: block awaited
 * @expiry_ns: given up when no block came until then
 */
struct upload {
	uint32_t next_num;
	uint64_t expiry_ns;
};

/* Keyed by "PEER ID": RFC 7959 ties blocks to the sender's endpoint. */
struct uploads {
	GHashTable *table;
	uint64_t lifetime_ns;
};

/**
 * uploads_new() - the bodies on their way in
 * @lifetime_ns: how long a body waits for its next block
 *
 * Return: an empty table.
 */
struct uploads *uploads_new(uint64_t lifetime_ns)
{
	struct uploads *u = g_new0(struct uploads, 1);

	u->lifetime_ns = lifetime_ns;
	u->table =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return u;
}

void uploads_free(struct uploads *u)
{
	if (!u)
		return;
	g_hash_table_destroy(u->table);
	g_free(u);
}

static gboolean expired(gpointer key, gpointer value, gpointer now_ns)
{
	const struct upload *up = value;

	(void)key;
	return up->expiry_ns <= *(uint64_t *)now_ns;
}

static struct upload *begin(struct uploads *u, const char *key, uint64_t now_ns)
{
	struct upload *up = g_new0(struct upload, 1);

	g_hash_table_foreach_remove(u->table, expired, &now_ns);
	g_hash_table_replace(u->table, g_strdup(key), up);
	return up;
}

/**
 * uploads_block() - take a block
 * @u: bodies on their way in
 * @peer: sender's endpoint
 * @id: id of the request
 * @num: number of the block; 0 begins the body anew
 * @more: more blocks follow
 * @now_ns: time
 *
 * Return: the verdict; a gap or a whole body ends the upload.
 */
enum upload_verdict uploads_block(struct uploads *u, uint64_t peer,
				  const char *id, uint32_t num, bool more,
				  uint64_t now_ns)
{
	char key[64];
	struct upload *up;

	g_snprintf(key, sizeof(key), "%" G_GUINT64_FORMAT " %s", peer, id);
	up = num ? g_hash_table_lookup(u->table, key) : begin(u, key, now_ns);
	if (!up || up->next_num != num) {
		g_hash_table_remove(u->table, key);
		return UPLOAD_GAP;
	}
	if (!more) {
		g_hash_table_remove(u->table, key);
		return UPLOAD_WHOLE;
	}
	up->next_num++;
	up->expiry_ns = now_ns + u->lifetime_ns;
	return UPLOAD_MORE;
}
