/*
 * Sizes of answers and times to them, by class of flows and kind of route. The
 * answers of routes of one kind may differ a hundredfold.
 */
#ifndef CB_ANSWER_STATS_H
#define CB_ANSWER_STATS_H

#include "policy.h"

/* One class for each route in struct route_use. */
#define ANSWER_CLASSES_MAX 4096

struct answer_stats;

struct answer_stats *answer_stats_new(const struct policy *policy);
void answer_stats_free(struct answer_stats *stats);
uint64_t answer_stats_time_ns(const struct answer_stats *stats,
			      uint32_t answer_class, uint8_t kind);
void answer_stats_record_time(struct answer_stats *stats, uint32_t answer_class,
			      uint8_t kind, uint64_t answer_ns);
bool answer_stats_record_size(struct answer_stats *stats, uint32_t answer_class,
			      uint8_t kind, uint32_t size_bytes,
			      bool by_spread);

#endif
