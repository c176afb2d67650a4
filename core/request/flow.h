/* Table of flows that are pinned to a target. */
#ifndef CB_FLOW_H
#define CB_FLOW_H

#include "types.h"

struct flow_table;

/* Longest idle time; a longer one is cut to it. */
#define FLOW_IDLE_MAX_NS (365ULL * 24 * 3600 * NS_PER_S)

struct flow_table *flow_table_new(uint32_t flows_max, uint64_t idle_ns);
void flow_table_free(struct flow_table *table);
int flow_pin(struct flow_table *table, const struct flow_key *key,
	     uint64_t target, uint64_t now_ns);
uint64_t flow_lookup(struct flow_table *table, const struct flow_key *key,
		     uint64_t now_ns);
int flow_unpin(struct flow_table *table, const struct flow_key *key);
uint32_t flow_expire(struct flow_table *table, uint64_t now_ns,
		     uint32_t budget);
uint32_t flow_count(const struct flow_table *table);
uint64_t flow_bytes(const struct flow_table *table);
int flow_each(const struct flow_table *table, uint32_t *cursor,
	      struct flow_key *key, uint64_t *target);

#endif
