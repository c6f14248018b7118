/*
 * Calls of the store service: queueing, timeouts and the mapping of HTTP
 * responses to results.
 */
#ifndef STORE_CALL_H
#define STORE_CALL_H

#include "store/http.h"
#include "store/wire.h"

G_BEGIN_DECLS

typedef enum call_kind_t {
	CALL_GET,
	CALL_TXN,
	CALL_LEASE,
	CALL_KEEPALIVE,
	CALL_REVOKE,
	CALL_WATCH_READ, /* reads all keys before a watch stream opens */
} call_kind_t;

typedef struct call_t {
	call_kind_t kind;
	svc_t requester; /* the service that receives the result */
	handle_t ref; /* handle of the requester; CALL_WATCH_READ: the watch */
	exchange_t *exchange; /* NULL while the call is queued */
	handle_t timer;
	int64_t started; /* monotonic, us */
	guint endpoints_tried; /* failed attempts to connect */
	gchar *body;
	GByteArray *response;
	store_txn_t *txn; /* CALL_TXN */
	char key[STORE_KEY_SIZE]; /* CALL_GET, CALL_WATCH_READ */
	bool prefix;
	int64_t revision; /* revision of the first page, 0 until received */
	store_result_t *pages; /* CALL_WATCH_READ: pages read so far */
} call_t;

typedef enum store_timer_t {
	STORE_TIMER_CALL,
	STORE_TIMER_WATCH,
} store_timer_t;

wire_t store_wire(store_t *store);
handle_t call_start(store_t *store, const msg_t *msg, call_kind_t kind,
		    gchar *body, store_txn_t *txn);
/* Reads the keys of a watch and passes the result to watch_read_done(). */
handle_t call_start_watch_read(store_t *store, handle_t watch, const char *key,
			       bool prefix);
void call_event(store_t *store, exchange_t *exchange, exchange_event_t event,
		const char *data, size_t len);
void call_timeout(store_t *store, handle_t handle);
/* Cancels all calls without sending results. */
void call_cancel_all(store_t *store);

G_END_DECLS

#endif
