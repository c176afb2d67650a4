#include "target.h"

#include <string.h>

#define NO_EXCHANGE UINT32_MAX
#define DEDUP_SEED 1

/**
 * struct exchange - a message that was seen
 * @key: its identity
 * @expiry_ns: end of its exchange lifetime
 * @next: next of its bucket
 * @answered: @answer is known
 * @used: holds a message
 * @answer: what it was answered
 */
struct exchange {
	struct message_key key;
	uint64_t expiry_ns;
	uint32_t next;
	bool answered;
	bool used;
	struct reply answer;
};

/* A ring of exchanges in order of arrival, found by hash of (peer, mid). */
struct dedup {
	uint32_t capacity;
	uint32_t at;
	uint64_t window_ns;
	struct exchange *ring;
	uint32_t *buckets;
};

/**
 * dedup_new() - a window of messages seen
 * @capacity: most messages held; the oldest leaves first
 * @window_ns: EXCHANGE_LIFETIME of RFC 7252 section 4.8.2
 *
 * Return: the window.
 */
struct dedup *dedup_new(uint32_t capacity, uint64_t window_ns)
{
	struct dedup *d = g_new0(struct dedup, 1);

	d->capacity = capacity;
	d->window_ns = window_ns;
	d->ring = g_new0(struct exchange, capacity);
	d->buckets = g_new(uint32_t, capacity);
	memset(d->buckets, 0xff, capacity * sizeof(d->buckets[0]));
	return d;
}

void dedup_free(struct dedup *d)
{
	if (!d)
		return;
	g_free(d->ring);
	g_free(d->buckets);
	g_free(d);
}

static uint32_t *bucket(const struct dedup *d, const struct message_key *key)
{
	uint64_t h = hash_u64(key->peer << 16 | key->mid, DEDUP_SEED);

	return &d->buckets[h % d->capacity];
}

static struct exchange *find(const struct dedup *d,
			     const struct message_key *key)
{
	uint32_t i = *bucket(d, key);

	while (i != NO_EXCHANGE) {
		struct exchange *x = &d->ring[i];

		if (x->key.peer == key->peer && x->key.mid == key->mid)
			return x;
		i = x->next;
	}
	return NULL;
}

static void forget(struct dedup *d, struct exchange *x)
{
	uint32_t self = (uint32_t)(x - d->ring);
	uint32_t *link = bucket(d, &x->key);

	while (*link != self)
		link = &d->ring[*link].next;
	*link = x->next;
	x->used = false;
}

static void remember(struct dedup *d, const struct message_key *key,
		     uint64_t now_ns)
{
	struct exchange *x = &d->ring[d->at];
	uint32_t *head;

	if (x->used)
		forget(d, x);
	x->key = *key;
	x->expiry_ns = now_ns + d->window_ns;
	x->answered = false;
	x->used = true;
	head = bucket(d, key);
	x->next = *head;
	*head = d->at;
	d->at = (d->at + 1) % d->capacity;
}

static bool same_token(const struct message_key *a, const struct message_key *b)
{
	return a->token_len == b->token_len &&
	       !memcmp(a->token, b->token, a->token_len);
}

/**
 * dedup_see() - look a message up, and remember it when it is new
 * @d: window
 * @key: its identity
 * @now_ns: time
 * @answer: filled for DEDUP_ANSWERED, good until the next call
 *
 * A message ID that comes back with another token is no repeat: answering it
 * with the old answer would give one caller another's. It is counted apart,
 * since a sender may not do this within the lifetime.
 *
 * Return: the verdict.
 */
enum dedup_verdict dedup_see(struct dedup *d, const struct message_key *key,
			     uint64_t now_ns, const struct reply **answer)
{
	enum dedup_verdict verdict = DEDUP_NEW;
	struct exchange *x = find(d, key);

	if (x && x->expiry_ns > now_ns && same_token(&x->key, key)) {
		*answer = &x->answer;
		return x->answered ? DEDUP_ANSWERED : DEDUP_PENDING;
	}
	if (x) {
		if (x->expiry_ns > now_ns)
			verdict = DEDUP_REUSED;
		forget(d, x);
	}
	remember(d, key, now_ns);
	return verdict;
}

/**
 * dedup_answer() - remember what a message was answered
 * @d: window
 * @key: its identity; ignored when the window holds it no more
 * @answer: its answer
 */
void dedup_answer(struct dedup *d, const struct message_key *key,
		  const struct reply *answer)
{
	struct exchange *x = find(d, key);

	if (!x || !same_token(&x->key, key))
		return;
	x->answer = *answer;
	x->answered = true;
}
