/*
 * Surroundings of the slope measurements: a virtual clock, an in-memory store
 * that counts calls, and neighbours that answer at once.  Processor time of
 * the store is kept apart from that of what is measured.
 */
#ifndef BENCH_SLOPES_WORLD_H
#define BENCH_SLOPES_WORLD_H

#include "kernel/kernel.h"
#include "peer/codec.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define SELF "me"

typedef struct value_t {
	int64_t revision;
	record_t record;
} value_t;

typedef struct late_t {
	svc_t to;
	msg_t reply;
} late_t;

typedef struct world_t {
	kernel_t kernel;
	GHashTable *values; /* store key -> value_t */
	int64_t revision;
	int64_t latency_us; /* of the store, 0: the same turn */
	uint64_t calls; /* of the store */
	int64_t store_ns; /* processor time in the store */
	table_t late; /* late_t */
	svc_t store;
	svc_t peer;
	svc_t other; /* all other neighbours */
	uint64_t peer_frames;
	uint64_t peer_bytes;
	bool connect; /* answer MSG_PEER_CONNECT */
	recv_fn_t on_other;
	void *data;
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
	value_t *value = data;

	record_clear(&value->record);
	g_free(value);
}

static inline void world_put(world_t *world, const char *key,
			     const record_t *record)
{
	value_t *value = g_new0(value_t, 1);

	value->revision = ++world->revision;
	record_copy(&value->record, record);
	g_hash_table_insert(world->values, g_strdup(key), value);
}

static inline int64_t revision_of(const world_t *world, const char *key)
{
	const value_t *value = g_hash_table_lookup(world->values, key);

	return value == NULL ? 0 : value->revision;
}

static inline bool group_holds(const world_t *world, const store_txn_t *txn,
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

static inline void apply_op(world_t *world, const store_op_t *op, bool holds,
			    store_result_t *result)
{
	const value_t *value = g_hash_table_lookup(world->values, op->key);

	if (!holds)
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
		bool holds = group_holds(world, txn, group);

		g_array_append_val(result->committed, holds);
		for (guint i = 0; i < txn->ops->len; i++) {
			const store_op_t *op =
				&g_array_index(txn->ops, store_op_t, i);

			if (op->group != group)
				continue;
			/* All puts of a call get one revision. */
			world->revision = revision - 1;
			apply_op(world, op, holds, result);
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
					 ((value_t *)value)->revision,
					 &((value_t *)value)->record);
	return result;
}

static inline void store_answer(world_t *world, const msg_t *call,
				store_result_t *result)
{
	msg_t reply = {.kind = MSG_STORE_RESULT, .ref = call->id};
	late_t *late;
	handle_t handle;

	reply.u.store_result = result;
	if (world->latency_us == 0) {
		kernel_post(&world->kernel, world->store, call->from, &reply);
		return;
	}
	handle = table_add(&world->late, (void **)&late);
	late->to = call->from;
	late->reply = reply;
	kernel_timer(&world->kernel, world->store, world->latency_us, handle,
		     0);
}

static inline void store_call(world_t *world, msg_t *msg)
{
	store_result_t *result = NULL;
	late_t *late;

	switch (msg->kind) {
	case MSG_TIMER:
		late = table_get(&world->late, msg->ref);
		kernel_post(&world->kernel, world->store, late->to,
			    &late->reply);
		table_remove(&world->late, msg->ref);
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
	int64_t begin = cpu_ns();

	store_call(world, msg);
	world->store_ns += cpu_ns() - begin;
}

static inline size_t body_bytes(world_t *world, peer_body_t *body)
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
	msg_t up = {.kind = MSG_PEER_UP};

	if (msg->kind == MSG_PEER_SEND) {
		world->peer_frames++;
		world->peer_bytes += body_bytes(world, msg->u.peer.body);
	} else if (msg->kind == MSG_PEER_CONNECT && world->connect) {
		up.u.peer_addr = msg->u.peer_addr;
		kernel_post(&world->kernel, world->peer, msg->from, &up);
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
	table_init(&world->late, sizeof(late_t));
	world->store =
		kernel_register(&world->kernel, "store", on_store, world);
	world->peer = kernel_register(&world->kernel, "peer", on_peer, world);
	world->other =
		kernel_register(&world->kernel, "other", on_other, world);
}

static inline void world_finish(world_t *world)
{
	kernel_finish(&world->kernel);
	table_finish(&world->late);
	g_hash_table_unref(world->values);
	g_byte_array_unref(world->scratch);
}

static inline void world_run(world_t *world, int64_t us)
{
	kernel_run_until(&world->kernel, kernel_now(&world->kernel) + us);
}

/* Sends a message from the neighbours and runs until all is quiet. */
static inline void world_send(world_t *world, svc_t to, msg_t *msg)
{
	kernel_post(&world->kernel, world->other, to, msg);
	world_run(world, 0);
}

/* Processor time since begin without that of the store. */
static inline int64_t world_ns(const world_t *world, int64_t begin,
			       int64_t store_begin)
{
	return cpu_ns() - begin - (world->store_ns - store_begin);
}

#define SIZES 3
#define REPEATS 3

typedef double (*measure_t)(int n);

/* Least of the repetitions at each size, and the least-squares slope. */
static inline void slope(const char *name, const char *unit, const char *per,
			 const int sizes[SIZES], measure_t measure, int repeats)
{
	double v[SIZES], mean_n = 0, mean_v = 0, up = 0, down = 0;

	printf("slope %s %s per=%s", name, unit, per);
	for (int i = 0; i < SIZES; i++) {
		v[i] = measure(sizes[i]);
		for (int r = 1; r < repeats; r++)
			v[i] = MIN(v[i], measure(sizes[i]));
		printf(" n%d=%d v%d=%.6g", i + 1, sizes[i], i + 1, v[i]);
		mean_n += (double)sizes[i] / SIZES;
		mean_v += v[i] / SIZES;
	}
	for (int i = 0; i < SIZES; i++) {
		up += ((double)sizes[i] - mean_n) * (v[i] - mean_v);
		down += ((double)sizes[i] - mean_n) *
			((double)sizes[i] - mean_n);
	}
	printf(" slope=%.4g\n", up / down);
	fflush(stdout);
}

#endif
