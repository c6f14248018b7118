/*
 * Blames of the request service: informs the peers of attempts that ended with
 * a lost connection, counts the blames of all routers, and writes quarantine
 * records to the store.
 */
#include "request/internal.h"

#include "log/log.h"

#define WRITE_TRIES_MAX 10
#define WRITE_RETRY_US USEC_PER_SEC
#define WRITES_MAX 64 /* quarantine records being written */

static void send_write(request_svc_t *svc, const quarantine_write_t *write)
{
	msg_t msg = {.id = write->self};
	record_t record = {.kind = RECORD_QUARANTINE};
	record_quarantine_t *quarantine = &record.u.quarantine;
	char key[STORE_KEY_SIZE];

	if (write->lease == 0) {
		msg.kind = MSG_STORE_LEASE;
		msg.u.store_lease.ttl_s =
			(int32_t)(QUARANTINE_DURATION_MS / 1000);
		kernel_post(svc->kernel, svc->self, svc->store, &msg);
		return;
	}
	g_strlcpy(quarantine->fingerprint, write->fingerprint,
		  sizeof(quarantine->fingerprint));
	g_strlcpy(quarantine->op.writer, svc->opts.incarnation,
		  sizeof(quarantine->op.writer));
	quarantine->op.seq = ++svc->blame_seq;
	quarantine->expires_ms = write->expires_ms;
	g_snprintf(key, sizeof(key), "conf/quarantine/%s", write->fingerprint);
	msg.kind = MSG_STORE_TXN;
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	store_txn_put(msg.u.store_txn, key, EXPECT_ANY, write->lease, &record);
	kernel_post(svc->kernel, svc->self, svc->store, &msg);
}

static void begin_write(request_svc_t *svc, const char *fingerprint,
			int64_t wall_ms)
{
	quarantine_write_t *write;
	handle_t self;

	if (table_count(&svc->quarantine_writes) >= WRITES_MAX)
		return;
	self = table_add(&svc->quarantine_writes, (void **)&write);
	write->self = self;
	g_strlcpy(write->fingerprint, fingerprint, sizeof(write->fingerprint));
	write->expires_ms = wall_ms + QUARANTINE_DURATION_MS;
	send_write(svc, write);
}

void blame_store_result(request_svc_t *svc, const msg_t *msg)
{
	quarantine_write_t *write =
		table_get(&svc->quarantine_writes, msg->ref);
	const store_result_t *result = msg->u.store_result;

	if (write == NULL)
		return;
	if (result->status == STORE_OK && write->lease != 0) {
		table_remove(&svc->quarantine_writes, msg->ref);
	} else if (result->status == STORE_OK && result->lease != 0) {
		write->lease = result->lease;
		send_write(svc, write);
	} else if (++write->tries >= WRITE_TRIES_MAX) {
		/* The peers know the quarantine from the broadcast blames. */
		table_remove(&svc->quarantine_writes, msg->ref);
	} else {
		kernel_timer(svc->kernel, svc->self,
			     WRITE_RETRY_US * write->tries, msg->ref,
			     TIMER_WRITE_RETRY);
	}
}

void blame_timer(request_svc_t *svc, const msg_t *msg)
{
	const quarantine_write_t *write =
		table_get(&svc->quarantine_writes, msg->ref);

	if (write != NULL)
		send_write(svc, write);
}

static bool record_blame(request_svc_t *svc, const char *fingerprint,
			 const char *reporter, uint64_t seq)
{
	int64_t wall_ms = kernel_wall(svc->kernel) / USEC_PER_MSEC;

	if (!quarantine_blame(&svc->quarantine, fingerprint, reporter, seq, 0,
			      wall_ms))
		return false;
	metrics_add(svc->kernel->metrics, COUNTER_QUARANTINES, 1);
	log_event(LOG_LEVEL_WARN, "request", "quarantined", "fingerprint=%s",
		  log_quote(fingerprint));
	return true;
}

void blame_report(request_svc_t *svc, const request_t *request,
		  const char *target)
{
	const char *fingerprint = request->spec->fingerprint;
	peer_body_t *body = peer_body_new(PEER_CRASH_REPORT);
	uint64_t seq = ++svc->blame_seq;

	g_strlcpy(body->u.crash_report.fingerprint, fingerprint,
		  sizeof(body->u.crash_report.fingerprint));
	g_strlcpy(body->u.crash_report.target, target,
		  sizeof(body->u.crash_report.target));
	g_strlcpy(body->u.crash_report.reporter, svc->opts.incarnation,
		  sizeof(body->u.crash_report.reporter));
	body->u.crash_report.seq = seq;
	kernel_post_peer(svc->kernel, svc->self, svc->peer, "", body);
	/*
	 * Only the router whose own blame starts the quarantine writes the
	 * record.
	 */
	if (record_blame(svc, fingerprint, svc->opts.incarnation, seq))
		begin_write(svc, fingerprint,
			    kernel_wall(svc->kernel) / USEC_PER_MSEC);
}

void blame_received(request_svc_t *svc, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;

	if (body == NULL || body->kind != PEER_CRASH_REPORT)
		return;
	record_blame(svc, body->u.crash_report.fingerprint,
		     body->u.crash_report.reporter, body->u.crash_report.seq);
}
