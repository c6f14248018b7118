/*
 * Helpers shared by the commands: read, write back and print records.
 */
#ifndef CTL_RECORDS_H
#define CTL_RECORDS_H

#include "ctl/call.h"
#include "ctl/out.h"

G_BEGIN_DECLS

/* Returns CTL_USAGE unless the name is valid for a record. */
ctl_status_t ctl_check_name(ctl_t *ctl, const char *name);

/* Reads a record.  Refuses an absent or removed one. */
ctl_status_t ctl_get_existing(ctl_t *ctl, const char *key, record_kind_t kind,
			      store_kv_t *kv);
/* Reads an existing client account, service or target by its name. */
ctl_status_t ctl_get_named(ctl_t *ctl, record_kind_t kind, const char *name,
			   store_kv_t *kv);
/* Reads a record by its name; an absent or removed one becomes a new record. */
ctl_status_t ctl_get_or_new(ctl_t *ctl, record_kind_t kind, const char *name,
			    store_kv_t *kv, bool *is_new);

/* Writes back a record that was read, marked with the operation id. */
ctl_status_t ctl_put_record(ctl_t *ctl, store_kv_t *kv);

/* Appends a row for each record under a prefix, except removed ones. */
ctl_status_t ctl_add_rows(ctl_t *ctl, const char *prefix, JsonArray *rows);
ctl_status_t ctl_print_list(ctl_t *ctl, const char *prefix);
ctl_status_t ctl_print_named(ctl_t *ctl, record_kind_t kind, const char *name);

G_END_DECLS

#endif
