/* Compression of a value, whole or as what changed since an earlier one. */
#ifndef CB_ZSTD_DELTA_H
#define CB_ZSTD_DELTA_H

#include "types.h"

#include <glib.h>

/**
 * struct zstd_bytes - bytes that somebody else owns
 * @data: bytes, or NULL
 * @size_bytes: how many
 */
struct zstd_bytes {
	const uint8_t *data;
	uint32_t size_bytes;
};

bool zstd_pack(struct zstd_bytes base, struct zstd_bytes from, GString *out);
uint8_t *zstd_unpack(struct zstd_bytes base, struct zstd_bytes from,
		     uint32_t max_bytes, uint32_t *out_bytes);

#endif
