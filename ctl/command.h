/*
 * Handlers of the client's commands, one for each group of commands.
 */
#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include "ctl/args.h"

G_BEGIN_DECLS

#define DEFAULT_BUDGET "main"

ctl_status_t account_run(ctl_t *ctl, const args_t *args);
ctl_status_t budget_run(ctl_t *ctl, const args_t *args);
ctl_status_t service_run(ctl_t *ctl, const args_t *args);
ctl_status_t target_run(ctl_t *ctl, const args_t *args);
ctl_status_t order_run(ctl_t *ctl, const args_t *args);
ctl_status_t preset_run(ctl_t *ctl, const args_t *args);
ctl_status_t status_run(ctl_t *ctl, const args_t *args);
/* Asks a gateway; the store is not used. */
ctl_status_t explain_run(const args_t *args, errmsg_t *err);

G_END_DECLS

#endif
