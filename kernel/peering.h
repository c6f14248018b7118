/*
 * Members of the fleet and the messages that they exchange.
 */
#ifndef KERNEL_PEERING_H
#define KERNEL_PEERING_H

#include "kernel/exchange.h"
#include "kernel/fleet.h"
#include "kernel/storage.h"

G_BEGIN_DECLS

typedef enum member_state_t {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent, but the store lease may still be valid */
	MEMBER_DEAD, /* the store lease has expired */
	MEMBER_LEFT, /* planned stop */
} member_state_t;

typedef struct member_info_t {
	char incarnation[INCARNATION_SIZE];
	char name[NAME_SIZE];
	char availability_zone[NAME_SIZE];
	char host[HOST_SIZE];
	uint16_t peer_port;
	uint16_t admin_port;
	char buddy[INCARNATION_SIZE];
	member_state_t state;
	uint64_t heartbeat; /* increases within an incarnation */
} member_info_t;

typedef struct member_list_t {
	int refs;
	GArray *members; /* member_info_t, sorted by incarnation */
} member_list_t;

member_list_t *member_list_new(void);
member_list_t *member_list_ref(member_list_t *list);
void member_list_unref(member_list_t *list);

/* An entry in the platform's list of instances, a router or a target. */
typedef struct instance_info_t {
	char host[HOST_SIZE];
	uint16_t port;
	bool leaving;
} instance_info_t;

typedef struct instance_list_t {
	int refs;
	int64_t revision;
	GArray *instances; /* instance_info_t */
} instance_list_t;

instance_list_t *instance_list_new(void);
void instance_list_unref(instance_list_t *list);

/* A bill as copied by its router to the buddy. */
typedef struct bill_t {
	uint64_t seq;
	char client_account[NAME_SIZE];
	char budget[NAME_SIZE];
	char idem_key[IDEM_KEY_SIZE];
	char fingerprint[HASH_SIZE];
	int64_t tokens;
	int64_t wall_ms;
} bill_t;

/* What an instance knows of a stream that a caller takes up again. */
typedef enum stream_answer_t {
	STREAM_UNKNOWN,
	STREAM_KNOWN,
	STREAM_SOLE_VERSION, /* the service has had only this one lately */
	STREAM_VERSIONS, /* unknown, and the service has had several */
	STREAM_ANSWER_COUNT,
} stream_answer_t;

#define PEER_HOLDINGS_MAX 2048 /* in one message */

/* What one instance knows of a grant. */
typedef struct holding_t {
	char client_account[NAME_SIZE];
	grant_holder_t holder;
} holding_t;

typedef enum peer_kind_t {
	PEER_HEARTBEAT,
	PEER_LEAVE,
	PEER_CONF_PULL,
	PEER_CONF_ITEMS,
	PEER_BILL_COPY,
	PEER_COPY_ACK,
	PEER_COPY_TRIM,
	PEER_SLICE_REQUEST,
	PEER_SLICE_REPLY,
	PEER_REFILL_REQUEST,
	PEER_REFILL_REPLY,
	PEER_CRASH_REPORT,
	PEER_STORE_PULL,
	PEER_STORE_ITEMS,
	PEER_PLACED,
	PEER_PART_REPORT,
	PEER_TARGET_LEAVING,
	PEER_TARGET_LIMIT,
	PEER_PERMIT_REQUEST,
	PEER_PERMIT_REPLY,
	PEER_CONF_OFFER,
	PEER_CONF_REQUEST,
	PEER_HOLDINGS_PULL,
	PEER_HOLDINGS,
	PEER_STREAM_BEGAN,
	PEER_STREAM_QUERY,
	PEER_STREAM_ANSWER,
	PEER_TARGET_DOUBTED,
	PEER_QUARANTINE,
	PEER_OVERLOAD,
	PEER_TARGET_FULL,
	PEER_PART_SET,
	PEER_KIND_COUNT,
} peer_kind_t;

/* What an instance tells its peers of a part that prompts share. */
typedef enum part_event_t {
	PART_EVENT_CRASHED, /* a target crashed that may have run it */
	PART_EVENT_EXPLAINED, /* another part explains its crashes */
	PART_EVENT_SURVIVED, /* a response with the part went on */
	PART_EVENT_HELD, /* the part is in quarantine */
	PART_EVENT_RELEASED, /* the quarantine has ended */
	PART_EVENT_COUNT,
} part_event_t;

/* An encoded item of the store, sent to peers that cannot reach the store. */
typedef struct store_item_t {
	char key[STORE_KEY_SIZE];
	int64_t revision;
	GBytes *value; /* NULL if deleted */
} store_item_t;

typedef struct peer_body_t {
	peer_kind_t kind;
	union {
		struct {
			int64_t conf_revision;
			member_info_t self;
			GArray *members; /* member_info_t */
		} heartbeat;
		struct {
			int64_t from_revision;
		} conf_pull;
		struct {
			int64_t up_to_revision;
			GArray *kvs; /* store_kv_t */
		} conf_items;
		struct {
			uint64_t session; /* increases with each new buddy */
			uint64_t seq; /* sequence number of this message */
			bool reset; /* the bills replace all earlier copies */
			GArray *bills; /* bill_t */
		} bill_copy;
		struct {
			uint64_t session;
			uint64_t seq;
			bool rejected; /* the grants have been recovered */
		} copy_ack;
		struct {
			uint64_t session;
			/* The store has all bills up to this number. */
			uint64_t up_to;
		} copy_trim;
		struct {
			char client_account[NAME_SIZE];
			char budget[NAME_SIZE];
			/*
			 * A request states the tokens needed; a reply, the
			 * tokens returned to the store.
			 */
			int64_t tokens;
		} slice;
		struct {
			char client_account[NAME_SIZE];
			int64_t tokens; /* tokens wanted */
			int64_t least; /* smallest useful number of tokens */
		} refill_request;
		struct {
			char client_account[NAME_SIZE];
			int64_t tokens; /* tokens transferred */
			/* Limit on tokens held beyond current requests. */
			int64_t most;
			bool spent; /* the store has too few tokens left */
			bool later; /* the home takes no tokens yet */
		} refill_reply;
		struct {
			char fingerprint[HASH_SIZE];
			char target[NAME_SIZE];
			char reporter[INCARNATION_SIZE];
			uint64_t seq; /* assigned by the reporter */
		} crash_report;
		struct {
			char fingerprint[HASH_SIZE];
			/* Counted for the request; 0: it was answered. */
			uint64_t crashes;
			/*
			 * Since the last of them; without any: since the target
			 * began to write the response that clears them, 0:
			 * unknown.
			 */
			uint64_t age_ms;
			uint64_t left_ms; /* of its quarantine; 0: none */
		} quarantine;
		struct {
			int64_t after; /* last revision known */
		} store_pull;
		struct {
			/* All changes in (after, up_to]. */
			int64_t after;
			int64_t up_to;
			bool live; /* just read from the store by the sender */
			bool partial; /* large items are only in the store */
			GArray *items; /* store_item_t */
		} store_items;
		struct {
			int64_t version; /* of the gateway's configuration */
		} conf_offer; /* PEER_CONF_OFFER, _REQUEST */
		struct {
			int64_t era; /* of the store */
			bool complete; /* ends the reply to a pull */
			bool in_store; /* written to the store in this era */
			GArray *list; /* holding_t; NULL in a pull */
		} holdings; /* PEER_HOLDINGS_PULL, PEER_HOLDINGS */
		struct {
			char request_id[REQUEST_ID_SIZE]; /* of the stream */
			uint64_t lookup; /* returned unchanged */
			stream_answer_t answer;
			stream_origin_t origin;
		} stream; /* PEER_STREAM_BEGAN, _QUERY, _ANSWER */
		struct {
			char target[NAME_SIZE];
			int64_t tokens; /* prompt tokens that are not cached */
		} placed;
		struct {
			part_event_t event;
			uint64_t part;
			/*
			 * Hash: of the request (crashed), or of the target
			 * whose crash decided, 0: unknown (held).
			 */
			uint64_t request;
			char target[NAME_SIZE]; /* crashed */
			uint64_t weight; /* crashed: percent */
			/* crashed, held; survived: since it began, 0: unknown
			 */
			uint64_t age_ms;
			uint64_t left_ms; /* held */
			uint64_t strikes; /* held */
		} part_report;
		struct {
			part_event_t event; /* held or released */
			part_set_t set; /* of two parts or more */
			uint64_t age_ms; /* held */
			uint64_t left_ms; /* held */
			uint64_t strikes; /* held */
			part_crashed_t decided; /* held; target 0: unknown */
			part_crashes_t crashes; /* held */
		} part_set;
		struct {
			char target[NAME_SIZE];
			int64_t started_ms; /* process of the target */
			uint64_t age_us; /* since the target stated it */
		} leaving;
		struct {
			char target[NAME_SIZE];
			int64_t started_ms; /* process of the target */
		} doubted; /* it has ended, as far as the sender saw */
		struct {
			char target[NAME_SIZE];
			int64_t started_ms; /* process of the target */
			uint64_t
				pause_us; /* it wants no requests for so long */
		} full;
		struct {
			bool behind; /* with what it has to do */
		} overload;
		struct {
			char target[NAME_SIZE];
			target_limit_t limit;
			uint64_t age_us; /* since the target stated it */
		} limit;
		struct {
			char target[NAME_SIZE];
			uint64_t ask; /* returned unchanged */
			uint64_t wait_us; /* a later start is of no use */
			uint32_t priority; /* 0 is the highest */
			target_limit_t limit; /* as known to the sender */
			uint64_t age_us; /* since the target stated it */
		} permit_request;
		struct {
			char target[NAME_SIZE];
			uint64_t ask;
			bool admitted;
			/*
			 * Time until the request may start, or until the next
			 * one may be admitted.
			 */
			uint64_t delay_us;
			target_limit_t limit; /* as known to the sender */
			uint64_t age_us; /* since the target stated it */
		} permit_reply;
	} u;
} peer_body_t;

peer_body_t *peer_body_new(peer_kind_t kind);
void peer_body_free(peer_body_t *body);

G_END_DECLS

#endif
