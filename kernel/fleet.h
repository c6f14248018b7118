/*
 * The gateway's configuration and the platform's list of targets as plain
 * structures.  platform/ decodes both.
 */
#ifndef KERNEL_FLEET_H
#define KERNEL_FLEET_H

#include "kernel/errmsg.h"
#include "kernel/exchange.h"

G_BEGIN_DECLS

typedef enum route_kind_t {
	ROUTE_SAFE, /* idempotent: may be executed more than once */
	ROUTE_UNSAFE, /* executed at most once */
	ROUTE_STREAM, /* event stream; can be resumed on a resumable route */
} route_kind_t;

/* A service that gets a part of the requests of a route. */
typedef struct route_share_t {
	char service[NAME_SIZE];
	uint32_t weight;
} route_share_t;

/* How requests of a route are handled. */
typedef struct route_terms_t {
	char name[NAME_SIZE];
	route_kind_t kind;
	uint32_t timeout_ms; /* limit on the time a caller waits */
	/* Intended time to the response, or to the first event of a stream. */
	uint32_t latency_goal_ms;
	uint32_t gap_goal_ms; /* intended limit on the pause between events */
	int32_t priority; /* 0 is the highest */
	uint32_t max_attempts; /* limit on the targets one request is sent to */
	bool is_public; /* no API key is required */
	bool resumable; /* another target can continue a stream */
} route_terms_t;

typedef struct fleet_route_t {
	route_terms_t terms;
	const char *host; /* owned by the configuration */
	const char *path_prefix; /* owned by the configuration */
	guint first_share; /* index into the shares of the configuration */
	guint share_count; /* 0: the route was not readable; it is refused */
} fleet_route_t;

/*
 * The names of routes, services and accounts are identifiers, see
 * kernel/identifier.h.
 */
typedef struct fleet_service_t {
	char name[NAME_SIZE];
	uint32_t max_connections; /* per target, from all instances */
	bool engine; /* batches prompts and caches their prefixes */
	uint32_t slots; /* requests that an engine runs concurrently */
	int64_t kv_cache_tokens; /* capacity of the KV cache of an engine */
	uint32_t event_tokens; /* limit on the generated tokens in one event */
	int64_t cold_ms; /* for which a target is cold after a start */
	/* Requests in 1,000 s that a cold target sustains; 0: never cold. */
	uint32_t cold_per_ks;
} fleet_service_t;

typedef struct fleet_account_t {
	char name[NAME_SIZE];
	const char *full_name; /* owned by the configuration */
	int32_t priority; /* overrides the route's priority; -1 if none */
	int64_t prepaid; /* tokens for one day; -1 if not limited */
} fleet_account_t;

typedef struct fleet_limits_t {
	uint32_t max_header; /* bytes */
	uint32_t max_body; /* bytes */
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
} fleet_limits_t;

/* One version of the gateway's configuration; immutable, reference counted. */
typedef struct fleet_conf_t {
	int refs;
	int64_t version;
	GArray *routes; /* fleet_route_t */
	GArray *shares; /* route_share_t, those of one route together */
	GStringChunk *texts; /* that routes and accounts point to */
	GArray *services; /* fleet_service_t */
	GArray *accounts; /* fleet_account_t */
	GHashTable *keys; /* API key -> index into accounts + 1 */
	bool has_accounts; /* requests require an API key */
	fleet_limits_t limits;
	GBytes *document; /* encoded form as stored, for peers */
	/*
	 * Parts that were not readable.  Requests that need one are refused;
	 * the rest of the configuration is in force.
	 */
	uint32_t unreadable;
	errmsg_t fault; /* names the first of them */
} fleet_conf_t;

fleet_conf_t *fleet_conf_new(void);
fleet_conf_t *fleet_conf_ref(fleet_conf_t *conf);
void fleet_conf_unref(fleet_conf_t *conf);
/* Returns a copy of the text that lives as long as the configuration. */
const char *fleet_conf_keep(fleet_conf_t *conf, const char *text);
/* Adds a route, whose shares are to be added before the next route. */
void fleet_conf_add_route(fleet_conf_t *conf, const route_terms_t *terms,
			  const char *host, const char *path_prefix);
/* Adds a share to the route that was added last. */
void fleet_conf_add_share(fleet_conf_t *conf, const char *service,
			  uint32_t weight);
const route_share_t *fleet_conf_share(const fleet_conf_t *conf,
				      const fleet_route_t *route, guint i);
/* True if the service gets requests of the route. */
bool fleet_conf_leads_to(const fleet_conf_t *conf, const fleet_route_t *route,
			 const char *service);
/*
 * Returns the route of the host with the longest prefix that matches path, or
 * NULL.
 */
const fleet_route_t *fleet_conf_route(const fleet_conf_t *conf,
				      const char *host, const char *path);
const fleet_service_t *fleet_conf_service(const fleet_conf_t *conf,
					  const char *name);
const fleet_account_t *fleet_conf_account_by_key(const fleet_conf_t *conf,
						 const char *key);
const fleet_account_t *fleet_conf_account_by_name(const fleet_conf_t *conf,
						  const char *name);

/* A key of the store has at most 200 bytes, 8 of them before the id. */
#define TARGET_FULL_ID_SIZE 193 /* bytes, with terminator */

/* The id, service, zone and version are identifiers. */
typedef struct fleet_target_t {
	char id[NAME_SIZE]; /* identifies one incarnation of a target */
	/* The id as the target knows it; empty: as above. */
	char full_id[TARGET_FULL_ID_SIZE];
	char service[NAME_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
	char zone[NAME_SIZE];
	char version[NAME_SIZE]; /* of its software; empty: not stated */
	uint32_t slots;
	bool draining;
	int64_t started_ms; /* Unix time when the target started */
	uint64_t sequence; /* increases with each heartbeat */
	int64_t cold_ms; /* for which it remains cold; 0: it is not */
} fleet_target_t;

/*
 * Sets the identifier for the id of a target: the id itself if it is a valid
 * name, else its digest.
 */
void fleet_target_id(char to[NAME_SIZE], const char *full_id);
/* Returns the id as the target knows it. */
const char *fleet_target_full_id(const fleet_target_t *target);
/*
 * True if two entries of a target differ only in the heartbeat.  Each entry of
 * a cold target says anew how long it remains cold.
 */
bool fleet_target_equal(const fleet_target_t *a, const fleet_target_t *b);

#define SAVED_STREAMS_MAX 1000 /* in one record */

/* A stream and where it began. */
typedef struct saved_stream_t {
	char request_id[REQUEST_ID_SIZE]; /* of the attempt that began it */
	stream_origin_t origin;
} saved_stream_t;

typedef struct record_streams_t {
	GArray *list; /* saved_stream_t */
} record_streams_t;

record_streams_t *record_streams_new(void);
record_streams_t *record_streams_copy(const record_streams_t *from);
void record_streams_free(record_streams_t *streams);

/* In this order, a later state replaces an earlier one. */
typedef enum grant_state_t {
	GRANT_OPEN,
	GRANT_LOST, /* its process has ended; all tokens count as spent */
	GRANT_RETURNED, /* closed by its process; granted are the tokens used */
	GRANT_STATE_COUNT,
} grant_state_t;

/* Tokens that one instance has taken from an account's prepaid allocation. */
typedef struct grant_holder_t {
	char node[NAME_SIZE];
	char incarnation[INCARNATION_SIZE];
	int64_t granted; /* only increases, until the grant is returned */
	grant_state_t state;
} grant_holder_t;

/* Tokens taken from an account's prepaid tokens, by holder. */
typedef struct record_allocation_t {
	int64_t closed; /* by holders that were removed; earlier versions */
	GArray *holders; /* grant_holder_t */
} record_allocation_t;

record_allocation_t *allocation_new(void);
record_allocation_t *allocation_copy(const record_allocation_t *from);
void allocation_free(record_allocation_t *allocation);
/* Returns the holder of that incarnation, or NULL. */
grant_holder_t *allocation_find(const record_allocation_t *allocation,
				const char *incarnation);
/*
 * Adds what another state of the holder or the record says.  The result is the
 * same in whatever order and however often states are joined.  Returns true if
 * the allocation has changed.
 */
bool allocation_join_holder(record_allocation_t *allocation,
			    const grant_holder_t *holder);
bool allocation_join(record_allocation_t *allocation,
		     const record_allocation_t *other);
/* Returns all tokens taken, or -1 if the sum overflows. */
int64_t allocation_total(const record_allocation_t *allocation);

G_END_DECLS

#endif
