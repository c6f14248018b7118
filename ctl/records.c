#include "ctl/records.h"

#include <string.h>

ctl_status_t ctl_check_name(ctl_t *ctl, const char *name)
{
	if (name_is_valid(name))
		return CTL_OK;
	errmsg_set(&ctl->err, "%.80s is not a name", name);
	return CTL_USAGE;
}

ctl_status_t ctl_get_existing(ctl_t *ctl, const char *key, record_kind_t kind,
			      store_kv_t *kv)
{
	ctl_status_t status = ctl_get(ctl, key, kv);

	if (status != CTL_OK)
		return status;
	if (kv->record.kind != kind || record_is_removed(&kv->record)) {
		errmsg_set(&ctl->err, "%.100s: not found", key);
		return CTL_REFUSED;
	}
	return CTL_OK;
}

static void named_key(char *key, record_kind_t kind, const char *name)
{
	const char *type = "target";

	if (kind == RECORD_CLIENT_ACCOUNT)
		type = "account";
	else if (kind == RECORD_SERVICE)
		type = "service";
	g_snprintf(key, STORE_KEY_SIZE, "conf/%s/%s", type, name);
}

ctl_status_t ctl_get_named(ctl_t *ctl, record_kind_t kind, const char *name,
			   store_kv_t *kv)
{
	char key[STORE_KEY_SIZE];

	named_key(key, kind, name);
	return ctl_get_existing(ctl, key, kind, kv);
}

ctl_status_t ctl_get_or_new(ctl_t *ctl, record_kind_t kind, const char *name,
			    store_kv_t *kv, bool *is_new)
{
	char key[STORE_KEY_SIZE];
	ctl_status_t status = ctl_check_name(ctl, name);

	memset(kv, 0, sizeof(*kv));
	*is_new = false;
	if (status != CTL_OK)
		return status;
	named_key(key, kind, name);
	status = ctl_get(ctl, key, kv);
	if (status != CTL_OK)
		return status;
	*is_new = kv->record.kind != kind || record_is_removed(&kv->record);
	if (*is_new) {
		record_clear(&kv->record);
		memset(&kv->record, 0, sizeof(kv->record));
		kv->record.kind = kind;
	}
	return CTL_OK;
}

ctl_status_t ctl_put_record(ctl_t *ctl, store_kv_t *kv)
{
	op_id_t *op = ctl_record_op(&kv->record);

	if (op != NULL)
		*op = ctl->op;
	return ctl_put(ctl, kv->key, kv->revision, &kv->record);
}

ctl_status_t ctl_add_rows(ctl_t *ctl, const char *prefix, JsonArray *rows)
{
	GArray *kvs = NULL;
	ctl_status_t status = ctl_list(ctl, prefix, &kvs);

	for (guint i = 0; i < kvs->len && status == CTL_OK; i++) {
		const store_kv_t *kv = &g_array_index(kvs, store_kv_t, i);

		if (kv->record.kind != RECORD_NONE &&
		    !record_is_removed(&kv->record))
			json_array_add_object_element(rows, ctl_describe(kv));
	}
	g_array_unref(kvs);
	return status;
}

ctl_status_t ctl_print_list(ctl_t *ctl, const char *prefix)
{
	JsonArray *rows = json_array_new();
	ctl_status_t status = ctl_add_rows(ctl, prefix, rows);

	if (status == CTL_OK)
		ctl_print_array(ctl, rows);
	else
		json_array_unref(rows);
	return status;
}

ctl_status_t ctl_print_named(ctl_t *ctl, record_kind_t kind, const char *name)
{
	store_kv_t kv;
	ctl_status_t status = ctl_get_named(ctl, kind, name, &kv);

	if (status == CTL_OK)
		ctl_print_object(ctl, ctl_describe(&kv));
	record_clear(&kv.record);
	return status;
}
