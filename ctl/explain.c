/*
 * The command "explain": asks a gateway where a request would go now, and why,
 * without sending it.
 */
#include "ctl/command.h"
#include "ctl/out.h"

#include <libsoup/soup.h>
#include <stdio.h>

#define TIMEOUT_S 2

static void add_field(GString *url, const char *name, const char *value)
{
	g_autofree char *escaped = NULL;

	if (value == NULL)
		return;
	escaped = g_uri_escape_string(value, NULL, FALSE);
	g_string_append_printf(url, "%c%s=%s",
			       strchr(url->str, '?') == NULL ? '?' : '&', name,
			       escaped);
}

static char *make_url(const args_t *args)
{
	GString *url = g_string_new("http://");

	g_string_append_printf(url, "%s/explain", args->names[0]);
	add_field(url, "host", args->host);
	add_field(url, "path", args->path);
	add_field(url, "service", args->service);
	add_field(url, "account", args->account);
	add_field(url, "tokens", args->tokens);
	add_field(url, "parts", args->parts);
	return g_string_free(url, FALSE);
}

/* Makes an object of a line of fields, NAME=VALUE. */
static JsonObject *parse_line(const char *line)
{
	JsonObject *object = json_object_new();
	g_auto(GStrv) fields = g_strsplit(line, " ", 0);

	for (guint i = 0; fields[i] != NULL; i++) {
		char *value = strchr(fields[i], '=');

		if (value == NULL)
			continue;
		*value = '\0';
		json_object_set_string_member(object, fields[i], value + 1);
	}
	return object;
}

static void print(const args_t *args, const char *text)
{
	ctl_t ctl = {.json = true};
	JsonArray *array;
	g_auto(GStrv) lines = NULL;

	if (!args->json) {
		fputs(text, stdout);
		return;
	}
	ctl.out = g_string_new(NULL);
	array = json_array_new();
	lines = g_strsplit(text, "\n", 0);
	for (guint i = 0; lines[i] != NULL; i++)
		if (lines[i][0] != '\0')
			json_array_add_object_element(array,
						      parse_line(lines[i]));
	ctl_print_array(&ctl, array);
	fputs(ctl.out->str, stdout);
	g_string_free(ctl.out, TRUE);
}

ctl_status_t explain_run(const args_t *args, errmsg_t *err)
{
	SoupSession *session = soup_session_new();
	g_autofree char *url = make_url(args);
	SoupMessage *msg = soup_message_new("GET", url);
	ctl_status_t status = CTL_USAGE;
	g_autofree char *text = NULL;
	GBytes *bytes = NULL;

	if (msg == NULL) {
		errmsg_set(err, "%.80s is no address", args->names[0]);
		goto out;
	}
	soup_session_set_timeout(session, TIMEOUT_S);
	status = CTL_FAILED;
	bytes = soup_session_send_and_read(session, msg, NULL, NULL);
	if (bytes == NULL) {
		errmsg_set(err, "no gateway answers at %.80s", args->names[0]);
		goto out;
	}
	text = g_strndup(g_bytes_get_data(bytes, NULL),
			 g_bytes_get_size(bytes));
	if (soup_message_get_status(msg) == SOUP_STATUS_OK) {
		print(args, text);
		status = CTL_OK;
	} else if (soup_message_get_status(msg) == SOUP_STATUS_BAD_REQUEST) {
		errmsg_set(err, "%s", g_strchomp(text));
		status = CTL_USAGE;
	} else {
		errmsg_set(err, "%.80s answers with status %u", args->names[0],
			   (unsigned)soup_message_get_status(msg));
	}
out:
	if (bytes != NULL)
		g_bytes_unref(bytes);
	g_clear_object(&msg);
	g_object_unref(session);
	return status;
}
