#include "instances/instances.h"

#include "log/log.h"

#include <string.h>

#define POLL_TIMEOUT_US (3 * USEC_PER_SEC)
#define READ_CHUNK_SIZE 65536 /* bytes */
/*
 * The platform's list lags, so an instance counts as leaving only when every
 * valid list in this time lacked it.  After a gap between valid lists the
 * time of absence starts anew.
 */
#define ABSENCE_TIMEOUT_US (10 * USEC_PER_SEC)
#define LIST_GAP_US (5 * USEC_PER_SEC)
/*
 * A list with a lower revision may come from a lagging replica of the
 * platform and is ignored.  A new platform's revisions may also be lower, so
 * such lists are accepted after this time.
 */
#define OLDER_REVISION_TIMEOUT_US (30 * USEC_PER_SEC)
/* An instance that is absent for this long is removed. */
#define PRUNE_AFTER_US (3600 * USEC_PER_SEC)

typedef struct known_instance_t {
	char host[HOST_SIZE];
	uint16_t port;
	bool leaving; /* state last sent to "route" */
	bool listed; /* present in the list being applied */
	int64_t absent_since; /* 0: listed */
} known_instance_t;

/* A poll may outlive the service, as GIO completes a cancelled call later. */
typedef struct poll_t {
	instances_t *instances; /* NULL after instances_finish() */
	GCancellable *cancellable;
	SoupMessage *msg;
	GInputStream *stream;
	GByteArray *body;
} poll_t;

static void read_more(poll_t *poll);

static void post_leaving(instances_t *instances, known_instance_t *known,
			 bool leaving)
{
	msg_t msg = {.kind = MSG_TARGET_LEAVING};

	known->leaving = leaving;
	g_strlcpy(msg.u.target_leaving.host, known->host,
		  sizeof(msg.u.target_leaving.host));
	msg.u.target_leaving.port = known->port;
	msg.u.target_leaving.leaving = leaving;
	kernel_post(instances->kernel, instances->svc, instances->route, &msg);
}

static void apply_listed(instances_t *instances, const instance_info_t *info)
{
	char key[HOST_SIZE + 8];
	known_instance_t *known;

	g_snprintf(key, sizeof(key), "%s %u", info->host, info->port);
	known = g_hash_table_lookup(instances->known, key);
	if (known == NULL) {
		if (g_hash_table_size(instances->known) >= 2 * INSTANCES_MAX)
			return;
		known = g_new0(known_instance_t, 1);
		g_strlcpy(known->host, info->host, sizeof(known->host));
		known->port = info->port;
		/* Set to the opposite, so that the listed state is sent. */
		known->leaving = !info->leaving;
		g_hash_table_insert(instances->known, g_strdup(key), known);
	}
	known->listed = true;
	known->absent_since = 0;
	if (known->leaving != info->leaving)
		post_leaving(instances, known, info->leaving);
}

static gboolean apply_absent(gpointer key, gpointer value, gpointer data)
{
	instances_t *instances = data;
	known_instance_t *known = value;
	int64_t now = kernel_now(instances->kernel);

	(void)key;
	if (known->listed) {
		known->listed = false;
		return FALSE;
	}
	if (known->absent_since == 0 ||
	    now - instances->last_list_at > LIST_GAP_US)
		known->absent_since = now;
	if (!known->leaving && now - known->absent_since >= ABSENCE_TIMEOUT_US)
		post_leaving(instances, known, true);
	return now - known->absent_since >= PRUNE_AFTER_US;
}

static bool is_outdated(instances_t *instances, const instance_list_t *list)
{
	int64_t now = kernel_now(instances->kernel);

	if (list->revision >= instances->revision) {
		instances->older_since = 0;
		return false;
	}
	if (instances->older_since == 0)
		instances->older_since = now;
	if (now - instances->older_since < OLDER_REVISION_TIMEOUT_US)
		return true;
	instances->older_since = 0;
	return false;
}

static void apply_list(instances_t *instances, instance_list_t *list)
{
	msg_t msg = {.kind = MSG_INSTANCES_LISTED};

	if (is_outdated(instances, list)) {
		instance_list_unref(list);
		return;
	}
	for (guint i = 0; i < list->instances->len; i++)
		apply_listed(instances, &g_array_index(list->instances,
						       instance_info_t, i));
	g_hash_table_foreach_remove(instances->known, apply_absent, instances);
	instances->last_list_at = kernel_now(instances->kernel);
	instances->revision = list->revision;
	msg.u.instances = list;
	kernel_post(instances->kernel, instances->svc, instances->member, &msg);
}

/* Logs the first of successive failures. */
static void report_failure(instances_t *instances, const char *reason)
{
	if (!instances->list_failed)
		log_event(LOG_LEVEL_WARN, "instances", "list_failed",
			  "reason=%s", log_quote(reason));
	instances->list_failed = true;
}

static void finish_poll(poll_t *poll, const char *reason)
{
	instances_t *instances = poll->instances;
	instance_list_t *list = NULL;

	if (instances == NULL)
		goto out;
	instances->poll = NULL;
	if (reason == NULL) {
		list = instances_parse((const char *)poll->body->data,
				       poll->body->len, &instances->err);
		reason = instances->err.text;
	}
	if (list == NULL) {
		report_failure(instances, reason);
		goto out;
	}
	instances->list_failed = false;
	apply_list(instances, list);
out:
	g_clear_object(&poll->stream);
	g_object_unref(poll->cancellable);
	g_object_unref(poll->msg);
	g_byte_array_unref(poll->body);
	g_free(poll);
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	poll_t *poll = data;
	GError *error = NULL;
	GBytes *bytes;
	gsize len;

	bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result,
						 &error);
	if (bytes == NULL) {
		finish_poll(poll, error->message);
		g_error_free(error);
		return;
	}
	len = g_bytes_get_size(bytes);
	if (len > 0)
		g_byte_array_append(poll->body, g_bytes_get_data(bytes, NULL),
				    (guint)len);
	g_bytes_unref(bytes);
	if (len == 0)
		finish_poll(poll, NULL);
	else if (poll->body->len > INSTANCES_BODY_MAX)
		finish_poll(poll, "response body is too large");
	else
		read_more(poll);
}

static void read_more(poll_t *poll)
{
	g_input_stream_read_bytes_async(poll->stream, READ_CHUNK_SIZE,
					G_PRIORITY_DEFAULT, poll->cancellable,
					on_read, poll);
}

static void on_sent(GObject *source, GAsyncResult *result, gpointer data)
{
	poll_t *poll = data;
	GError *error = NULL;

	poll->stream =
		soup_session_send_finish(SOUP_SESSION(source), result, &error);
	if (poll->stream == NULL) {
		finish_poll(poll, error->message);
		g_error_free(error);
	} else if (soup_message_get_status(poll->msg) != SOUP_STATUS_OK) {
		finish_poll(poll, "HTTP status is not 200");
	} else {
		read_more(poll);
	}
}

static void start_poll(instances_t *instances)
{
	poll_t *poll;
	SoupMessage *msg = soup_message_new("GET", instances->url);

	if (msg == NULL) {
		report_failure(instances, "URL is malformed");
		return;
	}
	poll = g_new0(poll_t, 1);
	poll->instances = instances;
	poll->cancellable = g_cancellable_new();
	poll->msg = msg;
	poll->body = g_byte_array_new();
	instances->poll = poll;
	instances->poll_deadline =
		kernel_now(instances->kernel) + POLL_TIMEOUT_US;
	soup_session_send_async(instances->session, msg, G_PRIORITY_DEFAULT,
				poll->cancellable, on_sent, poll);
}

static void tick(instances_t *instances)
{
	int64_t now = kernel_now(instances->kernel);

	if (instances->poll == NULL)
		start_poll(instances);
	else if (now >= instances->poll_deadline)
		g_cancellable_cancel(instances->poll->cancellable);
	kernel_timer(instances->kernel, instances->svc, instances->interval_us,
		     HANDLE_NONE, 0);
}

static void receive(void *self, msg_t *msg)
{
	instances_t *instances = self;

	switch (msg->kind) {
	case MSG_START:
		instances->route = kernel_find(instances->kernel, "route");
		instances->member = kernel_find(instances->kernel, "member");
		if (instances->url != NULL)
			tick(instances);
		break;
	case MSG_TIMER:
		tick(instances);
		break;
	default:
		break;
	}
}

void instances_init(instances_t *instances, kernel_t *kernel,
		    const instances_opts_t *opts)
{
	int64_t interval_ms = opts->interval_ms > 0
				      ? opts->interval_ms
				      : INSTANCES_DEFAULT_INTERVAL_MS;

	memset(instances, 0, sizeof(*instances));
	instances->kernel = kernel;
	instances->interval_us = interval_ms * USEC_PER_MSEC;
	if (opts->url != NULL && opts->url[0] != '\0')
		instances->url = g_strdup(opts->url);
	instances->session = soup_session_new();
	instances->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	instances->svc =
		kernel_register(kernel, "instances", receive, instances);
}

void instances_finish(instances_t *instances)
{
	if (instances->poll != NULL) {
		instances->poll->instances = NULL;
		g_cancellable_cancel(instances->poll->cancellable);
	}
	soup_session_abort(instances->session);
	g_object_unref(instances->session);
	g_hash_table_unref(instances->known);
	g_free(instances->url);
	kernel_unregister(instances->kernel, instances->svc);
}
