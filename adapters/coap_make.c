/*
 * Encodes the core's actions as CoAP datagrams. In a forwarded datagram only
 * the type, message ID, token and Timeout option change.
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

/* Output buffer. @err keeps the first error; later writes do nothing. */
struct out_buffer {
	uint8_t *buf;
	uint32_t size_bytes;
	uint32_t cap_bytes;
	int32_t err;
};

/**
 * struct option_cursor - iterator over the options of a datagram
 * @next: first byte that isn't consumed
 * @end: end of the datagram
 * @last_number: number of the last consumed option, 0 before the first
 * @option: option at @next, set by option_peek()
 * @option_bytes: encoded size of @option
 */
struct option_cursor {
	const uint8_t *next;
	const uint8_t *end;
	uint16_t last_number;
	coap_option_t option;
	uint32_t option_bytes;
};

static void put_bytes(struct out_buffer *out, const void *bytes, size_t n)
{
	if (out->err)
		return;
	if (n > out->cap_bytes - out->size_bytes) {
		out->err = -EMSGSIZE;
		return;
	}
	if (n)
		memcpy(out->buf + out->size_bytes, bytes, n);
	out->size_bytes += n;
}

static void put_option(struct out_buffer *out, uint32_t delta,
		       const uint8_t *value, size_t n)
{
	size_t used;

	if (out->err)
		return;
	used = coap_opt_encode(out->buf + out->size_bytes,
			       out->cap_bytes - out->size_bytes,
			       (uint16_t)delta, value, n);
	if (!used)
		out->err = -EMSGSIZE;
	out->size_bytes += used;
}

static void put_uint_option(struct out_buffer *out, uint32_t delta,
			    uint32_t value)
{
	uint8_t bytes[UINT_OPTION_MAX_BYTES];
	uint32_t n = coap_encode_var_safe(bytes, sizeof(bytes), value);

	put_option(out, delta, bytes, n);
}

static void put_header(struct out_buffer *out, uint8_t type, uint8_t code,
		       uint16_t id, const uint8_t *token, uint8_t token_len)
{
	uint8_t head[HEADER_BYTES] = { (uint8_t)(COAP_VERSION << 6 |
						 (type & 3) << 4 | token_len),
				       code, id >> 8, id & 0xff };

	if (token_len > TOKEN_MAX_BYTES) {
		out->err = -EINVAL;
		return;
	}
	put_bytes(out, head, sizeof(head));
	put_bytes(out, token, token_len);
}

static int32_t out_result(const struct out_buffer *out)
{
	return out->err ? out->err : (int32_t)out->size_bytes;
}

/* Start of the options, or NULL when the datagram is missing or truncated. */
static const uint8_t *options_start(const struct action *action)
{
	uint32_t skip_bytes;

	if (!action->data || action->size_bytes < HEADER_BYTES)
		return NULL;
	skip_bytes = HEADER_BYTES + (action->data[0] & TOKEN_LEN_MASK);
	return skip_bytes > action->size_bytes ? NULL
					       : action->data + skip_bytes;
}

/*
 * Parses the next option without consuming it. Returns false at the payload, at
 * the end of the datagram and at a malformed option.
 */
static bool option_peek(struct option_cursor *cursor)
{
	if (cursor->next == cursor->end || *cursor->next == PAYLOAD_MARKER)
		return false;
	cursor->option_bytes =
		coap_opt_parse(cursor->next,
			       (size_t)(cursor->end - cursor->next),
			       &cursor->option);
	return cursor->option_bytes != 0;
}

static void option_skip(struct option_cursor *cursor)
{
	cursor->last_number += cursor->option.delta;
	cursor->next += cursor->option_bytes;
}

/* Skips to the first option with @number or a higher one; false if none. */
static bool option_seek(struct option_cursor *cursor, uint32_t number)
{
	while (option_peek(cursor)) {
		if ((uint32_t)cursor->last_number + cursor->option.delta >=
		    number)
			return true;
		option_skip(cursor);
	}
	return false;
}

/*
 * Copies the remaining options and the payload, with one option @number of the
 * given value instead of any that the datagram has.
 */
static void put_option_replacing(struct out_buffer *out,
				 struct option_cursor *cursor, uint16_t number,
				 uint32_t value)
{
	const uint8_t *unchanged = cursor->next;
	uint16_t last_number;
	uint32_t next_number;
	bool more;

	more = option_seek(cursor, number);
	put_bytes(out, unchanged, (size_t)(cursor->next - unchanged));
	last_number = cursor->last_number;
	put_uint_option(out, (uint32_t)number - last_number, value);
	while (more &&
	       (uint32_t)cursor->last_number + cursor->option.delta == number) {
		option_skip(cursor);
		more = option_peek(cursor);
	}
	if (more) {
		next_number =
			(uint32_t)cursor->last_number + cursor->option.delta;
		put_option(out, next_number - number, cursor->option.value,
			   cursor->option.length);
		option_skip(cursor);
	}
	put_bytes(out, cursor->next, (size_t)(cursor->end - cursor->next));
}

static uint32_t timeout_ms(uint64_t timeout_ns)
{
	uint64_t ms = timeout_ns / NS_PER_MS;

	if (ms > UINT32_MAX)
		return UINT32_MAX;
	return ms ? (uint32_t)ms : 1;
}

/**
 * coap_wire_rewrite() - encode a received datagram for forwarding
 * @action: action with the received datagram and the type, message ID and token
 *	to write; a timeout_ns other than 0 is written as the Timeout option
 * @buf: encoded datagram
 * @cap_bytes: capacity of @buf
 *
 * Return: size of the datagram in bytes; -EMSGSIZE when @buf is too small;
 * -EPROTO when the received datagram is truncated; -EINVAL when the token
 * exceeds TOKEN_MAX_BYTES.
 */
int32_t coap_wire_rewrite(const struct action *action, uint8_t *buf,
			  uint32_t cap_bytes)
{
	struct out_buffer out = { .buf = buf, .cap_bytes = cap_bytes };
	const uint8_t *options = options_start(action);
	struct option_cursor cursor = { .next = options };

	if (!options)
		return -EPROTO;
	cursor.end = action->data + action->size_bytes;
	put_header(&out, action->type, action->data[1], action->id,
		   action->token, action->token_len);
	if (action->timeout_ns)
		put_option_replacing(&out, &cursor, OPTION_TIMEOUT,
				     timeout_ms(action->timeout_ns));
	else
		put_bytes(&out, cursor.next,
			  (size_t)(cursor.end - cursor.next));
	return out_result(&out);
}

static const char *const refuse_texts[REFUSE_COUNT] = {
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

static const char *refuse_text(uint8_t reason)
{
	if (reason >= REFUSE_COUNT || !refuse_texts[reason])
		return refuse_texts[REFUSE_NONE];
	return refuse_texts[reason];
}

static void put_body(struct out_buffer *out, const char *body)
{
	const uint8_t marker = PAYLOAD_MARKER;

	put_bytes(out, &marker, 1);
	put_bytes(out, body, strlen(body));
}

static void put_not_run(struct out_buffer *out, const struct action *action)
{
	char body[BODY_MAX_BYTES];

	snprintf(body, sizeof(body), "not run: %s",
		 refuse_text(action->reason));
	put_uint_option(out, COAP_OPTION_MAXAGE, action->retry_after_s);
	put_body(out, body);
}

static void put_unknown(struct out_buffer *out, const struct action *action)
{
	(void)action;
	put_body(out, "outcome unknown");
}

static void put_feed_lost(struct out_buffer *out, const struct action *action)
{
	(void)action;
	put_uint_option(out, COAP_OPTION_MAXAGE, 0);
	put_body(out, "feed lost");
}

static const struct {
	uint8_t code;
	void (*put)(struct out_buffer *out, const struct action *action);
} local_answers[] = {
	[ANSWER_NOT_RUN] = { COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE,
			     put_not_run },
	[ANSWER_UNKNOWN] = { COAP_RESPONSE_CODE_GATEWAY_TIMEOUT, put_unknown },
	[ANSWER_FEED_LOST] = { COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE,
			       put_feed_lost },
};

#define N_LOCAL_ANSWERS (sizeof(local_answers) / sizeof(local_answers[0]))

/**
 * coap_wire_local_answer() - encode an answer made by the balancer itself
 * @action: action of kind ACT_ANSWER_CALLER
 * @buf: encoded datagram
 * @cap_bytes: capacity of @buf
 *
 * Return: size of the datagram in bytes; -EMSGSIZE when @buf is too small;
 * -EINVAL for an unknown answer or a token above TOKEN_MAX_BYTES.
 */
int32_t coap_wire_local_answer(const struct action *action, uint8_t *buf,
			       uint32_t cap_bytes)
{
	struct out_buffer out = { .buf = buf, .cap_bytes = cap_bytes };

	if (action->answer >= N_LOCAL_ANSWERS)
		return -EINVAL;
	put_header(&out, action->type, local_answers[action->answer].code,
		   action->id, action->token, action->token_len);
	local_answers[action->answer].put(&out, action);
	return out_result(&out);
}

/**
 * coap_wire_empty() - encode an empty message: acknowledgement, reset or probe
 * @type: enum wire_type
 * @id: message ID
 * @buf: encoded datagram
 * @cap_bytes: capacity of @buf
 *
 * Return: size of the datagram in bytes; -EMSGSIZE when @buf is too small.
 */
int32_t coap_wire_empty(uint8_t type, uint16_t id, uint8_t *buf,
			uint32_t cap_bytes)
{
	struct out_buffer out = { .buf = buf, .cap_bytes = cap_bytes };

	put_header(&out, type, COAP_EMPTY_CODE, id, NULL, 0);
	return out_result(&out);
}

/**
 * coap_wire_cancel() - encode the cancellation of a request or feed
 * @action: action of kind ACT_CANCEL_TARGET; its data is the request, or the
 *	request that opened the feed, and its token is the one used at the
 *	target
 * @buf: encoded datagram
 * @cap_bytes: capacity of @buf
 *
 * Sends the token with Observe 1 (RFC 7641 section 3.6). A reset would be
 * wrong: a target matches it against message IDs that it chose itself, so a
 * reset with the request's ID could end an unrelated feed and would not stop
 * the request.
 * The method is always GET, so that the cancellation itself has no effect.
 *
 * Return: size of the datagram in bytes; -EMSGSIZE when @buf is too small;
 * -EPROTO when the request is missing or truncated; -EINVAL when the token
 * exceeds TOKEN_MAX_BYTES.
 */
int32_t coap_wire_cancel(const struct action *action, uint8_t *buf,
			 uint32_t cap_bytes)
{
	struct out_buffer out = { .buf = buf, .cap_bytes = cap_bytes };
	const uint8_t *options = options_start(action);
	struct option_cursor cursor = { .next = options };

	if (!action->data || !options)
		return -EPROTO;
	cursor.end = action->data + action->size_bytes;
	put_header(&out, action->type, COAP_REQUEST_GET, action->id,
		   action->token, action->token_len);
	put_option_replacing(&out, &cursor, COAP_OPTION_OBSERVE, 1);
	return out_result(&out);
}

/**
 * coap_wire_load_poll() - encode a request for a target's load
 * @id: message ID, also used as the token
 * @buf: encoded datagram
 * @cap_bytes: capacity of @buf
 *
 * Return: size of the datagram in bytes; -EMSGSIZE when @buf is too small.
 */
int32_t coap_wire_load_poll(uint16_t id, uint8_t *buf, uint32_t cap_bytes)
{
	static const char path[] = "load";
	const uint8_t token[] = { id >> 8, id & 0xff };
	struct out_buffer out = { .buf = buf, .cap_bytes = cap_bytes };

	put_header(&out, WIRE_PLAIN, COAP_REQUEST_GET, id, token,
		   sizeof(token));
	put_option(&out, COAP_OPTION_URI_PATH, (const uint8_t *)path,
		   sizeof(path) - 1);
	return out_result(&out);
}

static const uint8_t *find_payload(const uint8_t *buf, uint32_t size_bytes,
				   uint32_t *payload_bytes)
{
	const struct action action = { .data = buf, .size_bytes = size_bytes };
	const uint8_t *options = options_start(&action);
	struct option_cursor cursor = { .next = options };

	if (!options)
		return NULL;
	cursor.end = buf + size_bytes;
	while (option_peek(&cursor))
		option_skip(&cursor);
	if (cursor.next == cursor.end || *cursor.next != PAYLOAD_MARKER)
		return NULL;
	*payload_bytes = (uint32_t)(cursor.end - cursor.next) - 1;
	return cursor.next + 1;
}

/**
 * coap_wire_parse_load() - parse a target's answer to coap_wire_load_poll()
 * @buf: datagram
 * @size_bytes: size of @buf
 * @out: load; undefined on failure
 *
 * The payload is three numbers: running requests, waiting requests and
 * connections.
 *
 * Return: whether the answer is valid.
 */
bool coap_wire_parse_load(const uint8_t *buf, uint32_t size_bytes,
			  struct load_report *out)
{
	char text[BODY_MAX_BYTES];
	uint32_t n = 0;
	const uint8_t *payload = find_payload(buf, size_bytes, &n);

	if (!payload || n >= sizeof(text))
		return false;
	if (buf[1] != COAP_RESPONSE_CODE_CONTENT)
		return false;
	memcpy(text, payload, n);
	text[n] = '\0';
	return sscanf(text, "%9" SCNu32 " %9" SCNu32 " %9" SCNu32,
		      &out->running, &out->waiting, &out->connections) == 3;
}
