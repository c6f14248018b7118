/*
 * One client account's tokens at this instance.
 */
#ifndef PREPAID_ACCOUNT_H
#define PREPAID_ACCOUNT_H

#include "prepaid/prepaid.h"

G_BEGIN_DECLS

#define REVISION_UNKNOWN (-1)
#define REFILL_PART 2 /* of the headroom, at which more is taken */

typedef struct prepaid_account_t {
	handle_t self;
	char name[NAME_SIZE];
	int64_t prepaid; /* of the configuration; -1: not limited */
	record_allocation_t *record; /* newest known, NULL: none */
	int64_t revision; /* of record, 0: absent, or REVISION_UNKNOWN */
	int64_t known_at; /* monotonic, us, when the record was last read */

	int64_t granted; /* taken from the store, as it confirmed */
	int64_t received; /* handed over by peers */
	int64_t given; /* handed over to peers */
	int64_t spent;
	int64_t reserved;

	bool calling; /* a call to the store is in progress */
	bool returning; /* it gives the unused part back */
	/*
	 * The part was or may be closed in the store: nothing more is taken
	 * from it, because a write without an answer may still take effect.
	 */
	bool sealed;
	int64_t asked; /* granted after the call in progress */
	int64_t retry_at; /* monotonic, us, no call before it */
	uint32_t conflicts; /* in a row */
	handle_t timer;
	GQueue waiting; /* reservation_t, oldest first */

	char home[INCARNATION_SIZE]; /* of the zone; empty: this instance */
	uint64_t home_version; /* of the peers that home was chosen from */
	bool asking; /* the home has not answered yet */
	handle_t ask_timer;
	int64_t home_retry_at; /* monotonic, us, not asked before it */
	int64_t most; /* to hold, as the home said; -1: it has not */
	int64_t spent_at; /* monotonic, us, the home said it is spent */

	double demand; /* tokens a second, smoothed */
	double relayed; /* the same, of peers that are refilled from here */
	int64_t relayed_at; /* monotonic, us, of its last change */
	double usual; /* tokens of a reservation, smoothed */
	int64_t demand_at; /* monotonic, us, of its last change */
} prepaid_account_t;

/* Tokens that may be reserved now. */
int64_t account_available(const prepaid_account_t *account);
/* Tokens that nobody has taken, by the newest known record. */
int64_t account_room(const prepaid_account_t *account);
/* What this instance may hold, so that little is lost if all lose power. */
int64_t account_part_max(const prepaid_account_t *account, uint32_t instances);
/* Tokens to hold beyond what is asked for now. */
int64_t account_headroom(const prepaid_account_t *account, uint32_t instances);
void account_note_demand(prepaid_account_t *account, int64_t tokens,
			 int64_t now);
void account_note_relayed(prepaid_account_t *account, int64_t tokens,
			  int64_t now);
/* Tokens of the own part that are spent or handed over. */
int64_t account_used(const prepaid_account_t *account);
/* Unused tokens that came from peers. */
int64_t account_surplus(const prepaid_account_t *account);
/* Takes over what the store says unless it is older than what is known. */
void account_adopt(prepaid_account_t *account, const prepaid_opts_t *self,
		   const record_t *record, int64_t revision);
/*
 * The record with this instance's part set to granted, and those of earlier
 * incarnations on this node closed.  close: the part is closed at granted.
 */
record_allocation_t *account_next_record(const prepaid_account_t *account,
					 const prepaid_opts_t *self,
					 int64_t granted, bool close);

G_END_DECLS

#endif
