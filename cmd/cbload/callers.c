/*
 * Callers: each is a libcoap client session of its own, so that it has its
 * own source port, and has one request open at a time.
 */
#include "callers.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Callers' addresses: a fleet does not call from one address. */
#define SOURCE_ADDRESSES 200
/* RFC 7252 section 4.8.2: MAX_TRANSMIT_WAIT, with its factor of 1.5. */
#define RANDOM_FACTOR 1.5

static void to_sockaddr(uint64_t addr, coap_address_t *out)
{
	coap_address_init(out);
	out->size = sizeof(out->addr.sin);
	out->addr.sin.sin_family = AF_INET;
	out->addr.sin.sin_addr.s_addr = htonl(ADDR_IP(addr));
	out->addr.sin.sin_port = htons(ADDR_PORT(addr));
}

static void set_timing(coap_session_t *s, const struct options *o)
{
	coap_fixed_point_t ack = {
		.integer_part = (uint16_t)(o->ack_timeout_ms / 1000),
		.fractional_part = (uint16_t)(o->ack_timeout_ms % 1000),
	};

	coap_session_set_ack_timeout(s, ack);
	coap_session_set_max_retransmit(s, (uint16_t)o->max_retransmit);
}

static coap_session_t *new_session(struct callers *c, uint64_t vip,
				   uint32_t number)
{
	uint32_t ip = c->o->from_ip + number % SOURCE_ADDRESSES;
	coap_address_t local, remote;
	coap_session_t *s;

	to_sockaddr(ADDR(ip, 0), &local);
	to_sockaddr(vip, &remote);
	s = coap_new_client_session(c->coap, &local, &remote, COAP_PROTO_UDP);
	if (s)
		set_timing(s, c->o);
	return s;
}

static struct caller *new_caller(struct callers *c, uint8_t service)
{
	uint64_t vip = service == LOG_INGEST ? c->o->ingest : c->o->live;
	coap_session_t *s = new_session(c, vip, c->all->len);
	struct caller *caller;

	if (!s)
		return NULL;
	caller = g_new0(struct caller, 1);
	caller->session = s;
	caller->of = c;
	caller->number = c->all->len;
	caller->service = service;
	coap_session_set_app_data(s, caller);
	g_ptr_array_add(c->all, caller);
	c->n_of_service[service]++;
	return caller;
}

static struct caller *idle_caller(struct callers *c, uint8_t kind)
{
	uint8_t service = kind == CALL_READINGS ? LOG_INGEST : LOG_LIVE;
	GPtrArray *idle = c->idle[service];

	if (!idle->len || c->n_of_service[service] < c->o->callers)
		return new_caller(c, service);
	return g_ptr_array_steal_index(idle, 0);
}

/* How long a caller waits for its final answer at most. */
static uint64_t patience_ns(const struct options *o)
{
	double retransmissions = (2U << o->max_retransmit) - 1;
	double ms = o->ack_timeout_ms * retransmissions * RANDOM_FACTOR;

	if (ms < o->timeout_ms)
		ms = o->timeout_ms;
	return (uint64_t)(ms + PATIENCE_MARGIN_MS) * NS_PER_MS;
}

/**
 * caller_retire() - close the session of a caller that got no answer
 * @caller: caller
 *
 * libcoap may still hold its last request, which would hold back the next
 * one, and a late answer would be taken for the next request's.
 */
void caller_retire(struct caller *caller)
{
	if (caller->session)
		coap_session_release(caller->session);
	caller->session = NULL;
	caller->busy = false;
}

/**
 * call_end() - write down how a caller's request ended
 * @caller: caller
 * @end: enum call_end
 */
void call_end(struct caller *caller, uint8_t end)
{
	struct callers *c = caller->of;
	struct call_record *r = call_record(caller);

	r->end = end;
	r->ended_ns = c->now_ns;
	c->waiting -= !caller->established;
	caller->established = false;
	caller->busy = false;
	if (c->o->verbose && (end == CALL_LOST || end == CALL_CUT))
		fprintf(stderr, "cbload: %s %016" PRIx64 " %s at %.3f s: %s\n",
			call_kind_names[r->kind], r->id,
			end == CALL_LOST ? "lost" : "cut",
			(double)c->now_ns / NS_PER_S, caller->why);
	if (end == CALL_LOST || end == CALL_CUT)
		caller->retire = true;
	else
		g_ptr_array_add(c->idle[caller->service], caller);
}

/**
 * call_later() - plan a new request of the same kind
 * @caller: caller that was told to come back
 * @after_s: Max-Age of the answer
 */
void call_later(struct caller *caller, uint32_t after_s)
{
	struct callers *c = caller->of;
	struct planned p = {
		.at_ns = c->now_ns + after_s * NS_PER_S,
		.kind = call_record(caller)->kind,
	};

	if (c->o->come_back && !c->no_more)
		g_array_append_val(c->later, p);
}

/**
 * callers_open() - prepare libcoap
 * @o: command line, kept
 * @out: set
 *
 * Return: 0 or -ENOMEM.
 */
int callers_open(const struct options *o, struct callers **out)
{
	struct callers *c = g_new0(struct callers, 1);

	coap_startup();
	coap_set_log_level(LOG_EMERG);
	c->coap = coap_new_context(NULL);
	if (!c->coap) {
		g_free(c);
		return -ENOMEM;
	}
	coap_context_set_block_mode(c->coap, COAP_BLOCK_USE_LIBCOAP |
						     COAP_BLOCK_SINGLE_BODY);
	coap_register_response_handler(c->coap, on_answer);
	coap_register_nack_handler(c->coap, on_nack);
	c->o = o;
	c->patience_ns = patience_ns(o);
	c->gap_ns = o->feed_gap_ms * NS_PER_MS;
	c->id_base = hash_u64(o->seed, ID_SEED) << ID_BASE_SHIFT;
	c->all = g_ptr_array_new();
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		c->idle[s] = g_ptr_array_new();
	c->records = g_array_new(FALSE, TRUE, sizeof(struct call_record));
	c->later = g_array_new(FALSE, FALSE, sizeof(struct planned));
	memset(c->body, 'r', sizeof(c->body));
	*out = c;
	return 0;
}

/**
 * callers_fd() - descriptor that is readable when libcoap has work
 * @c: callers
 *
 * Return: the descriptor.
 */
int callers_fd(const struct callers *c)
{
	return coap_context_get_coap_fd(c->coap);
}

static void check_deadline(struct caller *caller, uint64_t now_ns)
{
	struct callers *c = caller->of;
	struct call_record *r = call_record(caller);

	if (caller->established) {
		if (now_ns <= caller->update_deadline_ns || r->stalled)
			return;
		r->stalled = 1;
		if (c->o->verbose)
			fprintf(stderr,
				"cbload: feed %016" PRIx64
				" stalled at %.3f s\n",
				r->id, (double)now_ns / NS_PER_S);
		return;
	}
	if (now_ns <= caller->answer_deadline_ns)
		return;
	caller->why = "no final answer";
	call_end(caller, CALL_LOST);
}

static void send_later(struct callers *c, uint64_t now_ns)
{
	for (uint32_t i = c->later->len; i-- > 0;) {
		struct planned p = g_array_index(c->later, struct planned, i);

		if (p.at_ns > now_ns)
			continue;
		g_array_remove_index_fast(c->later, i);
		if (!c->no_more)
			callers_send(c, p.kind, now_ns);
	}
}

/**
 * callers_process() - take what has come, retransmit, check deadlines
 * @c: callers
 * @now_ns: time since the run's begin
 */
void callers_process(struct callers *c, uint64_t now_ns)
{
	c->now_ns = now_ns;
	coap_io_process(c->coap, COAP_IO_NO_WAIT);
	if (now_ns < c->check_deadline_ns)
		return;
	c->check_deadline_ns = now_ns + CHECK_PERIOD_NS;
	for (uint32_t i = 0; i < c->all->len; i++) {
		struct caller *caller = g_ptr_array_index(c->all, i);

		if (caller->busy)
			check_deadline(caller, now_ns);
		if (caller->retire && caller->session)
			caller_retire(caller);
	}
	send_later(c, now_ns);
}

/**
 * callers_send() - let an idle caller, or a new one, send a request
 * @c: callers
 * @kind: enum call_kind
 * @now_ns: time since the run's begin
 *
 * A request that could not even be sent is written down as lost.
 */
void callers_send(struct callers *c, uint8_t kind, uint64_t now_ns)
{
	struct caller *caller = idle_caller(c, kind);
	struct call_record r = { .kind = kind, .sent_ns = now_ns };

	c->now_ns = now_ns;
	if (!caller) {
		fprintf(stderr, "cbload: session: %s\n", strerror(errno));
		r.end = CALL_LOST;
		g_array_append_val(c->records, r);
		return;
	}
	r.id = c->id_base | (uint64_t)caller->number << ID_CALLER_SHIFT |
	       ++caller->sequence;
	caller->record = c->records->len;
	g_array_append_val(c->records, r);
	caller->busy = true;
	c->waiting++;
	caller->answer_deadline_ns = now_ns + c->patience_ns;
	if (request_send(caller, kind) < 0) {
		caller->why = "could not be sent";
		call_end(caller, CALL_LOST);
	}
}

/**
 * callers_no_more() - from now on nobody comes back
 * @c: callers
 */
void callers_no_more(struct callers *c)
{
	c->no_more = true;
}

/**
 * callers_waiting() - requests without a final answer, open feeds apart
 * @c: callers
 *
 * Return: how many.
 */
uint32_t callers_waiting(const struct callers *c)
{
	return c->waiting;
}

/**
 * callers_end_feeds() - close every open feed as its caller would
 * @c: callers
 * @now_ns: time since the run's begin
 */
void callers_end_feeds(struct callers *c, uint64_t now_ns)
{
	c->now_ns = now_ns;
	for (uint32_t i = 0; i < c->all->len; i++) {
		struct caller *caller = g_ptr_array_index(c->all, i);
		coap_binary_t token = { caller->token_bytes, caller->token };

		if (!caller->established)
			continue;
		coap_cancel_observe(caller->session, &token, COAP_MESSAGE_CON);
		call_end(caller, CALL_ANSWERED);
	}
}

/**
 * callers_records() - what the callers wrote down
 * @c: callers
 *
 * Return: struct call_record, owned by @c.
 */
GArray *callers_records(struct callers *c)
{
	return c->records;
}

/**
 * callers_close() - release every session
 * @c: callers
 */
void callers_close(struct callers *c)
{
	for (uint32_t i = 0; i < c->all->len; i++) {
		struct caller *caller = g_ptr_array_index(c->all, i);

		caller_retire(caller);
		g_free(caller);
	}
	coap_free_context(c->coap);
	coap_cleanup();
	g_ptr_array_free(c->all, TRUE);
	for (uint32_t s = 0; s < N_LOG_SERVICES; s++)
		g_ptr_array_free(c->idle[s], TRUE);
	g_array_free(c->records, TRUE);
	g_array_free(c->later, TRUE);
	g_free(c);
}
