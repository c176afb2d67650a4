#include "target.h"

#include <string.h>

/* Set of struct observer; @n_forgotten of them have @forgotten set. */
struct observers {
	GHashTable *table;
	uint32_t n_forgotten;
};

static guint observer_hash(gconstpointer p)
{
	const struct observer *o = p;
	uint64_t token = 0;

	memcpy(&token, o->token, o->token_len);
	return (guint)hash_u64(token, (uint64_t)(uintptr_t)o->session);
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
	struct observer *o = p;

	coap_session_release(o->session);
	g_free(o);
}

struct observers *observers_new(void)
{
	struct observers *observers = g_new0(struct observers, 1);

	observers->table = g_hash_table_new_full(observer_hash, observer_equal,
						 observer_free, NULL);
	return observers;
}

void observers_free(struct observers *observers)
{
	if (!observers)
		return;
	g_hash_table_destroy(observers->table);
	g_free(observers);
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
 * observers_find() - find an observer by the request that opened the feed
 * @observers: observers
 * @session: session of the request
 * @token: token of the request
 *
 * Return: observer, or NULL if there is none.
 */
struct observer *observers_find(struct observers *observers,
				coap_session_t *session, coap_bin_const_t token)
{
	struct observer key;

	fill_key(&key, session, token);
	return g_hash_table_lookup(observers->table, &key);
}

/**
 * observers_add() - add an observer, replacing one of the same request
 * @observers: observers
 * @session: session of the request; a reference is taken
 * @token: token of the request
 * @id: id of the request, copied
 *
 * Return: new observer, whose @round the caller must set.
 */
struct observer *observers_add(struct observers *observers,
			       coap_session_t *session, coap_bin_const_t token,
			       const char *id)
{
	struct observer *observer = observers_find(observers, session, token);

	if (observer)
		observers_remove(observers, observer);
	observer = g_new(struct observer, 1);
	fill_key(observer, session, token);
	coap_session_reference(session);
	g_strlcpy(observer->id, id, sizeof(observer->id));
	g_hash_table_add(observers->table, observer);
	return observer;
}

/**
 * observers_remove() - remove and free an observer
 * @observers: observers
 * @observer: observer to remove
 */
void observers_remove(struct observers *observers, struct observer *observer)
{
	observers->n_forgotten -= observer->forgotten;
	g_hash_table_remove(observers->table, observer);
}

static void mark_forgotten(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	((struct observer *)value)->forgotten = true;
}

/**
 * observers_forget_all() - stop notifications to all current observers
 * @observers: observers
 */
void observers_forget_all(struct observers *observers)
{
	g_hash_table_foreach(observers->table, mark_forgotten, NULL);
	observers->n_forgotten = g_hash_table_size(observers->table);
}

/* Arguments of observers_sweep(). */
struct sweep {
	struct observers *observers;
	uint32_t round;
};

static gboolean is_removed_by_libcoap(gpointer key, gpointer value,
				      gpointer arg)
{
	const struct observer *observer = value;
	struct sweep *sweep = arg;

	(void)key;
	if (observer->round >= sweep->round)
		return FALSE;
	sweep->observers->n_forgotten -= observer->forgotten;
	return TRUE;
}

/**
 * observers_sweep() - remove the observers that libcoap has removed
 * @observers: observers
 * @round: observers last notified before this round are removed
 *
 * libcoap does not report that it removed an observer after an RST or a
 * timeout. Such an observer would count as a connection forever; it is
 * recognised by libcoap not notifying it in the last rounds.
 */
void observers_sweep(struct observers *observers, uint32_t round)
{
	struct sweep sweep = { observers, round };

	g_hash_table_foreach_remove(observers->table, is_removed_by_libcoap,
				    &sweep);
}

/**
 * observers_count() - number of open feeds
 * @observers: observers
 *
 * Return: number of observers that are notified.
 */
uint32_t observers_count(const struct observers *observers)
{
	return g_hash_table_size(observers->table) - observers->n_forgotten;
}
