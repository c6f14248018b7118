/*
 * Watches of the store service: a complete read, then a stream of changes.
 * A stream that ends, falls silent or is compacted is opened anew.
 */
#ifndef STORE_WATCH_H
#define STORE_WATCH_H

#include "store/http.h"

G_BEGIN_DECLS

/* Size of a watch in its table. */
size_t watch_size(void);
void watch_start(store_t *store, const msg_t *msg);
/* Takes over the result. */
void watch_read_done(store_t *store, handle_t handle, store_result_t *result);
void watch_event(store_t *store, exchange_t *exchange, exchange_event_t event,
		 const char *data, size_t len);
void watch_timeout(store_t *store, handle_t handle);
void watch_cancel_all(store_t *store);

G_END_DECLS

#endif
