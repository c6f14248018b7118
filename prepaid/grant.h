/*
 * An instance's grant: the tokens of an account that it has taken from the
 * record in the store.  The grant is extended on demand, and closed before a
 * planned stop so that the unused tokens return to the account.
 */
#ifndef PREPAID_GRANT_H
#define PREPAID_GRANT_H

#include "prepaid/sharing.h"

G_BEGIN_DECLS

#define RECORD_KEY_PREFIX "prepaid/"
/*
 * An older record is read again before a request is refused because of it, and
 * an older report by the home that the account is spent is ignored.
 */
#define RECORD_MAX_AGE_US (2 * USEC_PER_SEC)

/*
 * Serves waiting reservations, and starts the next call or refill request that
 * the account needs.
 */
void grant_advance(prepaid_t *prepaid, prepaid_account_t *account);
/* Writes what the record in the store lacks, after reading it if necessary. */
void grant_save(prepaid_t *prepaid, prepaid_account_t *account);
/* Handles the result of the account's pending call to the store. */
void grant_store_result(prepaid_t *prepaid, prepaid_account_t *account,
			const store_result_t *result);

G_END_DECLS

#endif
