/*
 * Maps the reason of a refusal to the status and JSON body of its response.
 */
#ifndef FRONT_REFUSAL_H
#define FRONT_REFUSAL_H

#include "kernel/msg.h"

G_BEGIN_DECLS

uint32_t refusal_status(refusal_t reason);
const char *refusal_message(refusal_t reason);
/*
 * Returns the seconds for Retry-After, or 0 for no such header.  A nonzero
 * override_s replaces the default of a reason that has one.
 */
uint32_t refusal_retry_after(refusal_t reason, uint32_t override_s);
/*
 * Returns the error as newly allocated JSON text.  detail replaces the message
 * of the reason unless it is NULL.
 */
char *refusal_json(refusal_t reason, run_state_t run, const char *request_id,
		   const char *detail);

G_END_DECLS

#endif
