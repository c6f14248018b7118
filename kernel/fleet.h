/*
 * The gateway's configuration and the targets that the platform lists, as
 * plain structures.  platform/ decodes them.
 */
#ifndef KERNEL_FLEET_H
#define KERNEL_FLEET_H

#include "kernel/record.h"

G_BEGIN_DECLS

#define ROUTE_SPLIT_MAX 4 /* services that one route is divided among */
#define GRANT_HOLDERS_MAX 512 /* holders of one account's allocation */

typedef enum route_kind_t {
	ROUTE_SAFE, /* idempotent: may run more than once */
	ROUTE_UNSAFE, /* runs once at most */
	ROUTE_STREAM, /* event stream; may be resumed if the route says so */
} route_kind_t;

typedef struct route_share_t {
	char service[NAME_SIZE];
	uint32_t weight;
} route_share_t;

typedef struct fleet_route_t {
	char name[NAME_SIZE];
	char host[HOST_SIZE];
	char path_prefix[PATH_SIZE];
	route_kind_t kind;
	uint32_t timeout_ms; /* longest time a caller is kept waiting */
	uint32_t
		latency_goal_ms; /* time to the answer, or to its first event */
	uint32_t gap_aim_ms; /* longest pause between events */
	int32_t priority; /* 0 is the highest */
	uint32_t max_attempts; /* targets that one request may reach */
	bool is_public; /* no API key is needed */
	bool resumable; /* a stream goes on at another target */
	uint32_t share_count;
	route_share_t shares[ROUTE_SPLIT_MAX];
} fleet_route_t;

typedef struct fleet_service_t {
	char name[NAME_SIZE];
	uint32_t max_connections; /* of one target, from all instances */
	bool engine; /* batches prompts and caches their prefixes */
	uint32_t slots; /* requests that an engine runs at a time */
	int64_t kv_cache_tokens; /* memory of an engine, tokens */
	uint32_t event_tokens; /* generated tokens in one event at most */
} fleet_service_t;

typedef struct fleet_account_t {
	char name[NAME_SIZE];
	int32_t priority; /* takes precedence over the route's; -1: none */
	int64_t prepaid; /* tokens for the day; -1: not limited */
} fleet_account_t;

typedef struct fleet_limits_t {
	uint32_t max_header; /* bytes */
	uint32_t max_body; /* bytes */
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} fleet_limits_t;

/* Immutable, shared by reference. */
typedef struct fleet_conf_t {
	int refs;
	int64_t version;
	GArray *routes; /* fleet_route_t */
	GArray *services; /* fleet_service_t */
	GArray *accounts; /* fleet_account_t */
	GHashTable *keys; /* API key -> index of its account + 1 */
	bool has_accounts; /* requests need an API key */
	fleet_limits_t limits;
	GBytes *document; /* as the store holds it, for peers */
} fleet_conf_t;

fleet_conf_t *fleet_conf_new(void);
fleet_conf_t *fleet_conf_ref(fleet_conf_t *conf);
void fleet_conf_unref(fleet_conf_t *conf);
/* The longest prefix of path among the routes of the host, or NULL. */
const fleet_route_t *fleet_conf_route(const fleet_conf_t *conf,
				      const char *host, const char *path);
const fleet_service_t *fleet_conf_service(const fleet_conf_t *conf,
					  const char *name);
const fleet_account_t *fleet_conf_account_by_key(const fleet_conf_t *conf,
						 const char *key);
const fleet_account_t *fleet_conf_account_by_name(const fleet_conf_t *conf,
						  const char *name);

typedef struct fleet_target_t {
	char id[NAME_SIZE]; /* of this incarnation */
	char service[NAME_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
	char zone[NAME_SIZE];
	uint32_t slots;
	bool draining;
	int64_t started_ms; /* Unix time of its start */
	uint64_t sequence; /* rises with each heartbeat */
} fleet_target_t;

/* True if they differ in nothing but the heartbeat. */
bool fleet_target_equal(const fleet_target_t *a, const fleet_target_t *b);

/* What one instance has taken of an account's prepaid tokens. */
typedef struct grant_holder_t {
	char node[NAME_SIZE];
	char incarnation[INCARNATION_SIZE];
	int64_t granted; /* tokens, returned ones taken off */
} grant_holder_t;

typedef struct record_allocation_t {
	int64_t closed; /* tokens of holders that are gone */
	GArray *holders; /* grant_holder_t */
} record_allocation_t;

record_allocation_t *allocation_new(void);
record_allocation_t *allocation_copy(const record_allocation_t *from);
void allocation_free(record_allocation_t *allocation);
/* All tokens taken, or -1 when they exceed what a number can hold. */
int64_t allocation_total(const record_allocation_t *allocation);

G_END_DECLS

#endif
