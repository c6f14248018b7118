/*
 * The operators' client: changes configuration and budgets in the platform's
 * store by compare-and-swap, and shows them.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Exit codes, for scripts. */
typedef enum ctl_status_t {
	CTL_OK = 0,
	CTL_FAILED = 1, /* the store can't be reached */
	CTL_USAGE = 2, /* bad command line */
	CTL_REFUSED = 3, /* the request makes no sense for what is stored */
	CTL_RACE = 4, /* another operator changed it first */
	CTL_UNKNOWN = 5, /* it may or may not have taken effect */
} ctl_status_t;

/* Runs "NOUN VERB ..." and returns the exit code. */
int ctl_main(int argc, char **argv);

/* True if a command of the client begins with this word. */
bool ctl_has_noun(const char *noun);

/* Appends a usage line for each command. */
void ctl_usage(GString *out);

G_END_DECLS

#endif
