/*
 * Reservations of an account's tokens, for requests to this instance and for
 * peers.
 */
#ifndef PREPAID_RESERVATION_H
#define PREPAID_RESERVATION_H

#include "prepaid/account.h"

G_BEGIN_DECLS

typedef enum reservation_kind_t {
	RESERVATION_REQUEST,
	RESERVATION_SLICE, /* serves a peer that found no tokens elsewhere */
	RESERVATION_REFILL, /* serves a peer that has this instance as home */
} reservation_kind_t;

typedef struct reservation_t {
	handle_t self;
	reservation_kind_t kind;
	prepaid_account_t *account;
	svc_t owner; /* service that made the request */
	handle_t ref; /* the owner's handle of the request */
	char request_id[REQUEST_ID_SIZE]; /* written to the log */
	char peer[INCARNATION_SIZE]; /* receiver of a slice or refill */
	int64_t tokens;
	int64_t min_tokens; /* smallest useful number for a refill */
	bool waiting;
	bool slices_requested;
	handle_t timer;
} reservation_t;

typedef enum prepaid_timer_t {
	PREPAID_TIMER_RETRY, /* ref is the account */
	PREPAID_TIMER_REFILL, /* ref is the account */
	PREPAID_TIMER_WAIT, /* ref is the reservation */
	PREPAID_TIMER_EXCESS,
	PREPAID_TIMER_SAVE, /* ref is the account */
	PREPAID_TIMER_SETTLE,
} prepaid_timer_t;

reservation_t *reservation_add(prepaid_t *prepaid, prepaid_account_t *account,
			       reservation_kind_t kind, int64_t tokens);
void reservation_remove(prepaid_t *prepaid, reservation_t *reservation);
/* Confirms a request's reservation, or sends the tokens to the peer. */
void reservation_accept(prepaid_t *prepaid, reservation_t *reservation);
/* Refuses a request, or sends the available tokens to the peer. */
void reservation_refuse(prepaid_t *prepaid, reservation_t *reservation,
			reserve_result_t result);
void reservation_set_timeout(prepaid_t *prepaid, reservation_t *reservation,
			     int64_t wait);
/* Accepts the waiting reservations that the available tokens cover. */
void reservations_serve(prepaid_t *prepaid, prepaid_account_t *account);
void reservations_refuse_all(prepaid_t *prepaid, prepaid_account_t *account);
int64_t reservations_total(const prepaid_account_t *account);
/* Tokens missing for the smallest waiting reservation. */
int64_t reservations_min_shortfall(const prepaid_account_t *account);

/* Counts the instances for which this one takes tokens as a home. */
fleet_share_t reservation_home_share(const prepaid_t *prepaid,
				     const prepaid_account_t *account);
/* Limit on the headroom of one instance that the home refills. */
int64_t reservation_refill_max(const prepaid_t *prepaid,
			       const prepaid_account_t *account);
/* Transfers up to this many tokens to a peer, which owns them from then on. */
void reservation_send_slice(prepaid_t *prepaid, prepaid_account_t *account,
			    const char *peer, int64_t tokens);
/* Transfers tokens that were received after the grant was closed. */
void reservation_forward_slice(prepaid_t *prepaid, prepaid_account_t *account,
			       const char *peer, int64_t tokens);

G_END_DECLS

#endif
