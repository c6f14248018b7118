/*
 * Service "claims": claims of non-idempotent requests in the store, written
 * ahead of their dispatch by group commit, and their outcomes.
 */
#ifndef CLAIMS_CLAIMS_H
#define CLAIMS_CLAIMS_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

typedef struct claims_opts_t {
	char incarnation[INCARNATION_SIZE];
	uint32_t max_claims; /* in memory */
	int64_t max_outcome_bytes; /* outcomes that wait for the store */
} claims_opts_t;

typedef struct claims_svc_t {
	kernel_t *kernel;
	claims_opts_t opts;
	svc_t self;
	svc_t store;
	table_t claims; /* claim_t */
	GHashTable *by_key; /* store key -> claim_t */
	GQueue waiting; /* claim_t with a write to do, oldest first */
	GArray *batch; /* handle_t of each group of the call in flight */
	uint64_t op_seq;
	uint64_t call_seq;
	handle_t txn_call; /* call in flight, or none */
	handle_t lease_call;
	int64_t lease; /* 0 before the first */
	int64_t lease_start; /* monotonic, us */
	int64_t outcome_bytes;
	uint32_t failures; /* calls in a row that failed */
	handle_t retry_timer;
	handle_t stop_timer;
	bool stopping;
	bool stopped;
} claims_svc_t;

/* Fills in the defaults; the incarnation is left empty. */
void claims_opts_defaults(claims_opts_t *opts);

void claims_init(claims_svc_t *claims, kernel_t *kernel,
		 const claims_opts_t *opts);
void claims_finish(claims_svc_t *claims);

/*
 * Writes claim/ACCOUNT/KEY with the key's bytes other than letters, digits,
 * '.', '_' and '-' as %XX; false when it does not fit.
 */
bool claims_store_key(const char *client_account, const char *idem_key,
		      char out[STORE_KEY_SIZE]);

G_END_DECLS

#endif
