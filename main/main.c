/*
 * tanagertrestle: one binary with the daemon and the operators' client.
 */
#include "ctl/ctl.h"
#include "gateway/gateway.h"
#include "router/router.h"
#include "settings/settings.h"

#include <stdio.h>
#include <string.h>

#define VERSION "0.1"
#define EXIT_USAGE 2

typedef enum run_mode_t {
	MODE_UNKNOWN,
	MODE_ROUTER,
	MODE_GATEWAY,
	MODE_CHECK,
	MODE_SETTINGS,
	MODE_CLIENT,
	MODE_HELP,
	MODE_VERSION,
} run_mode_t;

static run_mode_t parse_mode(const char *word)
{
	if (strcmp(word, "router") == 0)
		return MODE_ROUTER;
	if (strcmp(word, "gateway") == 0)
		return MODE_GATEWAY;
	if (strcmp(word, "check") == 0)
		return MODE_CHECK;
	if (strcmp(word, "settings") == 0)
		return MODE_SETTINGS;
	if (strcmp(word, "help") == 0 || strcmp(word, "--help") == 0)
		return MODE_HELP;
	if (strcmp(word, "version") == 0 || strcmp(word, "--version") == 0)
		return MODE_VERSION;
	return ctl_has_noun(word) ? MODE_CLIENT : MODE_UNKNOWN;
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
	switch (parse_mode(argv[1])) {
	case MODE_ROUTER:
		return router_main(argc - 1, argv + 1);
	case MODE_GATEWAY:
		return gateway_main(argc - 1, argv + 1);
	case MODE_CHECK:
		return router_check_main(argc - 1, argv + 1);
	case MODE_SETTINGS:
		return print_settings();
	case MODE_CLIENT:
		return ctl_main(argc, argv);
	case MODE_HELP:
		usage(stdout);
		return 0;
	case MODE_VERSION:
		puts("tanagertrestle " VERSION);
		return 0;
	case MODE_UNKNOWN:
		break;
	}
	fprintf(stderr,
		"tanagertrestle: %s: unknown command, see "
		"tanagertrestle help\n",
		argv[1]);
	return EXIT_USAGE;
}
