#include "kernel/peering.h"

member_list_t *member_list_new(void)
{
	member_list_t *list = g_new0(member_list_t, 1);

	list->refs = 1;
	list->members = g_array_new(FALSE, TRUE, sizeof(member_info_t));
	return list;
}

member_list_t *member_list_ref(member_list_t *list)
{
	list->refs++;
	return list;
}

void member_list_unref(member_list_t *list)
{
	if (list == NULL || --list->refs > 0)
		return;
	g_array_unref(list->members);
	g_free(list);
}

instance_list_t *instance_list_new(void)
{
	instance_list_t *list = g_new0(instance_list_t, 1);

	list->refs = 1;
	list->instances = g_array_new(FALSE, TRUE, sizeof(instance_info_t));
	return list;
}

void instance_list_unref(instance_list_t *list)
{
	if (list == NULL || --list->refs > 0)
		return;
	g_array_unref(list->instances);
	g_free(list);
}

static void clear_store_item(gpointer data)
{
	store_item_t *item = data;

	g_clear_pointer(&item->value, g_bytes_unref);
}

peer_body_t *peer_body_new(peer_kind_t kind)
{
	peer_body_t *body = g_new0(peer_body_t, 1);

	body->kind = kind;
	switch (kind) {
	case PEER_HEARTBEAT:
		body->u.heartbeat.members =
			g_array_new(FALSE, TRUE, sizeof(member_info_t));
		break;
	case PEER_CONF_ITEMS:
		body->u.conf_items.kvs = store_kvs_new();
		break;
	case PEER_BILL_COPY:
		body->u.bill_copy.bills =
			g_array_new(FALSE, TRUE, sizeof(bill_t));
		break;
	case PEER_HOLDINGS:
		body->u.holdings.list =
			g_array_new(FALSE, TRUE, sizeof(holding_t));
		break;
	case PEER_STORE_ITEMS:
		body->u.store_items.items =
			g_array_new(FALSE, TRUE, sizeof(store_item_t));
		g_array_set_clear_func(body->u.store_items.items,
				       clear_store_item);
		break;
	default:
		break;
	}
	return body;
}

void peer_body_free(peer_body_t *body)
{
	if (body == NULL)
		return;
	switch (body->kind) {
	case PEER_HEARTBEAT:
		g_array_unref(body->u.heartbeat.members);
		break;
	case PEER_CONF_ITEMS:
		g_array_unref(body->u.conf_items.kvs);
		break;
	case PEER_BILL_COPY:
		g_array_unref(body->u.bill_copy.bills);
		break;
	case PEER_HOLDINGS:
		g_array_unref(body->u.holdings.list);
		break;
	case PEER_STORE_ITEMS:
		g_array_unref(body->u.store_items.items);
		break;
	default:
		break;
	}
	g_free(body);
}
