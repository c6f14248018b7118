#include "front/front.h"

#include "front/body.h"
#include "front/caller.h"
#include "front/listen.h"
#include "front/parse.h"
#include "front/refusal.h"
#include "front/stream.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Time for requests on the last connections, which were just established. */
#define STOP_SETTLE_US (50 * USEC_PER_MSEC)
#define KEY_HASH "key-hash" /* hash of the API key, attached to a message */

static const char *const model_paths[] = {
	"/v1/chat/completions",
	"/v1/completions",
};

void front_opts_default(front_opts_t *opts)
{
	memset(opts, 0, sizeof(*opts));
	g_strlcpy(opts->host, "127.0.0.1", sizeof(opts->host));
	opts->max_header = 16384;
	opts->max_body = 8388608;
	opts->max_connections = 20000;
	opts->max_streams = 10000;
	opts->max_streams_per_key = 10000;
	opts->high_water = 262144;
	opts->low_water = 65536;
	opts->timeouts.head_us = 10 * USEC_PER_SEC;
	opts->timeouts.body_us = 30 * USEC_PER_SEC;
	opts->timeouts.whole_body_us = 300 * USEC_PER_SEC;
	opts->timeouts.idle_us = 120 * USEC_PER_SEC;
}

void front_check_stopped(front_t *front)
{
	msg_t msg = {.kind = MSG_STOPPED};

	if (!front->settled || front->stopped ||
	    table_count(&front->streams) > 0)
		return;
	front->stopped = true;
	kernel_post(front->kernel, front->svc, front->router, &msg);
}

static void refuse(front_t *front, SoupServerMessage *msg,
		   const char *request_id, refusal_t reason, const char *detail)
{
	metrics_refusal(front->kernel->metrics, reason);
	stream_refuse(front, msg, request_id, reason, RUN_NOT_RUN, 0, detail);
}

static size_t header_bytes(SoupMessageHeaders *headers)
{
	SoupMessageHeadersIter iter;
	const char *name, *value;
	size_t size = 0;

	soup_message_headers_iter_init(&iter, headers);
	while (soup_message_headers_iter_next(&iter, &name, &value))
		size += strlen(name) + strlen(value) + 4;
	return size;
}

void front_refuse_unread(front_t *front, SoupServerMessage *msg,
			 refusal_t reason)
{
	char request_id[INCARNATION_SIZE];

	body_drop(msg);
	kernel_uuid(front->kernel, request_id);
	refuse(front, msg, request_id, reason, NULL);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(msg), "Connection",
		"close");
}

/*
 * Attaches the hash of the API key to the message and erases the key.  The
 * hash is enough to find the client account.
 */
static void extract_key_hash(SoupServerMessage *msg, char hash[HASH_SIZE])
{
	const char *name = "Authorization";
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(msg);
	const char *value = soup_message_headers_get_one(headers, name);

	if (parse_bearer(value, hash) == PARSE_OK)
		g_object_set_data_full(G_OBJECT(msg), KEY_HASH, g_strdup(hash),
				       g_free);
	if (value != NULL)
		explicit_bzero((char *)value, strlen(value));
	soup_message_headers_remove(headers, name);
}

/*
 * Callers without a valid key must not learn about limits or have their bodies
 * parsed, so keys are checked here before "request" makes the final decision.
 * Without a configuration, only the format of the key can be checked.
 */
static bool key_is_valid(const front_t *front, const char *hash)
{
	const record_client_account_t *account;
	const char *budget;

	if (hash[0] == '\0' || front->conf == NULL)
		return hash[0] != '\0';
	account = conf_snapshot_account_by_key(front->conf, hash, &budget);
	return account != NULL && !account->removed && !account->disabled;
}

/* Called after the head of a request has arrived and before its body. */
static void on_head(SoupServer *server, SoupServerMessage *msg,
		    const char *path, GHashTable *query, gpointer data)
{
	front_t *front = data;
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(msg);
	char hash[HASH_SIZE];
	size_t size;

	(void)server;
	(void)path;
	(void)query;
	if (caller_at_eof(msg))
		return;
	caller_set_phase(msg, CALLER_BODY);
	if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_NONE)
		body_collect(front, msg);
	size = header_bytes(headers);
	extract_key_hash(msg, hash);
	if (!key_is_valid(front, hash))
		front_refuse_unread(front, msg, REFUSAL_UNAUTHENTICATED);
	else if (size > front->opts.max_header ||
		 soup_message_headers_get_content_length(headers) >
			 (goffset)front->opts.max_body)
		front_refuse_unread(front, msg, REFUSAL_TOO_LARGE);
}

static bool is_model_path(const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(model_paths); i++)
		if (strcmp(path, model_paths[i]) == 0)
			return true;
	return false;
}

static refusal_t read_headers(SoupMessageHeaders *headers, request_spec_t *spec,
			      errmsg_t *err)
{
	const char *value;

	value = soup_message_headers_get_one(headers, "Idempotency-Key");
	if (value != NULL &&
	    parse_idem_key(value, spec->idem_key) != PARSE_OK) {
		errmsg_set(err,
			   "Idempotency-Key must be 1 to %d printable "
			   "ASCII characters",
			   IDEM_KEY_SIZE - 1);
		return REFUSAL_BAD_REQUEST;
	}
	value = soup_message_headers_get_one(headers, "X-Request-Deadline-Ms");
	if (value != NULL &&
	    parse_deadline(value, &spec->deadline_ms) != PARSE_OK) {
		errmsg_set(err, "X-Request-Deadline-Ms must be 1 to %d",
			   DEADLINE_MS_MAX);
		return REFUSAL_BAD_REQUEST;
	}
	value = soup_message_headers_get_one(headers, "Content-Type");
	if (value != NULL &&
	    g_strlcpy(spec->content_type, value, sizeof(spec->content_type)) >=
		    sizeof(spec->content_type)) {
		errmsg_set(err, "Content-Type is too long");
		return REFUSAL_BAD_REQUEST;
	}
	return REFUSAL_NONE;
}

static refusal_t read_request_line(SoupServerMessage *msg, request_spec_t *spec,
				   errmsg_t *err)
{
	GUri *uri = soup_server_message_get_uri(msg);
	const char *method = soup_server_message_get_method(msg);
	const char *query = g_uri_get_query(uri);
	char *path;
	bool ok;

	path = query == NULL
		       ? g_strdup(g_uri_get_path(uri))
		       : g_strconcat(g_uri_get_path(uri), "?", query, NULL);
	ok = parse_path(path) == PARSE_OK &&
	     g_strlcpy(spec->method, method, sizeof(spec->method)) <
		     sizeof(spec->method);
	g_strlcpy(spec->path, path, sizeof(spec->path));
	g_free(path);
	if (!ok) {
		errmsg_set(err, "the method or path is not valid");
		return REFUSAL_BAD_REQUEST;
	}
	return REFUSAL_NONE;
}

static refusal_t check_limits(front_t *front, SoupServerMessage *msg,
			      const request_spec_t *spec)
{
	guint key_streams = GPOINTER_TO_UINT(
		g_hash_table_lookup(front->streams_per_key, spec->key_hash));

	if (front->stopping)
		return REFUSAL_STOPPING;
	if (table_count(&front->streams) >= front->opts.max_streams)
		return REFUSAL_OVERLOADED;
	if (key_streams >= front->opts.max_streams_per_key)
		return REFUSAL_TOO_MANY_REQUESTS;
	if (!buffers_may_run(&front->kernel->buffers,
			     REQUEST_BODY_COPIES * body_size(msg))) {
		metrics_add(front->kernel->metrics, COUNTER_BUFFERS_DROPPED, 1);
		return REFUSAL_OVERLOADED;
	}
	return REFUSAL_NONE;
}

static refusal_t read_request(front_t *front, SoupServerMessage *msg,
			      request_spec_t *spec, errmsg_t *err)
{
	const char *hash = g_object_get_data(G_OBJECT(msg), KEY_HASH);
	refusal_t reason;

	if (hash != NULL)
		g_strlcpy(spec->key_hash, hash, sizeof(spec->key_hash));
	/* The configuration may have changed while the body arrived. */
	if (!key_is_valid(front, spec->key_hash))
		return REFUSAL_UNAUTHENTICATED;
	reason = read_headers(soup_server_message_get_request_headers(msg),
			      spec, err);
	if (reason == REFUSAL_NONE)
		reason = read_request_line(msg, spec, err);
	if (reason == REFUSAL_NONE)
		reason = check_limits(front, msg, spec);
	if (reason != REFUSAL_NONE)
		return reason;
	spec->body = body_take(msg);
	spec->prompt_bytes = (int64_t)g_bytes_get_size(spec->body);
	fingerprint_request(spec);
	if (strcmp(spec->method, "POST") == 0 && is_model_path(spec->path) &&
	    parse_model_request(spec, err) != PARSE_OK)
		return REFUSAL_BAD_REQUEST;
	return REFUSAL_NONE;
}

static void add_model(JsonBuilder *builder, const record_service_t *service)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "id");
	json_builder_add_string_value(builder, service->name);
	json_builder_set_member_name(builder, "object");
	json_builder_add_string_value(builder, "model");
	json_builder_end_object(builder);
}

static void write_model_list(front_t *front, SoupServerMessage *msg)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "object");
	json_builder_add_string_value(builder, "list");
	json_builder_set_member_name(builder, "data");
	json_builder_begin_array(builder);
	for (guint i = 0; i < front->conf->services->len; i++) {
		const record_service_t *service = &g_array_index(
			front->conf->services, record_service_t, i);

		if (service->kind == SERVICE_MODEL)
			add_model(builder, service);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	soup_server_message_set_status(msg, 200, NULL);
	soup_server_message_set_response(msg, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
	json_node_unref(root);
	g_object_unref(builder);
}

static refusal_t list_models(front_t *front, SoupServerMessage *msg)
{
	if (front->conf == NULL)
		return REFUSAL_NO_TARGET;
	write_model_list(front, msg);
	return REFUSAL_NONE;
}

static void on_request(SoupServer *server, SoupServerMessage *msg,
		       const char *path, GHashTable *query, gpointer data)
{
	front_t *front = data;
	request_spec_t *spec;
	errmsg_t err = {""};
	refusal_t reason;

	(void)server;
	(void)query;
	caller_set_phase(msg, CALLER_BUSY);
	if (caller_at_eof(msg)) {
		soup_server_message_set_status(msg, 400, NULL);
		soup_message_headers_replace(
			soup_server_message_get_response_headers(msg),
			"Connection", "close");
		return;
	}
	/* The request was already refused when its head or body arrived. */
	if (soup_server_message_get_status(msg) != 0)
		return;
	spec = request_spec_new();
	kernel_uuid(front->kernel, spec->request_id);
	reason = read_request(front, msg, spec, &err);
	if (reason != REFUSAL_NONE)
		goto out;
	if (strcmp(path, "/v1/models") == 0 &&
	    strcmp(spec->method, "GET") == 0) {
		reason = list_models(front, msg);
		goto out;
	}
	stream_open(front, msg, spec);
	spec = NULL;
out:
	if (reason != REFUSAL_NONE)
		refuse(front, msg, spec->request_id, reason,
		       err.text[0] != '\0' ? err.text : NULL);
	request_spec_free(spec);
	kernel_flush(front->kernel);
}

static void on_finished(SoupServer *server, SoupServerMessage *msg,
			gpointer data)
{
	(void)server;
	(void)data;
	caller_set_phase(msg, CALLER_IDLE);
}

static void stop(front_t *front)
{
	front->stopping = true;
	listen_drain(front);
	kernel_timer(front->kernel, front->svc, STOP_SETTLE_US, HANDLE_NONE,
		     FRONT_TIMER_SETTLED);
}

static void settled(front_t *front)
{
	front->settled = true;
	front_check_stopped(front);
}

static void start(front_t *front)
{
	msg_t msg = {.kind = MSG_CONF_SUBSCRIBE};

	front->request = kernel_find(front->kernel, "request");
	front->router = kernel_find(front->kernel, "router");
	kernel_post(front->kernel, front->svc,
		    kernel_find(front->kernel, "conf"), &msg);
}

static void on_timer(front_t *front, msg_t *msg)
{
	if (!handle_is_none(msg->ref))
		stream_recv(front, msg);
	else if (msg->u.timer.kind == FRONT_TIMER_WATCH)
		stream_watch_all(front);
	else if (msg->u.timer.kind == FRONT_TIMER_TIMEOUTS)
		listen_check_timeouts(front);
	else if (msg->u.timer.kind == FRONT_TIMER_SETTLED)
		settled(front);
	else
		listen_resume(front);
}

static void receive(void *self, msg_t *msg)
{
	front_t *front = self;

	switch (msg->kind) {
	case MSG_START:
		start(front);
		break;
	case MSG_STOP:
		stop(front);
		break;
	case MSG_BUFFERS_FULL:
		body_relieve(front);
		break;
	case MSG_CONF_CHANGED:
		conf_snapshot_unref(front->conf);
		front->conf = g_steal_pointer(&msg->u.conf);
		break;
	case MSG_TIMER:
		on_timer(front, msg);
		break;
	case MSG_REQ_STARTED:
	case MSG_REPLY_HEAD:
	case MSG_REPLY_DATA:
	case MSG_REPLY_END:
	case MSG_REPLY_REFUSED:
	case MSG_REPLY_ABORTED:
		stream_recv(front, msg);
		break;
	default:
		break;
	}
}

void front_init(front_t *front, kernel_t *kernel, const front_opts_t *opts)
{
	memset(front, 0, sizeof(*front));
	front->kernel = kernel;
	front->opts = *opts;
	front->svc = kernel_register(kernel, "front", receive, front);
	table_init(&front->streams, sizeof(stream_t));
	table_init(&front->bodies, sizeof(body_t));
	front->unwatched = g_array_new(FALSE, FALSE, sizeof(handle_t));
	front->streams_per_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	front->connections = g_rc_box_new0(front_connections_t);
	front->connections->metrics = kernel->metrics;
	table_init(&front->connections->table, sizeof(connection_t));
	front->server = soup_server_new(NULL, NULL);
	soup_server_add_early_handler(front->server, NULL, on_head, front,
				      NULL);
	soup_server_add_handler(front->server, NULL, on_request, front, NULL);
	g_signal_connect(front->server, "request-finished",
			 G_CALLBACK(on_finished), NULL);
}

void front_finish(front_t *front)
{
	uint32_t cursor = 0;
	stream_t *stream;

	front->stopped = true;
	while ((stream = table_next(&front->streams, &cursor, NULL)) != NULL)
		stream_free(stream);
	body_finish(front);
	listen_close(front);
	soup_server_disconnect(front->server);
	g_clear_object(&front->server);
	g_clear_object(&front->cert);
	kernel_timer_cancel(front->kernel, &front->watch_timer);
	kernel_timer_cancel(front->kernel, &front->timeout_timer);
	g_array_unref(front->unwatched);
	g_hash_table_unref(front->streams_per_key);
	table_finish(&front->streams);
	if (front->conf != NULL)
		conf_snapshot_unref(front->conf);
	front->connections->metrics = NULL;
	front_connections_unref(front->connections);
	kernel_unregister(front->kernel, front->svc);
}
