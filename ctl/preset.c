#include "ctl/command.h"
#include "ctl/out.h"

#define PRESET_KEY "conf/preset"

static ctl_status_t set(ctl_t *ctl, const args_t *args)
{
	store_kv_t kv;
	record_t record = {.kind = RECORD_PRESET};
	ctl_status_t status;

	if (!preset_parse(args->names[0], &record.u.preset.in_force)) {
		errmsg_set(&ctl->err,
			   "%.40s is not a preset, expected "
			   "ordinary, peak or maintenance",
			   args->names[0]);
		return CTL_USAGE;
	}
	record.u.preset.op = ctl->op;
	status = ctl_get(ctl, PRESET_KEY, &kv);
	if (status == CTL_OK)
		status = ctl_put(ctl, PRESET_KEY, kv.revision, &record);
	if (status == CTL_OK)
		ctl_say(ctl, "preset %s is in force", args->names[0]);
	record_clear(&kv.record);
	return status;
}

static ctl_status_t show(ctl_t *ctl)
{
	store_kv_t kv;
	ctl_status_t status = ctl_get(ctl, PRESET_KEY, &kv);

	if (status == CTL_OK) {
		preset_t preset = kv.record.kind == RECORD_PRESET
					  ? kv.record.u.preset.in_force
					  : PRESET_ORDINARY;

		ctl_say(ctl, "preset %s is in force", preset_name(preset));
	}
	record_clear(&kv.record);
	return status;
}

ctl_status_t preset_run(ctl_t *ctl, const args_t *args)
{
	if (args->command == COMMAND_PRESET_SET)
		return set(ctl, args);
	return show(ctl);
}
