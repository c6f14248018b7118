/*
 * Service "proxy": handles each request that is forwarded unchanged, from the
 * choice of its route to the last byte of its response.  The proxy makes the
 * decisions; platform/ reads and writes the headers.
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
	char instance[NAME_SIZE]; /* empty: unused entry */
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
	fleet_conf_t *conf; /* NULL until one is received */
	uint32_t instances; /* size of the fleet, including this one */
	table_t exchanges; /* exchange_t */
	int64_t stop_deadline; /* end of a planned stop, monotonic, us; 0: none
				*/
	retry_window_t retries;
	quarantine_t quarantine;
	uint64_t crash_seq; /* number of the last crash report */
	suspect_t suspects[SUSPECTS_MAX];
	uint32_t next_suspect;
} proxy_t;

void proxy_init(proxy_t *proxy, kernel_t *kernel, const proxy_opts_t *opts);
void proxy_finish(proxy_t *proxy);

G_END_DECLS

#endif
