#include "ledger/local.h"

#include <string.h>

void ledger_opts_init(ledger_opts_t *opts, const char *incarnation)
{
	memset(opts, 0, sizeof(*opts));
	g_strlcpy(opts->incarnation, incarnation, sizeof(opts->incarnation));
	opts->horizon_us = 150 * USEC_PER_SEC;
	opts->commit_interval_us = 5 * USEC_PER_MSEC;
	opts->fleet_commits_per_s = 100;
	opts->ack_valid_us = 3 * USEC_PER_SEC;
	opts->unprotected_percent = 10;
	opts->min_slice_tokens = 10000;
	opts->reserve_wait_us = 2 * USEC_PER_SEC;
	opts->peer_reply_wait_us = 300 * USEC_PER_MSEC;
	opts->spent_cache_us = 500 * USEC_PER_MSEC;
	opts->tick_us = 3 * USEC_PER_SEC;
	opts->idle_close_us = 120 * USEC_PER_SEC;
}

void array_remove_handle(GArray *array, handle_t handle)
{
	for (guint i = 0; i < array->len; i++) {
		if (handle_equal(g_array_index(array, handle_t, i), handle)) {
			g_array_remove_index(array, i);
			return;
		}
	}
}

op_id_t next_op(ledger_t *ledger)
{
	op_id_t op = {.seq = ++ledger->op_seq};

	g_strlcpy(op.writer, ledger->opts.incarnation, sizeof(op.writer));
	return op;
}

uint32_t member_count(const ledger_t *ledger)
{
	uint32_t count = 0;

	for (guint i = 0;
	     ledger->members != NULL && i < ledger->members->members->len;
	     i++) {
		const member_info_t *info = &g_array_index(
			ledger->members->members, member_info_t, i);

		if (info->state == MEMBER_ALIVE ||
		    info->state == MEMBER_SUSPECT)
			count++;
	}
	return MAX(count, 1);
}

/* Reports a planned stop as complete once no bill, grant or copy is left. */
void check_stopped(ledger_t *ledger)
{
	uint32_t cursor = 0;
	slice_t *slice;
	msg_t msg = {.kind = MSG_STOPPED};

	if (!ledger->stopping || ledger->stopped)
		return;
	if (recovery_settle_copies(ledger) ||
	    table_count(&ledger->reservations) > 0 ||
	    table_count(&ledger->bills) > 0)
		return;
	while ((slice = table_next(&ledger->slices, &cursor, NULL)) != NULL) {
		if (slice->grant_rev != 0 || slice->update.kind != UPDATE_NONE)
			return;
	}
	ledger->stopped = true;
	ledger->copies_closed = true;
	kernel_post(ledger->kernel, ledger->self, ledger->router, &msg);
}

/* Retries admission and starts due updates for all slices. */
void slices_step(ledger_t *ledger)
{
	uint32_t cursor = 0;
	slice_t *slice;

	while ((slice = table_next(&ledger->slices, &cursor, NULL)) != NULL) {
		reserve_admit_waiting(ledger, slice);
		slice_step(ledger, slice);
	}
}

static void handle_tick(ledger_t *ledger)
{
	uint32_t cursor = 0;
	slice_t *slice;
	int64_t tokens = 0;

	kernel_timer(ledger->kernel, ledger->self, ledger->opts.tick_us,
		     HANDLE_NONE, TIMER_TICK);
	while ((slice = table_next(&ledger->slices, &cursor, NULL)) != NULL) {
		tokens += slice_available(slice);
		slice_tick(ledger, slice);
	}
	copy_in_tick(ledger);
	metrics_set(ledger->kernel->metrics, GAUGE_GRANT_TOKENS, tokens);
	metrics_set(ledger->kernel->metrics, GAUGE_WITHHELD_TOKENS,
		    withheld_sum(ledger));
	metrics_set(ledger->kernel->metrics, GAUGE_BILLS_PENDING,
		    table_count(&ledger->bills));
}

static void handle_start(ledger_t *ledger)
{
	msg_t msg = {.kind = MSG_MEMBER_SUBSCRIBE};

	ledger->store = kernel_find(ledger->kernel, "store");
	ledger->member = kernel_find(ledger->kernel, "member");
	ledger->peer = kernel_find(ledger->kernel, "peer");
	ledger->router = kernel_find(ledger->kernel, "router");
	kernel_post(ledger->kernel, ledger->self, ledger->member, &msg);
	kernel_timer(ledger->kernel, ledger->self, ledger->opts.tick_us,
		     HANDLE_NONE, TIMER_TICK);
	kernel_timer(ledger->kernel, ledger->self,
		     ledger->opts.ack_valid_us / 3, HANDLE_NONE,
		     TIMER_KEEPALIVE);
}

static void handle_timer(ledger_t *ledger, const msg_t *msg)
{
	switch ((timer_kind_t)msg->u.timer.kind) {
	case TIMER_TICK:
		handle_tick(ledger);
		break;
	case TIMER_COMMIT:
		ledger->commit_timer = HANDLE_NONE;
		commit_run(ledger);
		break;
	case TIMER_RETRY:
		ledger->retry_timer = HANDLE_NONE;
		updates_retry(ledger);
		break;
	case TIMER_KEEPALIVE:
		kernel_timer(ledger->kernel, ledger->self,
			     ledger->opts.ack_valid_us / 3, HANDLE_NONE,
			     TIMER_KEEPALIVE);
		copy_keepalive(ledger);
		break;
	case TIMER_COPY_FLUSH:
		copy_flush(ledger);
		break;
	case TIMER_RESERVE_WAIT:
		reserve_timeout(ledger, msg->ref);
		break;
	case TIMER_SLICE_REPLY:
		slice_reply_timeout(ledger, msg->ref);
		break;
	case TIMER_RECOVERY:
		recovery_timer(ledger, msg->ref);
		break;
	}
}

static void handle_store(ledger_t *ledger, const msg_t *msg)
{
	const store_result_t *result = msg->u.store_result;
	call_t *call = table_get(&ledger->calls, msg->ref);

	/* A duplicate result finds no call. */
	if (call == NULL)
		return;
	if (result->status == STORE_OK)
		ledger->retry_delay = 0;
	switch (call->kind) {
	case CALL_UPDATES:
	case CALL_COMMIT:
		updates_result(ledger, call, result);
		break;
	case CALL_LEASE:
		call_free(ledger, call);
		lease_result(ledger, result);
		break;
	case CALL_RECOVERY:
		recovery_result(ledger, call->recovery, result);
		if (!result->more || result->status != STORE_OK)
			call_free(ledger, call);
		break;
	}
	check_stopped(ledger);
}

static void handle_peer(ledger_t *ledger, const msg_t *msg)
{
	const char *from = msg->u.peer.incarnation;
	const peer_body_t *body = msg->u.peer.body;

	switch (body->kind) {
	case PEER_BILL_COPY:
		copy_in_recv(ledger, from, body);
		break;
	case PEER_COPY_TRIM:
		copy_in_trim(ledger, from, body);
		break;
	case PEER_COPY_ACK:
		copy_ack_recv(ledger, from, body);
		break;
	case PEER_SLICE_REQUEST:
		slice_request_recv(ledger, from, body);
		break;
	case PEER_SLICE_REPLY:
		slice_reply_recv(ledger, body);
		break;
	default:
		break;
	}
}

static void handle_lease(ledger_t *ledger, int64_t valid_until)
{
	protection_update(ledger);
	if (valid_until <= kernel_now(ledger->kernel))
		return;
	ledger->lease_valid_until = valid_until;
	if (ledger->protection_lapsed) {
		protection_renewed(ledger, false);
		slices_step(ledger);
	}
}

static void handle_members(ledger_t *ledger, msg_t *msg)
{
	g_clear_pointer(&ledger->members, member_list_unref);
	ledger->members = msg->u.members;
	msg->u.members = NULL;
}

static void ledger_recv(void *self, msg_t *msg)
{
	ledger_t *ledger = self;

	switch (msg->kind) {
	case MSG_START:
		handle_start(ledger);
		break;
	case MSG_STOP:
		ledger->stopping = true;
		slices_step(ledger);
		check_stopped(ledger);
		break;
	case MSG_TIMER:
		handle_timer(ledger, msg);
		break;
	case MSG_RESERVE:
		reserve_recv(ledger, msg);
		break;
	case MSG_RELEASE:
		release_recv(ledger, msg);
		break;
	case MSG_BILL:
		bill_recv(ledger, msg);
		break;
	case MSG_STORE_RESULT:
		handle_store(ledger, msg);
		break;
	case MSG_MEMBER_CHANGED:
		handle_members(ledger, msg);
		break;
	case MSG_LEASE_RENEWED:
		handle_lease(ledger, msg->u.lease.valid_until);
		break;
	case MSG_BUDDY_CHANGED:
		copy_set_buddy(ledger, msg->u.buddy.incarnation);
		break;
	case MSG_MEMBER_EXPIRED:
		recovery_member_expired(ledger, msg);
		break;
	case MSG_PEER_RECEIVED:
		handle_peer(ledger, msg);
		break;
	default:
		break;
	}
}

static void init_tables(ledger_t *ledger)
{
	table_init(&ledger->slices, sizeof(slice_t));
	table_init(&ledger->reservations, sizeof(reservation_t));
	table_init(&ledger->bills, sizeof(pending_bill_t));
	table_init(&ledger->calls, sizeof(call_t));
	table_init(&ledger->copies_in, sizeof(copy_in_t));
	table_init(&ledger->recoveries, sizeof(recovery_t));
	ledger->slices_by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->bills_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->copies_in_by_sender =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->recoveries_by_member =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ledger->withheld =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ledger->dirty_slices = g_array_new(FALSE, FALSE, sizeof(handle_t));
	ledger->stalled_slices = g_array_new(FALSE, FALSE, sizeof(handle_t));
}

void ledger_init(ledger_t *ledger, kernel_t *kernel, const ledger_opts_t *opts)
{
	memset(ledger, 0, sizeof(*ledger));
	ledger->kernel = kernel;
	ledger->opts = *opts;
	ledger->protection_lapsed = true;
	ledger->epoch = 1;
	init_tables(ledger);
	copy_init(ledger);
	ledger->self = kernel_register(kernel, "ledger", ledger_recv, ledger);
}

void ledger_finish(ledger_t *ledger)
{
	uint32_t cursor = 0;
	void *entry;

	if (ledger->stopping && !ledger->stopped)
		copy_in_log_unsettled(ledger);
	while ((entry = table_next(&ledger->slices, &cursor, NULL)) != NULL)
		slice_free(ledger, entry);
	for (cursor = 0; (entry = table_next(&ledger->calls, &cursor, NULL));)
		call_free(ledger, entry);
	for (cursor = 0;
	     (entry = table_next(&ledger->copies_in, &cursor, NULL));)
		copy_in_free(ledger, entry);
	for (cursor = 0;
	     (entry = table_next(&ledger->recoveries, &cursor, NULL));)
		recovery_free(ledger, entry);
	copy_finish(ledger);
	kernel_unregister(ledger->kernel, ledger->self);
	table_finish(&ledger->slices);
	table_finish(&ledger->reservations);
	table_finish(&ledger->bills);
	table_finish(&ledger->calls);
	table_finish(&ledger->copies_in);
	table_finish(&ledger->recoveries);
	g_hash_table_unref(ledger->slices_by_name);
	g_hash_table_unref(ledger->bills_by_key);
	g_hash_table_unref(ledger->copies_in_by_sender);
	g_hash_table_unref(ledger->recoveries_by_member);
	g_hash_table_unref(ledger->withheld);
	g_array_unref(ledger->dirty_slices);
	g_array_unref(ledger->stalled_slices);
	g_clear_pointer(&ledger->members, member_list_unref);
}
