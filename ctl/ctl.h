/*
 * The operators' command-line client: shows configuration and budgets in the
 * platform's store and changes them by compare-and-swap.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Exit codes; scripts depend on the numbers. */
typedef enum ctl_status_t {
	CTL_OK = 0,
	CTL_FAILED = 1, /* the store is unreachable or rejected the request */
	CTL_USAGE = 2, /* invalid command line */
	CTL_REFUSED = 3, /* the stored records do not allow the change */
	CTL_RACE = 4, /* another writer changed the record first */
	CTL_UNKNOWN = 5, /* the change may or may not have taken effect */
} ctl_status_t;

/* Runs "NOUN VERB ..." and returns the exit code. */
int ctl_main(int argc, char **argv);

/* Returns true if a command of the client begins with this word. */
bool ctl_has_noun(const char *noun);

/* Appends one usage line for each command. */
void ctl_usage(GString *out);

G_END_DECLS

#endif
