/*
 * Fuzz target for the parsers of requests and responses and what is made of a
 * request for a target.  Checks that the result does not depend on the cuts
 * between reads, that a message ends where a plain reading of its bytes ends
 * it, and that a target gets what one parse of the client's bytes gives.
 *
 * The first byte of an input selects requests ('q') or responses, the second
 * one the cuts.
 */
#include "http/parse.h"
#include "kernel/exchange.h"
#include "platform/wire.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MESSAGES_MAX 8 /* parsed from one input */
#define PIECE_MAX 24 /* bytes fed at a time, with cuts */
#define LENGTH_DIGITS_MAX 9

/* What a connection reads until its input, or the connection, ends. */
typedef struct reading_t {
	GPtrArray *messages; /* message_t */
	http_state_t state; /* of the parser at the end */
} reading_t;

typedef struct message_t {
	http_head_t *head;
	GByteArray *body;
	size_t end; /* offset in the input */
	bool tunnel;
} message_t;

typedef enum frame_kind_t {
	FRAME_AMBIGUOUS, /* left to the parser, which may reject it */
	FRAME_INCOMPLETE,
	FRAME_WHOLE,
} frame_kind_t;

/* A message as a plain reading of its bytes finds it. */
typedef struct frame_t {
	frame_kind_t kind;
	size_t len;
	GByteArray *body; /* if it is whole */
} frame_t;

/* Where the length of a body is stated. */
typedef struct framing_t {
	guint lengths; /* Content-Length fields */
	guint encodings; /* Transfer-Encoding fields */
	size_t length;
	bool chunked;
	bool ambiguous;
} framing_t;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void fail(const char *what)
{
	fprintf(stderr, "http_fuzz: %s\n", what);
	abort();
}

static void check(bool ok, const char *what)
{
	if (!ok)
		fail(what);
}

static void message_free(gpointer data)
{
	message_t *message = data;

	http_head_free(message->head);
	g_byte_array_unref(message->body);
	g_free(message);
}

static void take_body(http_parse_t *parse, GByteArray *body)
{
	GBytes *bytes = http_parse_take_body(parse);
	gsize size;
	const guint8 *data;

	if (bytes == NULL)
		return;
	data = g_bytes_get_data(bytes, &size);
	g_byte_array_append(body, data, (guint)size);
	g_bytes_unref(bytes);
}

/* A stride of 0 feeds all bytes at once. */
static size_t next_piece(uint32_t *cuts, size_t left)
{
	if (*cuts == 0)
		return left;
	*cuts = *cuts * 1664525 + 1013904223;
	return MIN(left, 1 + (*cuts >> 16) % PIECE_MAX);
}

/* Reads as a connection does: one message after the other. */
static void read_all(reading_t *reading, const char *data, size_t len,
		     bool response, uint32_t cuts)
{
	http_parse_t parse;
	GByteArray *body = g_byte_array_new();
	size_t at = 0;

	reading->messages = g_ptr_array_new_with_free_func(message_free);
	http_parse_init(&parse, response);
	while (at < len && reading->messages->len < MESSAGES_MAX) {
		size_t piece = next_piece(&cuts, len - at);
		message_t *message;

		at += http_parse_feed(&parse, data + at, piece);
		take_body(&parse, body);
		if (parse.state == HTTP_STATE_ERROR)
			break;
		if (parse.state != HTTP_STATE_COMPLETE)
			continue;
		message = g_new0(message_t, 1);
		message->tunnel = http_parse_asks_tunnel(&parse);
		message->head = http_parse_take_head(&parse);
		message->body = body;
		message->end = at;
		body = g_byte_array_new();
		g_ptr_array_add(reading->messages, message);
		if (message->tunnel || !parse.keep_alive)
			break;
		http_parse_reset(&parse);
	}
	reading->state = parse.state;
	g_byte_array_unref(body);
	http_parse_finish(&parse);
}

static void check_same_head(const http_head_t *a, const http_head_t *b)
{
	check(g_strcmp0(a->method, b->method) == 0 &&
		      g_strcmp0(a->uri, b->uri) == 0 && a->status == b->status,
	      "another start line");
	check(a->fields->len == b->fields->len, "another number of fields");
	for (guint i = 0; i < a->fields->len; i++) {
		const http_field_t *x =
			&g_array_index(a->fields, http_field_t, i);
		const http_field_t *y =
			&g_array_index(b->fields, http_field_t, i);

		check(strcmp(x->name, y->name) == 0 &&
			      strcmp(x->value, y->value) == 0,
		      "another field");
	}
}

static bool same_bytes(const GByteArray *a, const GByteArray *b)
{
	return a->len == b->len &&
	       (a->len == 0 || memcmp(a->data, b->data, a->len) == 0);
}

static void check_same_reading(const reading_t *a, const reading_t *b)
{
	check(a->messages->len == b->messages->len,
	      "the cuts change the number of messages");
	check((a->state == HTTP_STATE_ERROR) == (b->state == HTTP_STATE_ERROR),
	      "the cuts change whether the input is valid");
	for (guint i = 0; i < a->messages->len; i++) {
		const message_t *x = g_ptr_array_index(a->messages, i);
		const message_t *y = g_ptr_array_index(b->messages, i);

		check(x->end == y->end, "the cuts change the end of a message");
		check(same_bytes(x->body, y->body), "the cuts change a body");
		check_same_head(x->head, y->head);
	}
}

static bool is_name(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    (text[i] == '\0' ||
		     strchr("!#$%&'*+-.^_`|~", text[i]) == NULL))
			return false;
	return len > 0;
}

static void note_field(framing_t *framing, const char *name, size_t name_len,
		       const char *value, size_t value_len)
{
	static const char length[] = "content-length";
	static const char encoding[] = "transfer-encoding";
	static const char chunked[] = "chunked";

	if (name_len == strlen(length) &&
	    g_ascii_strncasecmp(name, length, name_len) == 0) {
		framing->lengths++;
		framing->ambiguous |=
			value_len == 0 || value_len > LENGTH_DIGITS_MAX;
		for (size_t i = 0; i < value_len && !framing->ambiguous; i++) {
			framing->ambiguous |= !g_ascii_isdigit(value[i]);
			framing->length =
				framing->length * 10 + (size_t)(value[i] - '0');
		}
	} else if (name_len == strlen(encoding) &&
		   g_ascii_strncasecmp(name, encoding, name_len) == 0) {
		framing->encodings++;
		framing->chunked =
			value_len == strlen(chunked) &&
			g_ascii_strncasecmp(value, chunked, value_len) == 0;
		framing->ambiguous |= !framing->chunked;
	}
}

/* Reads the lines of a head of len bytes, which end with CRLF each. */
static void read_framing(framing_t *framing, const char *head, size_t len)
{
	size_t line = 0;
	bool first = true;

	memset(framing, 0, sizeof(*framing));
	for (size_t i = 0; i < len; i++) {
		const char *colon, *value;
		size_t end = i - 1;

		framing->ambiguous |= head[i] == '\0';
		framing->ambiguous |= head[i] == '\r' && head[i + 1] != '\n';
		if (head[i] != '\n')
			continue;
		if (i == line || head[end] != '\r') {
			framing->ambiguous = true;
			return;
		}
		colon = memchr(head + line, ':', end - line);
		if (!first &&
		    (colon == NULL ||
		     !is_name(head + line, (size_t)(colon - head) - line))) {
			framing->ambiguous = true;
			return;
		}
		if (!first) {
			value = colon + 1;
			while (value < head + end &&
			       (*value == ' ' || *value == '\t'))
				value++;
			while (end > (size_t)(value - head) &&
			       (head[end - 1] == ' ' || head[end - 1] == '\t'))
				end--;
			note_field(framing, head + line,
				   (size_t)(colon - head) - line, value,
				   (size_t)(head + end - value));
		}
		first = false;
		line = i + 1;
	}
	framing->ambiguous |= framing->lengths + framing->encodings > 1;
}

/* Reads chunks without extensions and trailers. */
static void read_chunks(frame_t *frame, const char *data, size_t len, size_t at)
{
	for (;;) {
		size_t size = 0, digits = 0;

		while (at < len && g_ascii_isxdigit(data[at]) && digits < 6) {
			size = size * 16 +
			       (size_t)g_ascii_xdigit_value(data[at++]);
			digits++;
		}
		if (at + 1 >= len) {
			frame->kind = FRAME_AMBIGUOUS;
			return;
		}
		if (digits == 0 || data[at] != '\r' || data[at + 1] != '\n') {
			frame->kind = FRAME_AMBIGUOUS;
			return;
		}
		at += 2;
		if (at + size + 2 > len) {
			frame->kind = FRAME_AMBIGUOUS;
			return;
		}
		if (memcmp(data + at + size, "\r\n", 2) != 0) {
			frame->kind = FRAME_AMBIGUOUS;
			return;
		}
		g_byte_array_append(frame->body, (const guint8 *)data + at,
				    (guint)size);
		at += size + 2;
		if (size == 0) {
			frame->kind = FRAME_WHOLE;
			frame->len = at;
			return;
		}
	}
}

static bool ends_with_head(const http_head_t *head)
{
	return head->status / 100 == 1 || head->status == 204 ||
	       head->status == 304;
}

/* Reads the message at the start of data, of which the parser has the head. */
static void read_frame(frame_t *frame, const char *data, size_t len,
		       const http_head_t *head)
{
	const char *end = g_strstr_len(data, (gssize)len, "\r\n\r\n");
	size_t head_len;
	framing_t framing;

	frame->kind = FRAME_AMBIGUOUS;
	/* A parser may skip empty lines before a message. */
	if (end == NULL || data[0] == '\r' || data[0] == '\n' ||
	    (head->status > 0 && ends_with_head(head)))
		return;
	head_len = (size_t)(end - data) + 4;
	read_framing(&framing, data, head_len - 2);
	if (framing.ambiguous)
		return;
	if (framing.encodings > 0) {
		read_chunks(frame, data, len, head_len);
		return;
	}
	/* A response without a length ends with its connection. */
	if (framing.lengths == 0 && head->status > 0)
		return;
	frame->len = head_len + framing.length;
	frame->kind = frame->len <= len ? FRAME_WHOLE : FRAME_INCOMPLETE;
	if (frame->kind == FRAME_WHOLE)
		g_byte_array_append(frame->body,
				    (const guint8 *)data + head_len,
				    (guint)framing.length);
}

static void check_framing(const reading_t *reading, const char *data,
			  size_t len)
{
	size_t start = 0;

	for (guint i = 0; i < reading->messages->len; i++) {
		const message_t *message =
			g_ptr_array_index(reading->messages, i);
		frame_t frame = {.body = g_byte_array_new()};

		/* What follows the head of a tunnel's request is no body. */
		if (!message->tunnel)
			read_frame(&frame, data + start, len - start,
				   message->head);
		if (frame.kind == FRAME_WHOLE) {
			check(start + frame.len == message->end,
			      "a message ends elsewhere");
			check(same_bytes(frame.body, message->body),
			      "another body");
		}
		check(frame.kind != FRAME_INCOMPLETE,
		      "a message ends before its body");
		g_byte_array_unref(frame.body);
		start = message->end;
	}
}

/* Checks that a plain reading finds one message with that head and body. */
static void check_written(const http_head_t *head, const GByteArray *body)
{
	GByteArray *bytes = g_byte_array_new();
	frame_t frame = {.body = g_byte_array_new()};
	guint lines = 0;

	http_head_write(head, bytes);
	for (guint i = 0; i < bytes->len; i++)
		lines += bytes->data[i] == '\n';
	check(lines == head->fields->len + 2, "written with another field");
	g_byte_array_append(bytes, body->data, body->len);
	g_byte_array_append(bytes, (const guint8 *)"", 1);
	read_frame(&frame, (const char *)bytes->data, bytes->len - 1, head);
	check(frame.kind == FRAME_WHOLE, "written so that it is ambiguous");
	check(frame.len == bytes->len - 1, "written with another length");
	check(same_bytes(frame.body, body), "written with another body");
	g_byte_array_unref(frame.body);
	g_byte_array_unref(bytes);
}

static void check_request(const message_t *message)
{
	static const wire_request_opts_t opts = {
		.instance = "i-1", .account = "a", .time_budget_ms = 1000};
	exchange_spec_t *spec = exchange_spec_new();
	GBytes *body = g_bytes_new(message->body->data, message->body->len);
	http_head_t *out = NULL;
	errmsg_t err;

	if (message->tunnel ||
	    !wire_read_request(message->head, body, spec, &err))
		goto out;
	out = wire_write_request(spec, &opts);
	check(strcmp(out->method, message->head->method) == 0 &&
		      strcmp(out->uri, message->head->uri) == 0,
	      "the target gets another start line");
	check(http_head_get(out, "Transfer-Encoding") == NULL &&
		      http_head_get(out, "Upgrade") == NULL &&
		      http_head_get(out, "Connection") == NULL,
	      "the target gets a field of the client's connection");
	check_written(out, message->body);
out:
	http_head_free(out);
	exchange_spec_free(spec);
	g_bytes_unref(body);
}

static void check_response(const message_t *message)
{
	http_head_t *out = http_head_response(message->head->status);

	if (ends_with_head(message->head))
		goto out;
	for (guint i = 0; i < message->head->fields->len; i++) {
		const http_field_t *field =
			&g_array_index(message->head->fields, http_field_t, i);

		if (!http_field_is_hop_by_hop(field->name))
			http_head_add(out, field->name, field->value);
	}
	http_head_add_int(out, "Content-Length", message->body->len);
	check_written(out, message->body);
out:
	http_head_free(out);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data + 2;
	reading_t whole, cut;
	bool response;

	if (size < 3)
		return 0;
	response = data[0] != 'q';
	read_all(&whole, text, size - 2, response, 0);
	read_all(&cut, text, size - 2, response, 1 + (uint32_t)data[1]);
	check_same_reading(&whole, &cut);
	check_framing(&whole, text, size - 2);
	for (guint i = 0; i < whole.messages->len; i++) {
		const message_t *message = g_ptr_array_index(whole.messages, i);

		if (response)
			check_response(message);
		else
			check_request(message);
	}
	g_ptr_array_unref(whole.messages);
	g_ptr_array_unref(cut.messages);
	return 0;
}
