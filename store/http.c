#include "store/http.h"

#include "store/call.h"
#include "store/watch.h"

#include <string.h>

static void read_next(exchange_t *exchange);

static void exchange_free(exchange_t *exchange)
{
	g_clear_object(&exchange->stream);
	g_clear_object(&exchange->message);
	g_clear_object(&exchange->cancellable);
	g_free(exchange);
}

static void notify_owner(exchange_t *exchange, exchange_event_t event,
			 gssize len)
{
	store_t *store = exchange->store;

	if (event == EXCHANGE_FAILED) {
		metrics_add(store->kernel->metrics, COUNTER_STORE_ERRORS, 1);
		metrics_set(store->kernel->metrics, GAUGE_STORE_UP, 0);
	} else {
		metrics_set(store->kernel->metrics, GAUGE_STORE_UP, 1);
	}
	switch (exchange->owner_kind) {
	case OWNER_CALL:
		call_event(store, exchange, event, exchange->buffer,
			   (size_t)len);
		break;
	case OWNER_WATCH:
		watch_event(store, exchange, event, exchange->buffer,
			    (size_t)len);
		break;
	}
}

static void notify_end(exchange_t *exchange, exchange_event_t event)
{
	if (exchange->store != NULL)
		notify_owner(exchange, event, 0);
	exchange_free(exchange);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	exchange_t *exchange = data;
	gssize len;

	len = g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
	if (exchange->store == NULL || len <= 0) {
		notify_end(exchange, len < 0 ? EXCHANGE_FAILED : EXCHANGE_END);
		return;
	}
	notify_owner(exchange, EXCHANGE_DATA, len);
	if (exchange->store == NULL)
		exchange_free(exchange);
	else
		read_next(exchange);
}

static void read_next(exchange_t *exchange)
{
	g_input_stream_read_async(exchange->stream, exchange->buffer,
				  sizeof(exchange->buffer), G_PRIORITY_DEFAULT,
				  exchange->cancellable, on_read, exchange);
}

static void on_response_head(GObject *source, GAsyncResult *result,
			     gpointer data)
{
	exchange_t *exchange = data;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (exchange->store == NULL || exchange->stream == NULL) {
		notify_end(exchange, EXCHANGE_FAILED);
		return;
	}
	exchange->status = soup_message_get_status(exchange->message);
	read_next(exchange);
}

/* Called when the message has a connection, before anything is written. */
static void on_starting(SoupMessage *message, gpointer data)
{
	exchange_t *exchange = data;

	(void)message;
	exchange->sent = true;
}

exchange_t *exchange_open(store_t *store, exchange_owner_t owner_kind,
			  handle_t owner, const char *path, const char *body,
			  bool idempotent)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	SoupMessageHeaders *headers;
	GBytes *bytes;
	gchar *url;

	exchange->store = store;
	exchange->owner_kind = owner_kind;
	exchange->owner = owner;
	exchange->cancellable = g_cancellable_new();
	/* store_init() has checked the endpoints, so the URL can be parsed. */
	url = g_strconcat(store->endpoints[store->endpoint_index], path, NULL);
	exchange->message = soup_message_new("POST", url);
	g_free(url);
	soup_message_add_flags(exchange->message, SOUP_MESSAGE_NO_REDIRECT);
	/* A watch gets a new connection, because a pooled one may be dead. */
	if (owner_kind == OWNER_WATCH ||
	    kernel_now(store->kernel) < store->new_conn_until)
		soup_message_add_flags(exchange->message,
				       SOUP_MESSAGE_NEW_CONNECTION);
	if (idempotent)
		soup_message_add_flags(exchange->message,
				       SOUP_MESSAGE_IDEMPOTENT);
	headers = soup_message_get_request_headers(exchange->message);
	if (store->token != NULL)
		soup_message_headers_replace(headers, "Authorization",
					     store->token);
	bytes = g_bytes_new(body, strlen(body));
	soup_message_set_request_body_from_bytes(exchange->message,
						 "application/json", bytes);
	g_bytes_unref(bytes);
	g_signal_connect(exchange->message, "starting", G_CALLBACK(on_starting),
			 exchange);
	metrics_add(store->kernel->metrics, COUNTER_STORE_CALLS, 1);
	soup_session_send_async(store->session, exchange->message,
				G_PRIORITY_DEFAULT, exchange->cancellable,
				on_response_head, exchange);
	return exchange;
}

void exchange_cancel(exchange_t *exchange)
{
	exchange->store = NULL;
	g_cancellable_cancel(exchange->cancellable);
}
