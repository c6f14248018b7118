/*
 * Stand-in for the platform's list of live and leaving instances.  POST
 * /test/list replaces the list without checking it; POST /test/mode
 * {"mode":"normal|out"} sets whether requests for the list fail.  A request to
 * any other path returns the list.
 */
#include "tests/fakes/fake.h"

static fake_t fake;
static int port;
static bool unavailable;
static GBytes *instance_list;

static const GOptionEntry options[] = {
	{"port", 0, 0, G_OPTION_ARG_INT, &port, "port, 0 for a free one", "N"},
	G_OPTION_ENTRY_NULL};

static void set_mode(SoupServerMessage *msg)
{
	JsonParser *parser = json_parser_new();
	JsonObject *mode = fake_parse_object(msg, parser);

	if (mode != NULL)
		unavailable = strcmp(json_object_get_string_member_with_default(
					     mode, "mode", "normal"),
				     "out") == 0;
	fake_answer(msg, mode != NULL ? 200 : 400, "text/plain", "", 0);
	g_object_unref(parser);
}

static void handle(SoupServer *server, SoupServerMessage *msg, const char *path,
		   GHashTable *query, gpointer data)
{
	const char *text;
	gsize len;

	(void)server;
	(void)query;
	(void)data;
	if (strcmp(path, "/test/mode") == 0) {
		set_mode(msg);
		return;
	}
	if (strcmp(path, "/test/list") == 0) {
		g_bytes_unref(instance_list);
		instance_list = fake_request_body(msg);
		fake_answer(msg, 200, "text/plain", "", 0);
		return;
	}
	if (unavailable) {
		fake_answer(msg, 503, "text/plain", "out\n", 4);
		return;
	}
	text = g_bytes_get_data(instance_list, &len);
	fake_answer(msg, 200, "application/json", text, len);
}

int main(int argc, char **argv)
{
	static const char empty[] = "{\"revision\":0,\"instances\":[]}";

	instance_list = g_bytes_new_static(empty, sizeof(empty) - 1);
	return fake_main(&fake, argc, argv, &port, options, handle);
}
