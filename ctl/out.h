/*
 * Output of the client: prints a JSON value as text for people, or as JSON for
 * scripts if --json is given.
 */
#ifndef CTL_OUT_H
#define CTL_OUT_H

#include "ctl/call.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/*
 * Prints an object, or an array of objects as a table.  Takes ownership of the
 * node.
 */
void ctl_print(ctl_t *ctl, JsonNode *node);

/* Print an object or an array like ctl_print() and take ownership of it. */
void ctl_print_object(ctl_t *ctl, JsonObject *object);
void ctl_print_array(ctl_t *ctl, JsonArray *array);

/* Prints a line of text, or {"result": TEXT} with --json. */
void ctl_print_message(ctl_t *ctl, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* Returns the printable fields of a stored record and its revision. */
JsonObject *ctl_describe(const store_kv_t *kv);

G_END_DECLS

#endif
