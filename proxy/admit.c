/*
 * Decides whether a request is accepted, by the configuration and by what is
 * known of it, and which service it goes to.
 */
#include "proxy/exchange.h"

/* A request that was unread for its latency goal, divided so, is refused. */
#define UNREAD_DIVISOR 4
#define UNREAD_MIN_US (100 * USEC_PER_MSEC)

void exchange_set_service(proxy_t *proxy, exchange_t *exchange,
			  const char *name)
{
	const fleet_service_t *service;

	g_strlcpy(exchange->service, name, sizeof(exchange->service));
	service = fleet_conf_service(proxy->conf, exchange->service);
	exchange->event_tokens =
		service != NULL && service->engine ? service->event_tokens : 0;
}

static void choose_service(proxy_t *proxy, exchange_t *exchange,
			   const fleet_route_t *route)
{
	const fleet_conf_t *conf = proxy->conf;
	uint64_t total = 0, at;
	guint chosen = 0;

	for (guint i = 0; i < route->share_count; i++)
		total += fleet_conf_share(conf, route, i)->weight;
	if (total > 0) {
		at = kernel_random_below(proxy->kernel, total);
		while (at >= fleet_conf_share(conf, route, chosen)->weight)
			at -= fleet_conf_share(conf, route, chosen++)->weight;
	}
	exchange_set_service(proxy, exchange,
			     fleet_conf_share(conf, route, chosen)->service);
}

/* Equal requests with the same API key have the same fingerprint. */
static void compute_fingerprint(exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	const guchar *body = NULL;
	gsize len = 0;

	g_checksum_update(sum, (const guchar *)spec->head->method, -1);
	g_checksum_update(sum, (const guchar *)"\n", 1);
	g_checksum_update(sum, (const guchar *)spec->host, -1);
	g_checksum_update(sum, (const guchar *)spec->head->uri, -1);
	g_checksum_update(sum, (const guchar *)"\n", 1);
	if (spec->api_key != NULL)
		g_checksum_update(sum, (const guchar *)spec->api_key, -1);
	g_checksum_update(sum, (const guchar *)"\n", 1);
	if (spec->body != NULL)
		body = g_bytes_get_data(spec->body, &len);
	if (len > 0)
		g_checksum_update(sum, body, (gssize)len);
	g_strlcpy(exchange->fingerprint, g_checksum_get_string(sum),
		  sizeof(exchange->fingerprint));
	g_checksum_free(sum);
}

/*
 * Whether the request has waited here for so long, unread, that another
 * instance would answer it sooner.
 */
static bool is_outdated(const exchange_t *exchange)
{
	int64_t goal = exchange->route.latency_goal_ms * USEC_PER_MSEC;

	return exchange->spec->unread >
	       MAX(goal / UNREAD_DIVISOR, UNREAD_MIN_US);
}

refusal_t exchange_admit(proxy_t *proxy, exchange_t *exchange)
{
	const exchange_spec_t *spec = exchange->spec;
	const fleet_route_t *route;
	const fleet_account_t *account = NULL;

	if (exchange->spec->from_peer &&
	    !hop_verify(proxy->hops.key, spec->request_id, spec->head))
		return REFUSAL_UNAUTHENTICATED;
	if (proxy->conf == NULL)
		return REFUSAL_NO_CONFIGURATION;
	exchange->version = proxy->conf->version;
	route = fleet_conf_route(proxy->conf, spec->host, spec->path);
	if (route == NULL)
		return REFUSAL_NO_ROUTE;
	exchange->route = route->terms;
	exchange->priority = route->terms.priority;
	if (spec->api_key != NULL)
		account = fleet_conf_account_by_key(proxy->conf, spec->api_key);
	if (proxy->conf->has_accounts && !route->terms.is_public &&
	    account == NULL)
		return REFUSAL_UNAUTHENTICATED;
	if (account != NULL) {
		g_strlcpy(exchange->account, account->name,
			  sizeof(exchange->account));
		exchange->account_name = g_strdup(account->full_name);
		if (account->priority >= 0)
			exchange->priority = account->priority;
	}
	if (route->share_count == 0)
		return REFUSAL_NO_TARGET;
	if (is_outdated(exchange))
		return REFUSAL_BEHIND;
	compute_fingerprint(exchange);
	if (crash_quarantined(proxy, exchange))
		return REFUSAL_QUARANTINED;
	choose_service(proxy, exchange, route);
	/* The instance that passed it on has counted it. */
	if (!exchange->spec->from_peer)
		retry_window_add_request(&proxy->retries, exchange->service,
					 exchange->started_at);
	return REFUSAL_NONE;
}
