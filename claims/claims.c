#include "claims/claims.h"

#include "claims/claim.h"
#include "log/log.h"

#include <string.h>

#define MAX_CLAIMS 20000
#define MAX_OUTCOME_BYTES ((int64_t)16 * 1024 * 1024)
/*
 * Longest wait of a caller for the store, the same as for a grant.  During a
 * store outage the request is refused as not run after this time instead of at
 * its deadline.
 */
#define OPEN_WAIT_US (2 * USEC_PER_SEC)
/* Longest time that a planned stop waits for the store. */
#define STOP_WAIT_US (10 * USEC_PER_SEC)

void claims_opts_defaults(claims_opts_t *opts)
{
	memset(opts, 0, sizeof(*opts));
	opts->max_claims = MAX_CLAIMS;
	opts->max_outcome_bytes = MAX_OUTCOME_BYTES;
}

static bool append_escaped(GString *out, const char *text)
{
	for (const char *p = text; *p != '\0'; p++) {
		if (g_ascii_isalnum(*p) || strchr("._-", *p) != NULL)
			g_string_append_c(out, *p);
		else
			g_string_append_printf(out, "%%%02X", (guchar)*p);
	}
	return text[0] != '\0';
}

bool claims_store_key(const char *client_account, const char *idem_key,
		      char out[STORE_KEY_SIZE])
{
	GString *key = g_string_new("claim/");
	bool valid;

	valid = append_escaped(key, client_account);
	g_string_append_c(key, '/');
	valid = append_escaped(key, idem_key) && valid &&
		key->len < STORE_KEY_SIZE;
	if (valid)
		g_strlcpy(out, key->str, STORE_KEY_SIZE);
	g_string_free(key, TRUE);
	return valid;
}

static void new_op(claims_svc_t *claims, op_id_t *op)
{
	g_strlcpy(op->writer, claims->opts.incarnation, sizeof(op->writer));
	op->seq = ++claims->op_seq;
}

static void post_result(claims_svc_t *claims, svc_t to, handle_t ref,
			handle_t id, claim_result_t result,
			const outcome_t *outcome)
{
	msg_t msg = {.kind = MSG_CLAIM_RESULT, .ref = ref, .id = id};

	msg.u.claimed.result = result;
	if (outcome != NULL)
		outcome_copy(&msg.u.claimed.outcome, outcome);
	kernel_post(claims->kernel, claims->self, to, &msg);
}

void claim_reply(claims_svc_t *claims, claim_t *claim, claim_result_t result,
		 const outcome_t *outcome)
{
	if (claim->replied)
		return;
	claim->replied = true;
	kernel_timer_cancel(claims->kernel, &claim->deadline_timer);
	post_result(claims, claim->requester, claim->requester_id, claim->self,
		    result, outcome);
}

static void check_stopped(claims_svc_t *claims, bool timed_out)
{
	msg_t msg = {.kind = MSG_STOPPED};

	if (!claims->stopping || claims->stopped)
		return;
	if (table_count(&claims->claims) > 0 && !timed_out)
		return;
	if (timed_out)
		log_event(LOG_LEVEL_WARN, "claims", "stop_late", "unwritten=%u",
			  table_count(&claims->claims));
	claims->stopped = true;
	kernel_timer_cancel(claims->kernel, &claims->stop_timer);
	kernel_post(claims->kernel, claims->self,
		    kernel_find(claims->kernel, "router"), &msg);
}

static int64_t outcome_size(const claim_t *claim)
{
	return claim->outcome.body == NULL
		       ? 0
		       : (int64_t)g_bytes_get_size(claim->outcome.body);
}

void claim_remove(claims_svc_t *claims, claim_t *claim)
{
	batch_dequeue(claims, claim);
	kernel_timer_cancel(claims->kernel, &claim->deadline_timer);
	claims->outcome_bytes -= outcome_size(claim);
	outcome_clear(&claim->outcome);
	g_hash_table_remove(claims->by_key, claim->key);
	table_remove(&claims->claims, claim->self);
	check_stopped(claims, false);
}

void claim_abort(claims_svc_t *claims, claim_t *claim)
{
	claim->step = STEP_ABORT;
	new_op(claims, &claim->final_op);
	if (!claim->in_flight)
		batch_enqueue(claims, claim);
}

static void post_stored(claims_svc_t *claims, svc_t to, handle_t ref,
			bool stored)
{
	msg_t msg = {.kind = MSG_CLAIM_STORED, .ref = ref};

	msg.u.claim_stored.stored = stored;
	kernel_post(claims->kernel, claims->self, to, &msg);
}

void claim_finish(claims_svc_t *claims, claim_t *claim, bool stored)
{
	post_stored(claims, claim->requester, claim->requester_id, stored);
	if (!stored)
		log_event(LOG_LEVEL_WARN, "claims", "outcome_dropped", "key=%s",
			  log_quote(claim->key));
	claim_remove(claims, claim);
}

/* Replies to a request whose key belongs to a claim in memory. */
static void reply_duplicate(claims_svc_t *claims, const msg_t *msg,
			    const claim_t *claim)
{
	claim_result_t result = CLAIM_IN_DOUBT;
	const outcome_t *outcome = NULL;

	if (claim->step == STEP_ABORT) {
		/* The first request did not run; the key is free again soon. */
		result = CLAIM_STORE_UNAVAILABLE;
	} else if (strcmp(claim->fingerprint, msg->u.claim.fingerprint) != 0) {
		result = CLAIM_MISMATCH;
	} else if (claim->step == STEP_DONE) {
		result = CLAIM_REPLAY;
		outcome = &claim->outcome;
	}
	post_result(claims, msg->from, msg->id, HANDLE_NONE, result, outcome);
}

static void begin_claim(claims_svc_t *claims, const msg_t *msg)
{
	char key[STORE_KEY_SIZE];
	int64_t now = kernel_now(claims->kernel);
	claim_t *claim;
	handle_t self;

	if (!claims_store_key(msg->u.claim.client_account,
			      msg->u.claim.idem_key, key) ||
	    now >= msg->u.claim.deadline)
		goto unavailable;
	claim = g_hash_table_lookup(claims->by_key, key);
	if (claim != NULL) {
		reply_duplicate(claims, msg, claim);
		return;
	}
	if (table_count(&claims->claims) >= claims->opts.max_claims)
		goto unavailable;
	self = table_add(&claims->claims, (void **)&claim);
	claim->self = self;
	claim->step = STEP_OPEN;
	claim->requester = msg->from;
	claim->requester_id = msg->id;
	claim->deadline = msg->u.claim.deadline;
	claim->wall_ms = kernel_wall(claims->kernel) / USEC_PER_MSEC;
	claim->expect = EXPECT_ABSENT;
	claim->link.data = claim;
	g_strlcpy(claim->key, key, sizeof(claim->key));
	g_strlcpy(claim->fingerprint, msg->u.claim.fingerprint,
		  sizeof(claim->fingerprint));
	new_op(claims, &claim->open_op);
	g_hash_table_insert(claims->by_key, claim->key, claim);
	claim->deadline_timer = kernel_timer(
		claims->kernel, claims->self,
		MIN(claim->deadline - now, OPEN_WAIT_US), self, TIMER_DEADLINE);
	batch_enqueue(claims, claim);
	batch_send(claims);
	return;
unavailable:
	post_result(claims, msg->from, msg->id, HANDLE_NONE,
		    CLAIM_STORE_UNAVAILABLE, NULL);
}

/* Drops the oldest outcomes that wait for the store, to bound memory use. */
static void limit_outcomes(claims_svc_t *claims)
{
	GList *link = claims->waiting.head;

	while (claims->outcome_bytes > claims->opts.max_outcome_bytes &&
	       link != NULL) {
		claim_t *claim = link->data;

		link = link->next;
		if (claim->step == STEP_DONE && outcome_size(claim) > 0)
			claim_finish(claims, claim, false);
	}
}

static void store_outcome(claims_svc_t *claims, msg_t *msg)
{
	claim_t *claim = table_get(&claims->claims, msg->ref);
	outcome_t *outcome = &msg->u.claim_done.outcome;

	if (claim == NULL || claim->step != STEP_OWNED) {
		post_stored(claims, msg->from, msg->id, false);
		return;
	}
	if (outcome->body != NULL &&
	    g_bytes_get_size(outcome->body) > OUTCOME_BODY_MAX)
		outcome_clear(outcome);
	claim->outcome = *outcome;
	outcome->body = NULL;
	claims->outcome_bytes += outcome_size(claim);
	claim->requester = msg->from;
	claim->requester_id = msg->id;
	claim->step = STEP_DONE;
	new_op(claims, &claim->final_op);
	batch_enqueue(claims, claim);
	limit_outcomes(claims);
	batch_send(claims);
}

static void release_claim(claims_svc_t *claims, const msg_t *msg)
{
	claim_t *claim = table_get(&claims->claims, msg->ref);

	if (claim == NULL || claim->step != STEP_OWNED)
		return;
	if (msg->kind == MSG_CLAIM_ABANDON) {
		claim_remove(claims, claim);
		return;
	}
	claim_abort(claims, claim);
	batch_send(claims);
}

static void deadline_expired(claims_svc_t *claims, claim_t *claim)
{
	claim->deadline_timer = HANDLE_NONE;
	if (claim->step != STEP_OPEN)
		return;
	claim_reply(claims, claim, CLAIM_STORE_UNAVAILABLE, NULL);
	if (!claim->in_flight && !claim->open_unknown) {
		claim_remove(claims, claim);
		return;
	}
	claim_abort(claims, claim);
	batch_send(claims);
}

static void timer(claims_svc_t *claims, const msg_t *msg)
{
	claim_t *claim;

	switch ((claims_timer_t)msg->u.timer.kind) {
	case TIMER_DEADLINE:
		claim = table_get(&claims->claims, msg->ref);
		if (claim != NULL)
			deadline_expired(claims, claim);
		break;
	case TIMER_RETRY:
		claims->retry_timer = HANDLE_NONE;
		batch_send(claims);
		break;
	case TIMER_STOP:
		claims->stop_timer = HANDLE_NONE;
		check_stopped(claims, true);
		break;
	}
}

static void stop(claims_svc_t *claims)
{
	claims->stopping = true;
	claims->stop_timer =
		kernel_timer(claims->kernel, claims->self, STOP_WAIT_US,
			     HANDLE_NONE, TIMER_STOP);
	check_stopped(claims, false);
}

static void receive(void *self, msg_t *msg)
{
	claims_svc_t *claims = self;

	switch (msg->kind) {
	case MSG_START:
		claims->store = kernel_find(claims->kernel, "store");
		break;
	case MSG_STOP:
		stop(claims);
		break;
	case MSG_TIMER:
		timer(claims, msg);
		break;
	case MSG_CLAIM_BEGIN:
		begin_claim(claims, msg);
		break;
	case MSG_CLAIM_DONE:
		store_outcome(claims, msg);
		break;
	case MSG_CLAIM_ABORT:
	case MSG_CLAIM_ABANDON:
		release_claim(claims, msg);
		break;
	case MSG_STORE_RESULT:
		batch_result(claims, msg);
		break;
	default:
		break;
	}
}

void claims_init(claims_svc_t *claims, kernel_t *kernel,
		 const claims_opts_t *opts)
{
	memset(claims, 0, sizeof(*claims));
	claims->kernel = kernel;
	claims->opts = *opts;
	table_init(&claims->claims, sizeof(claim_t));
	claims->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&claims->waiting);
	claims->batch = g_array_new(FALSE, FALSE, sizeof(handle_t));
	claims->self = kernel_register(kernel, "claims", receive, claims);
}

void claims_finish(claims_svc_t *claims)
{
	claim_t *claim;
	uint32_t cursor = 0;

	while ((claim = table_next(&claims->claims, &cursor, NULL)) != NULL)
		outcome_clear(&claim->outcome);
	kernel_unregister(claims->kernel, claims->self);
	table_finish(&claims->claims);
	g_hash_table_unref(claims->by_key);
	g_array_unref(claims->batch);
	memset(claims, 0, sizeof(*claims));
}
