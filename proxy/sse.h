/*
 * Cuts a byte stream into whole server-sent events.
 */
#ifndef PROXY_SSE_H
#define PROXY_SSE_H

#include "kernel/exchange.h"

G_BEGIN_DECLS

typedef struct sse_t {
	GByteArray *partial; /* bytes after the last whole event */
	uint32_t count; /* whole events with an id */
	char last_id[EVENT_ID_SIZE]; /* of the last whole event */
} sse_t;

void sse_init(sse_t *sse);
void sse_finish(sse_t *sse);
/* Returns the whole events that are complete now, or NULL. */
GBytes *sse_feed(sse_t *sse, GBytes *bytes);
/* Drops an event that was cut off. */
void sse_discard_partial(sse_t *sse);

G_END_DECLS

#endif
