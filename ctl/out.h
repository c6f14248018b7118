/*
 * Output of the client: the same JSON value is printed as text for people or
 * as JSON for scripts.
 */
#ifndef CTL_OUT_H
#define CTL_OUT_H

#include "ctl/call.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/* Prints an object, or an array of objects as a table; takes it over. */
void ctl_print(ctl_t *ctl, JsonNode *node);

/* The same for what is not in a node yet. */
void ctl_print_object(ctl_t *ctl, JsonObject *object);
void ctl_print_array(ctl_t *ctl, JsonArray *array);

/* One line for people, {"result": text} for scripts. */
void ctl_print_message(ctl_t *ctl, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

/* The public members of a stored record, revision included. */
JsonObject *ctl_describe(const store_kv_t *kv);

G_END_DECLS

#endif
