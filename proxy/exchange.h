/*
 * One forwarded request.  Private to the service proxy.
 */
#ifndef PROXY_EXCHANGE_H
#define PROXY_EXCHANGE_H

#include "proxy/proxy.h"
#include "proxy/sse.h"

G_BEGIN_DECLS

typedef enum exchange_state_t {
	EXCHANGE_RESERVING, /* waits for tokens */
	EXCHANGE_PLACING, /* waits for a target */
	EXCHANGE_SENT, /* waits for an answer's head */
	EXCHANGE_REJECTED, /* the target's refusal is read to its end */
	EXCHANGE_RESPONDING, /* the answer's body comes */
} exchange_state_t;

typedef struct exchange_t {
	handle_t self;
	exchange_state_t state;
	handle_t caller; /* ingress' handle */
	exchange_spec_t *spec;
	int64_t version; /* of the configuration that admitted it */
	fleet_route_t route;
	char service[NAME_SIZE];
	uint32_t event_tokens; /* of the service's events; 0: no engine */
	char account[NAME_SIZE]; /* empty: none */
	char fingerprint[HASH_SIZE];
	int32_t priority;
	int64_t started_at; /* monotonic, us */
	int64_t deadline; /* monotonic, us, for the caller */
	handle_t deadline_timer;

	handle_t reservation;
	int64_t reserved; /* tokens */
	handle_t placement;
	handle_t target;
	char instance[NAME_SIZE]; /* of the last target */
	handle_t call; /* outbound's handle, none before it is known */
	bool reused; /* the last connection had served before */
	uint32_t sends; /* to any target */
	uint32_t runs; /* sends that may have run */
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX];

	reply_info_t reply;
	http_head_t *head; /* of the answer, until it is sent */
	GByteArray *body; /* of an answer that is sent whole */
	bool streaming; /* the answer is passed on event by event */
	bool head_sent;
	bool completed; /* a target has answered in full */
	sse_t events;
	int64_t first_byte_at; /* monotonic, us */
	int64_t first_event_at; /* monotonic, us, 0: none */
	int64_t last_event_at; /* monotonic, us */
	int64_t longest_gap; /* us, between two events */
} exchange_t;

/* exchange.c */
void exchange_start(proxy_t *proxy, msg_t *msg);
void exchange_reserved(proxy_t *proxy, const msg_t *msg);
void exchange_placed(proxy_t *proxy, const msg_t *msg);
void exchange_place_refused(proxy_t *proxy, const msg_t *msg);
void exchange_timed_out(proxy_t *proxy, handle_t ref);
void exchange_cancelled(proxy_t *proxy, handle_t ref);
/* Asks for a target, the first or the next one. */
void exchange_place(proxy_t *proxy, exchange_t *exchange);
/* Ends a request without an answer of a target. */
void exchange_refuse(proxy_t *proxy, exchange_t *exchange, refusal_t reason,
		     uint32_t retry_after_ms);
/* Ends a request after its last message to the caller. */
void exchange_end(proxy_t *proxy, exchange_t *exchange, const char *outcome);
/* Ends what is in progress at the target. */
void exchange_release_target(proxy_t *proxy, exchange_t *exchange,
			     place_result_t result);
void exchange_free(proxy_t *proxy, exchange_t *exchange);

/* answer.c */
void response_head(proxy_t *proxy, exchange_t *exchange, msg_t *msg);
void response_data(proxy_t *proxy, exchange_t *exchange, msg_t *msg);
void response_end(proxy_t *proxy, exchange_t *exchange);
void response_failed(proxy_t *proxy, exchange_t *exchange, const msg_t *msg);

/*
 * poison.c: requests that crash the targets that run them.  A request whose
 * connection was reset is suspected, and blamed once its target refuses
 * connections; other resets only lose an answer.
 */
void crash_init(proxy_t *proxy);
bool crash_quarantined(const proxy_t *proxy, const exchange_t *exchange);
void crash_add_suspect(proxy_t *proxy, const exchange_t *exchange);
void crash_target_unreachable(proxy_t *proxy, const char *instance);
void crash_request_completed(proxy_t *proxy, const exchange_t *exchange);
void crash_report_received(proxy_t *proxy, const msg_t *msg);

G_END_DECLS

#endif
