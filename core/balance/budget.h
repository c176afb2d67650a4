/* Retry budget of a client account: a token bucket filled by successes. */
#ifndef CB_BUDGET_H
#define CB_BUDGET_H

#include "types.h"

/* Retries that an account may make before its first success. */
#define BUDGET_START_RETRIES 10
/* Successes that add one retry. */
#define BUDGET_SUCCESSES 10
/* Size of the bucket, in retries. */
#define BUDGET_MAX_RETRIES 50

/**
 * struct retry_budget - token bucket for the retries of a client account
 * @tokens: tokens left; BUDGET_SUCCESSES of them are one retry
 */
struct retry_budget {
	uint32_t tokens;
};

void budget_init(struct retry_budget *budget);
void budget_record_success(struct retry_budget *budget);
bool budget_take(struct retry_budget *budget);

#endif
