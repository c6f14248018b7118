#include "kernel/exchange.h"

#include <string.h>

bool version_is_known(const char *version)
{
	return strcmp(version, VERSION_UNKNOWN) != 0;
}

void explain_query_free(explain_query_t *query)
{
	if (query == NULL)
		return;
	g_free(query->host);
	g_free(query->path);
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
	http_head_free(spec->head);
	g_clear_pointer(&spec->body, g_bytes_unref);
	g_free(spec);
}
