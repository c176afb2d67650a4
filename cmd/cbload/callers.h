/* Internals of the callers: sessions, and the requests on them. */
#ifndef CB_CALLERS_H
#define CB_CALLERS_H

#include "load.h"

#include <inttypes.h>

/*
 * A request's id holds 24 bits of a hash of the run's seed, 20 bits of the
 * caller's number and 20 bits of its sequence number. The caller's number
 * makes an answer that reached the wrong caller detectable.
 */
#define ID_BASE_SHIFT 40
#define ID_CALLER_SHIFT 20
#define ID_CALLER_MASK 0xfffffULL
#define ID_SEED 0x6c6f6164ULL

#define READINGS_BYTES 4096
/* Time for a final answer to arrive after the last timeout of the protocol. */
#define ANSWER_TIMEOUT_MARGIN_MS 500
#define CHECK_PERIOD_NS (20 * NS_PER_MS)

/**
 * struct caller - one client session
 * @session: libcoap's session; NULL once closed
 * @callers: the callers that it is one of
 * @number: index among all callers
 * @sequence: number of its last request, from 1
 * @record_index: index of its current or last request in @callers' records
 * @service: LOG_LIVE or LOG_INGEST
 * @has_request: a request is open
 * @has_open_feed: the open request is a feed that got its first answer
 * @must_close: close the session once no libcoap handler of it runs
 * @token_bytes: length of @token
 * @token: CoAP token of the current or last request
 * @answer_deadline_ns: time since the start of the run after which the open
 *	request counts as lost
 * @update_deadline_ns: time since the start of the run after which an open
 *	feed counts as stalled
 * @failure: reason why the request was lost or cut, printed by --verbose
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
 * @options: options of the command line
 * @coap: libcoap's context
 * @list: struct caller *, by number; owned
 * @idle: callers with a session but without a request, by service, longest
 *	idle first
 * @n_by_service: number of callers ever made, by service
 * @records: struct call_record of every request
 * @retries: struct arrival of requests to be repeated
 * @id_base: bits of the seed's hash in each request's id
 * @now_ns: current time since the start of the run
 * @answer_timeout_ns: longest wait for a final answer
 * @feed_gap_ns: time without an update after which a feed counts as stalled
 * @check_deadline_ns: time of the next check of deadlines
 * @n_unanswered: open requests without a final answer, open feeds excluded
 * @retries_stopped: the load has ended, nothing is repeated any more
 * @body: body of each readings request
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

/* Record of the caller's current or last request; appending to records moves it. */
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
