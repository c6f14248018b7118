/*
 * Private types of the service "member" and functions shared by its sources:
 * the table of known members, the records in the store, the heartbeats and
 * the choice of the buddy.  Times are monotonic, in microseconds.
 */
#ifndef MEMBER_VIEW_H
#define MEMBER_VIEW_H

#include "member/member.h"

G_BEGIN_DECLS

/* A member that is silent for this long is suspect. */
#define SUSPECT_AFTER_US (3 * USEC_PER_SEC)
/* A member that is silent for this long and not in the store is removed. */
#define PRUNE_AFTER_US (60 * USEC_PER_SEC)
#define STORE_RETRY_DELAY_US (500 * USEC_PER_MSEC)

typedef struct entry_t {
	handle_t self;
	member_info_t info;
	bool is_self;
	bool connected;
	bool neighbour; /* "peer" keeps a connection to this member */
	bool left; /* the member announced a planned stop */
	int64_t last_heard; /* directly or through gossip */
	int64_t last_heard_direct; /* 0: never */
	int64_t neighbour_since; /* last change of neighbour */

	int64_t record_revision; /* revision of member/X, 0: absent */
	char stored_buddy[INCARNATION_SIZE]; /* buddy in member/X */
	int64_t record_observed; /* store revision that member/X was read at */
	uint32_t record_list_seq; /* last list that held member/X */
	bool alive; /* alive/X is present */
	int64_t alive_observed; /* store revision that alive/X was read at */
	uint32_t alive_list_seq; /* last list that held alive/X */
	int64_t expired_since; /* member/X without alive/X; 0: not expired */
	bool confirming; /* a CALL_CONFIRM is pending */
	int64_t report_at; /* earliest time of the next expiry report */
	int64_t unlisted_since; /* absent from the platform's list; 0: listed */
} entry_t;

typedef enum call_kind_t {
	CALL_NONE,
	CALL_LIST_MEMBERS,
	CALL_LIST_ALIVE,
	CALL_LEASE,
	CALL_KEEPALIVE,
	CALL_REGISTER, /* creates member/INC and alive/INC */
	CALL_REVIVE, /* writes alive/INC under a new lease */
	CALL_BUDDY, /* writes member/INC with another buddy */
	CALL_CONFIRM, /* checks that member/X exists without alive/X */
	CALL_LEAVE, /* deletes member/INC and alive/INC */
	CALL_REVOKE, /* revokes the lease */
} call_kind_t;

/* A pending store call. */
typedef struct call_t {
	handle_t self;
	call_kind_t kind;
	int64_t sent_at;
	int64_t lease_id; /* lease that the call uses, 0: none */
	int64_t list_revision; /* store revision of the first page */
	handle_t entry; /* member that a CALL_CONFIRM is about */
} call_t;

/* member.c */
void member_post(member_t *member, svc_t to, msg_t *msg);
/* Sends a store call whose payload the caller has filled in. */
call_t *member_call(member_t *member, call_kind_t kind, msg_t *msg);

/* view.c: the table of known members */
entry_t *member_view_find(member_t *member, const char *incarnation);
/* Returns NULL when the member is unknown and the table is full. */
entry_t *member_view_find_or_add(member_t *member, const char *incarnation);
void member_view_remove(member_t *member, entry_t *entry);
member_state_t member_view_state(const member_t *member, const entry_t *entry);
/* Whether the member is connected or was heard directly a short time ago. */
bool member_view_is_responsive(const member_t *member, const entry_t *entry);
/* Applies a heartbeat of the member, received directly or through gossip. */
void member_view_merge(member_t *member, const member_info_t *info,
		       bool direct);
/* Updates the states and sends a changed view to the subscribers. */
void member_view_publish(member_t *member);
void member_view_prune(member_t *member);

/* ring.c: choice of the neighbours, heartbeats and gossip */
uint64_t member_ring_hash(const char *a, const char *b);
/* Updates the neighbours and sends a heartbeat to each connected one. */
void member_ring_send_heartbeats(member_t *member);
void member_ring_send_heartbeat(member_t *member, const entry_t *to);

/* sync.c: lists and watches of the members' records in the store */
bool member_sync_is_present(const store_kv_t *kv);
void member_sync_tick(member_t *member);
void member_sync_list_result(member_t *member, call_t *call,
			     const store_result_t *result);
/* Applies items of the list call list_seq, or of a watch if it is 0. */
void member_sync_apply(member_t *member, const store_result_t *result,
		       uint32_t list_seq);

/* lease.c: the lease and the records of this router */
void member_lease_tick(member_t *member);
void member_lease_result(member_t *member, const call_t *call,
			 const store_result_t *result);
/*
 * Handles the state of member/INC or alive/INC as a watch or a list reports
 * it at store revision observed.
 */
void member_lease_observe(member_t *member, const store_kv_t *kv,
			  int64_t observed);
void member_lease_stop(member_t *member);
void member_lease_stop_result(member_t *member, const call_t *call,
			      const store_result_t *result);
/* Starts a write of member/INC that names the given buddy. */
void member_lease_write_buddy(member_t *member, const char *incarnation);

/* buddy.c: choice of the buddy */
void member_buddy_tick(member_t *member);
/* Uses the buddy that a write of member/INC has committed, if eligible. */
void member_buddy_committed(member_t *member, const char *incarnation);
/* Tells "ledger" that there is no buddy. */
void member_buddy_clear(member_t *member);

/* expiry.c: reports of members whose lease has expired */
void member_expiry_tick(member_t *member);
void member_expiry_confirm_result(member_t *member, const call_t *call,
				  const store_result_t *result);
/* Takes over the platform's list of instances. */
void member_expiry_instances(member_t *member, instance_list_t *list);

G_END_DECLS

#endif
