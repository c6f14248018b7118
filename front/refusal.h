/*
 * How each refusal reason is told to a caller over HTTP.
 */
#ifndef FRONT_REFUSAL_H
#define FRONT_REFUSAL_H

#include "kernel/msg.h"

G_BEGIN_DECLS

uint32_t refusal_status(refusal_t reason);
const char *refusal_message(refusal_t reason);
/* Seconds; given overrides the default, 0 means no header. */
uint32_t refusal_retry_after(refusal_t reason, uint32_t given);
/* The error as JSON; detail may be NULL.  The caller frees it. */
char *refusal_json(refusal_t reason, run_state_t run, const char *request_id,
		   const char *detail);

G_END_DECLS

#endif
