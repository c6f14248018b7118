/*
 * Parts of the service member: the view of the members, own records in the
 * store, the buddy.  Private to the service.
 */
#ifndef MEMBER_VIEW_H
#define MEMBER_VIEW_H

#include "member/member.h"

G_BEGIN_DECLS

#define SUSPECT_AFTER_US (3 * USEC_PER_SEC) /* silence */
#define PRUNE_AFTER_US (60 * USEC_PER_SEC) /* silence, and not in the store */
#define STORE_RETRY_DELAY_US (500 * USEC_PER_MSEC)

typedef struct entry_t {
	handle_t self;
	member_info_t info;
	bool is_self;
	bool connected;
	bool neighbour; /* peer was asked to connect */
	bool left;
	int64_t last_heard; /* directly or as gossip */
	int64_t last_heard_direct; /* 0: never */
	int64_t neighbour_since; /* heartbeats are expected from here on */

	int64_t record_revision; /* of member/X, 0: absent */
	char stored_buddy[INCARNATION_SIZE]; /* as in member/X */
	int64_t record_observed; /* store revision of this knowledge */
	uint32_t record_list_seq;
	bool alive; /* alive/X is present */
	int64_t alive_observed;
	uint32_t alive_list_seq;
	int64_t expired_since; /* alive/X absent and member/X present; 0: no */
	bool confirming;
	int64_t report_at; /* next report of the member as gone */
	int64_t unlisted_since; /* by the platform's list; 0: listed */
} entry_t;

typedef enum call_kind_t {
	CALL_NONE,
	CALL_LIST_MEMBERS,
	CALL_LIST_ALIVE,
	CALL_LEASE,
	CALL_KEEPALIVE,
	CALL_REGISTER, /* member/INC and alive/INC */
	CALL_REVIVE, /* alive/INC under a new lease */
	CALL_BUDDY, /* member/INC with a new buddy */
	CALL_CONFIRM, /* member/X is present and alive/X absent */
	CALL_LEAVE,
	CALL_REVOKE,
} call_kind_t;

typedef struct call_t {
	handle_t self;
	call_kind_t kind;
	int64_t sent_at;
	int64_t lease_id;
	int64_t list_revision; /* list: of the first page */
	handle_t entry;
} call_t;

/* member.c */
void member_post(member_t *member, svc_t to, msg_t *msg);
/* Sends a store call; the message's payload is filled in. */
call_t *member_call(member_t *member, call_kind_t kind, msg_t *msg);

/* view.c */
entry_t *member_view_find(member_t *member, const char *incarnation);
/* Finds or adds; NULL when the view is full. */
entry_t *member_view_find_or_add(member_t *member, const char *incarnation);
void member_view_remove(member_t *member, entry_t *entry);
member_state_t member_view_state(const member_t *member, const entry_t *entry);
bool member_view_is_responsive(const member_t *member, const entry_t *entry);
void member_view_merge(member_t *member, const member_info_t *info,
		       bool direct);
void member_view_publish(member_t *member);
void member_view_prune(member_t *member);

/* ring.c */
uint64_t member_ring_hash(const char *a, const char *b);
/* Connects to the neighbours and sends them a heartbeat. */
void member_ring_send_heartbeats(member_t *member);
void member_ring_send_heartbeat(member_t *member, const entry_t *to);

/* sync.c: the records of the members in the store */
bool member_sync_is_present(const store_kv_t *kv);
void member_sync_tick(member_t *member);
void member_sync_list_result(member_t *member, call_t *call,
			     const store_result_t *result);
void member_sync_apply(member_t *member, const store_result_t *result,
		       uint32_t list_seq);

/* lease.c: own records */
void member_lease_tick(member_t *member);
void member_lease_result(member_t *member, const call_t *call,
			 const store_result_t *result);
/* A watch or a list shows one of our own keys. */
void member_lease_observe(member_t *member, const store_kv_t *kv,
			  int64_t observed);
void member_lease_stop(member_t *member);
void member_lease_stop_result(member_t *member, const call_t *call,
			      const store_result_t *result);

/* Writes member/INC with another buddy. */
void member_lease_write_buddy(member_t *member, const char *incarnation);

/* buddy.c */
void member_buddy_tick(member_t *member);
void member_buddy_committed(member_t *member, const char *incarnation);
void member_buddy_clear(member_t *member);

/* gone.c: members whose lease has expired */
void member_expiry_tick(member_t *member);
void member_expiry_confirm_result(member_t *member, const call_t *call,
				  const store_result_t *result);
void member_expiry_instances(member_t *member, instance_list_t *list);

G_END_DECLS

#endif
