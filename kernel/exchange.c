#include "kernel/exchange.h"

#include <string.h>

#define PARTS_CAPACITY_MIN 4

bool version_is_known(const char *version)
{
	return strcmp(version, VERSION_UNKNOWN) != 0;
}

void explain_query_finish(explain_query_t *query)
{
	g_clear_pointer(&query->host, g_free);
	g_clear_pointer(&query->path, g_free);
}

void explain_query_free(explain_query_t *query)
{
	if (query == NULL)
		return;
	explain_query_finish(query);
	g_free(query);
}

exchange_spec_t *exchange_spec_new(void)
{
	exchange_spec_t *spec = g_new0(exchange_spec_t, 1);

	spec->wait_ms = -1;
	return spec;
}

void exchange_spec_free(exchange_spec_t *spec)
{
	if (spec == NULL)
		return;
	if (spec->api_key != NULL)
		explicit_bzero(spec->api_key, strlen(spec->api_key));
	g_free(spec->api_key);
	g_free(spec->host);
	g_free(spec->path);
	g_free(spec->parts);
	http_head_free(spec->head);
	g_clear_pointer(&spec->body, g_bytes_unref);
	g_free(spec);
}

void exchange_spec_add_part(exchange_spec_t *spec, uint64_t id, uint32_t tokens)
{
	if (spec->part_count == spec->part_capacity) {
		spec->part_capacity =
			MAX(2 * spec->part_capacity, PARTS_CAPACITY_MIN);
		spec->parts = g_renew(prompt_part_t, spec->parts,
				      spec->part_capacity);
	}
	spec->parts[spec->part_count++] =
		(prompt_part_t){.id = id, .tokens = tokens};
}

uint32_t exchange_spec_place_parts(const exchange_spec_t *spec,
				   prompt_part_t to[PLACE_PARTS_MAX])
{
	uint32_t count = MIN(spec->part_count, PLACE_PARTS_MAX);

	if (count > 0)
		memcpy(to, spec->parts, count * sizeof(*to));
	return count;
}
