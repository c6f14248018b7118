/*
 * Admission of a request: authentication, choice of the service, and limits.
 */
#include "request/internal.h"

#define DEADLINE_MAX_MS ((int64_t)24 * 3600 * 1000)

static bool in_conf_quarantine(const conf_snapshot_t *conf,
			       const char *fingerprint, int64_t wall_ms)
{
	for (guint i = 0; i < conf->quarantine->len; i++) {
		const record_quarantine_t *record = &g_array_index(
			conf->quarantine, record_quarantine_t, i);

		if (wall_ms < record->expires_ms &&
		    g_str_equal(record->fingerprint, fingerprint))
			return true;
	}
	return false;
}

static refusal_t find_account(request_svc_t *svc, request_t *request,
			      const record_client_account_t **account)
{
	const char *budget = NULL;

	*account = conf_snapshot_account_by_key(
		svc->conf, request->spec->key_hash, &budget);
	/* One reason for all three cases hides which keys exist. */
	if (*account == NULL || (*account)->removed || (*account)->disabled)
		return REFUSAL_UNAUTHENTICATED;
	g_strlcpy(request->budget, budget, sizeof(request->budget));
	return REFUSAL_NONE;
}

static refusal_t find_service(request_svc_t *svc, request_t *request)
{
	const request_spec_t *spec = request->spec;
	const record_service_t *service;

	if (spec->service[0] != '\0')
		service = conf_snapshot_service(svc->conf, spec->service);
	else
		service = conf_snapshot_service_by_path(svc->conf, spec->path);
	if (service == NULL || service->removed ||
	    (spec->service[0] != '\0' && service->kind != SERVICE_MODEL))
		return REFUSAL_NO_SERVICE;
	request->service = *service;
	return REFUSAL_NONE;
}

static size_t body_size(const request_t *request)
{
	return request->spec->body == NULL
		       ? 0
		       : g_bytes_get_size(request->spec->body);
}

static void set_limits(request_svc_t *svc, request_t *request)
{
	const record_service_t *service = &request->service;
	const request_spec_t *spec = request->spec;
	int64_t limit_ms = service->deadline_ms != 0
				   ? service->deadline_ms
				   : svc->opts.default_deadline_ms;

	if (spec->deadline_ms != 0)
		limit_ms = MIN(limit_ms, (int64_t)spec->deadline_ms);
	limit_ms = MIN(limit_ms, DEADLINE_MAX_MS);
	request->deadline = request->started + limit_ms * USEC_PER_MSEC;
	switch (service->kind) {
	case SERVICE_MODEL:
		request->max_tokens = service->max_tokens;
		if (spec->max_tokens != 0)
			request->max_tokens =
				MIN(spec->max_tokens, service->max_tokens);
		/* The sum of max_body and a 32-bit number cannot overflow. */
		request->reserved_tokens = (int64_t)body_size(request) +
					   (int64_t)request->max_tokens;
		break;
	case SERVICE_PLAIN:
		request->reserved_tokens = service->call_tokens;
		break;
	}
}

static void set_idem_key(request_svc_t *svc, request_t *request)
{
	char uuid[INCARNATION_SIZE];

	g_strlcpy(request->idem_key, request->spec->idem_key,
		  sizeof(request->idem_key));
	if (request->idem_key[0] != '\0')
		return;
	kernel_uuid(svc->kernel, uuid);
	g_strlcpy(request->idem_key, uuid, sizeof(request->idem_key));
}

refusal_t request_admit(request_svc_t *svc, request_t *request)
{
	const record_client_account_t *account;
	int64_t wall_ms = kernel_wall(svc->kernel) / USEC_PER_MSEC;
	refusal_t refusal;
	uint32_t running, max_body;

	if (svc->stopping)
		return REFUSAL_STOPPING;
	if (svc->conf == NULL)
		return REFUSAL_INTERNAL;
	refusal = find_account(svc, request, &account);
	if (refusal != REFUSAL_NONE)
		return refusal;
	refusal = find_service(svc, request);
	if (refusal != REFUSAL_NONE)
		return refusal;
	max_body = request->service.max_body != 0 ? request->service.max_body
						  : svc->opts.max_body;
	if (body_size(request) > max_body)
		return REFUSAL_TOO_LARGE;
	if (table_count(&svc->requests) > svc->opts.max_requests)
		return REFUSAL_OVERLOADED;
	running = GPOINTER_TO_UINT(
		g_hash_table_lookup(svc->running_by_account, account->name));
	if (account->max_requests != 0 && running >= account->max_requests)
		return REFUSAL_TOO_MANY_REQUESTS;
	if (in_conf_quarantine(svc->conf, request->spec->fingerprint,
			       wall_ms) ||
	    quarantine_contains(&svc->quarantine, request->spec->fingerprint,
				wall_ms))
		return REFUSAL_QUARANTINED;
	g_strlcpy(request->client_account, account->name,
		  sizeof(request->client_account));
	set_limits(svc, request);
	set_idem_key(svc, request);
	return REFUSAL_NONE;
}
