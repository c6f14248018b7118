#include "kernel/refusal.h"

static const char *const refusal_names[REFUSAL_COUNT] = {[REFUSAL_NONE] =
								 "none",
#define X(id, text) [REFUSAL_##id] = text,
							 REFUSAL_LIST(X)
#undef X
};

static const char *const failure_names[FAILURE_COUNT] = {[FAILURE_NONE] =
								 "none",
#define X(id, text) [FAILURE_##id] = text,
							 FAILURE_LIST(X)
#undef X
};

static const char *const pass_names[PASS_COUNT] = {[PASS_NONE] = "none",
#define X(id, text) [PASS_##id] = text,
						   PASS_LIST(X)
#undef X
};

const char *refusal_name(refusal_t refusal)
{
	return refusal < REFUSAL_COUNT ? refusal_names[refusal] : "unknown";
}

const char *failure_name(failure_t failure)
{
	return failure < FAILURE_COUNT ? failure_names[failure] : "unknown";
}

const char *pass_reason_name(pass_reason_t reason)
{
	return reason < PASS_COUNT ? pass_names[reason] : "unknown";
}

const char *run_state_name(run_state_t state)
{
	switch (state) {
	case RUN_NOT_RUN:
		return "not_run";
	case RUN_RAN:
		return "ran";
	case RUN_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}
