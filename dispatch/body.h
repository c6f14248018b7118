/*
 * Rewrites the JSON body of a model request before the request is sent to a
 * target.
 */
#ifndef DISPATCH_BODY_H
#define DISPATCH_BODY_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the generated tokens to max_tokens and requests the usage record of
 * a streamed response.  Returns NULL for a body that is not a JSON object.
 */
GBytes *body_rewrite(GBytes *body, uint32_t max_tokens);

G_END_DECLS

#endif
