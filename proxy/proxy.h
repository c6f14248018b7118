/*
 * Service "proxy": handles each request that is forwarded unchanged, from the
 * choice of its route to the last byte of its response.  The proxy makes the
 * decisions; platform/ reads and writes the headers.
 */
#ifndef PROXY_PROXY_H
#define PROXY_PROXY_H

#include "kernel/kernel.h"
#include "proxy/hop.h"
#include "proxy/part_quarantine.h"
#include "proxy/reach.h"
#include "proxy/retry_window.h"
#include "request/quarantine.h"

G_BEGIN_DECLS

#define SUSPECTS_MAX 32
#define PART_TELLS_MAX 64

/*
 * How far a request was when its target reset the connection.  A request that
 * crashes targets does so as they begin to answer it.
 */
typedef enum suspicion_t {
	SUSPICION_NONE, /* the answer has been going on */
	SUSPICION_WEAK, /* no answer, or one that had just begun */
	SUSPICION_STRONG, /* the target had begun to run it */
} suspicion_t;

/* A connection to a target that shows whether it has crashed. */
typedef enum check_t {
	CHECK_NONE, /* left to other suspects and requests */
	CHECK_WANTED,
	CHECK_SENT, /* after the suspect's connection was reset */
	CHECK_PASSED, /* the target, or the next process, accepted it */
} check_t;

/* A request that was running when its target reset the connection. */
typedef struct suspect_t {
	char request_id[REQUEST_ID_SIZE];
	char fingerprint[HASH_SIZE];
	bool answering; /* the answer had begun; only parts are suspected */
	char instance[NAME_SIZE]; /* empty: unused entry */
	char host[HOST_SIZE];
	uint16_t port;
	int64_t started_ms; /* process of the target */
	check_t check;
	suspicion_t suspicion;
	uint32_t part_count;
	uint64_t *parts; /* shared parts, in order; owned */
	int64_t at; /* monotonic, us */
} suspect_t;

/* A part whose response went on, which peers are told soon. */
typedef struct part_tell_t {
	uint64_t part;
	bool heard; /* a peer has told so meanwhile */
} part_tell_t;

/* Quarantines to be read from and written to the store; see proxy/held.h. */
typedef struct held_t {
	GArray *waiting; /* held_write_t, oldest first */
	GPtrArray *outdated; /* keys of records that have expired */
	uint32_t writing; /* of waiting, in the call in progress */
	uint32_t removing; /* of outdated, in the call in progress */
	bool calling; /* a call is in progress */
	bool loaded; /* the records have been read */
	int64_t retry; /* us, delay after the last failure; 0: none */
	handle_t timer;
} held_t;

typedef struct proxy_opts_t {
	char incarnation[INCARNATION_SIZE];
	char zone[NAME_SIZE];
	char peer_key[HOP_KEY_SIZE]; /* the fleet's shared key */
	retry_limits_t retry_limits;
} proxy_opts_t;

typedef struct proxy_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t ingress;
	svc_t balance;
	svc_t outbound;
	svc_t prepaid;
	svc_t streams;
	svc_t peer;
	svc_t store;
	proxy_opts_t opts;
	fleet_conf_t *conf; /* NULL until one is received */
	bool conf_behind; /* a newer configuration has not arrived yet */
	uint32_t instances; /* size of the fleet, including this one */
	table_t exchanges; /* exchange_t */
	int64_t stop_deadline; /* end of a planned stop, monotonic, us; 0: none
				*/
	retry_window_t retries;
	reach_t reach;
	handle_t reach_timer; /* checks of targets, while none is reached */
	hops_t hops;
	quarantine_t quarantine;
	uint64_t crash_seq; /* number of the last crash report */
	suspect_t suspects[SUSPECTS_MAX];
	handle_t check_timer; /* checks the targets of new suspects */
	part_quarantine_t parts;
	part_tell_t tells[PART_TELLS_MAX];
	uint32_t tell_count;
	handle_t tell_timer;
	handle_t decide_timer; /* peers have told of crashes */
	held_t held;
} proxy_t;

void proxy_init(proxy_t *proxy, kernel_t *kernel, const proxy_opts_t *opts);
void proxy_finish(proxy_t *proxy);

G_END_DECLS

#endif
