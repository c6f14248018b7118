/*
 * Service "member": keeps this router's lease and records in the store,
 * tracks the state of the other routers, sends heartbeats to neighbours and
 * chooses the buddy, the router that holds a copy of this router's bills.
 *
 * In comments, INC is the incarnation of this router and X that of any
 * router.  The record member/X stays until it is deleted; the key alive/X is
 * bound to the router's lease and disappears when the lease expires.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

#define MEMBER_SEEDS_MAX 64
#define MEMBER_DEFAULT_LEASE_TTL_S 10
#define MEMBER_NEIGHBOURS_MAX 8 /* members that heartbeats are sent to */
#define MEMBER_SUBSCRIBERS_MAX 8

typedef struct member_seed_t {
	char host[HOST_SIZE];
	uint16_t port;
} member_seed_t;

typedef struct member_opts_t {
	member_info_t self; /* incarnation, name, zone, host and ports */
	int32_t lease_ttl_s; /* 0: MEMBER_DEFAULT_LEASE_TTL_S */
	uint32_t seed_count;
	member_seed_t seeds[MEMBER_SEEDS_MAX];
} member_opts_t;

/* Keys of one store prefix, watched and listed at intervals. */
typedef struct member_prefix_t {
	const char *prefix;
	bool listing; /* a list call is pending */
	bool synced; /* a list has completed */
	bool watched;
	int64_t list_at; /* time of the next list call, us */
	uint32_t list_seq; /* sequence number of the last list call */
} member_prefix_t;

typedef struct member_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t store;
	svc_t peer;
	svc_t conf;
	svc_t ledger;
	svc_t claims;
	svc_t router;
	member_opts_t opts;

	table_t entries; /* entry_t */
	GHashTable *by_incarnation; /* incarnation -> entry_t */
	table_t calls; /* call_t: pending store calls */
	member_prefix_t members;
	member_prefix_t alive;
	bool view_changed; /* subscribers have not seen the change */
	int64_t heartbeat_at; /* time of the next heartbeats, us */
	int64_t conf_revision;
	uint32_t subscriber_count;
	svc_t subscribers[MEMBER_SUBSCRIBERS_MAX];

	/* Lease and records of this router. */
	int64_t lease_id; /* 0: none */
	int64_t lease_valid_until; /* us, LEASE_MARGIN_US subtracted */
	bool lease_pending;
	bool keepalive_pending;
	int64_t lease_call_at; /* time of the next grant or keepalive, us */
	bool registered; /* member/INC and alive/INC are in the store */
	int64_t registered_at;
	int64_t record_revision; /* revision of member/INC, 0: none */
	int64_t last_write_revision; /* store revision of the last write */
	uint64_t op_seq;

	/* The only write that is pending or whose result is unknown. */
	int write_kind; /* call_kind_t, 0: none */
	bool write_pending;
	bool write_unknown; /* an earlier attempt may have been applied */
	int64_t write_at; /* earliest time of the next attempt, us */
	record_t write_record;

	char buddy[INCARNATION_SIZE]; /* last one sent to "ledger" */
	char stored_buddy[INCARNATION_SIZE]; /* buddy in stored member/INC */
	int64_t buddy_cleared_at; /* time of the last clearing, us */

	instance_list_t *instances; /* last list of the platform, or NULL */
	int64_t instances_at; /* time of receipt of the list, us */

	bool stopping;
	bool stopped;
	int64_t stop_deadline; /* us */
} member_t;

void member_init(member_t *member, kernel_t *kernel, const member_opts_t *opts);
void member_finish(member_t *member);

G_END_DECLS

#endif
