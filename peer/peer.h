/*
 * Service "peer": authenticated TCP connections between routers and gateways.
 * The service dials the addresses that "member" requests, keeps one connection
 * to each incarnation, replaces connections that time out, and posts each body
 * received to the service that handles its kind.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "kernel/errmsg.h"
#include "kernel/kernel.h"

#include <gio/gio.h>

G_BEGIN_DECLS

/* Connections of peers at one time, with those that wait to be accepted. */
#define PEER_SOCKETS_MAX 544

#define PEER_KEY_MIN 16 /* bytes, shortest shared key */
#define PEER_KEY_SIZE 256 /* bytes, including the terminator */
#define PEER_OUTPUT_MAX 4194304 /* bytes queued on one connection */

typedef struct peer_opts_t {
	member_info_t self; /* sent to peers in the hello */
	char listen_host[HOST_SIZE];
	uint16_t listen_port; /* 0: any free port */
	char key[PEER_KEY_SIZE];
	/*
	 * Time without output before a ping, us; 0: one second.  Each ping
	 * wakes up a peer, and each peer has a connection to all others.
	 */
	int64_t ping_interval;
} peer_opts_t;

typedef struct peer_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t member;
	svc_t conf;
	svc_t ledger;
	svc_t request;
	svc_t replica;
	svc_t streams;
	svc_t balance;
	svc_t proxy;
	svc_t overload;
	peer_opts_t opts;
	GSocketService *listener;
	GSocketClient *client;
	table_t conns; /* conn_t */
	table_t diallers; /* dialler_t */
	GHashTable *active; /* incarnation -> conn_t used for sending */
	GPtrArray *attempts; /* dial_attempt_t in progress */
	GByteArray *scratch; /* buffer in which frames are encoded */
	errmsg_t err;
} peer_t;

/*
 * Returns 0, or -1 with the reason in peer->err.  The caller calls
 * peer_finish() in both cases.
 */
int peer_init(peer_t *peer, kernel_t *kernel, const peer_opts_t *opts);
void peer_finish(peer_t *peer);

/* Returns the port that the service listens on. */
uint16_t peer_port(const peer_t *peer);

G_END_DECLS

#endif
