/*
 * Service "member": this router's lease and records in the store, the view of
 * the other routers, heartbeats to neighbours and the choice of the buddy.
 */
#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

#define MEMBER_SEEDS_MAX 64
#define MEMBER_DEFAULT_LEASE_TTL_S 10 /* default */
#define MEMBER_NEIGHBOURS_MAX 8 /* members that get our heartbeats */
#define MEMBER_SUBSCRIBERS_MAX 8

typedef struct member_seed_t {
	char host[HOST_SIZE];
	uint16_t port;
} member_seed_t;

typedef struct member_opts_t {
	member_info_t self; /* incarnation, name, zone, host and ports */
	int32_t lease_ttl_s; /* 0: the default */
	uint32_t seed_count;
	member_seed_t seeds[MEMBER_SEEDS_MAX];
} member_opts_t;

/* Keys of one prefix in the store, listed once and then watched. */
typedef struct member_prefix_t {
	const char *prefix;
	bool listing; /* a list call is in flight */
	bool synced; /* listed at least once */
	bool watched;
	int64_t list_at; /* next list call, us */
	uint32_t list_seq; /* number of the list call */
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
	table_t calls; /* call_t: store calls in flight */
	member_prefix_t members;
	member_prefix_t alive;
	bool view_changed; /* the view is to be published */
	int64_t heartbeat_at;
	int64_t conf_revision;
	uint32_t subscriber_count;
	svc_t subscribers[MEMBER_SUBSCRIBERS_MAX];

	/* Own lease and records. */
	int64_t lease_id; /* 0: none */
	int64_t lease_valid_until;
	bool lease_pending;
	bool keepalive_pending;
	int64_t lease_call_at; /* next lease or keepalive call */
	bool registered; /* member/ and alive/ are in the store */
	int64_t registered_at;
	int64_t record_revision; /* of member/INC, 0: none */
	int64_t last_write_revision; /* store revision of our last write */
	uint64_t op_seq;

	/* The one write in flight, or of unknown result. */
	int write_kind; /* call_kind_t, 0: none */
	bool write_pending;
	bool write_unknown; /* an earlier try may have taken effect */
	int64_t write_at; /* when to send it (again) */
	record_t write_record;

	/* Buddy. */
	char buddy[INCARNATION_SIZE]; /* as "ledger" was told */
	char stored_buddy[INCARNATION_SIZE]; /* in our committed record */
	int64_t buddy_cleared_at; /* when "ledger" was told of none */

	instance_list_t *instances; /* last good answer, NULL: none */
	int64_t instances_at;

	bool stopping;
	bool stopped;
	int64_t stop_deadline;
} member_t;

void member_init(member_t *member, kernel_t *kernel, const member_opts_t *opts);
void member_finish(member_t *member);

G_END_DECLS

#endif
