/*
 * Records in the platform's key-value store, as plain structures.  The store
 * service encodes and decodes them; decision code uses only these types.
 */
#ifndef KERNEL_RECORD_H
#define KERNEL_RECORD_H

#include "kernel/part_set.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define NAME_SIZE 64 /* bytes, with terminator */
#define IDEM_KEY_SIZE 128 /* bytes, with terminator */
#define INCARNATION_SIZE 40 /* bytes, with terminator */
#define HASH_SIZE 65 /* hex SHA-256, with terminator */
#define HOST_SIZE 64 /* IP address as text, with terminator */
#define PATH_SIZE 512 /* bytes, with terminator */
#define CONTENT_TYPE_SIZE 96 /* bytes, with terminator */
#define STORE_KEY_SIZE 320 /* bytes, with terminator */
#define CLIENT_ACCOUNT_KEYS 4 /* API keys per client account */
#define BUDGET_OPS 16 /* operation ids kept per budget */
#define ORDER_MESSAGE_SIZE 128 /* bytes, with terminator */
#define OUTCOME_BODY_MAX 262144 /* bytes of a stored outcome's body */

typedef enum record_kind_t {
	RECORD_NONE, /* absent */
	RECORD_INVALID, /* present, but malformed */
	RECORD_CLIENT_ACCOUNT,
	RECORD_SERVICE,
	RECORD_TARGET,
	RECORD_PRESET,
	RECORD_QUARANTINE,
	RECORD_BUDGET,
	RECORD_GRANT,
	RECORD_BILL,
	RECORD_CLAIM,
	RECORD_MEMBER,
	RECORD_ALIVE,
	RECORD_ORDER,
	RECORD_ORDER_LEASE,
	RECORD_ORDER_STATE,
	RECORD_FLEET_CONF, /* the gateway's configuration */
	RECORD_FLEET_TARGET,
	RECORD_ALLOCATION, /* allocation of prepaid tokens */
	RECORD_STREAMS, /* streams that began lately */
	RECORD_HELD, /* a request or parts of prompts in quarantine */
	RECORD_EVACUATION, /* a zone gets no requests; the key names it */
} record_kind_t;

/* Identifies a write, so that a repeated write is detected. */
typedef struct op_id_t {
	char writer[INCARNATION_SIZE];
	uint64_t seq;
} op_id_t;

typedef struct api_key_t {
	char hash[HASH_SIZE];
	char budget[NAME_SIZE];
} api_key_t;

typedef struct record_client_account_t {
	char name[NAME_SIZE];
	op_id_t op;
	bool removed; /* tombstone */
	bool disabled;
	uint32_t weight; /* weight in fair queueing, 1 to 1000 */
	uint32_t max_requests; /* running per router; 0 if not limited */
	uint32_t key_count;
	api_key_t keys[CLIENT_ACCOUNT_KEYS];
} record_client_account_t;

typedef enum service_kind_t {
	SERVICE_MODEL, /* OpenAI-style completions, streamed or not */
	SERVICE_PLAIN, /* method, path and body passed through */
} service_kind_t;

typedef struct record_service_t {
	char name[NAME_SIZE]; /* name of the model in requests */
	op_id_t op;
	bool removed;
	service_kind_t kind;
	bool idempotent;
	bool hedge; /* a slow short request may get a second attempt */
	char path_prefix[PATH_SIZE]; /* plain services only */
	uint32_t deadline_ms; /* default deadline of a request */
	uint32_t first_byte_ms; /* limit on the wait for the response head */
	uint32_t idle_ms; /* limit on a pause within a response */
	uint32_t max_tokens; /* limit on generated tokens per request */
	uint32_t call_tokens; /* price of a call to a plain service */
	uint32_t short_tokens; /* largest size of a short request */
	uint32_t max_body; /* bytes */
} record_service_t;

typedef struct record_target_t {
	char name[NAME_SIZE];
	op_id_t op;
	bool removed;
	char service[NAME_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
	char availability_zone[NAME_SIZE];
	uint32_t concurrency; /* hint: concurrent requests from all routers */
	bool draining;
	bool checks_fencing; /* refuses orders with an outdated fencing token */
} record_target_t;

typedef enum preset_t {
	PRESET_ORDINARY,
	PRESET_PEAK,
	PRESET_MAINTENANCE,
	PRESET_COUNT,
} preset_t;

typedef struct record_preset_t {
	op_id_t op;
	preset_t in_force;
} record_preset_t;

typedef struct record_quarantine_t {
	char fingerprint[HASH_SIZE];
	op_id_t op;
	int64_t expires_ms; /* wall clock */
} record_quarantine_t;

/*
 * Balance of a budget in tokens.  granted is the sum of all open grants and of
 * the tokens spent from closed grants.
 */
typedef struct record_budget_t {
	int64_t budget;
	int64_t granted;
	int64_t retired; /* tokens spent from closed grants */
	op_id_t ops[BUDGET_OPS]; /* operators' changes, newest first */
} record_budget_t;

typedef struct record_grant_t {
	op_id_t op;
	int64_t granted; /* tokens, settled <= granted */
	int64_t settled;
	int64_t unprotected; /* may be spent with neither store nor copy */
	bool recovered; /* settled by the buddy; the rest is in doubt */
} record_grant_t;

typedef struct record_bill_t {
	op_id_t op;
	char budget[NAME_SIZE];
	char fingerprint[HASH_SIZE]; /* identifies the billed request */
	int64_t tokens;
	int64_t wall_ms;
} record_bill_t;

typedef enum claim_state_t {
	CLAIM_OPEN,
	CLAIM_FINISHED,
	CLAIM_ABORTED,
} claim_state_t;

typedef struct outcome_t {
	uint32_t status; /* HTTP status of the target's response */
	char content_type[CONTENT_TYPE_SIZE];
	GBytes *body; /* NULL if too large to store */
	int64_t tokens;
} outcome_t;

typedef struct record_claim_t {
	op_id_t op;
	claim_state_t state;
	char fingerprint[HASH_SIZE];
	int64_t wall_ms;
	outcome_t outcome; /* CLAIM_FINISHED only */
} record_claim_t;

typedef struct record_member_t {
	char incarnation[INCARNATION_SIZE];
	char name[NAME_SIZE];
	char availability_zone[NAME_SIZE];
	char host[HOST_SIZE];
	uint16_t peer_port;
	uint16_t admin_port;
	char buddy[INCARNATION_SIZE]; /* keeps copies of the bills */
	op_id_t op;
} record_member_t;

/* Attached to the member's lease: absent once the lease has expired. */
typedef struct record_alive_t {
	char incarnation[INCARNATION_SIZE];
} record_alive_t;

typedef enum order_kind_t {
	ORDER_LOAD,
	ORDER_UNLOAD,
	ORDER_ROLE,
	ORDER_KIND_COUNT,
} order_kind_t;

/*
 * The operators' latest order for a target.  It replaces the previous order,
 * whether executed or not.
 */
typedef struct record_order_t {
	char target[NAME_SIZE];
	op_id_t op;
	order_kind_t kind;
	char subject[NAME_SIZE]; /* model, adapter or role */
	char version[NAME_SIZE]; /* version of the subject; may be empty */
	int64_t number; /* increases with each order for the target */
} record_order_t;

/* Attached to the holder's lease: while absent, no router may send orders. */
typedef struct record_order_lease_t {
	char owner[INCARNATION_SIZE];
} record_order_lease_t;

typedef enum order_state_t {
	ORDER_PENDING, /* not yet sent; no earlier order can still be running */
	ORDER_RUNNING, /* may have been sent and may still be running */
	ORDER_DONE,
	ORDER_FAILED, /* permanently refused by the target */
	ORDER_STATE_COUNT,
} order_state_t;

typedef struct record_order_state_t {
	char owner[INCARNATION_SIZE]; /* last holder of the order lease */
	op_id_t op;
	int64_t number; /* number of the order */
	order_state_t state;
	char message[ORDER_MESSAGE_SIZE];
	/* Limit on the run time, from sending, of each order sent so far. */
	uint32_t longest_ms;
} record_order_state_t;

struct fleet_conf_t;
struct fleet_target_t;
struct record_allocation_t;
struct record_streams_t;

/* Either a request or a set of parts that prompts share. */
typedef struct record_held_t {
	char fingerprint[HASH_SIZE]; /* of a request; empty: a set */
	part_set_t set;
	uint32_t strikes; /* quarantines of the set so far */
	int64_t decided_ms; /* wall clock */
	int64_t expires_ms; /* wall clock */
} record_held_t;

typedef struct record_t {
	record_kind_t kind;
	union {
		struct fleet_conf_t *fleet_conf; /* reference counted */
		struct fleet_target_t *fleet_target; /* owned */
		struct record_allocation_t *allocation; /* owned */
		struct record_streams_t *streams; /* owned */
		record_client_account_t client_account;
		record_service_t service;
		record_target_t target;
		record_preset_t preset;
		record_quarantine_t quarantine;
		record_held_t held;
		record_budget_t budget;
		record_grant_t grant;
		record_bill_t bill;
		record_claim_t claim;
		record_member_t member;
		record_alive_t alive;
		record_order_t order;
		record_order_lease_t order_lease;
		record_order_state_t order_state;
	} u;
} record_t;

/* Copies a record; data behind its pointers is referenced or copied. */
void record_copy(record_t *to, const record_t *from);
void record_clear(record_t *record);
void outcome_copy(outcome_t *to, const outcome_t *from);
void outcome_clear(outcome_t *outcome);

bool op_id_equal(const op_id_t *a, const op_id_t *b);
const char *preset_name(preset_t preset);
const char *order_kind_name(order_kind_t kind);
bool order_kind_parse(const char *text, order_kind_t *kind);
const char *order_state_name(order_state_t state);
bool preset_parse(const char *text, preset_t *preset);

/* True for a tombstone of a client account, service or target. */
bool record_is_removed(const record_t *record);

/*
 * True for 1 to 63 letters, digits, '.', '_' and '-' that do not begin with
 * '.'.
 */
bool name_is_valid(const char *name);

G_END_DECLS

#endif
