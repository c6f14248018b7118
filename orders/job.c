#include "orders/job.h"

#include "log/log.h"

#include <string.h>

/* Subtracted from a lease's TTL to allow for network delay and clock drift. */
#define LEASE_MARGIN_US USEC_PER_SEC
/*
 * Added to the wait for an earlier order to allow for network delay and clock
 * drift.
 */
#define WAIT_MARGIN_MS 1000
#define STORE_RETRY_US (500 * USEC_PER_MSEC)
/*
 * First interval between reads while another router holds the lease key.  The
 * interval doubles, because a holder may keep the key for minutes.
 */
#define HELD_RETRY_US USEC_PER_SEC
#define HELD_SHIFT_MAX 4 /* limit on the number of doublings */
/*
 * How long the lease key must be free before a router of a rank above 0 takes
 * over.  The first read of such a router is delayed by this time for each rank.
 */
#define FREE_WAIT_US (3 * USEC_PER_SEC)
#define BACKOFF_MIN_US USEC_PER_SEC
#define BACKOFF_MAX_US (30 * USEC_PER_SEC)
#define BACKOFF_SHIFT_MAX 5

/* --- calls to the store -------------------------------------------------- */

static void lease_key(const job_t *job, char *key)
{
	g_snprintf(key, STORE_KEY_SIZE, "order/%s/lease", job->order.target);
}

static void state_key(const job_t *job, char *key)
{
	g_snprintf(key, STORE_KEY_SIZE, "order/%s/state", job->order.target);
}

static void post_call(orders_t *orders, job_t *job, call_kind_t kind,
		      msg_t *msg)
{
	store_call_t *call;

	msg->id = table_add(&orders->calls, (void **)&call);
	call->kind = kind;
	call->job = job->self;
	call->generation = job->generation;
	call->sent = kernel_now(orders->kernel);
	kernel_post(orders->kernel, orders->svc, orders->store, msg);
}

static void read_keys(orders_t *orders, job_t *job)
{
	msg_t msg = {.kind = MSG_STORE_GET};

	job->phase = PHASE_READING;
	job->generation++;
	g_snprintf(msg.u.store_get.key, sizeof(msg.u.store_get.key),
		   "order/%s/", job->order.target);
	msg.u.store_get.prefix = true;
	post_call(orders, job, CALL_READ, &msg);
}

static void request_lease(orders_t *orders, job_t *job, call_kind_t kind)
{
	msg_t msg = {.kind = kind == CALL_LEASE ? MSG_STORE_LEASE
						: MSG_STORE_KEEPALIVE};

	msg.u.store_lease.lease = job->attempt.lease;
	msg.u.store_lease.ttl_s = orders->opts.lease_ttl_s;
	post_call(orders, job, kind, &msg);
}

/*
 * The lease key and the state are written in one transaction, so that a holder
 * of the key has announced how long its order may run before sending the order.
 */
static void send_acquire(orders_t *orders, job_t *job)
{
	attempt_t *attempt = &job->attempt;
	record_t lease = {.kind = RECORD_ORDER_LEASE};
	record_t state = {.kind = RECORD_ORDER_STATE};
	msg_t msg = {.kind = MSG_STORE_TXN};
	char key[STORE_KEY_SIZE];

	job->phase = PHASE_ACQUIRING;
	g_strlcpy(lease.u.order_lease.owner, orders->opts.incarnation,
		  sizeof(lease.u.order_lease.owner));
	state.u.order_state = attempt->state;
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	lease_key(job, key);
	store_txn_put(msg.u.store_txn, key, EXPECT_ABSENT, attempt->lease,
		      &lease);
	state_key(job, key);
	store_txn_put(msg.u.store_txn, key, attempt->state_revision, 0, &state);
	post_call(orders, job, CALL_ACQUIRE, &msg);
}

/*
 * The result is valid even if the lease has expired, so the state and the lease
 * key are in separate groups.
 */
static void send_end(orders_t *orders, job_t *job)
{
	attempt_t *attempt = &job->attempt;
	record_t state = {.kind = RECORD_ORDER_STATE};
	msg_t msg = {.kind = MSG_STORE_TXN};
	char key[STORE_KEY_SIZE];

	state.u.order_state = attempt->state;
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	state_key(job, key);
	store_txn_put(msg.u.store_txn, key, attempt->state_revision, 0, &state);
	store_txn_group(msg.u.store_txn);
	lease_key(job, key);
	store_txn_delete(msg.u.store_txn, key, attempt->lease_revision);
	post_call(orders, job, CALL_END, &msg);
}

/* --- attempts ------------------------------------------------------------ */

static void set_timer(orders_t *orders, job_t *job, int64_t delay)
{
	kernel_timer_cancel(orders->kernel, &job->timer);
	job->timer = kernel_timer(orders->kernel, orders->svc, MAX(delay, 0),
				  job->self, 0);
}

void job_reschedule(orders_t *orders, job_t *job, int64_t delay_us)
{
	job->phase = PHASE_IDLE;
	job->generation++;
	kernel_timer_cancel(orders->kernel, &job->timer);
	if (!orders->stopping && !job->removed)
		set_timer(orders, job, delay_us);
	orders_job_ended(orders, job);
}

static int64_t backoff(orders_t *orders, const job_t *job)
{
	uint32_t shift = MIN(job->failures, BACKOFF_SHIFT_MAX);
	int64_t wait = MIN(BACKOFF_MIN_US << shift, BACKOFF_MAX_US);

	return wait +
	       (int64_t)kernel_random_below(orders->kernel, (uint64_t)wait / 4);
}

static void abandon(orders_t *orders, job_t *job, const char *reason)
{
	log_event(LOG_LEVEL_WARN, "orders", "abandoned",
		  "target=%s number=%" G_GINT64_FORMAT " reason=%s",
		  log_quote(job->order.target), job->attempt.order.number,
		  log_quote(reason));
	job->failures++;
	job_reschedule(orders, job, backoff(orders, job));
}

static bool is_finished(const job_t *job)
{
	return job->finished_number >= job->order.number;
}

void job_start(orders_t *orders, job_t *job)
{
	int rank = orders_rank(orders, &job->target);

	if (job->phase != PHASE_IDLE || job->removed || orders->stopping ||
	    is_finished(job) || rank < 0)
		return;
	if (rank > 0 && job->free_since == 0 && handle_is_none(job->timer)) {
		/* The router of rank 0 may finish the order meanwhile. */
		job->free_since = -1;
		set_timer(orders, job, rank * FREE_WAIT_US);
		return;
	}
	kernel_timer_cancel(orders->kernel, &job->timer);
	read_keys(orders, job);
}

static void begin_attempt(orders_t *orders, job_t *job, const store_kv_t *kv)
{
	attempt_t *attempt = &job->attempt;
	uint32_t longest_ms = orders->opts.longest_ms[job->order.kind];
	uint32_t earlier_ms = 0; /* an earlier order may run this long */

	memset(attempt, 0, sizeof(*attempt));
	attempt->target = job->target;
	attempt->order = job->order;
	if (kv != NULL && kv->record.kind == RECORD_ORDER_STATE &&
	    kv->record.u.order_state.state == ORDER_RUNNING)
		earlier_ms = kv->record.u.order_state.longest_ms;
	else if (kv != NULL && kv->record.kind == RECORD_INVALID)
		earlier_ms = orders->opts.longest_ms[ORDER_LOAD];
	if (earlier_ms > 0 && !job->target.checks_fencing)
		attempt->wait_ms = earlier_ms + WAIT_MARGIN_MS;
	attempt->state_revision = kv == NULL ? EXPECT_ABSENT : kv->revision;
	attempt->state.state = ORDER_RUNNING;
	attempt->state.number = job->order.number;
	attempt->state.longest_ms = MAX(longest_ms, earlier_ms);
	attempt->state.op.seq = ++orders->op_seq;
	g_strlcpy(attempt->state.op.writer, orders->opts.incarnation,
		  sizeof(attempt->state.op.writer));
	g_strlcpy(attempt->state.owner, orders->opts.incarnation,
		  sizeof(attempt->state.owner));
	job->phase = PHASE_LEASING;
	request_lease(orders, job, CALL_LEASE);
}

static bool state_is_final(const job_t *job, const record_order_state_t *state)
{
	return state->number > job->order.number ||
	       (state->number == job->order.number &&
		(state->state == ORDER_DONE || state->state == ORDER_FAILED));
}

/*
 * Returns true if the lease key has been free long enough for this router's
 * rank.  Otherwise reschedules the job.
 */
static bool check_free(orders_t *orders, job_t *job, const store_kv_t *lease)
{
	int64_t now = kernel_now(orders->kernel);
	int rank = orders_rank(orders, &job->target);
	int64_t wait;

	if (lease != NULL && lease->record.kind != RECORD_NONE) {
		job->free_since = -1;
		wait = HELD_RETRY_US << job->held_polls;
		job->held_polls = MIN(job->held_polls + 1, HELD_SHIFT_MAX);
		job_reschedule(orders, job, wait);
		return false;
	}
	job->held_polls = 0;
	if (rank == 0)
		return true;
	if (job->free_since <= 0)
		job->free_since = now;
	if (rank > 0 && now - job->free_since >= FREE_WAIT_US)
		return true;
	job_reschedule(orders, job, FREE_WAIT_US);
	return false;
}

static void read_result(orders_t *orders, job_t *job,
			const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *state, *lease;

	if (result->status != STORE_OK) {
		job_reschedule(orders, job, backoff(orders, job));
		return;
	}
	state_key(job, key);
	state = store_result_find(result, key);
	lease_key(job, key);
	lease = store_result_find(result, key);
	if (state != NULL && state->record.kind == RECORD_NONE)
		state = NULL;
	if (state != NULL && state->record.kind == RECORD_ORDER_STATE &&
	    state_is_final(job, &state->record.u.order_state)) {
		job->finished_number = job->order.number;
		job->phase = PHASE_IDLE;
		orders_job_ended(orders, job);
		return;
	}
	if (check_free(orders, job, lease))
		begin_attempt(orders, job, state);
}

static void set_lease_expiry(orders_t *orders, job_t *job,
			     const store_call_t *call, int32_t ttl_s)
{
	int32_t requested_s = orders->opts.lease_ttl_s;

	/*
	 * The store starts the TTL when the call arrives, which is not before
	 * the call was sent.
	 */
	job->attempt.valid_until = call->sent +
				   MIN(ttl_s, requested_s) * USEC_PER_SEC -
				   LEASE_MARGIN_US;
	job->attempt.keepalive_at = call->sent + requested_s * USEC_PER_SEC / 3;
}

static void lease_result(orders_t *orders, job_t *job, const store_call_t *call,
			 const store_result_t *result)
{
	int32_t ttl_s = result->lease_ttl_s;

	if (result->status != STORE_OK || result->lease == 0) {
		abandon(orders, job, "no lease from the store");
		return;
	}
	job->attempt.lease = result->lease;
	set_lease_expiry(orders, job, call,
			 ttl_s > 0 ? ttl_s : orders->opts.lease_ttl_s);
	send_acquire(orders, job);
}

static void end_attempt(orders_t *orders, job_t *job, order_state_t state,
			const char *message)
{
	attempt_t *attempt = &job->attempt;

	job->phase = PHASE_ENDING;
	kernel_timer_cancel(orders->kernel, &job->timer);
	attempt->state.state = state;
	attempt->state.op.seq = ++orders->op_seq;
	g_strlcpy(attempt->state.message, message,
		  sizeof(attempt->state.message));
	send_end(orders, job);
}

static void set_attempt_timer(orders_t *orders, job_t *job)
{
	const attempt_t *attempt = &job->attempt;
	int64_t next = attempt->keepalive_at;

	if (job->phase == PHASE_WAITING)
		next = MIN(next, attempt->send_at);
	set_timer(orders, job, next - kernel_now(orders->kernel));
}

static void send_order(orders_t *orders, job_t *job)
{
	const attempt_t *attempt = &job->attempt;
	msg_t msg = {.kind = MSG_ORDER_SEND, .id = job->self};

	if (job->order.number != attempt->order.number || job->removed) {
		/*
		 * Any earlier order has ended by now, so no order is running.
		 */
		end_attempt(orders, job, ORDER_PENDING, "replaced");
		return;
	}
	g_strlcpy(msg.u.order_send.host, attempt->target.host,
		  sizeof(msg.u.order_send.host));
	msg.u.order_send.port = attempt->target.port;
	msg.u.order_send.kind = attempt->order.kind;
	g_strlcpy(msg.u.order_send.subject, attempt->order.subject,
		  sizeof(msg.u.order_send.subject));
	g_strlcpy(msg.u.order_send.version, attempt->order.version,
		  sizeof(msg.u.order_send.version));
	msg.u.order_send.fencing_token = attempt->lease_revision;
	msg.u.order_send.send_before = attempt->valid_until;
	msg.u.order_send.longest_ms =
		orders->opts.longest_ms[attempt->order.kind];
	job->phase = PHASE_SENT;
	log_event(LOG_LEVEL_INFO, "orders", "sent",
		  "target=%s number=%" G_GINT64_FORMAT
		  " order=%s subject=%s fencing=%" G_GINT64_FORMAT,
		  log_quote(attempt->order.target), attempt->order.number,
		  order_kind_name(attempt->order.kind),
		  log_quote(attempt->order.subject), attempt->lease_revision);
	metrics_add(orders->kernel->metrics, COUNTER_ORDERS_SENT, 1);
	kernel_post(orders->kernel, orders->svc, orders->dispatch, &msg);
	set_attempt_timer(orders, job);
}

/*
 * Keeps the lease while the attempt waits for the time to send or for the
 * result, and sends the order when it is due.
 */
static void attempt_tick(orders_t *orders, job_t *job)
{
	attempt_t *attempt = &job->attempt;
	int64_t now = kernel_now(orders->kernel);

	if (job->phase == PHASE_WAITING && now >= attempt->valid_until) {
		abandon(orders, job, "the lease has expired");
		return;
	}
	if (job->phase == PHASE_WAITING && now >= attempt->send_at) {
		send_order(orders, job);
		return;
	}
	if (now >= attempt->keepalive_at) {
		if (!attempt->keepalive_pending && now < attempt->valid_until) {
			attempt->keepalive_pending = true;
			request_lease(orders, job, CALL_KEEPALIVE);
		}
		attempt->keepalive_at = now + STORE_RETRY_US;
	}
	set_attempt_timer(orders, job);
}

static void on_acquired(orders_t *orders, job_t *job, int64_t revision)
{
	attempt_t *attempt = &job->attempt;

	attempt->lease_revision = revision;
	attempt->state_revision = revision;
	/*
	 * The lease key was free when the transaction was committed, so the
	 * last holder sent nothing after that, and an order that it sent before
	 * ends within the wait.
	 */
	attempt->send_at =
		kernel_now(orders->kernel) + attempt->wait_ms * USEC_PER_MSEC;
	job->phase = PHASE_WAITING;
	job->free_since = -1;
	if (attempt->wait_ms > 0) {
		log_event(LOG_LEVEL_INFO, "orders", "waits",
			  "target=%s number=%" G_GINT64_FORMAT " wait_ms=%u",
			  log_quote(attempt->order.target),
			  attempt->order.number, attempt->wait_ms);
		metrics_add(orders->kernel->metrics, COUNTER_ORDERS_WAITED, 1);
	}
	attempt_tick(orders, job);
}

/*
 * Returns the revision of this router's write if an earlier try of the write
 * took effect, or 0.
 */
static int64_t own_write_revision(const job_t *job,
				  const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	state_key(job, key);
	kv = store_result_find(result, key);
	if (kv == NULL || kv->record.kind != RECORD_ORDER_STATE ||
	    !op_id_equal(&kv->record.u.order_state.op, &job->attempt.state.op))
		return 0;
	return kv->revision;
}

static void acquire_result(orders_t *orders, job_t *job,
			   const store_result_t *result)
{
	int64_t now = kernel_now(orders->kernel);
	char key[STORE_KEY_SIZE];
	const store_kv_t *lease;
	int64_t revision;

	if (result->status == STORE_UNKNOWN ||
	    result->status == STORE_UNAVAILABLE) {
		if (now < job->attempt.valid_until)
			set_timer(orders, job, STORE_RETRY_US);
		else
			abandon(orders, job, "no response from the store");
		return;
	}
	if (store_result_committed(result, 0)) {
		on_acquired(orders, job, result->revision);
		return;
	}
	revision = own_write_revision(job, result);
	lease_key(job, key);
	lease = store_result_find(result, key);
	if (revision > 0 && lease != NULL && lease->revision == revision)
		on_acquired(orders, job, revision);
	else
		job_reschedule(orders, job, HELD_RETRY_US);
}

static void keepalive_result(orders_t *orders, job_t *job,
			     const store_call_t *call,
			     const store_result_t *result)
{
	job->attempt.keepalive_pending = false;
	if (result->status != STORE_OK)
		return;
	if (result->lease_ttl_s <= 0)
		job->attempt.valid_until = 0;
	else
		set_lease_expiry(orders, job, call, result->lease_ttl_s);
	if (job->phase == PHASE_WAITING || job->phase == PHASE_SENT)
		set_attempt_timer(orders, job);
}

static void attempt_ended(orders_t *orders, job_t *job)
{
	const attempt_t *attempt = &job->attempt;
	order_state_t state = attempt->state.state;
	bool finished = state == ORDER_DONE || state == ORDER_FAILED;

	if (finished)
		job->finished_number = attempt->order.number;
	job->failures = finished ? 0 : job->failures + 1;
	if (is_finished(job)) {
		job->phase = PHASE_IDLE;
		orders_job_ended(orders, job);
	} else if (job->order.number != attempt->order.number) {
		job_reschedule(orders, job, 0);
	} else {
		job_reschedule(orders, job, backoff(orders, job));
	}
}

static void end_result(orders_t *orders, job_t *job,
		       const store_result_t *result)
{
	if (result->status == STORE_UNKNOWN ||
	    result->status == STORE_UNAVAILABLE)
		set_timer(orders, job, STORE_RETRY_US);
	else if (store_result_committed(result, 0) ||
		 own_write_revision(job, result) > 0)
		attempt_ended(orders, job);
	else
		abandon(orders, job, "another router has taken over");
}

static const char *result_name(order_result_t result)
{
	switch (result) {
	case ORDER_RESULT_DONE:
		return "done";
	case ORDER_RESULT_REFUSED_FENCING:
		return "refused_fencing";
	case ORDER_RESULT_FAILED:
		return "failed";
	case ORDER_RESULT_NOT_SENT:
		return "not_sent";
	case ORDER_RESULT_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}

/* --- events -------------------------------------------------------------- */

void job_timer(orders_t *orders, job_t *job)
{
	switch (job->phase) {
	case PHASE_IDLE:
		job_start(orders, job);
		break;
	case PHASE_ACQUIRING:
		send_acquire(orders, job);
		break;
	case PHASE_WAITING:
	case PHASE_SENT:
		attempt_tick(orders, job);
		break;
	case PHASE_ENDING:
		send_end(orders, job);
		break;
	case PHASE_READING:
	case PHASE_LEASING:
		break;
	}
}

void job_store_result(orders_t *orders, job_t *job, const store_call_t *call,
		      const store_result_t *result)
{
	switch (call->kind) {
	case CALL_READ:
		read_result(orders, job, result);
		break;
	case CALL_LEASE:
		lease_result(orders, job, call, result);
		break;
	case CALL_KEEPALIVE:
		keepalive_result(orders, job, call, result);
		break;
	case CALL_ACQUIRE:
		acquire_result(orders, job, result);
		break;
	case CALL_END:
		end_result(orders, job, result);
		break;
	}
}

/*
 * If the response is lost, a new attempt sends the order again.  Every kind of
 * order sets a state, so repeating an order does no harm.  A target that
 * ignores fencing tokens gets the order again only after the first one can no
 * longer be running, because the stored state stays "running".
 */
void job_order_result(orders_t *orders, job_t *job, const msg_t *msg)
{
	const attempt_t *attempt = &job->attempt;
	const char *message = msg->u.order_result.message;
	metrics_t *metrics = orders->kernel->metrics;

	if (job->phase != PHASE_SENT)
		return;
	log_event(LOG_LEVEL_INFO, "orders", "result",
		  "target=%s number=%" G_GINT64_FORMAT " result=%s message=%s",
		  log_quote(attempt->order.target), attempt->order.number,
		  result_name(msg->u.order_result.result), log_quote(message));
	switch (msg->u.order_result.result) {
	case ORDER_RESULT_DONE:
		metrics_add(metrics, COUNTER_ORDERS_DONE, 1);
		end_attempt(orders, job, ORDER_DONE, message);
		break;
	case ORDER_RESULT_REFUSED_FENCING:
		metrics_add(metrics, COUNTER_ORDERS_FENCED, 1);
		end_attempt(orders, job,
			    attempt->target.checks_fencing ? ORDER_PENDING
							   : ORDER_FAILED,
			    message);
		break;
	case ORDER_RESULT_FAILED:
		end_attempt(orders, job, ORDER_FAILED, message);
		break;
	case ORDER_RESULT_NOT_SENT:
		end_attempt(orders, job, ORDER_PENDING, message);
		break;
	case ORDER_RESULT_UNKNOWN:
		end_attempt(orders, job, ORDER_RUNNING, message);
		break;
	}
}
