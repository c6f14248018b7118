/*
 * Command-line parsing of the operators' client: commands, options and
 * positional arguments.
 */
#ifndef CTL_ARGS_H
#define CTL_ARGS_H

#include "ctl/call.h"

G_BEGIN_DECLS

typedef enum command_t {
	COMMAND_ACCOUNT_CREATE,
	COMMAND_ACCOUNT_LIST,
	COMMAND_ACCOUNT_SHOW,
	COMMAND_ACCOUNT_DISABLE,
	COMMAND_ACCOUNT_ENABLE,
	COMMAND_ACCOUNT_REMOVE,
	COMMAND_ACCOUNT_SET,
	COMMAND_KEY_ADD,
	COMMAND_KEY_REMOVE,
	COMMAND_BUDGET_CREATE,
	COMMAND_BUDGET_TOPUP,
	COMMAND_BUDGET_LOWER,
	COMMAND_BUDGET_SHOW,
	COMMAND_BUDGET_LIST,
	COMMAND_BUDGET_RECLAIM,
	COMMAND_SERVICE_SET,
	COMMAND_SERVICE_LIST,
	COMMAND_SERVICE_SHOW,
	COMMAND_SERVICE_REMOVE,
	COMMAND_TARGET_SET,
	COMMAND_TARGET_LIST,
	COMMAND_TARGET_DRAIN,
	COMMAND_TARGET_UNDRAIN,
	COMMAND_TARGET_REMOVE,
	COMMAND_TARGET_ORDER,
	COMMAND_TARGET_ORDERS,
	COMMAND_PRESET_SET,
	COMMAND_PRESET_SHOW,
	COMMAND_STATUS,
	COMMAND_EXPLAIN,
} command_t;

#define OPTION_UNSET (-1) /* an integer option that was not given */

typedef struct args_t {
	command_t command;
	char **names; /* positional arguments after the noun and the verb */

	char **stores;
	char *prefix;
	char *token;
	char *op;
	gboolean json;

	char *budget;
	gint weight;
	gint max_requests;

	gboolean force;

	char *kind;
	char *path_prefix;
	char *idempotent;
	char *hedge;
	gint deadline_ms;
	gint first_byte_ms;
	gint idle_ms;
	gint max_tokens;
	gint call_tokens;
	gint short_tokens;
	gint max_body;

	char *service;
	char *address;
	char *availability_zone;
	gint concurrency;
	char *checks_fencing;

	char *host;
	char *path;
	char *account;
	char *parts;
	char *tokens;
} args_t;

/*
 * Parses "PROGRAM NOUN VERB ...".  The caller must call args_clear()
 * afterwards, also on failure.
 */
ctl_status_t args_parse(args_t *args, int argc, char **argv, errmsg_t *err);
void args_clear(args_t *args);

/*
 * Checks the range of an integer option and stores it.  An option that was not
 * given leaves *value unchanged.
 */
ctl_status_t args_get_int(ctl_t *ctl, const char *name, gint given, gint min,
			  gint max, uint32_t *value);
/* Stores a "yes" or "no" option.  NULL leaves *value unchanged. */
ctl_status_t args_get_bool(ctl_t *ctl, const char *name, const char *given,
			   bool *value);
/* Parses a whole number of tokens from min to TOKENS_MAX. */
ctl_status_t args_parse_tokens(ctl_t *ctl, const char *text, int64_t min,
			       int64_t *tokens);

G_END_DECLS

#endif
