/*
 * Internals of the request service: the entries of its tables, and the
 * functions that its sources share.
 */
#ifndef REQUEST_INTERNAL_H
#define REQUEST_INTERNAL_H

#include "request/request.h"

G_BEGIN_DECLS

#define REQUEST_ATTEMPTS 2 /* at a time: one and its hedge */

typedef enum request_state_t {
	REQUEST_CLAIMING, /* waits for CLAIM_RESULT */
	REQUEST_ABANDONED, /* ended while claiming, aborts an owned claim */
	REQUEST_RESERVING, /* waits for RESERVED */
	REQUEST_ATTEMPTING, /* has one or two attempts */
	REQUEST_BACKOFF, /* waits for the next attempt */
	REQUEST_BILLING, /* the response is complete, waits for BILLED */
	REQUEST_STORING, /* waits for CLAIM_STORED */
} request_state_t;

typedef struct request_t {
	handle_t self;
	request_state_t state;
	svc_t front;
	handle_t front_id;
	request_spec_t *spec;
	size_t counted; /* in the process's buffers */
	char client_account[NAME_SIZE];
	char budget[NAME_SIZE];
	record_service_t service; /* settings at admission */
	char idem_key[IDEM_KEY_SIZE];
	uint32_t max_tokens; /* limit on generated tokens */
	int64_t reserved_tokens; /* upper limit of the tokens used */
	int64_t started; /* monotonic, us */
	int64_t deadline; /* caller's or the stop's, monotonic, us */
	bool ends_at_stop; /* deadline is that of the planned stop */
	handle_t deadline_timer;
	handle_t step_timer; /* backoff, or the wait for CLAIM_STORED */

	handle_t claim;
	handle_t reservation;
	handle_t attempts[REQUEST_ATTEMPTS];
	uint32_t attempt_count; /* attempts sent so far */
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX]; /* targets of failed attempts */
	char target[NAME_SIZE]; /* name of the last target */

	uint32_t maybe_ran; /* attempts sent that may have run */
	bool ran; /* a target ran the request, now or earlier */
	bool caller_gone;
	bool refused;
	bool paused;
	bool forwarding; /* data is sent to the caller as it arrives */
	bool end_marker_seen; /* [DONE] of the event stream has arrived */
	bool head_sent;
	bool over_limit; /* the target generated more than max_tokens */
	bool in_bill_grace; /* waits for the bill past the deadline */

	handle_t response_attempt; /* attempt that responds, or none */
	uint32_t status; /* HTTP status of the response */
	char content_type[CONTENT_TYPE_SIZE];
	GQueue buffered; /* GBytes not yet sent to the caller */
	size_t buffered_bytes;
	GByteArray *outcome; /* body for the claim, NULL when too large */
	int64_t billed_tokens;
} request_t;

typedef enum attempt_state_t {
	ATTEMPT_ROUTING, /* waits for a target */
	ATTEMPT_SENT,
	ATTEMPT_HEAD, /* the response head has arrived */
} attempt_state_t;

typedef struct attempt_t {
	handle_t self;
	handle_t request;
	attempt_state_t state;
	bool hedge;
	handle_t assignment;
	handle_t target;
	char target_name[NAME_SIZE];
	handle_t send; /* handle at dispatch, none before SEND_STARTED */
	uint32_t status;
	int64_t generated_tokens; /* tokens received so far */
} attempt_t;

/* A pending write of a quarantine record, which first requests a lease. */
typedef struct quarantine_write_t {
	handle_t self;
	char fingerprint[HASH_SIZE];
	int64_t expires_ms;
	int64_t lease; /* 0 before the lease is granted */
	uint32_t tries;
} quarantine_write_t;

/* admission.c: decides without messages to other services. */
refusal_t request_admit(request_svc_t *svc, request_t *request);

/* lifecycle.c */
void request_open(request_svc_t *svc, msg_t *msg);
void request_claim_result(request_svc_t *svc, msg_t *msg);
void request_reserved(request_svc_t *svc, const msg_t *msg);
void request_timer(request_svc_t *svc, const msg_t *msg);
void request_caller_gone(request_svc_t *svc, request_t *request);
void request_pause(request_svc_t *svc, request_t *request, bool paused);
/* Moves later deadlines of all requests to that of the planned stop. */
void request_limit_to_stop(request_svc_t *svc);
/* Ends the request and its attempts without a complete response. */
void request_refuse(request_svc_t *svc, request_t *request, refusal_t reason,
		    uint32_t retry_after_s);
/* Logs the result and removes the request after its last message. */
void request_end(request_svc_t *svc, request_t *request, const char *result);
/* Returns RUN_NOT_RUN only when no attempt can have run. */
run_state_t request_run_state(const request_t *request);
void request_set_step_timer(request_svc_t *svc, request_t *request,
			    int64_t delay);
void request_check_stopped(request_svc_t *svc);

/* attempt.c */
void attempt_start(request_svc_t *svc, request_t *request, bool hedge);
void attempt_assigned(request_svc_t *svc, const msg_t *msg);
void attempt_refused(request_svc_t *svc, const msg_t *msg);
void attempt_hedge(request_svc_t *svc, const msg_t *msg);
void attempt_started(request_svc_t *svc, const msg_t *msg);
void attempt_head(request_svc_t *svc, const msg_t *msg);
void attempt_data(request_svc_t *svc, msg_t *msg);
void attempt_end(request_svc_t *svc, const msg_t *msg);
void attempt_failed(request_svc_t *svc, const msg_t *msg);
/* Cancels all attempts of a request except the given one. */
void attempt_cancel_all(request_svc_t *svc, request_t *request,
			handle_t except);
void attempt_pause(request_svc_t *svc, const request_t *request);

/* response.c */
void response_add(request_svc_t *svc, request_t *request, GBytes *bytes,
		  bool marker);
/* Drops the response data of a failed attempt. */
void response_reset(request_t *request);
/* Bills and stores a complete response, and sends the rest to the caller. */
void response_complete(request_svc_t *svc, request_t *request, int64_t tokens);
void response_billed(request_svc_t *svc, const msg_t *msg);
void response_stored(request_svc_t *svc, request_t *request);
void response_replay(request_svc_t *svc, request_t *request, msg_t *msg);
/*
 * Estimates the tokens of a response that is incomplete or has no usage, up to
 * the reserved tokens.
 */
int64_t response_estimate_tokens(const request_t *request, int64_t generated);

/* blame.c */
void blame_report(request_svc_t *svc, const request_t *request,
		  const char *target);
void blame_received(request_svc_t *svc, const msg_t *msg);
void blame_store_result(request_svc_t *svc, const msg_t *msg);
void blame_timer(request_svc_t *svc, const msg_t *msg);

typedef enum request_timer_t {
	TIMER_DEADLINE,
	TIMER_STEP,
	TIMER_WRITE_RETRY,
} request_timer_t;

G_END_DECLS

#endif
