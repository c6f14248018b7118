/*
 * Stand-in for a plain service: counts each run and, after a delay, echoes the
 * method, path and body of the request.
 */
#include "tests/fakes/fake.h"

typedef struct call_t {
	SoupServerMessage *msg;
	GSource *watch;
	guint timer;
} call_t;

static fake_t fake;
static int port;
static int delay_ms;

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &port, "port, 0 for a free one", "N"},
	{"delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms, "time of a run", "N"},
	G_OPTION_ENTRY_NULL};

static void free_call(call_t *call)
{
	g_source_destroy(call->watch);
	g_source_unref(call->watch);
	if (call->timer != 0)
		g_source_remove(call->timer);
	g_object_unref(call->msg);
	g_free(call);
}

static void send_answer(SoupServerMessage *msg)
{
	GUri *uri = soup_server_message_get_uri(msg);
	GBytes *body = fake_request_body(msg);
	const char *query = g_uri_get_query(uri);
	GString *text = g_string_new(NULL);
	gsize len;
	const char *data = g_bytes_get_data(body, &len);

	g_string_printf(text, "%s %s%s%s\n",
			soup_server_message_get_method(msg),
			g_uri_get_path(uri), query == NULL ? "" : "?",
			query == NULL ? "" : query);
	g_string_append_len(text, data, (gssize)len);
	fake_answer(msg, 200, "application/octet-stream", text->str, text->len);
	g_string_free(text, TRUE);
	g_bytes_unref(body);
}

static gboolean on_delay(gpointer data)
{
	call_t *call = data;

	call->timer = 0;
	send_answer(call->msg);
	soup_server_message_unpause(call->msg);
	free_call(call);
	return G_SOURCE_REMOVE;
}

/* A plain service can't be cancelled: the run completes and stays counted. */
static gboolean on_disconnect(gint fd, GIOCondition condition, gpointer data)
{
	call_t *call = data;

	(void)fd;
	(void)condition;
	fake.cancelled++;
	fake_abort(call->msg);
	free_call(call);
	return G_SOURCE_REMOVE;
}

static void handle(SoupServer *server, SoupServerMessage *msg, const char *path,
		   GHashTable *query, gpointer data)
{
	int delay = (int)(delay_ms * fake.slow_factor);
	call_t *call;

	(void)server;
	(void)query;
	(void)data;
	if (strcmp(path, "/test/mode") == 0) {
		fake_set_mode(&fake, msg);
		return;
	}
	if (strcmp(path, "/test/stats") == 0) {
		fake_answer_json(msg, 200, fake_stats(&fake));
		return;
	}
	if (fake.silent)
		fake_record_run(&fake, msg); /* runs without a response */
	if (fake_refuse(&fake, msg))
		return;
	fake_record_run(&fake, msg);
	if (delay <= 0) {
		send_answer(msg);
		return;
	}
	call = g_new0(call_t, 1);
	call->msg = g_object_ref(msg);
	call->watch = fake_watch_disconnect(msg, on_disconnect, call);
	call->timer = g_timeout_add((guint)delay, on_delay, call);
	soup_server_message_pause(msg);
}

int main(int argc, char **argv)
{
	return fake_main(&fake, argc, argv, &port, options, handle);
}
