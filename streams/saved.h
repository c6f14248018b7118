/*
 * Streams in the store, for the time after all instances have ended at once.
 * One instance of the fleet writes, and only while a service has more than one
 * version; an instance that nobody can tell about a stream reads.
 */
#ifndef STREAMS_SAVED_H
#define STREAMS_SAVED_H

#include "streams/streams.h"

G_BEGIN_DECLS

typedef enum streams_timer_t {
	STREAMS_TIMER_LOOKUP, /* ref is the lookup */
	STREAMS_TIMER_SAVE,
} streams_timer_t;

GArray *saved_keys_new(void);
/* True if this instance writes; the one with the lowest incarnation does. */
bool saved_is_writer(const streams_t *streams);
/* Returns the peer that writes, or NULL if this instance does. */
const char *saved_writer(const streams_t *streams);
/* Has a stream written soon. */
void saved_add(streams_t *streams, const char *request_id,
	       const stream_origin_t *origin);
void saved_write(streams_t *streams);
/* Starts to read the streams; false if that was done just before. */
bool saved_load(streams_t *streams);
/* True if a read has just found no saved stream. */
bool saved_is_empty(const streams_t *streams);
/* Handles a result of the store; true once all streams were read. */
bool saved_store_result(streams_t *streams, const msg_t *msg);

G_END_DECLS

#endif
