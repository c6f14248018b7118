/*
 * Stand-in for a model engine with an OpenAI-style API.  The generated text is
 * determined by the prompt (the text of the last message): each word is the
 * low 32 bits of x as eight hexadecimal digits and a space, where x starts as
 * the 64-bit FNV-1a hash of the prompt and is advanced by
 * x = x * 6364136223846793005 + 1442695040888963407 before each word.  The
 * text has max_tokens words, 16 by default.
 */
#include "tests/fakes/fake.h"

#define TICK_MS 2
#define TOKENS_DEFAULT 16

typedef struct completion_t {
	SoupServerMessage *msg;
	GSource *watch;
	bool chat;
	bool stream;
	bool usage; /* stream_options.include_usage */
	uint64_t word_state; /* x of the generator */
	int64_t prompt_tokens;
	int64_t tokens; /* to generate */
	int64_t done; /* generated tokens */
	double tokens_due; /* tokens that the rate allows by now */
	gint64 last_tick_us;
	GString *text; /* generated, not yet sent */
} completion_t;

static fake_t fake;
static int port;
static double tokens_per_s = 1000;
static int batch_size = 32;
static gboolean check_fencing;
static GQueue running = G_QUEUE_INIT;
static GQueue waiting = G_QUEUE_INIT;
static guint tick_source;
static int64_t generated;
static int64_t highest_fencing_token;
static unsigned orders;
static unsigned orders_refused;
static char *last_order; /* body of the last accepted order */

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &port, "port, 0 for a free one", "N"},
	{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &tokens_per_s,
	 "tokens per second of a request, 0 for no limit", "R"},
	{"batch", 0, 0, G_OPTION_ARG_INT, &batch_size, "requests at once", "N"},
	{"check-fencing", 0, 0, G_OPTION_ARG_NONE, &check_fencing,
	 "refuse orders with a lower fencing token", NULL},
	G_OPTION_ENTRY_NULL};

static void start_queued(void);

static void free_completion(completion_t *c)
{
	g_queue_remove(&running, c);
	g_queue_remove(&waiting, c);
	g_source_destroy(c->watch);
	g_source_unref(c->watch);
	g_object_unref(c->msg);
	g_string_free(c->text, TRUE);
	g_free(c);
	start_queued();
}

static gboolean on_disconnect(gint fd, GIOCondition condition, gpointer data)
{
	completion_t *c = data;

	(void)fd;
	(void)condition;
	fake.cancelled++;
	fake_abort(c->msg);
	free_completion(c);
	return G_SOURCE_REMOVE;
}

static void set_load_headers(SoupServerMessage *msg)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(msg);
	char text[16];

	g_snprintf(text, sizeof(text), "%u", g_queue_get_length(&running));
	soup_message_headers_replace(headers, "X-Load-Running", text);
	g_snprintf(text, sizeof(text), "%u", g_queue_get_length(&waiting));
	soup_message_headers_replace(headers, "X-Load-Queued", text);
}

static char *usage_json(const completion_t *c)
{
	return g_strdup_printf("{\"prompt_tokens\":%" G_GINT64_FORMAT
			       ",\"completion_tokens\":%" G_GINT64_FORMAT
			       ",\"total_tokens\":%" G_GINT64_FORMAT "}",
			       c->prompt_tokens, c->done,
			       c->prompt_tokens + c->done);
}

/* Sends the text generated since the last call as one chunk. */
static void send_text(completion_t *c)
{
	if (c->text->len == 0)
		return;
	soup_message_body_append(soup_server_message_get_response_body(c->msg),
				 SOUP_MEMORY_COPY, c->text->str, c->text->len);
	g_string_truncate(c->text, 0);
}

static void generate_token(completion_t *c)
{
	char word[16];

	c->word_state = c->word_state * UINT64_C(6364136223846793005) +
			UINT64_C(1442695040888963407);
	g_snprintf(word, sizeof(word), "%08x ",
		   (unsigned)(c->word_state & 0xffffffff));
	c->done++;
	generated++;
	if (!c->stream)
		g_string_append(c->text, word);
	else
		g_string_append_printf(
			c->text,
			c->chat ? "data: {\"choices\":[{\"index\":0,"
				  "\"delta\":{\"content\":\"%s\"}}]}\n\n"
				: "data: {\"choices\":[{\"index\":0,"
				  "\"text\":\"%s\"}]}\n\n",
			word);
}

static void finish_completion(completion_t *c)
{
	char *usage = usage_json(c);
	char *text;

	if (c->stream) {
		if (c->usage)
			g_string_append_printf(c->text,
					       "data: {\"choices\":[],"
					       "\"usage\":%s}\n\n",
					       usage);
		g_string_append(c->text, "data: [DONE]\n\n");
		send_text(c);
		soup_message_body_complete(
			soup_server_message_get_response_body(c->msg));
	} else {
		text = g_strdup_printf(
			c->chat ? "{\"choices\":[{\"index\":0,\"message\":{"
				  "\"role\":\"assistant\",\"content\":\"%s\"}"
				  ",\"finish_reason\":\"length\"}],"
				  "\"usage\":%s}"
				: "{\"choices\":[{\"index\":0,\"text\":\"%s\""
				  ",\"finish_reason\":\"length\"}],"
				  "\"usage\":%s}",
			c->text->str, usage);
		set_load_headers(c->msg);
		fake_answer(c->msg, 200, "application/json", text,
			    strlen(text));
		g_free(text);
	}
	g_free(usage);
	soup_server_message_unpause(c->msg);
	free_completion(c);
}

static void advance_completion(completion_t *c, gint64 now)
{
	int64_t before = c->done;

	c->tokens_due += (double)(now - c->last_tick_us) * 1e-6 * tokens_per_s /
			 fake.slow_factor;
	c->last_tick_us = now;
	while (c->done < c->tokens &&
	       (tokens_per_s <= 0 || (double)(c->done + 1) <= c->tokens_due))
		generate_token(c);
	if (c->done == c->tokens) {
		finish_completion(c);
	} else if (c->stream && c->done > before) {
		send_text(c);
		soup_server_message_unpause(c->msg);
	}
}

static gboolean on_tick(gpointer data)
{
	gint64 now = g_get_monotonic_time();
	GList *next;

	(void)data;
	for (GList *link = running.head; link != NULL; link = next) {
		next = link->next;
		if (!fake.silent)
			advance_completion(link->data, now);
	}
	if (!g_queue_is_empty(&running))
		return G_SOURCE_CONTINUE;
	tick_source = 0;
	return G_SOURCE_REMOVE;
}

static void start_completion(completion_t *c)
{
	g_queue_push_tail(&running, c);
	c->last_tick_us = g_get_monotonic_time();
	if (tick_source == 0)
		tick_source = g_timeout_add(TICK_MS, on_tick, NULL);
	if (!c->stream)
		return;
	set_load_headers(c->msg);
	soup_server_message_set_status(c->msg, 200, NULL);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(c->msg),
		"Content-Type", "text/event-stream");
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(c->msg),
		SOUP_ENCODING_CHUNKED);
	/*
	 * Without accumulation libsoup drops chunks that were sent; otherwise
	 * it searches through all of them for each chunk of a long stream.
	 */
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(c->msg), FALSE);
	if (!fake.silent)
		soup_server_message_unpause(c->msg);
}

static void start_queued(void)
{
	while ((int)g_queue_get_length(&running) < batch_size &&
	       !g_queue_is_empty(&waiting))
		start_completion(g_queue_pop_head(&waiting));
}

/* Returns the text of the last message or the "prompt" member. */
static const char *get_prompt(JsonObject *body)
{
	JsonNode *prompt = json_object_get_member(body, "prompt");
	JsonArray *messages;
	guint len;

	if (prompt != NULL && JSON_NODE_HOLDS_VALUE(prompt))
		return json_node_get_string(prompt);
	if (!json_object_has_member(body, "messages"))
		return NULL;
	messages = json_object_get_array_member(body, "messages");
	len = messages == NULL ? 0 : json_array_get_length(messages);
	if (len == 0)
		return NULL;
	return json_object_get_string_member_with_default(
		json_array_get_object_element(messages, len - 1), "content",
		NULL);
}

static int64_t get_token_limit(JsonObject *body)
{
	int64_t limit = json_object_get_int_member_with_default(
		body, "max_completion_tokens", TOKENS_DEFAULT);

	return json_object_get_int_member_with_default(body, "max_tokens",
						       limit);
}

static void handle_completion(SoupServerMessage *msg, bool chat)
{
	JsonParser *parser = json_parser_new();
	JsonObject *body = fake_parse_object(msg, parser);
	const char *prompt = body == NULL ? NULL : get_prompt(body);
	JsonObject *stream_options;
	completion_t *c;

	if (prompt == NULL) {
		fake_answer(msg, 400, "text/plain", "no prompt\n", 10);
		goto out;
	}
	c = g_new0(completion_t, 1);
	c->msg = g_object_ref(msg);
	c->chat = chat;
	c->stream = json_object_get_boolean_member_with_default(body, "stream",
								FALSE);
	if (json_object_has_member(body, "stream_options")) {
		stream_options =
			json_object_get_object_member(body, "stream_options");
		c->usage = json_object_get_boolean_member_with_default(
			stream_options, "include_usage", FALSE);
	}
	c->tokens = get_token_limit(body);
	c->prompt_tokens = (int64_t)strlen(prompt) / 4 + 1;
	c->word_state = UINT64_C(0xcbf29ce484222325);
	for (const char *p = prompt; *p != '\0'; p++)
		c->word_state = (c->word_state ^ (unsigned char)*p) *
				UINT64_C(0x100000001b3);
	c->text = g_string_new(NULL);
	soup_server_message_pause(msg);
	c->watch = fake_watch_disconnect(msg, on_disconnect, c);
	g_queue_push_tail(&waiting, c);
	start_queued();
out:
	g_object_unref(parser);
}

static void handle_order(SoupServerMessage *msg)
{
	JsonParser *parser = json_parser_new();
	JsonObject *body = fake_parse_object(msg, parser);
	int64_t token = body == NULL ? -1
				     : json_object_get_int_member_with_default(
					       body, "fencing_token", -1);

	if (token < 0) {
		fake_answer(msg, 400, "text/plain", "no fencing_token\n", 17);
	} else if (check_fencing && token < highest_fencing_token) {
		orders_refused++;
		fake_answer(msg, 409, "text/plain", "stale\n", 6);
	} else {
		orders++;
		highest_fencing_token = MAX(highest_fencing_token, token);
		g_free(last_order);
		last_order =
			json_to_string(json_parser_get_root(parser), FALSE);
		fake_answer(msg, 200, "text/plain", "ok\n", 3);
	}
	g_object_unref(parser);
}

static void handle_stats(SoupServerMessage *msg)
{
	JsonObject *object = fake_stats(&fake);

	json_object_set_int_member(object, "running",
				   g_queue_get_length(&running));
	json_object_set_int_member(object, "queued",
				   g_queue_get_length(&waiting));
	json_object_set_int_member(object, "tokens", generated);
	json_object_set_int_member(object, "orders", orders);
	json_object_set_int_member(object, "orders_refused", orders_refused);
	json_object_set_int_member(object, "fence", highest_fencing_token);
	json_object_set_string_member(object, "last_order", last_order);
	fake_answer_json(msg, 200, object);
}

static void handle(SoupServer *server, SoupServerMessage *msg, const char *path,
		   GHashTable *query, gpointer data)
{
	bool chat = strcmp(path, "/v1/chat/completions") == 0;

	(void)server;
	(void)query;
	(void)data;
	if (strcmp(path, "/test/mode") == 0) {
		fake_set_mode(&fake, msg);
	} else if (strcmp(path, "/test/stats") == 0) {
		handle_stats(msg);
	} else if (strcmp(path, "/orders") == 0) {
		handle_order(msg);
	} else if (!chat && strcmp(path, "/v1/completions") != 0) {
		fake_answer(msg, 404, "text/plain", "no such path\n", 13);
	} else if (fake.leaving || fake.refuse) {
		set_load_headers(msg);
		fake_refuse(&fake, msg);
	} else {
		fake_record_run(&fake, msg);
		handle_completion(msg, chat);
	}
}

int main(int argc, char **argv)
{
	return fake_main(&fake, argc, argv, &port, options, handle);
}
