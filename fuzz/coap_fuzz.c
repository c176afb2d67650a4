/*
 * Fuzzes the decoders of datagrams from callers and targets, and the encoders
 * that forward them.
 */
#include "coap_wire.h"
#include "proxy2.h"

#include <stdlib.h>

#define OUT_MAX_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_encoders(const uint8_t *data, uint32_t size_bytes)
{
	struct action action = { .type = WIRE_CONFIRM,
				 .id = 7,
				 .token_len = 8,
				 .data = data,
				 .size_bytes = size_bytes };
	uint8_t out[OUT_MAX_BYTES];
	struct message message;
	int32_t out_size;

	coap_wire_cancel(&action, out, sizeof(out));
	coap_wire_rewrite(&action, out, 64);
	action.timeout_ns = NS_PER_S;
	out_size = coap_wire_rewrite(&action, out, sizeof(out));
	if (coap_wire_parse(data, size_bytes, &message) ||
	    message.kind != MESSAGE_REQUEST)
		return;
	/* A valid request stays one when rewritten, with the timeout that was set. */
	if (out_size <= 0)
		abort();
	if (out_size > DATAGRAM_MAX_BYTES)
		return;
	if (coap_wire_parse(out, (uint32_t)out_size, &message) ||
	    message.timeout_ns != NS_PER_S)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct load_report report;
	uint64_t source;
	uint64_t destination;

	if (size > DATAGRAM_MAX_BYTES || size == 0)
		return 0;
	proxy2_read(data, (uint32_t)size, &source, &destination);
	coap_wire_parse_load(data, (uint32_t)size, &report);
	check_encoders(data, (uint32_t)size);
	return 0;
}
