/*
 * Error message of a module.  Each module returns a status enum of its own and
 * stores the text of its last error here.
 */
#ifndef KERNEL_ERRMSG_H
#define KERNEL_ERRMSG_H

#include <glib.h>

G_BEGIN_DECLS

#define ERRMSG_SIZE 256 /* bytes, including the terminator */

typedef struct errmsg_t {
	char text[ERRMSG_SIZE];
} errmsg_t;

/* Replaces the text, truncating it if necessary. */
void errmsg_set(errmsg_t *err, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

G_END_DECLS

#endif
