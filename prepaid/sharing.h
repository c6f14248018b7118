/*
 * Transfers of tokens between peers: refills from an account's home in the
 * zone, and slices of any peer's unused tokens when there is no other source.
 */
#ifndef PREPAID_SHARING_H
#define PREPAID_SHARING_H

#include "prepaid/reservation.h"

G_BEGIN_DECLS

/* Requests slices for a reservation, which waits this long for them. */
void sharing_request_slices(prepaid_t *prepaid, reservation_t *reservation,
			    int64_t wait);
/* Records the reply of a peer that may have been asked for a slice. */
void sharing_slice_received(prepaid_account_t *account,
			    const char *incarnation);
/* True if no asked peer has a reply due. */
bool sharing_is_answered(const prepaid_account_t *account);
/* Expects no more replies, after a timeout. */
void sharing_forget_asked(prepaid_account_t *account);
/*
 * Handles an account whose record leaves too few tokens for the waiting
 * reservations: peers may still hold unused ones.
 */
void sharing_exhausted(prepaid_t *prepaid, prepaid_account_t *account);

/* Chooses a home if necessary; true if it may be asked for a refill now. */
bool sharing_has_home(prepaid_t *prepaid, prepaid_account_t *account);
/* Counts the instances that are served from this instance's grant. */
fleet_share_t sharing_fleet_share(const prepaid_t *prepaid,
				  const prepaid_account_t *account);
/* Requests a refill from the home if needed; one at a time. */
void sharing_request_refill(prepaid_t *prepaid, prepaid_account_t *account);
void sharing_home_replied(prepaid_t *prepaid, prepaid_account_t *account);
void sharing_home_failed(prepaid_t *prepaid, prepaid_account_t *account);
/* Returns tokens beyond the headroom to the home. */
void sharing_return_excess(prepaid_t *prepaid, prepaid_account_t *account);
/* Passes on unused tokens received from peers, before a planned stop. */
void sharing_return_transfers(prepaid_t *prepaid, prepaid_account_t *account);
/* Uses tokens from a peer, or passes them on during a planned stop. */
void sharing_tokens_received(prepaid_t *prepaid, prepaid_account_t *account,
			     int64_t tokens);
/* Tells the peers that this instance keeps no tokens from now on. */
void sharing_announce_stop(prepaid_t *prepaid);

G_END_DECLS

#endif
