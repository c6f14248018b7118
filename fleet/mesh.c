#include "fleet/mesh.h"

#include "log/log.h"

#include <string.h>

#define ADDRESS_SIZE (HOST_SIZE + 8) /* bytes, with terminator */
#define TICK_US USEC_PER_SEC
/*
 * Members in one gossip message, from a random one on.  Sending all members
 * to each new peer would saturate the links when a fleet starts, and a few
 * members from each peer suffice to discover all.
 */
#define GOSSIP_MEMBERS_MAX 8
/*
 * An instance that was disconnected for this long is no longer counted, so
 * that the others take over its share of divided limits.
 */
#define MEMBER_TIMEOUT_US (60 * USEC_PER_SEC)

typedef struct mesh_member_t {
	member_info_t info;
	bool connected;
	bool left; /* announced a planned stop */
	int64_t last_connected; /* monotonic, us: last known to be connected */
} mesh_member_t;

static void format_address(const char *host, uint16_t port,
			   char address[ADDRESS_SIZE])
{
	g_snprintf(address, ADDRESS_SIZE, "%s:%u", host, port);
}

static void connect_to(mesh_t *mesh, const char *host, uint16_t port)
{
	msg_t msg = {.kind = MSG_PEER_CONNECT};

	if (strcmp(host, mesh->self.host) == 0 && port == mesh->self.peer_port)
		return;
	g_strlcpy(msg.u.peer_addr.host, host, sizeof(msg.u.peer_addr.host));
	msg.u.peer_addr.port = port;
	kernel_post(mesh->kernel, mesh->svc, mesh->peer, &msg);
}

static void disconnect_from(mesh_t *mesh, const mesh_member_t *member)
{
	msg_t msg = {.kind = MSG_PEER_DISCONNECT};

	g_strlcpy(msg.u.peer_addr.host, member->info.host,
		  sizeof(msg.u.peer_addr.host));
	msg.u.peer_addr.port = member->info.peer_port;
	kernel_post(mesh->kernel, mesh->svc, mesh->peer, &msg);
}

static mesh_member_t *find_or_add(mesh_t *mesh, const char *host, uint16_t port)
{
	char address[ADDRESS_SIZE];
	mesh_member_t *member;

	format_address(host, port, address);
	member = g_hash_table_lookup(mesh->members, address);
	if (member != NULL)
		return member;
	member = g_new0(mesh_member_t, 1);
	g_strlcpy(member->info.host, host, sizeof(member->info.host));
	member->info.peer_port = port;
	member->last_connected = kernel_now(mesh->kernel);
	g_hash_table_insert(mesh->members, g_strdup(address), member);
	connect_to(mesh, host, port);
	return member;
}

static void update_size(mesh_t *mesh)
{
	msg_t msg = {.kind = MSG_FLEET_SIZE};
	uint32_t instances = 1;
	uint32_t up = 0;
	GHashTableIter iter;
	gpointer data;

	g_hash_table_iter_init(&iter, mesh->members);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const mesh_member_t *member = data;

		instances += !member->left;
		up += member->connected;
	}
	metrics_set(mesh->kernel->metrics, GAUGE_PEERS, up);
	if (instances == mesh->instances)
		return;
	mesh->instances = instances;
	metrics_set(mesh->kernel->metrics, GAUGE_MEMBERS_ALIVE, instances);
	log_event(LOG_LEVEL_INFO, "member", "size", "instances=%u up=%u",
		  instances, up);
	msg.u.fleet_size.instances = instances;
	kernel_post(mesh->kernel, mesh->svc, mesh->fleet, &msg);
}

/* Sends a peer this instance's data and some of the connected members. */
static void send_gossip(mesh_t *mesh, const char *incarnation)
{
	peer_body_t *body = peer_body_new(PEER_HEARTBEAT);
	g_autoptr(GList) all = g_hash_table_get_values(mesh->members);
	guint count = g_hash_table_size(mesh->members);
	const GList *link = NULL;

	body->u.heartbeat.self = mesh->self;
	if (count > 0)
		link = g_list_nth(
			all, (guint)kernel_random_below(mesh->kernel, count));
	for (guint i = 0;
	     i < count && body->u.heartbeat.members->len < GOSSIP_MEMBERS_MAX;
	     i++) {
		const mesh_member_t *member = link->data;

		if (member->connected)
			g_array_append_val(body->u.heartbeat.members,
					   member->info);
		link = link->next != NULL ? link->next : all;
	}
	kernel_post_peer(mesh->kernel, mesh->svc, mesh->peer, incarnation,
			 body);
}

static void peer_up(mesh_t *mesh, const msg_t *msg)
{
	mesh_member_t *member =
		find_or_add(mesh, msg->u.peer_addr.host, msg->u.peer_addr.port);

	g_strlcpy(member->info.incarnation, msg->u.peer_addr.incarnation,
		  sizeof(member->info.incarnation));
	member->connected = true;
	member->left = false;
	member->last_connected = kernel_now(mesh->kernel);
	send_gossip(mesh, msg->u.peer_addr.incarnation);
	update_size(mesh);
}

static void peer_down(mesh_t *mesh, const msg_t *msg)
{
	char address[ADDRESS_SIZE];
	mesh_member_t *member;

	format_address(msg->u.peer_addr.host, msg->u.peer_addr.port, address);
	member = g_hash_table_lookup(mesh->members, address);
	if (member == NULL ||
	    strcmp(member->info.incarnation, msg->u.peer_addr.incarnation) != 0)
		return;
	member->connected = false;
	member->last_connected = kernel_now(mesh->kernel);
	update_size(mesh);
}

static void handle_peer_message(mesh_t *mesh, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	GHashTableIter iter;
	gpointer data;

	if (body->kind == PEER_HEARTBEAT) {
		for (guint i = 0; i < body->u.heartbeat.members->len; i++) {
			const member_info_t *info = &g_array_index(
				body->u.heartbeat.members, member_info_t, i);

			if (strcmp(info->host, mesh->self.host) != 0)
				find_or_add(mesh, info->host, info->peer_port);
		}
	} else if (body->kind == PEER_LEAVE) {
		g_hash_table_iter_init(&iter, mesh->members);
		while (g_hash_table_iter_next(&iter, NULL, &data)) {
			mesh_member_t *member = data;

			if (strcmp(member->info.incarnation,
				   msg->u.peer.incarnation) == 0)
				member->left = true;
		}
	}
	update_size(mesh);
}

static bool is_seed(const mesh_t *mesh, const char *address)
{
	for (guint i = 0; i < mesh->seeds.count; i++)
		if (strcmp(mesh->seeds.items[i], address) == 0)
			return true;
	return false;
}

/* Spreads members that earlier gossip has not reached yet. */
static void gossip_to_random_peer(mesh_t *mesh)
{
	g_autoptr(GList) all = g_hash_table_get_values(mesh->members);
	guint count = g_hash_table_size(mesh->members);
	const mesh_member_t *member;

	if (count == 0)
		return;
	member = g_list_nth_data(
		all, (guint)kernel_random_below(mesh->kernel, count));
	if (member->connected)
		send_gossip(mesh, member->info.incarnation);
}

static void tick(mesh_t *mesh)
{
	int64_t now = kernel_now(mesh->kernel);
	GHashTableIter iter;
	gpointer key, data;

	g_hash_table_iter_init(&iter, mesh->members);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		const mesh_member_t *member = data;

		if (member->connected ||
		    now - member->last_connected < MEMBER_TIMEOUT_US)
			continue;
		/*
		 * "peer" keeps trying to connect to a seed, because a restarted
		 * seed knows no other instance.
		 */
		if (!is_seed(mesh, key))
			disconnect_from(mesh, member);
		g_hash_table_iter_remove(&iter);
	}
	gossip_to_random_peer(mesh);
	update_size(mesh);
	kernel_timer(mesh->kernel, mesh->svc, TICK_US, HANDLE_NONE, 0);
}

static void start(mesh_t *mesh)
{
	char host[HOST_SIZE];
	uint16_t port;

	mesh->peer = kernel_find(mesh->kernel, "peer");
	mesh->fleet = kernel_find(mesh->kernel, "fleet");
	for (guint i = 0; i < mesh->seeds.count; i++)
		if (settings_parse_address(mesh->seeds.items[i], host,
					   sizeof(host), &port))
			connect_to(mesh, host, port);
	kernel_timer(mesh->kernel, mesh->svc, TICK_US, HANDLE_NONE, 0);
}

static void stop(mesh_t *mesh)
{
	kernel_post_peer(mesh->kernel, mesh->svc, mesh->peer, "",
			 peer_body_new(PEER_LEAVE));
}

static void receive(void *self, msg_t *msg)
{
	mesh_t *mesh = self;

	switch (msg->kind) {
	case MSG_START:
		start(mesh);
		break;
	case MSG_STOP:
		stop(mesh);
		break;
	case MSG_TIMER:
		tick(mesh);
		break;
	case MSG_PEER_UP:
		peer_up(mesh, msg);
		break;
	case MSG_PEER_DOWN:
		peer_down(mesh, msg);
		break;
	case MSG_PEER_RECEIVED:
		handle_peer_message(mesh, msg);
		break;
	default:
		break;
	}
}

void mesh_init(mesh_t *mesh, kernel_t *kernel, const member_info_t *self,
	       const setting_list_t *seeds)
{
	memset(mesh, 0, sizeof(*mesh));
	mesh->kernel = kernel;
	mesh->self = *self;
	mesh->seeds = *seeds;
	mesh->instances = 1;
	mesh->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	mesh->svc = kernel_register(kernel, "member", receive, mesh);
}

void mesh_finish(mesh_t *mesh)
{
	g_hash_table_unref(mesh->members);
	kernel_unregister(mesh->kernel, mesh->svc);
}
