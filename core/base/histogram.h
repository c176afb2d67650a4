/* Histograms with logarithmic buckets, for durations and sizes. */
#ifndef CB_HISTOGRAM_H
#define CB_HISTOGRAM_H

#include "types.h"

#define HISTOGRAM_BUCKETS 160

/**
 * struct histogram - samples counted by value, four buckets per power of two
 * @count: number of samples
 * @sum: sum of the samples, in their unit
 * @bucket: number of samples in each bucket
 */
struct histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t bucket[HISTOGRAM_BUCKETS];
};

void histogram_add(struct histogram *histogram, uint64_t value);
void histogram_merge(struct histogram *to, const struct histogram *from);
uint64_t histogram_quantile(const struct histogram *histogram, double fraction);
uint64_t histogram_upper_bound(uint32_t bucket);

#endif
