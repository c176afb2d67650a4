/*
 * Fuzzes the decoder of peer datagrams: as they are, and with a valid MAC, as a
 * hostile holder of the key would send them.
 */
#include "wire.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define MAC_BYTES crypto_shorthash_siphashx24_BYTES

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const uint8_t key[WIRE_KEY_BYTES] = { 3 };

static void check_reencoding(const struct peer_msg *msg)
{
	uint8_t out[2 * WIRE_MAX_BYTES];
	struct peer_msg decoded;
	int32_t out_size = wire_encode(msg, key, out, sizeof(out));

	if (out_size <= 0)
		abort();
	/* A decoded message can be encoded and decoded again. */
	if (out_size <= WIRE_MAX_BYTES &&
	    wire_decode(out, (uint32_t)out_size, key, &decoded))
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct peer_msg msg;
	uint8_t *buf;

	if (size > WIRE_MAX_BYTES)
		return 0;
	wire_decode(data, (uint32_t)size, key, &msg);
	buf = malloc(1 + size + MAC_BYTES);
	if (!buf)
		return 0;
	buf[0] = WIRE_VERSION;
	memcpy(buf + 1, data, size);
	crypto_shorthash_siphashx24(buf + 1 + size, buf, 1 + size, key);
	if (!wire_decode(buf, (uint32_t)(1 + size + MAC_BYTES), key, &msg))
		check_reencoding(&msg);
	free(buf);
	return 0;
}
