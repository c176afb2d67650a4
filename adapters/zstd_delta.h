/* Compression of a value, by itself or as a delta from an earlier value. */
#ifndef CB_ZSTD_DELTA_H
#define CB_ZSTD_DELTA_H

#include "types.h"

#include <glib.h>

/**
 * struct zstd_bytes - byte range, not owned
 * @data: bytes, or NULL
 * @size_bytes: number of bytes
 */
struct zstd_bytes {
	const uint8_t *data;
	uint32_t size_bytes;
};

bool zstd_delta_compress(struct zstd_bytes base, struct zstd_bytes from,
			 GString *out);
uint8_t *zstd_delta_decompress(struct zstd_bytes base, struct zstd_bytes from,
			       uint32_t max_bytes, uint32_t *out_bytes);

#endif
