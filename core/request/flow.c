/*
 * Open addressing with linear probing. One byte of each slot's hash is kept in
 * an array of its own, so that a miss, the usual case, reads these tags only.
 * Deletion moves later flows of the run back instead of leaving tombstones; no
 * other call moves a flow.
 */
#include "flow.h"

#include <endian.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ADDR_BITS 48
#define ADDR_MASK ((1ULL << ADDR_BITS) - 1)
#define TAG_EMPTY 0
#define TAG_BITS 8

/* Tags are compared eight at a time, in one 64-bit word. */
#define TAGS_PER_WORD 8
#define TAGS_LOW 0x0101010101010101ULL
#define TAGS_HIGH 0x8080808080808080ULL

/*
 * Longest distance of a flow from its home slot: bounds the cost of every call.
 */
#define PROBE_DISTANCE_MAX 1024

/* Slots per flow: 5/4, so that the table is at most 80 % full. */
#define SLOTS_NUMERATOR 5
#define SLOTS_DENOMINATOR 4

/* A deadline is stored in 48 bits, in units of 2^16 ns (66 us). */
#define DEADLINE_SHIFT 16

/*
 * Addresses take the low 48 bits; the high 16 bits of the three words hold the
 * deadline.
 */
struct slot {
	uint64_t caller;
	uint64_t vip;
	uint64_t target;
};

/**
 * struct flow_table - hash table of pinned flows
 * @n_homes: slots that a hash can select as a flow's home
 * @n_slots: slots in all, PROBE_DISTANCE_MAX beyond the homes
 * @n_flows: flows in the table
 * @flows_max: capacity
 * @expire_cursor: slot at which flow_expire() continues
 * @idle_ns: idle time after which a flow is deleted
 * @tags: by slot: byte of the hash, TAG_EMPTY when the slot is free
 * @slots: n_slots slots
 */
struct flow_table {
	uint32_t n_homes;
	uint32_t n_slots;
	uint32_t n_flows;
	uint32_t flows_max;
	uint32_t expire_cursor;
	uint64_t idle_ns;
	uint8_t *tags;
	struct slot *slots;
};

static uint32_t home_of(const struct flow_table *table, uint64_t hash)
{
	return (uint32_t)(((hash >> 32) * table->n_homes) >> 32);
}

/*
 * The tag comes from higher bits: the low ones choose the ring's bucket, and
 * the flows of one owner have some of them in common.
 */
static uint8_t tag_of(uint64_t hash)
{
	uint8_t tag = hash >> (32 - TAG_BITS);

	return tag == TAG_EMPTY ? 1 : tag;
}

static uint64_t deadline_units(const struct slot *s)
{
	return s->caller >> ADDR_BITS << 32 | s->vip >> ADDR_BITS << 16 |
	       s->target >> ADDR_BITS;
}

static void slot_write(struct slot *s, const struct flow_key *key,
		       uint64_t target, uint64_t deadline_ns)
{
	uint64_t units = deadline_ns >> DEADLINE_SHIFT;

	s->caller = (key->caller & ADDR_MASK) | units >> 32 << ADDR_BITS;
	s->vip = (key->vip & ADDR_MASK) | units >> 16 << ADDR_BITS;
	s->target = (target & ADDR_MASK) | units << ADDR_BITS;
}

static struct flow_key slot_key(const struct slot *s)
{
	return (struct flow_key){ .caller = s->caller & ADDR_MASK,
				  .vip = s->vip & ADDR_MASK };
}

static uint64_t slot_target(const struct slot *s)
{
	return s->target & ADDR_MASK;
}

static bool slot_holds(const struct slot *s, const struct flow_key *key)
{
	return (s->caller & ADDR_MASK) == key->caller &&
	       (s->vip & ADDR_MASK) == key->vip;
}

static bool slot_idle(const struct slot *s, uint64_t now_ns)
{
	return deadline_units(s) < now_ns >> DEADLINE_SHIFT;
}

/**
 * flow_table_new() - allocate a table at its full size
 * @flows_max: capacity in flows
 * @idle_ns: a flow that is not looked up for this long is deleted; at most
 *	FLOW_IDLE_MAX_NS
 *
 * Return: table, owned by the caller, or NULL when out of memory.
 */
struct flow_table *flow_table_new(uint32_t flows_max, uint64_t idle_ns)
{
	struct flow_table *table = calloc(1, sizeof(*table));

	if (!table)
		return NULL;
	table->flows_max = flows_max;
	table->idle_ns =
		idle_ns < FLOW_IDLE_MAX_NS ? idle_ns : FLOW_IDLE_MAX_NS;
	table->n_homes =
		(uint64_t)flows_max * SLOTS_NUMERATOR / SLOTS_DENOMINATOR + 1;
	table->n_slots = table->n_homes + PROBE_DISTANCE_MAX;
	table->tags =
		calloc(table->n_slots + TAGS_PER_WORD, sizeof(*table->tags));
	table->slots = calloc(table->n_slots, sizeof(*table->slots));
	if (!table->tags || !table->slots) {
		flow_table_free(table);
		return NULL;
	}
	return table;
}

/**
 * flow_table_free() - free a table
 * @table: table, or NULL
 */
void flow_table_free(struct flow_table *table)
{
	if (!table)
		return;
	free(table->tags);
	free(table->slots);
	free(table);
}

static uint64_t load_tags(const struct flow_table *table, uint32_t at)
{
	uint64_t word;

	memcpy(&word, &table->tags[at], sizeof(word));
	return le64toh(word);
}

/*
 * Sets the high bit of each byte of @word that is zero. Bytes above the lowest
 * zero byte may be reported wrongly; the comparison of keys rejects them.
 */
static uint64_t zero_bytes(uint64_t word)
{
	return (word - TAGS_LOW) & ~word & TAGS_HIGH;
}

/*
 * Slot among the eight at @at whose tag matches and that holds @key, or
 * n_slots.
 */
static uint32_t find_match(const struct flow_table *table,
			   const struct flow_key *key, uint32_t at,
			   uint64_t matches)
{
	uint32_t found;

	for (; matches; matches &= matches - 1) {
		found = at + __builtin_ctzll(matches) / TAG_BITS;
		if (slot_holds(&table->slots[found], key))
			return found;
	}
	return table->n_slots;
}

/*
 * Slot of the flow, or the first empty slot of its run; n_slots if there is
 * neither.
 */
static uint32_t find_slot(const struct flow_table *table,
			  const struct flow_key *key, uint64_t hash)
{
	uint64_t word, empty, matches, pattern = tag_of(hash) * TAGS_LOW;
	uint32_t at = home_of(table, hash), end = at + PROBE_DISTANCE_MAX,
		 found;

	for (; at < end; at += TAGS_PER_WORD) {
		word = load_tags(table, at);
		empty = zero_bytes(word);
		matches = zero_bytes(word ^ pattern);
		if (empty)
			matches &= (empty & -empty) - 1;
		found = find_match(table, key, at, matches);
		if (found != table->n_slots)
			return found;
		if (empty)
			return at + __builtin_ctzll(empty) / TAG_BITS;
	}
	return table->n_slots;
}

/*
 * Empties the slot @gap. Each later flow of the run whose home is at or before
 * the gap moves into it, so that no search ends too early.
 */
static void close_gap(struct flow_table *table, uint32_t gap)
{
	struct flow_key key;
	uint32_t at;

	for (at = gap + 1; table->tags[at] != TAG_EMPTY; at++) {
		key = slot_key(&table->slots[at]);
		if (home_of(table, flow_hash(&key)) > gap)
			continue;
		table->slots[gap] = table->slots[at];
		table->tags[gap] = table->tags[at];
		gap = at;
	}
	table->tags[gap] = TAG_EMPTY;
	table->n_flows--;
}

/**
 * flow_pin() - set the target of a flow, new or known
 * @table: table of pinned flows
 * @key: flow
 * @target: target, not ADDR_NONE
 * @now_ns: current time; the idle time starts here
 *
 * Return: 0; -EINVAL without a target; -ENOSPC when the table is full, or when
 * there is no empty slot within PROBE_DISTANCE_MAX of the flow's home.
 */
int flow_pin(struct flow_table *table, const struct flow_key *key,
	     uint64_t target, uint64_t now_ns)
{
	uint64_t hash = flow_hash(key);
	uint32_t at;

	if (target == ADDR_NONE)
		return -EINVAL;
	at = find_slot(table, key, hash);
	if (at == table->n_slots)
		return -ENOSPC;
	if (table->tags[at] == TAG_EMPTY) {
		if (table->n_flows >= table->flows_max)
			return -ENOSPC;
		table->n_flows++;
		table->tags[at] = tag_of(hash);
	}
	slot_write(&table->slots[at], key, target, now_ns + table->idle_ns);
	return 0;
}

/**
 * flow_lookup() - target of a flow; restarts its idle time
 * @table: table of pinned flows
 * @key: flow
 * @now_ns: current time
 *
 * Return: target, or ADDR_NONE when the flow is not pinned; a flow that was
 * idle for too long is deleted.
 */
uint64_t flow_lookup(struct flow_table *table, const struct flow_key *key,
		     uint64_t now_ns)
{
	uint32_t at = find_slot(table, key, flow_hash(key));
	uint64_t target;

	if (at == table->n_slots || table->tags[at] == TAG_EMPTY)
		return ADDR_NONE;
	if (slot_idle(&table->slots[at], now_ns)) {
		close_gap(table, at);
		return ADDR_NONE;
	}
	target = slot_target(&table->slots[at]);
	slot_write(&table->slots[at], key, target, now_ns + table->idle_ns);
	return target;
}

/**
 * flow_unpin() - delete a flow
 * @table: table of pinned flows
 * @key: flow
 *
 * Return: 0, or -ENOENT.
 */
int flow_unpin(struct flow_table *table, const struct flow_key *key)
{
	uint32_t at = find_slot(table, key, flow_hash(key));

	if (at == table->n_slots || table->tags[at] == TAG_EMPTY)
		return -ENOENT;
	close_gap(table, at);
	return 0;
}

/**
 * flow_expire() - delete idle flows in a part of the table
 * @table: table of pinned flows
 * @now_ns: current time
 * @budget: number of slots to examine; the next call continues after them
 *
 * Return: number of flows deleted.
 */
uint32_t flow_expire(struct flow_table *table, uint64_t now_ns, uint32_t budget)
{
	uint32_t before = table->n_flows;

	while (budget--) {
		if (table->expire_cursor == table->n_slots)
			table->expire_cursor = 0;
		if (table->tags[table->expire_cursor] != TAG_EMPTY &&
		    slot_idle(&table->slots[table->expire_cursor], now_ns))
			close_gap(table, table->expire_cursor);
		else
			table->expire_cursor++;
	}
	return before - table->n_flows;
}

/**
 * flow_count() - number of flows
 * @table: table of pinned flows
 *
 * Return: number of flows, including idle ones that are not deleted yet.
 */
uint32_t flow_count(const struct flow_table *table)
{
	return table->n_flows;
}

/**
 * flow_bytes() - memory of a table
 * @table: table of pinned flows
 *
 * Return: bytes; constant over the table's lifetime.
 */
uint64_t flow_bytes(const struct flow_table *table)
{
	return sizeof(*table) + table->n_slots + TAGS_PER_WORD +
	       (uint64_t)table->n_slots * sizeof(*table->slots);
}

/**
 * flow_each() - iterate over all flows while the table may change
 * @table: table of pinned flows
 * @cursor: 0 for the first call, advanced by each; 0 again at the end
 * @key: set to the flow
 * @target: set to its target
 *
 * The iteration runs from the table's end to its start. Only deletion moves
 * flows, and only towards the start: a flow that stays in the table is never
 * missed, and may be seen twice.
 *
 * Return: 0, or -ENOENT at the end.
 */
int flow_each(const struct flow_table *table, uint32_t *cursor,
	      struct flow_key *key, uint64_t *target)
{
	uint32_t at = *cursor ? *cursor - 1 : table->n_slots;

	while (at--) {
		if (table->tags[at] == TAG_EMPTY)
			continue;
		*cursor = at + 1;
		*key = slot_key(&table->slots[at]);
		*target = slot_target(&table->slots[at]);
		return 0;
	}
	*cursor = 0;
	return -ENOENT;
}
