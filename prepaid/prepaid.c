#include "prepaid/prepaid.h"

#include "log/log.h"
#include "prepaid/grant.h"
#include "prepaid/restore.h"

#include <string.h>

/*
 * Time that a peer's refill waits for the store.  It is shorter than the peer
 * waits for the reply, so that the peer gets the available tokens if the store
 * is slow.
 */
#define REFILL_WAIT_US (220 * USEC_PER_MSEC)
/* A peer reserves this multiple of an equal part of a requested slice. */
#define SLICE_FACTOR 2
/* Interval of checks for excess tokens; demand is smoothed over seconds. */
#define EXCESS_CHECK_US USEC_PER_SEC

static void check_stopped(prepaid_t *prepaid)
{
	msg_t msg = {.kind = MSG_STOPPED};
	uint32_t cursor = 0;
	prepaid_account_t *account;

	if (!prepaid->stopping || prepaid->stopped)
		return;
	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		if (account->call_pending || account->granted > 0)
			return;
	prepaid->stopped = true;
	kernel_post(prepaid->kernel, prepaid->svc,
		    kernel_find(prepaid->kernel, "gateway"), &msg);
}

prepaid_account_t *prepaid_find_account(prepaid_t *prepaid, const char *name)
{
	prepaid_account_t *account =
		g_hash_table_lookup(prepaid->accounts_by_name, name);
	const fleet_account_t *conf;
	handle_t self;

	if (account != NULL)
		return account;
	self = table_add(&prepaid->accounts, (void **)&account);
	account->self = self;
	g_strlcpy(account->name, name, sizeof(account->name));
	g_queue_init(&account->waiting);
	account->prepaid_tokens = -1;
	if (prepaid->conf != NULL &&
	    (conf = fleet_conf_account_by_name(prepaid->conf, name)) != NULL)
		account->prepaid_tokens = conf->prepaid;
	g_hash_table_insert(prepaid->accounts_by_name, account->name, account);
	return account;
}

static void set_store_up(prepaid_t *prepaid, bool up)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	if (prepaid->store_up && !up)
		prepaid->store_down_since = kernel_now(prepaid->kernel);
	prepaid->store_up = up;
	prepaid->homes_version++;
	prepaid->retry_at = 0;
	while (up && (account = table_next(&prepaid->accounts, &cursor,
					   NULL)) != NULL)
		if (account->waiting.length > 0 || prepaid->stopping)
			grant_advance(prepaid, account);
}

static void store_event(prepaid_t *prepaid, const store_result_t *result)
{
	prepaid_account_t *account;

	if (result->kvs->len == 0) {
		set_store_up(prepaid, result->status == STORE_OK);
		if (result->status == STORE_OK)
			restore_note_era(prepaid,
					 revision_era(result->revision));
	}
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);
		int64_t revision = kv->revision;

		if (!g_str_has_prefix(kv->key, RECORD_KEY_PREFIX))
			continue;
		restore_note_era(prepaid, revision_era(revision));
		account = prepaid_find_account(
			prepaid, kv->key + strlen(RECORD_KEY_PREFIX));
		/* A deleted key has the revision of its deletion. */
		if (kv->record.kind == RECORD_NONE)
			revision = revision_make(revision_era(kv->revision), 0);
		/*
		 * The first record of a new era is as good as one that is read
		 * for the account.
		 */
		if (account->call_pending ||
		    (account->revision == REVISION_UNKNOWN &&
		     !account->unsaved))
			continue;
		account_update(account, &kv->record, revision);
		account_adopt_grant(account, &prepaid->opts);
	}
}

static void store_result(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account = table_get(&prepaid->accounts, msg->ref);

	if (account == NULL)
		return;
	grant_store_result(prepaid, account, msg->u.store_result);
	check_stopped(prepaid);
}

static void reserve(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account =
		prepaid_find_account(prepaid, msg->u.reserve.client_account);
	int64_t tokens = MAX(msg->u.reserve.tokens, 0);
	reservation_t *reservation;

	reservation =
		reservation_add(prepaid, account, RESERVATION_REQUEST, tokens);
	reservation->owner = msg->from;
	reservation->ref = msg->id;
	g_strlcpy(reservation->request_id, msg->u.reserve.request_id,
		  sizeof(reservation->request_id));
	if (account->prepaid_tokens < 0) {
		reservation_accept(prepaid, reservation);
		return;
	}
	account_add_demand(account, tokens, kernel_now(prepaid->kernel));
	grant_advance(prepaid, account);
}

/* Ends a reservation and releases its unused tokens. */
static void settle_reservation(prepaid_t *prepaid, handle_t ref, int64_t tokens)
{
	reservation_t *reservation = table_get(&prepaid->reservations, ref);
	prepaid_account_t *account;

	if (reservation == NULL)
		return;
	account = reservation->account;
	if (!reservation->waiting) {
		account->reserved -= reservation->tokens;
		tokens = CLAMP(tokens, 0, reservation->tokens);
		account->spent += tokens;
		metrics_add(prepaid->kernel->metrics, COUNTER_TOKENS_BILLED,
			    (uint64_t)tokens);
	}
	reservation_remove(prepaid, reservation);
	if (account->prepaid_tokens >= 0)
		grant_advance(prepaid, account);
}

/* Handles the request of a peer that found no tokens elsewhere. */
static void slice_requested(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		prepaid_find_account(prepaid, body->u.slice.client_account);
	reservation_t *reservation;
	int64_t tokens;

	if (account->prepaid_tokens < 0 || prepaid->stopping)
		return;
	/*
	 * Unallocated tokens are taken from the store for the peer only in a
	 * small fleet.  In a large one the peer gets them through its home.
	 */
	if (!prepaid->store_up || peer_set_is_large(&prepaid->peers) ||
	    account_unallocated(account) < body->u.slice.tokens ||
	    account->revision == REVISION_UNKNOWN) {
		reservation_send_slice(prepaid, account,
				       msg->u.peer.incarnation,
				       body->u.slice.tokens);
		return;
	}
	tokens = body->u.slice.tokens * SLICE_FACTOR /
			 MAX(prepaid->instances - 1, 1) +
		 1;
	account_add_demand(account, tokens, kernel_now(prepaid->kernel));
	reservation =
		reservation_add(prepaid, account, RESERVATION_SLICE, tokens);
	g_strlcpy(reservation->peer, msg->u.peer.incarnation,
		  sizeof(reservation->peer));
	grant_advance(prepaid, account);
}

/* Handles the request of a peer that has this instance as the home. */
static void refill_requested(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account = prepaid_find_account(
		prepaid, body->u.refill_request.client_account);
	int64_t min_tokens = MAX(body->u.refill_request.least, 0);
	int64_t spare = MAX(body->u.refill_request.tokens - min_tokens, 0);
	reservation_t *reservation;
	fleet_share_t share;

	/*
	 * The peer has limited its headroom.  The rest is for requests that
	 * wait there, and may be much more than an equal part.
	 */
	share = reservation_home_share(prepaid, account);
	spare = MIN(spare, account_headroom_max(account, &share));
	account_add_refill_demand(account, min_tokens + spare,
				  kernel_now(prepaid->kernel));
	reservation = reservation_add(prepaid, account, RESERVATION_REFILL,
				      min_tokens + spare);
	reservation->min_tokens = min_tokens;
	g_strlcpy(reservation->peer, msg->u.peer.incarnation,
		  sizeof(reservation->peer));
	if (account->prepaid_tokens < 0 || prepaid->stopping ||
	    !prepaid->store_up) {
		reservation_refuse(prepaid, reservation, RESERVE_UNAVAILABLE);
		return;
	}
	reservation_set_timeout(prepaid, reservation, REFILL_WAIT_US);
	grant_advance(prepaid, account);
}

/* The grant is returned once the account waits for nothing any more. */
static void continue_stop(prepaid_t *prepaid, prepaid_account_t *account)
{
	if (prepaid->stopping)
		grant_advance(prepaid, account);
}

static void refill_received(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account = prepaid_find_account(
		prepaid, body->u.refill_reply.client_account);
	int64_t now = kernel_now(prepaid->kernel);

	sharing_home_replied(prepaid, account);
	account->headroom_limit = MAX(body->u.refill_reply.most, 0);
	log_event(LOG_LEVEL_DEBUG, "prepaid", "refilled",
		  "account=%s tokens=%" G_GINT64_FORMAT
		  " headroom_limit=%" G_GINT64_FORMAT " spent=%d peer=%s",
		  account->name, body->u.refill_reply.tokens,
		  account->headroom_limit, body->u.refill_reply.spent,
		  msg->u.peer.incarnation);
	sharing_tokens_received(prepaid, account,
				MAX(body->u.refill_reply.tokens, 0));
	if (account->waiting.length == 0) {
		continue_stop(prepaid, account);
		return;
	}
	if (body->u.refill_reply.spent) {
		account->exhausted_at = now;
		sharing_exhausted(prepaid, account);
		continue_stop(prepaid, account);
		return;
	}
	/* A home that has to wait for its peers is asked again. */
	if (body->u.refill_reply.tokens < account->refill_least &&
	    !body->u.refill_reply.later)
		sharing_home_failed(prepaid, account);
	grant_advance(prepaid, account);
}

/* True if the home has recently reported the account as spent. */
static bool is_recently_exhausted(const prepaid_t *prepaid,
				  const prepaid_account_t *account)
{
	return account->exhausted_at > 0 &&
	       kernel_now(prepaid->kernel) - account->exhausted_at <
		       RECORD_MAX_AGE_US;
}

/*
 * True if the account cannot cover the reservation: the home has reported it as
 * spent, or the known record leaves too few tokens.
 */
static bool is_spent(const prepaid_t *prepaid, const reservation_t *reservation)
{
	const prepaid_account_t *account = reservation->account;

	return is_recently_exhausted(prepaid, account) ||
	       (account->revision != REVISION_UNKNOWN && prepaid->store_up &&
		account_unallocated(account) + account_available(account) <
			reservation->tokens);
}

static void refuse_waiting(prepaid_t *prepaid, reservation_t *reservation)
{
	reservation_refuse(prepaid, reservation,
			   is_spent(prepaid, reservation)
				   ? RESERVE_SPENT
				   : RESERVE_UNAVAILABLE);
}

static void reservation_timed_out(prepaid_t *prepaid, handle_t ref)
{
	reservation_t *reservation = table_get(&prepaid->reservations, ref);
	prepaid_account_t *account;

	if (reservation == NULL || !reservation->waiting)
		return;
	account = reservation->account;
	sharing_forget_asked(account);
	refuse_waiting(prepaid, reservation);
	continue_stop(prepaid, account);
}

/*
 * Refuses requests for which all asked peers had too few tokens, unless the
 * store may still provide some.
 */
static void refuse_answered(prepaid_t *prepaid, prepaid_account_t *account)
{
	GList *link = account->waiting.head;

	if (!sharing_is_answered(account))
		return;
	while (link != NULL) {
		reservation_t *reservation = link->data;

		link = link->next;
		if (reservation->slices_requested &&
		    (!prepaid->store_up || is_spent(prepaid, reservation)))
			refuse_waiting(prepaid, reservation);
	}
}

static void slice_received(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		prepaid_find_account(prepaid, body->u.slice.client_account);

	sharing_slice_received(account, msg->u.peer.incarnation);
	if (body->u.slice.tokens > 0) {
		log_event(LOG_LEVEL_DEBUG, "prepaid", "received",
			  "account=%s tokens=%" G_GINT64_FORMAT
			  " stopping=%d closed=%d peer=%s",
			  account->name, body->u.slice.tokens,
			  prepaid->stopping, account->grant_closed,
			  msg->u.peer.incarnation);
		sharing_tokens_received(prepaid, account, body->u.slice.tokens);
	}
	refuse_answered(prepaid, account);
	continue_stop(prepaid, account);
}

/*
 * Returns excess tokens to the homes: tokens held in advance are lost when all
 * instances lose power.
 */
static void return_excess(prepaid_t *prepaid)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		sharing_return_excess(prepaid, account);
	kernel_timer(prepaid->kernel, prepaid->svc, EXCESS_CHECK_US,
		     HANDLE_NONE, PREPAID_TIMER_EXCESS);
}

static void account_timer(prepaid_t *prepaid, handle_t ref,
			  prepaid_timer_t timer)
{
	prepaid_account_t *account = table_get(&prepaid->accounts, ref);

	if (account == NULL)
		return;
	if (timer == PREPAID_TIMER_SAVE) {
		account->save_timer = HANDLE_NONE;
		grant_save(prepaid, account);
		return;
	}
	if (timer == PREPAID_TIMER_REFILL)
		sharing_home_failed(prepaid, account);
	else
		account->retry_timer = HANDLE_NONE;
	grant_advance(prepaid, account);
}

static void on_timer(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_timer_t timer = (prepaid_timer_t)msg->u.timer.kind;

	switch (timer) {
	case PREPAID_TIMER_RETRY:
	case PREPAID_TIMER_REFILL:
	case PREPAID_TIMER_SAVE:
		account_timer(prepaid, msg->ref, timer);
		break;
	case PREPAID_TIMER_WAIT:
		reservation_timed_out(prepaid, msg->ref);
		break;
	case PREPAID_TIMER_EXCESS:
		return_excess(prepaid);
		break;
	case PREPAID_TIMER_SETTLE:
		restore_timed_out(prepaid);
		break;
	}
}

static void conf_changed(prepaid_t *prepaid, msg_t *msg)
{
	fleet_conf_unref(prepaid->conf);
	prepaid->conf = g_steal_pointer(&msg->u.fleet_conf);
	for (guint i = 0; i < prepaid->conf->accounts->len; i++) {
		const fleet_account_t *conf = &g_array_index(
			prepaid->conf->accounts, fleet_account_t, i);
		prepaid_account_t *account =
			prepaid_find_account(prepaid, conf->name);

		if (conf->prepaid > account->prepaid_tokens)
			account->exhausted_at = 0;
		account->prepaid_tokens = conf->prepaid;
		if (account->waiting.length > 0)
			grant_advance(prepaid, account);
	}
}

static void start(prepaid_t *prepaid)
{
	msg_t watch = {.kind = MSG_STORE_WATCH};
	msg_t subscribe = {.kind = MSG_FLEET_SUBSCRIBE};

	kernel_timer(prepaid->kernel, prepaid->svc, EXCESS_CHECK_US,
		     HANDLE_NONE, PREPAID_TIMER_EXCESS);
	prepaid->store = kernel_find(prepaid->kernel, "store");
	prepaid->peer = kernel_find(prepaid->kernel, "peer");
	g_strlcpy(watch.u.store_get.key, RECORD_KEY_PREFIX,
		  sizeof(watch.u.store_get.key));
	watch.u.store_get.prefix = true;
	kernel_post(prepaid->kernel, prepaid->svc,
		    kernel_find(prepaid->kernel, "replica"), &watch);
	kernel_post(prepaid->kernel, prepaid->svc,
		    kernel_find(prepaid->kernel, "fleet"), &subscribe);
}

static void stop(prepaid_t *prepaid)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	prepaid->stopping = true;
	prepaid->homes_version++;
	sharing_announce_stop(prepaid);
	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		grant_advance(prepaid, account);
	check_stopped(prepaid);
}

/* A peer that stops keeps no tokens, so nothing more is sent to it. */
static void peer_stops(prepaid_t *prepaid, const msg_t *msg)
{
	msg_t down = {.kind = MSG_PEER_DOWN};

	g_strlcpy(down.u.peer_addr.incarnation, msg->u.peer.incarnation,
		  sizeof(down.u.peer_addr.incarnation));
	peer_set_update(&prepaid->peers, &down);
	prepaid->homes_version++;
}

static void peer_received(prepaid_t *prepaid, const msg_t *msg)
{
	switch (msg->u.peer.body->kind) {
	case PEER_SLICE_REQUEST:
		slice_requested(prepaid, msg);
		break;
	case PEER_SLICE_REPLY:
		slice_received(prepaid, msg);
		break;
	case PEER_REFILL_REQUEST:
		refill_requested(prepaid, msg);
		break;
	case PEER_REFILL_REPLY:
		refill_received(prepaid, msg);
		break;
	case PEER_LEAVE:
		peer_stops(prepaid, msg);
		break;
	case PEER_HOLDINGS_PULL:
		restore_pulled(prepaid, msg);
		break;
	case PEER_HOLDINGS:
		restore_holdings_received(prepaid, msg);
		break;
	default:
		break;
	}
}

static void receive(void *self, msg_t *msg)
{
	prepaid_t *prepaid = self;

	switch (msg->kind) {
	case MSG_START:
		start(prepaid);
		break;
	case MSG_STOP:
		stop(prepaid);
		break;
	case MSG_TIMER:
		on_timer(prepaid, msg);
		break;
	case MSG_FLEET_CONF:
		conf_changed(prepaid, msg);
		break;
	case MSG_FLEET_SIZE:
		prepaid->instances = msg->u.fleet_size.instances;
		restore_check_settled(prepaid);
		break;
	case MSG_STORE_EVENT:
		store_event(prepaid, msg->u.store_result);
		break;
	case MSG_STORE_RESULT:
		store_result(prepaid, msg);
		break;
	case MSG_RESERVE:
		reserve(prepaid, msg);
		break;
	case MSG_RELEASE:
		settle_reservation(prepaid, msg->ref, 0);
		break;
	case MSG_SPEND:
		settle_reservation(prepaid, msg->ref, msg->u.spend.tokens);
		break;
	case MSG_PEER_UP:
	case MSG_PEER_DOWN:
		peer_set_update(&prepaid->peers, msg);
		prepaid->homes_version++;
		/* What was sent over an earlier connection may be lost. */
		g_hash_table_remove(prepaid->pulled_peers,
				    msg->u.peer_addr.incarnation);
		restore_check_settled(prepaid);
		break;
	case MSG_PEER_RECEIVED:
		peer_received(prepaid, msg);
		break;
	default:
		break;
	}
}

void prepaid_init(prepaid_t *prepaid, kernel_t *kernel,
		  const prepaid_opts_t *opts)
{
	memset(prepaid, 0, sizeof(*prepaid));
	prepaid->kernel = kernel;
	prepaid->opts = *opts;
	prepaid->instances = 1;
	prepaid->store_down_since = kernel_now(kernel);
	prepaid->era = -1;
	prepaid->pulled_peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	prepaid->replied_peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peer_set_init(&prepaid->peers);
	table_init(&prepaid->accounts, sizeof(prepaid_account_t));
	table_init(&prepaid->reservations, sizeof(reservation_t));
	prepaid->accounts_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	prepaid->svc = kernel_register(kernel, "prepaid", receive, prepaid);
}

void prepaid_finish(prepaid_t *prepaid)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL) {
		g_queue_clear(&account->waiting);
		allocation_free(account->record);
	}
	fleet_conf_unref(prepaid->conf);
	peer_set_finish(&prepaid->peers);
	g_hash_table_unref(prepaid->pulled_peers);
	g_hash_table_unref(prepaid->replied_peers);
	g_hash_table_unref(prepaid->accounts_by_name);
	table_finish(&prepaid->accounts);
	table_finish(&prepaid->reservations);
	kernel_unregister(prepaid->kernel, prepaid->svc);
}
