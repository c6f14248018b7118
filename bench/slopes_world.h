/*
 * Test bed of the slope measurements: a virtual clock, an in-memory store that
 * counts calls, and stubs of the other services that reply at once.  The
 * processor time of the store is measured separately, so that it can be
 * subtracted.
 */
#ifndef BENCH_SLOPES_WORLD_H
#define BENCH_SLOPES_WORLD_H

#include "kernel/kernel.h"
#include "peer/codec.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define SELF_INCARNATION "me"

typedef struct stored_value_t {
	int64_t revision;
	record_t record;
} stored_value_t;

typedef struct delayed_reply_t {
	svc_t to;
	msg_t reply;
} delayed_reply_t;

typedef struct world_t {
	kernel_t kernel;
	GHashTable *values; /* store key -> stored_value_t */
	int64_t revision;
	int64_t latency_us; /* delay of store replies, 0: none */
	uint64_t calls; /* store calls */
	int64_t store_ns; /* processor time of the store */
	table_t delayed; /* delayed_reply_t */
	svc_t store;
	svc_t peer;
	svc_t other; /* stub of all other services */
	uint64_t peer_frames;
	uint64_t peer_bytes;
	bool accept_connections; /* reply to MSG_PEER_CONNECT */
	recv_fn_t on_other; /* handles messages to the stubs */
	void *data; /* context of on_other */
	GByteArray *scratch;
} world_t;

static inline int64_t cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return time.tv_sec * INT64_C(1000000000) + time.tv_nsec;
}

static inline size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static inline void free_value(gpointer data)
{
	stored_value_t *value = data;

	record_clear(&value->record);
	g_free(value);
}

static inline void world_put(world_t *world, const char *key,
			     const record_t *record)
{
	stored_value_t *value = g_new0(stored_value_t, 1);

	value->revision = ++world->revision;
	record_copy(&value->record, record);
	g_hash_table_insert(world->values, g_strdup(key), value);
}

static inline int64_t revision_of(const world_t *world, const char *key)
{
	const stored_value_t *value = g_hash_table_lookup(world->values, key);

	return value == NULL ? 0 : value->revision;
}

static inline bool group_matches(const world_t *world, const store_txn_t *txn,
				 uint32_t group)
{
	for (guint i = 0; i < txn->ops->len; i++) {
		const store_op_t *op = &g_array_index(txn->ops, store_op_t, i);

		if (op->group == group && op->expect != EXPECT_ANY &&
		    op->expect != revision_of(world, op->key))
			return false;
	}
	return true;
}

static inline void apply_op(world_t *world, const store_op_t *op, bool matches,
			    store_result_t *result)
{
	const stored_value_t *value =
		g_hash_table_lookup(world->values, op->key);

	if (!matches)
		store_result_add(result, op->group, op->key,
				 value == NULL ? 0 : value->revision,
				 value == NULL ? NULL : &value->record);
	else if (op->kind == STORE_PUT)
		world_put(world, op->key, &op->record);
	else if (op->kind == STORE_DELETE)
		g_hash_table_remove(world->values, op->key);
}

static inline store_result_t *world_txn(world_t *world, const store_txn_t *txn)
{
	store_result_t *result = store_result_new(STORE_OK);
	int64_t revision = world->revision + 1;

	for (uint32_t group = 0; group < txn->group_count; group++) {
		bool matches = group_matches(world, txn, group);

		g_array_append_val(result->committed, matches);
		for (guint i = 0; i < txn->ops->len; i++) {
			const store_op_t *op =
				&g_array_index(txn->ops, store_op_t, i);

			if (op->group != group)
				continue;
			/* All puts of a transaction get the same revision. */
			world->revision = revision - 1;
			apply_op(world, op, matches, result);
		}
	}
	world->revision = MAX(world->revision, revision);
	result->revision = revision;
	return result;
}

static inline store_result_t *world_list(const world_t *world,
					 const char *prefix)
{
	store_result_t *result = store_result_new(STORE_OK);
	GHashTableIter iter;
	gpointer key, value;

	result->revision = world->revision;
	g_hash_table_iter_init(&iter, world->values);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (g_str_has_prefix(key, prefix))
			store_result_add(result, 0, key,
					 ((stored_value_t *)value)->revision,
					 &((stored_value_t *)value)->record);
	return result;
}

static inline void store_answer(world_t *world, const msg_t *call,
				store_result_t *result)
{
	msg_t reply = {.kind = MSG_STORE_RESULT, .ref = call->id};
	delayed_reply_t *delayed;
	handle_t handle;

	reply.u.store_result = result;
	if (world->latency_us == 0) {
		kernel_post(&world->kernel, world->store, call->from, &reply);
		return;
	}
	handle = table_add(&world->delayed, (void **)&delayed);
	delayed->to = call->from;
	delayed->reply = reply;
	kernel_timer(&world->kernel, world->store, world->latency_us, handle,
		     0);
}

static inline void store_call(world_t *world, msg_t *msg)
{
	store_result_t *result = NULL;
	delayed_reply_t *delayed;

	switch (msg->kind) {
	case MSG_TIMER:
		delayed = table_get(&world->delayed, msg->ref);
		kernel_post(&world->kernel, world->store, delayed->to,
			    &delayed->reply);
		table_remove(&world->delayed, msg->ref);
		return;
	case MSG_STORE_TXN:
		result = world_txn(world, msg->u.store_txn);
		break;
	case MSG_STORE_GET:
		result = world_list(world, msg->u.store_get.key);
		break;
	case MSG_STORE_LEASE:
	case MSG_STORE_KEEPALIVE:
		result = store_result_new(STORE_OK);
		result->lease = 7;
		result->lease_ttl_s = msg->u.store_lease.ttl_s;
		break;
	case MSG_STORE_WATCH:
		world->calls++;
		return;
	default:
		return;
	}
	world->calls++;
	store_answer(world, msg, result);
}

static inline void on_store(void *self, msg_t *msg)
{
	world_t *world = self;
	int64_t begin_ns = cpu_ns();

	store_call(world, msg);
	world->store_ns += cpu_ns() - begin_ns;
}

/* Returns the encoded size of a frame with this body. */
static inline size_t peer_body_size(world_t *world, peer_body_t *body)
{
	peer_frame_t frame = {.kind = FRAME_BODY};
	errmsg_t err;

	frame.u.body = body;
	g_byte_array_set_size(world->scratch, 0);
	if (!peer_encode(&frame, world->scratch, &err))
		g_error("%s", err.text);
	return world->scratch->len;
}

static inline void on_peer(void *self, msg_t *msg)
{
	world_t *world = self;
	msg_t peer_up = {.kind = MSG_PEER_UP};

	if (msg->kind == MSG_PEER_SEND) {
		world->peer_frames++;
		world->peer_bytes += peer_body_size(world, msg->u.peer.body);
	} else if (msg->kind == MSG_PEER_CONNECT && world->accept_connections) {
		peer_up.u.peer_addr = msg->u.peer_addr;
		kernel_post(&world->kernel, world->peer, msg->from, &peer_up);
	}
}

static inline void on_other(void *self, msg_t *msg)
{
	world_t *world = self;

	if (world->on_other != NULL)
		world->on_other(world, msg);
}

static inline void world_init(world_t *world)
{
	memset(world, 0, sizeof(*world));
	kernel_init(&world->kernel, CLOCK_VIRTUAL, 1);
	world->revision = 10;
	world->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_value);
	world->scratch = g_byte_array_new();
	table_init(&world->delayed, sizeof(delayed_reply_t));
	world->store =
		kernel_register(&world->kernel, "store", on_store, world);
	world->peer = kernel_register(&world->kernel, "peer", on_peer, world);
	world->other =
		kernel_register(&world->kernel, "other", on_other, world);
}

static inline void world_finish(world_t *world)
{
	kernel_finish(&world->kernel);
	table_finish(&world->delayed);
	g_hash_table_unref(world->values);
	g_byte_array_unref(world->scratch);
}

static inline void world_run(world_t *world, int64_t us)
{
	kernel_run_until(&world->kernel, kernel_now(&world->kernel) + us);
}

/* Sends a message as another service and delivers all pending messages. */
static inline void world_send(world_t *world, svc_t to, msg_t *msg)
{
	kernel_post(&world->kernel, world->other, to, msg);
	world_run(world, 0);
}

/* Returns the processor time since begin_ns without that of the store. */
static inline int64_t world_cpu_ns(const world_t *world, int64_t begin_ns,
				   int64_t store_begin_ns)
{
	return cpu_ns() - begin_ns - (world->store_ns - store_begin_ns);
}

#define SIZE_COUNT 3
#define REPEATS 3

typedef double (*measure_t)(int n);

/*
 * Prints the minimum of the repeated measurements at each size, and the
 * least-squares slope over the sizes.
 */
static inline void print_slope(const char *name, const char *unit,
			       const char *per, const int sizes[SIZE_COUNT],
			       measure_t measure, int repeats)
{
	double values[SIZE_COUNT];
	double mean_n = 0, mean_v = 0, covariance = 0, variance = 0;

	printf("slope %s %s per=%s", name, unit, per);
	for (int i = 0; i < SIZE_COUNT; i++) {
		values[i] = measure(sizes[i]);
		for (int r = 1; r < repeats; r++)
			values[i] = MIN(values[i], measure(sizes[i]));
		printf(" n%d=%d v%d=%.6g", i + 1, sizes[i], i + 1, values[i]);
		mean_n += (double)sizes[i] / SIZE_COUNT;
		mean_v += values[i] / SIZE_COUNT;
	}
	for (int i = 0; i < SIZE_COUNT; i++) {
		covariance +=
			((double)sizes[i] - mean_n) * (values[i] - mean_v);
		variance += ((double)sizes[i] - mean_n) *
			    ((double)sizes[i] - mean_n);
	}
	printf(" slope=%.4g\n", covariance / variance);
	fflush(stdout);
}

#endif
