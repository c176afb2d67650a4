#include "histogram.h"

#include <math.h>

#define STEPS 4 /* buckets a power of two */
#define STEPS_LOG2 2 /* its logarithm */

static uint32_t bucket_of(uint64_t value)
{
	uint32_t power;
	uint32_t i;

	if (value < STEPS)
		return value;
	power = 63 - __builtin_clzll(value);
	i = (power - 1) * STEPS + (value >> (power - STEPS_LOG2)) % STEPS;
	return i < HISTOGRAM_BUCKETS ? i : HISTOGRAM_BUCKETS - 1;
}

/**
 * histogram_bound() - largest value that a bucket counts
 * @bucket: number below HISTOGRAM_BUCKETS
 *
 * Return: the value, in the samples' unit; UINT64_MAX for the last bucket,
 * which takes all larger values too.
 */
uint64_t histogram_bound(uint32_t bucket)
{
	uint64_t step = bucket % STEPS;

	if (bucket < STEPS)
		return bucket;
	if (bucket >= HISTOGRAM_BUCKETS - 1)
		return UINT64_MAX;
	return ((STEPS + step + 1) << (bucket / STEPS - 1)) - 1;
}

/**
 * histogram_add() - count a sample
 * @h: histogram
 * @value: sample, in any unit
 */
void histogram_add(struct histogram *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	h->bucket[bucket_of(value)]++;
}

/**
 * histogram_merge() - add the samples of another histogram
 * @to: histogram that grows
 * @from: histogram that is read
 */
void histogram_merge(struct histogram *to, const struct histogram *from)
{
	to->count += from->count;
	to->sum += from->sum;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
		to->bucket[i] += from->bucket[i];
}

/**
 * histogram_quantile() - value that a share of the samples doesn't exceed
 * @h: histogram
 * @q: share, 0 to 1
 *
 * Return: bound of the bucket that holds it, at most a quarter too large;
 * 0 without samples.
 */
uint64_t histogram_quantile(const struct histogram *h, double q)
{
	uint64_t rank = ceil(q * h->count);
	uint64_t seen = 0;

	if (h->count == 0)
		return 0;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen > 0 && seen >= rank)
			return histogram_bound(i);
	}
	return UINT64_MAX;
}
