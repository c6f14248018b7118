#include "ctl/command.h"
#include "ctl/records.h"

#include <string.h>

static bool is_alive(const GArray *alive, const char *incarnation)
{
	for (guint i = 0; i < alive->len; i++) {
		const store_kv_t *kv = &g_array_index(alive, store_kv_t, i);

		if (kv->record.kind == RECORD_ALIVE &&
		    strcmp(kv->record.u.alive.incarnation, incarnation) == 0)
			return true;
	}
	return false;
}

/* Adds the records below a prefix as an array member of the object. */
static ctl_status_t add_section(ctl_t *ctl, JsonObject *object,
				const char *name, const char *prefix)
{
	JsonArray *rows = json_array_new();
	ctl_status_t status = ctl_add_rows(ctl, prefix, rows);

	json_object_set_array_member(object, name, rows);
	return status;
}

static ctl_status_t add_members(ctl_t *ctl, JsonObject *object)
{
	JsonArray *rows = json_array_new();
	GArray *members = NULL;
	GArray *alive = NULL;
	ctl_status_t status = ctl_list(ctl, "member/", &members);

	if (status == CTL_OK)
		status = ctl_list(ctl, "alive/", &alive);
	for (guint i = 0; i < members->len && status == CTL_OK; i++) {
		const store_kv_t *kv = &g_array_index(members, store_kv_t, i);
		JsonObject *row;

		if (kv->record.kind != RECORD_MEMBER)
			continue;
		row = ctl_describe(kv);
		json_object_set_string_member(
			row, "state",
			is_alive(alive, kv->record.u.member.incarnation)
				? "alive"
				: "dead");
		json_array_add_object_element(rows, row);
	}
	json_object_set_array_member(object, "members", rows);
	g_array_unref(members);
	if (alive != NULL)
		g_array_unref(alive);
	return status;
}

static void print_sections(ctl_t *ctl, JsonObject *object)
{
	g_autoptr(GList) names = json_object_get_members(object);

	for (GList *l = names; l != NULL; l = l->next) {
		g_string_append_printf(ctl->out, "%s%s:\n",
				       l == names ? "" : "\n", (char *)l->data);
		ctl_print(ctl, json_node_copy(json_object_get_member(object,
								     l->data)));
	}
}

ctl_status_t status_run(ctl_t *ctl, const args_t *args)
{
	JsonObject *object = json_object_new();
	ctl_status_t status = add_members(ctl, object);

	(void)args;
	if (status == CTL_OK)
		status = add_section(ctl, object, "targets", "conf/target/");
	if (status == CTL_OK)
		status = add_section(ctl, object, "budgets", "budget/");
	if (status == CTL_OK)
		status = add_section(ctl, object, "preset", "conf/preset");
	if (status == CTL_OK && !ctl->json) {
		print_sections(ctl, object);
	} else if (status == CTL_OK) {
		ctl_print_object(ctl, json_object_ref(object));
	}
	json_object_unref(object);
	return status;
}
