/*
 * Retry policy: which failures prove that a request was not run, which may be
 * retried, and the retry budget.
 */
#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

#include "kernel/msg.h"

G_BEGIN_DECLS

#define RETRY_UNIT 1000 /* credit for one retry, in thousandths */

typedef struct retry_budget_t {
	uint32_t ratio; /* credit added by one request */
	uint32_t credit;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, double ratio);
void retry_budget_deposit(retry_budget_t *budget);
bool retry_budget_withdraw(retry_budget_t *budget);

/* Returns true when the failure proves that the request was not run. */
bool retry_proves_not_run(failure_t failure, bool stated_not_run);

typedef struct retry_case_t {
	failure_t failure;
	bool stated_not_run;
	bool idempotent;
	bool response_started; /* the caller has received a byte */
	uint32_t attempts; /* sent so far */
	int64_t remaining_us; /* until the deadline */
	int64_t backoff_us;
} retry_case_t;

/*
 * Returns REFUSAL_NONE when a retry is allowed and withdraws it from the
 * budget, otherwise the reason to refuse the request.
 */
refusal_t retry_decide(const retry_case_t *retry, retry_budget_t *budget);

/* Returns the delay of the next attempt; random is any 64-bit number. */
int64_t retry_backoff_us(uint32_t attempts, uint64_t random);

G_END_DECLS

#endif
