#include "coap_wire.h"

#include <coap3/coap.h>
#include <errno.h>
#include <string.h>

#define HEADER_BYTES 4
#define BLOCK_MORE_BIT 0x08
#define LOAD_BYTES 6
#define UINT_OPTION_MAX_BYTES 4
#define CODE_CLASS(code) ((code) >> 5)
#define CLASS_REQUEST 0
#define CLASS_SERVER_ERROR 5

/* Whether a method may be executed twice, by code. */
static const bool method_is_idempotent[] = {
	[COAP_REQUEST_GET] = true,   [COAP_REQUEST_PUT] = true,
	[COAP_REQUEST_POST] = false, [COAP_REQUEST_DELETE] = true,
	[COAP_REQUEST_FETCH] = true, [COAP_REQUEST_PATCH] = false,
	[COAP_REQUEST_IPATCH] = true
};

#define N_METHODS \
	(sizeof(method_is_idempotent) / sizeof(method_is_idempotent[0]))

/* State of a scan over the options of a message. */
struct scan {
	struct message *msg;
	bool is_request;
	uint8_t code;
};

static coap_pdu_t *parse_pdu(const uint8_t *buf, uint32_t size_bytes)
{
	/* Kept for the life of the thread, to allocate only once. */
	static _Thread_local coap_pdu_t *pdu;

	if (!pdu) {
		coap_set_log_level(LOG_EMERG);
		pdu = coap_pdu_init(0, 0, 0, DATAGRAM_MAX_BYTES);
	}
	if (!pdu || size_bytes < HEADER_BYTES)
		return NULL;
	if (size_bytes > DATAGRAM_MAX_BYTES)
		return NULL;
	if (!coap_pdu_parse(COAP_PROTO_UDP, buf, size_bytes, pdu))
		return NULL;
	return pdu;
}

static bool option_uint(const coap_opt_t *opt, uint32_t *value)
{
	uint32_t n = coap_opt_length(opt);

	if (n > UINT_OPTION_MAX_BYTES)
		return false;
	*value = coap_decode_var_bytes(coap_opt_value(opt), n);
	return true;
}

static void scan_observe(struct scan *scan, const coap_opt_t *opt)
{
	uint32_t value;

	if (!option_uint(opt, &value))
		return;
	if (!scan->is_request)
		scan->msg->flags |= MESSAGE_FEED_OPEN;
	else if (scan->code != COAP_REQUEST_GET &&
		 scan->code != COAP_REQUEST_FETCH)
		return;
	else if (value == 0)
		scan->msg->flags |= MESSAGE_FEED_OPEN;
	else if (value == 1)
		scan->msg->flags |= MESSAGE_FEED_CLOSE;
}

static void scan_block(struct scan *scan, const coap_opt_t *opt)
{
	uint32_t value;

	if (!option_uint(opt, &value))
		return;
	/* Bits: block number from bit 4, more flag in bit 3, size below. */
	if ((value >> 4) == 0 && !(value & BLOCK_MORE_BIT))
		return;
	scan->msg->flags |= MESSAGE_BLOCK;
	if (value & BLOCK_MORE_BIT)
		scan->msg->flags |= MESSAGE_MORE;
}

static void scan_block1(struct scan *scan, const coap_opt_t *opt)
{
	uint32_t value;

	scan_block(scan, opt);
	if (!scan->is_request || !(scan->msg->flags & MESSAGE_BLOCK))
		return;
	scan->msg->flags |= MESSAGE_BODY;
	if (option_uint(opt, &value) && (value >> 4) == 0)
		scan->msg->flags |= MESSAGE_FIRST_BLOCK;
}

static void scan_timeout(struct scan *scan, const coap_opt_t *opt)
{
	uint32_t ms;

	if (!option_uint(opt, &ms))
		return;
	/*
	 * Timeout 0 says that the caller no longer waits, while timeout_ns 0
	 * means no timeout: the request would run although nobody waits.
	 */
	scan->msg->timeout_ns = ms ? ms * NS_PER_MS : 1;
}

static void scan_load(struct scan *scan, const coap_opt_t *opt)
{
	const uint8_t *v = coap_opt_value(opt);

	if (coap_opt_length(opt) != LOAD_BYTES)
		return;
	scan->msg->load.running = (uint32_t)(v[0] << 8 | v[1]);
	scan->msg->load.waiting = (uint32_t)(v[2] << 8 | v[3]);
	scan->msg->load.connections = (uint32_t)(v[4] << 8 | v[5]);
	scan->msg->has_load = true;
}

static const struct {
	uint16_t number;
	void (*scan)(struct scan *scan, const coap_opt_t *opt);
} option_scans[] = { { COAP_OPTION_OBSERVE, scan_observe },
		     { COAP_OPTION_BLOCK2, scan_block },
		     { COAP_OPTION_BLOCK1, scan_block1 },
		     { OPTION_TIMEOUT, scan_timeout },
		     { OPTION_LOAD, scan_load } };

#define N_OPTION_SCANS (sizeof(option_scans) / sizeof(option_scans[0]))

/* coap_pdu_parse() has validated the options; the loop ends at the payload. */
static void scan_options(const coap_pdu_t *pdu, struct scan *scan)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt;

	if (!coap_option_iterator_init(pdu, &it, COAP_OPT_ALL))
		return; /* no options */
	while ((opt = coap_option_next(&it)) != NULL) {
		for (uint32_t i = 0; i < N_OPTION_SCANS; i++) {
			if (option_scans[i].number == it.number)
				option_scans[i].scan(scan, opt);
		}
	}
}

static int parse_empty(coap_pdu_type_t type, struct message *msg)
{
	static const int8_t kinds[] = { [COAP_MESSAGE_CON] = MESSAGE_PROBE,
					[COAP_MESSAGE_NON] = -1,
					[COAP_MESSAGE_ACK] = MESSAGE_ACK,
					[COAP_MESSAGE_RST] = MESSAGE_RESET };

	if (kinds[type] < 0)
		return -EPROTO;
	msg->kind = (uint8_t)kinds[type];
	return 0;
}

static int parse_request(uint8_t code, coap_pdu_type_t type,
			 struct message *msg)
{
	if (type != COAP_MESSAGE_CON && type != COAP_MESSAGE_NON)
		return -EPROTO;
	msg->kind = MESSAGE_REQUEST;
	if (code < N_METHODS && method_is_idempotent[code])
		msg->flags |= MESSAGE_IDEMPOTENT;
	return 0;
}

static int parse_answer(uint8_t code, coap_pdu_type_t type, struct message *msg)
{
	if (type == COAP_MESSAGE_RST)
		return -EPROTO;
	msg->kind = MESSAGE_ANSWER;
	if (type == COAP_MESSAGE_ACK)
		msg->flags |= MESSAGE_PIGGYBACK;
	if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE)
		msg->flags |= MESSAGE_SHED;
	else if (CODE_CLASS(code) == CLASS_SERVER_ERROR)
		msg->flags |= MESSAGE_FAILED;
	return 0;
}

static int parse_code(uint8_t code, coap_pdu_type_t type, struct message *msg)
{
	if (code == COAP_EMPTY_CODE)
		return parse_empty(type, msg);
	if (CODE_CLASS(code) == CLASS_REQUEST)
		return parse_request(code, type, msg);
	if (CODE_CLASS(code) >= 2 && CODE_CLASS(code) <= CLASS_SERVER_ERROR)
		return parse_answer(code, type, msg);
	return -EPROTO; /* reserved, or for CoAP over TCP only */
}

/**
 * coap_wire_parse() - parse a datagram
 * @buf: datagram; must stay valid while @msg is in use
 * @size_bytes: size of @buf
 * @msg: parsed message; its data member points to @buf
 *
 * Return: 0; -EPROTO when the datagram is not a valid CoAP message or exceeds
 * DATAGRAM_MAX_BYTES.
 */
int coap_wire_parse(const uint8_t *buf, uint32_t size_bytes,
		    struct message *msg)
{
	coap_pdu_t *pdu = parse_pdu(buf, size_bytes);
	struct scan scan = { .msg = msg };
	coap_bin_const_t token;
	coap_pdu_type_t type;
	int err;

	memset(msg, 0, sizeof(*msg));
	if (!pdu)
		return -EPROTO;
	token = coap_pdu_get_token(pdu);
	if (token.length > TOKEN_MAX_BYTES)
		return -EPROTO;
	type = coap_pdu_get_type(pdu);
	scan.code = (uint8_t)coap_pdu_get_code(pdu);
	err = parse_code(scan.code, type, msg);
	if (err)
		return err;
	msg->id = (uint16_t)coap_pdu_get_mid(pdu);
	msg->token_len = (uint8_t)token.length;
	memcpy(msg->token, token.s, token.length);
	if (type == COAP_MESSAGE_CON)
		msg->flags |= MESSAGE_CONFIRM;
	msg->data = buf;
	msg->size_bytes = size_bytes;
	scan.is_request = msg->kind == MESSAGE_REQUEST;
	scan_options(pdu, &scan);
	return 0;
}
