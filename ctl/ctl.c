#include "ctl/ctl.h"

#include "ctl/command.h"

#include <stdio.h>

static void receive(void *self, msg_t *msg)
{
	ctl_t *ctl = self;

	if (msg->kind == MSG_STORE_RESULT && ctl->result == NULL)
		ctl->result = g_steal_pointer(&msg->u.store_result);
}

static ctl_status_t run_command(ctl_t *ctl, const args_t *args)
{
	switch (args->command) {
	case COMMAND_ACCOUNT_CREATE:
	case COMMAND_ACCOUNT_LIST:
	case COMMAND_ACCOUNT_SHOW:
	case COMMAND_ACCOUNT_DISABLE:
	case COMMAND_ACCOUNT_ENABLE:
	case COMMAND_ACCOUNT_REMOVE:
	case COMMAND_ACCOUNT_SET:
	case COMMAND_KEY_ADD:
	case COMMAND_KEY_REMOVE:
		return account_run(ctl, args);
	case COMMAND_BUDGET_CREATE:
	case COMMAND_BUDGET_TOPUP:
	case COMMAND_BUDGET_LOWER:
	case COMMAND_BUDGET_SHOW:
	case COMMAND_BUDGET_LIST:
	case COMMAND_BUDGET_RECLAIM:
		return budget_run(ctl, args);
	case COMMAND_SERVICE_SET:
	case COMMAND_SERVICE_LIST:
	case COMMAND_SERVICE_SHOW:
	case COMMAND_SERVICE_REMOVE:
		return service_run(ctl, args);
	case COMMAND_TARGET_SET:
	case COMMAND_TARGET_LIST:
	case COMMAND_TARGET_DRAIN:
	case COMMAND_TARGET_UNDRAIN:
	case COMMAND_TARGET_REMOVE:
		return target_run(ctl, args);
	case COMMAND_TARGET_ORDER:
	case COMMAND_TARGET_ORDERS:
		return order_run(ctl, args);
	case COMMAND_PRESET_SET:
	case COMMAND_PRESET_SHOW:
		return preset_run(ctl, args);
	case COMMAND_STATUS:
		return status_run(ctl, args);
	case COMMAND_EXPLAIN:
		break;
	}
	return CTL_USAGE;
}

/* Sets the operation id: the one given with --op or a new unique one. */
static void make_op(ctl_t *ctl, const args_t *args)
{
	char uuid[INCARNATION_SIZE];

	if (args->op != NULL) {
		g_strlcpy(ctl->op.writer, args->op, sizeof(ctl->op.writer));
	} else {
		kernel_uuid(&ctl->kernel, uuid);
		/* The tail of a version 7 UUID is its random part. */
		g_snprintf(ctl->op.writer, sizeof(ctl->op.writer), "%.20s-%s",
			   g_get_user_name(), uuid + 24);
	}
	ctl->op.seq = 1;
}

static ctl_status_t run_with_store(const args_t *args, errmsg_t *err)
{
	ctl_t ctl = {.json = args->json};
	store_opts_t opts = {0};
	ctl_status_t status;

	kernel_init(&ctl.kernel, CLOCK_REAL, 0);
	ctl.out = g_string_new(NULL);
	ctl.svc = kernel_register(&ctl.kernel, "ctl", receive, &ctl);
	opts.endpoints = (const char *const *)args->stores;
	opts.key_prefix = args->prefix;
	opts.token = args->token;
	store_init(&ctl.store, &ctl.kernel, &opts);
	kernel_start(&ctl.kernel);
	make_op(&ctl, args);
	status = run_command(&ctl, args);
	fputs(ctl.out->str, stdout);
	*err = ctl.err;
	store_finish(&ctl.store);
	g_string_free(ctl.out, TRUE);
	kernel_finish(&ctl.kernel);
	return status;
}

int ctl_main(int argc, char **argv)
{
	args_t args;
	errmsg_t err = {""};
	ctl_status_t status = args_parse(&args, argc, argv, &err);

	if (status == CTL_OK && args.command == COMMAND_EXPLAIN)
		status = explain_run(&args, &err);
	else if (status == CTL_OK)
		status = run_with_store(&args, &err);
	if (status != CTL_OK)
		fprintf(stderr, "tanagertrestle: %s\n", err.text);
	args_clear(&args);
	return status;
}
