/*
 * Rules of retries: which failures prove that a request was not run, which
 * may be retried, and the retry budget.
 */
#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

#include "kernel/msg.h"

G_BEGIN_DECLS

#define RETRY_UNIT 1000 /* one retry, in thousandths */

typedef struct retry_budget_t {
	uint32_t ratio; /* thousandths of a retry earned by one request */
	uint32_t credit;
} retry_budget_t;

void retry_budget_init(retry_budget_t *budget, double ratio);
void retry_budget_deposit(retry_budget_t *budget);
bool retry_budget_withdraw(retry_budget_t *budget);

/* True when such a failure proves that the target did not run it. */
bool retry_proves_not_run(failure_t failure, bool stated_not_run);

typedef struct retry_case_t {
	failure_t failure;
	bool stated_not_run;
	bool idempotent;
	bool response_started; /* the caller has seen a part of the answer */
	uint32_t attempts; /* so far */
	int64_t remaining_us; /* until the deadline */
	int64_t backoff_us;
} retry_case_t;

/* REFUSAL_NONE when a retry is allowed, else the reason of the refusal. */
refusal_t retry_decide(const retry_case_t *retry, retry_budget_t *budget);

/* Wait before the next attempt; random is any 64-bit number. */
int64_t retry_backoff_us(uint32_t attempts, uint64_t random);

G_END_DECLS

#endif
