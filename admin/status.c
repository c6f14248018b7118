/*
 * The state of the fleet as JSON, which the admin service returns at /status.
 */
#include "admin/admin.h"

#include <json-glib/json-glib.h>

static const char *member_state_name(member_state_t state)
{
	switch (state) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		return "dead";
	case MEMBER_LEFT:
		return "left";
	}
	return "unknown";
}

static void add_string(JsonBuilder *builder, const char *name, const char *text)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void add_bool(JsonBuilder *builder, const char *name, bool value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, value);
}

static void add_members(JsonBuilder *builder, const member_list_t *list)
{
	json_builder_set_member_name(builder, "members");
	json_builder_begin_array(builder);
	for (guint i = 0; list != NULL && i < list->members->len; i++) {
		const member_info_t *member =
			&g_array_index(list->members, member_info_t, i);

		json_builder_begin_object(builder);
		add_string(builder, "name", member->name);
		add_string(builder, "incarnation", member->incarnation);
		add_string(builder, "state", member_state_name(member->state));
		add_string(builder, "availability_zone",
			   member->availability_zone);
		add_string(builder, "host", member->host);
		add_int(builder, "peer_port", member->peer_port);
		add_int(builder, "admin_port", member->admin_port);
		add_string(builder, "buddy", member->buddy);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void add_targets(JsonBuilder *builder, const conf_snapshot_t *conf)
{
	json_builder_set_member_name(builder, "targets");
	json_builder_begin_array(builder);
	for (guint i = 0; conf != NULL && i < conf->targets->len; i++) {
		const record_target_t *target =
			&g_array_index(conf->targets, record_target_t, i);

		json_builder_begin_object(builder);
		add_string(builder, "name", target->name);
		add_string(builder, "service", target->service);
		add_string(builder, "host", target->host);
		add_int(builder, "port", target->port);
		add_string(builder, "availability_zone",
			   target->availability_zone);
		add_int(builder, "concurrency", target->concurrency);
		add_bool(builder, "draining", target->draining);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void add_refusals(JsonBuilder *builder, const metrics_t *metrics)
{
	json_builder_set_member_name(builder, "refusals");
	json_builder_begin_object(builder);
	for (int i = REFUSAL_NONE + 1; i < REFUSAL_COUNT; i++)
		add_int(builder, refusal_name((refusal_t)i),
			(int64_t)metrics->refusals[i]);
	json_builder_end_object(builder);
}

gchar *admin_status(const admin_t *admin)
{
	const metrics_t *metrics = admin->kernel->metrics;
	JsonBuilder *builder = json_builder_new_immutable();
	JsonNode *root;
	gchar *text;

	json_builder_begin_object(builder);
	add_string(builder, "incarnation", admin->opts.incarnation);
	add_bool(builder, "stopping", admin->stopping);
	add_bool(builder, "protected", metrics->gauges[GAUGE_PROTECTED] != 0);
	add_int(builder, "conf_revision",
		admin->conf != NULL ? admin->conf->revision : 0);
	add_string(builder, "preset",
		   admin->conf != NULL ? preset_name(admin->conf->preset) : "");
	add_members(builder, admin->members);
	add_targets(builder, admin->conf);
	add_refusals(builder, metrics);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return text;
}
