#include "balance/explain.h"

#include "balance/queue.h"

#include <string.h>

static const char *yes_or_no(bool value)
{
	return value ? "yes" : "no";
}

static bool is_chosen(const prospect_t *prospect,
		      const balance_target_t *target)
{
	switch (prospect->kind) {
	case PROSPECT_SENT:
		return prospect->choice.u.target == target;
	case PROSPECT_ASKS:
		return prospect->choice.u.ask.target == target;
	case PROSPECT_WAITS:
	case PROSPECT_REFUSED:
		break;
	}
	return false;
}

static void add_target(const balance_t *balance, const considered_t *considered,
		       const prospect_t *prospect, GString *text)
{
	const balance_target_t *target = considered->target;
	const target_cost_t *cost = &considered->cost;

	g_string_append_printf(
		text,
		"target=%s zone=%s usable=%s reason=%s chosen=%s "
		"cost_ms=%.1f work_ms=%.1f slowness_ms=%.1f zone_ms=%.1f "
		"failures_ms=%.1f overdue_ms=%.1f outstanding=%u "
		"requests=%.1f slots=%u\n",
		target->info.id, target->info.zone,
		yes_or_no(considered->reason == PASS_NONE),
		pass_reason_name(considered->reason),
		yes_or_no(is_chosen(prospect, target)), cost->total, cost->work,
		cost->slowness, cost->zone, cost->failures, cost->overdue,
		target->outstanding,
		balance_target_requests(target, kernel_now(balance->kernel)),
		target->info.slots);
}

static void add_room(const balance_t *balance, const prospect_t *prospect,
		     GString *text)
{
	int64_t now = kernel_now(balance->kernel);

	if (prospect->room_at == INT64_MAX)
		g_string_append(text, " room_in_ms=unknown");
	else
		g_string_append_printf(text, " room_in_ms=%" G_GINT64_FORMAT,
				       MAX(prospect->room_at - now, 0) /
					       USEC_PER_MSEC);
}

static void add_outcome(const balance_t *balance, const msg_t *msg,
			const prospect_t *prospect, GString *text)
{
	int64_t wait = msg->u.place.deadline - kernel_now(balance->kernel);

	switch (prospect->kind) {
	case PROSPECT_SENT:
		g_string_append_printf(text, "outcome=sent target=%s",
				       prospect->choice.u.target->info.id);
		break;
	case PROSPECT_ASKS:
		g_string_append_printf(
			text, "outcome=asks_for_permit target=%s room_now=%s",
			prospect->choice.u.ask.target->info.id,
			yes_or_no(prospect->choice.u.ask.at_once));
		break;
	case PROSPECT_WAITS:
		g_string_append_printf(text,
				       "outcome=waits at_most_ms="
				       "%" G_GINT64_FORMAT,
				       wait / USEC_PER_MSEC);
		add_room(balance, prospect, text);
		break;
	case PROSPECT_REFUSED:
		g_string_append_printf(text, "outcome=refused reason=%s",
				       refusal_name(prospect->reason));
		add_room(balance, prospect, text);
		break;
	}
	g_string_append_printf(text, " ahead=%u jitter_ms=%.1f\n",
			       prospect->ahead, CHOICE_JITTER_MS);
}

static void post_text(balance_t *balance, handle_t ref, GString *text)
{
	svc_t ingress = kernel_find(balance->kernel, "ingress");
	msg_t data = {.kind = MSG_EXCHANGE_DATA, .ref = ref};
	msg_t end = {.kind = MSG_EXCHANGE_END, .ref = ref};

	data.u.data.bytes = g_string_free_to_bytes(text);
	kernel_post(balance->kernel, balance->svc, ingress, &data);
	kernel_post(balance->kernel, balance->svc, ingress, &end);
}

void explain_place(balance_t *balance, const msg_t *msg)
{
	GArray *considered = g_array_new(FALSE, FALSE, sizeof(considered_t));
	GString *text = g_string_new(NULL);
	prospect_t prospect;

	queue_explain(balance, msg, considered, &prospect);
	for (guint i = 0; i < considered->len; i++)
		add_target(balance, &g_array_index(considered, considered_t, i),
			   &prospect, text);
	add_outcome(balance, msg, &prospect, text);
	post_text(balance, msg->ref, text);
	g_array_unref(considered);
}
