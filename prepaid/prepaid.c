#include "prepaid/prepaid.h"

#include "log/log.h"
#include "prepaid/part.h"

#include <string.h>

/*
 * For a peer's refill: shorter than the peer waits, so that it gets what
 * there is if the store is slow.
 */
#define REFILL_WAIT_US (220 * USEC_PER_MSEC)
/* Between looks for idle tokens; demand is smoothed over some seconds. */
#define SWEEP_US USEC_PER_SEC

static void check_stopped(prepaid_t *prepaid)
{
	msg_t msg = {.kind = MSG_STOPPED};
	uint32_t cursor = 0;
	prepaid_account_t *account;

	if (!prepaid->stopping || prepaid->stopped)
		return;
	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		if (account->calling || account->granted > 0)
			return;
	prepaid->stopped = true;
	kernel_post(prepaid->kernel, prepaid->svc,
		    kernel_find(prepaid->kernel, "gateway"), &msg);
}

static prepaid_account_t *find_account(prepaid_t *prepaid, const char *name)
{
	prepaid_account_t *account =
		g_hash_table_lookup(prepaid->by_name, name);
	const fleet_account_t *conf;
	handle_t self;

	if (account != NULL)
		return account;
	self = table_add(&prepaid->accounts, (void **)&account);
	account->self = self;
	g_strlcpy(account->name, name, sizeof(account->name));
	g_queue_init(&account->waiting);
	account->prepaid = -1;
	if (prepaid->conf != NULL &&
	    (conf = fleet_conf_account_by_name(prepaid->conf, name)) != NULL)
		account->prepaid = conf->prepaid;
	g_hash_table_insert(prepaid->by_name, account->name, account);
	return account;
}

static void store_changed(prepaid_t *prepaid, bool up)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	prepaid->store_up = up;
	prepaid->homes_version++;
	prepaid->retry_at = 0;
	while (up && (account = table_next(&prepaid->accounts, &cursor,
					   NULL)) != NULL)
		if (account->waiting.length > 0 || prepaid->stopping)
			part_advance(prepaid, account);
}

static void store_event(prepaid_t *prepaid, const store_result_t *result)
{
	prepaid_account_t *account;

	if (result->kvs->len == 0)
		store_changed(prepaid, result->status == STORE_OK);
	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		if (!g_str_has_prefix(kv->key, KEY_PREFIX))
			continue;
		account = find_account(prepaid, kv->key + strlen(KEY_PREFIX));
		if (account->calling || account->revision == REVISION_UNKNOWN)
			continue;
		account_adopt(account, &prepaid->opts, &kv->record,
			      kv->revision);
	}
}

static void store_result(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account = table_get(&prepaid->accounts, msg->ref);

	if (account == NULL)
		return;
	part_store_result(prepaid, account, msg->u.store_result);
	check_stopped(prepaid);
}

static void reserve(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account =
		find_account(prepaid, msg->u.reserve.client_account);
	int64_t tokens = MAX(msg->u.reserve.tokens, 0);
	reservation_t *reservation;

	reservation =
		reservation_add(prepaid, account, RESERVATION_REQUEST, tokens);
	reservation->owner = msg->from;
	reservation->ref = msg->id;
	g_strlcpy(reservation->request_id, msg->u.reserve.request_id,
		  sizeof(reservation->request_id));
	if (account->prepaid < 0) {
		reservation_hold(prepaid, reservation);
		return;
	}
	account_note_demand(account, tokens, kernel_now(prepaid->kernel));
	part_advance(prepaid, account);
}

/* A request has ended: what it did not use is free again. */
static void spend(prepaid_t *prepaid, handle_t ref, int64_t tokens)
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
	reservation_drop(prepaid, reservation);
	if (account->prepaid >= 0)
		part_advance(prepaid, account);
}

/* A slice that a peer needs because it found nothing elsewhere. */
static void peer_asks(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		find_account(prepaid, body->u.slice.client_account);
	reservation_t *reservation;
	int64_t tokens;

	if (account->prepaid < 0 || prepaid->stopping)
		return;
	/*
	 * What the store still has, the peer gets from there or through us;
	 * in a large fleet through a home.
	 */
	if (!prepaid->store_up || peer_set_is_large(&prepaid->peers) ||
	    account_room(account) < body->u.slice.tokens ||
	    account->revision == REVISION_UNKNOWN) {
		reservation_give(prepaid, account, msg->u.peer.incarnation,
				 body->u.slice.tokens);
		return;
	}
	tokens = body->u.slice.tokens * 2 / MAX(prepaid->instances - 1, 1) + 1;
	account_note_demand(account, tokens, kernel_now(prepaid->kernel));
	reservation =
		reservation_add(prepaid, account, RESERVATION_SLICE, tokens);
	g_strlcpy(reservation->peer, msg->u.peer.incarnation,
		  sizeof(reservation->peer));
	part_advance(prepaid, account);
}

static void peer_gives(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		find_account(prepaid, body->u.slice.client_account);

	if (body->u.slice.tokens <= 0)
		return;
	account->received += body->u.slice.tokens;
	log_event(LOG_LEVEL_DEBUG, "prepaid", "received",
		  "account=%s tokens=%" G_GINT64_FORMAT " peer=%s",
		  account->name, body->u.slice.tokens, msg->u.peer.incarnation);
	reservations_serve(prepaid, account);
}

/* A peer of the zone has this instance for the account's home. */
static void refill_asked(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		find_account(prepaid, body->u.refill_request.client_account);
	int64_t least = MAX(body->u.refill_request.least, 0);
	int64_t spare = MAX(body->u.refill_request.tokens - least, 0);
	reservation_t *reservation;

	spare = MIN(spare, reservation_refill_max(prepaid, account));
	account_note_relayed(account, least + spare,
			     kernel_now(prepaid->kernel));
	reservation = reservation_add(prepaid, account, RESERVATION_REFILL,
				      least + spare);
	reservation->least = least;
	g_strlcpy(reservation->peer, msg->u.peer.incarnation,
		  sizeof(reservation->peer));
	if (account->prepaid < 0 || prepaid->stopping || !prepaid->store_up) {
		reservation_refuse(prepaid, reservation, RESERVE_UNAVAILABLE);
		return;
	}
	reservation_limit(prepaid, reservation, REFILL_WAIT_US);
	part_advance(prepaid, account);
}

static void refill_received(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		find_account(prepaid, body->u.refill_reply.client_account);
	int64_t now = kernel_now(prepaid->kernel);

	sharing_home_answered(prepaid, account);
	account->received += MAX(body->u.refill_reply.tokens, 0);
	account->most = MAX(body->u.refill_reply.most, 0);
	log_event(LOG_LEVEL_DEBUG, "prepaid", "refilled",
		  "account=%s tokens=%" G_GINT64_FORMAT
		  " most=%" G_GINT64_FORMAT " spent=%d peer=%s",
		  account->name, body->u.refill_reply.tokens, account->most,
		  body->u.refill_reply.spent, msg->u.peer.incarnation);
	reservations_serve(prepaid, account);
	if (account->waiting.length == 0)
		return;
	if (body->u.refill_reply.spent) {
		account->spent_at = now;
		sharing_exhausted(prepaid, account);
		return;
	}
	sharing_home_failed(prepaid, account);
	part_advance(prepaid, account);
}

/* The home has said so lately. */
static bool is_spent(const prepaid_t *prepaid, const prepaid_account_t *account)
{
	return account->spent_at > 0 &&
	       kernel_now(prepaid->kernel) - account->spent_at < FRESH_US;
}

static void wait_over(prepaid_t *prepaid, handle_t ref)
{
	reservation_t *reservation = table_get(&prepaid->reservations, ref);
	prepaid_account_t *account;
	bool spent;

	if (reservation == NULL || !reservation->waiting)
		return;
	account = reservation->account;
	/* The home said so, or a record that is known leaves too little. */
	spent = is_spent(prepaid, account) ||
		(account->revision != REVISION_UNKNOWN && prepaid->store_up &&
		 account_room(account) + account_available(account) <
			 reservation->tokens);
	reservation_refuse(prepaid, reservation,
			   spent ? RESERVE_SPENT : RESERVE_UNAVAILABLE);
}

/* Tokens that lie idle are lost if all instances lose power. */
static void sweep(prepaid_t *prepaid)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		sharing_give_back(prepaid, account);
	kernel_timer(prepaid->kernel, prepaid->svc, SWEEP_US, HANDLE_NONE,
		     PREPAID_TIMER_SWEEP);
}

static void account_timer(prepaid_t *prepaid, handle_t ref,
			  prepaid_timer_t what)
{
	prepaid_account_t *account = table_get(&prepaid->accounts, ref);

	if (account == NULL)
		return;
	if (what == PREPAID_TIMER_HOME)
		sharing_home_failed(prepaid, account);
	else
		account->timer = HANDLE_NONE;
	part_advance(prepaid, account);
}

static void on_timer(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_timer_t what = (prepaid_timer_t)msg->u.timer.kind;

	switch (what) {
	case PREPAID_TIMER_RETRY:
	case PREPAID_TIMER_HOME:
		account_timer(prepaid, msg->ref, what);
		break;
	case PREPAID_TIMER_WAIT:
		wait_over(prepaid, msg->ref);
		break;
	case PREPAID_TIMER_SWEEP:
		sweep(prepaid);
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
		prepaid_account_t *account = find_account(prepaid, conf->name);

		if (conf->prepaid > account->prepaid)
			account->spent_at = 0;
		account->prepaid = conf->prepaid;
		if (account->waiting.length > 0)
			part_advance(prepaid, account);
	}
}

static void start(prepaid_t *prepaid)
{
	msg_t watch = {.kind = MSG_STORE_WATCH};
	msg_t subscribe = {.kind = MSG_FLEET_SUBSCRIBE};

	kernel_timer(prepaid->kernel, prepaid->svc, SWEEP_US, HANDLE_NONE,
		     PREPAID_TIMER_SWEEP);
	prepaid->store = kernel_find(prepaid->kernel, "store");
	prepaid->peer = kernel_find(prepaid->kernel, "peer");
	g_strlcpy(watch.u.store_get.key, KEY_PREFIX,
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
	while ((account = table_next(&prepaid->accounts, &cursor, NULL)) !=
	       NULL)
		part_advance(prepaid, account);
	check_stopped(prepaid);
}

static void peer_received(prepaid_t *prepaid, const msg_t *msg)
{
	switch (msg->u.peer.body->kind) {
	case PEER_SLICE_REQUEST:
		peer_asks(prepaid, msg);
		break;
	case PEER_SLICE_REPLY:
		peer_gives(prepaid, msg);
		break;
	case PEER_REFILL_REQUEST:
		refill_asked(prepaid, msg);
		break;
	case PEER_REFILL_REPLY:
		refill_received(prepaid, msg);
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
		spend(prepaid, msg->ref, 0);
		break;
	case MSG_SPEND:
		spend(prepaid, msg->ref, msg->u.spend.tokens);
		break;
	case MSG_PEER_UP:
	case MSG_PEER_DOWN:
		peer_set_update(&prepaid->peers, msg);
		prepaid->homes_version++;
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
	peer_set_init(&prepaid->peers);
	table_init(&prepaid->accounts, sizeof(prepaid_account_t));
	table_init(&prepaid->reservations, sizeof(reservation_t));
	prepaid->by_name = g_hash_table_new(g_str_hash, g_str_equal);
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
	g_hash_table_unref(prepaid->by_name);
	table_finish(&prepaid->accounts);
	table_finish(&prepaid->reservations);
	kernel_unregister(prepaid->kernel, prepaid->svc);
}
