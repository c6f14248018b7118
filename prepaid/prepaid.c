#include "prepaid/prepaid.h"

#include "log/log.h"
#include "prepaid/account.h"

#include <string.h>

#define KEY_PREFIX "prepaid/"
/* After a call that the store did not answer. */
#define RETRY_US (250 * USEC_PER_MSEC)
/*
 * After another instance has written first.  Doubles with each conflict in a
 * row, and is spread, so that instances do not meet again.
 */
#define CONFLICT_US (4 * USEC_PER_MSEC)
#define CONFLICT_MAX_US (64 * USEC_PER_MSEC)
#define REFILL_PART 2 /* of the headroom, at which more is taken */
/* Peers asked for one reservation: each costs a message. */
#define ASK_PEERS 6
/* A peer answers within a few ms, unless it has to ask the store itself. */
#define PEER_WAIT_US (120 * USEC_PER_MSEC)
/* For a reservation that the store does not answer. */
#define STORE_WAIT_US (350 * USEC_PER_MSEC)
/* A record read longer ago is read again before a request is refused by it. */
#define FRESH_US (2 * USEC_PER_SEC)

static void advance(prepaid_t *prepaid, prepaid_account_t *account);

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
	    (conf = fleet_conf_account_named(prepaid->conf, name)) != NULL)
		account->prepaid = conf->prepaid;
	g_hash_table_insert(prepaid->by_name, account->name, account);
	return account;
}

static void key_of(const prepaid_account_t *account, char key[STORE_KEY_SIZE])
{
	g_snprintf(key, STORE_KEY_SIZE, KEY_PREFIX "%s", account->name);
}

static void drop(prepaid_t *prepaid, reservation_t *reservation)
{
	kernel_timer_cancel(prepaid->kernel, &reservation->timer);
	if (reservation->waiting)
		g_queue_remove(&reservation->account->waiting, reservation);
	table_remove(&prepaid->reservations, reservation->self);
}

static void answer_peer(prepaid_t *prepaid, const prepaid_account_t *account,
			const char *peer, int64_t tokens)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	g_strlcpy(msg.u.peer.incarnation, peer, sizeof(msg.u.peer.incarnation));
	msg.u.peer.body = peer_body_new(PEER_SLICE_REPLY);
	g_strlcpy(msg.u.peer.body->u.slice.client_account, account->name,
		  sizeof(msg.u.peer.body->u.slice.client_account));
	msg.u.peer.body->u.slice.tokens = tokens;
	kernel_post(prepaid->kernel, prepaid->svc, prepaid->peer, &msg);
}

static void answer(prepaid_t *prepaid, reservation_t *reservation,
		   reserve_result_t result)
{
	msg_t msg = {.kind = MSG_RESERVED,
		     .ref = reservation->ref,
		     .id = reservation->self};

	msg.u.reserved.result = result;
	kernel_post(prepaid->kernel, prepaid->svc, reservation->owner, &msg);
}

/* Hands tokens to a peer; from here on they are the peer's. */
static void give(prepaid_t *prepaid, prepaid_account_t *account,
		 const char *peer, int64_t tokens)
{
	tokens = CLAMP(account_available(account), 0, tokens);
	account->given += tokens;
	answer_peer(prepaid, account, peer, tokens);
}

static void hold(prepaid_t *prepaid, reservation_t *reservation)
{
	prepaid_account_t *account = reservation->account;

	if (reservation->waiting)
		g_queue_remove(&account->waiting, reservation);
	reservation->waiting = false;
	kernel_timer_cancel(prepaid->kernel, &reservation->timer);
	if (reservation->peer[0] != '\0') {
		give(prepaid, account, reservation->peer, reservation->tokens);
		drop(prepaid, reservation);
		return;
	}
	account->reserved += reservation->tokens;
	answer(prepaid, reservation, RESERVE_OK);
}

static void refuse(prepaid_t *prepaid, reservation_t *reservation,
		   reserve_result_t result)
{
	prepaid_account_t *account = reservation->account;

	log_event(LOG_LEVEL_INFO, "prepaid", "refused",
		  "request=%s account=%s tokens=%" G_GINT64_FORMAT " reason=%s "
		  "available=%" G_GINT64_FORMAT " room=%" G_GINT64_FORMAT
		  " prepaid=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
		  " store_up=%d peer=%s",
		  log_quote(reservation->request_id), account->name,
		  reservation->tokens,
		  result == RESERVE_SPENT ? "spent" : "store_unavailable",
		  account_available(account), account_room(account),
		  account->prepaid, account->revision, prepaid->store_up,
		  reservation->peer);
	if (reservation->peer[0] != '\0')
		give(prepaid, account, reservation->peer, reservation->tokens);
	else
		answer(prepaid, reservation, result);
	drop(prepaid, reservation);
}

static void serve_waiting(prepaid_t *prepaid, prepaid_account_t *account)
{
	GList *link = account->waiting.head;

	while (link != NULL) {
		reservation_t *reservation = link->data;

		link = link->next;
		if (account_available(account) >= reservation->tokens)
			hold(prepaid, reservation);
	}
}

static int64_t sum_waiting(const prepaid_account_t *account)
{
	int64_t sum = 0;

	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		sum += ((const reservation_t *)link->data)->tokens;
	return sum;
}

static void call_get(prepaid_t *prepaid, prepaid_account_t *account)
{
	msg_t msg = {.kind = MSG_STORE_GET, .id = account->self};

	key_of(account, msg.u.store_get.key);
	account->calling = true;
	kernel_post(prepaid->kernel, prepaid->svc, prepaid->store, &msg);
}

static void call_put(prepaid_t *prepaid, prepaid_account_t *account,
		     int64_t granted, bool close)
{
	msg_t msg = {.kind = MSG_STORE_TXN, .id = account->self};
	record_t record = {.kind = RECORD_ALLOCATION};
	char key[STORE_KEY_SIZE];

	key_of(account, key);
	record.u.allocation =
		account_next_record(account, &prepaid->opts, granted, close);
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	store_txn_put(msg.u.store_txn, key, account->revision, 0, &record);
	record_clear(&record);
	account->calling = true;
	account->returning = close;
	account->asked = granted;
	kernel_post(prepaid->kernel, prepaid->svc, prepaid->store, &msg);
}

static void ask_peer(prepaid_t *prepaid, const reservation_t *reservation,
		     const char *peer)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	g_strlcpy(msg.u.peer.incarnation, peer, sizeof(msg.u.peer.incarnation));
	msg.u.peer.body = peer_body_new(PEER_SLICE_ASK);
	g_strlcpy(msg.u.peer.body->u.slice.client_account,
		  reservation->account->name,
		  sizeof(msg.u.peer.body->u.slice.client_account));
	msg.u.peer.body->u.slice.tokens = reservation->tokens;
	kernel_post(prepaid->kernel, prepaid->svc, prepaid->peer, &msg);
}

/* Asks some peers, from a random one on, to hand over unused tokens. */
static void ask_peers(prepaid_t *prepaid, reservation_t *reservation,
		      int64_t wait)
{
	guint count = prepaid->peers->len;
	guint first;

	if (reservation->asked_peers || reservation->peer[0] != '\0')
		return;
	reservation->asked_peers = true;
	kernel_timer_cancel(prepaid->kernel, &reservation->timer);
	reservation->timer =
		kernel_timer(prepaid->kernel, prepaid->svc, wait,
			     reservation->self, PREPAID_TIMER_WAIT);
	if (count == 0)
		return;
	first = (guint)kernel_random_below(prepaid->kernel, count);
	for (guint i = 0; i < MIN(count, ASK_PEERS); i++)
		ask_peer(
			prepaid, reservation,
			g_ptr_array_index(prepaid->peers, (first + i) % count));
}

/* The record does not leave enough: peers may still hold unused tokens. */
static void exhausted(prepaid_t *prepaid, prepaid_account_t *account)
{
	GList *link = account->waiting.head;

	while (link != NULL) {
		reservation_t *reservation = link->data;

		link = link->next;
		if (reservation->peer[0] != '\0' || prepaid->peers->len == 0)
			refuse(prepaid, reservation, RESERVE_SPENT);
		else
			ask_peers(prepaid, reservation, PEER_WAIT_US);
	}
}

/* The least that one of the waiting reservations lacks. */
static int64_t least_missing(const prepaid_account_t *account)
{
	int64_t least = INT64_MAX;

	for (const GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		least = MIN(least, ((const reservation_t *)link->data)->tokens);
	return least - account_available(account);
}

static void take(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t available = account_available(account);
	int64_t headroom = account_headroom(account, prepaid->instances);
	int64_t room = account_room(account);
	int64_t want = sum_waiting(account) + headroom - available;

	if (account->waiting.length == 0 && available >= headroom / REFILL_PART)
		return;
	if (account->waiting.length > 0 && least_missing(account) > room) {
		if (kernel_now(prepaid->kernel) - account->known_at > FRESH_US)
			call_get(prepaid, account);
		else
			exhausted(prepaid, account);
		return;
	}
	want = MIN(want, room);
	if (want <= 0)
		return;
	metrics_add(prepaid->kernel->metrics, COUNTER_GRANTS_TAKEN, 1);
	call_put(prepaid, account, account->granted + want, false);
}

/* Tokens of the own part that are spent or handed over. */
static int64_t used(const prepaid_account_t *account)
{
	return MAX(account->spent + account->given + account->reserved -
			   account->received,
		   0);
}

static void return_unused(prepaid_t *prepaid, prepaid_account_t *account)
{
	if (account->granted == 0)
		return;
	metrics_add(prepaid->kernel->metrics, COUNTER_GRANTS_RETURNED, 1);
	account->sealed = true;
	call_put(prepaid, account, used(account), true);
}

static void refuse_all(prepaid_t *prepaid, prepaid_account_t *account)
{
	reservation_t *reservation;

	while ((reservation = g_queue_peek_head(&account->waiting)) != NULL)
		refuse(prepaid, reservation, RESERVE_UNAVAILABLE);
}

static void wait_for_store(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t retry_at = MAX(account->retry_at, prepaid->retry_at);
	int64_t wait = retry_at - kernel_now(prepaid->kernel);

	/* Nobody can help: the caller's next attempt may find tokens. */
	if (!prepaid->store_up && prepaid->peers->len == 0) {
		refuse_all(prepaid, account);
		return;
	}
	/* The return of a store that is down is told by an event. */
	if (prepaid->store_up && handle_is_none(account->timer))
		account->timer = kernel_timer(prepaid->kernel, prepaid->svc,
					      MAX(wait, 0), account->self,
					      PREPAID_TIMER_RETRY);
	/* After a conflict the store will answer soon. */
	if (account->conflicts > 0 && account->revision != REVISION_UNKNOWN)
		return;
	for (GList *link = account->waiting.head; link != NULL;
	     link = link->next)
		ask_peers(prepaid, link->data, STORE_WAIT_US);
}

/* Goes on with whatever the account needs now. */
static void advance(prepaid_t *prepaid, prepaid_account_t *account)
{
	serve_waiting(prepaid, account);
	if (account->sealed)
		refuse_all(prepaid, account);
	if (account->calling)
		return;
	if (!prepaid->store_up ||
	    kernel_now(prepaid->kernel) <
		    MAX(account->retry_at, prepaid->retry_at))
		wait_for_store(prepaid, account);
	else if (account->revision == REVISION_UNKNOWN &&
		 (account->waiting.length > 0 || prepaid->stopping))
		call_get(prepaid, account);
	else if (prepaid->stopping && account->waiting.length == 0)
		return_unused(prepaid, account);
	else if (account->revision != REVISION_UNKNOWN)
		take(prepaid, account);
}

static void back_off(prepaid_t *prepaid, prepaid_account_t *account)
{
	account->retry_at = kernel_now(prepaid->kernel) + RETRY_US;
}

static void spread(prepaid_t *prepaid, prepaid_account_t *account)
{
	int64_t most = CONFLICT_US << MIN(account->conflicts, 10);

	account->conflicts++;
	most = MIN(most, CONFLICT_MAX_US);
	account->retry_at =
		kernel_now(prepaid->kernel) +
		(int64_t)kernel_random_below(prepaid->kernel, (uint64_t)most);
}

static void committed(prepaid_t *prepaid, prepaid_account_t *account,
		      int64_t revision)
{
	record_allocation_t *next = account_next_record(
		account, &prepaid->opts, account->asked, account->returning);

	allocation_free(account->record);
	account->record = next;
	account->revision = revision;
	account->known_at = kernel_now(prepaid->kernel);
	account->conflicts = 0;
	account->granted = account->returning ? 0 : account->asked;
	log_event(LOG_LEVEL_DEBUG, "prepaid",
		  account->returning ? "returned" : "taken",
		  "account=%s granted=%" G_GINT64_FORMAT
		  " room=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT,
		  account->name, account->asked, account_room(account),
		  revision);
}

static void adopt_result(prepaid_t *prepaid, prepaid_account_t *account,
			 const store_result_t *result)
{
	char key[STORE_KEY_SIZE];
	const store_kv_t *kv;

	key_of(account, key);
	kv = store_result_find(result, key);
	if (kv == NULL) {
		account->revision = REVISION_UNKNOWN;
		back_off(prepaid, account);
		return;
	}
	account_adopt(account, &prepaid->opts, &kv->record, kv->revision);
	account->known_at = kernel_now(prepaid->kernel);
}

static void store_result(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account = table_get(&prepaid->accounts, msg->ref);
	const store_result_t *result = msg->u.store_result;

	if (account == NULL)
		return;
	account->calling = false;
	switch (result->status) {
	case STORE_OK:
		if (store_result_committed(result, 0)) {
			committed(prepaid, account, result->revision);
			break;
		}
		adopt_result(prepaid, account, result);
		/* The answer to a read holds no result of a write. */
		if (result->committed->len > 0)
			spread(prepaid, account);
		break;
	case STORE_UNKNOWN:
		/* It may still be written, so the record is read first. */
		account->revision = REVISION_UNKNOWN;
		back_off(prepaid, account);
		break;
	case STORE_UNAVAILABLE:
		/* A store that turns one call away does so with others. */
		account->conflicts = 0;
		prepaid->retry_at = kernel_now(prepaid->kernel) + RETRY_US;
		break;
	case STORE_INVALID:
	case STORE_COMPACTED:
		account->conflicts = 0;
		back_off(prepaid, account);
		break;
	}
	account->returning = false;
	advance(prepaid, account);
	check_stopped(prepaid);
}

static void store_changed(prepaid_t *prepaid, bool up)
{
	uint32_t cursor = 0;
	prepaid_account_t *account;

	prepaid->store_up = up;
	prepaid->retry_at = 0;
	while (up && (account = table_next(&prepaid->accounts, &cursor,
					   NULL)) != NULL)
		if (account->waiting.length > 0 || prepaid->stopping)
			advance(prepaid, account);
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

static reservation_t *add(prepaid_t *prepaid, prepaid_account_t *account,
			  int64_t tokens)
{
	reservation_t *reservation;
	handle_t self =
		table_add(&prepaid->reservations, (void **)&reservation);

	reservation->self = self;
	reservation->account = account;
	reservation->tokens = tokens;
	reservation->waiting = true;
	g_queue_push_tail(&account->waiting, reservation);
	account_note_demand(account, tokens, kernel_now(prepaid->kernel));
	return reservation;
}

static void reserve(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account =
		find_account(prepaid, msg->u.reserve.client_account);
	reservation_t *reservation =
		add(prepaid, account, MAX(msg->u.reserve.tokens, 0));

	reservation->owner = msg->from;
	reservation->ref = msg->id;
	g_strlcpy(reservation->request_id, msg->u.reserve.request_id,
		  sizeof(reservation->request_id));
	if (account->prepaid < 0) {
		hold(prepaid, reservation);
		return;
	}
	advance(prepaid, account);
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
	drop(prepaid, reservation);
	if (account->prepaid >= 0)
		advance(prepaid, account);
}

static void peer_asks(prepaid_t *prepaid, const msg_t *msg)
{
	const peer_body_t *body = msg->u.peer.body;
	prepaid_account_t *account =
		find_account(prepaid, body->u.slice.client_account);
	reservation_t *reservation;

	if (account->prepaid < 0 || prepaid->stopping)
		return;
	/* What the store still has, the peer gets from there or through us. */
	if (!prepaid->store_up ||
	    account_room(account) < body->u.slice.tokens ||
	    account->revision == REVISION_UNKNOWN) {
		give(prepaid, account, msg->u.peer.incarnation,
		     body->u.slice.tokens);
		return;
	}
	reservation = add(
		prepaid, account,
		body->u.slice.tokens * 2 / MAX(prepaid->instances - 1, 1) + 1);
	g_strlcpy(reservation->peer, msg->u.peer.incarnation,
		  sizeof(reservation->peer));
	advance(prepaid, account);
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
	serve_waiting(prepaid, account);
}

static void wait_over(prepaid_t *prepaid, handle_t ref)
{
	reservation_t *reservation = table_get(&prepaid->reservations, ref);
	prepaid_account_t *account;
	bool spent;

	if (reservation == NULL || !reservation->waiting)
		return;
	account = reservation->account;
	/* A record that is known and leaves too little says that it is spent.
	 */
	spent = account->revision != REVISION_UNKNOWN && prepaid->store_up &&
		account_room(account) + account_available(account) <
			reservation->tokens;
	refuse(prepaid, reservation,
	       spent ? RESERVE_SPENT : RESERVE_UNAVAILABLE);
}

static void on_timer(prepaid_t *prepaid, const msg_t *msg)
{
	prepaid_account_t *account;

	if (msg->u.timer.what == PREPAID_TIMER_WAIT) {
		wait_over(prepaid, msg->ref);
		return;
	}
	account = table_get(&prepaid->accounts, msg->ref);
	if (account == NULL)
		return;
	account->timer = HANDLE_NONE;
	advance(prepaid, account);
}

static void conf_changed(prepaid_t *prepaid, msg_t *msg)
{
	fleet_conf_unref(prepaid->conf);
	prepaid->conf = g_steal_pointer(&msg->u.fleet_conf);
	for (guint i = 0; i < prepaid->conf->accounts->len; i++) {
		const fleet_account_t *conf = &g_array_index(
			prepaid->conf->accounts, fleet_account_t, i);
		prepaid_account_t *account = find_account(prepaid, conf->name);

		account->prepaid = conf->prepaid;
		if (account->waiting.length > 0)
			advance(prepaid, account);
	}
}

static void start(prepaid_t *prepaid)
{
	msg_t watch = {.kind = MSG_STORE_WATCH};
	msg_t subscribe = {.kind = MSG_FLEET_SUBSCRIBE};

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
		advance(prepaid, account);
	check_stopped(prepaid);
}

static void peer_changed(prepaid_t *prepaid, const msg_t *msg)
{
	const char *who = msg->u.peer_addr.incarnation;
	guint index;

	if (g_ptr_array_find_with_equal_func(prepaid->peers, who, g_str_equal,
					     &index))
		g_ptr_array_remove_index_fast(prepaid->peers, index);
	if (msg->kind == MSG_PEER_UP)
		g_ptr_array_add(prepaid->peers, g_strdup(who));
}

static void peer_received(prepaid_t *prepaid, const msg_t *msg)
{
	if (msg->u.peer.body->kind == PEER_SLICE_ASK)
		peer_asks(prepaid, msg);
	else if (msg->u.peer.body->kind == PEER_SLICE_REPLY)
		peer_gives(prepaid, msg);
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
		peer_changed(prepaid, msg);
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
	prepaid->peers = g_ptr_array_new_with_free_func(g_free);
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
	g_ptr_array_unref(prepaid->peers);
	g_hash_table_unref(prepaid->by_name);
	table_finish(&prepaid->accounts);
	table_finish(&prepaid->reservations);
	kernel_unregister(prepaid->kernel, prepaid->svc);
}
