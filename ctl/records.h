/*
 * What the commands share: reading a record, writing it changed, and printing
 * records.
 */
#ifndef CTL_RECORDS_H
#define CTL_RECORDS_H

#include "ctl/call.h"
#include "ctl/out.h"

G_BEGIN_DECLS

/* Refuses a command line's name that no record can have. */
ctl_status_t ctl_check_name(ctl_t *ctl, const char *name);

/* Reads a record that has to exist and is not removed. */
ctl_status_t ctl_get_existing(ctl_t *ctl, const char *key, record_kind_t kind,
			      store_kv_t *kv);
/* The same for a client account, service or target, by its name. */
ctl_status_t ctl_get_named(ctl_t *ctl, record_kind_t kind, const char *name,
			   store_kv_t *kv);
/* Without a record, or with a removed one, kv gets an empty new one. */
ctl_status_t ctl_get_or_new(ctl_t *ctl, record_kind_t kind, const char *name,
			    store_kv_t *kv, bool *is_new);

/* Writes back a record that was read, with this command's operation id. */
ctl_status_t ctl_put_record(ctl_t *ctl, store_kv_t *kv);

/* Adds a row for each record below a prefix but for the removed ones. */
ctl_status_t ctl_add_rows(ctl_t *ctl, const char *prefix, JsonArray *rows);
ctl_status_t ctl_print_list(ctl_t *ctl, const char *prefix);
ctl_status_t ctl_print_named(ctl_t *ctl, record_kind_t kind, const char *name);

G_END_DECLS

#endif
