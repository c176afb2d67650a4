#include "claims.h"
#include "index.h"

#include <stdlib.h>
#include <string.h>

/**
 * struct record - claim record in its slot
 * @claim: the record
 * @expires_ns: end of its lifetime
 * @next: next older record of its bucket, or CLAIM_SLOT_NONE
 * @prev: next newer record of its bucket, or CLAIM_SLOT_NONE
 */
struct record {
	struct claim claim;
	uint64_t expires_ns;
	uint32_t next;
	uint32_t prev;
};

/**
 * struct claims - table of claim records
 * @records: records_max slots
 * @heads: by bucket: its newest record, or CLAIM_SLOT_NONE
 * @by_request: index of @records by the request's hash
 * @keep_ns: lifetime of a record
 * @records_max: capacity
 * @tail: slot of the oldest record
 * @n_records: records in the table
 *
 * All records have the same lifetime, so the slots form a ring buffer: the
 * oldest record is at the tail, and expiry needs no timer per record.
 */
struct claims {
	struct record *records;
	uint32_t *heads;
	struct index *by_request;
	uint64_t keep_ns;
	uint32_t records_max;
	uint32_t tail;
	uint32_t n_records;
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
	struct claims *table = calloc(1, sizeof(*table));

	if (!table)
		return NULL;
	table->records = calloc(records_max, sizeof(*table->records));
	table->heads = malloc((size_t)n_buckets * sizeof(*table->heads));
	table->by_request = index_new(records_max);
	if (!table->records || !table->heads || !table->by_request) {
		claims_free(table);
		return NULL;
	}
	memset(table->heads, 0xff, (size_t)n_buckets * sizeof(*table->heads));
	table->records_max = records_max;
	table->keep_ns = keep_ns;
	return table;
}

void claims_free(struct claims *table)
{
	if (!table)
		return;
	free(table->records);
	free(table->heads);
	index_free(table->by_request);
	free(table);
}

/**
 * claims_find() - record of a request
 * @table: table of claim records
 * @request: hash of the request
 *
 * Return: record, or NULL. The caller may change its members except request and
 * bucket.
 */
struct claim *claims_find(struct claims *table, uint64_t request)
{
	uint32_t slot = index_get(table->by_request, request);

	return slot == INDEX_NONE ? NULL : &table->records[slot].claim;
}

static void unlink_oldest(struct claims *table)
{
	struct record *r = &table->records[table->tail];

	if (r->prev == CLAIM_SLOT_NONE)
		table->heads[r->claim.bucket] = r->next;
	else
		table->records[r->prev].next = r->next;
	if (r->next != CLAIM_SLOT_NONE)
		table->records[r->next].prev = r->prev;
	index_del(table->by_request, r->claim.request, table->tail);
	table->tail = (table->tail + 1) % table->records_max;
	table->n_records--;
}

/**
 * claims_expire() - delete the records whose lifetime is over
 * @table: table of claim records
 * @now_ns: current time
 */
void claims_expire(struct claims *table, uint64_t now_ns)
{
	while (table->n_records &&
	       table->records[table->tail].expires_ns <= now_ns)
		unlink_oldest(table);
}

/**
 * claims_put() - add a record of a request that has none yet
 * @table: table of claim records
 * @claim: record, copied
 * @now_ns: current time
 *
 * Return: the record, or NULL when the table is full of records that must be
 * kept; the request can't be executed safely then.
 */
struct claim *claims_put(struct claims *table, const struct claim *claim,
			 uint64_t now_ns)
{
	uint32_t slot = (table->tail + table->n_records) % table->records_max;
	struct record *r = &table->records[slot];

	claims_expire(table, now_ns);
	if (table->n_records == table->records_max)
		return NULL;
	if (index_put(table->by_request, claim->request, slot) < 0)
		return NULL;
	table->n_records++;
	r->claim = *claim;
	r->expires_ns = now_ns + table->keep_ns;
	r->prev = CLAIM_SLOT_NONE;
	r->next = table->heads[claim->bucket];
	if (r->next != CLAIM_SLOT_NONE)
		table->records[r->next].prev = slot;
	table->heads[claim->bucket] = slot;
	return &r->claim;
}

uint32_t claims_count(const struct claims *table)
{
	return table->n_records;
}

/**
 * claims_newest() - newest record of a bucket
 * @table: table of claim records
 * @bucket: number of the bucket
 *
 * Return: slot for claims_at() and claims_next_older(), or CLAIM_SLOT_NONE.
 */
uint32_t claims_newest(const struct claims *table, uint32_t bucket)
{
	return table->heads[bucket];
}

uint32_t claims_next_older(const struct claims *table, uint32_t slot)
{
	return table->records[slot].next;
}

const struct claim *claims_at(const struct claims *table, uint32_t slot)
{
	return &table->records[slot].claim;
}
