/* Handles answers, errors and resets that callers receive. */
#include "callers.h"

#include <stdio.h>
#include <string.h>

#define CODE_CLASS(code) ((code) >> 5)
#define CLASS_SUCCESS 2
/* Max-Age of an answer without that option, RFC 7252 section 5.10.5. */
#define DEFAULT_MAX_AGE_S 60
/* Delay before a feed that ended without an error answer is opened again. */
#define REOPEN_S 1

static uint32_t max_age_s(const coap_pdu_t *pdu)
{
	coap_opt_iterator_t it;
	coap_opt_t *option = coap_check_option(pdu, COAP_OPTION_MAXAGE, &it);

	if (!option)
		return DEFAULT_MAX_AGE_S;
	return coap_decode_var_bytes(coap_opt_value(option),
				     coap_opt_length(option));
}

static bool has_observe(const coap_pdu_t *pdu)
{
	coap_opt_iterator_t it;

	return coap_check_option(pdu, COAP_OPTION_OBSERVE, &it) != NULL;
}

/*
 * Records the id and the service that an answer's body names; another id or
 * service marks the record as crossed. Return: false when the body names none.
 */
static bool record_answer(struct call_record *record, const coap_pdu_t *pdu)
{
	char service[SERVICE_MAX_BYTES];
	const uint8_t *body;
	size_t size_bytes;
	uint64_t id;

	if (!coap_get_data(pdu, &size_bytes, &body) ||
	    answer_parse((const char *)body, size_bytes, &id, service) < 0)
		return false;
	record->answer_id = id;
	memcpy(record->answer_service, service, sizeof(service));
	if (id != record->id ||
	    strcmp(service, call_service(record->kind)) != 0)
		record->crossed = 1;
	return true;
}

static const char *code_text(unsigned int code)
{
	static char text[16];

	snprintf(text, sizeof(text), "answer %u.%02u", code >> 5, code & 31U);
	return text;
}

/*
 * Handles an answer that matches no open request. It is late, or belongs to
 * another caller, which means that two callers shared a token or a port.
 */
static void check_unexpected(struct caller *caller, const coap_pdu_t *pdu)
{
	struct call_record unexpected = caller_record(caller)[0];
	uint64_t number;

	if (!record_answer(&unexpected, pdu))
		return;
	number = unexpected.answer_id >> ID_CALLER_SHIFT & ID_CALLER_MASK;
	if (number != caller->number)
		caller_record(caller)->crossed = 1;
}

static void handle_update(struct caller *caller)
{
	struct callers *callers = caller->callers;

	if (!caller->has_open_feed)
		callers->n_unanswered--;
	caller->has_open_feed = true;
	caller->update_deadline_ns = callers->now_ns + callers->feed_gap_ns;
}

static void handle_success(struct caller *caller, const coap_pdu_t *pdu)
{
	struct call_record *record = caller_record(caller);

	if (!record_answer(record, pdu)) {
		caller->failure = "incomplete answer";
		call_finish(caller, CALL_CUT);
		return;
	}
	if (record->kind != CALL_FEED) {
		call_finish(caller, CALL_ANSWERED);
		return;
	}
	if (has_observe(pdu)) {
		handle_update(caller);
		return;
	}
	caller->failure = "feed ended without an error";
	call_finish(caller, CALL_CUT);
	call_schedule_retry(caller, REOPEN_S);
}

static void handle_error(struct caller *caller, const coap_pdu_t *pdu)
{
	uint8_t code = coap_pdu_get_code(pdu);

	caller->failure = code_text(code);
	if (caller->has_open_feed) {
		call_finish(caller, CALL_CUT);
		call_schedule_retry(caller, max_age_s(pdu));
		return;
	}
	if (code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE) {
		call_finish(caller, CALL_REFUSED);
		call_schedule_retry(caller, max_age_s(pdu));
		return;
	}
	if (code == COAP_RESPONSE_CODE_GATEWAY_TIMEOUT)
		call_finish(caller, CALL_UNKNOWN);
	else
		call_finish(caller, CALL_CUT);
}

/**
 * on_answer() - response handler for libcoap
 * @session: session of a caller
 * @sent: request, or NULL when libcoap no longer holds it
 * @received: answer, reassembled from its blocks
 * @mid: message ID of the answer
 *
 * Return: COAP_RESPONSE_FAIL, which makes libcoap send a reset, for a
 * notification of a feed that is no longer open; COAP_RESPONSE_OK otherwise.
 */
coap_response_t on_answer(coap_session_t *session, const coap_pdu_t *sent,
			  const coap_pdu_t *received, const coap_mid_t mid)
{
	struct caller *caller = coap_session_get_app_data(session);
	coap_bin_const_t token = coap_pdu_get_token(received);
	bool is_expected;

	(void)sent;
	(void)mid;
	is_expected = caller->has_request &&
		      token.length == caller->token_bytes &&
		      memcmp(token.s, caller->token, token.length) == 0;
	if (!is_expected) {
		check_unexpected(caller, received);
		return has_observe(received) ? COAP_RESPONSE_FAIL
					     : COAP_RESPONSE_OK;
	}
	if (CODE_CLASS(coap_pdu_get_code(received)) == CLASS_SUCCESS)
		handle_success(caller, received);
	else
		handle_error(caller, received);
	return COAP_RESPONSE_OK;
}

/**
 * on_nack() - handler for requests that libcoap gave up or that were reset
 * @session: session of a caller
 * @sent: request
 * @reason: reason given by libcoap
 * @mid: message ID of the request
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
	if (!caller || !caller->has_request)
		return;
	caller->failure =
		reason < G_N_ELEMENTS(reasons) ? reasons[reason] : "NACK";
	if (!caller->has_open_feed) {
		call_finish(caller, CALL_LOST);
		return;
	}
	call_finish(caller, CALL_CUT);
	call_schedule_retry(caller, REOPEN_S);
}
