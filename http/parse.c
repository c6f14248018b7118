#include "http/parse.h"

#include <string.h>

#define HEAD_MAX_BYTES 65536 /* default of max_head */
/* http-parser accepts any number up to 999. */
#define STATUS_MIN 100
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_MAX 599
/* Makes http-parser stop; 1 and 2 have other meanings. */
#define HEAD_REFUSED (-1)
/*
 * Default of max_fields.  A field takes more than 100 bytes of memory however
 * short it is, and the time to handle a head grows with the square of their
 * number: 7,000 fields took 325 ms.  512 fields of ordinary size exceed the
 * bytes that a head may have.
 */
#define HEAD_MAX_FIELDS 512

/*
 * Bytes of framing for a byte of the body; the smallest chunk has five.  As
 * much as a head may have is allowed beside these.
 */
#define FRAMING_PER_BYTE 8

static http_parse_t *get_parse(http_parser *parser)
{
	return parser->data;
}

static int count_head_bytes(http_parse_t *parse, size_t len)
{
	parse->head_bytes += len;
	if (parse->head_bytes <= parse->max_head)
		return 0;
	parse->too_large = true;
	return 1;
}

/*
 * http-parser accepts a space in a name, and takes "Content-Length " for the
 * length, under which nobody else knows it.
 */
static bool is_field_name(const char *name)
{
	for (const char *p = name; *p != '\0'; p++)
		if (!g_ascii_isalnum(*p) &&
		    strchr("!#$%&'*+-.^_`|~", *p) == NULL)
			return false;
	return name[0] != '\0';
}

/* Returns non-zero if the name is not valid or the head has too many fields. */
static int end_field(http_parse_t *parse)
{
	if (!parse->in_value)
		return 0;
	if (!is_field_name(parse->name->str))
		return 1;
	http_head_add(parse->head, parse->name->str, parse->value->str);
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	parse->in_value = false;
	if (parse->head->fields->len <= parse->max_fields)
		return 0;
	parse->too_large = true;
	return 1;
}

static int on_begin(http_parser *parser)
{
	http_parse_t *parse = get_parse(parser);

	parse->state = HTTP_STATE_HEAD;
	if (parse->head == NULL)
		parse->head = http_head_new();
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	http_parse_t *parse = get_parse(parser);

	g_string_append_len(parse->uri, at, (gssize)len);
	return count_head_bytes(parse, len);
}

static int on_field_name(http_parser *parser, const char *at, size_t len)
{
	http_parse_t *parse = get_parse(parser);

	if (end_field(parse) != 0)
		return 1;
	g_string_append_len(parse->name, at, (gssize)len);
	return count_head_bytes(parse, len);
}

static int on_field_value(http_parser *parser, const char *at, size_t len)
{
	http_parse_t *parse = get_parse(parser);

	parse->in_value = true;
	g_string_append_len(parse->value, at, (gssize)len);
	return count_head_bytes(parse, len);
}

/* True for a response without a length, which ends with its connection. */
static bool needs_eof(const http_parser *parser)
{
	uint32_t status = parser->status_code;

	return parser->type == HTTP_RESPONSE && status >= 200 &&
	       status != 204 && status != 304 &&
	       (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
}

static int on_head(http_parser *parser)
{
	http_parse_t *parse = get_parse(parser);

	if (end_field(parse) != 0)
		return -1;
	parse->state = HTTP_STATE_BODY;
	if (parser->type == HTTP_REQUEST) {
		parse->head->method = g_strdup(
			http_method_str((enum http_method)parser->method));
		parse->head->uri = g_strdup(parse->uri->str);
	} else {
		/* No request offers another protocol. */
		if (parser->status_code < STATUS_MIN ||
		    parser->status_code > STATUS_MAX ||
		    parser->status_code == STATUS_SWITCHING_PROTOCOLS)
			return HEAD_REFUSED;
		parse->head->status = parser->status_code;
	}
	parse->until_eof = needs_eof(parser);
	/*
	 * A server may ignore the offer of another protocol.  http-parser would
	 * leave the body of such a request unread, and its bytes would be
	 * parsed as requests.
	 */
	parser->upgrade = 0;
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	http_parse_t *parse = get_parse(parser);

	g_byte_array_append(parse->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	http_parse_t *parse = get_parse(parser);

	parse->keep_alive = http_should_keep_alive(parser) != 0;
	parse->state = HTTP_STATE_COMPLETE;
	/* Leaves the bytes of a following message unread. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_parse_init(http_parse_t *parse, bool response)
{
	memset(parse, 0, sizeof(*parse));
	http_parser_init(&parse->parser,
			 response ? HTTP_RESPONSE : HTTP_REQUEST);
	parse->parser.data = parse;
	parse->uri = g_string_new(NULL);
	parse->name = g_string_new(NULL);
	parse->value = g_string_new(NULL);
	parse->body = g_byte_array_new();
	parse->max_head = HEAD_MAX_BYTES;
	parse->max_fields = HEAD_MAX_FIELDS;
}

void http_parse_finish(http_parse_t *parse)
{
	http_head_free(parse->head);
	g_string_free(parse->uri, TRUE);
	g_string_free(parse->name, TRUE);
	g_string_free(parse->value, TRUE);
	g_byte_array_unref(parse->body);
	memset(parse, 0, sizeof(*parse));
}

void http_parse_reset(http_parse_t *parse)
{
	enum http_parser_type type = (enum http_parser_type)parse->parser.type;

	g_clear_pointer(&parse->head, http_head_free);
	g_string_truncate(parse->uri, 0);
	g_string_truncate(parse->name, 0);
	g_string_truncate(parse->value, 0);
	/* An array that is only emptied keeps its memory. */
	if (parse->body->len > 0) {
		g_byte_array_unref(parse->body);
		parse->body = g_byte_array_new();
	}
	parse->in_value = false;
	parse->head_bytes = 0;
	parse->too_large = false;
	parse->body_bytes = 0;
	parse->framing = 0;
	parse->padded = false;
	parse->until_eof = false;
	parse->keep_alive = false;
	parse->state = HTTP_STATE_IDLE;
	http_parser_init(&parse->parser, type);
	parse->parser.data = parse;
}

/*
 * Extensions and lines of chunks hold nothing, but without a limit a sender
 * takes processor time with them for as long as a body may take.  What arrives
 * together with the end of the head is not counted.
 */
static void count_framing(http_parse_t *parse, size_t framing, size_t body)
{
	parse->body_bytes += body;
	parse->framing += framing;
	if (parse->framing <=
	    parse->max_head + FRAMING_PER_BYTE * parse->body_bytes)
		return;
	parse->padded = true;
	parse->state = HTTP_STATE_ERROR;
}

size_t http_parse_feed(http_parse_t *parse, const char *data, size_t len)
{
	bool in_body = parse->state == HTTP_STATE_BODY;
	guint before = parse->body->len;
	size_t used, received;

	if (parse->state == HTTP_STATE_COMPLETE ||
	    parse->state == HTTP_STATE_ERROR || len == 0)
		return 0;
	used = http_parser_execute(&parse->parser, &callbacks, data, len);
	if (parse->state == HTTP_STATE_COMPLETE)
		return used;
	if (HTTP_PARSER_ERRNO(&parse->parser) != HPE_OK)
		parse->state = HTTP_STATE_ERROR;
	received = parse->body->len - before;
	if (parse->state == HTTP_STATE_BODY)
		count_framing(parse, in_body ? used - received : 0, received);
	return used;
}

void http_parse_eof(http_parse_t *parse)
{
	if (parse->state == HTTP_STATE_COMPLETE ||
	    parse->state == HTTP_STATE_IDLE)
		return;
	if (parse->state != HTTP_STATE_ERROR)
		http_parser_execute(&parse->parser, &callbacks, NULL, 0);
	if (parse->state != HTTP_STATE_COMPLETE)
		parse->state = HTTP_STATE_ERROR;
}

GBytes *http_parse_take_body(http_parse_t *parse)
{
	GBytes *bytes;

	if (parse->body->len == 0)
		return NULL;
	bytes = g_byte_array_free_to_bytes(parse->body);
	parse->body = g_byte_array_new();
	return bytes;
}

http_head_t *http_parse_take_head(http_parse_t *parse)
{
	return g_steal_pointer(&parse->head);
}

bool http_parse_has_body(const http_parse_t *parse)
{
	return (parse->parser.flags & F_CHUNKED) != 0 ||
	       http_parse_content_length(parse) > 0;
}

bool http_parse_asks_tunnel(const http_parse_t *parse)
{
	return parse->parser.type == HTTP_REQUEST &&
	       parse->parser.method == HTTP_CONNECT;
}

size_t http_parse_memory(const http_parse_t *parse)
{
	return parse->body->len + parse->uri->len + parse->name->len +
	       parse->value->len + http_head_memory(parse->head);
}

int64_t http_parse_content_length(const http_parse_t *parse)
{
	uint64_t length;

	if (parse->head == NULL ||
	    !http_parse_uint(http_head_get(parse->head, "Content-Length"),
			     INT64_MAX, &length))
		return -1;
	return (int64_t)length;
}

static const char *reason_phrase(uint32_t status)
{
	switch (status) {
#define XX(code, name, text) \
	case code:           \
		return #text;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Unknown";
	}
}

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

void http_head_write(const http_head_t *head, GByteArray *out)
{
	char line[64];

	if (head->method != NULL) {
		append_text(out, head->method);
		append_text(out, " ");
		append_text(out, head->uri);
		append_text(out, " HTTP/1.1\r\n");
	} else {
		g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n",
			   head->status, reason_phrase(head->status));
		append_text(out, line);
	}
	for (guint i = 0; i < head->fields->len; i++) {
		const http_field_t *field =
			&g_array_index(head->fields, http_field_t, i);

		append_text(out, field->name);
		append_text(out, ": ");
		append_text(out, field->value);
		append_text(out, "\r\n");
	}
	append_text(out, "\r\n");
}
