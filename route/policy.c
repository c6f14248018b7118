#include "route/policy.h"

static const policy_t presets[PRESET_COUNT] = {
	[PRESET_ORDINARY] =
		{
			.queue_max = 10000,
			.account_queue_percent = 50,
			.short_room_percent = 25,
			.share_percent = 100,
			.burst_percent = 200,
			.size_weight_percent = 100,
			.margin_percent = 80,
			.urgent_ms = 1500,
			.refuse_percent = 100,
			.eject_factor_percent = 300,
			.eject_max_percent = 34,
			.eject_ms = 500,
			.eject_max_ms = 10000,
			.overdue_factor_percent = 300,
			.overdue_count = 2,
			.late_count = 3,
			.slow_start_ms = 2000,
			.hedge_permille = 30,
			.hedge_delay_percent = 150,
			.zone_spill_percent = 20,
			.affinity_percent = 125,
			.backoff_ms = 100,
			.backoff_max_ms = 10000,
			.leave_hold_ms = 60000,
		},
	/* Reserves more for short work, hedges less and refuses earlier. */
	[PRESET_PEAK] =
		{
			.queue_max = 5000,
			.account_queue_percent = 25,
			.short_room_percent = 40,
			.share_percent = 100,
			.burst_percent = 150,
			.size_weight_percent = 200,
			.margin_percent = 80,
			.urgent_ms = 1000,
			.refuse_percent = 85,
			.eject_factor_percent = 400,
			.eject_max_percent = 20,
			.eject_ms = 500,
			.eject_max_ms = 5000,
			.overdue_factor_percent = 400,
			.overdue_count = 3,
			.late_count = 4,
			.slow_start_ms = 1000,
			.hedge_permille = 10,
			.hedge_delay_percent = 150,
			.zone_spill_percent = 10,
			.affinity_percent = 110,
			.backoff_ms = 100,
			.backoff_max_ms = 5000,
			.leave_hold_ms = 60000,
		},
	/*
	 * Targets restart one after the other: a returning target is loaded
	 * slowly, and one that announced that it leaves is held for longer.
	 */
	[PRESET_MAINTENANCE] =
		{
			.queue_max = 10000,
			.account_queue_percent = 50,
			.short_room_percent = 25,
			.share_percent = 100,
			.burst_percent = 200,
			.size_weight_percent = 100,
			.margin_percent = 80,
			.urgent_ms = 1000,
			.refuse_percent = 100,
			.eject_factor_percent = 400,
			.eject_max_percent = 20,
			.eject_ms = 1000,
			.eject_max_ms = 20000,
			.overdue_factor_percent = 400,
			.overdue_count = 3,
			.late_count = 4,
			.slow_start_ms = 10000,
			.hedge_permille = 20,
			.hedge_delay_percent = 150,
			.zone_spill_percent = 20,
			.affinity_percent = 125,
			.backoff_ms = 500,
			.backoff_max_ms = 20000,
			.leave_hold_ms = 600000,
		},
};

const policy_t *policy_get(preset_t preset)
{
	if ((unsigned)preset >= PRESET_COUNT)
		preset = PRESET_ORDINARY;
	return &presets[preset];
}

bool policy_row(preset_t preset, uint32_t index, policy_row_t *row)
{
	const policy_t *policy = policy_get(preset);
	const policy_row_t rows[] = {
#define X(name, unit, help) {#name, policy->name, unit, help},
		POLICY_LIST(X)
#undef X
	};

	if (index >= G_N_ELEMENTS(rows))
		return false;
	*row = rows[index];
	return true;
}
