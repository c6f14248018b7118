/*
 * Cuts a byte stream into whole server-sent events.
 */
#ifndef PROXY_EVENTS_H
#define PROXY_EVENTS_H

#include "kernel/exchange.h"

G_BEGIN_DECLS

typedef struct events_t {
	GByteArray *partial; /* bytes after the last whole event */
	uint32_t count; /* whole events with an id */
	char last_id[EVENT_ID_SIZE]; /* of the last whole event */
} events_t;

void events_init(events_t *events);
void events_finish(events_t *events);
/* Returns the whole events that are complete now, or NULL. */
GBytes *events_feed(events_t *events, GBytes *bytes);
/* Drops an event that was cut off. */
void events_cut(events_t *events);

G_END_DECLS

#endif
