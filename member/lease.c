/*
 * Keeps this router's lease and writes its records: member/INC and alive/INC
 * at registration, the buddy in member/INC, and their deletion at a stop.
 */
#include "member/view.h"

#include "log/log.h"

#include <string.h>

/* Subtracted from the lease's end for network delay and clock drift. */
#define LEASE_MARGIN_US USEC_PER_SEC
/* Bounds the wait for a store that is unavailable at a stop. */
#define STOP_TIMEOUT_US (5 * USEC_PER_SEC)

static void format_own_key(const member_t *member, const char *prefix,
			   char *key)
{
	g_snprintf(key, STORE_KEY_SIZE, "%s%s", prefix,
		   member->opts.self.incarnation);
}

static void post_renewed(member_t *member)
{
	svc_t to[] = {member->ledger, member->claims};

	for (guint i = 0; i < G_N_ELEMENTS(to); i++) {
		msg_t msg = {.kind = MSG_LEASE_RENEWED};

		msg.u.lease.lease = member->lease_id;
		msg.u.lease.valid_until = member->lease_valid_until;
		member_post(member, to[i], &msg);
	}
}

static void send_lease_call(member_t *member, call_kind_t kind,
			    msg_kind_t msg_kind)
{
	msg_t msg = {.kind = msg_kind};
	call_t *call;

	msg.u.store_lease.lease = member->lease_id;
	msg.u.store_lease.ttl_s = member->opts.lease_ttl_s;
	call = member_call(member, kind, &msg);
	call->lease_id = member->lease_id;
}

static void fill_record(member_t *member, record_t *record)
{
	const member_info_t *self = &member->opts.self;
	record_member_t *to = &record->u.member;

	memset(record, 0, sizeof(*record));
	record->kind = RECORD_MEMBER;
	g_strlcpy(to->incarnation, self->incarnation, sizeof(to->incarnation));
	g_strlcpy(to->name, self->name, sizeof(to->name));
	g_strlcpy(to->availability_zone, self->availability_zone,
		  sizeof(to->availability_zone));
	g_strlcpy(to->host, self->host, sizeof(to->host));
	to->peer_port = self->peer_port;
	to->admin_port = self->admin_port;
	g_strlcpy(to->buddy, member->stored_buddy, sizeof(to->buddy));
	g_strlcpy(to->op.writer, self->incarnation, sizeof(to->op.writer));
	to->op.seq = ++member->op_seq;
}

/*
 * Sends the current write.  A retry has the same operation id, by which an
 * earlier attempt that was applied is recognised.
 */
static void send_write(member_t *member)
{
	char key[STORE_KEY_SIZE], alive[STORE_KEY_SIZE];
	msg_t msg = {.kind = MSG_STORE_TXN};
	store_txn_t *txn = store_txn_new();
	record_t record = {.kind = RECORD_ALIVE};

	format_own_key(member, "member/", key);
	format_own_key(member, "alive/", alive);
	g_strlcpy(record.u.alive.incarnation, member->opts.self.incarnation,
		  sizeof(record.u.alive.incarnation));
	store_txn_group(txn);
	switch ((call_kind_t)member->write_kind) {
	case CALL_REGISTER:
		store_txn_put(txn, key, EXPECT_ABSENT, 0,
			      &member->write_record);
		store_txn_put(txn, alive, EXPECT_ANY, member->lease_id,
			      &record);
		break;
	case CALL_REVIVE:
		/*
		 * If member/INC is absent, the grants of this router may have
		 * been recovered.
		 */
		store_txn_check(txn, key, member->record_revision);
		store_txn_put(txn, alive, EXPECT_ANY, member->lease_id,
			      &record);
		break;
	default:
		store_txn_put(txn, key, member->record_revision, 0,
			      &member->write_record);
		break;
	}
	msg.u.store_txn = txn;
	member->write_pending = true;
	member_call(member, (call_kind_t)member->write_kind, &msg)->lease_id =
		member->lease_id;
}

/* Starts a write of write_record; only one write may be pending. */
static void begin_write(member_t *member, call_kind_t kind)
{
	member->write_kind = (int)kind;
	send_write(member);
}

static void begin_registration(member_t *member)
{
	fill_record(member, &member->write_record);
	begin_write(member,
		    member->record_revision == 0 ? CALL_REGISTER : CALL_REVIVE);
}

void member_lease_write_buddy(member_t *member, const char *incarnation)
{
	fill_record(member, &member->write_record);
	g_strlcpy(member->write_record.u.member.buddy, incarnation,
		  sizeof(member->write_record.u.member.buddy));
	begin_write(member, CALL_BUDDY);
}

static void tick_lease(member_t *member, int64_t now)
{
	if (now < member->lease_call_at)
		return;
	if (member->lease_id == 0 && !member->lease_pending) {
		member->lease_pending = true;
		send_lease_call(member, CALL_LEASE, MSG_STORE_LEASE);
	} else if (member->lease_id != 0 && !member->keepalive_pending) {
		member->keepalive_pending = true;
		send_lease_call(member, CALL_KEEPALIVE, MSG_STORE_KEEPALIVE);
	}
}

static void delete_records(member_t *member)
{
	char key[STORE_KEY_SIZE];
	msg_t msg = {.kind = MSG_STORE_TXN};
	store_txn_t *txn = store_txn_new();

	store_txn_group(txn);
	format_own_key(member, "member/", key);
	store_txn_delete(txn, key, EXPECT_ANY);
	format_own_key(member, "alive/", key);
	store_txn_delete(txn, key, EXPECT_ANY);
	msg.u.store_txn = txn;
	member->write_pending = true;
	member_call(member, CALL_LEAVE, &msg);
}

static void finish_stop(member_t *member)
{
	msg_t msg = {.kind = MSG_STOPPED};

	member->stopped = true;
	member_post(member, member->router, &msg);
}

/* Waits for a pending write, which must not be applied after the deletion. */
static void tick_stop(member_t *member, int64_t now)
{
	if (member->stopped)
		return;
	if (now >= member->stop_deadline) {
		log_event(LOG_LEVEL_WARN, "member", "stop_timeout",
			  "reason=\"no reply from the store\"");
		finish_stop(member);
		return;
	}
	if (!member->write_pending && now >= member->write_at)
		delete_records(member);
}

void member_lease_tick(member_t *member)
{
	int64_t now = kernel_now(member->kernel);

	if (member->stopping) {
		tick_stop(member, now);
		return;
	}
	tick_lease(member, now);
	if (member->write_pending || now < member->write_at)
		return;
	/* Without a lease, alive/INC would never be removed by expiry. */
	if (member->lease_id == 0 && member->write_kind != CALL_BUDDY)
		return;
	if (member->write_kind != CALL_NONE)
		send_write(member);
	else if (!member->registered)
		begin_registration(member);
}

static void drop_lease(member_t *member, const char *reason)
{
	log_event(LOG_LEVEL_WARN, "member", "lease_lost",
		  "lease=%" G_GINT64_FORMAT " reason=%s", member->lease_id,
		  log_quote(reason));
	member->lease_id = 0;
	member->registered = false;
	member->lease_call_at = 0;
}

/*
 * Another router deleted member/INC after it recovered the grants of this
 * router.  Registers as after a start: member/INC and alive/INC are created
 * in one transaction, so no router sees one without the other.  "ledger"
 * detects the loss of each grant by its own compares.
 */
static void handle_record_deleted(member_t *member)
{
	log_event(LOG_LEVEL_WARN, "member", "recovered",
		  "reason=\"the record was removed by another router\"");
	member->record_revision = 0;
	member->registered = false;
	member->stored_buddy[0] = '\0';
	member_buddy_clear(member);
}

static void handle_grant(member_t *member, const call_t *call,
			 const store_result_t *result)
{
	int64_t now = kernel_now(member->kernel);

	member->lease_pending = false;
	if (result->status != STORE_OK || result->lease == 0) {
		member->lease_call_at = now + STORE_RETRY_DELAY_US;
		return;
	}
	member->lease_id = result->lease;
	member->lease_valid_until = call->sent_at +
				    member->opts.lease_ttl_s * USEC_PER_SEC -
				    LEASE_MARGIN_US;
	member->lease_call_at =
		call->sent_at + member->opts.lease_ttl_s * USEC_PER_SEC / 3;
}

static void handle_keepalive(member_t *member, const call_t *call,
			     const store_result_t *result)
{
	int32_t ttl = MIN(result->lease_ttl_s, member->opts.lease_ttl_s);
	int64_t now = kernel_now(member->kernel);

	member->keepalive_pending = false;
	if (call->lease_id != member->lease_id)
		return;
	if (result->status != STORE_OK) {
		member->lease_call_at = now + STORE_RETRY_DELAY_US;
		return;
	}
	if (ttl <= 0) {
		drop_lease(member, "expired");
		return;
	}
	member->lease_call_at =
		call->sent_at + member->opts.lease_ttl_s * USEC_PER_SEC / 3;
	member->lease_valid_until =
		call->sent_at + ttl * USEC_PER_SEC - LEASE_MARGIN_US;
	if (member->registered)
		post_renewed(member);
}

static void set_registered(member_t *member, int64_t lease)
{
	/* alive/INC is not known to be bound to the current lease. */
	if (lease == 0 || lease != member->lease_id)
		return;
	member->registered = true;
	member->registered_at = kernel_now(member->kernel);
	log_event(LOG_LEVEL_INFO, "member", "registered",
		  "lease=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT,
		  member->lease_id, member->record_revision);
	post_renewed(member);
}

static void handle_write_commit(member_t *member, call_kind_t kind,
				int64_t lease, int64_t revision)
{
	const record_member_t *record = &member->write_record.u.member;

	if (kind == CALL_REVIVE) {
		set_registered(member, lease);
		return;
	}
	member->record_revision = revision;
	g_strlcpy(member->stored_buddy, record->buddy,
		  sizeof(member->stored_buddy));
	if (kind == CALL_REGISTER)
		set_registered(member, lease);
	else
		member_buddy_committed(member, record->buddy);
}

/* The compare failed; result->kvs holds the current items. */
static void handle_write_conflict(member_t *member, const call_t *call,
				  const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	format_own_key(member, "member/", key);
	kv = store_result_find(result, key);
	if (kv == NULL || kv->record.kind != RECORD_MEMBER) {
		if (member->record_revision != 0)
			handle_record_deleted(member);
		return;
	}
	if (call->kind != CALL_REVIVE &&
	    op_id_equal(&kv->record.u.member.op,
			&member->write_record.u.member.op)) {
		/* An earlier attempt was applied and its reply was lost. */
		handle_write_commit(member, call->kind, 0, kv->revision);
		return;
	}
	member->record_revision = kv->revision;
	g_strlcpy(member->stored_buddy, kv->record.u.member.buddy,
		  sizeof(member->stored_buddy));
}

static void handle_write_result(member_t *member, const call_t *call,
				const store_result_t *result)
{
	int64_t now = kernel_now(member->kernel);
	const store_kv_t *kv;
	char key[STORE_KEY_SIZE];

	member->write_pending = false;
	if (result->status != STORE_OK) {
		member->write_at = now + STORE_RETRY_DELAY_US;
		if (result->status == STORE_UNKNOWN)
			member->write_unknown = true;
		/*
		 * If no attempt can have been applied, the next tick chooses
		 * a new write.
		 */
		if (!member->write_unknown)
			member->write_kind = CALL_NONE;
		return;
	}
	member->write_kind = CALL_NONE;
	member->write_unknown = false;
	member->last_write_revision =
		MAX(member->last_write_revision, result->revision);
	if (!store_result_committed(result, 0)) {
		handle_write_conflict(member, call, result);
		return;
	}
	format_own_key(member, "member/", key);
	kv = store_result_find(result, key);
	handle_write_commit(member, call->kind, call->lease_id,
			    kv != NULL && kv->revision > 0 ? kv->revision
							   : result->revision);
}

void member_lease_result(member_t *member, const call_t *call,
			 const store_result_t *result)
{
	switch (call->kind) {
	case CALL_LEASE:
		handle_grant(member, call, result);
		break;
	case CALL_KEEPALIVE:
		handle_keepalive(member, call, result);
		break;
	case CALL_REGISTER:
	case CALL_REVIVE:
	case CALL_BUDDY:
		handle_write_result(member, call, result);
		break;
	default:
		break;
	}
	member_lease_tick(member);
}

void member_lease_observe(member_t *member, const store_kv_t *kv,
			  int64_t observed)
{
	bool is_alive = g_str_has_prefix(kv->key, "alive/");

	/* Ignores a state that a completed or pending write supersedes. */
	if (!member->registered || member->write_kind != CALL_NONE ||
	    observed <= member->last_write_revision || member->stopping ||
	    member_sync_is_present(kv))
		return;
	if (!is_alive)
		handle_record_deleted(member);
	else
		drop_lease(member, "alive record is absent");
}

void member_lease_stop(member_t *member)
{
	if (member->stopping)
		return;
	member->stopping = true;
	member->stop_deadline = kernel_now(member->kernel) + STOP_TIMEOUT_US;
	member->write_at = 0;
	kernel_post_peer(member->kernel, member->svc, member->peer, "",
			 peer_body_new(PEER_LEAVE));
	tick_stop(member, kernel_now(member->kernel));
}

void member_lease_stop_result(member_t *member, const call_t *call,
			      const store_result_t *result)
{
	member->write_pending = false;
	if (member->stopped)
		return;
	if (call->kind == CALL_REVOKE) {
		finish_stop(member);
	} else if (result->status != STORE_OK) {
		member->write_at =
			kernel_now(member->kernel) + STORE_RETRY_DELAY_US;
	} else if (member->lease_id != 0) {
		member->write_pending = true;
		send_lease_call(member, CALL_REVOKE, MSG_STORE_REVOKE);
	} else {
		finish_stop(member);
	}
}
