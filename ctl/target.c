/*
 * Commands on targets, except orders.
 */
#include "ctl/command.h"
#include "ctl/records.h"
#include "settings/settings.h"

#include <string.h>

#define CONCURRENCY_DEFAULT 8
#define CONCURRENCY_MAX 100000

static ctl_status_t set_name(ctl_t *ctl, const char *option, const char *given,
			     char *value)
{
	if (given != NULL) {
		if (!name_is_valid(given)) {
			errmsg_set(&ctl->err, "--%s: %.40s is not a name",
				   option, given);
			return CTL_USAGE;
		}
		g_strlcpy(value, given, NAME_SIZE);
	}
	if (*value == '\0') {
		errmsg_set(&ctl->err, "--%s: required for a new target",
			   option);
		return CTL_USAGE;
	}
	return CTL_OK;
}

static ctl_status_t set_address(ctl_t *ctl, const char *given,
				record_target_t *target)
{
	if (given != NULL &&
	    !settings_parse_address(given, target->host, sizeof(target->host),
				    &target->port)) {
		errmsg_set(&ctl->err, "--address: %.60s is not IP:PORT", given);
		return CTL_USAGE;
	}
	if (target->port == 0) {
		errmsg_set(&ctl->err, "--address: required for a new target");
		return CTL_USAGE;
	}
	return CTL_OK;
}

static ctl_status_t set_options(ctl_t *ctl, const args_t *args,
				record_target_t *target)
{
	ctl_status_t status;

	status = set_name(ctl, "service", args->service, target->service);
	if (status == CTL_OK)
		status = set_name(ctl, "availability-zone",
				  args->availability_zone,
				  target->availability_zone);
	if (status == CTL_OK)
		status = set_address(ctl, args->address, target);
	if (status == CTL_OK)
		status = args_get_int(ctl, "concurrency", args->concurrency, 1,
				      CONCURRENCY_MAX, &target->concurrency);
	if (status == CTL_OK)
		status = args_get_bool(ctl, "checks-fencing",
				       args->checks_fencing,
				       &target->checks_fencing);
	return status;
}

static ctl_status_t check_service(ctl_t *ctl, const char *name)
{
	store_kv_t kv;
	ctl_status_t status = ctl_get_named(ctl, RECORD_SERVICE, name, &kv);

	record_clear(&kv.record);
	return status;
}

static ctl_status_t set(ctl_t *ctl, const args_t *args)
{
	const char *name = args->names[0];
	store_kv_t kv;
	record_target_t *target = &kv.record.u.target;
	bool is_new;
	ctl_status_t status =
		ctl_get_or_new(ctl, RECORD_TARGET, name, &kv, &is_new);

	if (status == CTL_OK && is_new) {
		target->concurrency = CONCURRENCY_DEFAULT;
		g_strlcpy(target->name, name, sizeof(target->name));
	}
	if (status == CTL_OK)
		status = set_options(ctl, args, target);
	if (status == CTL_OK)
		status = check_service(ctl, target->service);
	if (status == CTL_OK)
		status = ctl_put_record(ctl, &kv);
	if (status == CTL_OK)
		ctl_print_message(ctl, "target %s set", name);
	record_clear(&kv.record);
	return status;
}

static ctl_status_t change(ctl_t *ctl, const args_t *args)
{
	store_kv_t kv;
	record_target_t *target = &kv.record.u.target;
	ctl_status_t status =
		ctl_get_named(ctl, RECORD_TARGET, args->names[0], &kv);

	if (status == CTL_OK) {
		if (args->command == COMMAND_TARGET_REMOVE)
			target->removed = true;
		else
			target->draining =
				args->command == COMMAND_TARGET_DRAIN;
		status = ctl_put_record(ctl, &kv);
	}
	if (status == CTL_OK)
		ctl_print_message(ctl, "target %s changed", args->names[0]);
	record_clear(&kv.record);
	return status;
}

ctl_status_t target_run(ctl_t *ctl, const args_t *args)
{
	switch (args->command) {
	case COMMAND_TARGET_SET:
		return set(ctl, args);
	case COMMAND_TARGET_LIST:
		return ctl_print_list(ctl, "conf/target/");
	default:
		return change(ctl, args);
	}
}
