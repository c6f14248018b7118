#include "front/parse.h"

#include "kernel/json_depth.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define FNV_OFFSET UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)

typedef struct prefix_t {
	uint64_t hash;
	size_t remaining; /* bytes still to be hashed */
} prefix_t;

static void prefix_add(prefix_t *prefix, const char *text)
{
	for (; prefix->remaining > 0 && *text != '\0';
	     prefix->remaining--, text++)
		prefix->hash =
			(prefix->hash ^ (unsigned char)*text) * FNV_PRIME;
}

parse_status_t parse_bearer(const char *header, char out[HASH_SIZE])
{
	const char *key;
	char *hash;
	size_t len;

	out[0] = '\0';
	if (header == NULL || g_ascii_strncasecmp(header, "Bearer ", 7) != 0)
		return PARSE_INVALID;
	key = header + 7;
	while (*key == ' ')
		key++;
	len = strlen(key);
	if (len == 0 || len > API_KEY_BYTES_MAX)
		return PARSE_INVALID;
	hash = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
					   (const guchar *)key, len);
	g_strlcpy(out, hash, HASH_SIZE);
	g_free(hash);
	return PARSE_OK;
}

parse_status_t parse_idem_key(const char *header, char out[IDEM_KEY_SIZE])
{
	size_t len = strlen(header);

	out[0] = '\0';
	if (len == 0 || len >= IDEM_KEY_SIZE)
		return PARSE_INVALID;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isprint(header[i]))
			return PARSE_INVALID;
	g_strlcpy(out, header, IDEM_KEY_SIZE);
	return PARSE_OK;
}

parse_status_t parse_deadline(const char *header, uint32_t *deadline_ms)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(header, 10, 1, DEADLINE_MS_MAX, &value,
					NULL))
		return PARSE_INVALID;
	*deadline_ms = (uint32_t)value;
	return PARSE_OK;
}

/* Returns the length of "." or its percent-encoding at s, or 0. */
static size_t dot_length(const char *s)
{
	if (s[0] == '.')
		return 1;
	if (s[0] == '%' && s[1] == '2' && (s[2] == 'e' || s[2] == 'E'))
		return 3;
	return 0;
}

static bool is_dot_segment(const char *segment)
{
	size_t len = dot_length(segment);

	if (len == 0)
		return false;
	segment += len;
	segment += dot_length(segment);
	return *segment == '\0' || *segment == '/' || *segment == '?';
}

parse_status_t parse_path(const char *path)
{
	if (path[0] != '/' || strlen(path) >= PATH_SIZE)
		return PARSE_INVALID;
	for (const char *p = path; *p != '\0' && *p != '?'; p++) {
		if (!g_ascii_isgraph(*p))
			return PARSE_INVALID;
		if (*p == '/' && is_dot_segment(p + 1))
			return PARSE_INVALID;
	}
	return PARSE_OK;
}

/* Raises *out to the value of an optional integer from 1 to max. */
static bool read_positive_int(JsonObject *object, const char *name, int64_t max,
			      int64_t *out, errmsg_t *err)
{
	JsonNode *node = json_object_get_member(object, name);
	int64_t value;

	if (node == NULL || JSON_NODE_HOLDS_NULL(node))
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		goto bad;
	value = json_node_get_int(node);
	if (value < 1 || value > max)
		goto bad;
	*out = MAX(*out, value);
	return true;
bad:
	errmsg_set(err, "%s must be an integer from 1 to %" G_GINT64_FORMAT,
		   name, max);
	return false;
}

static bool is_string(JsonNode *node)
{
	return node != NULL && JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_STRING;
}

/*
 * Accepts text parts only.  The size of a request does not bound the tokens of
 * an image, so its worst case could not be reserved.
 */
static bool add_content_part(JsonNode *part, prefix_t *prefix)
{
	JsonObject *object;
	JsonNode *text;

	if (!JSON_NODE_HOLDS_OBJECT(part))
		return false;
	object = json_node_get_object(part);
	text = json_object_get_member(object, "text");
	if (!is_string(text) ||
	    !is_string(json_object_get_member(object, "type")) ||
	    strcmp(json_object_get_string_member(object, "type"), "text") != 0)
		return false;
	prefix_add(prefix, json_node_get_string(text));
	return true;
}

static bool add_content(JsonNode *content, prefix_t *prefix)
{
	JsonArray *parts;

	/* A message that only calls tools needs no content. */
	if (content == NULL || JSON_NODE_HOLDS_NULL(content))
		return true;
	if (is_string(content)) {
		prefix_add(prefix, json_node_get_string(content));
		return true;
	}
	if (!JSON_NODE_HOLDS_ARRAY(content))
		return false;
	parts = json_node_get_array(content);
	for (guint i = 0; i < json_array_get_length(parts); i++)
		if (!add_content_part(json_array_get_element(parts, i), prefix))
			return false;
	return true;
}

static bool read_messages(JsonNode *node, prefix_t *prefix)
{
	JsonArray *messages;
	JsonObject *message;
	JsonNode *element, *role;

	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	messages = json_node_get_array(node);
	if (json_array_get_length(messages) == 0)
		return false;
	for (guint i = 0; i < json_array_get_length(messages); i++) {
		element = json_array_get_element(messages, i);
		if (!JSON_NODE_HOLDS_OBJECT(element))
			return false;
		message = json_node_get_object(element);
		role = json_object_get_member(message, "role");
		if (!is_string(role))
			return false;
		prefix_add(prefix, json_node_get_string(role));
		if (!add_content(json_object_get_member(message, "content"),
				 prefix))
			return false;
	}
	return true;
}

/*
 * Accepts a single prompt: a string, an array with one string, or an array of
 * token ids.  Each further prompt would generate another max_tokens.
 */
static bool read_prompt(JsonNode *node, prefix_t *prefix)
{
	JsonArray *array;
	JsonNode *element;

	if (is_string(node)) {
		prefix_add(prefix, json_node_get_string(node));
		return true;
	}
	if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	if (json_array_get_length(array) == 1 &&
	    is_string(json_array_get_element(array, 0))) {
		prefix_add(prefix, json_array_get_string_element(array, 0));
		return true;
	}
	for (guint i = 0; i < json_array_get_length(array); i++) {
		char id[32];

		element = json_array_get_element(array, i);
		if (!JSON_NODE_HOLDS_VALUE(element) ||
		    json_node_get_value_type(element) != G_TYPE_INT64)
			return false;
		g_snprintf(id, sizeof(id), "%" G_GINT64_FORMAT ",",
			   json_node_get_int(element));
		prefix_add(prefix, id);
	}
	return json_array_get_length(array) > 0;
}

static bool read_fields(JsonObject *object, request_spec_t *spec, errmsg_t *err)
{
	JsonNode *model = json_object_get_member(object, "model");
	JsonNode *stream = json_object_get_member(object, "stream");
	int64_t tokens = 0, choices = 1;

	if (!is_string(model) || !name_is_valid(json_node_get_string(model))) {
		errmsg_set(err, "model must be the name of a service");
		return false;
	}
	g_strlcpy(spec->service, json_node_get_string(model),
		  sizeof(spec->service));
	if (stream != NULL && !JSON_NODE_HOLDS_NULL(stream)) {
		if (!JSON_NODE_HOLDS_VALUE(stream) ||
		    json_node_get_value_type(stream) != G_TYPE_BOOLEAN) {
			errmsg_set(err, "stream must be true or false");
			return false;
		}
		spec->stream = json_node_get_boolean(stream);
	}
	/* Each further choice would generate another max_tokens. */
	if (!read_positive_int(object, "n", 1, &choices, err) ||
	    !read_positive_int(object, "best_of", 1, &choices, err) ||
	    !read_positive_int(object, "max_tokens", MAX_TOKENS_MAX, &tokens,
			       err) ||
	    !read_positive_int(object, "max_completion_tokens", MAX_TOKENS_MAX,
			       &tokens, err))
		return false;
	spec->max_tokens = (uint32_t)tokens;
	return true;
}

static bool read_body(JsonObject *object, request_spec_t *spec, errmsg_t *err)
{
	prefix_t prefix = {FNV_OFFSET, PROMPT_PREFIX_BYTES};
	bool ok;

	if (!read_fields(object, spec, err))
		return false;
	if (strstr(spec->path, "/chat/") != NULL) {
		ok = read_messages(json_object_get_member(object, "messages"),
				   &prefix);
		if (!ok)
			errmsg_set(err, "messages must be a list of messages "
					"with a role and text content");
	} else {
		ok = read_prompt(json_object_get_member(object, "prompt"),
				 &prefix);
		if (!ok)
			errmsg_set(err, "prompt must be one text or one list "
					"of token ids");
	}
	if (prefix.remaining < PROMPT_PREFIX_BYTES)
		spec->prefix_hash = prefix.hash;
	return ok;
}

parse_status_t parse_model_request(request_spec_t *spec, errmsg_t *err)
{
	parse_status_t status = PARSE_INVALID;
	JsonParser *parser = NULL;
	const char *text = NULL;
	JsonNode *root;
	gsize len = 0;

	if (spec->body != NULL)
		text = g_bytes_get_data(spec->body, &len);
	if (text == NULL || len == 0) {
		errmsg_set(err, "the body is empty");
		goto out;
	}
	if (!json_extent_ok(text, len, JSON_DEPTH_MAX, JSON_VALUES_MAX)) {
		errmsg_set(err, "the body is nested too deeply, has too many "
				"values or is not JSON");
		goto out;
	}
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, text, (gssize)len, NULL)) {
		errmsg_set(err, "the body is not valid JSON");
		goto out;
	}
	root = json_parser_get_root(parser);
	if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
		errmsg_set(err, "the body must be a JSON object");
		goto out;
	}
	if (!read_body(json_node_get_object(root), spec, err))
		goto out;
	spec->prompt_bytes = (int64_t)len;
	status = PARSE_OK;
out:
	g_clear_object(&parser);
	return status;
}

void fingerprint_request(request_spec_t *spec)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	const guchar *body = NULL;
	gsize len = 0;

	g_checksum_update(sum, (const guchar *)spec->method, -1);
	g_checksum_update(sum, (const guchar *)"\n", 1);
	g_checksum_update(sum, (const guchar *)spec->path, -1);
	g_checksum_update(sum, (const guchar *)"\n", 1);
	if (spec->body != NULL)
		body = g_bytes_get_data(spec->body, &len);
	if (len > 0)
		g_checksum_update(sum, body, (gssize)len);
	g_strlcpy(spec->fingerprint, g_checksum_get_string(sum),
		  sizeof(spec->fingerprint));
	g_checksum_free(sum);
}
