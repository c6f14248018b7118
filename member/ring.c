/*
 * Chooses the neighbours on a consistent-hash ring, keeps connections to
 * them and sends heartbeats that carry gossip about other members.
 */
#include "member/view.h"

#include <string.h>

/* Members in the gossip of one heartbeat. */
#define GOSSIP_MAX 8
#define GOSSIP_MAX_LARGE_FLEET 2 /* bounds the bytes per second */
/*
 * Neighbours chosen by their position on the ring.  In a large fleet, the other
 * neighbours are the buddy and the preferred buddy.
 */
#define RING_NEIGHBOURS 6

typedef struct ring_point_t {
	uint64_t position;
	entry_t *entry;
} ring_point_t;

/* FNV-1a over both strings, followed by a mixing step. */
uint64_t member_ring_hash(const char *a, const char *b)
{
	uint64_t hash = UINT64_C(0xcbf29ce484222325);

	for (; *a != '\0'; a++)
		hash = (hash ^ (uint8_t)*a) * UINT64_C(0x100000001b3);
	hash = (hash ^ '/') * UINT64_C(0x100000001b3);
	for (; *b != '\0'; b++)
		hash = (hash ^ (uint8_t)*b) * UINT64_C(0x100000001b3);
	hash = (hash ^ (hash >> 33)) * UINT64_C(0xff51afd7ed558ccd);
	return hash ^ (hash >> 33);
}

static int compare_points(gconstpointer a, gconstpointer b)
{
	const ring_point_t *x = a;
	const ring_point_t *y = b;

	return x->position < y->position ? -1 : x->position > y->position;
}

/* Members that can be connected to, sorted by their position on the ring. */
static GArray *ring_candidates(member_t *member)
{
	GArray *points = g_array_new(FALSE, FALSE, sizeof(ring_point_t));
	uint32_t cursor = 0;
	entry_t *entry;
	ring_point_t point;

	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		member_state_t state = member_view_state(member, entry);

		if (entry->is_self || state == MEMBER_LEFT ||
		    state == MEMBER_DEAD || entry->info.host[0] == '\0' ||
		    entry->info.peer_port == 0)
			continue;
		point.position = member_ring_hash(entry->info.incarnation, "");
		point.entry = entry;
		g_array_append_val(points, point);
	}
	g_array_sort(points, compare_points);
	return points;
}

/*
 * Returns the highest-ranked member of this zone.  A member must be connected
 * to become the buddy, so this member is chosen as a neighbour.
 */
static entry_t *preferred_buddy(member_t *member, const GArray *points)
{
	const char *own = member->opts.self.incarnation;
	entry_t *best = NULL;
	uint64_t weight, best_weight = 0;

	for (guint i = 0; i < points->len; i++) {
		entry_t *entry = g_array_index(points, ring_point_t, i).entry;

		if (strcmp(entry->info.availability_zone,
			   member->opts.self.availability_zone) != 0)
			continue;
		weight = member_ring_hash(own, entry->info.incarnation);
		if (best == NULL || weight > best_weight) {
			best = entry;
			best_weight = weight;
		}
	}
	return best;
}

static void add_neighbour(GPtrArray *chosen, entry_t *entry)
{
	if (entry != NULL && chosen->len < MEMBER_NEIGHBOURS_MAX &&
	    !g_ptr_array_find(chosen, entry, NULL))
		g_ptr_array_add(chosen, entry);
}

/*
 * Chooses as many members after this router's position on the ring as before
 * it, so that neighbours on the ring choose each other.
 */
static GPtrArray *choose_neighbours(member_t *member)
{
	GArray *points = ring_candidates(member);
	GPtrArray *chosen = g_ptr_array_new();
	uint64_t own = member_ring_hash(member->opts.self.incarnation, "");
	guint count = points->len, next = 0;
	entry_t *buddy = member_view_find(member, member->buddy);

	while (next < count &&
	       g_array_index(points, ring_point_t, next).position < own)
		next++;
	if (count > MEMBER_NEIGHBOURS_MAX) {
		add_neighbour(chosen, buddy);
		add_neighbour(chosen, preferred_buddy(member, points));
	}
	for (guint i = 0; i < count && i < MEMBER_NEIGHBOURS_MAX; i++) {
		guint at =
			(i % 2 == 0) ? next + i / 2 : next + count - 1 - i / 2;

		if (count > MEMBER_NEIGHBOURS_MAX && i == RING_NEIGHBOURS)
			break;
		add_neighbour(
			chosen,
			g_array_index(points, ring_point_t, at % count).entry);
	}
	g_array_unref(points);
	return chosen;
}

static void post_peer_request(member_t *member, msg_kind_t kind,
			      const entry_t *entry)
{
	msg_t msg = {.kind = kind};

	g_strlcpy(msg.u.peer_addr.incarnation, entry->info.incarnation,
		  sizeof(msg.u.peer_addr.incarnation));
	g_strlcpy(msg.u.peer_addr.host, entry->info.host,
		  sizeof(msg.u.peer_addr.host));
	msg.u.peer_addr.port = entry->info.peer_port;
	member_post(member, member->peer, &msg);
}

static void update_connections(member_t *member, GPtrArray *chosen)
{
	uint32_t cursor = 0;
	entry_t *entry;

	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		bool neighbour = g_ptr_array_find(chosen, entry, NULL);

		if (neighbour == entry->neighbour)
			continue;
		entry->neighbour = neighbour;
		entry->neighbour_since = kernel_now(member->kernel);
		post_peer_request(member,
				  neighbour ? MSG_PEER_CONNECT
					    : MSG_PEER_DISCONNECT,
				  entry);
	}
}

/* Adds recently heard members, from a random position in the table on. */
static void add_gossip(member_t *member, GArray *members)
{
	uint32_t count = table_count(&member->entries);
	guint limit = count > MEMBER_NEIGHBOURS_MAX + 1 ? GOSSIP_MAX_LARGE_FLEET
							: GOSSIP_MAX;
	uint32_t cursor = (uint32_t)kernel_random_below(member->kernel, count);
	int64_t now = kernel_now(member->kernel);
	entry_t *entry;

	for (uint32_t i = 0; i < count && members->len < limit; i++) {
		entry = table_next(&member->entries, &cursor, NULL);
		if (entry == NULL) {
			cursor = 0;
			entry = table_next(&member->entries, &cursor, NULL);
		}
		if (entry != NULL && !entry->is_self && !entry->left &&
		    entry->info.heartbeat != 0 &&
		    now - entry->last_heard < SUSPECT_AFTER_US)
			g_array_append_val(members, entry->info);
	}
}

void member_ring_send_heartbeat(member_t *member, const entry_t *to)
{
	entry_t *own = member_view_find(member, member->opts.self.incarnation);
	peer_body_t *body = peer_body_new(PEER_HEARTBEAT);

	/* Receivers ignore a heartbeat whose number is not higher. */
	own->info.heartbeat++;
	body->u.heartbeat.conf_revision = member->conf_revision;
	body->u.heartbeat.self = own->info;
	add_gossip(member, body->u.heartbeat.members);
	kernel_post_peer(member->kernel, member->svc, member->peer,
			 to->info.incarnation, body);
}

void member_ring_send_heartbeats(member_t *member)
{
	GPtrArray *chosen = choose_neighbours(member);
	uint32_t cursor = 0;
	entry_t *entry;

	update_connections(member, chosen);
	g_ptr_array_unref(chosen);
	while ((entry = table_next(&member->entries, &cursor, NULL)) != NULL) {
		if (entry->connected && entry->neighbour)
			member_ring_send_heartbeat(member, entry);
	}
}
