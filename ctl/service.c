/*
 * Commands on services.
 */
#include "ctl/command.h"
#include "ctl/records.h"

#include <string.h>

#define DEADLINE_MS_MAX 3600000
#define TOKENS_PER_CALL_MAX 10000000
#define BODY_MAX 67108864 /* bytes */

static const record_service_t default_service = {
	.kind = SERVICE_MODEL,
	.idempotent = true,
	.hedge = true,
	.deadline_ms = 60000,
	.first_byte_ms = 15000,
	.idle_ms = 10000,
	.max_tokens = 4096,
	.call_tokens = 1,
	.short_tokens = 512,
	.max_body = 1048576,
};

static ctl_status_t set_kind(ctl_t *ctl, const args_t *args,
			     record_service_t *service)
{
	if (args->kind == NULL)
		return CTL_OK;
	if (strcmp(args->kind, "model") == 0) {
		service->kind = SERVICE_MODEL;
	} else if (strcmp(args->kind, "plain") == 0) {
		service->kind = SERVICE_PLAIN;
	} else {
		errmsg_set(&ctl->err,
			   "--kind: %.40s is not allowed, expected "
			   "model or plain",
			   args->kind);
		return CTL_USAGE;
	}
	return CTL_OK;
}

static ctl_status_t set_path_prefix(ctl_t *ctl, const args_t *args,
				    record_service_t *service)
{
	const char *path = args->path_prefix;

	if (path != NULL && (path[0] != '/' || strlen(path) >= PATH_SIZE)) {
		errmsg_set(&ctl->err,
			   "--path-prefix: expected a path of at "
			   "most %d bytes that begins with '/'",
			   PATH_SIZE - 1);
		return CTL_USAGE;
	}
	if (path != NULL)
		g_strlcpy(service->path_prefix, path,
			  sizeof(service->path_prefix));
	if (service->kind == SERVICE_PLAIN && service->path_prefix[0] == '\0') {
		errmsg_set(&ctl->err,
			   "--path-prefix: required for a plain service");
		return CTL_USAGE;
	}
	return CTL_OK;
}

static ctl_status_t set_numbers(ctl_t *ctl, const args_t *args,
				record_service_t *service)
{
	const struct {
		const char *name;
		gint given;
		gint min;
		gint max;
		uint32_t *value;
	} numbers[] = {
		{"deadline-ms", args->deadline_ms, 1, DEADLINE_MS_MAX,
		 &service->deadline_ms},
		{"first-byte-ms", args->first_byte_ms, 1, DEADLINE_MS_MAX,
		 &service->first_byte_ms},
		{"idle-ms", args->idle_ms, 1, DEADLINE_MS_MAX,
		 &service->idle_ms},
		{"max-tokens", args->max_tokens, 1, TOKENS_PER_CALL_MAX,
		 &service->max_tokens},
		{"call-tokens", args->call_tokens, 0, TOKENS_PER_CALL_MAX,
		 &service->call_tokens},
		{"short-tokens", args->short_tokens, 0, TOKENS_PER_CALL_MAX,
		 &service->short_tokens},
		{"max-body", args->max_body, 1, BODY_MAX, &service->max_body},
	};
	ctl_status_t status = CTL_OK;

	for (gsize i = 0; i < G_N_ELEMENTS(numbers) && status == CTL_OK; i++)
		status = args_get_int(ctl, numbers[i].name, numbers[i].given,
				      numbers[i].min, numbers[i].max,
				      numbers[i].value);
	return status;
}

static ctl_status_t set_options(ctl_t *ctl, const args_t *args,
				record_service_t *service)
{
	ctl_status_t status = set_kind(ctl, args, service);

	if (status == CTL_OK)
		status = set_path_prefix(ctl, args, service);
	if (status == CTL_OK)
		status = args_get_bool(ctl, "idempotent", args->idempotent,
				       &service->idempotent);
	if (status == CTL_OK)
		status = args_get_bool(ctl, "hedge", args->hedge,
				       &service->hedge);
	if (status == CTL_OK)
		status = set_numbers(ctl, args, service);
	if (status == CTL_OK && !service->idempotent)
		service->hedge = false;
	return status;
}

static ctl_status_t set(ctl_t *ctl, const args_t *args)
{
	const char *name = args->names[0];
	store_kv_t kv;
	record_service_t *service = &kv.record.u.service;
	bool is_new;
	ctl_status_t status =
		ctl_get_or_new(ctl, RECORD_SERVICE, name, &kv, &is_new);

	if (status == CTL_OK && is_new) {
		*service = default_service;
		g_strlcpy(service->name, name, sizeof(service->name));
	}
	if (status == CTL_OK)
		status = set_options(ctl, args, service);
	if (status == CTL_OK)
		status = ctl_put_record(ctl, &kv);
	if (status == CTL_OK)
		ctl_print_message(ctl, "service %s set", name);
	record_clear(&kv.record);
	return status;
}

static ctl_status_t remove_service(ctl_t *ctl, const char *name)
{
	store_kv_t kv;
	ctl_status_t status = ctl_get_named(ctl, RECORD_SERVICE, name, &kv);

	if (status == CTL_OK) {
		kv.record.u.service.removed = true;
		status = ctl_put_record(ctl, &kv);
	}
	if (status == CTL_OK)
		ctl_print_message(ctl, "service %s removed", name);
	record_clear(&kv.record);
	return status;
}

ctl_status_t service_run(ctl_t *ctl, const args_t *args)
{
	switch (args->command) {
	case COMMAND_SERVICE_SET:
		return set(ctl, args);
	case COMMAND_SERVICE_LIST:
		return ctl_print_list(ctl, "conf/service/");
	case COMMAND_SERVICE_SHOW:
		return ctl_print_named(ctl, RECORD_SERVICE, args->names[0]);
	default:
		return remove_service(ctl, args->names[0]);
	}
}
