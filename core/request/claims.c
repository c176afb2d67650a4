#include "claims.h"
#include "index.h"

#include <stdlib.h>
#include <string.h>

struct record {
	struct claim claim;
	uint64_t expires_ns;
	uint32_t next;
	uint32_t prev;
};

/*
 * All records have the same lifetime, so the slots form a ring buffer: the
 * oldest record is at the tail, and expiry needs no timer per record.
 */
struct claims {
	struct record *records;
	uint32_t *heads;
	struct index *by_request;
	uint64_t keep_ns;
	uint32_t max;
	uint32_t tail;
	uint32_t n;
};

/**
 * claims_new() - allocate an empty table
 * @records_max: capacity in records
 * @n_buckets: number of buckets of the ring
 * @keep_ns: lifetime of a record
 *
 * Return: table, owned by the caller, or NULL when out of memory.
 */
struct claims *claims_new(uint32_t records_max, uint32_t n_buckets,
			  uint64_t keep_ns)
{
	struct claims *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->records = calloc(records_max, sizeof(*c->records));
	c->heads = malloc((size_t)n_buckets * sizeof(*c->heads));
	c->by_request = index_new(records_max);
	if (!c->records || !c->heads || !c->by_request) {
		claims_free(c);
		return NULL;
	}
	memset(c->heads, 0xff, (size_t)n_buckets * sizeof(*c->heads));
	c->max = records_max;
	c->keep_ns = keep_ns;
	return c;
}

void claims_free(struct claims *c)
{
	if (!c)
		return;
	free(c->records);
	free(c->heads);
	index_free(c->by_request);
	free(c);
}

/**
 * claims_find() - record of a request
 * @c: table
 * @request: hash of the request
 *
 * Return: record, of which the caller may change all but request and bucket, or
 * NULL.
 */
struct claim *claims_find(struct claims *c, uint64_t request)
{
	uint32_t slot = index_get(c->by_request, request);

	return slot == INDEX_NONE ? NULL : &c->records[slot].claim;
}

static void unlink_oldest(struct claims *c)
{
	struct record *r = &c->records[c->tail];

	if (r->prev == CLAIM_SLOT_NONE)
		c->heads[r->claim.bucket] = r->next;
	else
		c->records[r->prev].next = r->next;
	if (r->next != CLAIM_SLOT_NONE)
		c->records[r->next].prev = r->prev;
	index_del(c->by_request, r->claim.request, c->tail);
	c->tail = (c->tail + 1) % c->max;
	c->n--;
}

/**
 * claims_expire() - delete the records whose lifetime is over
 * @c: table
 * @now_ns: time
 */
void claims_expire(struct claims *c, uint64_t now_ns)
{
	while (c->n && c->records[c->tail].expires_ns <= now_ns)
		unlink_oldest(c);
}

/**
 * claims_put() - add a record of a request that has none yet
 * @c: table
 * @claim: record, copied
 * @now_ns: time
 *
 * Return: the record, or NULL when the table is full of records that must be
 * kept; the request can't be executed safely then.
 */
struct claim *claims_put(struct claims *c, const struct claim *claim,
			 uint64_t now_ns)
{
	uint32_t slot = (c->tail + c->n) % c->max;
	struct record *r = &c->records[slot];

	claims_expire(c, now_ns);
	if (c->n == c->max)
		return NULL;
	if (index_put(c->by_request, claim->request, slot) < 0)
		return NULL;
	c->n++;
	r->claim = *claim;
	r->expires_ns = now_ns + c->keep_ns;
	r->prev = CLAIM_SLOT_NONE;
	r->next = c->heads[claim->bucket];
	if (r->next != CLAIM_SLOT_NONE)
		c->records[r->next].prev = slot;
	c->heads[claim->bucket] = slot;
	return &r->claim;
}

uint32_t claims_count(const struct claims *c)
{
	return c->n;
}

/**
 * claims_newest() - newest record of a bucket
 * @c: table
 * @bucket: bucket
 *
 * Return: slot for claims_at() and claims_next_older(), or CLAIM_SLOT_NONE.
 */
uint32_t claims_newest(const struct claims *c, uint32_t bucket)
{
	return c->heads[bucket];
}

uint32_t claims_next_older(const struct claims *c, uint32_t slot)
{
	return c->records[slot].next;
}

const struct claim *claims_at(const struct claims *c, uint32_t slot)
{
	return &c->records[slot].claim;
}
