/*
 * An exchange: one request that is forwarded to a target, and its response.
 * Private to the service "proxy".
 */
#ifndef PROXY_EXCHANGE_H
#define PROXY_EXCHANGE_H

#include "proxy/proxy.h"
#include "proxy/sse.h"

G_BEGIN_DECLS

typedef enum exchange_timer_t {
	EXCHANGE_TIMER_DEADLINE,
	EXCHANGE_TIMER_REJECTION,
	EXCHANGE_TIMER_CHECK, /* the proxy's, without an exchange */
	EXCHANGE_TIMER_TELL, /* the proxy's, without an exchange */
	EXCHANGE_TIMER_DECIDE, /* crashes told by peers */
	EXCHANGE_TIMER_HELD, /* the proxy's, without an exchange */
	EXCHANGE_TIMER_REACH, /* the proxy's, without an exchange */
} exchange_timer_t;

typedef enum exchange_state_t {
	EXCHANGE_RESOLVING, /* waiting for where the stream began */
	EXCHANGE_RESERVING, /* waiting for a token reservation */
	EXCHANGE_PLACING, /* waiting for a target */
	EXCHANGE_SENT, /* waiting for the response head */
	EXCHANGE_REJECTED, /* reading a response that states that nothing ran */
	EXCHANGE_RESPONDING, /* receiving the response body */
} exchange_state_t;

typedef struct exchange_t {
	handle_t self;
	exchange_state_t state;
	handle_t caller; /* handle of the connection in ingress */
	exchange_spec_t *spec;
	int64_t version; /* configuration version at admission */
	route_terms_t route;
	char service[NAME_SIZE];
	uint32_t event_tokens; /* 0 if the service is not an engine */
	char account[NAME_SIZE]; /* empty: none */
	char *account_name; /* in full, for targets; NULL: none */
	char fingerprint[HASH_SIZE];
	int32_t priority;
	int64_t started_at; /* monotonic, us */
	int64_t deadline; /* caller's or the stop's, monotonic, us */
	bool ends_at_stop; /* deadline is that of the planned stop */
	handle_t deadline_timer;

	handle_t reservation;
	int64_t reserved; /* tokens */
	handle_t placement;
	handle_t target;
	char instance[NAME_SIZE]; /* instance of the last target */
	/* Software of the last target, or VERSION_UNKNOWN. */
	char target_version[NAME_SIZE];
	bool has_stream_version;
	/* Software of the targets at which the stream may go on. */
	char stream_version[NAME_SIZE];
	char target_host[HOST_SIZE];
	uint16_t target_port;
	int64_t target_started_ms; /* process of the last target */
	handle_t call; /* handle in outbound, none until MSG_OUT_STARTED */
	bool reused; /* the last attempt used a kept-alive connection */
	uint32_t sends; /* requests sent to targets */
	uint32_t runs; /* sent requests that may have run */
	uint32_t unreached; /* attempts that reached no target */
	int64_t sent_at; /* monotonic, us; last attempt at a target */
	bool trial; /* shows whether targets are reached again */
	bool passed_on; /* sent to a peer instead of a target */
	uint32_t hops; /* peers that it was sent to */
	char peer[INCARNATION_SIZE]; /* the last of them */
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX]; /* targets already tried */

	response_info_t response_info;
	handle_t rejection_timer;
	size_t rejection_bytes; /* body bytes of a rejection */
	http_head_t *head; /* response head */
	GByteArray *body; /* buffered response body, unless streaming */
	size_t counted; /* bytes of the response in the process's buffers */
	size_t counted_request; /* bytes of the request */
	bool streaming; /* the response is forwarded event by event */
	bool until_close; /* the response ends with its connection */
	bool head_sent;
	bool completed; /* a target has sent a complete response */
	bool joins; /* the attempt goes on with a stream of that version */
	bool verifying; /* events wait in body until the process is known */
	int64_t verify_at; /* monotonic, us; when it was asked for */
	bool ended; /* the response has ended meanwhile */
	sse_t events;
	int64_t first_byte_at; /* monotonic, us, 0: none */
	int64_t first_event_at; /* monotonic, us, 0: none */
	bool attempt_began; /* an event, or bytes of a buffered body, came */
	int64_t attempt_began_at; /* monotonic, us, if it has */
	bool probing; /* the attempt probes sets whose quarantine is over */
	bool survived; /* the attempt's response has gone on */
	int64_t last_event_at; /* monotonic, us */
	int64_t longest_gap; /* us, between two events */
} exchange_t;

/*
 * A response whose body comes for this time has outlived its start, at which
 * a request may crash its target.
 */
#define ANSWER_START_US (250 * USEC_PER_MSEC)

/* exchange.c */
void exchange_start(proxy_t *proxy, msg_t *msg);
void exchange_resolved(proxy_t *proxy, const msg_t *msg);
void exchange_reserved(proxy_t *proxy, const msg_t *msg);
void exchange_placed(proxy_t *proxy, const msg_t *msg);
void exchange_place_refused(proxy_t *proxy, const msg_t *msg);
void exchange_timed_out(proxy_t *proxy, handle_t ref);
/* Moves the deadline to that of the planned stop if it is later. */
void exchange_limit_to_stop(proxy_t *proxy, exchange_t *exchange);
void exchange_cancelled(proxy_t *proxy, handle_t ref);
/* Requests a target for the first attempt or for a retry. */
void exchange_place(proxy_t *proxy, exchange_t *exchange);
/* How long a request of the route waits for a target. */
int64_t exchange_place_wait_ms(const route_terms_t *route);

/* explain.c: answers MSG_EXPLAIN. */
void explain_query(proxy_t *proxy, const msg_t *msg);
/*
 * Ends an exchange without a complete response of a target: refuses the
 * request, or aborts the response if its head was sent.
 */
void exchange_refuse(proxy_t *proxy, exchange_t *exchange, refusal_t reason,
		     uint32_t retry_after_ms);
/*
 * Returns the time after which a request that this instance is too busy for is
 * sent to another one.  It is at random, so that what is refused together does
 * not come back together.
 */
uint32_t exchange_retry_elsewhere_ms(proxy_t *proxy);
/* Ends an exchange whose last message to ingress has been posted. */
void exchange_end(proxy_t *proxy, exchange_t *exchange, const char *outcome);
/* Cancels the call to the target and ends the placement. */
void exchange_release_target(proxy_t *proxy, exchange_t *exchange,
			     place_result_t result);
void exchange_free(proxy_t *proxy, exchange_t *exchange);
/* Frees an exchange whose caller gets no answer, as the process exits. */
void exchange_abandon(proxy_t *proxy, exchange_t *exchange);
/* Gives back what was reserved for an exchange that spends nothing here. */
void exchange_return_tokens(proxy_t *proxy, exchange_t *exchange);
/* Whether a request that may have run can be sent again. */
bool exchange_is_idempotent(const exchange_t *exchange);
/* Parts that requests share: all but the last. */
uint32_t exchange_shared_parts(const exchange_spec_t *spec);
/*
 * Returns the ids of the first shared parts for the log, separated by colons.
 * The caller frees the text.
 */
char *exchange_format_parts(const exchange_spec_t *spec);

/* response.c */
void response_head(proxy_t *proxy, exchange_t *exchange, msg_t *msg);
void response_data(proxy_t *proxy, exchange_t *exchange, msg_t *msg);
void response_end(proxy_t *proxy, exchange_t *exchange);
void response_failed(proxy_t *proxy, exchange_t *exchange, const msg_t *msg);
/* Ends the attempts that hold the most bytes. */
void response_relieve(proxy_t *proxy);
/* Whether the process that answers is the listed one is known now. */
void response_verified(proxy_t *proxy, const msg_t *msg);
/* The body of a rejection has not ended in time. */
void response_rejection_timed_out(proxy_t *proxy, handle_t ref);

/* version.c: versions of the targets' software */
/* Keeps the version of the target whose events are forwarded first. */
void version_keep(proxy_t *proxy, exchange_t *exchange);
/* The version of a target's software has become known. */
void version_confirmed(proxy_t *proxy, const msg_t *msg);
/* Has a target asked which process answers.  Its events wait meanwhile. */
void version_verify(proxy_t *proxy, exchange_t *exchange);

/* admit.c */
/* Checks route, API key and account against the current configuration. */
refusal_t exchange_admit(proxy_t *proxy, exchange_t *exchange);
void exchange_set_service(proxy_t *proxy, exchange_t *exchange,
			  const char *name);

/* forward.c: requests that go through a peer. */
/* Whether the request is to go through a peer instead of to a target. */
bool forward_wanted(proxy_t *proxy, exchange_t *exchange);
/* Sends it to a peer, or refuses it if there is none. */
void forward_start(proxy_t *proxy, exchange_t *exchange);
/* The peer's response ended too soon, or did not begin. */
void forward_failed(proxy_t *proxy, exchange_t *exchange, bool sent);
/* Returns whether the peer reaches no target; then the next one is tried. */
bool forward_is_refused(proxy_t *proxy, exchange_t *exchange,
			const http_head_t *head);
/* What attempts and checks tell of whether targets are reached. */
void forward_target_failed(proxy_t *proxy, const exchange_t *exchange);
void forward_target_answered(proxy_t *proxy);
/* What the last attempt, which got no answer in time, tells. */
reach_late_t forward_judge_late(const proxy_t *proxy,
				const exchange_t *exchange);
void forward_checked(proxy_t *proxy, check_result_t result);
void forward_check_due(proxy_t *proxy);

/*
 * crash.c: a request whose connection was reset before its answer went on
 * becomes a suspect, and counts as the cause of a crash if its target refuses
 * connections soon after, or another process has its id.  Any other reset only
 * loses a response.
 */
void crash_init(proxy_t *proxy);
void crash_finish(proxy_t *proxy);
/* Whether the request or a set of parts of its prompt is in quarantine. */
bool crash_quarantined(const proxy_t *proxy, const exchange_t *exchange);
void crash_add_suspect(proxy_t *proxy, const exchange_t *exchange);
void crash_check_targets(proxy_t *proxy);
void crash_target_unreachable(proxy_t *proxy, const char *instance);
/* The target has accepted the connection of a check. */
void crash_target_reachable(proxy_t *proxy, const char *instance);
/* The target's entry shows which process it is now. */
void crash_target_listed(proxy_t *proxy, const fleet_target_t *target);
void crash_request_completed(proxy_t *proxy, const exchange_t *exchange);
void crash_report_received(proxy_t *proxy, const msg_t *msg);
/* Tells a peer that has just connected of the crashes counted so far. */
void crash_tell_peer(proxy_t *proxy, const char *incarnation);
void crash_quarantine_received(proxy_t *proxy, const msg_t *msg);
/* Applies what a peer or the store knows of a request. */
void crash_adopt(proxy_t *proxy, const quarantine_news_t *news,
		 const char *source);

/* parts.c: parts of prompts that crash targets, on all instances. */
void parts_init(proxy_t *proxy);
bool parts_quarantined(const proxy_t *proxy, const exchange_spec_t *spec);
/* Logs which set of parts is the reason of a refusal. */
void parts_log_refused(const proxy_t *proxy, const exchange_spec_t *spec);
/* Called before a request is sent.  Returns false if it is held back. */
bool parts_admit(proxy_t *proxy, exchange_t *exchange);
/* The attempt did not run, so it has probed nothing. */
void parts_not_run(proxy_t *proxy, exchange_t *exchange);
/* Counts the crash of the target of these suspects, which share a weight. */
void parts_crashed(proxy_t *proxy, const suspect_t *const *suspects,
		   uint32_t count);
/* The response to the request went on. */
void parts_survived(proxy_t *proxy, exchange_t *exchange);
void parts_tell_survivals(proxy_t *proxy);
/* Decides with the crashes that peers have told. */
void parts_decide(proxy_t *proxy);
/* Tells a peer that has just connected of the quarantines in force. */
void parts_tell_peer(proxy_t *proxy, const char *incarnation);
void parts_report_received(proxy_t *proxy, const msg_t *msg);
void parts_set_received(proxy_t *proxy, const msg_t *msg);
/* Applies a quarantine that a peer or the store tells of. */
void parts_adopt(proxy_t *proxy, const part_sentence_t *sentence,
		 const char *source);

G_END_DECLS

#endif
