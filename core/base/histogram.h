/* Histograms with power-of-two buckets, for waits and sizes. */
#ifndef CB_HISTOGRAM_H
#define CB_HISTOGRAM_H

#include "types.h"

#define HISTOGRAM_BUCKETS 160

/**
 * struct histogram - counts by size, four buckets a power of two
 * @count: samples
 * @sum: their sum
 * @bucket: samples by bucket
 */
struct histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t bucket[HISTOGRAM_BUCKETS];
};

void histogram_add(struct histogram *h, uint64_t value);
void histogram_merge(struct histogram *to, const struct histogram *from);
uint64_t histogram_quantile(const struct histogram *h, double q);
uint64_t histogram_bound(uint32_t bucket);

#endif
