/* Retry budget of a client account: a share of its recent successes. */
#ifndef CB_BUDGET_H
#define CB_BUDGET_H

#include "types.h"

/* Retries that an account has before its first success. */
#define BUDGET_START_RETRIES 10
/* Successes that pay for one retry. */
#define BUDGET_SUCCESSES 10
/* Retries it can save up. */
#define BUDGET_MAX_RETRIES 50

/**
 * struct retry_budget - tokens in units of 1 / BUDGET_SUCCESSES of a retry
 * @tokens: what is left
 */
struct retry_budget {
	uint32_t tokens;
};

void budget_init(struct retry_budget *b);
void budget_success(struct retry_budget *b);
bool budget_take(struct retry_budget *b);

#endif
