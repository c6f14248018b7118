/*
 * Commands on presets: put one in force, and show the parameters of each.
 */
#include "ctl/command.h"
#include "ctl/records.h"
#include "route/policy.h"

#define PRESET_KEY "conf/preset"

static ctl_status_t set(ctl_t *ctl, const args_t *args)
{
	store_kv_t kv;
	record_t record = {.kind = RECORD_PRESET};
	ctl_status_t status;

	if (!preset_parse(args->names[0], &record.u.preset.in_force)) {
		errmsg_set(&ctl->err,
			   "%.40s is not a preset, expected "
			   "ordinary, peak or maintenance",
			   args->names[0]);
		return CTL_USAGE;
	}
	record.u.preset.op = ctl->op;
	status = ctl_get(ctl, PRESET_KEY, &kv);
	if (status == CTL_OK)
		status = ctl_put(ctl, PRESET_KEY, kv.revision, &record);
	if (status == CTL_OK)
		ctl_print_message(ctl, "preset %s is in force", args->names[0]);
	record_clear(&kv.record);
	return status;
}

/* Returns a row for each parameter with a column for each preset. */
static JsonArray *describe_presets(void)
{
	JsonArray *rows = json_array_new();
	policy_row_t parameter;

	for (uint32_t i = 0; policy_row(PRESET_ORDINARY, i, &parameter); i++) {
		JsonObject *row = json_object_new();

		json_object_set_string_member(row, "parameter", parameter.name);
		for (int p = 0; p < PRESET_COUNT; p++) {
			policy_row((preset_t)p, i, &parameter);
			json_object_set_int_member(
				row, preset_name((preset_t)p), parameter.value);
		}
		json_object_set_string_member(row, "unit", parameter.unit);
		json_object_set_string_member(row, "meaning", parameter.help);
		json_array_add_object_element(rows, row);
	}
	return rows;
}

static void print_presets(ctl_t *ctl, preset_t in_force)
{
	JsonArray *rows = describe_presets();
	JsonObject *object = json_object_new();
	JsonNode *node =
		json_node_new(ctl->json ? JSON_NODE_OBJECT : JSON_NODE_ARRAY);

	if (ctl->json) {
		json_object_set_string_member(object, "in_force",
					      preset_name(in_force));
		json_object_set_array_member(object, "parameters", rows);
		json_node_set_object(node, object);
	} else {
		ctl_print_message(ctl, "preset %s is in force",
				  preset_name(in_force));
		json_node_take_array(node, rows);
	}
	json_object_unref(object);
	ctl_print(ctl, node);
}

static ctl_status_t show(ctl_t *ctl)
{
	store_kv_t kv;
	ctl_status_t status = ctl_get(ctl, PRESET_KEY, &kv);

	if (status == CTL_OK)
		print_presets(ctl, kv.record.kind == RECORD_PRESET
					   ? kv.record.u.preset.in_force
					   : PRESET_ORDINARY);
	record_clear(&kv.record);
	return status;
}

ctl_status_t preset_run(ctl_t *ctl, const args_t *args)
{
	if (args->command == COMMAND_PRESET_SET)
		return set(ctl, args);
	return show(ctl);
}
