#include "budget.h"

/**
 * budget_init() - set a budget to BUDGET_START_RETRIES
 * @b: budget
 */
void budget_init(struct retry_budget *b)
{
	b->tokens = BUDGET_START_RETRIES * BUDGET_SUCCESSES;
}

/**
 * budget_record_success() - add a token for a successful request
 * @b: budget of the request's account
 */
void budget_record_success(struct retry_budget *b)
{
	if (b->tokens < BUDGET_MAX_RETRIES * BUDGET_SUCCESSES)
		b->tokens++;
}

/**
 * budget_take() - spend one retry
 * @b: budget
 *
 * When all targets shed, retries add to the overload that makes them shed. The
 * budget limits retries to a share of the requests that succeed, so that the
 * load decreases while none does.
 *
 * Return: true when the budget contained one.
 */
bool budget_take(struct retry_budget *b)
{
	if (b->tokens < BUDGET_SUCCESSES)
		return false;
	b->tokens -= BUDGET_SUCCESSES;
	return true;
}
