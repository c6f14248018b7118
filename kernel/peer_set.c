#include "kernel/peer_set.h"

#include "kernel/hash.h"

#include <string.h>

void peer_set_init(peer_set_t *set)
{
	set->peers = g_array_new(FALSE, TRUE, sizeof(peer_ref_t));
}

void peer_set_finish(peer_set_t *set)
{
	g_array_unref(set->peers);
}

guint peer_set_count(const peer_set_t *set)
{
	return set->peers->len;
}

const peer_ref_t *peer_set_at(const peer_set_t *set, guint i)
{
	return &g_array_index(set->peers, peer_ref_t, i);
}

const peer_ref_t *peer_set_find(const peer_set_t *set, const char *incarnation)
{
	for (guint i = 0; i < peer_set_count(set); i++)
		if (strcmp(peer_set_at(set, i)->incarnation, incarnation) == 0)
			return peer_set_at(set, i);
	return NULL;
}

bool peer_set_is_large(const peer_set_t *set)
{
	return peer_set_count(set) >= LARGE_FLEET_PEERS;
}

uint32_t peer_set_count_in_zone(const peer_set_t *set, const char *zone)
{
	uint32_t count = 0;

	for (guint i = 0; i < peer_set_count(set); i++)
		count += strcmp(peer_set_at(set, i)->availability_zone, zone) ==
			 0;
	return count;
}

static gint compare(gconstpointer a, gconstpointer b)
{
	const peer_ref_t *x = a, *y = b;

	return strcmp(x->incarnation, y->incarnation);
}

void peer_set_update(peer_set_t *set, const msg_t *msg)
{
	peer_ref_t peer = {0};

	g_strlcpy(peer.incarnation, msg->u.peer_addr.incarnation,
		  sizeof(peer.incarnation));
	g_strlcpy(peer.availability_zone, msg->u.peer_addr.availability_zone,
		  sizeof(peer.availability_zone));
	peer.takes_patches = msg->u.peer_addr.takes_patches;
	for (guint i = 0; i < peer_set_count(set); i++) {
		if (compare(peer_set_at(set, i), &peer) != 0)
			continue;
		g_array_remove_index(set->peers, i);
		break;
	}
	if (msg->kind != MSG_PEER_UP)
		return;
	g_array_append_val(set->peers, peer);
	g_array_sort(set->peers, compare);
}

guint peer_set_prefer(const peer_set_t *set, const char *item,
		      const char *chosen[], guint max)
{
	uint64_t weights[PEERS_PREFERRED_MAX];
	guint count = 0;

	max = MIN(max, PEERS_PREFERRED_MAX);
	for (guint i = 0; i < peer_set_count(set); i++) {
		const char *peer = peer_set_at(set, i)->incarnation;
		uint64_t weight = hash_rendezvous(peer, item);
		guint at = count;

		while (at > 0 && weights[at - 1] < weight)
			at--;
		if (at == max)
			continue;
		count = MIN(count + 1, max);
		for (guint j = count - 1; j > at; j--) {
			chosen[j] = chosen[j - 1];
			weights[j] = weights[j - 1];
		}
		chosen[at] = peer;
		weights[at] = weight;
	}
	return count;
}
