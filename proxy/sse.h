/*
 * Splits a byte stream into complete server-sent events.
 */
#ifndef PROXY_SSE_H
#define PROXY_SSE_H

#include "kernel/exchange.h"

G_BEGIN_DECLS

typedef struct sse_t {
	GByteArray *partial; /* bytes after the last complete event */
	uint32_t count; /* complete events with an id */
	GString *last_id; /* id of the last such event; empty: none */
} sse_t;

void sse_init(sse_t *sse);
void sse_finish(sse_t *sse);
/* Returns the events that these bytes complete, or NULL if there are none. */
GBytes *sse_feed(sse_t *sse, GBytes *bytes);
/* Discards the incomplete event at the end of a truncated stream. */
void sse_discard_partial(sse_t *sse);

G_END_DECLS

#endif
