/* List of what an entry holds, for operators. */
#ifndef CB_FLOW_LIST_H
#define CB_FLOW_LIST_H

#include "entry.h"

/**
 * enum flow_row_kind - what a row tells of
 * @ROW_REQUEST: request not answered yet
 * @ROW_FEED: feed served here
 * @ROW_FEED_COPY: second copy of another entry's feed
 * @ROW_PIN: flow with a pinned target
 */
enum flow_row_kind { ROW_REQUEST, ROW_FEED, ROW_FEED_COPY, ROW_PIN };

/**
 * struct flow_row - one thing that an entry holds
 * @kind: enum flow_row_kind
 * @key: its flow
 * @target: its target, ADDR_NONE while it has none
 * @state: where it stands, one word
 * @since_ns: request: arrival; feed: last update; pin: 0
 */
struct flow_row {
	uint8_t kind;
	struct flow_key key;
	uint64_t target;
	const char *state;
	uint64_t since_ns;
};

uint32_t entry_flows(const struct entry *e, uint64_t *cursor,
		     struct flow_row *rows, uint32_t rows_max);

#endif
