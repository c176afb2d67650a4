#include "target.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/*
 * By default libcoap has only one outstanding confirmable message per session
 * (NSTART 1). All requests of an entry share one session here, so one lost ACK
 * would delay the answers to all other callers.
 */
#define NSTART 16384
#define SOCKET_BUFFER_BYTES (4 << 20)
#define SOCKET_SCAN_MAX 256
#define MISSED_ROUNDS_MAX 2

static const struct resource resources[] = {
	{ "feed", target_handle_feed, true },
	{ "forecast", target_handle_work, false },
	{ "report", target_handle_work, false },
	{ "readings", target_handle_upload, false },
	{ "load", target_handle_load, false },
	{ "missing", target_handle_missing, false },
};

/* User data of a resource, the only context that libcoap passes to handlers. */
struct resource_context {
	struct target *t;
	const struct resource *resource;
};

/**
 * target_apply_packet_loss() - set libcoap's packet loss from the faults
 * @t: target
 */
void target_apply_packet_loss(const struct target *t)
{
	char loss[8];

	g_snprintf(loss, sizeof(loss), "%u%%",
		   t->behaviour.silent ? 100 : t->behaviour.loss_percent);
	coap_debug_set_packet_loss(loss);
}

static bool add_uint(coap_pdu_t *pdu, coap_option_num_t number, uint32_t n)
{
	uint8_t buf[4];
	unsigned int len = coap_encode_var_safe(buf, sizeof(buf), n);

	return coap_add_option(pdu, number, len, buf) > 0;
}

static bool add_load(struct target *t, coap_pdu_t *pdu)
{
	struct load now = target_current_load(t);
	struct load reported = load_report_get(&t->report, &now, uv_hrtime());
	uint8_t buf[LOAD_BYTES];

	load_encode(&reported, buf);
	return coap_add_option(pdu, OPTION_LOAD, sizeof(buf), buf) > 0;
}

/**
 * target_fill_pdu() - write an answer into a PDU
 * @t: target
 * @pdu: PDU with type, message ID and token set
 * @answer: answer
 *
 * Return: true if all options and the body fitted.
 */
bool target_fill_pdu(struct target *t, coap_pdu_t *pdu,
		     const struct answer *answer)
{
	size_t len = strlen(answer->body);
	bool ok = true;

	coap_pdu_set_code(pdu, answer->code);
	if (answer->code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE)
		ok &= add_uint(pdu, COAP_OPTION_MAXAGE, answer->max_age_s);
	if (answer->has_block)
		ok &= add_uint(pdu, COAP_OPTION_BLOCK1,
			       answer->block_num << 4 |
				       (uint32_t)answer->block_more << 3 |
				       answer->block_szx);
	ok &= add_load(t, pdu);
	if (len)
		ok &= coap_add_data(pdu, len, (const uint8_t *)answer->body);
	return ok;
}

/**
 * target_send() - send a separate answer, after the handler has returned
 * @t: target
 * @r: request to be answered
 * @answer: answer
 */
void target_send(struct target *t, const struct request *r,
		 const struct answer *answer)
{
	coap_pdu_type_t type =
		r->confirmable ? COAP_MESSAGE_CON : COAP_MESSAGE_NON;
	coap_pdu_t *pdu =
		coap_pdu_init(type, 0, coap_new_message_id(r->session),
			      coap_session_max_pdu_size(r->session));

	if (!pdu)
		return;
	if (coap_add_token(pdu, r->key.token_len, r->key.token) &&
	    target_fill_pdu(t, pdu, answer))
		coap_send(r->session, pdu);
	else
		coap_delete_pdu(pdu);
}

static int32_t read_uint(const coap_pdu_t *pdu, coap_option_num_t number)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, number, &it);

	if (!opt)
		return -1;
	return (int32_t)(coap_decode_var_bytes(coap_opt_value(opt),
					       coap_opt_length(opt)) &
			 INT32_MAX);
}

static void read_id(const coap_string_t *query, char id[ID_BYTES])
{
	const char *s = query ? (const char *)query->s : "";
	size_t left = query ? query->length : 0;
	size_t n;

	g_strlcpy(id, "-", ID_BYTES);
	while (left > 3 && memcmp(s, "id=", 3)) {
		const char *amp = memchr(s, '&', left);

		if (!amp)
			return;
		left -= (size_t)(amp + 1 - s);
		s = amp + 1;
	}
	if (left <= 3)
		return;
	for (n = 0; n < left - 3 && n < ID_BYTES - 1; n++) {
		if (!g_ascii_isalnum(s[n + 3]))
			break;
		id[n] = s[n + 3];
	}
	if (n)
		id[n] = '\0';
}

static uint64_t read_deadline(const coap_pdu_t *pdu)
{
	int32_t timeout_ms = read_uint(pdu, OPTION_TIMEOUT);

	if (timeout_ms < 0)
		return NEVER_NS;
	return uv_hrtime() + (uint64_t)timeout_ms * NS_PER_MS;
}

static void read_request(const struct resource_context *context,
			 coap_session_t *session, const coap_pdu_t *pdu,
			 const coap_string_t *query, struct request *r)
{
	coap_bin_const_t token = coap_pdu_get_token(pdu);

	memset(r, 0, sizeof(*r));
	r->resource = context->resource;
	r->session = session;
	r->key.peer = sim_addr(&coap_session_get_addr_remote(session)->addr.sa);
	r->key.mid = (uint16_t)coap_pdu_get_mid(pdu);
	r->key.token_len = (uint8_t)MIN(token.length, TOKEN_MAX_BYTES);
	memcpy(r->key.token, token.s, r->key.token_len);
	r->confirmable = coap_pdu_get_type(pdu) == COAP_MESSAGE_CON;
	r->method = (uint8_t)coap_pdu_get_code(pdu);
	r->observe = read_uint(pdu, COAP_OPTION_OBSERVE);
	r->has_block = coap_get_block(pdu, COAP_OPTION_BLOCK1, &r->block);
	r->deadline_ns = read_deadline(pdu);
	read_id(query, r->id);
}

/*
 * libcoap calls the same handler for notifications, with the request that
 * opened the feed. They differ in the type of the answer or, if both are NON,
 * in that the observer is already known.
 */
static bool is_notification(const coap_pdu_t *request, const coap_pdu_t *answer,
			    const struct observer *feed)
{
	if (coap_pdu_get_type(answer) == COAP_MESSAGE_ACK)
		return false;
	if (coap_pdu_get_type(request) == COAP_MESSAGE_CON ||
	    coap_pdu_get_type(answer) == COAP_MESSAGE_CON)
		return true;
	return feed != NULL;
}

/*
 * Drops the notification of a forgotten observer. An error code would make
 * libcoap 4.3.1 free the observer and then use it (SIGSEGV in
 * coap_io_prepare_io), so libcoap sends the notification and the simulated
 * packet loss drops it. It is a NON, since libcoap would retransmit a CON.
 */
static void drop_notification(coap_pdu_t *answer)
{
	coap_debug_set_packet_loss("100%");
	coap_pdu_set_type(answer, COAP_MESSAGE_NON);
	coap_pdu_set_code(answer, COAP_RESPONSE_CODE_CONTENT);
}

static void notify(struct target *t, struct observer *feed, coap_pdu_t *answer)
{
	struct answer out = { .code = COAP_RESPONSE_CODE_CONTENT };

	if (!feed)
		return;
	feed->round = t->round;
	if (feed->forgotten) {
		drop_notification(answer);
		return;
	}
	t->counts[COUNT_NOTIFICATIONS]++;
	target_write_body(t, feed->id, ++feed->sequence, &out);
	target_fill_pdu(t, answer, &out);
}

/* A cancellation never runs the request, even if the request has ended. */
static void answer_new(struct target *t, const struct request *r,
		       struct answer *out)
{
	if (r->observe == COAP_OBSERVE_CANCEL &&
	    r->method == COAP_REQUEST_GET) {
		target_cancel(t, r);
		out->code = COAP_RESPONSE_CODE_CONTENT;
		target_write_body(t, r->id, 0, out);
		return;
	}
	r->resource->serve(t, r, out);
	out->has_block = r->has_block;
	out->block_num = r->block.num;
	out->block_more = r->block.m;
	out->block_szx = r->block.szx;
}

/* A retransmitted request gets the current sequence number of its feed. */
static void answer_retransmission(struct target *t, const struct request *r,
				  const struct answer *recorded,
				  struct answer *out)
{
	coap_bin_const_t token = { r->key.token_len, r->key.token };
	const struct observer *feed =
		observers_find(t->observers, r->session, token);

	*out = *recorded;
	if (feed && out->code == COAP_RESPONSE_CODE_CONTENT)
		target_write_body(t, feed->id, feed->sequence, out);
}

static void answer_request(struct target *t, const struct request *r,
			   struct answer *out)
{
	const struct answer *recorded = NULL;
	enum dedup_verdict verdict = DEDUP_NEW;

	if (!t->opt.no_dedup)
		verdict =
			dedup_record(t->dedup, &r->key, uv_hrtime(), &recorded);
	if (verdict == DEDUP_PENDING || verdict == DEDUP_ANSWERED) {
		t->counts[COUNT_RETRANSMISSIONS]++;
		if (verdict == DEDUP_ANSWERED)
			answer_retransmission(t, r, recorded, out);
		return;
	}
	if (verdict == DEDUP_REUSED)
		t->counts[COUNT_REUSED_IDS]++;
	answer_new(t, r, out);
	if (out->code)
		dedup_record_answer(t->dedup, &r->key, out);
}

static void handle_request(coap_resource_t *coap_resource,
			   coap_session_t *session, const coap_pdu_t *request,
			   const coap_string_t *query, coap_pdu_t *answer)
{
	const struct resource_context *context =
		coap_resource_get_userdata(coap_resource);
	struct target *t = context->t;
	struct answer out = { 0 };
	struct request r;
	struct observer *feed;

	target_apply_packet_loss(t);
	coap_session_set_nstart(session, NSTART);
	feed = observers_find(t->observers, session,
			      coap_pdu_get_token(request));
	if (is_notification(request, answer, feed)) {
		notify(t, feed, answer);
		return;
	}
	if (t->behaviour.silent)
		return;
	read_request(context, session, request, query, &r);
	answer_request(t, &r, &out);
	if (out.code)
		target_fill_pdu(t, answer, &out);
	target_schedule(t);
}

/**
 * target_notify_observers() - start a notification round
 * @t: target
 */
void target_notify_observers(struct target *t)
{
	t->round++;
	if (t->round > MISSED_ROUNDS_MAX)
		observers_sweep(t->observers, t->round - MISSED_ROUNDS_MAX);
	coap_resource_notify_observers(t->feed_resource, NULL);
}

static int add_resource(struct target *t, const struct resource *resource)
{
	coap_str_const_t *name = coap_make_str_const(resource->name);
	struct resource_context *context = g_new0(struct resource_context, 1);
	coap_resource_t *coap_resource =
		coap_resource_init(name, COAP_RESOURCE_FLAGS_NOTIFY_NON);
	int method;

	if (!coap_resource)
		return -ENOMEM;
	context->t = t;
	context->resource = resource;
	coap_resource_set_userdata(coap_resource, context);
	for (method = COAP_REQUEST_GET; method <= COAP_REQUEST_DELETE; method++)
		coap_register_request_handler(
			coap_resource, (coap_request_t)method, handle_request);
	if (resource->observable) {
		coap_resource_set_get_observable(coap_resource, 1);
		t->feed_resource = coap_resource;
	}
	coap_add_resource(t->coap, coap_resource);
	return 0;
}

/*
 * libcoap reads one datagram per iteration. The default buffer, of about 250
 * small datagrams, overflows in a load spike, and the simulated target would
 * cause losses itself. libcoap does not expose its socket, so it is searched
 * among the file descriptors by its address.
 */
static void enlarge_receive_buffer(const struct target *t)
{
	int size_bytes = SOCKET_BUFFER_BYTES;
	int fd;

	for (fd = 0; fd < SOCKET_SCAN_MAX; fd++) {
		struct sockaddr_in at = { 0 };
		socklen_t len = sizeof(at);

		if (getsockname(fd, (struct sockaddr *)&at, &len) ||
		    at.sin_family != AF_INET ||
		    sim_addr((struct sockaddr *)&at) != t->opt.addr)
			continue;
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size_bytes,
			   sizeof(size_bytes));
	}
}

/**
 * target_serve_open() - open the CoAP endpoint and register the resources
 * @t: target with @opt set
 *
 * Return: 0 or a negative errno value.
 */
int target_serve_open(struct target *t)
{
	coap_address_t at;
	size_t i;
	int rc = 0;

	coap_startup();
	coap_set_log_level(LOG_EMERG);
	coap_address_init(&at);
	at.size = sizeof(at.addr.sin);
	sim_sockaddr(t->opt.addr, &at.addr.sin);
	t->coap = coap_new_context(NULL);
	if (!t->coap)
		return -ENOMEM;
	if (!coap_new_endpoint(t->coap, &at, COAP_PROTO_UDP))
		return -EADDRNOTAVAIL;
	enlarge_receive_buffer(t);
	coap_resource_release_userdata_handler(t->coap, g_free);
	for (i = 0; i < sizeof(resources) / sizeof(resources[0]) && !rc; i++)
		rc = add_resource(t, &resources[i]);
	return rc;
}
