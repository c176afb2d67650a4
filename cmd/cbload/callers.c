/*
 * Callers. Each has a libcoap client session of its own, hence its own source
 * port, and at most one open request.
 */
#include "callers.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Number of source IP addresses that callers are spread over. */
#define SOURCE_ADDRESSES 200
/* ACK_RANDOM_FACTOR of MAX_TRANSMIT_WAIT, RFC 7252 section 4.8.2. */
#define RANDOM_FACTOR 1.5

static void to_sockaddr(uint64_t addr, coap_address_t *out)
{
	coap_address_init(out);
	out->size = sizeof(out->addr.sin);
	out->addr.sin.sin_family = AF_INET;
	out->addr.sin.sin_addr.s_addr = htonl(ADDR_IP(addr));
	out->addr.sin.sin_port = htons(ADDR_PORT(addr));
}

static void set_timing(coap_session_t *session, const struct options *options)
{
	coap_fixed_point_t ack = {
		.integer_part = (uint16_t)(options->ack_timeout_ms / 1000),
		.fractional_part = (uint16_t)(options->ack_timeout_ms % 1000),
	};

	coap_session_set_ack_timeout(session, ack);
	coap_session_set_max_retransmit(session,
					(uint16_t)options->max_retransmit);
}

static coap_session_t *new_session(struct callers *callers, uint64_t vip,
				   uint32_t number)
{
	uint32_t ip = callers->options->from_ip + number % SOURCE_ADDRESSES;
	coap_address_t local, remote;
	coap_session_t *session;

	to_sockaddr(ADDR(ip, 0), &local);
	to_sockaddr(vip, &remote);
	session = coap_new_client_session(callers->coap, &local, &remote,
					  COAP_PROTO_UDP);
	if (session)
		set_timing(session, callers->options);
	return session;
}

static struct caller *new_caller(struct callers *callers, uint8_t service)
{
	uint64_t vip = service == LOG_INGEST ? callers->options->ingest
					     : callers->options->live;
	coap_session_t *session = new_session(callers, vip, callers->list->len);
	struct caller *caller;

	if (!session)
		return NULL;
	caller = g_new0(struct caller, 1);
	caller->session = session;
	caller->callers = callers;
	caller->number = callers->list->len;
	caller->service = service;
	coap_session_set_app_data(session, caller);
	g_ptr_array_add(callers->list, caller);
	callers->n_by_service[service]++;
	return caller;
}

static struct caller *idle_caller(struct callers *callers, uint8_t kind)
{
	uint8_t service = kind == CALL_READINGS ? LOG_INGEST : LOG_LIVE;
	GPtrArray *idle = callers->idle[service];

	if (!idle->len ||
	    callers->n_by_service[service] < callers->options->callers)
		return new_caller(callers, service);
	return g_ptr_array_steal_index(idle, 0);
}

/*
 * Longest wait for a final answer: MAX_TRANSMIT_WAIT or the request's timeout,
 * whichever is longer, and a margin.
 */
static uint64_t answer_timeout_ns(const struct options *options)
{
	double retransmissions = (2U << options->max_retransmit) - 1;
	double ms = options->ack_timeout_ms * retransmissions * RANDOM_FACTOR;

	if (ms < options->timeout_ms)
		ms = options->timeout_ms;
	return (uint64_t)(ms + ANSWER_TIMEOUT_MARGIN_MS) * NS_PER_MS;
}

/**
 * caller_close_session() - close the session of a caller
 * @caller: caller; it sends no more requests
 *
 * The session of a lost request can't be reused: libcoap may still retransmit
 * that request, which would delay the next one, and a late answer would be
 * taken for the next request's.
 */
void caller_close_session(struct caller *caller)
{
	if (caller->session)
		coap_session_release(caller->session);
	caller->session = NULL;
	caller->has_request = false;
}

/**
 * call_finish() - record the end of a caller's open request
 * @caller: caller; becomes idle, or its session is closed later when the
 *	request was lost or cut
 * @end: enum call_end
 */
void call_finish(struct caller *caller, uint8_t end)
{
	struct callers *callers = caller->callers;
	struct call_record *record = caller_record(caller);

	record->end = end;
	record->ended_ns = callers->now_ns;
	callers->n_unanswered -= !caller->has_open_feed;
	caller->has_open_feed = false;
	caller->has_request = false;
	if (callers->options->verbose && (end == CALL_LOST || end == CALL_CUT))
		fprintf(stderr, "cbload: %s %016" PRIx64 " %s at %.3f s: %s\n",
			call_kind_names[record->kind], record->id,
			end == CALL_LOST ? "lost" : "cut",
			(double)callers->now_ns / NS_PER_S, caller->failure);
	if (end == CALL_LOST || end == CALL_CUT)
		caller->must_close = true;
	else
		g_ptr_array_add(callers->idle[caller->service], caller);
}

/**
 * call_schedule_retry() - schedule a new request of the same kind
 * @caller: caller whose request was refused or cut
 * @after_s: delay, by default the answer's Max-Age
 *
 * Does nothing without --come-back and after callers_stop_retries().
 */
void call_schedule_retry(struct caller *caller, uint32_t after_s)
{
	struct callers *callers = caller->callers;
	struct arrival arrival = {
		.at_ns = callers->now_ns + after_s * NS_PER_S,
		.kind = caller_record(caller)->kind,
	};

	if (callers->options->come_back && !callers->retries_stopped)
		g_array_append_val(callers->retries, arrival);
}

/**
 * callers_open() - initialize libcoap, without any caller yet
 * @options: options of the command line; have to outlive the callers
 * @out: receives the callers; to be freed with callers_close()
 *
 * Return: 0 or -ENOMEM.
 */
int callers_open(const struct options *options, struct callers **out)
{
	struct callers *callers = g_new0(struct callers, 1);

	coap_startup();
	coap_set_log_level(LOG_EMERG);
	callers->coap = coap_new_context(NULL);
	if (!callers->coap) {
		g_free(callers);
		return -ENOMEM;
	}
	coap_context_set_block_mode(
		callers->coap, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
	coap_register_response_handler(callers->coap, on_answer);
	coap_register_nack_handler(callers->coap, on_nack);
	callers->options = options;
	callers->answer_timeout_ns = answer_timeout_ns(options);
	callers->feed_gap_ns = options->feed_gap_ms * NS_PER_MS;
	callers->id_base = hash_u64(options->seed, ID_SEED) << ID_BASE_SHIFT;
	callers->list = g_ptr_array_new();
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		callers->idle[s] = g_ptr_array_new();
	callers->records = g_array_new(FALSE, TRUE, sizeof(struct call_record));
	callers->retries = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	memset(callers->body, 'r', sizeof(callers->body));
	*out = callers;
	return 0;
}

/**
 * callers_fd() - descriptor to wait on before callers_process()
 * @callers: callers
 *
 * Return: a descriptor, owned by libcoap, that is readable when libcoap has
 * something to do.
 */
int callers_fd(const struct callers *callers)
{
	return coap_context_get_coap_fd(callers->coap);
}

static void check_deadline(struct caller *caller, uint64_t now_ns)
{
	struct callers *callers = caller->callers;
	struct call_record *record = caller_record(caller);

	if (caller->has_open_feed) {
		if (now_ns <= caller->update_deadline_ns || record->stalled)
			return;
		record->stalled = 1;
		if (callers->options->verbose)
			fprintf(stderr,
				"cbload: feed %016" PRIx64
				" stalled at %.3f s\n",
				record->id, (double)now_ns / NS_PER_S);
		return;
	}
	if (now_ns <= caller->answer_deadline_ns)
		return;
	caller->failure = "no final answer";
	call_finish(caller, CALL_LOST);
}

static void send_due_retries(struct callers *callers, uint64_t now_ns)
{
	for (uint32_t i = callers->retries->len; i-- > 0;) {
		struct arrival arrival =
			g_array_index(callers->retries, struct arrival, i);

		if (arrival.at_ns > now_ns)
			continue;
		g_array_remove_index_fast(callers->retries, i);
		if (!callers->retries_stopped)
			callers_send(callers, arrival.kind, now_ns);
	}
}

/**
 * callers_process() - receive, retransmit, check deadlines and send due retries
 * @callers: callers
 * @now_ns: time since the start of the run
 */
void callers_process(struct callers *callers, uint64_t now_ns)
{
	callers->now_ns = now_ns;
	coap_io_process(callers->coap, COAP_IO_NO_WAIT);
	if (now_ns < callers->check_deadline_ns)
		return;
	callers->check_deadline_ns = now_ns + CHECK_PERIOD_NS;
	for (uint32_t i = 0; i < callers->list->len; i++) {
		struct caller *caller = g_ptr_array_index(callers->list, i);

		if (caller->has_request)
			check_deadline(caller, now_ns);
		if (caller->must_close && caller->session)
			caller_close_session(caller);
	}
	send_due_retries(callers, now_ns);
}

/**
 * callers_send() - send a request from a new or an idle caller
 * @callers: callers
 * @kind: enum call_kind
 * @now_ns: time since the start of the run
 *
 * A request that can't be sent is recorded as lost.
 */
void callers_send(struct callers *callers, uint8_t kind, uint64_t now_ns)
{
	struct caller *caller = idle_caller(callers, kind);
	struct call_record record = { .kind = kind, .sent_ns = now_ns };

	callers->now_ns = now_ns;
	if (!caller) {
		fprintf(stderr, "cbload: session: %s\n", strerror(errno));
		record.end = CALL_LOST;
		g_array_append_val(callers->records, record);
		return;
	}
	record.id = callers->id_base |
		    (uint64_t)caller->number << ID_CALLER_SHIFT |
		    ++caller->sequence;
	caller->record_index = callers->records->len;
	g_array_append_val(callers->records, record);
	caller->has_request = true;
	callers->n_unanswered++;
	caller->answer_deadline_ns = now_ns + callers->answer_timeout_ns;
	if (request_send(caller, kind) < 0) {
		caller->failure = "could not be sent";
		call_finish(caller, CALL_LOST);
	}
}

/**
 * callers_stop_retries() - send and schedule no more retries
 * @callers: callers
 */
void callers_stop_retries(struct callers *callers)
{
	callers->retries_stopped = true;
}

/**
 * callers_unanswered() - number of open requests without a final answer
 * @callers: callers
 *
 * Return: the number; feeds that got their first answer don't count.
 */
uint32_t callers_unanswered(const struct callers *callers)
{
	return callers->n_unanswered;
}

/**
 * callers_close_feeds() - cancel the observation of every open feed
 * @callers: callers
 * @now_ns: time since the start of the run
 */
void callers_close_feeds(struct callers *callers, uint64_t now_ns)
{
	callers->now_ns = now_ns;
	for (uint32_t i = 0; i < callers->list->len; i++) {
		struct caller *caller = g_ptr_array_index(callers->list, i);
		coap_binary_t token = { caller->token_bytes, caller->token };

		if (!caller->has_open_feed)
			continue;
		coap_cancel_observe(caller->session, &token, COAP_MESSAGE_CON);
		call_finish(caller, CALL_ANSWERED);
	}
}

/**
 * callers_records() - records of all requests
 * @callers: callers
 *
 * Return: struct call_record, owned by @callers.
 */
GArray *callers_records(struct callers *callers)
{
	return callers->records;
}

/**
 * callers_close() - close every session and free the callers
 * @callers: callers
 */
void callers_close(struct callers *callers)
{
	for (uint32_t i = 0; i < callers->list->len; i++) {
		struct caller *caller = g_ptr_array_index(callers->list, i);

		caller_close_session(caller);
		g_free(caller);
	}
	coap_free_context(callers->coap);
	coap_cleanup();
	g_ptr_array_free(callers->list, TRUE);
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		g_ptr_array_free(callers->idle[s], TRUE);
	g_array_free(callers->records, TRUE);
	g_array_free(callers->retries, TRUE);
	g_free(callers);
}
