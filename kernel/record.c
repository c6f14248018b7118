#include "kernel/record.h"

#include "kernel/fleet.h"

#include <string.h>

static const char *const preset_names[PRESET_COUNT] = {
	[PRESET_ORDINARY] = "ordinary",
	[PRESET_PEAK] = "peak",
	[PRESET_MAINTENANCE] = "maintenance",
};

static const char *const order_kinds[ORDER_KIND_COUNT] = {
	[ORDER_LOAD] = "load",
	[ORDER_UNLOAD] = "unload",
	[ORDER_ROLE] = "role",
};

static const char *const order_states[ORDER_STATE_COUNT] = {
	[ORDER_PENDING] = "pending",
	[ORDER_RUNNING] = "running",
	[ORDER_DONE] = "done",
	[ORDER_FAILED] = "failed",
};

void outcome_copy(outcome_t *to, const outcome_t *from)
{
	*to = *from;
	if (to->body != NULL)
		g_bytes_ref(to->body);
}

void outcome_clear(outcome_t *outcome)
{
	g_clear_pointer(&outcome->body, g_bytes_unref);
}

void record_copy(record_t *to, const record_t *from)
{
	*to = *from;
	switch (from->kind) {
	case RECORD_CLAIM:
		outcome_copy(&to->u.claim.outcome, &from->u.claim.outcome);
		break;
	case RECORD_FLEET_CONF:
		fleet_conf_ref(from->u.fleet_conf);
		break;
	case RECORD_FLEET_TARGET:
		to->u.fleet_target =
			g_memdup2(from->u.fleet_target, sizeof(fleet_target_t));
		break;
	case RECORD_ALLOCATION:
		to->u.allocation = allocation_copy(from->u.allocation);
		break;
	case RECORD_STREAMS:
		to->u.streams = record_streams_copy(from->u.streams);
		break;
	default:
		break;
	}
}

void record_clear(record_t *record)
{
	switch (record->kind) {
	case RECORD_CLAIM:
		outcome_clear(&record->u.claim.outcome);
		break;
	case RECORD_FLEET_CONF:
		fleet_conf_unref(record->u.fleet_conf);
		break;
	case RECORD_FLEET_TARGET:
		g_free(record->u.fleet_target);
		break;
	case RECORD_ALLOCATION:
		allocation_free(record->u.allocation);
		break;
	case RECORD_STREAMS:
		record_streams_free(record->u.streams);
		break;
	default:
		break;
	}
	memset(record, 0, sizeof(*record));
}

bool op_id_equal(const op_id_t *a, const op_id_t *b)
{
	return a->seq == b->seq && strcmp(a->writer, b->writer) == 0;
}

const char *preset_name(preset_t preset)
{
	return preset < PRESET_COUNT ? preset_names[preset] : "unknown";
}

bool preset_parse(const char *text, preset_t *preset)
{
	for (int i = 0; i < PRESET_COUNT; i++) {
		if (strcmp(text, preset_names[i]) == 0) {
			*preset = (preset_t)i;
			return true;
		}
	}
	return false;
}

const char *order_kind_name(order_kind_t kind)
{
	return kind < ORDER_KIND_COUNT ? order_kinds[kind] : "unknown";
}

bool order_kind_parse(const char *text, order_kind_t *kind)
{
	for (int i = 0; i < ORDER_KIND_COUNT; i++) {
		if (strcmp(text, order_kinds[i]) == 0) {
			*kind = (order_kind_t)i;
			return true;
		}
	}
	return false;
}

const char *order_state_name(order_state_t state)
{
	return state < ORDER_STATE_COUNT ? order_states[state] : "unknown";
}

bool record_is_removed(const record_t *record)
{
	switch (record->kind) {
	case RECORD_CLIENT_ACCOUNT:
		return record->u.client_account.removed;
	case RECORD_SERVICE:
		return record->u.service.removed;
	case RECORD_TARGET:
		return record->u.target.removed;
	default:
		return false;
	}
}

bool name_is_valid(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len >= NAME_SIZE || name[0] == '.')
		return false;
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(name[i]) && strchr("._-", name[i]) == NULL)
			return false;
	}
	return true;
}
