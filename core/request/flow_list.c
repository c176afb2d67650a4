#include "flow_list.h"

#include "entry_state.h"

/*
 * Slots examined per call. A call runs between datagrams; over all slots of an
 * almost empty table it would delay them for tens of milliseconds.
 */
#define SLOTS_PER_CALL_MAX 8192
#define CURSOR_END UINT64_MAX

static const char *const request_states[] = {
	[REQ_FREE] = NULL,	 [REQ_CLAIMING] = "claiming",
	[REQ_QUEUED] = "queued", [REQ_SENT] = "sent",
	[REQ_ENDED] = NULL,
};

static const char *const feed_states[] = {
	[FEED_FREE] = NULL,	      [FEED_COPY] = "copy",
	[FEED_OPENING] = "opening",   [FEED_OPEN] = "open",
	[FEED_RENEWING] = "renewing",
};

static bool request_row(const struct request *req, struct flow_row *row)
{
	*row = (struct flow_row){ .kind = ROW_REQUEST,
				  .key = req->key,
				  .target = req->target,
				  .state = request_states[req->state],
				  .since_ns = req->arrived_ns };
	return row->state != NULL;
}

static bool feed_row(const struct feed *feed, struct flow_row *row)
{
	*row = (struct flow_row){ .kind = feed->state == FEED_COPY
						  ? ROW_FEED_COPY
						  : ROW_FEED,
				  .key = feed->key,
				  .target = feed->target,
				  .state = feed_states[feed->state],
				  .since_ns = feed->last_update_ns };
	return row->state != NULL;
}

static bool pin_row(const struct entry *entry, uint64_t first, uint64_t *cursor,
		    struct flow_row *row)
{
	uint32_t pin_cursor = (uint32_t)(*cursor - first);

	*row = (struct flow_row){ .kind = ROW_PIN, .state = "pinned" };
	if (flow_each(entry->pins, &pin_cursor, &row->key, &row->target)) {
		*cursor = CURSOR_END;
		return false;
	}
	*cursor = first + pin_cursor;
	return true;
}

/* Examines one slot and advances; true when it holds a row. */
static bool next_row(const struct entry *entry, uint64_t *cursor,
		     struct flow_row *row)
{
	uint64_t feeds = entry->conf.requests_max;
	uint64_t pins = feeds + entry->conf.feeds_max;
	uint64_t slot = *cursor;

	if (slot >= pins)
		return pin_row(entry, pins, cursor, row);
	(*cursor)++;
	if (slot >= feeds)
		return feed_row(&entry->feeds[slot - feeds], row);
	return request_row(&entry->requests[slot], row);
}

/**
 * entry_flows() - list the requests, feeds and pins of an entry in parts
 * @entry: state of this entry
 * @cursor: 0 for the first call, advanced by each; UINT64_MAX at the end
 * @rows: filled
 * @rows_max: capacity of @rows
 *
 * What is created or ends between two calls may be missed, and a row may be
 * listed twice.
 *
 * Return: number of rows filled; it can be 0 before the end.
 */
uint32_t entry_flows(const struct entry *entry, uint64_t *cursor,
		     struct flow_row *rows, uint32_t rows_max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < SLOTS_PER_CALL_MAX && n < rows_max; i++) {
		if (*cursor == CURSOR_END)
			break;
		if (next_row(entry, cursor, &rows[n]))
			n++;
	}
	return n;
}
