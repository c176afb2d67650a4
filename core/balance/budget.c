#include "budget.h"

/**
 * budget_init() - start with a few retries
 * @b: budget
 */
void budget_init(struct retry_budget *b)
{
	b->tokens = BUDGET_START_RETRIES * BUDGET_SUCCESSES;
}

/**
 * budget_success() - a request of the account succeeded
 * @b: budget
 */
void budget_success(struct retry_budget *b)
{
	if (b->tokens < BUDGET_MAX_RETRIES * BUDGET_SUCCESSES)
		b->tokens++;
}

/**
 * budget_take() - spend one retry
 * @b: budget
 *
 * When every target sheds, retries multiply the load that made them shed.
 * The budget bounds them to a share of what still succeeds, so that load falls
 * while nothing does.
 *
 * Return: true when the budget had one.
 */
bool budget_take(struct retry_budget *b)
{
	if (b->tokens < BUDGET_SUCCESSES)
		return false;
	b->tokens -= BUDGET_SUCCESSES;
	return true;
}
