/*
 * One client account at this instance: the tokens that the instance holds, the
 * tokens that its requests need, and the account's record in the store.
 */
#ifndef PREPAID_ACCOUNT_H
#define PREPAID_ACCOUNT_H

#include "prepaid/prepaid.h"

G_BEGIN_DECLS

#define REVISION_UNKNOWN (-1)
/* Failed homes after which an instance calls the store for a while. */
#define FAILED_HOMES_MAX 3
/* Tokens are requested when less than this fraction of the headroom is left. */
#define REFILL_DIVISOR 2

/* An exponentially smoothed rate of tokens per second. */
typedef struct token_rate_t {
	double per_s;
	int64_t updated_at; /* monotonic, us */
	int64_t started_at; /* monotonic, us; 0: no tokens were added yet */
} token_rate_t;

/* A peer that was asked for slices and has not replied to all requests. */
typedef struct asked_peer_t {
	char incarnation[INCARNATION_SIZE];
	uint32_t replies_due;
} asked_peer_t;

typedef struct prepaid_account_t {
	handle_t self;
	char name[NAME_SIZE];
	int64_t prepaid_tokens; /* configured limit; -1: none */
	record_allocation_t *record; /* newest known; NULL: none */
	int64_t revision; /* the record's; 0: absent, or REVISION_UNKNOWN */
	/* The record here says more than the one in the store, as known. */
	bool unsaved;
	handle_t save_timer;
	int64_t read_at; /* monotonic, us; last result with the record */

	int64_t granted; /* the grant, as confirmed by the store */
	int64_t transferred_in; /* received from peers */
	int64_t transferred_out; /* sent to peers */
	int64_t spent;
	int64_t reserved;

	bool call_pending; /* a call to the store has no result yet */
	bool call_closes; /* the pending call closes the grant */
	/*
	 * The close of the grant has been sent.  No more tokens are reserved,
	 * because a write without a result may still take effect.
	 */
	bool grant_closed;
	int64_t call_granted; /* grant that the last write asks for */
	bool saving; /* the pending read is followed by a write */
	bool call_saves; /* the pending call writes what was unsaved */
	int64_t retry_at; /* monotonic, us; earliest next call to the store */
	uint32_t conflicts; /* consecutive conflicting writes */
	handle_t retry_timer;
	GQueue waiting; /* reservation_t, oldest first */
	asked_peer_t asked[LARGE_FLEET_PEERS];
	uint32_t asked_count;

	char home[INCARNATION_SIZE]; /* empty: this instance */
	uint64_t home_version; /* homes_version when home was chosen */
	char failed_homes[FAILED_HOMES_MAX][INCARNATION_SIZE];
	uint32_t failed_home_count;
	int64_t failed_homes_until; /* monotonic, us; end of the pause */
	bool refill_pending; /* the home has not replied yet */
	int64_t refill_least; /* smallest useful reply to the last request */
	handle_t refill_timer;
	int64_t headroom_limit; /* set by the home; -1: not set */
	int64_t exhausted_at; /* monotonic, us; reported spent by the home */

	token_rate_t demand; /* tokens for requests to this instance */
	token_rate_t refill_demand; /* tokens for refills of peers */
	double mean_tokens; /* smoothed size of a reservation */
} prepaid_account_t;

/* How many of the fleet's instances are served from one grant. */
typedef struct fleet_share_t {
	uint32_t served; /* 1, or all instances that have this home */
	uint32_t total;
} fleet_share_t;

/*
 * In a large fleet an account has one home, so that its calls to the store do
 * not grow with the zones.  While that one fails, each zone has its own.
 */
bool account_has_fleet_home(const prepaid_account_t *account);
/* Tokens at this instance that may be reserved now. */
int64_t account_available(const prepaid_account_t *account);
/* Tokens not granted to any instance, by the newest known record. */
int64_t account_unallocated(const prepaid_account_t *account);
/* Limit on the headroom, which is lost if all instances lose power. */
int64_t account_headroom_max(const prepaid_account_t *account,
			     const fleet_share_t *share);
/* Tokens to hold in advance, beyond the waiting reservations. */
int64_t account_headroom(const prepaid_account_t *account,
			 const fleet_share_t *share, int64_t now);
void account_add_demand(prepaid_account_t *account, int64_t tokens,
			int64_t now);
void account_add_refill_demand(prepaid_account_t *account, int64_t tokens,
			       int64_t now);
/* Tokens of the grant that are spent, reserved or sent to peers. */
int64_t account_grant_used(const prepaid_account_t *account);
/* Unused tokens received from peers. */
int64_t account_unused_transfers(const prepaid_account_t *account);
/* Returns this instance's entry in the newest known record, or NULL. */
const grant_holder_t *account_own_holder(const prepaid_account_t *account,
					 const prepaid_opts_t *self);
/* Tokens of the own entry, which may be more than the confirmed grant. */
int64_t account_recorded_grant(const prepaid_account_t *account,
			       const prepaid_opts_t *self);
/*
 * Sets the record as read, joined with what it lacks after a restore of the
 * store, unless a newer one is known.
 */
void account_update(prepaid_account_t *account, const record_t *record,
		    int64_t revision);
/*
 * Sets the grant to the recorded one, which a write without a result may have
 * raised, unless other instances may have taken the same tokens.
 */
void account_adopt_grant(prepaid_account_t *account,
			 const prepaid_opts_t *self);
/*
 * Returns a copy of the record in which the grant of this instance is set to
 * granted tokens or, if close is true, returned with that many tokens used.
 * Grants of earlier incarnations on this node are lost.
 */
record_allocation_t *account_next_record(const prepaid_account_t *account,
					 const prepaid_opts_t *self,
					 int64_t granted, bool close);

G_END_DECLS

#endif
