#include "target.h"

/**
 * struct upload - an incomplete upload
 * @next_num: number of the next block
 * @expiry_ns: time at which the upload is dropped without a further block
 */
struct upload {
	uint32_t next_num;
	uint64_t expiry_ns;
};

/* Keyed by "PEER ID": in RFC 7959 the blocks of a body have one sender. */
struct uploads {
	GHashTable *table;
	uint64_t lifetime_ns;
};

/**
 * uploads_new() - create a table of incomplete uploads
 * @lifetime_ns: time after which an upload without a further block is dropped
 *
 * Return: empty table, to be freed with uploads_free().
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
 * uploads_add_block() - record a block of an upload
 * @u: incomplete uploads
 * @peer: address and port of the sender
 * @id: id of the request
 * @num: number of the block; 0 restarts the upload
 * @more: more blocks follow
 * @now_ns: monotonic time
 *
 * Return: whether more blocks must follow, the body is complete, or the block
 * was out of order; the upload is removed in the last two cases.
 */
enum upload_verdict uploads_add_block(struct uploads *u, uint64_t peer,
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
		return UPLOAD_COMPLETE;
	}
	up->next_num++;
	up->expiry_ns = now_ns + u->lifetime_ns;
	return UPLOAD_MORE;
}
