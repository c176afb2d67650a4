#include "answer_stats.h"

#include "route_table.h"

#include <math.h>
#include <stdlib.h>

#define PERCENT 100.0f
/* Weight of one answer in the moving average of sizes. */
#define SIZE_WEIGHT 0.03f
/* Answers from which the spread of their sizes is known well enough. */
#define SPREAD_ANSWERS_MIN 32
/* An answer is far smaller than usual from this many standard deviations of the
 * logarithm below the mean: of good log-normal answers, 2 in 100 are. With a
 * part of the mean alone, 15 in 100 are where the deviation is 0.6. */
#define SMALL_DEVIATIONS 2.0f
/* Each time has a weight of 1 / divisor in the moving average of times. */
#define TIME_DIVISOR 32

/**
 * struct answer_means - moving averages over the answers of one class
 * @bytes: mean size; 0 before the first answer
 * @log_bytes: mean of the natural logarithm of the sizes
 * @log_variance: variance of that logarithm
 * @n: number of sizes, up to SPREAD_ANSWERS_MIN
 * @ns: mean time; 0 before the first answer
 */
struct answer_means {
	float bytes;
	float log_bytes;
	float log_variance;
	uint32_t n;
	uint64_t ns;
};

struct answer_stats {
	const struct policy *policy;
	struct answer_means means[ANSWER_CLASSES_MAX][ROUTE_KINDS];
};

/**
 * answer_stats_new() - create averages without any answer
 * @policy: limits and switches; not owned
 *
 * Return: averages, to be freed with answer_stats_free(), or NULL when out of
 * memory.
 */
struct answer_stats *answer_stats_new(const struct policy *policy)
{
	struct answer_stats *stats = calloc(1, sizeof(*stats));

	if (stats)
		stats->policy = policy;
	return stats;
}

void answer_stats_free(struct answer_stats *stats)
{
	free(stats);
}

/**
 * answer_stats_time_ns() - get the mean time to an answer
 * @stats: averages
 * @answer_class: number below ANSWER_CLASSES_MAX
 * @kind: enum route_kind
 *
 * Return: mean; before the first answer the time from which the longest
 * deadline of policy follows.
 */
uint64_t answer_stats_time_ns(const struct answer_stats *stats,
			      uint32_t answer_class, uint8_t kind)
{
	uint64_t mean_ns = stats->means[answer_class][kind].ns;

	return mean_ns ? mean_ns
		       : stats->policy->request_due_max_ns /
				 stats->policy->request_due_means;
}

/**
 * answer_stats_record_time() - record the time to an answer
 * @stats: averages
 * @answer_class: number below ANSWER_CLASSES_MAX
 * @kind: enum route_kind
 * @answer_ns: from forwarding the request to the client's first
 *	acknowledgement of the answer
 */
void answer_stats_record_time(struct answer_stats *stats, uint32_t answer_class,
			      uint8_t kind, uint64_t answer_ns)
{
	uint64_t mean_ns = answer_stats_time_ns(stats, answer_class, kind);

	stats->means[answer_class][kind].ns =
		mean_ns + answer_ns / TIME_DIVISOR - mean_ns / TIME_DIVISOR;
}

/* Smallest logarithm of a size that is usual. */
static float log_bytes_min(const struct answer_means *m)
{
	if (m->n < SPREAD_ANSWERS_MIN)
		return INFINITY;
	return m->log_bytes - SMALL_DEVIATIONS * sqrtf(m->log_variance);
}

/* Add a size to the spread. Sizes that are not usual count as one deviation below
 * the mean: failures would otherwise widen the spread until they are usual. */
static void record_spread(struct answer_means *m, float log_bytes)
{
	float least = log_bytes_min(m);
	float weight, difference;

	if (m->n < SPREAD_ANSWERS_MIN)
		m->n++;
	else if (log_bytes < least)
		log_bytes = m->log_bytes - sqrtf(m->log_variance);
	weight = fmaxf(SIZE_WEIGHT, 1 / (float)m->n);
	difference = log_bytes - m->log_bytes;
	m->log_bytes += difference * weight;
	m->log_variance +=
		(difference * difference * (1 - weight) - m->log_variance) *
		weight;
}

/**
 * answer_stats_record_size() - compare the size of an answer with the mean of
 *	its class, then add it to the mean
 * @stats: averages
 * @answer_class: number below ANSWER_CLASSES_MAX
 * @kind: enum route_kind
 * @size_bytes: bytes of the answer that the client acknowledged: at first, or
 *	of a download until it ended
 * @by_spread: compare it with the spread of the sizes, too
 *
 * Return: true when the answer is smaller than policy's small_percent of the
 * mean, and with @by_spread also far smaller than most.
 */
bool answer_stats_record_size(struct answer_stats *stats, uint32_t answer_class,
			      uint8_t kind, uint32_t size_bytes, bool by_spread)
{
	struct answer_means *m = &stats->means[answer_class][kind];
	float fraction = (float)stats->policy->small_percent / PERCENT;
	float *mean_bytes = &m->bytes;
	float log_bytes = logf((float)size_bytes + 1);
	bool is_small = (float)size_bytes < fraction * *mean_bytes &&
			(!by_spread || log_bytes < log_bytes_min(m));

	record_spread(m, log_bytes);
	if (*mean_bytes <= 0)
		*mean_bytes = (float)size_bytes;
	*mean_bytes += ((float)size_bytes - *mean_bytes) * SIZE_WEIGHT;
	return is_small;
}
