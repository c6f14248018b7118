/*
 * Service "dispatch": the HTTP client for requests to targets.  The request of
 * each MSG_SEND is sent at most once and ends in exactly one MSG_TARGET_END or
 * MSG_TARGET_FAILED.
 */
#ifndef DISPATCH_DISPATCH_H
#define DISPATCH_DISPATCH_H

#include "kernel/kernel.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

typedef struct dispatch_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t route;
	SoupSession *session;
	table_t calls; /* call_t */
	GHashTable *sockets; /* libsoup connection id -> GSocket */
} dispatch_t;

void dispatch_init(dispatch_t *dispatch, kernel_t *kernel);
/* Aborts the calls in progress without messages to their owners. */
void dispatch_finish(dispatch_t *dispatch);

G_END_DECLS

#endif
