/*
 * What an instance asks its peers for: refills from the account's home in the
 * zone, and unused tokens of any peer when nothing else is left.
 */
#ifndef PREPAID_SHARING_H
#define PREPAID_SHARING_H

#include "prepaid/reservation.h"

G_BEGIN_DECLS

/* Asks some peers for one reservation, which waits so long for answers. */
void sharing_request_slices(prepaid_t *prepaid, reservation_t *reservation,
			    int64_t wait);
/* The record leaves too little: peers may still hold unused tokens. */
void sharing_exhausted(prepaid_t *prepaid, prepaid_account_t *account);

/* True if the account is refilled from a home that can be asked now. */
bool sharing_has_home(prepaid_t *prepaid, prepaid_account_t *account);
/* The instances that this one takes the account's tokens for. */
fleet_share_t sharing_fleet_share(const prepaid_t *prepaid,
				  const prepaid_account_t *account);
/* Asks the home if little is left; one ask at a time. */
void sharing_request_refill(prepaid_t *prepaid, prepaid_account_t *account);
void sharing_home_replied(prepaid_t *prepaid, prepaid_account_t *account);
void sharing_home_failed(prepaid_t *prepaid, prepaid_account_t *account);
/* Hands the home what the present demand does not need. */
void sharing_return_excess(prepaid_t *prepaid, prepaid_account_t *account);
/* Hands unused tokens of peers back before a planned stop. */
void sharing_return_transfers(prepaid_t *prepaid, prepaid_account_t *account);

G_END_DECLS

#endif
