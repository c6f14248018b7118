#include "kernel/msg.h"

#include <string.h>

request_spec_t *request_spec_new(void)
{
	return g_new0(request_spec_t, 1);
}

void request_spec_free(request_spec_t *spec)
{
	if (spec == NULL)
		return;
	if (spec->body != NULL)
		g_bytes_unref(spec->body);
	g_free(spec);
}

/* Frees the payload of a kind that only the gateway's services exchange. */
static void clear_gateway_msg(msg_t *msg)
{
	switch (msg->kind) {
	case MSG_EXCHANGE_OPEN:
		g_clear_pointer(&msg->u.exchange, exchange_spec_free);
		break;
	case MSG_EXPLAIN:
		g_clear_pointer(&msg->u.explain, explain_query_free);
		break;
	case MSG_EXCHANGE_HEAD:
		g_clear_pointer(&msg->u.exchange_head.head, http_head_free);
		break;
	case MSG_EXCHANGE_DATA:
	case MSG_OUT_DATA:
		g_clear_pointer(&msg->u.data.bytes, g_bytes_unref);
		break;
	case MSG_OUT_SEND:
		g_clear_pointer(&msg->u.out_send.head, http_head_free);
		g_clear_pointer(&msg->u.out_send.body, g_bytes_unref);
		break;
	case MSG_OUT_HEAD:
		g_clear_pointer(&msg->u.out_head.head, http_head_free);
		break;
	case MSG_FLEET_CONF:
		g_clear_pointer(&msg->u.fleet_conf, fleet_conf_unref);
		break;
	default:
		break;
	}
}

void msg_clear(msg_t *msg)
{
	switch (msg->kind) {
	case MSG_REQ_OPEN:
		g_clear_pointer(&msg->u.open, request_spec_free);
		break;
	case MSG_REPLY_DATA:
		g_clear_pointer(&msg->u.data.bytes, g_bytes_unref);
		break;
	case MSG_CLAIM_RESULT:
		outcome_clear(&msg->u.claimed.outcome);
		break;
	case MSG_CLAIM_DONE:
		outcome_clear(&msg->u.claim_done.outcome);
		break;
	case MSG_SEND:
		g_clear_pointer(&msg->u.send.body, g_bytes_unref);
		break;
	case MSG_TARGET_DATA:
		g_clear_pointer(&msg->u.target_data.bytes, g_bytes_unref);
		break;
	case MSG_STORE_TXN:
		g_clear_pointer(&msg->u.store_txn, store_txn_free);
		break;
	case MSG_STORE_RESULT:
	case MSG_STORE_EVENT:
		g_clear_pointer(&msg->u.store_result, store_result_free);
		break;
	case MSG_CONF_CHANGED:
		g_clear_pointer(&msg->u.conf, conf_snapshot_unref);
		break;
	case MSG_PEER_SEND:
	case MSG_PEER_RECEIVED:
	case MSG_STORE_DECODE:
		g_clear_pointer(&msg->u.peer.body, peer_body_free);
		break;
	case MSG_MEMBER_CHANGED:
		g_clear_pointer(&msg->u.members, member_list_unref);
		break;
	case MSG_INSTANCES_LISTED:
		g_clear_pointer(&msg->u.instances, instance_list_unref);
		break;
	default:
		clear_gateway_msg(msg);
		break;
	}
}
