#include "ctl/out.h"

#include <stdarg.h>
#include <string.h>

static char *value_to_text(JsonNode *node)
{
	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING)
		return g_strdup(json_node_get_string(node));
	return json_to_string(node, FALSE);
}

static void print_object(GString *out, JsonObject *object)
{
	g_autoptr(GList) names = json_object_get_members(object);

	for (GList *l = names; l != NULL; l = l->next) {
		g_autofree char *text =
			value_to_text(json_object_get_member(object, l->data));

		g_string_append_printf(out, "%-20s %s\n", (char *)l->data,
				       text);
	}
}

static void print_row(GString *out, GList *names, const guint *widths,
		      JsonObject *object)
{
	guint column = 0;

	for (GList *l = names; l != NULL; l = l->next, column++) {
		g_autofree char *text = NULL;

		if (object == NULL)
			text = g_strdup(l->data);
		else if (json_object_has_member(object, l->data))
			text = value_to_text(
				json_object_get_member(object, l->data));
		g_string_append_printf(out, "%-*s%s", (int)widths[column],
				       text == NULL ? "-" : text,
				       l->next == NULL ? "\n" : "  ");
	}
}

/* Widens the columns to fit their headings and the values of the row. */
static void widen_columns(guint *widths, GList *names, JsonObject *row)
{
	guint column = 0;

	for (GList *l = names; l != NULL; l = l->next, column++) {
		g_autofree char *text = NULL;

		if (json_object_has_member(row, l->data))
			text = value_to_text(
				json_object_get_member(row, l->data));
		if (text != NULL)
			widths[column] =
				MAX(widths[column], (guint)strlen(text));
		widths[column] = MAX(widths[column], (guint)strlen(l->data));
	}
}

static void print_table(GString *out, JsonArray *array)
{
	GList *names;
	guint *widths;
	guint rows = json_array_get_length(array);

	if (rows == 0) {
		g_string_append(out, "none\n");
		return;
	}
	names = json_object_get_members(
		json_array_get_object_element(array, 0));
	widths = g_new0(guint, g_list_length(names) + 1);
	for (guint i = 0; i < rows; i++)
		widen_columns(widths, names,
			      json_array_get_object_element(array, i));
	print_row(out, names, widths, NULL);
	for (guint i = 0; i < rows; i++)
		print_row(out, names, widths,
			  json_array_get_object_element(array, i));
	g_free(widths);
	g_list_free(names);
}

void ctl_print(ctl_t *ctl, JsonNode *node)
{
	g_autofree char *text = NULL;

	if (ctl->json) {
		text = json_to_string(node, TRUE);
		g_string_append_printf(ctl->out, "%s\n", text);
	} else if (JSON_NODE_HOLDS_ARRAY(node)) {
		print_table(ctl->out, json_node_get_array(node));
	} else {
		print_object(ctl->out, json_node_get_object(node));
	}
	json_node_unref(node);
}

void ctl_print_object(ctl_t *ctl, JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, object);
	ctl_print(ctl, node);
}

void ctl_print_array(ctl_t *ctl, JsonArray *array)
{
	JsonNode *node = json_node_new(JSON_NODE_ARRAY);

	json_node_take_array(node, array);
	ctl_print(ctl, node);
}

void ctl_print_message(ctl_t *ctl, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	JsonObject *object;
	JsonNode *node;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (!ctl->json) {
		g_string_append_printf(ctl->out, "%s\n", text);
		return;
	}
	object = json_object_new();
	json_object_set_string_member(object, "result", text);
	node = json_node_alloc();
	json_node_init_object(node, object);
	json_object_unref(object);
	ctl_print(ctl, node);
}

static void describe_client_account(JsonObject *object,
				    const record_client_account_t *record)
{
	GString *keys = g_string_new(NULL);

	/* A hash prefix identifies an API key without revealing it. */
	for (uint32_t i = 0; i < record->key_count; i++)
		g_string_append_printf(keys, "%s%.12s:%s", i == 0 ? "" : " ",
				       record->keys[i].hash,
				       record->keys[i].budget);
	json_object_set_string_member(object, "client_account", record->name);
	json_object_set_string_member(
		object, "state", record->disabled ? "disabled" : "enabled");
	json_object_set_int_member(object, "weight", record->weight);
	json_object_set_int_member(object, "max_requests",
				   record->max_requests);
	json_object_set_string_member(object, "keys", keys->str);
	g_string_free(keys, TRUE);
}

static void describe_service(JsonObject *object, const record_service_t *record)
{
	json_object_set_string_member(object, "service", record->name);
	json_object_set_string_member(object, "kind",
				      record->kind == SERVICE_MODEL ? "model"
								    : "plain");
	json_object_set_string_member(object, "path_prefix",
				      record->path_prefix);
	json_object_set_boolean_member(object, "idempotent",
				       record->idempotent);
	json_object_set_boolean_member(object, "hedge", record->hedge);
	json_object_set_int_member(object, "deadline_ms", record->deadline_ms);
	json_object_set_int_member(object, "first_byte_ms",
				   record->first_byte_ms);
	json_object_set_int_member(object, "idle_ms", record->idle_ms);
	json_object_set_int_member(object, "max_tokens", record->max_tokens);
	json_object_set_int_member(object, "call_tokens", record->call_tokens);
	json_object_set_int_member(object, "short_tokens",
				   record->short_tokens);
	json_object_set_int_member(object, "max_body", record->max_body);
}

static void describe_target(JsonObject *object, const record_target_t *record)
{
	g_autofree char *address =
		g_strdup_printf("%s:%u", record->host, record->port);

	json_object_set_string_member(object, "target", record->name);
	json_object_set_string_member(object, "service", record->service);
	json_object_set_string_member(object, "address", address);
	json_object_set_string_member(object, "availability_zone",
				      record->availability_zone);
	json_object_set_int_member(object, "concurrency", record->concurrency);
	json_object_set_string_member(object, "state",
				      record->draining ? "draining" : "open");
	json_object_set_boolean_member(object, "checks_fencing",
				       record->checks_fencing);
}

/* Strips the type of record from a key: "grant/A/B" becomes "A/B". */
static const char *skip_key_type(const char *key)
{
	const char *slash = strchr(key, '/');

	return slash == NULL ? key : slash + 1;
}

static void describe_budget(JsonObject *object, const char *key,
			    const record_budget_t *record)
{
	json_object_set_string_member(object, "budget", skip_key_type(key));
	json_object_set_int_member(object, "tokens", record->budget);
	json_object_set_int_member(object, "granted", record->granted);
	json_object_set_int_member(object, "unallocated",
				   record->budget - record->granted);
	json_object_set_int_member(object, "spent_in_closed_grants",
				   record->retired);
}

static void describe_grant(JsonObject *object, const char *key,
			   const record_grant_t *record)
{
	json_object_set_string_member(object, "grant", skip_key_type(key));
	json_object_set_int_member(object, "granted", record->granted);
	json_object_set_int_member(object, "settled", record->settled);
	json_object_set_int_member(object, "unprotected", record->unprotected);
	json_object_set_boolean_member(object, "recovered", record->recovered);
}

static void describe_member(JsonObject *object, const record_member_t *record)
{
	g_autofree char *peer =
		g_strdup_printf("%s:%u", record->host, record->peer_port);

	json_object_set_string_member(object, "member", record->name);
	json_object_set_string_member(object, "availability_zone",
				      record->availability_zone);
	json_object_set_string_member(object, "incarnation",
				      record->incarnation);
	json_object_set_string_member(object, "peer", peer);
	json_object_set_int_member(object, "admin_port", record->admin_port);
	json_object_set_string_member(object, "buddy", record->buddy);
}

JsonObject *ctl_describe(const store_kv_t *kv)
{
	JsonObject *object = json_object_new();

	switch (kv->record.kind) {
	case RECORD_CLIENT_ACCOUNT:
		describe_client_account(object, &kv->record.u.client_account);
		break;
	case RECORD_SERVICE:
		describe_service(object, &kv->record.u.service);
		break;
	case RECORD_TARGET:
		describe_target(object, &kv->record.u.target);
		break;
	case RECORD_PRESET:
		json_object_set_string_member(
			object, "preset",
			preset_name(kv->record.u.preset.in_force));
		break;
	case RECORD_QUARANTINE:
		json_object_set_string_member(
			object, "fingerprint",
			kv->record.u.quarantine.fingerprint);
		json_object_set_int_member(object, "expires_ms",
					   kv->record.u.quarantine.expires_ms);
		break;
	case RECORD_BUDGET:
		describe_budget(object, kv->key, &kv->record.u.budget);
		break;
	case RECORD_GRANT:
		describe_grant(object, kv->key, &kv->record.u.grant);
		break;
	case RECORD_MEMBER:
		describe_member(object, &kv->record.u.member);
		break;
	default:
		json_object_set_string_member(object, "key", kv->key);
		break;
	}
	json_object_set_int_member(object, "revision", kv->revision);
	return object;
}
