/*
 * The part of an account that this instance takes from the store, and gives
 * back before a planned stop.
 */
#ifndef PREPAID_GRANT_H
#define PREPAID_GRANT_H

#include "prepaid/sharing.h"

G_BEGIN_DECLS

#define RECORD_KEY_PREFIX "prepaid/"
/* A record read longer ago is read again before a request is refused by it. */
#define RECORD_MAX_AGE_US (2 * USEC_PER_SEC)

/* Goes on with whatever the account needs now. */
void grant_advance(prepaid_t *prepaid, prepaid_account_t *account);
/* The store's answer to the account's call. */
void grant_store_result(prepaid_t *prepaid, prepaid_account_t *account,
			const store_result_t *result);

G_END_DECLS

#endif
