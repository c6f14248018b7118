#include "member/member.h"

#include "member/view.h"

#include <string.h>

#define TICK_US (250 * USEC_PER_MSEC)
#define HEARTBEAT_INTERVAL_US USEC_PER_SEC

void member_post(member_t *member, svc_t to, msg_t *msg)
{
	kernel_post(member->kernel, member->svc, to, msg);
}

call_t *member_call(member_t *member, call_kind_t kind, msg_t *msg)
{
	call_t *call;
	handle_t self = table_add(&member->calls, (void **)&call);

	call->self = self;
	call->kind = kind;
	call->sent_at = kernel_now(member->kernel);
	msg->id = self;
	member_post(member, member->store, msg);
	return call;
}

static void handle_store_result(member_t *member, handle_t ref,
				const store_result_t *result)
{
	call_t *found = table_get(&member->calls, ref);
	call_t call;

	if (found == NULL || result == NULL)
		return;
	call = *found;
	switch (call.kind) {
	case CALL_LIST_MEMBERS:
	case CALL_LIST_ALIVE:
		member_sync_list_result(member, found, result);
		/* The following pages arrive as results of the same call. */
		if (result->status == STORE_OK && result->more)
			return;
		break;
	case CALL_CONFIRM:
		member_expiry_confirm_result(member, &call, result);
		break;
	case CALL_LEAVE:
	case CALL_REVOKE:
		member_lease_stop_result(member, &call, result);
		break;
	default:
		member_lease_result(member, &call, result);
		break;
	}
	table_remove(&member->calls, ref);
}

static void connect_seeds(member_t *member)
{
	const member_info_t *self = &member->opts.self;

	for (uint32_t i = 0; i < member->opts.seed_count; i++) {
		const member_seed_t *seed = &member->opts.seeds[i];
		msg_t msg = {.kind = MSG_PEER_CONNECT};

		if (strcmp(seed->host, self->host) == 0 &&
		    seed->port == self->peer_port)
			continue;
		g_strlcpy(msg.u.peer_addr.host, seed->host,
			  sizeof(msg.u.peer_addr.host));
		msg.u.peer_addr.port = seed->port;
		member_post(member, member->peer, &msg);
	}
}

static void start(member_t *member)
{
	kernel_t *kernel = member->kernel;
	msg_t msg = {.kind = MSG_CONF_SUBSCRIBE};

	member->store = kernel_find(kernel, "store");
	member->peer = kernel_find(kernel, "peer");
	member->conf = kernel_find(kernel, "conf");
	member->ledger = kernel_find(kernel, "ledger");
	member->claims = kernel_find(kernel, "claims");
	member->router = kernel_find(kernel, "router");
	member_post(member, member->conf, &msg);
	connect_seeds(member);
	member_sync_tick(member);
	member_lease_tick(member);
	kernel_timer(kernel, member->svc, TICK_US, HANDLE_NONE, 0);
}

static void tick(member_t *member)
{
	int64_t now = kernel_now(member->kernel);

	member_lease_tick(member);
	if (!member->stopping) {
		member_sync_tick(member);
		if (now >= member->heartbeat_at) {
			member->heartbeat_at = now + HEARTBEAT_INTERVAL_US;
			member_ring_send_heartbeats(member);
			member_view_prune(member);
		}
		member_buddy_tick(member);
		member_expiry_tick(member);
	}
	member_view_publish(member);
	if (!member->stopped)
		kernel_timer(member->kernel, member->svc, TICK_US, HANDLE_NONE,
			     0);
}

/*
 * Forwards the heartbeat to "conf", which compares the sender's
 * configuration revision with its own to decide whether to fetch.
 */
static void handle_heartbeat(member_t *member, msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	msg_t forward = {.kind = MSG_PEER_RECEIVED};

	if (strcmp(body->u.heartbeat.self.incarnation,
		   msg->u.peer.incarnation) != 0)
		return;
	member_view_merge(member, &body->u.heartbeat.self, true);
	for (guint i = 0; i < body->u.heartbeat.members->len; i++)
		member_view_merge(member,
				  &g_array_index(body->u.heartbeat.members,
						 member_info_t, i),
				  false);
	forward.u.peer = msg->u.peer;
	msg->u.peer.body = NULL;
	member_post(member, member->conf, &forward);
}

static void handle_peer_message(member_t *member, msg_t *msg)
{
	entry_t *entry;

	if (msg->u.peer.body == NULL)
		return;
	switch (msg->u.peer.body->kind) {
	case PEER_HEARTBEAT:
		handle_heartbeat(member, msg);
		break;
	case PEER_LEAVE:
		entry = member_view_find(member, msg->u.peer.incarnation);
		if (entry != NULL)
			entry->left = true;
		break;
	default:
		break;
	}
}

static void handle_connection_change(member_t *member, const msg_t *msg,
				     bool up)
{
	int64_t now = kernel_now(member->kernel);
	entry_t *entry;

	entry = up ? member_view_find_or_add(member,
					     msg->u.peer_addr.incarnation)
		   : member_view_find(member, msg->u.peer_addr.incarnation);
	if (entry == NULL || entry->is_self)
		return;
	if (entry->connected && !up) {
		/*
		 * The connection was probed until it was reported as down, so
		 * the member was heard 3 s ago at most.
		 */
		entry->last_heard_direct =
			MAX(entry->last_heard_direct, now - SUSPECT_AFTER_US);
		entry->last_heard =
			MAX(entry->last_heard, entry->last_heard_direct);
	}
	entry->connected = up;
	if (!up || member->stopping)
		return;
	if (entry->info.host[0] == '\0') {
		g_strlcpy(entry->info.host, msg->u.peer_addr.host,
			  sizeof(entry->info.host));
		entry->info.peer_port = msg->u.peer_addr.port;
	}
	/* Lets the member learn of this router before the next heartbeats. */
	member_ring_send_heartbeat(member, entry);
}

static void subscribe(member_t *member, svc_t svc)
{
	if (member->subscriber_count < MEMBER_SUBSCRIBERS_MAX) {
		member->subscribers[member->subscriber_count++] = svc;
		member->view_changed = true;
	}
}

static void receive(void *self, msg_t *msg)
{
	member_t *member = self;

	switch (msg->kind) {
	case MSG_START:
		start(member);
		break;
	case MSG_STOP:
		member_lease_stop(member);
		break;
	case MSG_TIMER:
		tick(member);
		break;
	case MSG_STORE_RESULT:
		handle_store_result(member, msg->ref, msg->u.store_result);
		break;
	case MSG_STORE_EVENT:
		if (msg->u.store_result != NULL)
			member_sync_apply(member, msg->u.store_result, 0);
		break;
	case MSG_CONF_CHANGED:
		if (msg->u.conf != NULL)
			member->conf_revision = msg->u.conf->revision;
		break;
	case MSG_PEER_RECEIVED:
		handle_peer_message(member, msg);
		break;
	case MSG_PEER_UP:
	case MSG_PEER_DOWN:
		handle_connection_change(member, msg, msg->kind == MSG_PEER_UP);
		break;
	case MSG_MEMBER_SUBSCRIBE:
		subscribe(member, msg->from);
		break;
	case MSG_INSTANCES_LISTED:
		if (msg->u.instances != NULL)
			member_expiry_instances(
				member, g_steal_pointer(&msg->u.instances));
		break;
	default:
		break;
	}
}

void member_init(member_t *member, kernel_t *kernel, const member_opts_t *opts)
{
	entry_t *own;

	memset(member, 0, sizeof(*member));
	member->kernel = kernel;
	member->opts = *opts;
	if (member->opts.lease_ttl_s <= 0)
		member->opts.lease_ttl_s = MEMBER_DEFAULT_LEASE_TTL_S;
	member->members.prefix = "member/";
	member->alive.prefix = "alive/";
	table_init(&member->entries, sizeof(entry_t));
	table_init(&member->calls, sizeof(call_t));
	member->by_incarnation = g_hash_table_new(g_str_hash, g_str_equal);
	member->svc = kernel_register(kernel, "member", receive, member);
	own = member_view_find_or_add(member, opts->self.incarnation);
	g_assert(own != NULL);
	own->info = opts->self;
	own->is_self = true;
}

void member_finish(member_t *member)
{
	instance_list_unref(member->instances);
	g_hash_table_unref(member->by_incarnation);
	table_finish(&member->calls);
	table_finish(&member->entries);
	kernel_unregister(member->kernel, member->svc);
}
