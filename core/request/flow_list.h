/* List of an entry's requests, feeds and pins for operators. */
#ifndef CB_FLOW_LIST_H
#define CB_FLOW_LIST_H

#include "entry.h"

/**
 * enum flow_row_kind - kind of a row
 * @ROW_REQUEST: request that is not answered yet
 * @ROW_FEED: feed that this entry serves or opens
 * @ROW_FEED_COPY: second copy of another entry's feed
 * @ROW_PIN: flow pinned to a target
 */
enum flow_row_kind { ROW_REQUEST, ROW_FEED, ROW_FEED_COPY, ROW_PIN };

/**
 * struct flow_row - request, feed or pin in the list
 * @kind: enum flow_row_kind
 * @key: flow
 * @target: target, or ADDR_NONE while there is none
 * @state: state, one word; static text
 * @since_ns: request: time of arrival; feed: time of the last update; pin: 0
 */
struct flow_row {
	uint8_t kind;
	struct flow_key key;
	uint64_t target;
	const char *state;
	uint64_t since_ns;
};

uint32_t entry_flows(const struct entry *entry, uint64_t *cursor,
		     struct flow_row *rows, uint32_t rows_max);

#endif
