/* Peer datagrams from a hostile holder of the key: the MAC is made valid. */
#include "wire.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define MAC_BYTES crypto_shorthash_siphashx24_BYTES

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const uint8_t key[WIRE_KEY_BYTES] = { 3 };

static void check(const struct peer_msg *m)
{
	uint8_t out[2 * WIRE_MAX_BYTES];
	struct peer_msg again;
	int32_t n = wire_encode(m, key, out, sizeof(out));

	if (n <= 0)
		abort();
	/* What was read can be written, and means the same. */
	if (n <= WIRE_MAX_BYTES && wire_decode(out, (uint32_t)n, key, &again))
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct peer_msg m;
	uint8_t *buf;

	if (size > WIRE_MAX_BYTES)
		return 0;
	wire_decode(data, (uint32_t)size, key, &m);
	buf = malloc(1 + size + MAC_BYTES);
	if (!buf)
		return 0;
	buf[0] = WIRE_VERSION;
	memcpy(buf + 1, data, size);
	crypto_shorthash_siphashx24(buf + 1 + size, buf, 1 + size, key);
	if (!wire_decode(buf, (uint32_t)(1 + size + MAC_BYTES), key, &m))
		check(&m);
	free(buf);
	return 0;
}
