/*
 * The status command: shows routers, targets, budgets, the preset in force and
 * the refusals counted by each router.
 */
#include "ctl/command.h"
#include "ctl/records.h"
#include "kernel/json_depth.h"

#include <libsoup/soup.h>
#include <string.h>

#define ADMIN_TIMEOUT_S 2
#define ADMIN_TOKEN_ENV "TANAGERTRESTLE_ADMIN_TOKEN"

static bool is_alive(const GArray *alive, const char *incarnation)
{
	for (guint i = 0; i < alive->len; i++) {
		const store_kv_t *kv = &g_array_index(alive, store_kv_t, i);

		if (kv->record.kind == RECORD_ALIVE &&
		    strcmp(kv->record.u.alive.incarnation, incarnation) == 0)
			return true;
	}
	return false;
}

/* Adds the records under a prefix as an array member of the object. */
static ctl_status_t add_section(ctl_t *ctl, JsonObject *object,
				const char *name, const char *prefix)
{
	JsonArray *rows = json_array_new();
	ctl_status_t status = ctl_add_rows(ctl, prefix, rows);

	json_object_set_array_member(object, name, rows);
	return status;
}

static ctl_status_t add_members(ctl_t *ctl, JsonObject *object)
{
	JsonArray *rows = json_array_new();
	GArray *members = NULL;
	GArray *alive = NULL;
	ctl_status_t status = ctl_list(ctl, "member/", &members);

	if (status == CTL_OK)
		status = ctl_list(ctl, "alive/", &alive);
	for (guint i = 0; i < members->len && status == CTL_OK; i++) {
		const store_kv_t *kv = &g_array_index(members, store_kv_t, i);
		JsonObject *row;

		if (kv->record.kind != RECORD_MEMBER)
			continue;
		row = ctl_describe(kv);
		json_object_set_string_member(
			row, "state",
			is_alive(alive, kv->record.u.member.incarnation)
				? "alive"
				: "dead");
		json_array_add_object_element(rows, row);
	}
	json_object_set_array_member(object, "members", rows);
	g_array_unref(members);
	if (alive != NULL)
		g_array_unref(alive);
	return status;
}

static void print_sections(ctl_t *ctl, JsonObject *object)
{
	g_autoptr(GList) names = json_object_get_members(object);

	for (GList *l = names; l != NULL; l = l->next) {
		g_string_append_printf(ctl->out, "%s%s:\n",
				       l == names ? "" : "\n", (char *)l->data);
		ctl_print(ctl, json_node_copy(json_object_get_member(object,
								     l->data)));
	}
}

/*
 * Reads a router's status from its admin port.  Returns NULL if the router does
 * not answer.
 */
static JsonNode *fetch_status(SoupSession *session, JsonObject *member)
{
	const char *peer = json_object_get_string_member(member, "peer");
	const char *colon = strrchr(peer, ':');
	const char *token = g_getenv(ADMIN_TOKEN_ENV);
	g_autofree char *url = g_strdup_printf(
		"http://%.*s:%" G_GINT64_FORMAT "/status", (int)(colon - peer),
		peer, json_object_get_int_member(member, "admin_port"));
	g_autofree char *header = NULL;
	SoupMessage *msg = soup_message_new("GET", url);
	JsonNode *node = NULL;
	GBytes *bytes;

	if (msg == NULL)
		return NULL;
	if (token != NULL) {
		header = g_strconcat("Bearer ", token, NULL);
		soup_message_headers_append(
			soup_message_get_request_headers(msg), "Authorization",
			header);
	}
	bytes = soup_session_send_and_read(session, msg, NULL, NULL);
	if (bytes != NULL && soup_message_get_status(msg) == SOUP_STATUS_OK) {
		g_autofree char *text = g_strndup(g_bytes_get_data(bytes, NULL),
						  g_bytes_get_size(bytes));

		if (json_depth_ok(text, strlen(text), JSON_DEPTH_MAX))
			node = json_from_string(text, NULL);
	}
	if (bytes != NULL)
		g_bytes_unref(bytes);
	g_object_unref(msg);
	return node;
}

/* Formats "REASON=COUNT" for each reason with a count above zero. */
static char *format_refusals(JsonNode *status)
{
	GString *text = g_string_new(NULL);
	g_autoptr(GList) names = NULL;
	JsonObject *refusals;

	refusals = json_object_get_object_member(json_node_get_object(status),
						 "refusals");
	names = json_object_get_members(refusals);
	for (GList *l = names; l != NULL; l = l->next) {
		gint64 count = json_object_get_int_member(refusals, l->data);

		if (count > 0)
			g_string_append_printf(text, "%s%s=%" G_GINT64_FORMAT,
					       text->len == 0 ? "" : " ",
					       (char *)l->data, count);
	}
	return g_string_free(text, FALSE);
}

static bool has_refusals(JsonNode *status)
{
	JsonNode *refusals;

	if (status == NULL || !JSON_NODE_HOLDS_OBJECT(status))
		return false;
	refusals = json_object_get_member(json_node_get_object(status),
					  "refusals");
	return refusals != NULL && JSON_NODE_HOLDS_OBJECT(refusals);
}

/* Adds a row for each live router: refusals by reason since its start. */
static void add_refusals(JsonObject *object)
{
	JsonArray *members = json_object_get_array_member(object, "members");
	JsonArray *rows = json_array_new();
	SoupSession *session = soup_session_new();

	soup_session_set_timeout(session, ADMIN_TIMEOUT_S);
	for (guint i = 0; i < json_array_get_length(members); i++) {
		JsonObject *member = json_array_get_object_element(members, i);
		JsonObject *row;
		JsonNode *status;
		g_autofree char *text = NULL;

		if (strcmp(json_object_get_string_member(member, "state"),
			   "alive") != 0)
			continue;
		status = fetch_status(session, member);
		if (has_refusals(status))
			text = format_refusals(status);
		row = json_object_new();
		json_object_set_string_member(
			row, "member",
			json_object_get_string_member(member, "member"));
		json_object_set_boolean_member(row, "reached", text != NULL);
		json_object_set_string_member(row, "refusals",
					      text == NULL ? "" : text);
		json_array_add_object_element(rows, row);
		if (status != NULL)
			json_node_unref(status);
	}
	g_object_unref(session);
	json_object_set_array_member(object, "refusals", rows);
}

ctl_status_t status_run(ctl_t *ctl, const args_t *args)
{
	JsonObject *object = json_object_new();
	ctl_status_t status = add_members(ctl, object);

	(void)args;
	if (status == CTL_OK)
		status = add_section(ctl, object, "targets", "conf/target/");
	if (status == CTL_OK)
		status = add_section(ctl, object, "budgets", "budget/");
	if (status == CTL_OK)
		status = add_section(ctl, object, "preset", "conf/preset");
	if (status == CTL_OK)
		add_refusals(object);
	if (status == CTL_OK && !ctl->json) {
		print_sections(ctl, object);
	} else if (status == CTL_OK) {
		ctl_print_object(ctl, json_object_ref(object));
	}
	json_object_unref(object);
	return status;
}
