#include "dispatch/body.h"

#include "kernel/json_depth.h"

#include <json-glib/json-glib.h>
#include <string.h>

/*
 * Lowers an integer member to max and removes a member of another type.
 * Returns true if the object has the member afterwards.
 */
static bool limit_member(JsonObject *object, const char *name, int64_t max)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node == NULL)
		return false;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64) {
		json_object_remove_member(object, name);
		return false;
	}
	if (json_node_get_int(node) > max)
		json_object_set_int_member(object, name, max);
	return true;
}

static void request_usage(JsonObject *object)
{
	JsonNode *node = json_object_get_member(object, "stream_options");
	JsonObject *options;

	if (node != NULL && JSON_NODE_HOLDS_OBJECT(node)) {
		json_object_set_boolean_member(json_node_get_object(node),
					       "include_usage", TRUE);
		return;
	}
	options = json_object_new();
	json_object_set_boolean_member(options, "include_usage", TRUE);
	json_object_set_object_member(object, "stream_options", options);
}

static void rewrite_object(JsonObject *object, uint32_t max_tokens)
{
	JsonNode *stream = json_object_get_member(object, "stream");
	bool limited;

	limited = limit_member(object, "max_tokens", max_tokens);
	limited |= limit_member(object, "max_completion_tokens", max_tokens);
	if (!limited)
		json_object_set_int_member(object, "max_tokens", max_tokens);
	if (stream != NULL && JSON_NODE_HOLDS_VALUE(stream) &&
	    json_node_get_value_type(stream) == G_TYPE_BOOLEAN &&
	    json_node_get_boolean(stream))
		request_usage(object);
}

/*
 * The parsed body is serialized again, so that the target reads the same values
 * as the router did, whatever duplicate members or escape sequences the
 * caller's text has.
 */
GBytes *body_rewrite(GBytes *body, uint32_t max_tokens)
{
	JsonParser *parser = NULL;
	GBytes *result = NULL;
	gsize len = 0, out_len;
	const char *text = NULL;
	JsonNode *root;
	char *out;

	if (body != NULL)
		text = g_bytes_get_data(body, &len);
	if (len == 0 || !json_depth_ok(text, len, JSON_DEPTH_MAX))
		goto out;
	parser = json_parser_new();
	if (!json_parser_load_from_data(parser, text, (gssize)len, NULL))
		goto out;
	root = json_parser_get_root(parser);
	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root))
		goto out;
	rewrite_object(json_node_get_object(root), max_tokens);
	out = json_to_string(root, FALSE);
	out_len = strlen(out);
	result = g_bytes_new_take(out, out_len);
out:
	g_clear_object(&parser);
	return result;
}
