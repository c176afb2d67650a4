/* Encodes and sends requests as libcoap PDUs. */
#include "callers.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* docs/PROTOCOLS.md; a caller shares no header with the balancer's core. */
#define OPTION_TIMEOUT 65000

/**
 * struct request_shape - method, path and options of a kind of request
 * @path: Uri-Path
 * @method: request code
 * @observe: the request has the Observe option, value 0 (register)
 * @body: the request carries READINGS_BYTES bytes
 */
struct request_shape {
	const char *path;
	coap_pdu_code_t method;
	bool observe;
	bool body;
};

static const struct request_shape request_shapes[N_CALL_KINDS] = {
	[CALL_FEED] = { "feed", COAP_REQUEST_CODE_GET, true, false },
	[CALL_FORECAST] = { "forecast", COAP_REQUEST_CODE_GET, false, false },
	[CALL_REPORT] = { "report", COAP_REQUEST_CODE_POST, false, false },
	[CALL_READINGS] = { "readings", COAP_REQUEST_CODE_POST, false, true },
};

static int add_options(coap_pdu_t *pdu, const struct request_shape *shape,
		       uint64_t id, uint32_t timeout_ms)
{
	uint8_t number[4];
	char query[24];
	size_t ok;

	ok = !shape->observe ||
	     coap_add_option(pdu, COAP_OPTION_OBSERVE, 0, NULL);
	ok = ok &&
	     coap_add_option(pdu, COAP_OPTION_URI_PATH, strlen(shape->path),
			     (const uint8_t *)shape->path);
	snprintf(query, sizeof(query), "id=%016" PRIx64, id);
	ok = ok && coap_add_option(pdu, COAP_OPTION_URI_QUERY, strlen(query),
				   (const uint8_t *)query);
	ok = ok && coap_add_option(pdu, OPTION_TIMEOUT,
				   coap_encode_var_safe(number, sizeof(number),
							timeout_ms),
				   number);
	return ok ? 0 : -EMSGSIZE;
}

/**
 * request_send() - send a caller's current request with a new token
 * @caller: caller; its record has the request's id
 * @kind: enum call_kind
 *
 * Return: 0; -ENOMEM; -EMSGSIZE when the PDU is too small for the request; -EIO
 * when libcoap could not send it.
 */
int request_send(struct caller *caller, uint8_t kind)
{
	const struct request_shape *shape = &request_shapes[kind];
	struct callers *callers = caller->callers;
	coap_session_t *session = caller->session;
	coap_pdu_t *pdu =
		coap_new_pdu(COAP_MESSAGE_CON, shape->method, session);
	int err;

	if (!pdu)
		return -ENOMEM;
	coap_session_new_token(session, &caller->token_bytes, caller->token);
	if (!coap_add_token(pdu, caller->token_bytes, caller->token)) {
		coap_delete_pdu(pdu);
		return -EMSGSIZE;
	}
	err = add_options(pdu, shape, caller_record(caller)->id,
			  callers->options->timeout_ms);
	if (!err && shape->body &&
	    !coap_add_data_large_request(session, pdu, sizeof(callers->body),
					 callers->body, NULL, NULL))
		err = -EMSGSIZE;
	if (err) {
		coap_delete_pdu(pdu);
		return err;
	}
	return coap_send(session, pdu) == COAP_INVALID_MID ? -EIO : 0;
}
