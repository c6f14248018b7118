/*
 * Last error message of a layer.  Each layer returns a status enum of its own
 * and keeps the text of its last failure here.
 */
#ifndef KERNEL_ERRMSG_H
#define KERNEL_ERRMSG_H

#include <glib.h>

G_BEGIN_DECLS

#define ERRMSG_SIZE 256 /* bytes, including the terminator */

typedef struct errmsg_t {
	char text[ERRMSG_SIZE];
} errmsg_t;

/* Replaces the text; too long a text is cut. */
void errmsg_set(errmsg_t *err, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

G_END_DECLS

#endif
