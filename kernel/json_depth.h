/*
 * Checks the nesting depth of JSON text before the text is parsed, because the
 * parser is recursive.
 */
#ifndef KERNEL_JSON_DEPTH_H
#define KERNEL_JSON_DEPTH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

#define JSON_DEPTH_MAX 64 /* nested arrays and objects */

/*
 * Counts brackets outside strings.  The text may still be invalid JSON if the
 * result is true.
 */
bool json_depth_ok(const char *text, size_t len, int max_depth);

G_END_DECLS

#endif
