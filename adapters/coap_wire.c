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

/* Methods that may run twice, by code; POST and PATCH may not. */
static const bool method_idempotent[] = {
	[COAP_REQUEST_GET] = true,   [COAP_REQUEST_PUT] = true,
	[COAP_REQUEST_POST] = false, [COAP_REQUEST_DELETE] = true,
	[COAP_REQUEST_FETCH] = true, [COAP_REQUEST_PATCH] = false,
	[COAP_REQUEST_IPATCH] = true
};

#define N_METHODS (sizeof(method_idempotent) / sizeof(method_idempotent[0]))

/* What the options of one message add up to. */
struct scan {
	struct message *m;
	bool request;
	uint8_t code;
};

static coap_pdu_t *parse(const uint8_t *buf, uint32_t size_bytes)
{
	/* One per thread, for the life of the process: no allocation later. */
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

static void scan_observe(struct scan *s, const coap_opt_t *opt)
{
	uint32_t value;

	if (!option_uint(opt, &value))
		return;
	if (!s->request)
		s->m->flags |= MESSAGE_FEED_OPEN;
	else if (s->code != COAP_REQUEST_GET && s->code != COAP_REQUEST_FETCH)
		return;
	else if (value == 0)
		s->m->flags |= MESSAGE_FEED_OPEN;
	else if (value == 1)
		s->m->flags |= MESSAGE_FEED_CLOSE;
}

static void scan_block(struct scan *s, const coap_opt_t *opt)
{
	uint32_t value;

	if (!option_uint(opt, &value))
		return;
	/* Number above the lowest 4 bits, more bit below it, then the size. */
	if ((value >> 4) == 0 && !(value & BLOCK_MORE_BIT))
		return;
	s->m->flags |= MESSAGE_BLOCK;
	if (value & BLOCK_MORE_BIT)
		s->m->flags |= MESSAGE_MORE;
}

static void scan_block1(struct scan *s, const coap_opt_t *opt)
{
	uint32_t value;

	scan_block(s, opt);
	if (!s->request || !(s->m->flags & MESSAGE_BLOCK))
		return;
	s->m->flags |= MESSAGE_BODY;
	if (option_uint(opt, &value) && (value >> 4) == 0)
		s->m->flags |= MESSAGE_FIRST_BLOCK;
}

static void scan_timeout(struct scan *s, const coap_opt_t *opt)
{
	uint32_t ms;

	if (!option_uint(opt, &ms))
		return;
	/*
	 * Zero means that the caller's time is over, but timeout_ns 0 means
	 * that nothing was said; such a request would be run for nobody.
	 */
	s->m->timeout_ns = ms ? ms * NS_PER_MS : 1;
}

static void scan_load(struct scan *s, const coap_opt_t *opt)
{
	const uint8_t *v = coap_opt_value(opt);

	if (coap_opt_length(opt) != LOAD_BYTES)
		return;
	s->m->load.running = (uint32_t)(v[0] << 8 | v[1]);
	s->m->load.waiting = (uint32_t)(v[2] << 8 | v[3]);
	s->m->load.connections = (uint32_t)(v[4] << 8 | v[5]);
	s->m->has_load = true;
}

static const struct {
	uint16_t number;
	void (*scan)(struct scan *s, const coap_opt_t *opt);
} scans[] = { { COAP_OPTION_OBSERVE, scan_observe },
	      { COAP_OPTION_BLOCK2, scan_block },
	      { COAP_OPTION_BLOCK1, scan_block1 },
	      { OPTION_TIMEOUT, scan_timeout },
	      { OPTION_LOAD, scan_load } };

#define N_SCANS (sizeof(scans) / sizeof(scans[0]))

/* coap_pdu_parse() has checked them all; the walk ends at the payload. */
static void scan_options(const coap_pdu_t *pdu, struct scan *s)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt;

	if (!coap_option_iterator_init(pdu, &it, COAP_OPT_ALL))
		return; /* no options */
	while ((opt = coap_option_next(&it)) != NULL) {
		for (uint32_t i = 0; i < N_SCANS; i++) {
			if (scans[i].number == it.number)
				scans[i].scan(s, opt);
		}
	}
}

static int read_empty(coap_pdu_type_t type, struct message *m)
{
	static const int8_t kinds[] = { [COAP_MESSAGE_CON] = MESSAGE_PROBE,
					[COAP_MESSAGE_NON] = -1,
					[COAP_MESSAGE_ACK] = MESSAGE_ACK,
					[COAP_MESSAGE_RST] = MESSAGE_RESET };

	if (kinds[type] < 0)
		return -EPROTO;
	m->kind = (uint8_t)kinds[type];
	return 0;
}

static int read_request(uint8_t code, coap_pdu_type_t type, struct message *m)
{
	if (type != COAP_MESSAGE_CON && type != COAP_MESSAGE_NON)
		return -EPROTO;
	m->kind = MESSAGE_REQUEST;
	if (code < N_METHODS && method_idempotent[code])
		m->flags |= MESSAGE_IDEMPOTENT;
	return 0;
}

static int read_answer(uint8_t code, coap_pdu_type_t type, struct message *m)
{
	if (type == COAP_MESSAGE_RST)
		return -EPROTO;
	m->kind = MESSAGE_ANSWER;
	if (type == COAP_MESSAGE_ACK)
		m->flags |= MESSAGE_PIGGYBACK;
	if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE)
		m->flags |= MESSAGE_SHED;
	else if (CODE_CLASS(code) == CLASS_SERVER_ERROR)
		m->flags |= MESSAGE_FAILED;
	return 0;
}

static int read_code(uint8_t code, coap_pdu_type_t type, struct message *m)
{
	if (code == COAP_EMPTY_CODE)
		return read_empty(type, m);
	if (CODE_CLASS(code) == CLASS_REQUEST)
		return read_request(code, type, m);
	if (CODE_CLASS(code) >= 2 && CODE_CLASS(code) <= CLASS_SERVER_ERROR)
		return read_answer(code, type, m);
	return -EPROTO; /* reserved, or for streams only */
}

/**
 * coap_wire_parse() - read a datagram
 * @buf: datagram; has to stay while @m is in use
 * @size_bytes: its size
 * @m: filled; @m->data is @buf
 *
 * Return: 0, or -EPROTO for anything but a well-formed CoAP message.
 */
int coap_wire_parse(const uint8_t *buf, uint32_t size_bytes, struct message *m)
{
	coap_pdu_t *pdu = parse(buf, size_bytes);
	struct scan s = { .m = m };
	coap_bin_const_t token;
	coap_pdu_type_t type;
	int err;

	memset(m, 0, sizeof(*m));
	if (!pdu)
		return -EPROTO;
	token = coap_pdu_get_token(pdu);
	if (token.length > TOKEN_MAX_BYTES)
		return -EPROTO;
	type = coap_pdu_get_type(pdu);
	s.code = (uint8_t)coap_pdu_get_code(pdu);
	err = read_code(s.code, type, m);
	if (err)
		return err;
	m->id = (uint16_t)coap_pdu_get_mid(pdu);
	m->token_len = (uint8_t)token.length;
	memcpy(m->token, token.s, token.length);
	if (type == COAP_MESSAGE_CON)
		m->flags |= MESSAGE_CONFIRM;
	m->data = buf;
	m->size_bytes = size_bytes;
	s.request = m->kind == MESSAGE_REQUEST;
	scan_options(pdu, &s);
	return 0;
}
