/*
 * Messages between services: a kind and a payload for each kind.
 *
 * ref is the handle of the receiver's object that the message refers to.  id
 * is the handle of the sender's object, which the receiver returns as ref.
 * The message owns the pointers in its payload.  A receiver that keeps one
 * sets it to NULL; the kernel frees the others after delivery.
 */
#ifndef KERNEL_MSG_H
#define KERNEL_MSG_H

#include "kernel/buffers.h"
#include "kernel/exchange.h"
#include "kernel/fleet.h"
#include "kernel/peering.h"
#include "kernel/refusal.h"
#include "kernel/snapshot.h"
#include "kernel/storage.h"
#include "kernel/table.h"

G_BEGIN_DECLS

typedef handle_t svc_t; /* a registered service */

/* A caller's request as parsed by front. */
typedef struct request_spec_t {
	char request_id[INCARNATION_SIZE];
	char key_hash[HASH_SIZE]; /* SHA-256 of the bearer token */
	char service[NAME_SIZE]; /* model requests; empty for plain services */
	char method[16];
	char path[PATH_SIZE]; /* includes the query */
	char content_type[CONTENT_TYPE_SIZE];
	char idem_key[IDEM_KEY_SIZE]; /* empty: the router generates a key */
	char fingerprint[HASH_SIZE]; /* SHA-256 of method, path and body */
	uint64_t prefix_hash; /* hash of the start of the prompt; 0 if none */
	uint32_t deadline_ms; /* 0: the service's default */
	uint32_t max_tokens; /* 0: the service's limit */
	int64_t prompt_bytes;
	bool stream;
	GBytes *body;
} request_spec_t;

request_spec_t *request_spec_new(void);
void request_spec_free(request_spec_t *spec);

typedef enum msg_kind_t {
	MSG_NONE,
	MSG_START, /* all services are registered */
	MSG_STOP, /* planned stop: finish running work, accept no new work */
	MSG_STOPPED, /* any -> router: the sender has finished */
	MSG_TIMER,
	MSG_BUFFERS_FULL, /* kernel -> the service that holds the most bytes */
	MSG_OFFERED, /* ingress -> overload; answers MSG_LOAD */
	MSG_LOAD, /* overload -> ingress; every 50 ms if the link is known */
	MSG_OVERLOAD, /* overload -> ingress, proxy */

	MSG_REQ_OPEN, /* front -> request */
	MSG_REQ_STARTED, /* request -> front */
	MSG_REQ_CANCEL, /* front -> request: the caller disconnected */
	MSG_REQ_PAUSE, /* front -> request: the caller reads too slowly */
	MSG_REQ_RESUME,
	MSG_REPLY_HEAD, /* request -> front */
	MSG_REPLY_DATA,
	MSG_REPLY_END,
	MSG_REPLY_REFUSED, /* refused before a response head */
	MSG_REPLY_ABORTED, /* the response breaks off after its head */

	MSG_RESERVE, /* request -> ledger */
	MSG_RESERVED,
	MSG_RELEASE,
	MSG_BILL,
	MSG_BILLED,

	MSG_CLAIM_BEGIN, /* request -> claims */
	MSG_CLAIM_RESULT,
	MSG_CLAIM_DONE,
	MSG_CLAIM_STORED,
	MSG_CLAIM_ABORT, /* not executed: the key may be claimed again */
	MSG_CLAIM_ABANDON, /* outcome unknown: the claim stays open */

	MSG_ROUTE_REQUEST, /* request -> route */
	MSG_ROUTE_ASSIGNED,
	MSG_ROUTE_REFUSED,
	MSG_ROUTE_CANCEL, /* withdraws an unanswered route request */
	MSG_ROUTE_HEDGE, /* route -> request: a second attempt may start */
	MSG_ROUTE_FIRST_BYTE,
	MSG_ROUTE_DONE,
	MSG_TARGET_REPORT, /* dispatch -> route */
	MSG_TARGET_LEAVING, /* dispatch, instances -> route */
	MSG_TARGET_PAUSED, /* dispatch -> route: it wants no requests */

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
	MSG_STORE_WATCH, /* any -> store or replica */
	MSG_STORE_LIST, /* replica -> store: one page of a prefix */
	MSG_STORE_CHANGES, /* replica -> store: changes after a revision */
	MSG_STORE_DECODE, /* replica -> store: items read by a peer */
	MSG_STORE_ARRIVING, /* store -> replica: a large read goes on */
	MSG_STORE_RESULT, /* reply to each store call except the watch */
	MSG_STORE_EVENT,

	MSG_CONF_SUBSCRIBE, /* any -> conf */
	MSG_CONF_CHANGED,

	MSG_PEER_SEND, /* any -> peer */
	MSG_PEER_CONNECT, /* member -> peer */
	MSG_PEER_DISCONNECT,
	MSG_PEER_RECEIVED, /* peer -> service responsible for the kind */
	MSG_PEER_UP,
	MSG_PEER_DOWN,

	MSG_MEMBER_SUBSCRIBE, /* any -> member */
	MSG_MEMBER_CHANGED,
	MSG_LEASE_RENEWED, /* member -> ledger, claims */
	MSG_BUDDY_CHANGED, /* member -> ledger */
	MSG_MEMBER_EXPIRED, /* member -> ledger: a router's lease expired */
	MSG_INSTANCES_LISTED, /* instances -> member: list received */

	MSG_EXCHANGE_OPEN, /* ingress -> proxy */
	MSG_EXCHANGE_STARTED, /* proxy -> ingress */
	MSG_EXCHANGE_CANCEL, /* ingress -> proxy: caller disconnected */
	MSG_EXCHANGE_HEAD, /* proxy -> ingress */
	MSG_EXCHANGE_DATA,
	MSG_EXCHANGE_END,
	MSG_EXCHANGE_ABORTED, /* the response is incomplete */

	MSG_PLACE, /* proxy -> balance */
	MSG_PLACED,
	MSG_PLACE_REFUSED,
	MSG_PLACE_CANCEL, /* withdraws a request not yet placed */
	MSG_PLACE_FIRST_BYTE,
	MSG_PLACE_REPORT, /* a response head told about its target */
	MSG_PLACE_DONE, /* ends a placement */
	/*
	 * As MSG_PLACE, but only tells what would happen, in MSG_EXCHANGE_DATA
	 * and MSG_EXCHANGE_END to "ingress" with this ref.
	 */
	MSG_PLACE_EXPLAIN, /* proxy -> balance */
	MSG_EXPLAIN, /* ingress -> proxy: where would a request go? */

	MSG_OUT_SEND, /* any -> outbound */
	MSG_OUT_STARTED,
	MSG_OUT_CANCEL,
	MSG_OUT_HEAD, /* outbound -> the sender */
	MSG_OUT_DATA,
	MSG_OUT_END,
	MSG_OUT_FAILED,
	MSG_OUT_CHECK, /* proxy -> outbound: does the target accept? */
	MSG_OUT_CHECKED,
	MSG_OUT_CLOSED, /* outbound -> balance: by the target, while idle */

	MSG_TARGET_REFUSED, /* proxy -> balance: it accepts no connection */
	/* balance -> proxy: the process is the one that its entry states */
	MSG_TARGET_CONFIRMED,
	MSG_PROCESS_VERIFY, /* proxy -> balance: is it the listed process? */
	MSG_PROCESS_VERIFIED, /* balance -> proxy */

	MSG_FLEET_SUBSCRIBE, /* any -> fleet */
	MSG_FLEET_CONF, /* a newer configuration took effect */
	MSG_FLEET_TARGET, /* a target was added, changed or removed */
	MSG_FLEET_BEHIND, /* a newer configuration has not arrived yet */
	MSG_FLEET_EVACUATION, /* a zone's evacuation began or ended */
	/* replica -> fleet -> subscribers: the list is complete as of then */
	MSG_LIST_CURRENT,
	MSG_LIST_REQUEST, /* streams -> replica: read the store soon */
	MSG_FLEET_SIZE, /* number of instances in the fleet */

	MSG_STREAM_BEGAN, /* proxy -> streams: the first event came */
	MSG_STREAM_RESOLVE, /* proxy -> streams: where did a stream begin? */
	MSG_STREAM_RESOLVED,

	MSG_SPEND, /* proxy -> prepaid: ends a reservation */

	MSG_KIND_COUNT,
} msg_kind_t;

/* Result of a request that was placed at a target. */
typedef enum place_result_t {
	PLACE_OK,
	PLACE_NOT_SENT, /* no evidence about the target's health */
	PLACE_UNREACHABLE, /* connecting to the target failed */
	PLACE_REFUSED, /* the target refused the connection */
	PLACE_FULL, /* the target refused the request for lack of capacity */
	PLACE_MISDIRECTED, /* another instance has the address now */
	PLACE_ERROR, /* the target responded with an error */
	PLACE_LOST, /* response malformed or timed out */
	PLACE_RESET, /* connection ended before the response was complete */
	PLACE_CANCELLED, /* the caller disconnected */
} place_result_t;

typedef enum reserve_result_t {
	RESERVE_OK,
	RESERVE_SPENT, /* the budget does not cover the request */
	RESERVE_UNAVAILABLE, /* store unreachable, local slices used up */
} reserve_result_t;

typedef enum bill_result_t {
	BILL_RECORDED, /* stored, copied to the buddy, or unprotected */
	BILL_DUPLICATE, /* the request was billed before */
	BILL_REFUSED, /* the grant was lost and the budget is spent */
} bill_result_t;

typedef enum claim_result_t {
	CLAIM_OWNED, /* claim committed: the request may be dispatched */
	CLAIM_REPLAY, /* executed before; the stored outcome is attached */
	CLAIM_IN_DOUBT, /* claimed before without a stored outcome */
	CLAIM_MISMATCH, /* the key was used with another request */
	CLAIM_STORE_UNAVAILABLE, /* neither claimed nor executed */
} claim_result_t;

typedef enum order_result_t {
	ORDER_RESULT_DONE,
	ORDER_RESULT_REFUSED_FENCING, /* sent after a newer holder's order */
	ORDER_RESULT_FAILED, /* refused; a retry would be refused as well */
	ORDER_RESULT_NOT_SENT, /* the target certainly did not receive it */
	ORDER_RESULT_UNKNOWN, /* the order may have taken effect */
} order_result_t;

typedef enum check_result_t {
	CHECK_UNKNOWN, /* no answer in time, or no connection could be opened */
	CHECK_ACCEPTED,
	CHECK_REFUSED,
} check_result_t;

#define ROUTE_AVOID_MAX 4

/* Whether the process that answers an exchange is the listed one. */
typedef struct process_check_t {
	handle_t target;
	int64_t started_ms; /* process that was listed */
	uint32_t attempt; /* of the exchange; returned unchanged */
	bool listed; /* MSG_PROCESS_VERIFIED only */
} process_check_t;

typedef struct msg_t {
	msg_kind_t kind;
	svc_t from;
	svc_t to;
	handle_t ref;
	handle_t id;
	union {
		struct {
			int kind; /* defined by the owner of the timer */
		} timer;
		struct {
			int64_t deadline; /* monotonic, us; 0: none */
		} stop; /* requests that still run then are ended */
		struct {
			buffer_kind_t kind;
		} buffers_full;
		struct {
			/* Callers do better at other instances. */
			bool yields;
			/* Input or timers wait too long, or the link is full.
			 */
			bool congested;
			/* Part of its callers that the instance can't bear. */
			double excess;
		} overload;
		struct {
			double in; /* utilization of the link, 1: full */
			double out;
			int64_t wait; /* us, longest wait of input */
		} load;
		struct {
			/* Asked for, of what is admitted at most. */
			double load;
		} offered;
		request_spec_t *open; /* MSG_REQ_OPEN */
		struct {
			uint32_t status; /* HTTP */
			char content_type[CONTENT_TYPE_SIZE];
			char idem_key[IDEM_KEY_SIZE];
			bool replayed; /* outcome of an earlier execution */
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
			uint32_t retry_after_s; /* 0 if none */
			char idem_key[IDEM_KEY_SIZE];
		} refused; /* MSG_REPLY_REFUSED, MSG_REPLY_ABORTED */

		struct {
			char request_id[REQUEST_ID_SIZE]; /* logged */
			char client_account[NAME_SIZE];
			char budget[NAME_SIZE];
			int64_t tokens; /* worst case */
			int64_t deadline; /* monotonic, us */
		} reserve;
		struct {
			reserve_result_t result;
			uint32_t retry_after_ms; /* 0: not known */
		} reserved; /* id is the reservation */
		struct {
			char idem_key[IDEM_KEY_SIZE];
			char fingerprint[HASH_SIZE];
			int64_t tokens; /* at most the reserved tokens */
		} bill; /* ends the reservation ref */
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
			outcome_t outcome; /* CLAIM_REPLAY only */
		} claimed; /* id is the claim */
		struct {
			outcome_t outcome;
		} claim_done; /* ref is the claim */
		struct {
			bool stored;
		} claim_stored;

		struct {
			char service[NAME_SIZE];
			char client_account[NAME_SIZE];
			int64_t tokens; /* expected, including the prompt */
			int64_t deadline; /* monotonic, us */
			uint64_t prefix_hash;
			bool hedge; /* second attempt for a running request */
			uint32_t avoid_count;
			handle_t avoid[ROUTE_AVOID_MAX]; /* targets */
		} route;
		struct {
			handle_t target;
			char name[NAME_SIZE];
			char host[HOST_SIZE];
			uint16_t port;
			int32_t priority; /* 0 is the highest at the engine */
		} assigned; /* id is the assignment, until MSG_ROUTE_DONE */
		struct {
			refusal_t reason;
			uint32_t retry_after_s;
		} route_refused;
		struct {
			failure_t failure; /* FAILURE_NONE on success */
			int64_t tokens; /* prompt and generated tokens */
		} route_done; /* ref is the assignment */
		struct {
			char host[HOST_SIZE];
			uint16_t port;
			uint32_t running; /* requests on the target */
			uint32_t queued;
		} target_report;
		struct {
			char host[HOST_SIZE];
			uint16_t port;
			bool leaving; /* false if listed as live again */
		} target_leaving;
		struct {
			char host[HOST_SIZE];
			uint16_t port;
			int64_t pause_us;
		} target_paused;

		struct {
			char host[HOST_SIZE];
			uint16_t port;
			char method[16];
			char path[PATH_SIZE];
			char content_type[CONTENT_TYPE_SIZE];
			char request_id[INCARNATION_SIZE];
			GBytes *body;
			bool model; /* OpenAI-style response: count tokens */
			uint32_t max_tokens; /* limit to set in the body */
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
			int64_t tokens; /* generated tokens that bytes holds */
			bool marker; /* bytes holds the [DONE] event */
		} target_data;
		struct {
			bool usage_known; /* the target stated token counts */
			int64_t prompt_tokens;
			int64_t completion_tokens;
		} target_end;
		struct {
			failure_t failure;
			/* The connection was reset or closed early. */
			bool reset;
			bool not_run; /* the target states that nothing ran */
		} target_failed;

		struct {
			char host[HOST_SIZE];
			uint16_t port;
			order_kind_t kind;
			char subject[NAME_SIZE];
			char version[NAME_SIZE]; /* empty if not stated */
			int64_t fencing_token;
			/* No order is sent from this time on; monotonic, us. */
			int64_t send_before;
			uint32_t longest_ms; /* time limit for the response */
		} order_send;
		struct {
			order_result_t result;
			char message[ORDER_MESSAGE_SIZE];
		} order_result;

		struct {
			char key[STORE_KEY_SIZE];
			bool prefix; /* all keys with the prefix key */
			/* A watch starts at this revision, changes after it. */
			int64_t min_revision;
			uint64_t max_bytes; /* of changes; 0: no limit */
		} store_get; /* MSG_STORE_GET, _WATCH, _CHANGES */
		struct {
			char prefix[STORE_KEY_SIZE];
			char after[STORE_KEY_SIZE]; /* empty: first page */
		} store_list;
		store_txn_t *store_txn;
		struct {
			int64_t lease;
			int32_t ttl_s;
		} store_lease; /* MSG_STORE_LEASE, _KEEPALIVE, _REVOKE */
		store_result_t *store_result; /* MSG_STORE_RESULT, _EVENT */

		conf_snapshot_t *conf; /* MSG_CONF_CHANGED */

		struct {
			/*
			 * Empty: all connected peers, or those of the
			 * availability zone if one is given.
			 */
			char incarnation[INCARNATION_SIZE];
			char availability_zone[NAME_SIZE];
			peer_body_t *body;
		} peer; /* MSG_PEER_SEND, _RECEIVED, MSG_STORE_DECODE */
		struct {
			char incarnation[INCARNATION_SIZE]; /* empty: seed */
			char host[HOST_SIZE];
			uint16_t port;
			char availability_zone[NAME_SIZE]; /* MSG_PEER_UP */
			/* For callers' requests, 0: none; MSG_PEER_UP. */
			uint16_t request_port;
			/* A configuration may be left out; MSG_PEER_UP. */
			bool takes_patches;
		} peer_addr; /* MSG_PEER_CONNECT, _DISCONNECT, _UP, _DOWN */

		member_list_t *members; /* MSG_MEMBER_CHANGED */
		struct {
			int64_t lease; /* store lease of this incarnation */
			int64_t valid_until; /* monotonic, us, less a margin */
		} lease;
		struct {
			char incarnation[INCARNATION_SIZE]; /* empty if none */
		} buddy;
		struct {
			char incarnation[INCARNATION_SIZE];
			bool was_buddy; /* the receiver keeps bill copies */
			bool instance_gone; /* the platform's list lacks it */
		} expired;
		instance_list_t *instances; /* MSG_INSTANCES_LISTED */

		exchange_spec_t *exchange; /* MSG_EXCHANGE_OPEN */
		explain_query_t *explain; /* MSG_EXPLAIN; id is the caller */
		struct {
			http_head_t *head;
			int64_t length; /* bytes of the body; -1 if unknown */
		} exchange_head;

		struct {
			char request_id[REQUEST_ID_SIZE];
			char service[NAME_SIZE];
			int32_t priority; /* 0 is the highest */
			int64_t deadline; /* limit on the wait; monotonic, us */
			int64_t prompt_tokens;
			int64_t max_tokens;
			uint64_t bytes; /* of the request's body */
			uint32_t part_count;
			prompt_part_t parts[PLACE_PARTS_MAX];
			uint32_t avoid_count;
			handle_t avoid[ROUTE_AVOID_MAX]; /* targets */
			bool one_version; /* only at targets of that version */
			char version[NAME_SIZE];
		} place;
		struct {
			handle_t target;
			char instance[NAME_SIZE];
			/* The id as the target knows it. */
			char full_id[TARGET_FULL_ID_SIZE];
			/* Of the target's software, or VERSION_UNKNOWN. */
			char version[NAME_SIZE];
			int64_t started_ms; /* process of the target */
			char host[HOST_SIZE];
			uint16_t port;
		} placed; /* id is the placement, until MSG_PLACE_DONE */
		struct {
			refusal_t reason;
			uint32_t retry_after_ms;
		} place_refused;
		struct {
			place_result_t result;
			target_load_t load;
		} place_done; /* ref is the placement */
		target_report_t place_report; /* ref is the placement */

		struct {
			char host[HOST_SIZE];
			uint16_t port;
			http_head_t *head;
			GBytes *body; /* NULL if none */
			/*
			 * Field that a response must repeat.  A response with
			 * another value belongs to an earlier request.  Empty
			 * if responses are not checked.
			 */
			char echo_name[NAME_SIZE];
			char echo_value[REQUEST_ID_SIZE]; /* identifier */
			/* No other request shares the connection. */
			bool own_connection;
			int64_t deadline; /* monotonic, us */
			int64_t head_deadline; /* monotonic, us; 0 if none */
		} out_send;
		struct {
			http_head_t *head;
		} out_head;
		struct {
			bool reused; /* the connection was used before */
		} out_started;
		struct {
			failure_t failure;
			bool sent; /* bytes may have reached the target */
			/* The connection was reset or closed early. */
			bool reset;
			bool refused; /* the target accepts no connection */
		} out_failed;
		struct {
			char host[HOST_SIZE];
			uint16_t port;
		} out_closed;
		struct {
			char id[NAME_SIZE];
		} target_refused;
		struct {
			handle_t target;
			char version[NAME_SIZE];
		} target_confirmed;
		process_check_t process; /* MSG_PROCESS_VERIFY, _VERIFIED */
		struct {
			char instance[NAME_SIZE]; /* returned unchanged */
			char host[HOST_SIZE];
			uint16_t port;
			/* Whether targets are reached at all; unchanged. */
			bool reach;
			check_result_t result; /* MSG_OUT_CHECKED */
		} out_check; /* MSG_OUT_CHECK, _CHECKED */

		fleet_conf_t *fleet_conf; /* MSG_FLEET_CONF */
		struct {
			fleet_target_t target;
			bool gone;
		} fleet_target;
		struct {
			char zone[NAME_SIZE];
			bool evacuated;
		} fleet_evacuation;
		struct {
			bool behind;
		} fleet_behind; /* replica -> fleet -> subscribers */
		struct {
			int64_t as_of; /* monotonic, us */
		} list_current;
		struct {
			uint32_t instances; /* including this one */
		} fleet_size;
		struct {
			char request_id[REQUEST_ID_SIZE]; /* of the stream */
			stream_origin_t origin;
			bool known; /* MSG_STREAM_RESOLVED */
		} stream; /* MSG_STREAM_BEGAN, _RESOLVE, _RESOLVED */
		struct {
			int64_t tokens; /* at most the reserved tokens */
		} spend; /* ends the reservation ref */
	} u;
} msg_t;

/* Frees what the pointers left in the payload refer to. */
void msg_clear(msg_t *msg);

G_END_DECLS

#endif
