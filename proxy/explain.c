/*
 * Tells an operator which route and service a request would have, as
 * exchange_admit() decides, and lets "balance" tell of the targets.  Requests
 * are not told of a quarantine or of their account's tokens, which depend on
 * the body and on the moment.
 */
#include "proxy/exchange.h"

#include <string.h>

typedef struct explanation_t {
	const fleet_route_t *route; /* NULL: only a service was given */
	const fleet_account_t *account; /* NULL: none was given */
	const char *service;
	refusal_t reason; /* REFUSAL_NONE: it goes on to a target */
} explanation_t;

static const char *kind_name(route_kind_t kind)
{
	switch (kind) {
	case ROUTE_SAFE:
		return "safe";
	case ROUTE_UNSAFE:
		return "unsafe";
	case ROUTE_STREAM:
		return "streaming";
	}
	return "unknown";
}

static const char *reach_name(reach_state_t state)
{
	switch (state) {
	case REACH_OPEN:
		return "open";
	case REACH_CUT:
		return "cut";
	case REACH_TRYING:
		return "trying";
	}
	return "unknown";
}

/* A split route draws its service at random; the likeliest one is explained. */
static const char *likeliest_service(const fleet_conf_t *conf,
				     const fleet_route_t *route)
{
	const route_share_t *best = NULL;

	for (guint i = 0; i < route->share_count; i++) {
		const route_share_t *share = fleet_conf_share(conf, route, i);

		if (best == NULL || share->weight > best->weight)
			best = share;
	}
	return best != NULL ? best->service : NULL;
}

static void resolve(const proxy_t *proxy, const explain_query_t *query,
		    explanation_t *found)
{
	const fleet_conf_t *conf = proxy->conf;

	memset(found, 0, sizeof(*found));
	found->reason = REFUSAL_NO_CONFIGURATION;
	if (conf == NULL)
		return;
	if (query->host != NULL && query->path != NULL)
		found->route = fleet_conf_route(conf, query->host, query->path);
	found->account = fleet_conf_account_by_name(conf, query->account);
	if (query->service[0] != '\0')
		found->service = query->service;
	else if (found->route != NULL)
		found->service = likeliest_service(conf, found->route);
	found->reason =
		found->route != NULL ? REFUSAL_NO_TARGET : REFUSAL_NO_ROUTE;
	if (found->service == NULL)
		return;
	found->reason = REFUSAL_UNAUTHENTICATED;
	if (found->account == NULL && query->account[0] != '\0')
		return;
	if (found->account == NULL && found->route != NULL &&
	    conf->has_accounts && !found->route->terms.is_public)
		return;
	found->reason = REFUSAL_NONE;
}

static int32_t priority_of(const explanation_t *found)
{
	if (found->account != NULL && found->account->priority >= 0)
		return found->account->priority;
	return found->route != NULL ? found->route->terms.priority : 0;
}

static int64_t wait_ms_of(const explanation_t *found)
{
	static const route_terms_t no_route;

	return exchange_place_wait_ms(
		found->route != NULL ? &found->route->terms : &no_route);
}

static void add_route(const fleet_conf_t *conf, const explanation_t *found,
		      GString *text)
{
	const fleet_route_t *route = found->route;
	const route_terms_t *terms;

	if (route == NULL)
		return;
	terms = &route->terms;
	g_string_append_printf(text,
			       "route=%s kind=%s timeout_ms=%u "
			       "latency_goal_ms=%u max_attempts=%u\n",
			       terms->name, kind_name(terms->kind),
			       terms->timeout_ms, terms->latency_goal_ms,
			       terms->max_attempts);
	for (guint i = 0; i < route->share_count; i++) {
		const route_share_t *share = fleet_conf_share(conf, route, i);

		g_string_append_printf(text, "share=%s weight=%u\n",
				       share->service, share->weight);
	}
}

static void add_request(const proxy_t *proxy, const explanation_t *found,
			GString *text)
{
	if (proxy->conf != NULL)
		g_string_append_printf(
			text,
			"configuration=%" G_GINT64_FORMAT
			" newer_expected=%s reach=%s peers=%u\n",
			proxy->conf->version, proxy->conf_behind ? "yes" : "no",
			reach_name(proxy->reach.state), proxy->hops.peers->len);
	add_route(proxy->conf, found, text);
	if (found->reason != REFUSAL_NONE) {
		g_string_append_printf(text, "outcome=refused reason=%s\n",
				       refusal_name(found->reason));
		return;
	}
	g_string_append_printf(text,
			       "service=%s account=%s priority=%d "
			       "wait_ms=%" G_GINT64_FORMAT "\n",
			       found->service,
			       found->account != NULL ? found->account->name
						      : "",
			       priority_of(found), wait_ms_of(found));
	if (proxy->reach.state == REACH_CUT)
		g_string_append(text, "outcome=passed_on reason=no_target_is_"
				      "reached\n");
}

static void post(proxy_t *proxy, const msg_t *query, msg_kind_t kind,
		 GString *text)
{
	msg_t msg = {.kind = kind, .ref = query->id};

	if (kind == MSG_EXCHANGE_HEAD) {
		msg.u.exchange_head.head = http_head_response(200);
		http_head_add(msg.u.exchange_head.head, "Content-Type",
			      "text/plain");
		msg.u.exchange_head.length = -1;
	} else if (kind == MSG_EXCHANGE_DATA) {
		msg.u.data.bytes = g_string_free_to_bytes(text);
	}
	kernel_post(proxy->kernel, proxy->svc, proxy->ingress, &msg);
}

static void ask_balance(proxy_t *proxy, const msg_t *query,
			const explanation_t *found)
{
	const explain_query_t *from = query->u.explain;
	msg_t msg = {.kind = MSG_PLACE_EXPLAIN, .ref = query->id};

	g_strlcpy(msg.u.place.service, found->service,
		  sizeof(msg.u.place.service));
	msg.u.place.priority = priority_of(found);
	msg.u.place.deadline =
		kernel_now(proxy->kernel) + wait_ms_of(found) * USEC_PER_MSEC;
	msg.u.place.prompt_tokens = from->prompt_tokens;
	msg.u.place.max_tokens = from->max_tokens;
	msg.u.place.part_count = from->part_count;
	memcpy(msg.u.place.parts, from->parts, sizeof(from->parts));
	kernel_post(proxy->kernel, proxy->svc, proxy->balance, &msg);
}

void explain_query(proxy_t *proxy, const msg_t *msg)
{
	GString *text = g_string_new(NULL);
	explanation_t found;

	resolve(proxy, msg->u.explain, &found);
	add_request(proxy, &found, text);
	post(proxy, msg, MSG_EXCHANGE_HEAD, NULL);
	post(proxy, msg, MSG_EXCHANGE_DATA, text);
	if (found.reason == REFUSAL_NONE)
		ask_balance(proxy, msg, &found);
	else
		post(proxy, msg, MSG_EXCHANGE_END, NULL);
}
