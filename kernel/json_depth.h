/*
 * Checks the nesting depth and the number of values of JSON text before the
 * text is parsed: the parser is recursive, and takes 80 bytes and more for a
 * value.
 */
#ifndef KERNEL_JSON_DEPTH_H
#define KERNEL_JSON_DEPTH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

#define JSON_DEPTH_MAX 64 /* nested arrays and objects */
/* Values of a request; a prompt of 1,000,000 bytes has fewer tokens. */
#define JSON_VALUES_MAX 524288

/*
 * Counts brackets outside strings.  The text may still be invalid JSON if the
 * result is true.
 */
bool json_depth_ok(const char *text, size_t len, int max_depth);
/* Also counts the values, by the brackets and commas between them. */
bool json_extent_ok(const char *text, size_t len, int max_depth,
		    size_t max_values);

G_END_DECLS

#endif
