/* Datagrams from callers and targets. */
#include "coap_wire.h"
#include "proxy2.h"

#include <stdlib.h>

#define OUT_BYTES 4096

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void write_all(const uint8_t *data, uint32_t size_bytes)
{
	struct action a = { .type = WIRE_CONFIRM,
			    .id = 7,
			    .token_len = 8,
			    .data = data,
			    .size_bytes = size_bytes };
	uint8_t out[OUT_BYTES];
	struct message m;
	int32_t n;

	coap_wire_cancel(&a, out, sizeof(out));
	coap_wire_rewrite(&a, out, 64);
	a.timeout_ns = NS_PER_S;
	n = coap_wire_rewrite(&a, out, sizeof(out));
	if (coap_wire_parse(data, size_bytes, &m) || m.kind != MESSAGE_REQUEST)
		return;
	/* A request that was accepted is still one, with our timeout. */
	if (n <= 0)
		abort();
	if (n > DATAGRAM_MAX_BYTES)
		return;
	if (coap_wire_parse(out, (uint32_t)n, &m) || m.timeout_ns != NS_PER_S)
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
	write_all(data, (uint32_t)size);
	return 0;
}
