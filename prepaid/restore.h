/*
 * What the fleet knows of the grants when the store comes back from a copy,
 * which lacks those of the last seconds.  Peers exchange what they know, and no
 * instance takes tokens before it has joined that with the copy's records; they
 * are written back, so that they survive the instances.
 */
#ifndef PREPAID_RESTORE_H
#define PREPAID_RESTORE_H

#include "prepaid/sharing.h"

G_BEGIN_DECLS

/*
 * Notes the era of the store.  In a new one all records have to be read again
 * and joined, and the peers are asked for what they know.
 */
void restore_note_era(prepaid_t *prepaid, int64_t era);
/* Asks the peers, if that is due; in a large fleet before tokens are taken. */
void restore_settle(prepaid_t *prepaid);
/* True while peers may still tell of tokens that are not in a record. */
bool restore_is_settling(const prepaid_t *prepaid);
/* Time until tokens are probably taken again, us; 0: they are now. */
int64_t restore_settles_in(const prepaid_t *prepaid);
/* Asks the peers that have not replied once more. */
void restore_timed_out(prepaid_t *prepaid);
/* Ends the wait for peers once all have replied or the time is over. */
void restore_check_settled(prepaid_t *prepaid);
/* Tells peers of this instance's grant after it has changed. */
void restore_announce_grant(prepaid_t *prepaid,
			    const prepaid_account_t *account);
/* Has a record written within some seconds, unless another instance does. */
void restore_schedule_save(prepaid_t *prepaid, prepaid_account_t *account,
			   int64_t delay);
void restore_pulled(prepaid_t *prepaid, const msg_t *msg);
void restore_holdings_received(prepaid_t *prepaid, const msg_t *msg);

G_END_DECLS

#endif
