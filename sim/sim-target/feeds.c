#include "target.h"

#include <string.h>

/* @n_lost of the feeds in @table are lost. */
struct feeds {
	GHashTable *table;
	uint32_t n_lost;
};

static guint feed_hash(gconstpointer p)
{
	const struct feed *f = p;
	uint64_t token = 0;

	memcpy(&token, f->token, f->token_len);
	return (guint)hash_u64(token, (uint64_t)(uintptr_t)f->session);
}

static gboolean feed_equal(gconstpointer a, gconstpointer b)
{
	const struct feed *x = a;
	const struct feed *y = b;

	return x->session == y->session && x->token_len == y->token_len &&
	       !memcmp(x->token, y->token, x->token_len);
}

static void feed_free(gpointer p)
{
	struct feed *f = p;

	coap_session_release(f->session);
	g_free(f);
}

struct feeds *feeds_new(void)
{
	struct feeds *f = g_new0(struct feeds, 1);

	f->table =
		g_hash_table_new_full(feed_hash, feed_equal, feed_free, NULL);
	return f;
}

void feeds_free(struct feeds *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->table);
	g_free(f);
}

static void fill_key(struct feed *key, coap_session_t *session,
		     coap_bin_const_t token)
{
	memset(key, 0, sizeof(*key));
	key->session = session;
	key->token_len = (uint8_t)MIN(token.length, TOKEN_MAX_BYTES);
	memcpy(key->token, token.s, key->token_len);
}

/**
 * feeds_find() - a feed by the request that opened it
 * @f: feeds
 * @session: libcoap's session
 * @token: token of the request
 *
 * Return: the feed, or NULL.
 */
struct feed *feeds_find(struct feeds *f, coap_session_t *session,
			coap_bin_const_t token)
{
	struct feed key;

	fill_key(&key, session, token);
	return g_hash_table_lookup(f->table, &key);
}

/**
 * feeds_add() - note a feed that was opened
 * @f: feeds
 * @session: libcoap's session
 * @token: token of the request
 * @id: its id
 *
 * Return: the feed.
 */
struct feed *feeds_add(struct feeds *f, coap_session_t *session,
		       coap_bin_const_t token, const char *id)
{
	struct feed *feed = feeds_find(f, session, token);

	if (feed)
		feeds_remove(f, feed);
	feed = g_new(struct feed, 1);
	fill_key(feed, session, token);
	coap_session_reference(session);
	g_strlcpy(feed->id, id, sizeof(feed->id));
	g_hash_table_add(f->table, feed);
	return feed;
}

/**
 * feeds_remove() - a feed was closed
 * @f: feeds
 * @feed: feed, gone afterwards
 */
void feeds_remove(struct feeds *f, struct feed *feed)
{
	f->n_lost -= feed->lost;
	g_hash_table_remove(f->table, feed);
}

static void lose(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	((struct feed *)value)->lost = true;
}

/**
 * feeds_lose() - forget every open feed without a word to its observer
 * @f: feeds
 */
void feeds_lose(struct feeds *f)
{
	g_hash_table_foreach(f->table, lose, NULL);
	f->n_lost = g_hash_table_size(f->table);
}

/* Arguments of a sweep. */
struct sweep {
	struct feeds *f;
	uint32_t round;
};

static gboolean gone(gpointer key, gpointer value, gpointer arg)
{
	const struct feed *feed = value;
	struct sweep *sweep = arg;

	(void)key;
	if (feed->round >= sweep->round)
		return FALSE;
	sweep->f->n_lost -= feed->lost;
	return TRUE;
}

/**
 * feeds_sweep() - drop the feeds that libcoap has dropped
 * @f: feeds
 * @round: feeds not notified since this round are gone
 *
 * libcoap says nothing when an observer leaves by RST or is given up. Such a
 * feed would count as a connection for ever; that it was not asked for in the
 * last rounds of notifications tells.
 */
void feeds_sweep(struct feeds *f, uint32_t round)
{
	struct sweep sweep = { f, round };

	g_hash_table_foreach_remove(f->table, gone, &sweep);
}

/**
 * feeds_count() - connections that the target knows of
 * @f: feeds
 *
 * Return: feeds open and not lost.
 */
uint32_t feeds_count(const struct feeds *f)
{
	return g_hash_table_size(f->table) - f->n_lost;
}
