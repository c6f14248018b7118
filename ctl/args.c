#include "ctl/args.h"

#include <string.h>

#define TOKENS_MAX (INT64_C(1) << 52) /* tokens in one command */
#define STORE_ENV "TANAGERTRESTLE_STORE" /* URLs, comma-separated */
#define STORE_TOKEN_ENV "TANAGERTRESTLE_STORE_TOKEN"

typedef enum option_group_t {
	OPTIONS_COMMON = 0,
	OPTIONS_KEY = 1,
	OPTIONS_LIMITS = 2,
	OPTIONS_SERVICE = 4,
	OPTIONS_TARGET = 8,
	OPTIONS_RECLAIM = 16,
	OPTIONS_EXPLAIN = 32, /* of a command that does not use the store */
} option_group_t;

typedef struct command_spec_t {
	const char *noun;
	const char *verb; /* "" for a command of one word */
	command_t command;
	unsigned int options; /* set of option_group_t */
	guint arg_count;
	const char *args;
	const char *help;
} command_spec_t;

static const command_spec_t commands[] = {
	{"account", "create", COMMAND_ACCOUNT_CREATE,
	 OPTIONS_KEY | OPTIONS_LIMITS, 1, "NAME",
	 "create a client account; its API key is shown once"},
	{"account", "list", COMMAND_ACCOUNT_LIST, 0, 0, "",
	 "list the client accounts"},
	{"account", "show", COMMAND_ACCOUNT_SHOW, 0, 1, "NAME",
	 "show a client account"},
	{"account", "disable", COMMAND_ACCOUNT_DISABLE, 0, 1, "NAME",
	 "refuse the account's requests"},
	{"account", "enable", COMMAND_ACCOUNT_ENABLE, 0, 1, "NAME",
	 "accept the account's requests again"},
	{"account", "set", COMMAND_ACCOUNT_SET, OPTIONS_LIMITS, 1, "NAME",
	 "change a client account's weight or limit"},
	{"account", "remove", COMMAND_ACCOUNT_REMOVE, 0, 1, "NAME",
	 "remove a client account; its budgets stay"},
	{"key", "add", COMMAND_KEY_ADD, OPTIONS_KEY, 1, "ACCOUNT",
	 "add an API key, which is shown once"},
	{"key", "remove", COMMAND_KEY_REMOVE, 0, 2, "ACCOUNT HASH",
	 "remove the API key whose hash begins with HASH"},
	{"budget", "create", COMMAND_BUDGET_CREATE, 0, 2,
	 "ACCOUNT[/BUDGET] TOKENS", "create a prepaid budget"},
	{"budget", "topup", COMMAND_BUDGET_TOPUP, 0, 2,
	 "ACCOUNT[/BUDGET] TOKENS", "add tokens to a budget"},
	{"budget", "lower", COMMAND_BUDGET_LOWER, 0, 2,
	 "ACCOUNT[/BUDGET] TOKENS",
	 "lower a budget to TOKENS, not below what is granted"},
	{"budget", "show", COMMAND_BUDGET_SHOW, 0, 1, "ACCOUNT[/BUDGET]",
	 "show a budget and the grants drawn on it"},
	{"budget", "list", COMMAND_BUDGET_LIST, 0, 0, "", "list the budgets"},
	{"budget", "reclaim", COMMAND_BUDGET_RECLAIM, OPTIONS_RECLAIM, 1,
	 "INCARNATION",
	 "give back the grants of a router that is gone for good"},
	{"service", "set", COMMAND_SERVICE_SET, OPTIONS_SERVICE, 1, "NAME",
	 "create a service or change it"},
	{"service", "list", COMMAND_SERVICE_LIST, 0, 0, "",
	 "list the services"},
	{"service", "show", COMMAND_SERVICE_SHOW, 0, 1, "NAME",
	 "show a service"},
	{"service", "remove", COMMAND_SERVICE_REMOVE, 0, 1, "NAME",
	 "remove a service"},
	{"target", "set", COMMAND_TARGET_SET, OPTIONS_TARGET, 1, "NAME",
	 "create a target or change it"},
	{"target", "list", COMMAND_TARGET_LIST, 0, 0, "", "list the targets"},
	{"target", "drain", COMMAND_TARGET_DRAIN, 0, 1, "NAME",
	 "give a target no new work"},
	{"target", "undrain", COMMAND_TARGET_UNDRAIN, 0, 1, "NAME",
	 "give a target work again"},
	{"target", "remove", COMMAND_TARGET_REMOVE, 0, 1, "NAME",
	 "remove a target"},
	{"target", "order", COMMAND_TARGET_ORDER, 0, 3,
	 "NAME load|unload|role WHAT[@VERSION]",
	 "wish that a target loads or unloads a model or takes a role"},
	{"target", "orders", COMMAND_TARGET_ORDERS, 0, 0, "",
	 "list the wishes for targets and how far they are"},
	{"preset", "set", COMMAND_PRESET_SET, 0, 1, "ordinary|peak|maintenance",
	 "put a preset in force"},
	{"preset", "show", COMMAND_PRESET_SHOW, 0, 0, "",
	 "show the preset in force and what each one sets"},
	{"status", "", COMMAND_STATUS, 0, 0, "",
	 "show routers, targets, budgets, preset, refusals"},
	{"explain", "", COMMAND_EXPLAIN, OPTIONS_EXPLAIN, 1, "ADDRESS",
	 "show where a gateway would send a request now"},
};

bool ctl_has_noun(const char *noun)
{
	for (gsize i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].noun, noun) == 0)
			return true;
	}
	return false;
}

void ctl_usage(GString *out)
{
	for (gsize i = 0; i < G_N_ELEMENTS(commands); i++) {
		const command_spec_t *spec = &commands[i];
		g_autofree char *text = g_strdup_printf("%s %s %s", spec->noun,
							spec->verb, spec->args);

		g_string_append_printf(out, "  %-42s %s\n", text, spec->help);
	}
}

static const command_spec_t *find_spec(const char *noun, const char *verb)
{
	for (gsize i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].noun, noun) == 0 &&
		    (commands[i].verb[0] == '\0' ||
		     (verb != NULL && strcmp(commands[i].verb, verb) == 0)))
			return &commands[i];
	}
	return NULL;
}

ctl_status_t args_get_int(ctl_t *ctl, const char *name, gint given, gint min,
			  gint max, uint32_t *value)
{
	if (given == OPTION_UNSET)
		return CTL_OK;
	if (given < min || given > max) {
		errmsg_set(&ctl->err,
			   "--%s: %d is not allowed, expected %d "
			   "to %d",
			   name, given, min, max);
		return CTL_USAGE;
	}
	*value = (uint32_t)given;
	return CTL_OK;
}

ctl_status_t args_get_bool(ctl_t *ctl, const char *name, const char *given,
			   bool *value)
{
	if (given == NULL)
		return CTL_OK;
	if (strcmp(given, "yes") != 0 && strcmp(given, "no") != 0) {
		errmsg_set(&ctl->err,
			   "--%s: %.40s is not allowed, expected yes or no",
			   name, given);
		return CTL_USAGE;
	}
	*value = strcmp(given, "yes") == 0;
	return CTL_OK;
}

ctl_status_t args_parse_tokens(ctl_t *ctl, const char *text, int64_t min,
			       int64_t *tokens)
{
	gint64 value;

	if (!g_ascii_string_to_signed(text, 10, min, TOKENS_MAX, &value,
				      NULL)) {
		errmsg_set(&ctl->err,
			   "%.40s is not allowed, expected %" G_GINT64_FORMAT
			   " to %" G_GINT64_FORMAT " tokens",
			   text, min, TOKENS_MAX);
		return CTL_USAGE;
	}
	*tokens = value;
	return CTL_OK;
}

static void add_common(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"store", 0, 0, G_OPTION_ARG_STRING_ARRAY, &args->stores,
		 "URL of the store, may be repeated", "URL"},
		{"prefix", 0, 0, G_OPTION_ARG_STRING, &args->prefix,
		 "prefix of all keys", "TEXT"},
		{"op", 0, 0, G_OPTION_ARG_STRING, &args->op,
		 "operation id: a repeated top-up with the same id adds "
		 "nothing",
		 "ID"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &args->json,
		 "print JSON for scripts", NULL},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static void add_key(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"budget", 0, 0, G_OPTION_ARG_STRING, &args->budget,
		 "budget that the API key draws on (main)", "NAME"},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static void add_limits(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"weight", 0, 0, G_OPTION_ARG_INT, &args->weight,
		 "share of capacity under load, 1 to 1000 (100)", "N"},
		{"max-requests", 0, 0, G_OPTION_ARG_INT, &args->max_requests,
		 "requests in progress at one router, 0 for no limit", "N"},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static void add_reclaim(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"force", 0, 0, G_OPTION_ARG_NONE, &args->force,
		 "also grants that no buddy has recovered", NULL},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static void add_service(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"kind", 0, 0, G_OPTION_ARG_STRING, &args->kind,
		 "model or plain", "KIND"},
		{"path-prefix", 0, 0, G_OPTION_ARG_STRING, &args->path_prefix,
		 "path prefix of a plain service", "PATH"},
		{"idempotent", 0, 0, G_OPTION_ARG_STRING, &args->idempotent,
		 "calls may be repeated: yes or no", "YES|NO"},
		{"hedge", 0, 0, G_OPTION_ARG_STRING, &args->hedge,
		 "second attempts of slow short calls: yes or no", "YES|NO"},
		{"deadline-ms", 0, 0, G_OPTION_ARG_INT, &args->deadline_ms,
		 "default deadline", "MS"},
		{"first-byte-ms", 0, 0, G_OPTION_ARG_INT, &args->first_byte_ms,
		 "longest wait for a target's head", "MS"},
		{"idle-ms", 0, 0, G_OPTION_ARG_INT, &args->idle_ms,
		 "longest silence within an answer", "MS"},
		{"max-tokens", 0, 0, G_OPTION_ARG_INT, &args->max_tokens,
		 "limit on generated tokens", "N"},
		{"call-tokens", 0, 0, G_OPTION_ARG_INT, &args->call_tokens,
		 "price of a call of a plain service", "N"},
		{"short-tokens", 0, 0, G_OPTION_ARG_INT, &args->short_tokens,
		 "work up to this size counts as short", "N"},
		{"max-body", 0, 0, G_OPTION_ARG_INT, &args->max_body,
		 "largest request body", "BYTES"},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static void add_target(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"service", 0, 0, G_OPTION_ARG_STRING, &args->service,
		 "service that the target runs", "NAME"},
		{"address", 0, 0, G_OPTION_ARG_STRING, &args->address,
		 "address of the target", "IP:PORT"},
		{"availability-zone", 0, 0, G_OPTION_ARG_STRING,
		 &args->availability_zone, "availability zone", "NAME"},
		{"concurrency", 0, 0, G_OPTION_ARG_INT, &args->concurrency,
		 "requests that it runs at one time", "N"},
		{"checks-fencing", 0, 0, G_OPTION_ARG_STRING,
		 &args->checks_fencing,
		 "refuses orders with an old fencing number: yes or no",
		 "YES|NO"},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static void add_explain(GOptionContext *context, args_t *args)
{
	const GOptionEntry entries[] = {
		{"host", 0, 0, G_OPTION_ARG_STRING, &args->host,
		 "host of the request", "NAME"},
		{"path", 0, 0, G_OPTION_ARG_STRING, &args->path,
		 "path of the request", "PATH"},
		{"service", 0, 0, G_OPTION_ARG_STRING, &args->service,
		 "service, instead of the one of the route", "NAME"},
		{"account", 0, 0, G_OPTION_ARG_STRING, &args->account,
		 "client account", "NAME"},
		{"tokens", 0, 0, G_OPTION_ARG_STRING, &args->tokens,
		 "tokens of the prompt and limit on generated ones",
		 "PROMPT,MAX"},
		{"parts", 0, 0, G_OPTION_ARG_STRING, &args->parts,
		 "parts of the prompt, the ids in hexadecimal",
		 "ID:TOKENS,..."},
		{NULL}};
	g_option_context_add_main_entries(context, entries, NULL);
}

static bool parse_options(const command_spec_t *spec, int *argc, char ***argv,
			  args_t *args, errmsg_t *err)
{
	g_autoptr(GOptionContext) context = g_option_context_new(spec->args);
	g_autoptr(GError) error = NULL;
	g_autofree char *summary =
		g_strdup_printf("tanagertrestle %s %s: %s.", spec->noun,
				spec->verb, spec->help);

	g_option_context_set_summary(context, summary);
	add_common(context, args);
	if (spec->options & OPTIONS_KEY)
		add_key(context, args);
	if (spec->options & OPTIONS_LIMITS)
		add_limits(context, args);
	if (spec->options & OPTIONS_RECLAIM)
		add_reclaim(context, args);
	if (spec->options & OPTIONS_SERVICE)
		add_service(context, args);
	if (spec->options & OPTIONS_TARGET)
		add_target(context, args);
	if (spec->options & OPTIONS_EXPLAIN)
		add_explain(context, args);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		errmsg_set(err, "%s", error->message);
		return false;
	}
	return true;
}

static void init_int_options(args_t *args)
{
	args->weight = OPTION_UNSET;
	args->max_requests = OPTION_UNSET;
	args->deadline_ms = OPTION_UNSET;
	args->first_byte_ms = OPTION_UNSET;
	args->idle_ms = OPTION_UNSET;
	args->max_tokens = OPTION_UNSET;
	args->call_tokens = OPTION_UNSET;
	args->short_tokens = OPTION_UNSET;
	args->max_body = OPTION_UNSET;
	args->concurrency = OPTION_UNSET;
}

void args_clear(args_t *args)
{
	g_strfreev(args->stores);
	g_strfreev(args->names);
	g_free(args->prefix);
	g_free(args->token);
	g_free(args->op);
	g_free(args->budget);
	g_free(args->kind);
	g_free(args->path_prefix);
	g_free(args->idempotent);
	g_free(args->hedge);
	g_free(args->service);
	g_free(args->address);
	g_free(args->availability_zone);
	g_free(args->checks_fencing);
	g_free(args->host);
	g_free(args->path);
	g_free(args->account);
	g_free(args->parts);
	g_free(args->tokens);
}

static ctl_status_t check_arguments(const command_spec_t *spec, args_t *args,
				    errmsg_t *err)
{
	const char *store_env = g_getenv(STORE_ENV);

	if (g_strv_length(args->names) != spec->arg_count) {
		errmsg_set(err, "usage: tanagertrestle %s %s %s [option ...]",
			   spec->noun, spec->verb, spec->args);
		return CTL_USAGE;
	}
	if (spec->options & OPTIONS_EXPLAIN)
		return CTL_OK;
	if (args->stores == NULL && store_env != NULL)
		args->stores = g_strsplit(store_env, ",", 0);
	if (args->stores == NULL || args->stores[0] == NULL) {
		errmsg_set(err, "no store: give --store URL or set " //
			   STORE_ENV);
		return CTL_USAGE;
	}
	if (args->op != NULL && !name_is_valid(args->op)) {
		errmsg_set(err, "--op: expected 1 to 63 letters, digits, '.', "
				"'_', '-'");
		return CTL_USAGE;
	}
	if (args->op != NULL && strlen(args->op) >= INCARNATION_SIZE) {
		errmsg_set(err, "--op: longer than %d bytes",
			   INCARNATION_SIZE - 1);
		return CTL_USAGE;
	}
	args->token = g_strdup(g_getenv(STORE_TOKEN_ENV));
	return CTL_OK;
}

ctl_status_t args_parse(args_t *args, int argc, char **argv, errmsg_t *err)
{
	const command_spec_t *spec =
		find_spec(argv[1], argc > 2 ? argv[2] : NULL);
	int word_count;

	memset(args, 0, sizeof(*args));
	if (spec == NULL) {
		errmsg_set(err,
			   "%.80s: unknown or missing verb, see "
			   "tanagertrestle help",
			   argv[1]);
		return CTL_USAGE;
	}
	init_int_options(args);
	args->command = spec->command;
	word_count = spec->verb[0] == '\0' ? 1 : 2;
	argc -= word_count;
	argv += word_count;
	if (!parse_options(spec, &argc, &argv, args, err))
		return CTL_USAGE;
	args->names = g_strdupv(argv + 1);
	return check_arguments(spec, args, err);
}
