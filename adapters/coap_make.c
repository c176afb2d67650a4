/*
 * The core's actions as CoAP datagrams. A caller's datagram keeps its bytes
 * but for type, message ID, token and one option.
 */
#include "coap_wire.h"

#include <coap3/coap.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define HEADER_BYTES 4
#define COAP_VERSION 1
#define PAYLOAD_MARKER 0xff
#define TOKEN_LEN_MASK 0x0f
#define UINT_OPTION_MAX_BYTES 4
#define BODY_MAX_BYTES 64

/* Output with a sticky error: after the first failure nothing is written. */
struct out {
	uint8_t *buf;
	uint32_t size_bytes;
	uint32_t cap_bytes;
	int32_t err;
};

/* One option of a datagram, and where the walk over them stands. */
struct walk {
	const uint8_t *at;
	const uint8_t *end;
	uint16_t number;
	coap_option_t opt;
	uint32_t opt_bytes;
};

static void put_bytes(struct out *o, const void *bytes, size_t n)
{
	if (o->err)
		return;
	if (n > o->cap_bytes - o->size_bytes) {
		o->err = -EMSGSIZE;
		return;
	}
	if (n)
		memcpy(o->buf + o->size_bytes, bytes, n);
	o->size_bytes += n;
}

static void put_option(struct out *o, uint32_t delta, const uint8_t *value,
		       size_t n)
{
	size_t used;

	if (o->err)
		return;
	used = coap_opt_encode(o->buf + o->size_bytes,
			       o->cap_bytes - o->size_bytes, (uint16_t)delta,
			       value, n);
	if (!used)
		o->err = -EMSGSIZE;
	o->size_bytes += used;
}

static void put_uint_option(struct out *o, uint32_t delta, uint32_t value)
{
	uint8_t bytes[UINT_OPTION_MAX_BYTES];
	uint32_t n = coap_encode_var_safe(bytes, sizeof(bytes), value);

	put_option(o, delta, bytes, n);
}

static void put_header(struct out *o, uint8_t type, uint8_t code, uint16_t id,
		       const uint8_t *token, uint8_t token_len)
{
	uint8_t head[HEADER_BYTES] = { (uint8_t)(COAP_VERSION << 6 |
						 (type & 3) << 4 | token_len),
				       code, id >> 8, id & 0xff };

	if (token_len > TOKEN_MAX_BYTES) {
		o->err = -EINVAL;
		return;
	}
	put_bytes(o, head, sizeof(head));
	put_bytes(o, token, token_len);
}

static int32_t out_end(const struct out *o)
{
	return o->err ? o->err : (int32_t)o->size_bytes;
}

/* Where the options begin, or NULL for a datagram that is none of ours. */
static const uint8_t *options_of(const struct action *a)
{
	uint32_t skip_bytes;

	if (!a->data || a->size_bytes < HEADER_BYTES)
		return NULL;
	skip_bytes = HEADER_BYTES + (a->data[0] & TOKEN_LEN_MASK);
	return skip_bytes > a->size_bytes ? NULL : a->data + skip_bytes;
}

/* Look at the option at @at: false at the payload, the end, or a bad one. */
static bool walk_peek(struct walk *w)
{
	if (w->at == w->end || *w->at == PAYLOAD_MARKER)
		return false;
	w->opt_bytes = coap_opt_parse(w->at, (size_t)(w->end - w->at), &w->opt);
	return w->opt_bytes != 0;
}

static void walk_past(struct walk *w)
{
	w->number += w->opt.delta;
	w->at += w->opt_bytes;
}

/* Advance to the first option with @number or a higher one. */
static bool walk_to(struct walk *w, uint32_t number)
{
	while (walk_peek(w)) {
		if ((uint32_t)w->number + w->opt.delta >= number)
			return true;
		walk_past(w);
	}
	return false;
}

/* Put the option @number in place of any there; the rest stays. */
static void put_replaced(struct out *o, struct walk *w, uint16_t number,
			 uint32_t value)
{
	const uint8_t *from = w->at;
	uint16_t before;
	uint32_t next;
	bool more;

	more = walk_to(w, number);
	put_bytes(o, from, (size_t)(w->at - from));
	before = w->number;
	put_uint_option(o, (uint32_t)number - before, value);
	while (more && (uint32_t)w->number + w->opt.delta == number) {
		walk_past(w);
		more = walk_peek(w);
	}
	if (more) {
		next = (uint32_t)w->number + w->opt.delta;
		put_option(o, next - number, w->opt.value, w->opt.length);
		walk_past(w);
	}
	put_bytes(o, w->at, (size_t)(w->end - w->at));
}

static uint32_t timeout_ms(uint64_t timeout_ns)
{
	uint64_t ms = timeout_ns / NS_PER_MS;

	if (ms > UINT32_MAX)
		return UINT32_MAX;
	return ms ? (uint32_t)ms : 1;
}

/**
 * coap_wire_rewrite() - a received datagram, made fit for the other side
 * @a: action with the datagram, and the type, ID and token to put in; a
 *	timeout_ns other than 0 goes in as the Timeout option
 * @buf: room for the result
 * @cap_bytes: its size
 *
 * Return: bytes written; -EMSGSIZE for too little room; -EPROTO for a
 * datagram that coap_wire_parse() would refuse; -EINVAL for a long token.
 */
int32_t coap_wire_rewrite(const struct action *a, uint8_t *buf,
			  uint32_t cap_bytes)
{
	struct out o = { .buf = buf, .cap_bytes = cap_bytes };
	const uint8_t *options = options_of(a);
	struct walk w = { .at = options };

	if (!options)
		return -EPROTO;
	w.end = a->data + a->size_bytes;
	put_header(&o, a->type, a->data[1], a->id, a->token, a->token_len);
	if (a->timeout_ns)
		put_replaced(&o, &w, OPTION_TIMEOUT, timeout_ms(a->timeout_ns));
	else
		put_bytes(&o, w.at, (size_t)(w.end - w.at));
	return out_end(&o);
}

static const char *const reasons[REFUSE_COUNT] = {
	[REFUSE_NONE] = "refused",
	[REFUSE_QUEUE] = "queue full",
	[REFUSE_SHARE] = "account over its share",
	[REFUSE_DEADLINE] = "can't start in time",
	[REFUSE_NO_TARGET] = "no target",
	[REFUSE_CONNECTIONS] = "targets hold their most feeds",
	[REFUSE_MEMORY] = "no memory",
	[REFUSE_SHED] = "targets shed it",
	[REFUSE_TRANSFER] = "transfer interrupted, begin again",
};

static const char *reason_text(uint8_t reason)
{
	if (reason >= REFUSE_COUNT || !reasons[reason])
		return reasons[REFUSE_NONE];
	return reasons[reason];
}

static void put_body(struct out *o, const char *body)
{
	const uint8_t marker = PAYLOAD_MARKER;

	put_bytes(o, &marker, 1);
	put_bytes(o, body, strlen(body));
}

static void put_not_run(struct out *o, const struct action *a)
{
	char body[BODY_MAX_BYTES];

	snprintf(body, sizeof(body), "not run: %s", reason_text(a->reason));
	put_uint_option(o, COAP_OPTION_MAXAGE, a->retry_after_s);
	put_body(o, body);
}

static void put_unknown(struct out *o, const struct action *a)
{
	(void)a;
	put_body(o, "outcome unknown");
}

static void put_feed_lost(struct out *o, const struct action *a)
{
	(void)a;
	put_uint_option(o, COAP_OPTION_MAXAGE, 0);
	put_body(o, "feed lost");
}

static const struct {
	uint8_t code;
	void (*put)(struct out *o, const struct action *a);
} answers[] = {
	[ANSWER_NOT_RUN] = { COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE,
			     put_not_run },
	[ANSWER_UNKNOWN] = { COAP_RESPONSE_CODE_GATEWAY_TIMEOUT, put_unknown },
	[ANSWER_FEED_LOST] = { COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE,
			       put_feed_lost },
};

#define N_ANSWERS (sizeof(answers) / sizeof(answers[0]))

/**
 * coap_wire_local_answer() - an answer that the balancer itself gives
 * @a: ACT_ANSWER_CALLER
 * @buf: room for the datagram
 * @cap_bytes: its size
 *
 * Return: bytes written, -EMSGSIZE, or -EINVAL for an unknown answer.
 */
int32_t coap_wire_local_answer(const struct action *a, uint8_t *buf,
			       uint32_t cap_bytes)
{
	struct out o = { .buf = buf, .cap_bytes = cap_bytes };

	if (a->answer >= N_ANSWERS)
		return -EINVAL;
	put_header(&o, a->type, answers[a->answer].code, a->id, a->token,
		   a->token_len);
	answers[a->answer].put(&o, a);
	return out_end(&o);
}

/**
 * coap_wire_empty() - an empty message: acknowledgement, reset or probe
 * @type: enum wire_type
 * @id: message ID
 * @buf: room for the datagram
 * @cap_bytes: its size
 *
 * Return: bytes written, or -EMSGSIZE.
 */
int32_t coap_wire_empty(uint8_t type, uint16_t id, uint8_t *buf,
			uint32_t cap_bytes)
{
	struct out o = { .buf = buf, .cap_bytes = cap_bytes };

	put_header(&o, type, COAP_EMPTY_CODE, id, NULL, 0);
	return out_end(&o);
}

/**
 * coap_wire_cancel() - tell a target to stop
 * @a: ACT_CANCEL_TARGET; with the request, or a feed's opening request, as
 *	data, and its token
 * @buf: room for the datagram
 * @cap_bytes: its size
 *
 * The request's token with Observe 1 (RFC 7641 section 3.6) and never a reset:
 * a target matches a reset against message IDs of its own, so one with the
 * request's ID would end whatever feed had that number last, and let the
 * request run. Always a GET, so that the cancellation itself runs nothing.
 *
 * Return: bytes written; -EMSGSIZE; -EPROTO without a well-formed request.
 */
int32_t coap_wire_cancel(const struct action *a, uint8_t *buf,
			 uint32_t cap_bytes)
{
	struct out o = { .buf = buf, .cap_bytes = cap_bytes };
	const uint8_t *options = options_of(a);
	struct walk w = { .at = options };

	if (!a->data || !options)
		return -EPROTO;
	w.end = a->data + a->size_bytes;
	put_header(&o, a->type, COAP_REQUEST_GET, a->id, a->token,
		   a->token_len);
	put_replaced(&o, &w, COAP_OPTION_OBSERVE, 1);
	return out_end(&o);
}

/**
 * coap_wire_load_poll() - a request for a target's load
 * @id: message ID, and token
 * @buf: room for the datagram
 * @cap_bytes: its size
 *
 * Return: bytes written, or -EMSGSIZE.
 */
int32_t coap_wire_load_poll(uint16_t id, uint8_t *buf, uint32_t cap_bytes)
{
	static const char path[] = "load";
	const uint8_t token[] = { id >> 8, id & 0xff };
	struct out o = { .buf = buf, .cap_bytes = cap_bytes };

	put_header(&o, WIRE_PLAIN, COAP_REQUEST_GET, id, token, sizeof(token));
	put_option(&o, COAP_OPTION_URI_PATH, (const uint8_t *)path,
		   sizeof(path) - 1);
	return out_end(&o);
}

static const uint8_t *payload_of(const uint8_t *buf, uint32_t size_bytes,
				 uint32_t *payload_bytes)
{
	const struct action a = { .data = buf, .size_bytes = size_bytes };
	const uint8_t *options = options_of(&a);
	struct walk w = { .at = options };

	if (!options)
		return NULL;
	w.end = buf + size_bytes;
	while (walk_peek(&w))
		walk_past(&w);
	if (w.at == w.end || *w.at != PAYLOAD_MARKER)
		return NULL;
	*payload_bytes = (uint32_t)(w.end - w.at) - 1;
	return w.at + 1;
}

/**
 * coap_wire_parse_load() - read a target's answer to coap_wire_load_poll()
 * @buf: datagram
 * @size_bytes: its size
 * @out: filled
 *
 * Return: true when it is "running waiting connections".
 */
bool coap_wire_parse_load(const uint8_t *buf, uint32_t size_bytes,
			  struct load_report *out)
{
	char text[BODY_MAX_BYTES];
	uint32_t n = 0;
	const uint8_t *payload = payload_of(buf, size_bytes, &n);

	if (!payload || n >= sizeof(text))
		return false;
	if (buf[1] != COAP_RESPONSE_CODE_CONTENT)
		return false;
	memcpy(text, payload, n);
	text[n] = '\0';
	return sscanf(text, "%9" SCNu32 " %9" SCNu32 " %9" SCNu32,
		      &out->running, &out->waiting, &out->connections) == 3;
}
