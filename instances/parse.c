/* Parses the platform's list of instances, which is JSON. */
#include "instances/instances.h"

#include "kernel/json_depth.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Bounds the recursion of the parser; a valid list has 3 levels. */
#define DEPTH_MAX 8

static JsonNode *get_typed_member(JsonObject *object, const char *name,
				  GType type)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != type)
		return NULL;
	return node;
}

static bool parse_instance(JsonNode *node, instance_info_t *info, errmsg_t *err)
{
	JsonNode *host, *port, *state;
	const char *text;
	gint64 number;

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		errmsg_set(err, "instance is not a JSON object");
		return false;
	}
	host = get_typed_member(json_node_get_object(node), "host",
				G_TYPE_STRING);
	port = get_typed_member(json_node_get_object(node), "port",
				G_TYPE_INT64);
	state = get_typed_member(json_node_get_object(node), "state",
				 G_TYPE_STRING);
	if (host == NULL || port == NULL || state == NULL) {
		errmsg_set(err, "instance has no valid host, port or state");
		return false;
	}
	text = json_node_get_string(host);
	if (strlen(text) >= HOST_SIZE || !g_hostname_is_ip_address(text)) {
		errmsg_set(err, "host of an instance is not an IP address");
		return false;
	}
	g_strlcpy(info->host, text, sizeof(info->host));
	number = json_node_get_int(port);
	if (number < 1 || number > UINT16_MAX) {
		errmsg_set(err, "port of an instance is out of range");
		return false;
	}
	info->port = (uint16_t)number;
	text = json_node_get_string(state);
	info->leaving = strcmp(text, "leaving") == 0;
	if (!info->leaving && strcmp(text, "live") != 0) {
		errmsg_set(err,
			   "state of an instance is neither live nor leaving");
		return false;
	}
	return true;
}

static bool parse_root(JsonNode *root, instance_list_t *list, errmsg_t *err)
{
	JsonNode *revision, *node;
	JsonArray *array;
	guint count;

	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		errmsg_set(err, "list is not a JSON object");
		return false;
	}
	revision = get_typed_member(json_node_get_object(root), "revision",
				    G_TYPE_INT64);
	node = json_object_get_member(json_node_get_object(root), "instances");
	if (revision == NULL || json_node_get_int(revision) < 0 ||
	    node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
		errmsg_set(err, "list has no valid revision or instances");
		return false;
	}
	list->revision = json_node_get_int(revision);
	array = json_node_get_array(node);
	count = json_array_get_length(array);
	if (count > INSTANCES_MAX) {
		errmsg_set(err, "list has more than %d instances",
			   INSTANCES_MAX);
		return false;
	}
	for (guint i = 0; i < count; i++) {
		instance_info_t info = {0};

		if (!parse_instance(json_array_get_element(array, i), &info,
				    err))
			return false;
		g_array_append_val(list->instances, info);
	}
	return true;
}

instance_list_t *instances_parse(const char *text, size_t len, errmsg_t *err)
{
	instance_list_t *list = NULL;
	JsonParser *parser;

	if (len == 0 || !g_utf8_validate(text, (gssize)len, NULL) ||
	    !json_depth_ok(text, len, DEPTH_MAX)) {
		errmsg_set(err,
			   "response is empty, not UTF-8 or nested too deeply");
		return NULL;
	}
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, text, (gssize)len, NULL)) {
		errmsg_set(err, "response is not valid JSON");
		goto out;
	}
	list = instance_list_new();
	if (!parse_root(json_parser_get_root(parser), list, err)) {
		instance_list_unref(list);
		list = NULL;
	}
out:
	g_object_unref(parser);
	return list;
}
