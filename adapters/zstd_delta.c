#include "zstd_delta.h"

#include <stdlib.h>
#include <zstd.h>

/* The fastest: most of what it is for is repetition. */
#define LEVEL 1
/* Of a window that holds two values of a megabyte each. */
#define WINDOW_LOG_MAX 23

/* Least window from which all of @size_bytes is in reach. */
static int window_log(uint64_t size_bytes)
{
	int log = 10;

	while (log < WINDOW_LOG_MAX && 1ULL << log < size_bytes)
		log++;
	return log;
}

/* Matches lie as far back as the base is long. */
static void reach(ZSTD_CCtx *c, struct zstd_bytes base, struct zstd_bytes from)
{
	uint64_t both = (uint64_t)base.size_bytes + from.size_bytes;

	ZSTD_CCtx_setParameter(c, ZSTD_c_windowLog, window_log(both));
	ZSTD_CCtx_setParameter(c, ZSTD_c_enableLongDistanceMatching, 1);
	ZSTD_CCtx_refPrefix(c, base.data, base.size_bytes);
}

/**
 * zstd_pack() - compress
 * @base: an earlier value that the other side has; none for a whole one
 * @from: value
 * @out: replaced
 *
 * Return: whether; false without memory.
 */
bool zstd_pack(struct zstd_bytes base, struct zstd_bytes from, GString *out)
{
	size_t bound = ZSTD_compressBound(from.size_bytes);
	ZSTD_CCtx *c = ZSTD_createCCtx();
	size_t n;

	if (!c)
		return false;
	g_string_set_size(out, bound);
	ZSTD_CCtx_setParameter(c, ZSTD_c_compressionLevel, LEVEL);
	if (base.data)
		reach(c, base, from);
	n = ZSTD_compress2(c, out->str, bound, from.data, from.size_bytes);
	ZSTD_freeCCtx(c);
	g_string_truncate(out, ZSTD_isError(n) ? 0 : n);
	return !ZSTD_isError(n);
}

static uint8_t *expand(ZSTD_DCtx *c, struct zstd_bytes from, size_t n)
{
	uint8_t *out = malloc(n + 1);

	if (out &&
	    ZSTD_decompressDCtx(c, out, n, from.data, from.size_bytes) == n)
		return out;
	free(out);
	return NULL;
}

/**
 * zstd_unpack() - undo zstd_pack()
 * @base: the same
 * @from: what it made
 * @max_bytes: larger ones are refused
 * @out_bytes: set to the size of the value
 *
 * Return: the value, to be freed, with room for one more byte; NULL when it is
 * none of ours.
 */
uint8_t *zstd_unpack(struct zstd_bytes base, struct zstd_bytes from,
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
	out = expand(c, from, (size_t)n);
	ZSTD_freeDCtx(c);
	*out_bytes = (uint32_t)n;
	return out;
}
