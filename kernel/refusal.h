/*
 * Reasons why requests are refused and why attempts fail, each with a counter,
 * and whether a request was executed.
 */
#ifndef KERNEL_REFUSAL_H
#define KERNEL_REFUSAL_H

#include <glib.h>

G_BEGIN_DECLS

/* Reasons why a request is refused.  Each has a counter. */
#define REFUSAL_LIST(X)                             \
	X(UNAUTHENTICATED, "unauthenticated")       \
	X(BAD_REQUEST, "bad_request")               \
	X(NO_SERVICE, "no_service")                 \
	X(TOO_LARGE, "too_large")                   \
	X(TOO_MANY_REQUESTS, "too_many_requests")   \
	X(BUDGET_SPENT, "budget_spent")             \
	X(BUDGET_UNAVAILABLE, "budget_unavailable") \
	X(BILL_REFUSED, "bill_refused")             \
	X(KEY_MISMATCH, "key_mismatch")             \
	X(OUTCOME_UNKNOWN, "outcome_unknown")       \
	X(CLAIM_UNAVAILABLE, "claim_unavailable")   \
	X(QUARANTINED, "quarantined")               \
	X(DEADLINE, "deadline")                     \
	X(QUEUE_FULL, "queue_full")                 \
	X(OVERLOADED, "overloaded")                 \
	X(NO_TARGET, "no_target")                   \
	X(VERSION_UNKNOWN, "version_unknown")       \
	X(TARGET_FAILED, "target_failed")           \
	X(RETRIES_SPENT, "retries_spent")           \
	X(NO_CONFIGURATION, "no_configuration")     \
	X(CONF_BEHIND, "configuration_behind")      \
	X(NO_ROUTE, "no_route")                     \
	X(NOT_GENUINE, "not_genuine")               \
	X(STOPPING, "stopping")                     \
	X(BEHIND, "behind")                         \
	X(OVER_CAPACITY, "over_capacity")           \
	X(UNREACHABLE, "unreachable")               \
	X(CALLER_GONE, "caller_gone")               \
	X(INTERNAL, "internal")

typedef enum refusal_t {
	REFUSAL_NONE,
#define X(id, text) REFUSAL_##id,
	REFUSAL_LIST(X)
#undef X
	REFUSAL_COUNT,
} refusal_t;

/* Ways in which an attempt at a target fails.  Each has a retry counter. */
#define FAILURE_LIST(X)               \
	X(CONNECT, "connect")         \
	X(SENT, "sent")               \
	X(HEAD, "head")               \
	X(STREAM, "stream")           \
	X(SILENT, "silent")           \
	X(OVERLOADED, "overloaded")   \
	X(LEAVING, "leaving")         \
	X(MISDIRECTED, "misdirected") \
	X(DEADLINE, "deadline")       \
	X(CANCELLED, "cancelled")

typedef enum failure_t {
	FAILURE_NONE,
#define X(id, text) FAILURE_##id,
	FAILURE_LIST(X)
#undef X
	FAILURE_COUNT,
} failure_t;

/* Reasons to pass a target over for a request.  Each has a counter. */
#define PASS_LIST(X)                  \
	X(UNAVAILABLE, "unavailable") \
	X(LEAVING, "leaving")         \
	X(TRIED, "tried")             \
	X(PAUSED, "paused")           \
	X(FULL, "full")               \
	X(LIMITED, "limited")         \
	X(VERSION, "version")         \
	X(DOUBTED, "doubted")         \
	X(EVACUATED, "evacuated")     \
	X(ZONE_CUT, "zone_cut")       \
	X(COLD, "cold")               \
	X(PACED, "paced")

typedef enum pass_reason_t {
	PASS_NONE,
#define X(id, text) PASS_##id,
	PASS_LIST(X)
#undef X
	PASS_COUNT,
} pass_reason_t;

/* Whether a target has executed a request. */
typedef enum run_state_t {
	RUN_NOT_RUN,
	RUN_RAN,
	RUN_UNKNOWN,
} run_state_t;

const char *refusal_name(refusal_t refusal);
const char *failure_name(failure_t failure);
const char *pass_reason_name(pass_reason_t reason);
const char *run_state_name(run_state_t state);

G_END_DECLS

#endif
