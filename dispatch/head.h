/*
 * libsoup takes a response head that stops after a whole line for a complete
 * one if the connection is closed there.
 */
#ifndef DISPATCH_HEAD_H
#define DISPATCH_HEAD_H

#include <libsoup/soup.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Whether the empty line was received that ends the head, as far as the number
 * of bytes received tells.  The message has to collect metrics.
 */
bool head_has_end(SoupMessage *msg);

G_END_DECLS

#endif
