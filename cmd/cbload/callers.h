/* Inside of the callers: sessions, and the requests on them. */
#ifndef CB_CALLERS_H
#define CB_CALLERS_H

#include "load.h"

#include <inttypes.h>

/*
 * An id is 24 bits of the run's seed, 20 of the caller and 20 of its
 * sequence, so that an answer that reached the wrong caller shows.
 */
#define ID_BASE_SHIFT 40
#define ID_CALLER_SHIFT 20
#define ID_CALLER_MASK 0xfffffULL
#define ID_SEED 0x6c6f6164ULL

#define READINGS_BYTES 4096
#define ANSWER_TIMEOUT_MARGIN_MS 500
#define CHECK_PERIOD_NS (20 * NS_PER_MS)

/**
 * struct caller - one client session
 * @session: NULL when retired
 * @record_index: its current or last request, in the records
 * @has_request: a request is open
 * @has_open_feed: that request is a feed whose first answer came
 * @must_close: to be retired outside of libcoap's handlers
 * @answer_deadline_ns: no final answer by then is lost
 * @update_deadline_ns: no update by then is a stalled feed
 * @failure: what went wrong, for --verbose
 */
struct caller {
	coap_session_t *session;
	struct callers *callers;
	uint32_t number;
	uint32_t sequence;
	uint32_t record_index;
	uint8_t service;
	bool has_request;
	bool has_open_feed;
	bool must_close;
	size_t token_bytes;
	uint8_t token[TOKEN_MAX_BYTES];
	uint64_t answer_deadline_ns;
	uint64_t update_deadline_ns;
	const char *failure;
};

/**
 * struct callers - all callers of a run
 * @list: struct caller
 * @idle: those without a request, by service, longest idle first
 * @n_by_service: callers by service
 * @records: struct call_record
 * @retries: struct arrival of those told to come back
 */
struct callers {
	const struct options *options;
	coap_context_t *coap;
	GPtrArray *list;
	GPtrArray *idle[N_LOG_SERVICES];
	uint32_t n_by_service[N_LOG_SERVICES];
	GArray *records;
	GArray *retries;
	uint64_t id_base;
	uint64_t now_ns;
	uint64_t answer_timeout_ns;
	uint64_t feed_gap_ns;
	uint64_t check_deadline_ns;
	uint32_t n_unanswered;
	bool retries_stopped;
	uint8_t body[READINGS_BYTES];
};

static inline struct call_record *caller_record(struct caller *caller)
{
	return &g_array_index(caller->callers->records, struct call_record,
			      caller->record_index);
}

void caller_close_session(struct caller *caller);
void call_finish(struct caller *caller, uint8_t end);
void call_schedule_retry(struct caller *caller, uint32_t after_s);

int request_send(struct caller *caller, uint8_t kind);

coap_response_t on_answer(coap_session_t *session, const coap_pdu_t *sent,
			  const coap_pdu_t *received, const coap_mid_t mid);
void on_nack(coap_session_t *session, const coap_pdu_t *sent,
	     const coap_nack_reason_t reason, const coap_mid_t mid);

#endif
