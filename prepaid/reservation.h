/*
 * Reservations of one account's tokens, for requests here and for peers.
 */
#ifndef PREPAID_RESERVATION_H
#define PREPAID_RESERVATION_H

#include "prepaid/account.h"

G_BEGIN_DECLS

typedef enum reservation_kind_t {
	RESERVATION_REQUEST,
	RESERVATION_SLICE, /* of a peer that found nothing elsewhere */
	RESERVATION_REFILL, /* of a peer whose home this instance is */
} reservation_kind_t;

typedef struct reservation_t {
	handle_t self;
	reservation_kind_t kind;
	prepaid_account_t *account;
	svc_t owner; /* of a request */
	handle_t ref;
	char request_id[REQUEST_ID_SIZE]; /* for the log */
	char peer[INCARNATION_SIZE]; /* of a slice or a refill */
	int64_t tokens;
	int64_t min_tokens; /* of a refill: fewer are of no use */
	bool waiting;
	bool slices_requested;
	handle_t timer;
} reservation_t;

typedef enum prepaid_timer_t {
	PREPAID_TIMER_RETRY, /* ref is the account */
	PREPAID_TIMER_REFILL, /* ref is the account */
	PREPAID_TIMER_WAIT, /* ref is the reservation */
	PREPAID_TIMER_EXCESS,
} prepaid_timer_t;

reservation_t *reservation_add(prepaid_t *prepaid, prepaid_account_t *account,
			       reservation_kind_t kind, int64_t tokens);
void reservation_remove(prepaid_t *prepaid, reservation_t *reservation);
/* Grants it, or hands over to the peer what it asked for. */
void reservation_accept(prepaid_t *prepaid, reservation_t *reservation);
/* Refuses it, or hands over to the peer what there is. */
void reservation_refuse(prepaid_t *prepaid, reservation_t *reservation,
			reserve_result_t result);
/* The time that it may go on waiting. */
void reservation_set_timeout(prepaid_t *prepaid, reservation_t *reservation,
			     int64_t wait);
/* Grants whatever the tokens at hand cover. */
void reservations_serve(prepaid_t *prepaid, prepaid_account_t *account);
void reservations_refuse_all(prepaid_t *prepaid, prepaid_account_t *account);
int64_t reservations_total(const prepaid_account_t *account);
/* The least that one of those waiting lacks. */
int64_t reservations_min_shortfall(const prepaid_account_t *account);

/* The zone's instances, which a home takes tokens for. */
fleet_share_t reservation_zone_share(const prepaid_t *prepaid);
/* What one of them may hold beyond its present requests. */
int64_t reservation_refill_max(const prepaid_t *prepaid,
			       const prepaid_account_t *account);
/* Hands tokens to a peer; from here on they are the peer's. */
void reservation_send_slice(prepaid_t *prepaid, prepaid_account_t *account,
			    const char *peer, int64_t tokens);

G_END_DECLS

#endif
