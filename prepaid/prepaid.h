/*
 * Service "prepaid": reserves prepaid tokens of client accounts for requests.
 * Each instance spends only tokens that it has taken from an account's record
 * in the store by a compare-and-swap, which are its grant, or that a peer has
 * transferred from its own grant.  If an instance dies, its whole grant counts
 * as spent.
 *
 * In a large fleet, one instance is an account's home: it takes tokens from the
 * record and refills the other instances.
 */
#ifndef PREPAID_PREPAID_H
#define PREPAID_PREPAID_H

#include "kernel/kernel.h"
#include "kernel/peer_set.h"

G_BEGIN_DECLS

typedef struct prepaid_opts_t {
	char node[NAME_SIZE];
	char incarnation[INCARNATION_SIZE];
	char availability_zone[NAME_SIZE];
} prepaid_opts_t;

typedef struct prepaid_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t store;
	svc_t peer;
	prepaid_opts_t opts;
	table_t accounts; /* prepaid_account_t */
	table_t reservations; /* reservation_t */
	GHashTable *accounts_by_name; /* name -> prepaid_account_t */
	fleet_conf_t *conf;
	uint32_t instances; /* size of the fleet, including this one */
	peer_set_t peers;
	uint64_t homes_version; /* incremented when homes may change */
	bool store_up;
	int64_t store_down_since; /* monotonic, us; valid if !store_up */
	int64_t retry_at; /* monotonic, us; earliest next call to the store */
	int64_t era; /* of the store; -1: not known yet */
	bool era_is_first; /* the first one that this instance learned of */
	bool settling; /* no tokens are taken; see restore.h */
	int64_t settle_since; /* monotonic, us; -1: peers are not asked yet */
	GHashTable *pulled_peers; /* asked for holdings in this era */
	GHashTable *replied_peers;
	bool stopping;
	bool stopped;
} prepaid_t;

struct prepaid_account_t;

/* Returns the account, which is added if it is not known yet. */
struct prepaid_account_t *prepaid_find_account(prepaid_t *prepaid,
					       const char *name);

void prepaid_init(prepaid_t *prepaid, kernel_t *kernel,
		  const prepaid_opts_t *opts);
void prepaid_finish(prepaid_t *prepaid);

G_END_DECLS

#endif
