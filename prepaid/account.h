/*
 * One client account's tokens at this instance.
 */
#ifndef PREPAID_ACCOUNT_H
#define PREPAID_ACCOUNT_H

#include "prepaid/prepaid.h"

G_BEGIN_DECLS

#define REVISION_UNKNOWN (-1)
#define FAILED_HOMES_MAX 3 /* then the store is asked for a while */
#define REFILL_DIVISOR 2 /* of the headroom, at which more is taken */

/* Tokens a second, smoothed over some seconds. */
typedef struct token_rate_t {
	double per_s;
	int64_t updated_at; /* monotonic, us, of its last change */
	int64_t started_at; /* monotonic, us, of the first one; 0: none */
} token_rate_t;

typedef struct prepaid_account_t {
	handle_t self;
	char name[NAME_SIZE];
	int64_t prepaid_tokens; /* of the configuration; -1: not limited */
	record_allocation_t *record; /* newest known, NULL: none */
	int64_t revision; /* of record, 0: absent, or REVISION_UNKNOWN */
	int64_t read_at; /* monotonic, us, when the record was last read */

	int64_t granted; /* taken from the store, as it confirmed */
	int64_t transferred_in; /* handed over by peers */
	int64_t transferred_out; /* handed over to peers */
	int64_t spent;
	int64_t reserved;

	bool call_pending; /* a call to the store is in progress */
	bool call_closes; /* it gives the unused part back */
	/*
	 * The part was or may be closed in the store: nothing more is taken
	 * from it, because a write without an answer may still take effect.
	 */
	bool grant_closed;
	int64_t call_granted; /* granted after the call in progress */
	int64_t retry_at; /* monotonic, us, no call before it */
	uint32_t conflicts; /* in a row */
	handle_t retry_timer;
	GQueue waiting; /* reservation_t, oldest first */

	char home[INCARNATION_SIZE]; /* of the zone; empty: this instance */
	uint64_t home_version; /* of the homes when it was chosen */
	char failed_homes[FAILED_HOMES_MAX][INCARNATION_SIZE];
	uint32_t failed_home_count; /* homes that failed */
	int64_t failed_homes_until; /* monotonic, us */
	bool refill_pending; /* the home has not answered yet */
	handle_t refill_timer;
	int64_t headroom_limit; /* to hold, as the home said; -1: it has not */
	int64_t exhausted_at; /* monotonic, us, the home said it is spent */

	token_rate_t demand; /* of requests here */
	token_rate_t refill_demand; /* of peers that are refilled from here */
	double mean_tokens; /* tokens of a reservation, smoothed */
} prepaid_account_t;

/* How many of the fleet's instances this one takes tokens for. */
typedef struct fleet_share_t {
	uint32_t served; /* 1, or those of the zone whose home it is */
	uint32_t total;
} fleet_share_t;

/* Tokens that may be reserved now. */
int64_t account_available(const prepaid_account_t *account);
/* Tokens that nobody has taken, by the newest known record. */
int64_t account_unallocated(const prepaid_account_t *account);
/* What this instance may hold, so that little is lost if all lose power. */
int64_t account_headroom_max(const prepaid_account_t *account,
			     const fleet_share_t *share);
/* Tokens to hold beyond what is asked for now. */
int64_t account_headroom(const prepaid_account_t *account,
			 const fleet_share_t *share, int64_t now);
void account_add_demand(prepaid_account_t *account, int64_t tokens,
			int64_t now);
void account_add_refill_demand(prepaid_account_t *account, int64_t tokens,
			       int64_t now);
/* Tokens of the own part that are spent or handed over. */
int64_t account_grant_used(const prepaid_account_t *account);
/* Unused tokens that came from peers. */
int64_t account_unused_transfers(const prepaid_account_t *account);
/* Takes over what the store says unless it is older than what is known. */
void account_update(prepaid_account_t *account, const prepaid_opts_t *self,
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
