/*
 * Rewrites the JSON body of a model request before it goes to a target.
 */
#ifndef DISPATCH_BODY_H
#define DISPATCH_BODY_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the generated tokens to max_tokens and asks for the usage of a
 * streamed answer.  Returns NULL for a body that is not a JSON object.
 */
GBytes *body_rewrite(GBytes *body, uint32_t max_tokens);

G_END_DECLS

#endif
