#include "request/retry.h"

#define CREDIT_START (10 * RETRY_UNIT) /* lets an idle router retry */
#define CREDIT_MAX (100 * RETRY_UNIT) /* limits a burst of retries */
/* The avoid list has room for the targets of all attempts but the last. */
#define ATTEMPTS_MAX (ROUTE_AVOID_MAX + 1)
#define BACKOFF_FIRST_US 5000
#define BACKOFF_MAX_US 80000

void retry_budget_init(retry_budget_t *budget, double ratio)
{
	budget->ratio = (uint32_t)(CLAMP(ratio, 0.0, 1.0) * RETRY_UNIT + 0.5);
	budget->credit = ratio > 0 ? CREDIT_START : 0;
}

void retry_budget_deposit(retry_budget_t *budget)
{
	budget->credit = MIN(budget->credit + budget->ratio, CREDIT_MAX);
}

bool retry_budget_withdraw(retry_budget_t *budget)
{
	if (budget->credit < RETRY_UNIT)
		return false;
	budget->credit -= RETRY_UNIT;
	return true;
}

bool retry_proves_not_run(failure_t failure, bool stated_not_run)
{
	switch (failure) {
	case FAILURE_CONNECT:
		return true;
	case FAILURE_OVERLOADED:
	case FAILURE_LEAVING:
	case FAILURE_MISDIRECTED:
		return stated_not_run;
	default:
		return false;
	}
}

static refusal_t refusal_for_failure(failure_t failure)
{
	switch (failure) {
	case FAILURE_DEADLINE:
		return REFUSAL_DEADLINE;
	case FAILURE_OVERLOADED:
		return REFUSAL_OVERLOADED;
	default:
		return REFUSAL_TARGET_FAILED;
	}
}

refusal_t retry_decide(const retry_case_t *retry, retry_budget_t *budget)
{
	if (retry->failure == FAILURE_DEADLINE ||
	    retry->failure == FAILURE_CANCELLED || retry->response_started)
		return refusal_for_failure(retry->failure);
	if (!retry->idempotent &&
	    !retry_proves_not_run(retry->failure, retry->stated_not_run))
		return refusal_for_failure(retry->failure);
	if (retry->remaining_us <= retry->backoff_us)
		return REFUSAL_DEADLINE;
	if (retry->attempts >= ATTEMPTS_MAX || !retry_budget_withdraw(budget))
		return REFUSAL_RETRIES_SPENT;
	return REFUSAL_NONE;
}

int64_t retry_backoff_us(uint32_t attempts, uint64_t random)
{
	int64_t limit = BACKOFF_FIRST_US;

	for (uint32_t i = 1; i < attempts && limit < BACKOFF_MAX_US; i++)
		limit *= 2;
	limit = MIN(limit, BACKOFF_MAX_US);
	return limit / 2 + (int64_t)(random % (uint64_t)(limit / 2 + 1));
}
