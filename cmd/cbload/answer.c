/* What callers make of answers, errors and resets. */
#include "callers.h"

#include <stdio.h>
#include <string.h>

#define CODE_CLASS(code) ((code) >> 5)
#define CLASS_SUCCESS 2
/* RFC 7252 section 5.10.5. */
#define DEFAULT_MAX_AGE_S 60
/* A caller whose feed was cut without a word opens it again after this. */
#define REOPEN_S 1

static uint32_t max_age_s(const coap_pdu_t *pdu)
{
	coap_opt_iterator_t it;
	coap_opt_t *o = coap_check_option(pdu, COAP_OPTION_MAXAGE, &it);

	if (!o)
		return DEFAULT_MAX_AGE_S;
	return coap_decode_var_bytes(coap_opt_value(o), coap_opt_length(o));
}

static bool has_observe(const coap_pdu_t *pdu)
{
	coap_opt_iterator_t it;

	return coap_check_option(pdu, COAP_OPTION_OBSERVE, &it) != NULL;
}

/* Whether the answer names this request; writes down what it names. */
static bool names_request(struct call_record *r, const coap_pdu_t *pdu)
{
	char service[SERVICE_MAX_BYTES];
	const uint8_t *body;
	size_t size_bytes;
	uint64_t id;

	if (!coap_get_data(pdu, &size_bytes, &body) ||
	    answer_parse((const char *)body, size_bytes, &id, service) < 0)
		return false;
	r->answer_id = id;
	memcpy(r->answer_service, service, sizeof(service));
	if (id != r->id || strcmp(service, call_kind_service(r->kind)) != 0)
		r->mismatched = 1;
	return true;
}

static const char *code_text(unsigned int code)
{
	static char text[16];

	snprintf(text, sizeof(text), "answer %u.%02u", code >> 5, code & 31U);
	return text;
}

/*
 * An answer without an open request: late, or another caller's. The latter
 * means that a token or a port was given to two callers.
 */
static void check_stray(struct caller *caller, const coap_pdu_t *pdu)
{
	struct call_record stray = call_record(caller)[0];
	uint64_t number;

	if (!names_request(&stray, pdu))
		return;
	number = stray.answer_id >> ID_CALLER_SHIFT & ID_CALLER_MASK;
	if (number != caller->number)
		call_record(caller)->mismatched = 1;
}

static void take_update(struct caller *caller)
{
	struct callers *c = caller->of;

	if (!caller->established)
		c->waiting--;
	caller->established = true;
	caller->update_deadline_ns = c->now_ns + c->gap_ns;
}

static void take_success(struct caller *caller, const coap_pdu_t *pdu)
{
	struct call_record *r = call_record(caller);

	if (!names_request(r, pdu)) {
		caller->why = "answer not whole";
		call_end(caller, CALL_CUT);
		return;
	}
	if (r->kind != CALL_FEED) {
		call_end(caller, CALL_ANSWERED);
		return;
	}
	if (has_observe(pdu)) {
		take_update(caller);
		return;
	}
	caller->why = "feed ended without an error";
	call_end(caller, CALL_CUT);
	call_later(caller, REOPEN_S);
}

static void take_error(struct caller *caller, const coap_pdu_t *pdu)
{
	uint8_t code = coap_pdu_get_code(pdu);

	caller->why = code_text(code);
	if (caller->established) {
		call_end(caller, CALL_CUT);
		call_later(caller, max_age_s(pdu));
		return;
	}
	if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE) {
		call_end(caller, CALL_REFUSED);
		call_later(caller, max_age_s(pdu));
		return;
	}
	if (code == COAP_RESPONSE_CODE_GATEWAY_TIMEOUT)
		call_end(caller, CALL_UNKNOWN);
	else
		call_end(caller, CALL_CUT);
}

/**
 * on_answer() - libcoap's response handler
 * @session: session of a caller
 * @sent: request, when libcoap still has it
 * @received: answer, whole
 * @mid: its message ID
 *
 * Return: COAP_RESPONSE_FAIL sends a reset, which ends a feed that nobody
 * listens to.
 */
coap_response_t on_answer(coap_session_t *session, const coap_pdu_t *sent,
			  const coap_pdu_t *received, const coap_mid_t mid)
{
	struct caller *caller = coap_session_get_app_data(session);
	coap_bin_const_t token = coap_pdu_get_token(received);
	bool own;

	(void)sent;
	(void)mid;
	own = caller->busy && token.length == caller->token_bytes &&
	      memcmp(token.s, caller->token, token.length) == 0;
	if (!own) {
		check_stray(caller, received);
		return has_observe(received) ? COAP_RESPONSE_FAIL
					     : COAP_RESPONSE_OK;
	}
	if (CODE_CLASS(coap_pdu_get_code(received)) == CLASS_SUCCESS)
		take_success(caller, received);
	else
		take_error(caller, received);
	return COAP_RESPONSE_OK;
}

/**
 * on_nack() - libcoap gave up on a request, or it was reset
 * @session: session of a caller
 * @sent: request
 * @reason: libcoap's reason
 * @mid: its message ID
 */
void on_nack(coap_session_t *session, const coap_pdu_t *sent,
	     const coap_nack_reason_t reason, const coap_mid_t mid)
{
	static const char *const reasons[] = {
		[COAP_NACK_TOO_MANY_RETRIES] = "too many retries",
		[COAP_NACK_NOT_DELIVERABLE] = "not deliverable",
		[COAP_NACK_RST] = "reset",
		[COAP_NACK_TLS_FAILED] = "TLS",
		[COAP_NACK_ICMP_ISSUE] = "ICMP",
	};
	struct caller *caller = coap_session_get_app_data(session);

	(void)sent;
	(void)mid;
	if (!caller || !caller->busy)
		return;
	caller->why = reason < G_N_ELEMENTS(reasons) ? reasons[reason] : "NACK";
	if (!caller->established) {
		call_end(caller, CALL_LOST);
		return;
	}
	call_end(caller, CALL_CUT);
	call_later(caller, REOPEN_S);
}
