/*
 * Counts the answers to callers by client account and class: answered, refused
 * and why, outcome unknown. Private to core/; entry.h has the accessor.
 */
#ifndef CB_ACCOUNT_STATS_H
#define CB_ACCOUNT_STATS_H

#include "entry.h"

struct account_stats;

struct account_stats *account_stats_new(void);
void account_stats_free(struct account_stats *counters);
int account_stats_config(struct account_stats *counters,
			 const struct config *config);
uint8_t request_class(uint16_t flags, uint8_t service_class);
struct answer_stats *account_stats_find(struct account_stats *counters,
					uint64_t vip, uint16_t flags);
bool account_stats_next(const struct account_stats *counters, uint32_t *cursor,
			const char **account, uint8_t *class,
			const struct answer_stats **stats);

#endif
