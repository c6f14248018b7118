/*
 * Limit on the nesting of JSON text, checked before the text is parsed,
 * because the parser recurses.
 */
#ifndef DISPATCH_JSON_DEPTH_H
#define DISPATCH_JSON_DEPTH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

#define JSON_DEPTH_MAX 64 /* nested arrays and objects */

/* Counts brackets outside strings; says nothing else about validity. */
bool json_depth_ok(const char *text, size_t len, int max_depth);

G_END_DECLS

#endif
