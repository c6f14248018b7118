/*
 * Frames between routers: a 4-byte big-endian length and one msgpack value,
 * [version, kind, ...].  The decoder accepts exactly what the encoder writes
 * and bounds what a frame can make it allocate.
 */
#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"

G_BEGIN_DECLS

#define PEER_FRAME_MAX 1048576 /* bytes after the length */
#define PEER_FRAME_HEADER_SIZE 4 /* bytes of the length */
#define PEER_MEMBERS_MAX 64 /* members in one heartbeat */
#define PEER_ITEMS_MAX 4096 /* configuration items in one frame */
#define PEER_BILLS_MAX 4096 /* bills in one frame */
#define PEER_NONCE_SIZE 32 /* bytes */
#define PEER_PROOF_SIZE 32 /* bytes, HMAC-SHA-256 */

typedef enum peer_frame_kind_t {
	FRAME_HELLO,
	FRAME_PROOF,
	FRAME_PING,
	FRAME_BODY,
} peer_frame_kind_t;

typedef struct peer_frame_t {
	peer_frame_kind_t kind;
	union {
		struct {
			uint8_t nonce[PEER_NONCE_SIZE];
			member_info_t self;
		} hello;
		uint8_t proof[PEER_PROOF_SIZE];
		peer_body_t *body; /* owned */
	} u;
} peer_frame_t;

typedef enum frame_status_t {
	FRAME_PARTIAL, /* more bytes are needed */
	FRAME_COMPLETE,
	FRAME_BAD,
} frame_status_t;

/* Appends length and value to out; on failure out is unchanged. */
bool peer_encode(const peer_frame_t *frame, GByteArray *out, errmsg_t *err);
/* Decodes one value; on success the caller clears the frame. */
bool peer_decode(const uint8_t *data, size_t len, peer_frame_t *frame,
		 errmsg_t *err);
void peer_frame_clear(peer_frame_t *frame);

/* Finds the value of the first frame in data. */
frame_status_t peer_frame_find(const uint8_t *data, size_t len,
			       size_t *value_len);

G_END_DECLS

#endif
