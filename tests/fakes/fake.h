/*
 * Common part of the stand-in servers: the HTTP listener, test modes, counts of
 * runs and detection of callers that disconnect.
 */
#ifndef TESTS_FAKES_FAKE_H
#define TESTS_FAKES_FAKE_H

#ifndef _GNU_SOURCE
#define _GNU_SOURCE /* POLLRDHUP */
#endif

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct fake_t {
	SoupServer *server;
	double slow_factor; /* 1: normal speed */
	bool leaving; /* refuse new requests like a leaving target */
	bool refuse; /* refuse new requests like an overloaded target */
	bool silent; /* send no response, keep connections open */
	char *crash_on; /* exit if a request body contains this text */
	GHashTable *runs; /* X-Request-Id -> runs */
	GHashTable *bodies; /* SHA-256 of the body -> runs */
	unsigned cancelled; /* callers that disconnected early */
} fake_t;

static inline void fake_increment(GHashTable *table, const char *key)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_insert(table, g_strdup(key), GUINT_TO_POINTER(count + 1));
}

static inline GBytes *fake_request_body(SoupServerMessage *msg)
{
	return soup_message_body_flatten(
		soup_server_message_get_request_body(msg));
}

/* Counts a run, and exits if the body contains crash_on. */
static inline void fake_record_run(fake_t *fake, SoupServerMessage *msg)
{
	const char *id = soup_message_headers_get_one(
		soup_server_message_get_request_headers(msg), "X-Request-Id");
	GBytes *body = fake_request_body(msg);
	gsize len;
	const char *data = g_bytes_get_data(body, &len);
	char *hash = g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, body);

	fake_increment(fake->runs, id == NULL ? "" : id);
	fake_increment(fake->bodies, hash);
	g_free(hash);
	if (fake->crash_on != NULL && len > 0 &&
	    memmem(data, len, fake->crash_on, strlen(fake->crash_on)) != NULL)
		exit(1);
	g_bytes_unref(body);
}

static inline void fake_answer(SoupServerMessage *msg, unsigned status,
			       const char *type, const char *text, size_t len)
{
	soup_server_message_set_status(msg, status, NULL);
	soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, text,
					 len);
}

static inline void fake_answer_json(SoupServerMessage *msg, unsigned status,
				    JsonObject *object)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_take_object(root, object);
	text = json_to_string(root, FALSE);
	fake_answer(msg, status, "application/json", text, strlen(text));
	g_free(text);
	json_node_unref(root);
}

/* Returns true if the request was refused, or is left without a response. */
static inline bool fake_refuse(fake_t *fake, SoupServerMessage *msg)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(msg);

	if (fake->silent) {
		soup_server_message_pause(msg);
		return true;
	}
	if (!fake->leaving && !fake->refuse)
		return false;
	soup_message_headers_replace(headers, "X-Request-State", "not_run");
	if (fake->leaving)
		soup_message_headers_replace(headers, "X-Target-Leaving", "1");
	fake_answer(msg, 503, "text/plain", "refused\n", 8);
	return true;
}

/*
 * Parses the request body, and returns NULL if it is not a JSON object.  The
 * result belongs to the parser.
 */
static inline JsonObject *fake_parse_object(SoupServerMessage *msg,
					    JsonParser *parser)
{
	GBytes *body = fake_request_body(msg);
	gsize len;
	const char *data = g_bytes_get_data(body, &len);
	JsonNode *root = NULL;

	if (len > 0 &&
	    json_parser_load_from_data(parser, data, (gssize)len, NULL))
		root = json_parser_get_root(parser);
	g_bytes_unref(body);
	return root != NULL && JSON_NODE_HOLDS_OBJECT(root)
		       ? json_node_get_object(root)
		       : NULL;
}

/* Handles POST /test/mode.  Missing members are reset to their defaults. */
static inline void fake_set_mode(fake_t *fake, SoupServerMessage *msg)
{
	JsonParser *parser = json_parser_new();
	JsonObject *mode = fake_parse_object(msg, parser);

	if (mode == NULL) {
		fake_answer(msg, 400, "text/plain", "no object\n", 10);
		goto out;
	}
	fake->slow_factor = json_object_get_double_member_with_default(
		mode, "slow_factor", 1.0);
	fake->leaving = json_object_get_boolean_member_with_default(
		mode, "leaving", FALSE);
	fake->refuse = json_object_get_boolean_member_with_default(
		mode, "refuse", FALSE);
	fake->silent = json_object_get_boolean_member_with_default(
		mode, "silent", FALSE);
	g_free(fake->crash_on);
	fake->crash_on = g_strdup(json_object_get_string_member_with_default(
		mode, "crash_on", NULL));
	fake_answer(msg, 200, "text/plain", "ok\n", 3);
out:
	g_object_unref(parser);
}

static inline JsonObject *fake_counts(GHashTable *table)
{
	JsonObject *object = json_object_new();
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_int_member(object, key,
					   GPOINTER_TO_UINT(value));
	return object;
}

static inline JsonObject *fake_stats(fake_t *fake)
{
	JsonObject *stats = json_object_new();

	json_object_set_object_member(stats, "runs", fake_counts(fake->runs));
	json_object_set_object_member(stats, "bodies",
				      fake_counts(fake->bodies));
	json_object_set_int_member(stats, "cancelled", fake->cancelled);
	return stats;
}

/*
 * Calls on_disconnect when the caller of a paused request disconnects; the
 * callback must remove the source.
 */
static inline GSource *fake_watch_disconnect(SoupServerMessage *msg,
					     GUnixFDSourceFunc on_disconnect,
					     gpointer data)
{
	GSocket *socket = soup_server_message_get_socket(msg);
	GSource *source = g_unix_fd_source_new(g_socket_get_fd(socket),
					       (GIOCondition)POLLRDHUP |
						       G_IO_HUP | G_IO_ERR);

	g_source_set_callback(source, G_SOURCE_FUNC(on_disconnect), data, NULL);
	g_source_attach(source, NULL);
	return source;
}

/* Shuts the connection down and writes to it, so that libsoup closes it. */
static inline void fake_abort(SoupServerMessage *msg)
{
	g_socket_shutdown(soup_server_message_get_socket(msg), TRUE, TRUE,
			  NULL);
	if (soup_server_message_get_status(msg) == 0)
		soup_server_message_set_status(msg, 500, NULL);
	soup_message_body_append(soup_server_message_get_response_body(msg),
				 SOUP_MEMORY_STATIC, "\n", 1);
	soup_server_message_unpause(msg);
}

/* Parses the options, listens on loopback and serves until killed. */
static inline int fake_main(fake_t *fake, int argc, char **argv, int *port,
			    const GOptionEntry *options,
			    SoupServerCallback handler)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	GSList *uris;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	fake->slow_factor = 1.0;
	fake->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake->bodies =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake->server = soup_server_new(NULL, NULL);
	soup_server_add_handler(fake->server, NULL, handler, fake, NULL);
	if (!soup_server_listen_local(fake->server, (guint)*port,
				      SOUP_SERVER_LISTEN_IPV4_ONLY, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 1;
	}
	uris = soup_server_get_uris(fake->server);
	printf("listening %d\n", g_uri_get_port(uris->data));
	fflush(stdout);
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return 0;
}

#endif
