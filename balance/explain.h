/*
 * Tells an operator where a request would go now, and why.
 */
#ifndef BALANCE_EXPLAIN_H
#define BALANCE_EXPLAIN_H

#include "balance/balance.h"

G_BEGIN_DECLS

/*
 * Answers MSG_PLACE_EXPLAIN: posts lines of text to "ingress", for the
 * connection in ref, and their end.  Nothing else is changed.
 */
void explain_place(balance_t *balance, const msg_t *msg);

G_END_DECLS

#endif
