/*
 * Service "request": runs each request from its admission to the last byte of
 * its response.  The service makes the decisions; the services "front" and
 * "dispatch" encode the messages.
 */
#ifndef REQUEST_REQUEST_H
#define REQUEST_REQUEST_H

#include "kernel/kernel.h"
#include "request/quarantine.h"
#include "request/retry.h"

G_BEGIN_DECLS

typedef struct request_opts_t {
	char incarnation[INCARNATION_SIZE];
	double retry_ratio; /* retries allowed per request, 0.1 by default */
	uint32_t max_requests; /* requests in progress at this router */
	uint32_t max_body; /* bytes, for services without a limit */
	uint32_t default_deadline_ms; /* for services without a deadline */
} request_opts_t;

typedef struct request_svc_t {
	kernel_t *kernel;
	request_opts_t opts;
	svc_t self;
	svc_t claims;
	svc_t ledger;
	svc_t route;
	svc_t dispatch;
	svc_t store;
	svc_t peer;
	conf_snapshot_t *conf; /* newest snapshot, NULL before the first */
	table_t requests; /* request_t */
	table_t attempts; /* attempt_t */
	table_t quarantine_writes; /* quarantine_write_t */
	GHashTable *running_by_account; /* client account -> requests */
	retry_budget_t retry_budget;
	quarantine_t quarantine;
	uint64_t blame_seq;
	bool stopping;
	int64_t stop_deadline; /* requests end then, monotonic us; 0: none */
	bool stopped;
} request_svc_t;

/* Sets the defaults and leaves the incarnation empty. */
void request_opts_defaults(request_opts_t *opts);

void request_init(request_svc_t *svc, kernel_t *kernel,
		  const request_opts_t *opts);
void request_finish(request_svc_t *svc);

G_END_DECLS

#endif
