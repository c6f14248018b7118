/*
 * Service "claims": writes a claim of each non-idempotent request to the store
 * before the request is dispatched, and its outcome afterwards.  Claims that
 * wait at the same time share a transaction (group commit).
 */
#ifndef CLAIMS_CLAIMS_H
#define CLAIMS_CLAIMS_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

typedef struct claims_opts_t {
	char incarnation[INCARNATION_SIZE];
	uint32_t max_claims; /* claims in memory */
	int64_t max_outcome_bytes; /* outcomes waiting for the store */
} claims_opts_t;

typedef struct claims_svc_t {
	kernel_t *kernel;
	claims_opts_t opts;
	svc_t self;
	svc_t store;
	table_t claims; /* claim_t */
	GHashTable *by_key; /* store key -> claim_t */
	GQueue waiting; /* claim_t with a pending write, oldest first */
	GArray *batch; /* handle_t of the claim of each group in flight */
	uint64_t op_seq;
	uint64_t call_seq;
	handle_t txn_call; /* transaction in flight, or none */
	handle_t lease_call; /* lease request in flight, or none */
	int64_t lease; /* lease for new records, 0 before the first */
	int64_t lease_start; /* monotonic, us */
	int64_t outcome_bytes;
	uint32_t failures; /* consecutive failed calls */
	handle_t retry_timer;
	handle_t stop_timer;
	bool stopping;
	bool stopped;
} claims_svc_t;

/* Sets the defaults and leaves the incarnation empty. */
void claims_opts_defaults(claims_opts_t *opts);

void claims_init(claims_svc_t *claims, kernel_t *kernel,
		 const claims_opts_t *opts);
void claims_finish(claims_svc_t *claims);

/*
 * Writes claim/ACCOUNT/KEY, with bytes of the account and the key other than
 * letters, digits, '.', '_' and '-' escaped as %XX.  Returns false when one of
 * them is empty or the result does not fit.
 */
bool claims_store_key(const char *client_account, const char *idem_key,
		      char out[STORE_KEY_SIZE]);

G_END_DECLS

#endif
