#include "target.h"

#include <string.h>

#define NO_EXCHANGE UINT32_MAX
#define DEDUP_SEED 1

/**
 * struct exchange - a received message and its answer
 * @key: identity of the message
 * @expiry_ns: end of the exchange lifetime
 * @next: index of the next exchange of the bucket, or NO_EXCHANGE
 * @answered: @answer is valid
 * @used: the element holds a message
 * @answer: answer to the message
 */
struct exchange {
	struct message_key key;
	uint64_t expiry_ns;
	uint32_t next;
	bool answered;
	bool used;
	struct answer answer;
};

/*
 * A ring of exchanges in order of arrival, with a hash table by (peer, mid).
 * @next_index is the element that the next message takes.
 */
struct dedup {
	uint32_t capacity;
	uint32_t next_index;
	uint64_t window_ns;
	struct exchange *ring;
	uint32_t *buckets;
};

/**
 * dedup_new() - create a table of received messages
 * @capacity: greatest number of messages; the oldest is replaced first
 * @window_ns: EXCHANGE_LIFETIME of RFC 7252 section 4.8.2
 *
 * Return: empty table, to be freed with dedup_free().
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

static void remove_exchange(struct dedup *d, struct exchange *x)
{
	uint32_t self = (uint32_t)(x - d->ring);
	uint32_t *link = bucket(d, &x->key);

	while (*link != self)
		link = &d->ring[*link].next;
	*link = x->next;
	x->used = false;
}

static void add_exchange(struct dedup *d, const struct message_key *key,
			 uint64_t now_ns)
{
	struct exchange *x = &d->ring[d->next_index];
	uint32_t *head;

	if (x->used)
		remove_exchange(d, x);
	x->key = *key;
	x->expiry_ns = now_ns + d->window_ns;
	x->answered = false;
	x->used = true;
	head = bucket(d, key);
	x->next = *head;
	*head = d->next_index;
	d->next_index = (d->next_index + 1) % d->capacity;
}

static bool same_token(const struct message_key *a, const struct message_key *b)
{
	return a->token_len == b->token_len &&
	       !memcmp(a->token, b->token, a->token_len);
}

/**
 * dedup_record() - look up a message, and record it if it is new
 * @d: table of received messages
 * @key: identity of the message
 * @now_ns: monotonic time
 * @answer: receives the answer for DEDUP_ANSWERED, valid until the next call
 *
 * A message ID with another token is no retransmission: the recorded answer
 * belongs to another caller. It has a result of its own, since a sender must
 * not reuse a message ID within the exchange lifetime.
 *
 * Return: whether the message is new, or a retransmission.
 */
enum dedup_verdict dedup_record(struct dedup *d, const struct message_key *key,
				uint64_t now_ns, const struct answer **answer)
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
		remove_exchange(d, x);
	}
	add_exchange(d, key, now_ns);
	return verdict;
}

/**
 * dedup_record_answer() - record the answer to a message
 * @d: table of received messages
 * @key: identity of the message; no effect if it is no longer recorded
 * @answer: answer, copied
 */
void dedup_record_answer(struct dedup *d, const struct message_key *key,
			 const struct answer *answer)
{
	struct exchange *x = find(d, key);

	if (!x || !same_token(&x->key, key))
		return;
	x->answer = *answer;
	x->answered = true;
}
