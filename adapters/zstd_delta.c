#include "zstd_delta.h"

#include <stdlib.h>
#include <zstd.h>

/*
 * The fastest level; most of the input is repetition, which every level finds.
 */
#define COMPRESSION_LEVEL 1
/* Window that covers two values of a megabyte each. */
#define WINDOW_LOG_MAX 23

/* Smallest window that covers @size_bytes. */
static int window_log(uint64_t size_bytes)
{
	int log = 10;

	while (log < WINDOW_LOG_MAX && 1ULL << log < size_bytes)
		log++;
	return log;
}

/* Enables matches in the base: their distance is up to the size of the base. */
static void set_base(ZSTD_CCtx *c, struct zstd_bytes base,
		     struct zstd_bytes from)
{
	uint64_t both = (uint64_t)base.size_bytes + from.size_bytes;

	ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog, window_log(both));
	ZSTD_CCtx_setParameter(c, ZSTD_c_enableLongDistanceMatching, 1);
	ZSTD_CCtx_refPrefix(c, base.data, base.size_bytes);
}

/**
 * zstd_delta_compress() - compress a value, optionally as a delta
 * @base: earlier value that the receiver has; with data NULL the value is
 *	compressed by itself
 * @from: value
 * @out: replaced by the compressed bytes
 *
 * Return: true; false after an error, such as lack of memory.
 */
bool zstd_delta_compress(struct zstd_bytes base, struct zstd_bytes from,
			 GString *out)
{
	size_t bound = ZSTD_compressBound(from.size_bytes);
	ZSTD_CCtx *c = ZSTD_createCCtx();
	size_t n;

	if (!c)
		return false;
	g_string_set_size(out, bound);
	ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
	if (base.data)
		set_base(c, base, from);
	n = ZSTD_compress2(c, out->str, bound, from.data, from.size_bytes);
	ZSTD_freeCCtx(c);
	g_string_truncate(out, ZSTD_isError(n) ? 0 : n);
	return !ZSTD_isError(n);
}

static uint8_t *decompress(ZSTD_DCtx *c, struct zstd_bytes from, size_t n)
{
	uint8_t *out = malloc(n + 1);

	if (out &&
	    ZSTD_decompressDCtx(c, out, n, from.data, from.size_bytes) == n)
		return out;
	free(out);
	return NULL;
}

/**
 * zstd_delta_decompress() - decompress the result of zstd_delta_compress()
 * @base: the base that was used for compression
 * @from: compressed bytes
 * @max_bytes: upper bound for the size of the value
 * @out_bytes: set to the size of the value
 *
 * Return: the value, to be freed with free(), with room for one more byte; NULL
 * when the input is invalid or the value too large, or without memory.
 */
uint8_t *zstd_delta_decompress(struct zstd_bytes base, struct zstd_bytes from,
			       uint32_t max_bytes, uint32_t *out_bytes)
{
	unsigned long long n =
		ZSTD_getFrameContentSize(from.data, from.size_bytes);
	ZSTD_DCtx *c;
	uint8_t *out;

	if (n > max_bytes) /* also when it is unknown */
		return NULL;
	c = ZSTD_createDCtx();
	if (!c)
		return NULL;
	ZSTD_DCtx_setParameter(c, ZSTD_d_windowLogMax, WINDOW_LOG_MAX);
	if (base.data)
		ZSTD_DCtx_refPrefix(c, base.data, base.size_bytes);
	out = decompress(c, from, (size_t)n);
	ZSTD_freeDCtx(c);
	*out_bytes = (uint32_t)n;
	return out;
}
