#include "balance/process.h"

#include "balance/heat.h"
#include "balance/queue.h"
#include "log/log.h"
#include "platform/entries.h"
#include "platform/wire.h"

#include <string.h>

/* A target's listening socket may be closed after its connections. */
#define FIRST_REPORT_US (50 * USEC_PER_MSEC)
/* Bounds of the time to the next report after one that did not come. */
#define RETRY_MIN_US (300 * USEC_PER_MSEC)
#define RETRY_MAX_US (5 * USEC_PER_SEC)
/* A report does not wait for the target's other requests. */
#define REPORT_TIMEOUT_US (500 * USEC_PER_MSEC)
#define REPORT_SIZE_MAX 262144 /* bytes */
#define STATUS_OK 200

/* A report that a target was asked for. */
typedef struct report_t {
	handle_t self;
	char id[NAME_SIZE]; /* of the target */
	bool verifies; /* for an exchange, rather than for a doubt */
	svc_t asker; /* if it verifies */
	handle_t exchange; /* of the asker */
	process_check_t check;
	int64_t asked_at; /* monotonic, us */
	handle_t call; /* in outbound */
	uint32_t status; /* HTTP; 0: no head yet */
	GByteArray *body;
} report_t;

static const char *evidence_name(process_evidence_t evidence)
{
	switch (evidence) {
	case EVIDENCE_RESET:
		return "reset";
	case EVIDENCE_REFUSED:
		return "refused";
	case EVIDENCE_OTHER:
		return "other_start";
	case EVIDENCE_PEER:
		return "peer";
	}
	return "unknown";
}

void process_init(balance_t *balance)
{
	table_init(&balance->reports, sizeof(report_t));
}

static void remove_report(balance_t *balance, report_t *report)
{
	g_byte_array_unref(report->body);
	table_remove(&balance->reports, report->self);
}

void process_finish(balance_t *balance)
{
	uint32_t cursor = 0;
	report_t *report;

	while ((report = table_next(&balance->reports, &cursor, NULL)) != NULL)
		remove_report(balance, report);
	table_finish(&balance->reports);
	kernel_timer_cancel(balance->kernel, &balance->process_timer);
}

static void check_at(balance_t *balance, int64_t at)
{
	int64_t wait = at - kernel_now(balance->kernel);

	if (!handle_is_none(balance->process_timer) &&
	    balance->process_check_at <= at)
		return;
	kernel_timer_cancel(balance->kernel, &balance->process_timer);
	balance->process_check_at = at;
	balance->process_timer =
		kernel_timer(balance->kernel, balance->svc, MAX(wait, 0),
			     HANDLE_NONE, BALANCE_TIMER_PROCESS);
}

bool process_is_known(const balance_target_t *target)
{
	return target->doubt.since == 0;
}

bool process_is_reporting(const balance_target_t *target)
{
	return target->doubt.wait == 0 && !target->doubt.ended &&
	       (target->doubt.asked || target->doubt.wanted);
}

void process_replaced(balance_target_t *target)
{
	memset(&target->doubt, 0, sizeof(target->doubt));
}

static peer_body_t *new_body(const balance_target_t *target)
{
	peer_body_t *body = peer_body_new(PEER_TARGET_DOUBTED);

	g_strlcpy(body->u.doubted.target, target->info.id,
		  sizeof(body->u.doubted.target));
	body->u.doubted.started_ms = target->info.started_ms;
	return body;
}

/* In a large fleet, most instances that use a target are in its zone. */
static void tell_peers(balance_t *balance, const balance_target_t *target)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	if (balance->instances > LARGE_FLEET_PEERS)
		g_strlcpy(msg.u.peer.availability_zone, balance->zone,
			  sizeof(msg.u.peer.availability_zone));
	msg.u.peer.body = new_body(target);
	kernel_post(balance->kernel, balance->svc, balance->peer, &msg);
}

void process_tell_peer(balance_t *balance, const char *incarnation)
{
	const balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		if (target->doubt.ended && !target->unavailable)
			kernel_post_peer(balance->kernel, balance->svc,
					 balance->peer, incarnation,
					 new_body(target));
}

/*
 * The wait doubles with each report that does not come, and varies, so that
 * the instances of a fleet do not ask all at once.
 */
static int64_t next_wait(balance_t *balance, process_doubt_t *doubt)
{
	int64_t wait = CLAMP(doubt->wait * 2, RETRY_MIN_US, RETRY_MAX_US);

	doubt->wait = wait;
	return wait / 2 +
	       (int64_t)kernel_random_below(balance->kernel, (uint64_t)wait);
}

static void wait_longer(balance_t *balance, process_doubt_t *doubt)
{
	doubt->not_before =
		kernel_now(balance->kernel) + next_wait(balance, doubt);
}

static bool takes_streams(const balance_target_t *target)
{
	return !target->unavailable && !target->evacuated &&
	       !target->notice.leaving;
}

void process_want(balance_t *balance, balance_target_t *target)
{
	process_doubt_t *doubt = &target->doubt;

	if (process_is_known(target) || doubt->asked || doubt->wanted ||
	    doubt->other || !takes_streams(target))
		return;
	doubt->wanted = true;
	check_at(balance, doubt->not_before);
}

static void log_doubt(balance_t *balance, const balance_target_t *target,
		      process_evidence_t evidence)
{
	metrics_add(balance->kernel->metrics, COUNTER_TARGETS_DOUBTED, 1);
	log_event(LOG_LEVEL_INFO, "balance", "process_doubted",
		  "target=%s service=%s software=%s evidence=%s "
		  "outstanding=%u",
		  target->info.id, target->info.service, target->info.version,
		  evidence_name(evidence), target->outstanding);
}

void process_doubt(balance_t *balance, balance_target_t *target,
		   process_evidence_t evidence)
{
	int64_t now = kernel_now(balance->kernel);
	process_doubt_t *doubt = &target->doubt;
	bool known = process_is_known(target);
	bool ended = doubt->ended;

	if (!target->resumable)
		return;
	if (known) {
		log_doubt(balance, target, evidence);
		doubt->not_before = now + FIRST_REPORT_US;
	}
	doubt->since = now;
	doubt->ended |= evidence != EVIDENCE_RESET;
	doubt->other |= evidence == EVIDENCE_OTHER;
	switch (evidence) {
	case EVIDENCE_REFUSED:
	case EVIDENCE_OTHER:
		if (!ended)
			tell_peers(balance, target);
		break;
	case EVIDENCE_RESET:
	case EVIDENCE_PEER:
		break;
	}
}

void process_closed(balance_t *balance, const msg_t *msg)
{
	balance_target_t *target;
	uint32_t cursor = 0;

	while ((target = table_next(&balance->targets, &cursor, NULL)) != NULL)
		if (target->info.port == msg->u.out_closed.port &&
		    strcmp(target->info.host, msg->u.out_closed.host) == 0)
			process_doubt(balance, target, EVIDENCE_RESET);
}

void process_refused(balance_t *balance, const char *id)
{
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, id);

	if (target != NULL)
		process_doubt(balance, target, EVIDENCE_REFUSED);
}

void process_told(balance_t *balance, const peer_body_t *body)
{
	balance_target_t *target = g_hash_table_lookup(balance->targets_by_id,
						       body->u.doubted.target);

	if (target != NULL &&
	    target->info.started_ms == body->u.doubted.started_ms)
		process_doubt(balance, target, EVIDENCE_PEER);
}

static report_t *ask(balance_t *balance, const balance_target_t *target)
{
	msg_t msg = {.kind = MSG_OUT_SEND};
	report_t *report;
	handle_t self = table_add(&balance->reports, (void **)&report);

	report->self = self;
	report->asked_at = kernel_now(balance->kernel);
	report->body = g_byte_array_new();
	g_strlcpy(report->id, target->info.id, sizeof(report->id));
	msg.id = self;
	g_strlcpy(msg.u.out_send.host, target->info.host,
		  sizeof(msg.u.out_send.host));
	msg.u.out_send.port = target->info.port;
	msg.u.out_send.head =
		wire_write_report_request(fleet_target_full_id(&target->info));
	msg.u.out_send.own_connection = true;
	msg.u.out_send.deadline = report->asked_at + REPORT_TIMEOUT_US;
	kernel_post(balance->kernel, balance->svc, balance->outbound, &msg);
	return report;
}

static void post_verified(balance_t *balance, svc_t asker, handle_t exchange,
			  const process_check_t *check, bool listed)
{
	msg_t msg = {.kind = MSG_PROCESS_VERIFIED, .ref = exchange};

	msg.u.process = *check;
	msg.u.process.listed = listed;
	kernel_post(balance->kernel, balance->svc, asker, &msg);
}

void process_verify(balance_t *balance, const msg_t *msg)
{
	const balance_target_t *target =
		table_get(&balance->targets, msg->u.process.target);
	report_t *report;

	if (target == NULL) {
		post_verified(balance, msg->from, msg->id, &msg->u.process,
			      false);
		return;
	}
	report = ask(balance, target);
	report->verifies = true;
	report->asker = msg->from;
	report->exchange = msg->id;
	report->check = msg->u.process;
}

void process_check(balance_t *balance)
{
	int64_t now = kernel_now(balance->kernel);
	int64_t next = INT64_MAX;
	balance_target_t *target;
	uint32_t cursor = 0;

	balance->process_timer = HANDLE_NONE;
	while ((target = table_next(&balance->targets, &cursor, NULL)) !=
	       NULL) {
		if (!target->doubt.wanted)
			continue;
		if (!takes_streams(target)) {
			target->doubt.wanted = false;
			continue;
		}
		if (target->doubt.not_before > now) {
			next = MIN(next, target->doubt.not_before);
			continue;
		}
		target->doubt.wanted = false;
		target->doubt.asked = true;
		ask(balance, target);
	}
	if (next < INT64_MAX)
		check_at(balance, next);
}

/* Streams that began at the target meanwhile can be taken up again. */
static void confirm(balance_t *balance, balance_target_t *target)
{
	msg_t msg = {.kind = MSG_TARGET_CONFIRMED};

	log_event(LOG_LEVEL_INFO, "balance", "process_confirmed",
		  "target=%s software=%s after_ms=%" G_GINT64_FORMAT,
		  target->info.id, target->info.version,
		  (kernel_now(balance->kernel) - target->doubt.since) /
			  USEC_PER_MSEC);
	process_replaced(target);
	msg.u.target_confirmed.target = target->self;
	g_strlcpy(msg.u.target_confirmed.version, target->info.version,
		  sizeof(msg.u.target_confirmed.version));
	kernel_post(balance->kernel, balance->svc, balance->proxy, &msg);
}

static void log_other(const char *id, int64_t started_ms, int64_t listed_ms)
{
	log_event(LOG_LEVEL_INFO, "balance", "process_is_other",
		  "target=%s started_ms=%" G_GINT64_FORMAT
		  " listed_ms=%" G_GINT64_FORMAT,
		  id, started_ms, listed_ms);
}

static void report_came(balance_t *balance, const report_t *report,
			balance_target_t *target, int64_t started_ms)
{
	if (report->asked_at < target->doubt.since) {
		/* The connection may be older than the last evidence. */
		process_want(balance, target);
	} else if (started_ms == target->info.started_ms) {
		confirm(balance, target);
	} else {
		log_other(target->info.id, started_ms, target->info.started_ms);
		wait_longer(balance, &target->doubt);
		process_doubt(balance, target, EVIDENCE_OTHER);
	}
}

/* Returns false if no start can be read from it. */
static bool read_start(const report_t *report, bool complete,
		       int64_t *started_ms)
{
	return complete && report->status == STATUS_OK &&
	       report_decode((const char *)report->body->data,
			     report->body->len, started_ms);
}

static void log_no_report(const report_t *report, bool refused)
{
	log_event(LOG_LEVEL_INFO, "balance", "no_report",
		  "target=%s status=%u bytes=%u refused=%d", report->id,
		  report->status, report->body->len, refused);
}

static void report_ended(balance_t *balance, const report_t *report,
			 bool complete, bool refused)
{
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, report->id);
	int64_t started_ms;

	if (target == NULL || process_is_known(target))
		return;
	target->doubt.asked = false;
	if (read_start(report, complete, &started_ms)) {
		report_came(balance, report, target, started_ms);
		return;
	}
	log_no_report(report, refused);
	wait_longer(balance, &target->doubt);
	if (refused)
		process_doubt(balance, target, EVIDENCE_REFUSED);
}

static void verify_ended(balance_t *balance, const report_t *report,
			 bool complete, bool refused)
{
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, report->id);
	int64_t listed_ms = report->check.started_ms;
	int64_t started_ms = 0;
	bool read = read_start(report, complete, &started_ms);

	if (!read)
		log_no_report(report, refused);
	else if (started_ms != listed_ms)
		log_other(report->id, started_ms, listed_ms);
	post_verified(balance, report->asker, report->exchange, &report->check,
		      read && started_ms == listed_ms);
	if (read && target != NULL && started_ms != target->info.started_ms)
		process_doubt(balance, target, EVIDENCE_OTHER);
}

/* The streams that wait for the target go on there, or are refused. */
static void finish_report(balance_t *balance, report_t *report, bool complete,
			  bool refused)
{
	if (report->verifies)
		verify_ended(balance, report, complete, refused);
	else
		report_ended(balance, report, complete, refused);
	remove_report(balance, report);
	queue_run(balance);
}

static void add_bytes(balance_t *balance, report_t *report, GBytes *bytes)
{
	msg_t cancel = {.kind = MSG_OUT_CANCEL, .ref = report->call};
	gsize size;
	const guint8 *data = g_bytes_get_data(bytes, &size);

	if (size <= REPORT_SIZE_MAX - report->body->len) {
		g_byte_array_append(report->body, data, (guint)size);
		return;
	}
	kernel_post(balance->kernel, balance->svc, balance->outbound, &cancel);
	finish_report(balance, report, false, false);
}

/* Another process at the address is cold as well, and its entry comes later. */
static void head_came(balance_t *balance, report_t *report,
		      const http_head_t *head)
{
	balance_target_t *target =
		g_hash_table_lookup(balance->targets_by_id, report->id);
	target_report_t stated = {.cold_ms = wire_read_cold_ms(head)};

	report->status = head->status;
	if (target != NULL && head->status == STATUS_OK)
		heat_heard(balance, target, &stated);
}

void process_report_received(balance_t *balance, const msg_t *msg)
{
	report_t *report = table_get(&balance->reports, msg->ref);

	if (report == NULL)
		return;
	switch (msg->kind) {
	case MSG_OUT_STARTED:
		report->call = msg->id;
		break;
	case MSG_OUT_HEAD:
		head_came(balance, report, msg->u.out_head.head);
		break;
	case MSG_OUT_DATA:
		add_bytes(balance, report, msg->u.data.bytes);
		break;
	case MSG_OUT_END:
		finish_report(balance, report, true, false);
		break;
	case MSG_OUT_FAILED:
		finish_report(balance, report, false,
			      msg->u.out_failed.refused);
		break;
	default:
		break;
	}
}
