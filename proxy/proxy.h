/*
 * Service "proxy": the life of each request that is forwarded unchanged, from
 * its route to the last byte of its answer.  It takes the decisions; headers
 * and their names are platform/'s.
 */
#ifndef PROXY_PROXY_H
#define PROXY_PROXY_H

#include "kernel/kernel.h"
#include "proxy/retry_window.h"
#include "request/quarantine.h"

G_BEGIN_DECLS

#define SUSPECTS_MAX 16

/* A request that was running when its target reset the connection. */
typedef struct suspect_t {
	char fingerprint[HASH_SIZE];
	char instance[NAME_SIZE]; /* empty: unused */
	int64_t at; /* monotonic, us */
} suspect_t;

typedef struct proxy_opts_t {
	char incarnation[INCARNATION_SIZE];
	retry_limits_t retry_limits;
} proxy_opts_t;

typedef struct proxy_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t ingress;
	svc_t balance;
	svc_t outbound;
	svc_t prepaid;
	svc_t peer;
	proxy_opts_t opts;
	fleet_conf_t *conf; /* NULL until one is known */
	uint32_t instances;
	table_t exchanges; /* exchange_t */
	retry_window_t retries;
	quarantine_t quarantine;
	uint64_t crash_seq;
	suspect_t suspects[SUSPECTS_MAX];
	uint32_t next_suspect;
} proxy_t;

void proxy_init(proxy_t *proxy, kernel_t *kernel, const proxy_opts_t *opts);
void proxy_finish(proxy_t *proxy);

G_END_DECLS

#endif
