#include "proxy/hop.h"

#include <string.h>

#define H_PASSED_BY "Gateway-Passed-By"
#define H_PROOF "Gateway-Proof"
#define H_UNREACHABLE "Gateway-Unreachable"

#define AVOID_US INT64_C(1000000)

void hops_init(hops_t *hops, const char *incarnation, const char *zone,
	       const char *key)
{
	memset(hops, 0, sizeof(*hops));
	g_strlcpy(hops->incarnation, incarnation, sizeof(hops->incarnation));
	g_strlcpy(hops->zone, zone, sizeof(hops->zone));
	g_strlcpy(hops->key, key, sizeof(hops->key));
	hops->peers = g_array_new(FALSE, TRUE, sizeof(hop_peer_t));
}

void hops_finish(hops_t *hops)
{
	g_array_unref(hops->peers);
	memset(hops->key, 0, sizeof(hops->key));
}

static hop_peer_t *find(const hops_t *hops, const char *incarnation, guint *at)
{
	for (guint i = 0; i < hops->peers->len; i++) {
		hop_peer_t *peer = &g_array_index(hops->peers, hop_peer_t, i);

		if (strcmp(peer->incarnation, incarnation) != 0)
			continue;
		if (at != NULL)
			*at = i;
		return peer;
	}
	return NULL;
}

void hops_update(hops_t *hops, const msg_t *msg)
{
	guint at = 0;
	hop_peer_t *peer = find(hops, msg->u.peer_addr.incarnation, &at);
	hop_peer_t added = {.avoid_until = 0};

	if (peer != NULL)
		g_array_remove_index_fast(hops->peers, at);
	/* Peers of a former release take no requests. */
	if (msg->kind != MSG_PEER_UP || msg->u.peer_addr.request_port == 0)
		return;
	g_strlcpy(added.incarnation, msg->u.peer_addr.incarnation,
		  sizeof(added.incarnation));
	g_strlcpy(added.host, msg->u.peer_addr.host, sizeof(added.host));
	added.port = msg->u.peer_addr.request_port;
	added.same_zone =
		strcmp(msg->u.peer_addr.availability_zone, hops->zone) == 0;
	g_array_append_val(hops->peers, added);
}

static guint count_usable(const hops_t *hops, bool same_zone, int64_t now)
{
	guint count = 0;

	for (guint i = 0; i < hops->peers->len; i++) {
		const hop_peer_t *peer =
			&g_array_index(hops->peers, hop_peer_t, i);

		count += peer->same_zone == same_zone &&
			 now >= peer->avoid_until;
	}
	return count;
}

static const hop_peer_t *usable_at(const hops_t *hops, bool same_zone,
				   guint number, int64_t now)
{
	for (guint i = 0; i < hops->peers->len; i++) {
		const hop_peer_t *peer =
			&g_array_index(hops->peers, hop_peer_t, i);

		if (peer->same_zone == same_zone && now >= peer->avoid_until &&
		    number-- == 0)
			return peer;
	}
	return NULL;
}

const hop_peer_t *hops_choose(const hops_t *hops, uint64_t random, int64_t now)
{
	bool same_zone = true;
	guint count = count_usable(hops, same_zone, now);

	if (count == 0) {
		same_zone = false;
		count = count_usable(hops, same_zone, now);
	}
	if (count == 0)
		return NULL;
	return usable_at(hops, same_zone, (guint)(random % count), now);
}

void hops_avoid(hops_t *hops, const char *incarnation, int64_t now)
{
	hop_peer_t *peer = find(hops, incarnation, NULL);

	if (peer != NULL)
		peer->avoid_until = now + AVOID_US;
}

/* Ties the mark to the request, so that it is of no use for another one. */
static char *make_proof(const char *key, const char *incarnation,
			const char *request_id, const http_head_t *head)
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	const char *const texts[] = {incarnation, request_id, head->method,
				     head->uri};
	char *proof;

	/* The terminators keep the texts apart. */
	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		g_hmac_update(hmac, (const guchar *)texts[i],
			      (gssize)strlen(texts[i]) + 1);
	proof = g_strdup(g_hmac_get_string(hmac));
	g_hmac_unref(hmac);
	return proof;
}

void hop_sign(const hops_t *hops, const char *request_id, http_head_t *head)
{
	char *proof =
		make_proof(hops->key, hops->incarnation, request_id, head);

	http_head_add(head, H_PASSED_BY, hops->incarnation);
	http_head_add(head, H_PROOF, proof);
	g_free(proof);
}

static bool is_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	int diff = 0;

	if (strlen(b) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		diff |= a[i] ^ b[i];
	return diff == 0;
}

static void remove_field(http_head_t *head, const char *name)
{
	for (guint i = head->fields->len; i > 0; i--) {
		http_field_t *field =
			&g_array_index(head->fields, http_field_t, i - 1);

		if (g_ascii_strcasecmp(field->name, name) == 0)
			g_array_remove_index(head->fields, i - 1);
	}
}

bool hop_is_passed_on(const http_head_t *head)
{
	return http_head_get(head, H_PASSED_BY) != NULL;
}

bool hop_verify(const char *key, const char *request_id, http_head_t *head)
{
	const char *incarnation = http_head_get(head, H_PASSED_BY);
	const char *stated = http_head_get(head, H_PROOF);
	bool valid = false;
	char *proof;

	if (incarnation != NULL && stated != NULL && key[0] != '\0') {
		proof = make_proof(key, incarnation, request_id, head);
		valid = is_equal(proof, stated);
		g_free(proof);
	}
	remove_field(head, H_PASSED_BY);
	remove_field(head, H_PROOF);
	return valid;
}

void hop_mark_unreachable(http_head_t *head)
{
	http_head_add(head, H_UNREACHABLE, "1");
}

bool hop_is_unreachable(const http_head_t *head)
{
	return http_head_get(head, H_UNREACHABLE) != NULL;
}
