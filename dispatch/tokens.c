#define _GNU_SOURCE /* memmem */

#include "dispatch/tokens.h"

#include "kernel/json_depth.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Keys whose values are generated text. */
static const char *const content_keys[] = {
	"\"content\"",
	"\"text\"",
	"\"reasoning_content\"",
	"\"arguments\"",
};

void tokens_init(tokens_t *tokens, bool sse)
{
	memset(tokens, 0, sizeof(*tokens));
	tokens->sse = sse;
	tokens->buffered = g_byte_array_new();
}

void tokens_finish(tokens_t *tokens)
{
	g_clear_pointer(&tokens->buffered, g_byte_array_unref);
}

static const char *skip_space(const char *p, const char *end)
{
	while (p < end && g_ascii_isspace(*p))
		p++;
	return p;
}

/*
 * Returns the value after the next occurrence of a quoted key, or NULL.  Quotes
 * within a JSON string are escaped, so its text can't be mistaken for a key.
 */
static const char *find_value(const char *p, const char *end, const char *key)
{
	size_t len = strlen(key);

	while (p < end &&
	       (p = memmem(p, (size_t)(end - p), key, len)) != NULL) {
		p = skip_space(p + len, end);
		if (p < end && *p == ':')
			return skip_space(p + 1, end);
	}
	return NULL;
}

static bool has_content(const char *text, size_t len)
{
	const char *end = text + len;

	for (size_t i = 0; i < G_N_ELEMENTS(content_keys); i++) {
		const char *p = text;

		while ((p = find_value(p, end, content_keys[i])) != NULL)
			if (end - p >= 2 && p[0] == '"' && p[1] != '"')
				return true;
	}
	return false;
}

static bool parse_count(JsonObject *usage, const char *name, int64_t *out)
{
	JsonNode *node = json_object_get_member(usage, name);
	int64_t value;

	if (node == NULL || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	value = json_node_get_int(node);
	if (value < 0 || value > TOKENS_USAGE_MAX)
		return false;
	*out = value;
	return true;
}

/* An object within a JSON text, with its brackets. */
typedef struct span_t {
	const char *begin; /* NULL: no object */
	const char *end;
} span_t;

/* Returns the position after the string whose opening quote is at p. */
static const char *skip_string(const char *p, const char *end)
{
	for (p++; p < end && *p != '"'; p++)
		if (*p == '\\')
			p++;
	return MIN(p + 1, end);
}

static bool is_key(const char *begin, const char *end, const char *text_end,
		   const char *key)
{
	size_t len = strlen(key);
	const char *colon = skip_space(end, text_end);

	return (size_t)(end - begin) == len && memcmp(begin, key, len) == 0 &&
	       colon < text_end && *colon == ':';
}

/*
 * Returns the object that is the value of the last member with the quoted key
 * in a complete JSON object, without parsing the rest, which may be a long
 * text.  Finds nothing in a truncated text.
 */
static span_t find_object(const char *text, const char *end, const char *key)
{
	span_t found = {NULL, NULL};
	const char *value = NULL;
	const char *p = skip_space(text, end);
	int depth = 0;

	if (p == end || *p != '{')
		return found;
	do {
		const char *next = *p == '"' ? skip_string(p, end) : p + 1;

		if (*p == '"' && depth == 1 && is_key(p, next, end, key)) {
			next = skip_space(skip_space(next, end) + 1, end);
			value = next < end && *next == '{' ? next : NULL;
			found.begin = NULL;
		}
		if (*p == '{' || *p == '[') {
			depth++;
		} else if (*p == '}' || *p == ']') {
			depth--;
			if (depth == 1 && value != NULL) {
				found = (span_t){value, p + 1};
				value = NULL;
			}
		}
		p = next;
	} while (p < end && depth > 0);
	if (depth != 0 || skip_space(p, end) != end)
		found.begin = NULL;
	return found;
}

static void parse_usage(tokens_t *tokens, const char *text, size_t len)
{
	int64_t prompt, completion;
	JsonParser *parser;
	JsonObject *usage;
	span_t span;

	if (find_value(text, text + len, "\"usage\"") == NULL ||
	    !json_depth_ok(text, len, JSON_DEPTH_MAX))
		return;
	span = find_object(text, text + len, "\"usage\"");
	if (span.begin == NULL)
		return;
	parser = json_parser_new_immutable();
	if (!json_parser_load_from_data(parser, span.begin,
					span.end - span.begin, NULL))
		goto out;
	usage = json_node_get_object(json_parser_get_root(parser));
	if (!parse_count(usage, "prompt_tokens", &prompt) ||
	    !parse_count(usage, "completion_tokens", &completion))
		goto out;
	tokens->usage_known = true;
	tokens->prompt_tokens = prompt;
	tokens->completion_tokens = completion;
out:
	g_object_unref(parser);
}

static int64_t parse_line(tokens_t *tokens, const char *line, size_t len)
{
	const char *end = line + len;
	const char *data;

	if (len > 0 && end[-1] == '\r')
		end--;
	if (end - line < 5 || memcmp(line, "data:", 5) != 0)
		return 0;
	data = line + 5;
	if (data < end && *data == ' ')
		data++;
	if (end - data == 6 && memcmp(data, "[DONE]", 6) == 0) {
		tokens->done = true;
		return 0;
	}
	parse_usage(tokens, data, (size_t)(end - data));
	return has_content(data, (size_t)(end - data)) ? 1 : 0;
}

static int64_t finish_line(tokens_t *tokens, const char *data, size_t len)
{
	int64_t count;

	if (tokens->too_long ||
	    tokens->buffered->len + len > TOKENS_LINE_BYTES_MAX) {
		/* A line that is too long counts as a record with content. */
		count = 1;
	} else if (tokens->buffered->len > 0) {
		g_byte_array_append(tokens->buffered, (const guint8 *)data,
				    (guint)len);
		count = parse_line(tokens, (const char *)tokens->buffered->data,
				   tokens->buffered->len);
	} else {
		count = parse_line(tokens, data, len);
	}
	tokens->too_long = false;
	g_byte_array_set_size(tokens->buffered, 0);
	return count;
}

static void buffer_bytes(tokens_t *tokens, const char *data, size_t len,
			 size_t max)
{
	if (!tokens->too_long && tokens->buffered->len + len > max) {
		tokens->too_long = true;
		g_byte_array_set_size(tokens->buffered, 0);
	}
	if (!tokens->too_long && len > 0)
		g_byte_array_append(tokens->buffered, (const guint8 *)data,
				    (guint)len);
}

int64_t tokens_feed(tokens_t *tokens, const char *data, size_t len)
{
	int64_t count = 0;
	const char *end = data + len;
	const char *newline;

	if (!tokens->sse) {
		buffer_bytes(tokens, data, len, TOKENS_BODY_BYTES_MAX);
		return 0;
	}
	while (data < end &&
	       (newline = memchr(data, '\n', (size_t)(end - data))) != NULL) {
		count += finish_line(tokens, data, (size_t)(newline - data));
		data = newline + 1;
	}
	buffer_bytes(tokens, data, (size_t)(end - data), TOKENS_LINE_BYTES_MAX);
	tokens->content_records += count;
	return count;
}

void tokens_end(tokens_t *tokens)
{
	if (!tokens->sse && !tokens->too_long && tokens->buffered->len > 0)
		parse_usage(tokens, (const char *)tokens->buffered->data,
			    tokens->buffered->len);
}
