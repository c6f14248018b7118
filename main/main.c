/*
 * Entry point of tanagertrestle, one binary with the router, the gateway and
 * the operators' client.
 */
#include "ctl/ctl.h"
#include "gateway/gateway.h"
#include "router/router.h"
#include "settings/settings.h"

#include <stdio.h>
#include <string.h>

#define VERSION "0.1"
#define EXIT_USAGE 2

typedef enum command_t {
	COMMAND_UNKNOWN,
	COMMAND_ROUTER,
	COMMAND_GATEWAY,
	COMMAND_CHECK,
	COMMAND_SETTINGS,
	COMMAND_CLIENT,
	COMMAND_HELP,
	COMMAND_VERSION,
} command_t;

static command_t parse_command(const char *name)
{
	if (strcmp(name, "router") == 0)
		return COMMAND_ROUTER;
	if (strcmp(name, "gateway") == 0)
		return COMMAND_GATEWAY;
	if (strcmp(name, "check") == 0)
		return COMMAND_CHECK;
	if (strcmp(name, "settings") == 0)
		return COMMAND_SETTINGS;
	if (strcmp(name, "help") == 0 || strcmp(name, "--help") == 0)
		return COMMAND_HELP;
	if (strcmp(name, "version") == 0 || strcmp(name, "--version") == 0)
		return COMMAND_VERSION;
	return ctl_has_noun(name) ? COMMAND_CLIENT : COMMAND_UNKNOWN;
}

static void usage(FILE *stream)
{
	GString *text =
		g_string_new("usage: tanagertrestle command [arg ...]\n");

	g_string_append(text, "  router -f SETTINGS                         "
			      "run a router\n"
			      "  gateway -f SETTINGS                        "
			      "run a gateway on the users' platform\n"
			      "  check SETTINGS                             "
			      "check a settings file\n"
			      "  settings                                   "
			      "print the reference of all settings\n"
			      "  version                                    "
			      "print the version\n");
	ctl_usage(text);
	fputs(text->str, stream);
	g_string_free(text, TRUE);
}

static int print_settings(void)
{
	GString *text = g_string_new(NULL);

	settings_print_reference(text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
	return 0;
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		usage(stderr);
		return EXIT_USAGE;
	}
	switch (parse_command(argv[1])) {
	case COMMAND_ROUTER:
		return router_main(argc - 1, argv + 1);
	case COMMAND_GATEWAY:
		return gateway_main(argc - 1, argv + 1);
	case COMMAND_CHECK:
		return router_check_main(argc - 1, argv + 1);
	case COMMAND_SETTINGS:
		return print_settings();
	case COMMAND_CLIENT:
		return ctl_main(argc, argv);
	case COMMAND_HELP:
		usage(stdout);
		return 0;
	case COMMAND_VERSION:
		puts("tanagertrestle " VERSION);
		return 0;
	case COMMAND_UNKNOWN:
		break;
	}
	fprintf(stderr,
		"tanagertrestle: %s: unknown command, see "
		"tanagertrestle help\n",
		argv[1]);
	return EXIT_USAGE;
}
