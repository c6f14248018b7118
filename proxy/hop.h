/*
 * Peers to which requests can be passed when this instance reaches no target,
 * and the heads of such requests.  A request is passed on once only.
 */
#ifndef PROXY_HOP_H
#define PROXY_HOP_H

#include "kernel/msg.h"

G_BEGIN_DECLS

#define HOP_KEY_SIZE 256 /* bytes, including the terminator */

typedef struct hop_peer_t {
	char incarnation[INCARNATION_SIZE];
	char host[HOST_SIZE];
	uint16_t port;
	bool same_zone;
	int64_t avoid_until; /* monotonic, us */
} hop_peer_t;

typedef struct hops_t {
	char incarnation[INCARNATION_SIZE]; /* of this instance */
	char zone[NAME_SIZE];
	char key[HOP_KEY_SIZE]; /* the fleet's shared key */
	GArray *peers; /* hop_peer_t */
} hops_t;

void hops_init(hops_t *hops, const char *incarnation, const char *zone,
	       const char *key);
void hops_finish(hops_t *hops);
/* Applies MSG_PEER_UP or MSG_PEER_DOWN. */
void hops_update(hops_t *hops, const msg_t *msg);
/*
 * Returns a peer, one of the same availability zone if there is any, or NULL.
 * random chooses among equal ones.
 */
const hop_peer_t *hops_choose(const hops_t *hops, uint64_t random, int64_t now);
/* The peer has not answered, or reaches no target itself. */
void hops_avoid(hops_t *hops, const char *incarnation, int64_t now);

/* Marks a request as passed on by this instance. */
void hop_sign(const hops_t *hops, const char *request_id, http_head_t *head);
/* Whether a request bears the mark of a peer. */
bool hop_is_passed_on(const http_head_t *head);
/* Whether a peer has passed the request on; removes its marks. */
bool hop_verify(const char *key, const char *request_id, http_head_t *head);
/* Marks and recognises the refusal of a peer that reaches no target. */
void hop_mark_unreachable(http_head_t *head);
bool hop_is_unreachable(const http_head_t *head);

G_END_DECLS

#endif
