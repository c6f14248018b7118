/*
 * Commands on orders: tell a target to load or unload a model or to take a
 * role, and list the orders with their state.
 */
#include "ctl/command.h"
#include "ctl/records.h"

#include <string.h>

static bool parse_subject(const char *text, record_order_t *order)
{
	g_auto(GStrv) parts = g_strsplit(text, "@", 2);
	const char *version = parts[0] == NULL ? NULL : parts[1];

	if (parts[0] == NULL || !name_is_valid(parts[0]))
		return false;
	if (version != NULL &&
	    (order->kind != ORDER_LOAD || !name_is_valid(version)))
		return false;
	g_strlcpy(order->subject, parts[0], sizeof(order->subject));
	g_strlcpy(order->version, version == NULL ? "" : version,
		  sizeof(order->version));
	return true;
}

/*
 * Stores an order with the next number.  The write compares the revision that
 * was read, so that each order of a target gets a higher number.
 */
static ctl_status_t put_order(ctl_t *ctl, const record_order_t *order)
{
	char key[STORE_KEY_SIZE];
	record_t record = {.kind = RECORD_ORDER};
	store_kv_t kv;
	ctl_status_t status;

	g_snprintf(key, sizeof(key), "conf/order/%s", order->target);
	status = ctl_get(ctl, key, &kv);
	if (status != CTL_OK)
		goto out;
	record.u.order = *order;
	record.u.order.op = ctl->op;
	if (kv.record.kind == RECORD_ORDER) {
		record.u.order.number = kv.record.u.order.number;
		/* The order with this operation id is stored already. */
		if (op_id_equal(&kv.record.u.order.op, &ctl->op))
			goto stored;
	}
	record.u.order.number++;
	status = ctl_put(ctl, key, kv.revision, &record);
stored:
	if (status == CTL_OK)
		ctl_print_message(
			ctl, "order %" G_GINT64_FORMAT " for target %s stored",
			record.u.order.number, order->target);
out:
	record_clear(&kv.record);
	return status;
}

static ctl_status_t create_order(ctl_t *ctl, const args_t *args)
{
	const char *name = args->names[0];
	record_order_t order = {0};
	store_kv_t kv;
	ctl_status_t status = ctl_check_name(ctl, name);

	if (status != CTL_OK)
		return status;
	g_strlcpy(order.target, name, sizeof(order.target));
	if (!order_kind_parse(args->names[1], &order.kind)) {
		errmsg_set(&ctl->err,
			   "%.40s is not allowed, expected load, unload or "
			   "role",
			   args->names[1]);
		return CTL_USAGE;
	}
	if (!parse_subject(args->names[2], &order)) {
		errmsg_set(&ctl->err, "%s: %.80s is not allowed, expected %s",
			   args->names[1], args->names[2],
			   order.kind == ORDER_LOAD ? "MODEL or MODEL@VERSION"
						    : "a name");
		return CTL_USAGE;
	}
	status = ctl_get_named(ctl, RECORD_TARGET, name, &kv);
	record_clear(&kv.record);
	return status == CTL_OK ? put_order(ctl, &order) : status;
}

static const record_order_state_t *find_state(const GArray *kvs,
					      const char *target)
{
	char key[STORE_KEY_SIZE];

	g_snprintf(key, sizeof(key), "order/%s/state", target);
	for (guint i = 0; i < kvs->len; i++) {
		const store_kv_t *kv = &g_array_index(kvs, store_kv_t, i);

		if (strcmp(kv->key, key) == 0 &&
		    kv->record.kind == RECORD_ORDER_STATE)
			return &kv->record.u.order_state;
	}
	return NULL;
}

static JsonObject *describe(const record_order_t *order,
			    const record_order_state_t *state)
{
	JsonObject *object = json_object_new();
	bool reported = state != NULL && state->number >= order->number;

	json_object_set_string_member(object, "target", order->target);
	json_object_set_int_member(object, "number", order->number);
	json_object_set_string_member(object, "order",
				      order_kind_name(order->kind));
	json_object_set_string_member(object, "what", order->subject);
	json_object_set_string_member(object, "version", order->version);
	json_object_set_string_member(
		object, "state",
		order_state_name(reported ? state->state : ORDER_PENDING));
	json_object_set_string_member(object, "message",
				      reported ? state->message : "");
	return object;
}

static ctl_status_t list(ctl_t *ctl)
{
	JsonArray *array = json_array_new();
	GArray *orders = NULL, *states = NULL;
	ctl_status_t status = ctl_list(ctl, "conf/order/", &orders);

	if (status == CTL_OK)
		status = ctl_list(ctl, "order/", &states);
	if (status != CTL_OK)
		goto out;
	for (guint i = 0; i < orders->len; i++) {
		const record_t *record =
			&g_array_index(orders, store_kv_t, i).record;

		if (record->kind == RECORD_ORDER)
			json_array_add_object_element(
				array,
				describe(&record->u.order,
					 find_state(states,
						    record->u.order.target)));
	}
	ctl_print_array(ctl, json_array_ref(array));
out:
	json_array_unref(array);
	g_array_unref(orders);
	g_clear_pointer(&states, g_array_unref);
	return status;
}

ctl_status_t order_run(ctl_t *ctl, const args_t *args)
{
	return args->command == COMMAND_TARGET_ORDERS ? list(ctl)
						      : create_order(ctl, args);
}
