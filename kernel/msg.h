/*
 * Messages between services: a kind and a payload for each kind.
 *
 * ref is the handle of the receiver's own object that the message is about,
 * id is the handle of the sender's object, which the receiver sends back as
 * ref.  Pointers in a payload belong to the message; a receiver that keeps
 * one sets it to NULL, the kernel releases the others after delivery.
 */
#ifndef KERNEL_MSG_H
#define KERNEL_MSG_H

#include "kernel/exchange.h"
#include "kernel/fleet.h"
#include "kernel/record.h"
#include "kernel/table.h"

G_BEGIN_DECLS

typedef handle_t svc_t; /* a registered service */

/* Why a request was refused.  Each has a counter. */
#define REFUSAL_LIST(X)                             \
	X(UNAUTHENTICATED, "unauthenticated")       \
	X(BAD_REQUEST, "bad_request")               \
	X(NO_SERVICE, "no_service")                 \
	X(TOO_LARGE, "too_large")                   \
	X(TOO_MANY_REQUESTS, "too_many_requests")   \
	X(BUDGET_SPENT, "budget_spent")             \
	X(BUDGET_UNAVAILABLE, "budget_unavailable") \
	X(BILL_REFUSED, "bill_refused")             \
	X(KEY_MISMATCH, "key_mismatch")             \
	X(OUTCOME_UNKNOWN, "outcome_unknown")       \
	X(CLAIM_UNAVAILABLE, "claim_unavailable")   \
	X(QUARANTINED, "quarantined")               \
	X(DEADLINE, "deadline")                     \
	X(QUEUE_FULL, "queue_full")                 \
	X(OVERLOADED, "overloaded")                 \
	X(NO_TARGET, "no_target")                   \
	X(TARGET_FAILED, "target_failed")           \
	X(RETRIES_SPENT, "retries_spent")           \
	X(NO_CONFIGURATION, "no_configuration")     \
	X(NO_ROUTE, "no_route")                     \
	X(NOT_GENUINE, "not_genuine")               \
	X(STOPPING, "stopping")                     \
	X(CALLER_GONE, "caller_gone")               \
	X(INTERNAL, "internal")

typedef enum refusal_t {
	REFUSAL_NONE,
#define X(id, text) REFUSAL_##id,
	REFUSAL_LIST(X)
#undef X
	REFUSAL_COUNT,
} refusal_t;

/* How an attempt at a target failed.  Each has a retry counter. */
#define FAILURE_LIST(X)               \
	X(CONNECT, "connect")         \
	X(SENT, "sent")               \
	X(HEAD, "head")               \
	X(STREAM, "stream")           \
	X(SILENT, "silent")           \
	X(OVERLOADED, "overloaded")   \
	X(LEAVING, "leaving")         \
	X(MISDIRECTED, "misdirected") \
	X(DEADLINE, "deadline")       \
	X(CANCELLED, "cancelled")

typedef enum failure_t {
	FAILURE_NONE,
#define X(id, text) FAILURE_##id,
	FAILURE_LIST(X)
#undef X
	FAILURE_COUNT,
} failure_t;

typedef enum run_state_t {
	RUN_NOT_RUN,
	RUN_RAN,
	RUN_UNKNOWN,
} run_state_t;

const char *refusal_name(refusal_t refusal);
const char *failure_name(failure_t failure);
const char *run_state_name(run_state_t state);

/* What a caller asks for, as front has parsed it. */
typedef struct request_spec_t {
	char request_id[INCARNATION_SIZE];
	char key_hash[HASH_SIZE]; /* SHA-256 of the bearer token */
	char service[NAME_SIZE]; /* model requests; empty for plain ones */
	char method[16];
	char path[PATH_SIZE]; /* with query */
	char content_type[CONTENT_TYPE_SIZE];
	char idem_key[IDEM_KEY_SIZE]; /* empty: the router makes one */
	char fingerprint[HASH_SIZE]; /* SHA-256 of method, path and body */
	uint64_t prefix_hash; /* of the prompt's beginning, 0 for none */
	uint32_t deadline_ms; /* 0: the service's default */
	uint32_t max_tokens; /* 0: the service's limit */
	int64_t prompt_bytes;
	bool stream;
	GBytes *body;
} request_spec_t;

request_spec_t *request_spec_new(void);
void request_spec_free(request_spec_t *spec);

/* --- store ---------------------------------------------------------- */

#define EXPECT_ANY (-1) /* write whatever the key's revision is */
#define EXPECT_ABSENT 0 /* write only if the key does not exist */
/* Limit on a transaction: its groups plus the operations of the longest one. */
#define STORE_TXN_OPS_MAX 128 /* etcd's default */

typedef enum store_status_t {
	STORE_OK, /* answered; see each group for whether it committed */
	STORE_UNAVAILABLE, /* the call surely had no effect */
	STORE_UNKNOWN, /* the call may have taken effect */
	STORE_INVALID, /* the call was refused as malformed */
} store_status_t;

typedef enum store_op_kind_t {
	STORE_PUT,
	STORE_DELETE,
	STORE_CHECK, /* only compares the revision */
} store_op_kind_t;

typedef struct store_op_t {
	store_op_kind_t kind;
	uint32_t group;
	char key[STORE_KEY_SIZE];
	int64_t expect; /* mod revision, EXPECT_ABSENT or EXPECT_ANY */
	int64_t lease; /* 0 for none */
	record_t record; /* with STORE_PUT */
} store_op_t;

/*
 * One call.  The operations of a group take effect together if all their
 * expectations hold; groups are independent of each other.  All expectations
 * are compared before anything is written, and a key is written at most once
 * in a call (the store refuses it otherwise).  Every put of a call gets the
 * revision of the result.
 */
typedef struct store_txn_t {
	GArray *ops; /* store_op_t, ordered by group */
	uint32_t group_count;
} store_txn_t;

store_txn_t *store_txn_new(void);
void store_txn_free(store_txn_t *txn);
/* Starts a new group; later operations belong to it. */
uint32_t store_txn_group(store_txn_t *txn);
/* Adds an operation to the last group; the record is copied. */
void store_txn_put(store_txn_t *txn, const char *key, int64_t expect,
		   int64_t lease, const record_t *record);
void store_txn_delete(store_txn_t *txn, const char *key, int64_t expect);
void store_txn_check(store_txn_t *txn, const char *key, int64_t expect);

typedef struct store_kv_t {
	uint32_t group;
	char key[STORE_KEY_SIZE];
	int64_t revision; /* mod revision, 0 when absent */
	record_t record; /* RECORD_NONE when absent */
} store_kv_t;

/*
 * Reply to a get, transaction or lease call, or a watch event.  For a group
 * that did not commit, kvs holds the present state of all its keys.
 */
typedef struct store_result_t {
	store_status_t status;
	int64_t revision; /* of the store when it answered */
	int64_t lease; /* reply to a lease call */
	int32_t lease_ttl_s; /* 0: the lease has expired */
	GArray *committed; /* bool for each group */
	GArray *kvs; /* store_kv_t */
	bool more; /* a page of a prefix: not the last one */
} store_result_t;

store_result_t *store_result_new(store_status_t status);
void store_result_free(store_result_t *result);
void store_result_add(store_result_t *result, uint32_t group, const char *key,
		      int64_t revision, const record_t *record);
bool store_result_committed(const store_result_t *result, uint32_t group);
const store_kv_t *store_result_find(const store_result_t *result,
				    const char *key);

/* --- configuration ---------------------------------------------------- */

/*
 * Immutable copy of the configuration, shared by reference.  The arrays are
 * sorted by name and hold no tombstones.
 */
typedef struct conf_snapshot_t {
	int refs;
	int64_t revision; /* highest revision applied */
	preset_t preset;
	GArray *client_accounts; /* record_client_account_t */
	GArray *services; /* record_service_t */
	GArray *targets; /* record_target_t */
	GArray *quarantine; /* record_quarantine_t */
	GArray *orders; /* record_order_t, sorted by target */
	GHashTable *by_key_hash; /* API key hash -> index + 1 */
} conf_snapshot_t;

conf_snapshot_t *conf_snapshot_new(void);
conf_snapshot_t *conf_snapshot_ref(conf_snapshot_t *snapshot);
void conf_snapshot_unref(conf_snapshot_t *snapshot);
const record_client_account_t *
conf_snapshot_account_by_key(const conf_snapshot_t *snapshot,
			     const char *key_hash, const char **budget);
const record_service_t *conf_snapshot_service(const conf_snapshot_t *snapshot,
					      const char *name);
/* The plain service with the longest path prefix of path. */
const record_service_t *
conf_snapshot_service_by_path(const conf_snapshot_t *snapshot,
			      const char *path);

/* --- members and peers ------------------------------------------------ */

typedef enum member_state_t {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent, but its lease may still be valid */
	MEMBER_DEAD, /* its store lease has expired */
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
	uint64_t heartbeat; /* sequence number, rises within an incarnation */
} member_info_t;

typedef struct member_list_t {
	int refs;
	GArray *members; /* member_info_t, sorted by incarnation */
} member_list_t;

member_list_t *member_list_new(void);
member_list_t *member_list_ref(member_list_t *list);
void member_list_unref(member_list_t *list);

/* The platform's list of instances, routers and targets alike. */
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

/* A bill as its router copies it to the buddy. */
typedef struct bill_t {
	uint64_t seq;
	char client_account[NAME_SIZE];
	char budget[NAME_SIZE];
	char idem_key[IDEM_KEY_SIZE];
	char fingerprint[HASH_SIZE];
	int64_t tokens;
	int64_t wall_ms;
} bill_t;

typedef enum peer_kind_t {
	PEER_HEARTBEAT,
	PEER_LEAVE,
	PEER_CONF_PULL,
	PEER_CONF_ITEMS,
	PEER_BILL_COPY,
	PEER_COPY_ACK,
	PEER_COPY_TRIM,
	PEER_SLICE_ASK,
	PEER_SLICE_REPLY,
	PEER_BLAME,
	PEER_STORE_PULL,
	PEER_STORE_ITEMS,
	PEER_KIND_COUNT,
} peer_kind_t;

/* An item of the store as it lies there, for routers that can't read it. */
typedef struct store_item_t {
	char key[STORE_KEY_SIZE];
	int64_t revision;
	GBytes *value; /* NULL: deleted */
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
			uint64_t session; /* rises with each change of buddy */
			uint64_t seq; /* sequence number of this message */
			bool reset; /* bills replace all earlier copies */
			GArray *bills; /* bill_t */
		} bill_copy;
		struct {
			uint64_t session;
			uint64_t seq;
			bool rejected; /* the grants were recovered */
		} copy_ack;
		struct {
			uint64_t session;
			uint64_t up_to; /* bill sequence numbers in the store */
		} copy_trim;
		struct {
			char client_account[NAME_SIZE];
			char budget[NAME_SIZE];
			int64_t tokens;
		} slice; /* ask: needed, reply: returned to the store */
		struct {
			char fingerprint[HASH_SIZE];
			char target[NAME_SIZE];
			char reporter[INCARNATION_SIZE];
			uint64_t seq; /* of the reporter */
		} blame;
		struct {
			int64_t after; /* revision up to which all is known */
		} store_pull;
		struct {
			int64_t up_to; /* all changes up to this revision */
			GArray *items; /* store_item_t */
		} store_items;
	} u;
} peer_body_t;

peer_body_t *peer_body_new(peer_kind_t kind);
void peer_body_free(peer_body_t *body);

/* --- messages --------------------------------------------------------- */

typedef enum msg_kind_t {
	MSG_NONE,
	MSG_START, /* all services are registered */
	MSG_STOP, /* planned stop: finish what runs, take nothing new */
	MSG_STOPPED, /* to "router": the sender has finished */
	MSG_TIMER,

	MSG_REQ_OPEN, /* front -> request */
	MSG_REQ_STARTED, /* request -> front */
	MSG_REQ_CALLER_GONE, /* front -> request */
	MSG_REQ_PAUSE, /* front -> request: the caller reads slowly */
	MSG_REQ_RESUME,
	MSG_REPLY_HEAD, /* request -> front */
	MSG_REPLY_DATA,
	MSG_REPLY_END,
	MSG_REPLY_REFUSED, /* no head was sent */
	MSG_REPLY_BROKEN, /* after the head: the answer is incomplete */

	MSG_RESERVE, /* request -> ledger */
	MSG_RESERVED,
	MSG_RELEASE,
	MSG_BILL,
	MSG_BILLED,

	MSG_CLAIM_BEGIN, /* request -> claims */
	MSG_CLAIM_RESULT,
	MSG_CLAIM_DONE,
	MSG_CLAIM_STORED,
	MSG_CLAIM_ABORT, /* surely not run: the claim may be taken again */
	MSG_CLAIM_FORGET, /* the outcome is unknown: the claim stays open */

	MSG_ROUTE_ASK, /* request -> route */
	MSG_ROUTE_PICKED,
	MSG_ROUTE_REFUSED,
	MSG_ROUTE_CANCEL, /* withdraws an ask that was not yet answered */
	MSG_ROUTE_HEDGE, /* route -> request: a second attempt may start */
	MSG_ROUTE_FIRST_BYTE,
	MSG_ROUTE_DONE,
	MSG_TARGET_REPORT, /* dispatch -> route */
	MSG_TARGET_LEAVING, /* dispatch, instances -> route */

	MSG_SEND, /* request -> dispatch */
	MSG_SEND_STARTED,
	MSG_SEND_CANCEL,
	MSG_SEND_PAUSE,
	MSG_SEND_RESUME,
	MSG_TARGET_HEAD,
	MSG_TARGET_DATA,
	MSG_TARGET_END,
	MSG_TARGET_FAILED,

	MSG_ORDER_SEND, /* orders -> dispatch */
	MSG_ORDER_RESULT,

	MSG_STORE_GET, /* any -> store */
	MSG_STORE_TXN,
	MSG_STORE_LEASE,
	MSG_STORE_KEEPALIVE,
	MSG_STORE_REVOKE,
	MSG_STORE_WATCH,
	MSG_STORE_RESULT, /* reply to all but the watch */
	MSG_STORE_EVENT,

	MSG_CONF_SUBSCRIBE, /* any -> conf */
	MSG_CONF_CHANGED,

	MSG_PEER_SEND, /* any -> peer */
	MSG_PEER_CONNECT, /* member -> peer */
	MSG_PEER_DISCONNECT,
	MSG_PEER_RECEIVED, /* peer -> the service that owns the body's kind */
	MSG_PEER_UP,
	MSG_PEER_DOWN,

	MSG_MEMBER_SUBSCRIBE, /* any -> member */
	MSG_MEMBER_CHANGED,
	MSG_LEASE_RENEWED, /* member -> ledger, claims */
	MSG_BUDDY_CHANGED, /* member -> ledger */
	MSG_MEMBER_GONE, /* member -> ledger: a router's lease has expired */
	MSG_INSTANCES_LISTED, /* instances -> member: the list was answered */

	MSG_EXCHANGE_OPEN, /* ingress -> proxy */
	MSG_EXCHANGE_STARTED, /* proxy -> ingress */
	MSG_EXCHANGE_GONE, /* ingress -> proxy: the caller has left */
	MSG_EXCHANGE_HEAD, /* proxy -> ingress */
	MSG_EXCHANGE_DATA,
	MSG_EXCHANGE_END,
	MSG_EXCHANGE_BROKEN, /* the answer is incomplete */

	MSG_PLACE, /* proxy -> balance */
	MSG_PLACED,
	MSG_PLACE_REFUSED,
	MSG_PLACE_CANCEL, /* withdraws a request that was not yet placed */
	MSG_PLACE_FIRST_BYTE,
	MSG_PLACE_DONE, /* ends a placement */

	MSG_OUT_SEND, /* any -> outbound */
	MSG_OUT_STARTED,
	MSG_OUT_CANCEL,
	MSG_OUT_HEAD, /* outbound -> the sender */
	MSG_OUT_DATA,
	MSG_OUT_END,
	MSG_OUT_FAILED,

	MSG_FLEET_SUBSCRIBE, /* any -> fleet */
	MSG_FLEET_CONF, /* a newer configuration is in force */
	MSG_FLEET_TARGET, /* a target was listed, changed or removed */
	MSG_FLEET_SIZE, /* number of instances in the fleet */

	MSG_SPEND, /* proxy -> prepaid: ends a reservation */

	MSG_KIND_COUNT,
} msg_kind_t;

/* How a placement ended. */
typedef enum place_result_t {
	PLACE_OK,
	PLACE_NOT_SENT, /* nothing was learned about the target */
	PLACE_UNREACHABLE, /* no connection could be made */
	PLACE_FULL, /* the target rejected the request as full */
	PLACE_MISDIRECTED, /* another instance has the address */
	PLACE_ERROR, /* the target answered with an error of its own */
	PLACE_LOST, /* reset, cut short or silent */
	PLACE_CANCELLED, /* the caller left */
} place_result_t;

typedef enum reserve_result_t {
	RESERVE_OK,
	RESERVE_SPENT, /* the budget can't cover it */
	RESERVE_UNAVAILABLE, /* the store can't be asked and slices are used */
} reserve_result_t;

typedef enum bill_result_t {
	BILL_RECORDED, /* in the store, copied by the buddy, or unprotected */
	BILL_DUPLICATE, /* this request was billed before */
	BILL_REFUSED, /* the grant was lost and the budget is spent */
} bill_result_t;

typedef enum claim_result_t {
	CLAIM_OWNED, /* committed: the request may be dispatched */
	CLAIM_REPLAY, /* ran before; the stored outcome is attached */
	CLAIM_IN_DOUBT, /* claimed before, no outcome is stored */
	CLAIM_MISMATCH, /* the key was used with another request */
	CLAIM_STORE_UNAVAILABLE, /* not claimed, not run */
} claim_result_t;

typedef enum order_result_t {
	ORDER_RESULT_DONE,
	ORDER_RESULT_REFUSED_FENCING, /* a newer holder's order came first */
	ORDER_RESULT_FAILED, /* refused; the same order would be again */
	ORDER_RESULT_NOT_SENT, /* the target surely did not get it */
	ORDER_RESULT_UNKNOWN, /* it may have taken effect */
} order_result_t;

#define ROUTE_AVOID_MAX 4

typedef struct msg_t {
	msg_kind_t kind;
	svc_t from;
	svc_t to;
	handle_t ref;
	handle_t id;
	union {
		struct {
			int what; /* the owner's own number for the timer */
		} timer;
		request_spec_t *open; /* MSG_REQ_OPEN */
		struct {
			uint32_t status; /* HTTP */
			char content_type[CONTENT_TYPE_SIZE];
			char idem_key[IDEM_KEY_SIZE];
			bool replayed; /* stored outcome of an earlier run */
		} head; /* MSG_REPLY_HEAD */
		struct {
			GBytes *bytes;
		} data; /* MSG_REPLY_DATA */
		struct {
			int64_t billed_tokens;
		} end; /* MSG_REPLY_END */
		struct {
			refusal_t reason;
			run_state_t run;
			uint32_t retry_after_s; /* 0 for none */
			char idem_key[IDEM_KEY_SIZE];
		} refused; /* MSG_REPLY_REFUSED, MSG_REPLY_BROKEN */

		struct {
			char request_id[REQUEST_ID_SIZE]; /* for the log */
			char client_account[NAME_SIZE];
			char budget[NAME_SIZE];
			int64_t tokens; /* worst case */
			int64_t deadline; /* monotonic, us */
		} reserve;
		struct {
			reserve_result_t result;
		} reserved; /* id is the reservation's handle */
		struct {
			char idem_key[IDEM_KEY_SIZE];
			char fingerprint[HASH_SIZE];
			int64_t tokens; /* at most what was reserved */
		} bill; /* ref is the reservation, which it ends */
		struct {
			bill_result_t result;
		} billed;

		struct {
			char client_account[NAME_SIZE];
			char idem_key[IDEM_KEY_SIZE];
			char fingerprint[HASH_SIZE];
			int64_t deadline; /* monotonic, us */
		} claim;
		struct {
			claim_result_t result;
			outcome_t outcome; /* with CLAIM_REPLAY */
		} claimed; /* id is the claim's handle */
		struct {
			outcome_t outcome;
		} claim_done; /* ref is the claim */
		struct {
			bool stored;
		} claim_stored;

		struct {
			char service[NAME_SIZE];
			char client_account[NAME_SIZE];
			int64_t tokens; /* expected, prompt included */
			int64_t deadline; /* monotonic, us */
			uint64_t prefix_hash;
			bool hedge; /* second attempt of a running request */
			uint32_t avoid_count;
			handle_t avoid[ROUTE_AVOID_MAX]; /* targets */
		} ask;
		struct {
			handle_t target;
			char name[NAME_SIZE];
			char host[HOST_SIZE];
			uint16_t port;
			int32_t priority; /* for the engine, 0 is the highest */
		} picked; /* id is the assignment, ended by ROUTE_DONE */
		struct {
			refusal_t reason;
			uint32_t retry_after_s;
		} route_refused;
		struct {
			failure_t failure; /* FAILURE_NONE: it succeeded */
			int64_t tokens; /* prompt and generated */
		} route_done; /* ref is the assignment */
		struct {
			char host[HOST_SIZE];
			uint16_t port;
			uint32_t running; /* requests on the target */
			uint32_t queued;
		} report;
		struct {
			char host[HOST_SIZE];
			uint16_t port;
			bool leaving; /* false: listed as live again */
		} leaving;

		struct {
			char host[HOST_SIZE];
			uint16_t port;
			char method[16];
			char path[PATH_SIZE];
			char content_type[CONTENT_TYPE_SIZE];
			char request_id[INCARNATION_SIZE];
			GBytes *body;
			bool model; /* count tokens of an OpenAI-style answer */
			uint32_t max_tokens; /* written into a model's body */
			int32_t priority;
			uint32_t first_byte_ms;
			uint32_t idle_ms;
			int64_t deadline; /* monotonic, us */
		} send;
		struct {
			uint32_t status; /* HTTP */
			char content_type[CONTENT_TYPE_SIZE];
		} target_head;
		struct {
			GBytes *bytes;
			int64_t tokens; /* generated, in these bytes */
			bool marker; /* they hold an event stream's [DONE] */
		} target_data;
		struct {
			bool usage_known; /* the target stated its usage */
			int64_t prompt_tokens;
			int64_t completion_tokens;
		} target_end;
		struct {
			failure_t failure;
			bool reset; /* the connection was reset or closed early
				     */
			bool not_run; /* the target stated that it did not run
				       */
		} target_failed;

		struct {
			char host[HOST_SIZE];
			uint16_t port;
			order_kind_t kind;
			char subject[NAME_SIZE];
			char version[NAME_SIZE]; /* empty: not stated */
			int64_t fencing_token;
			/* Nothing is sent at or after this; monotonic, us. */
			int64_t send_before;
			uint32_t longest_ms; /* limit on the wait for an answer
					      */
		} order_send;
		struct {
			order_result_t result;
			char message[ORDER_MESSAGE_SIZE];
		} order_result;

		struct {
			char key[STORE_KEY_SIZE];
			bool prefix; /* all keys that begin with key */
			int64_t min_revision; /* watch: from this revision */
		} store_get; /* MSG_STORE_GET, MSG_STORE_WATCH */
		store_txn_t *store_txn;
		struct {
			int64_t lease;
			int32_t ttl_s;
		} store_lease; /* lease, keepalive, revoke */
		store_result_t *store_result; /* result and event */

		conf_snapshot_t *conf; /* MSG_CONF_CHANGED */

		struct {
			/* empty: all connected peers */
			char incarnation[INCARNATION_SIZE];
			peer_body_t *body;
		} peer; /* MSG_PEER_SEND, MSG_PEER_RECEIVED */
		struct {
			char incarnation[INCARNATION_SIZE]; /* empty: a seed */
			char host[HOST_SIZE];
			uint16_t port;
		} peer_addr; /* connect, disconnect, up, down */

		member_list_t *members; /* MSG_MEMBER_CHANGED */
		struct {
			int64_t lease; /* store lease of this incarnation */
			int64_t valid_until; /* monotonic, us, margin taken */
		} lease;
		struct {
			char incarnation[INCARNATION_SIZE]; /* empty: none */
		} buddy;
		struct {
			char incarnation[INCARNATION_SIZE];
			bool copied_here; /* this router was its buddy */
			bool instance_gone; /* the platform no longer lists it
					     */
		} gone;
		instance_list_t *instances; /* MSG_INSTANCES_LISTED */

		exchange_spec_t *exchange; /* MSG_EXCHANGE_OPEN */
		struct {
			http_head_t *head;
			int64_t length; /* bytes of the body, -1: not known */
		} exchange_head;

		struct {
			char request_id[REQUEST_ID_SIZE];
			char service[NAME_SIZE];
			int32_t priority; /* 0 is the highest */
			int64_t deadline; /* to be placed, monotonic, us */
			int64_t prompt_tokens;
			int64_t max_tokens;
			uint32_t part_count;
			prompt_part_t parts[PROMPT_PARTS_MAX];
			uint32_t avoid_count;
			handle_t avoid[ROUTE_AVOID_MAX]; /* targets */
		} place;
		struct {
			handle_t target;
			char instance[NAME_SIZE];
			char host[HOST_SIZE];
			uint16_t port;
		} placed; /* id is the placement, ended by PLACE_DONE */
		struct {
			refusal_t reason;
			uint32_t retry_after_ms;
		} place_refused;
		struct {
			place_result_t result;
			target_load_t load;
		} place_done; /* ref is the placement */

		struct {
			char host[HOST_SIZE];
			uint16_t port;
			http_head_t *head;
			GBytes *body; /* NULL: none */
			/*
			 * A field that answers repeat; one with another value
			 * answers an earlier request.  Empty: not compared.
			 */
			char echo_name[NAME_SIZE];
			char echo_value[REQUEST_ID_SIZE];
			int64_t deadline; /* monotonic, us */
			int64_t head_deadline; /* of the answer's head; 0: none
						*/
		} out_send;
		struct {
			http_head_t *head;
		} out_head;
		struct {
			bool reused; /* the connection had served before */
		} out_started;
		struct {
			failure_t failure;
			bool sent; /* bytes may have reached the target */
			bool reset; /* the connection was reset or closed early
				     */
		} out_failed;

		fleet_conf_t *fleet_conf; /* MSG_FLEET_CONF */
		struct {
			fleet_target_t target;
			bool gone;
		} fleet_target;
		struct {
			uint32_t instances; /* this one included */
		} fleet_size;
		struct {
			int64_t tokens; /* at most what was reserved */
		} spend; /* ref is the reservation */
	} u;
} msg_t;

/* Releases what the payload still points to. */
void msg_clear(msg_t *msg);

G_END_DECLS

#endif
