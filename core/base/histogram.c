#include "histogram.h"

#include <math.h>

/* Buckets per power of two. */
#define BUCKETS_PER_OCTAVE 4
#define BUCKETS_PER_OCTAVE_LOG2 2

static uint32_t bucket_of(uint64_t value)
{
	uint32_t power;
	uint32_t i;

	if (value < BUCKETS_PER_OCTAVE)
		return value;
	power = 63 - __builtin_clzll(value);
	i = (power - 1) * BUCKETS_PER_OCTAVE +
	    (value >> (power - BUCKETS_PER_OCTAVE_LOG2)) % BUCKETS_PER_OCTAVE;
	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

/**
 * histogram_upper_bound() - largest value that a bucket counts
 * @bucket: index, below HISTOGRAM_BUCKETS
 *
 * Return: the value, in the samples' unit; UINT64_MAX for the last bucket,
 * which counts all larger values too.
 */
uint64_t histogram_upper_bound(uint32_t bucket)
{
	uint64_t step = bucket % BUCKETS_PER_OCTAVE;

	if (bucket < BUCKETS_PER_OCTAVE)
		return bucket;
	if (bucket >= HISTOGRAM_BUCKETS - 1)
		return UINT64_MAX;
	return ((BUCKETS_PER_OCTAVE + step + 1)
		<< (bucket / BUCKETS_PER_OCTAVE - 1)) -
	       1;
}

/**
 * histogram_add() - count a sample
 * @histogram: histogram
 * @value: sample, in any unit
 */
void histogram_add(struct histogram *histogram, uint64_t value)
{
	histogram->count++;
	histogram->sum += value;
	histogram->bucket[bucket_of(value)]++;
}

/**
 * histogram_merge() - add the samples of another histogram
 * @to: histogram to add to
 * @from: histogram to add; unchanged
 */
void histogram_merge(struct histogram *to, const struct histogram *from)
{
	to->count += from->count;
	to->sum += from->sum;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
		to->bucket[i] += from->bucket[i];
}

/**
 * histogram_quantile() - quantile of the samples
 * @histogram: histogram
 * @fraction: fraction of the samples that don't exceed the quantile, 0 to 1
 *
 * Return: upper bound of the bucket that contains the quantile, at most 25 %
 * too large; 0 without samples.
 */
uint64_t histogram_quantile(const struct histogram *histogram, double fraction)
{
	uint64_t rank = ceil(fraction * histogram->count);
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->bucket[i];
		if (seen > 0 && seen >= rank)
			return histogram_upper_bound(i);
	}
	return UINT64_MAX;
}
