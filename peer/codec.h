/*
 * Encoding of the frames that routers and gateways exchange: a header with
 * the length as 4 bytes in big-endian order, then one msgpack array,
 * [version, kind, ...].  The decoder accepts only what the encoder writes,
 * apart from what a newer build may add: frames of a kind from 16 on that this
 * build does not know, and additional fields at the end of a structure.  It
 * limits the memory that a frame can make it allocate.
 */
#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"

G_BEGIN_DECLS

/* Limit of builds that do not state PEER_KINDS_LONG_FRAMES. */
#define PEER_FRAME_FORMER_MAX 1048576 /* bytes after the header */
/* Room for the largest value of the store with its key and other items. */
#define PEER_FRAME_MAX (PEER_FRAME_FORMER_MAX + 65536)
#define PEER_FRAME_HEADER_SIZE 4 /* bytes */
#define PEER_MEMBERS_MAX 64 /* members in one heartbeat */
#define PEER_ITEMS_MAX 4096 /* configuration or store items in one frame */
#define PEER_BILLS_MAX 4096 /* bills in one frame */
#define PEER_NONCE_SIZE 32 /* bytes */
#define PEER_PROOF_SIZE 32 /* bytes, HMAC-SHA-256 */

typedef enum peer_frame_kind_t {
	FRAME_HELLO,
	FRAME_PROOF,
	FRAME_PING,
	FRAME_BODY,
	FRAME_UNKNOWN, /* decoded only: a body of a kind of a newer build */
} peer_frame_kind_t;

typedef struct peer_frame_t {
	peer_frame_kind_t kind;
	uint32_t extra_fields; /* fields of a newer build that were skipped */
	union {
		struct {
			uint8_t nonce[PEER_NONCE_SIZE];
			/*
			 * The heartbeat of a hello is not used.  Its place in
			 * the frame holds the kinds.
			 */
			member_info_t self;
			uint64_t kinds; /* as in peer/kinds.h */
		} hello;
		uint8_t proof[PEER_PROOF_SIZE];
		peer_body_t *body; /* owned */
		uint64_t unknown; /* wire value of the kind */
	} u;
} peer_frame_t;

typedef enum frame_status_t {
	FRAME_PARTIAL, /* more bytes are needed */
	FRAME_COMPLETE,
	FRAME_BAD, /* the length is 0 or above PEER_FRAME_MAX */
} frame_status_t;

/* Appends the encoded frame to out, which stays unchanged on failure. */
bool peer_encode(const peer_frame_t *frame, GByteArray *out, errmsg_t *err);
/*
 * Decodes a frame without its header.  After success, the caller frees the
 * contents with peer_frame_clear().
 */
bool peer_decode(const uint8_t *data, size_t len, peer_frame_t *frame,
		 errmsg_t *err);
void peer_frame_clear(peer_frame_t *frame);

/*
 * Reads the header of the first frame in data.  Sets *value_len, the number of
 * bytes after the header, unless the header is incomplete or invalid.
 */
frame_status_t peer_frame_find(const uint8_t *data, size_t len,
			       size_t *value_len);

G_END_DECLS

#endif
