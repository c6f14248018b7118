#include "kernel/fleet.h"

#include "kernel/identifier.h"

#include <string.h>

#define TEXTS_BLOCK_SIZE 1024 /* bytes */

fleet_conf_t *fleet_conf_new(void)
{
	fleet_conf_t *conf = g_new0(fleet_conf_t, 1);

	conf->refs = 1;
	conf->routes = g_array_new(FALSE, TRUE, sizeof(fleet_route_t));
	conf->shares = g_array_new(FALSE, TRUE, sizeof(route_share_t));
	conf->texts = g_string_chunk_new(TEXTS_BLOCK_SIZE);
	conf->services = g_array_new(FALSE, TRUE, sizeof(fleet_service_t));
	conf->accounts = g_array_new(FALSE, TRUE, sizeof(fleet_account_t));
	conf->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return conf;
}

fleet_conf_t *fleet_conf_ref(fleet_conf_t *conf)
{
	conf->refs++;
	return conf;
}

void fleet_conf_unref(fleet_conf_t *conf)
{
	if (conf == NULL || --conf->refs > 0)
		return;
	g_array_unref(conf->routes);
	g_array_unref(conf->shares);
	g_string_chunk_free(conf->texts);
	g_array_unref(conf->services);
	g_array_unref(conf->accounts);
	g_hash_table_unref(conf->keys);
	g_clear_pointer(&conf->document, g_bytes_unref);
	g_free(conf);
}

const char *fleet_conf_keep(fleet_conf_t *conf, const char *text)
{
	return g_string_chunk_insert(conf->texts, text);
}

void fleet_conf_add_route(fleet_conf_t *conf, const route_terms_t *terms,
			  const char *host, const char *path_prefix)
{
	fleet_route_t route = {
		.terms = *terms,
		.host = fleet_conf_keep(conf, host),
		.path_prefix = fleet_conf_keep(conf, path_prefix),
		.first_share = conf->shares->len,
	};

	g_array_append_val(conf->routes, route);
}

void fleet_conf_add_share(fleet_conf_t *conf, const char *service,
			  uint32_t weight)
{
	fleet_route_t *route = &g_array_index(conf->routes, fleet_route_t,
					      conf->routes->len - 1);
	route_share_t share = {.weight = weight};

	identifier_set(share.service, sizeof(share.service), service);
	g_array_append_val(conf->shares, share);
	route->share_count++;
}

const route_share_t *fleet_conf_share(const fleet_conf_t *conf,
				      const fleet_route_t *route, guint i)
{
	return &g_array_index(conf->shares, route_share_t,
			      route->first_share + i);
}

bool fleet_conf_leads_to(const fleet_conf_t *conf, const fleet_route_t *route,
			 const char *service)
{
	for (guint i = 0; i < route->share_count; i++)
		if (strcmp(fleet_conf_share(conf, route, i)->service,
			   service) == 0)
			return true;
	return false;
}

const fleet_route_t *fleet_conf_route(const fleet_conf_t *conf,
				      const char *host, const char *path)
{
	const fleet_route_t *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < conf->routes->len; i++) {
		const fleet_route_t *route =
			&g_array_index(conf->routes, fleet_route_t, i);
		size_t len = strlen(route->path_prefix);

		if (len < best_len ||
		    strncmp(path, route->path_prefix, len) != 0 ||
		    g_ascii_strcasecmp(host, route->host) != 0)
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

const fleet_service_t *fleet_conf_service(const fleet_conf_t *conf,
					  const char *name)
{
	for (guint i = 0; i < conf->services->len; i++) {
		const fleet_service_t *service =
			&g_array_index(conf->services, fleet_service_t, i);

		if (strcmp(service->name, name) == 0)
			return service;
	}
	return NULL;
}

const fleet_account_t *fleet_conf_account_by_key(const fleet_conf_t *conf,
						 const char *key)
{
	guint index = GPOINTER_TO_UINT(g_hash_table_lookup(conf->keys, key));

	if (index == 0)
		return NULL;
	return &g_array_index(conf->accounts, fleet_account_t, index - 1);
}

const fleet_account_t *fleet_conf_account_by_name(const fleet_conf_t *conf,
						  const char *name)
{
	for (guint i = 0; i < conf->accounts->len; i++) {
		const fleet_account_t *account =
			&g_array_index(conf->accounts, fleet_account_t, i);

		if (strcmp(account->name, name) == 0)
			return account;
	}
	return NULL;
}

record_streams_t *record_streams_new(void)
{
	record_streams_t *streams = g_new0(record_streams_t, 1);

	streams->list = g_array_new(FALSE, TRUE, sizeof(saved_stream_t));
	return streams;
}

record_streams_t *record_streams_copy(const record_streams_t *from)
{
	record_streams_t *copy = record_streams_new();

	g_array_append_vals(copy->list, from->list->data, from->list->len);
	return copy;
}

void record_streams_free(record_streams_t *streams)
{
	if (streams == NULL)
		return;
	g_array_unref(streams->list);
	g_free(streams);
}

record_allocation_t *allocation_new(void)
{
	record_allocation_t *allocation = g_new0(record_allocation_t, 1);

	allocation->holders = g_array_new(FALSE, TRUE, sizeof(grant_holder_t));
	return allocation;
}

record_allocation_t *allocation_copy(const record_allocation_t *from)
{
	record_allocation_t *copy = allocation_new();

	copy->closed = from->closed;
	g_array_append_vals(copy->holders, from->holders->data,
			    from->holders->len);
	return copy;
}

void allocation_free(record_allocation_t *allocation)
{
	if (allocation == NULL)
		return;
	g_array_unref(allocation->holders);
	g_free(allocation);
}

grant_holder_t *allocation_find(const record_allocation_t *allocation,
				const char *incarnation)
{
	for (guint i = 0; i < allocation->holders->len; i++) {
		grant_holder_t *holder =
			&g_array_index(allocation->holders, grant_holder_t, i);

		if (strcmp(holder->incarnation, incarnation) == 0)
			return holder;
	}
	return NULL;
}

bool allocation_join_holder(record_allocation_t *allocation,
			    const grant_holder_t *holder)
{
	grant_holder_t *known =
		allocation_find(allocation, holder->incarnation);
	grant_holder_t before;

	if (known == NULL) {
		g_array_append_val(allocation->holders, *holder);
		return true;
	}
	before = *known;
	/* What a holder has returned is not in its last open grant. */
	if (holder->state == GRANT_RETURNED && known->state != GRANT_RETURNED)
		known->granted = holder->granted;
	else if (holder->state == GRANT_RETURNED ||
		 known->state != GRANT_RETURNED)
		known->granted = MAX(known->granted, holder->granted);
	known->state = MAX(known->state, holder->state);
	return known->granted != before.granted || known->state != before.state;
}

bool allocation_join(record_allocation_t *allocation,
		     const record_allocation_t *other)
{
	bool changed = other->closed > allocation->closed;

	allocation->closed = MAX(allocation->closed, other->closed);
	for (guint i = 0; i < other->holders->len; i++)
		changed |= allocation_join_holder(
			allocation,
			&g_array_index(other->holders, grant_holder_t, i));
	return changed;
}

int64_t allocation_total(const record_allocation_t *allocation)
{
	int64_t total = allocation->closed;

	for (guint i = 0; i < allocation->holders->len; i++) {
		const grant_holder_t *holder =
			&g_array_index(allocation->holders, grant_holder_t, i);

		if (__builtin_add_overflow(total, holder->granted, &total))
			return -1;
	}
	return total;
}

void fleet_target_id(char to[NAME_SIZE], const char *full_id)
{
	if (name_is_valid(full_id))
		identifier_set(to, NAME_SIZE, full_id);
	else
		identifier_set_digest(to, NAME_SIZE, full_id);
}

const char *fleet_target_full_id(const fleet_target_t *target)
{
	return target->full_id[0] != '\0' ? target->full_id : target->id;
}

bool fleet_target_equal(const fleet_target_t *a, const fleet_target_t *b)
{
	return a->draining == b->draining && a->port == b->port &&
	       a->slots == b->slots && a->started_ms == b->started_ms &&
	       a->cold_ms == b->cold_ms &&
	       (a->cold_ms == 0 || a->sequence == b->sequence) &&
	       strcmp(a->version, b->version) == 0 &&
	       strcmp(a->host, b->host) == 0 && strcmp(a->zone, b->zone) == 0 &&
	       strcmp(a->service, b->service) == 0;
}
