#include "target.h"

#include <string.h>

/* @n_lost of the feeds in @table are lost. */
struct observers {
	GHashTable *table;
	uint32_t n_lost;
};

static guint observer_hash(gconstpointer p)
{
	const struct observer *f = p;
	uint64_t token = 0;

	memcpy(&token, f->token, f->token_len);
	return (guint)hash_u64(token, (uint64_t)(uintptr_t)f->session);
}

static gboolean observer_equal(gconstpointer a, gconstpointer b)
{
	const struct observer *x = a;
	const struct observer *y = b;

	return x->session == y->session && x->token_len == y->token_len &&
	       !memcmp(x->token, y->token, x->token_len);
}

static void observer_free(gpointer p)
{
	struct observer *f = p;

	coap_session_release(f->session);
	g_free(f);
}

struct observers *observers_new(void)
{
	struct observers *f = g_new0(struct observers, 1);

	f->table = g_hash_table_new_full(observer_hash, observer_equal,
					 observer_free, NULL);
	return f;
}

void observers_free(struct observers *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->table);
	g_free(f);
}

static void fill_key(struct observer *key, coap_session_t *session,
		     coap_bin_const_t token)
{
	memset(key, 0, sizeof(*key));
	key->session = session;
	key->token_len = (uint8_t)MIN(token.length, TOKEN_MAX_BYTES);
	memcpy(key->token, token.s, key->token_len);
}

/**
 * observers_find() - a feed by the request that opened it
 * @f: feeds
 * @session: libcoap's session
 * @token: token of the request
 *
 * Return: the feed, or NULL.
 */
struct observer *observers_find(struct observers *f, coap_session_t *session,
				coap_bin_const_t token)
{
	struct observer key;

	fill_key(&key, session, token);
	return g_hash_table_lookup(f->table, &key);
}

/**
 * observers_add() - note a feed that was opened
 * @f: feeds
 * @session: libcoap's session
 * @token: token of the request
 * @id: its id
 *
 * Return: the feed.
 */
struct observer *observers_add(struct observers *f, coap_session_t *session,
			       coap_bin_const_t token, const char *id)
{
	struct observer *feed = observers_find(f, session, token);

	if (feed)
		observers_remove(f, feed);
	feed = g_new(struct observer, 1);
	fill_key(feed, session, token);
	coap_session_reference(session);
	g_strlcpy(feed->id, id, sizeof(feed->id));
	g_hash_table_add(f->table, feed);
	return feed;
}

/**
 * observers_remove() - a feed was closed
 * @f: feeds
 * @feed: feed, gone afterwards
 */
void observers_remove(struct observers *f, struct observer *feed)
{
	f->n_lost -= feed->lost;
	g_hash_table_remove(f->table, feed);
}

static void lose(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	((struct observer *)value)->lost = true;
}

/**
 * observers_lose() - forget every open feed without a word to its observer
 * @f: feeds
 */
void observers_lose(struct observers *f)
{
	g_hash_table_foreach(f->table, lose, NULL);
	f->n_lost = g_hash_table_size(f->table);
}

/* Arguments of a sweep. */
struct sweep {
	struct observers *f;
	uint32_t round;
};

static gboolean gone(gpointer key, gpointer value, gpointer arg)
{
	const struct observer *feed = value;
	struct sweep *sweep = arg;

	(void)key;
	if (feed->round >= sweep->round)
		return FALSE;
	sweep->f->n_lost -= feed->lost;
	return TRUE;
}

/**
 * observers_sweep() - drop the feeds that libcoap has dropped
 * @f: feeds
 * @round: feeds not notified since this round are gone
 *
 * libcoap says nothing when an observer leaves by RST or is given up. Such a
 * feed would count as a connection for ever; that it was not asked for in the
 * last rounds of notifications tells.
 */
void observers_sweep(struct observers *f, uint32_t round)
{
	struct sweep sweep = { f, round };

	g_hash_table_foreach_remove(f->table, gone, &sweep);
}

/**
 * observers_count() - connections that the target knows of
 * @f: feeds
 *
 * Return: feeds open and not lost.
 */
uint32_t observers_count(const struct observers *f)
{
	return g_hash_table_size(f->table) - f->n_lost;
}
