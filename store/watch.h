/*
 * Watches of the store service.  A watch reads all its keys, unless its first
 * revision is given, then receives a stream of changes.  After a stream has
 * ended, failed or been cancelled, for example by a compaction, the keys are
 * read again and a new stream is opened.  An idle stream is replaced without
 * reading the keys again.
 */
#ifndef STORE_WATCH_H
#define STORE_WATCH_H

#include "store/http.h"

G_BEGIN_DECLS

/* Returns the entry size for the table of watches. */
size_t watch_size(void);
void watch_start(store_t *store, const msg_t *msg);
/* Receives the keys of a watch and takes ownership of the result. */
void watch_read_done(store_t *store, handle_t handle, store_result_t *result);
void watch_event(store_t *store, exchange_t *exchange, exchange_event_t event,
		 const char *data, size_t len);
void watch_timeout(store_t *store, handle_t handle);
void watch_cancel_all(store_t *store);

G_END_DECLS

#endif
