/*
 * One HTTP exchange with the store: a POST request and the body of its
 * response.  The owner is a call or a watch, which is notified by call_event()
 * or watch_event().
 */
#ifndef STORE_HTTP_H
#define STORE_HTTP_H

#include "store/store.h"

G_BEGIN_DECLS

typedef enum exchange_owner_t {
	OWNER_CALL,
	OWNER_WATCH,
} exchange_owner_t;

typedef enum exchange_event_t {
	EXCHANGE_DATA,
	EXCHANGE_END, /* the response is complete */
	EXCHANGE_FAILED,
} exchange_event_t;

typedef struct exchange_t {
	store_t *store; /* NULL once cancelled: no more events */
	exchange_owner_t owner_kind;
	handle_t owner;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream;
	/* The message has a connection: the store may have received it. */
	bool sent;
	guint status; /* HTTP status */
	char buffer[16384];
} exchange_t;

/* Starts an exchange.  libsoup may send an idempotent request twice. */
exchange_t *exchange_open(store_t *store, exchange_owner_t owner_kind,
			  handle_t owner, const char *path, const char *body,
			  bool idempotent);
/* Closes the connection; the owner receives no further events. */
void exchange_cancel(exchange_t *exchange);

G_END_DECLS

#endif
