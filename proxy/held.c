#include "proxy/held.h"

#include "kernel/hash.h"
#include "log/log.h"
#include "proxy/exchange.h"

#include <string.h>

#define KEY_PREFIX "quarantine/"
/* Delay that gathers quarantines into one write. */
#define WRITE_DELAY_US (50 * USEC_PER_MSEC)
/* Bounds of the delay after a call that failed. */
#define RETRY_MIN_US (500 * USEC_PER_MSEC)
#define RETRY_MAX_US (5 * USEC_PER_SEC)
#define WRITES_MAX 16 /* records in one call */
#define WAITING_MAX 256 /* records to be written */

/* Kind of a call to the store, sent as the index of the message's id. */
typedef enum held_call_t {
	CALL_READ = 1,
	CALL_WRITE,
} held_call_t;

/* A record that is to be written or removed. */
typedef struct held_write_t {
	char key[STORE_KEY_SIZE];
	bool removed;
	record_held_t record;
} held_write_t;

static int64_t wall_ms(const proxy_t *proxy)
{
	return kernel_wall(proxy->kernel) / USEC_PER_MSEC;
}

void held_init(held_t *held)
{
	memset(held, 0, sizeof(*held));
	held->waiting = g_array_new(FALSE, TRUE, sizeof(held_write_t));
	held->outdated = g_ptr_array_new_with_free_func(g_free);
}

void held_finish(held_t *held)
{
	g_array_unref(held->waiting);
	g_ptr_array_unref(held->outdated);
}

static void schedule(proxy_t *proxy, int64_t delay)
{
	held_t *held = &proxy->held;

	if (handle_is_none(held->timer))
		held->timer = kernel_timer(proxy->kernel, proxy->svc, delay,
					   HANDLE_NONE, EXCHANGE_TIMER_HELD);
}

static int64_t next_delay(held_t *held)
{
	held->retry = CLAMP(held->retry * 2, RETRY_MIN_US, RETRY_MAX_US);
	return held->retry;
}

static void read_page(proxy_t *proxy, const char *after)
{
	msg_t msg = {.kind = MSG_STORE_LIST,
		     .id = {.index = CALL_READ, .gen = 1}};

	g_strlcpy(msg.u.store_list.prefix, KEY_PREFIX,
		  sizeof(msg.u.store_list.prefix));
	g_strlcpy(msg.u.store_list.after, after,
		  sizeof(msg.u.store_list.after));
	proxy->held.calling = true;
	kernel_post(proxy->kernel, proxy->svc, proxy->store, &msg);
}

void held_load(proxy_t *proxy)
{
	if (!handle_is_none(proxy->store))
		read_page(proxy, "");
}

static void write_later(proxy_t *proxy, const held_write_t *write)
{
	held_t *held = &proxy->held;

	if (handle_is_none(proxy->store))
		return;
	/* Those of a call in progress stay. */
	for (guint i = held->waiting->len; i > held->writing; i--)
		if (strcmp(g_array_index(held->waiting, held_write_t, i - 1)
				   .key,
			   write->key) == 0)
			g_array_remove_index(held->waiting, i - 1);
	if (held->waiting->len == WAITING_MAX) {
		log_event(LOG_LEVEL_WARN, "proxy", "quarantine_not_saved",
			  "key=%s reason=too_many", write->key);
		return;
	}
	g_array_append_val(held->waiting, *write);
	schedule(proxy, WRITE_DELAY_US);
}

static void request_key(char key[STORE_KEY_SIZE], const char *fingerprint)
{
	g_snprintf(key, STORE_KEY_SIZE, KEY_PREFIX "request.%s", fingerprint);
}

void held_save_request(proxy_t *proxy, const quarantine_news_t *news)
{
	held_write_t write = {.removed = false};
	int64_t now = wall_ms(proxy);

	g_strlcpy(write.record.fingerprint, news->fingerprint,
		  sizeof(write.record.fingerprint));
	write.record.decided_ms = now - news->age_ms;
	write.record.expires_ms = now + news->left_ms;
	request_key(write.key, news->fingerprint);
	write_later(proxy, &write);
}

void held_remove_request(proxy_t *proxy, const char *fingerprint)
{
	held_write_t write = {.removed = true};

	request_key(write.key, fingerprint);
	write_later(proxy, &write);
}

/* Only the key of a set of one part is the one of former builds. */
static void parts_key(char key[STORE_KEY_SIZE], const part_set_t *set)
{
	char text[PART_SET_TEXT_SIZE];

	if (set->count == 1)
		g_snprintf(key, STORE_KEY_SIZE, KEY_PREFIX "part." PART_FORMAT,
			   set->parts[0]);
	else
		g_snprintf(key, STORE_KEY_SIZE, KEY_PREFIX "parts." PART_FORMAT,
			   hash_rendezvous(part_set_format(set, text), ""));
}

void held_save_parts(proxy_t *proxy, const part_sentence_t *sentence)
{
	held_write_t write = {.removed = false};
	int64_t now = wall_ms(proxy);

	write.record.set = sentence->set;
	write.record.strikes = sentence->strikes;
	write.record.decided_ms = now - sentence->age_ms;
	write.record.expires_ms = now + sentence->left_ms;
	parts_key(write.key, &sentence->set);
	write_later(proxy, &write);
}

void held_remove_parts(proxy_t *proxy, const part_set_t *set)
{
	held_write_t write = {.removed = true};

	parts_key(write.key, set);
	write_later(proxy, &write);
}

/* Adds the writes that wait, and removals of outdated records. */
static store_txn_t *next_txn(proxy_t *proxy)
{
	held_t *held = &proxy->held;
	store_txn_t *txn = store_txn_new();

	store_txn_group(txn);
	held->writing = MIN(held->waiting->len, WRITES_MAX);
	for (guint i = 0; i < held->writing; i++) {
		const held_write_t *write =
			&g_array_index(held->waiting, held_write_t, i);
		record_t record = {.kind = RECORD_HELD,
				   .u.held = write->record};

		if (write->removed)
			store_txn_delete(txn, write->key, EXPECT_ANY);
		else
			store_txn_put(txn, write->key, EXPECT_ANY, 0, &record);
	}
	held->removing = MIN(held->outdated->len, WRITES_MAX - held->writing);
	for (guint i = 0; i < held->removing; i++)
		store_txn_delete(txn, g_ptr_array_index(held->outdated, i),
				 EXPECT_ANY);
	return txn;
}

void held_timed_out(proxy_t *proxy)
{
	held_t *held = &proxy->held;
	msg_t msg = {.kind = MSG_STORE_TXN,
		     .id = {.index = CALL_WRITE, .gen = 1}};

	held->timer = HANDLE_NONE;
	if (held->calling)
		return;
	if (!held->loaded) {
		read_page(proxy, "");
		return;
	}
	if (held->waiting->len == 0)
		return;
	held->calling = true;
	msg.u.store_txn = next_txn(proxy);
	kernel_post(proxy->kernel, proxy->svc, proxy->store, &msg);
}

/* The clocks of two instances may differ. */
static int64_t clamp_age(int64_t age)
{
	return CLAMP(age, 0, PART_QUARANTINE_MAX_MS);
}

static void apply_record(proxy_t *proxy, const record_held_t *record)
{
	int64_t now = wall_ms(proxy);
	int64_t left = record->expires_ms - now;
	int64_t age = clamp_age(now - record->decided_ms);
	quarantine_news_t news = {.age_ms = age, .left_ms = left};
	part_sentence_t sentence = {
		.set = record->set,
		.left_ms = MIN(left, PART_QUARANTINE_MAX_MS),
		.age_ms = age,
		.strikes = MIN(record->strikes, PART_STRIKES_MAX)};

	if (record->fingerprint[0] == '\0') {
		parts_adopt(proxy, &sentence, "store");
		return;
	}
	g_strlcpy(news.fingerprint, record->fingerprint,
		  sizeof(news.fingerprint));
	crash_adopt(proxy, &news, "store");
}

static void apply_page(proxy_t *proxy, const store_result_t *result)
{
	const char *last = "";

	for (guint i = 0; i < result->kvs->len; i++) {
		const store_kv_t *kv =
			&g_array_index(result->kvs, store_kv_t, i);

		last = kv->key;
		if (kv->record.kind != RECORD_HELD)
			continue;
		if (kv->record.u.held.expires_ms > wall_ms(proxy))
			apply_record(proxy, &kv->record.u.held);
		else
			g_ptr_array_add(proxy->held.outdated,
					g_strdup(kv->key));
	}
	if (result->more && last[0] != '\0') {
		read_page(proxy, last);
		return;
	}
	proxy->held.loaded = true;
	log_event(LOG_LEVEL_INFO, "proxy", "quarantines_read", "outdated=%u",
		  proxy->held.outdated->len);
}

static void write_finished(held_t *held, uint32_t written, uint32_t removed)
{
	if (written > 0)
		g_array_remove_range(held->waiting, 0, written);
	if (removed > 0)
		g_ptr_array_remove_range(held->outdated, 0, removed);
}

void held_store_result(proxy_t *proxy, const msg_t *msg)
{
	const store_result_t *result = msg->u.store_result;
	held_t *held = &proxy->held;
	uint32_t written = held->writing, removed = held->removing;

	held->calling = false;
	held->writing = 0;
	held->removing = 0;
	if (result->status != STORE_OK) {
		log_event(LOG_LEVEL_WARN, "proxy", "quarantine_call_failed",
			  "loaded=%d waiting=%u", held->loaded,
			  held->waiting->len);
		schedule(proxy, next_delay(held));
		return;
	}
	held->retry = 0;
	switch ((held_call_t)msg->ref.index) {
	case CALL_READ:
		apply_page(proxy, result);
		break;
	case CALL_WRITE:
		write_finished(held, written, removed);
		break;
	}
	if (held->waiting->len > 0)
		schedule(proxy, WRITE_DELAY_US);
}
