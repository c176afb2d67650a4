#include "budget.h"

/**
 * budget_init() - set a budget to BUDGET_START_RETRIES
 * @budget: budget
 */
void budget_init(struct retry_budget *budget)
{
	budget->tokens = BUDGET_START_RETRIES * BUDGET_SUCCESSES;
}

/**
 * budget_record_success() - add a token for a successful request
 * @budget: budget of the request's account
 */
void budget_record_success(struct retry_budget *budget)
{
	if (budget->tokens < BUDGET_MAX_RETRIES * BUDGET_SUCCESSES)
		budget->tokens++;
}

/**
 * budget_take() - spend one retry
 * @budget: budget
 *
 * When all targets shed, retries add to the overload that makes them shed. The
 * budget limits retries to a share of the requests that succeed, so that the
 * load decreases while none does.
 *
 * Return: true when the budget contained one.
 */
bool budget_take(struct retry_budget *budget)
{
	if (budget->tokens < BUDGET_SUCCESSES)
		return false;
	budget->tokens -= BUDGET_SUCCESSES;
	return true;
}
