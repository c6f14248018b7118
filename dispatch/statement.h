/*
 * What a target states in the head of a response: its load, that it leaves,
 * that it wants a pause, and that it refuses the request.
 */
#ifndef DISPATCH_STATEMENT_H
#define DISPATCH_STATEMENT_H

#include "dispatch/call.h"

G_BEGIN_DECLS

/* Reports the load of the target, if it is stated. */
void statement_report_load(call_t *call, SoupMessageHeaders *headers);
/*
 * Reports a response by which the target refuses the request, and returns true.
 * Returns false for any other response.  Responses carry no id, so the next
 * request could get a second copy of a statement that nothing ran: it must not
 * use the connection.
 */
bool statement_refuses(call_t *call, SoupMessageHeaders *headers,
		       uint32_t status);

G_END_DECLS

#endif
