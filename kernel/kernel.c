#include "kernel/kernel.h"

#include "kernel/hash.h"
#include "kernel/timer.h"

#include <malloc.h>
#include <string.h>
#include <sys/random.h>

#define QUEUE_INITIAL 256 /* messages */
/*
 * Messages delivered in one iteration of the loop.  The limit ensures that
 * sockets are polled even while services keep sending each other messages.
 */
#define BATCH_MAX 4096
/*
 * Rounds of prompt input in one turn.  Timers that are due fire after each, so
 * that no timer takes for silence what has not been handled yet.
 */
#define PROMPT_ROUNDS_MAX 8
/* Deferred input gets as much time as the prompt input of its turn, or this. */
#define DEFERRED_MIN_US (10 * USEC_PER_MSEC)
#define MAPPED_BLOCK_MIN 65536 /* bytes */
#define HEAP_END_MAX 524288 /* free bytes at the end of the heap */
/* 2026-01-01T00:00:00Z, the wall clock time when a virtual run starts. */
#define VIRTUAL_EPOCH (INT64_C(1767225600) * USEC_PER_SEC)

typedef struct service_t {
	char name[NAME_SIZE];
	recv_fn_t recv;
	void *self;
} service_t;

void kernel_post_peer(kernel_t *kernel, svc_t from, svc_t peer,
		      const char *incarnation, peer_body_t *body)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	g_strlcpy(msg.u.peer.incarnation, incarnation,
		  sizeof(msg.u.peer.incarnation));
	msg.u.peer.body = body;
	kernel_post(kernel, from, peer, &msg);
}

typedef struct kernel_source_t {
	GSource source;
	kernel_t *kernel;
} kernel_source_t;

static void run_due_timers(kernel_t *kernel);

static void deliver_batch(kernel_t *kernel)
{
	for (int i = 0; i < BATCH_MAX && kernel_deliver_one(kernel); i++)
		;
}

void kernel_flush(kernel_t *kernel)
{
	if (kernel->clock == CLOCK_REAL && !kernel->delivering)
		deliver_batch(kernel);
}

static gboolean source_prepare(GSource *source, gint *timeout)
{
	kernel_t *kernel = ((kernel_source_t *)source)->kernel;
	int64_t next, wait;

	lag_turn_ended(&kernel->lag, kernel_now(kernel));
	*timeout = -1;
	if (kernel->queue_len > 0 || pollset_has_deferred(&kernel->pollset))
		return TRUE;
	next = kernel_next_timer(kernel);
	if (next < 0)
		return FALSE;
	wait = next - kernel_now(kernel);
	if (wait <= 0)
		return TRUE;
	/* Rounding down would wake up early and poll again with timeout 0. */
	wait = (wait + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
	*timeout = (gint)MIN(wait, G_MAXINT);
	return FALSE;
}

static gboolean source_check(GSource *source)
{
	kernel_t *kernel = ((kernel_source_t *)source)->kernel;
	int64_t next = kernel_next_timer(kernel);
	int64_t now = kernel_now(kernel);

	lag_turn_started(&kernel->lag, now);
	return kernel->queue_len > 0 || (next >= 0 && next <= now) ||
	       pollset_is_ready(&kernel->pollset) ||
	       pollset_has_deferred(&kernel->pollset);
}

static gboolean source_dispatch(GSource *source, GSourceFunc callback,
				gpointer data)
{
	kernel_t *kernel = ((kernel_source_t *)source)->kernel;

	int64_t started = kernel_now(kernel);
	int64_t next = kernel_next_timer(kernel);
	/*
	 * A process that does not get the processor wakes up late.  What is
	 * ready then may have been so since the timer was due.
	 */
	int64_t since = next < 0 ? started : MIN(next, started);
	bool more = true;
	int64_t now;

	(void)callback;
	(void)data;
	/* Nothing is checked after the poll if work was waiting before it. */
	lag_turn_started(&kernel->lag, started);
	for (int i = 0; i < PROMPT_ROUNDS_MAX && more; i++) {
		more = pollset_handle_prompt(&kernel->pollset, since);
		run_due_timers(kernel);
		deliver_batch(kernel);
	}
	now = kernel_now(kernel);
	pollset_handle_deferred(&kernel->pollset,
				now + MAX(now - started, DEFERRED_MIN_US));
	deliver_batch(kernel);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
	.prepare = source_prepare,
	.check = source_check,
	.dispatch = source_dispatch,
};

static void attach_source(kernel_t *kernel)
{
	kernel->context = g_main_context_ref(g_main_context_default());
	kernel->loop = g_main_loop_new(kernel->context, FALSE);
	kernel->source = g_source_new(&source_funcs, sizeof(kernel_source_t));
	((kernel_source_t *)kernel->source)->kernel = kernel;
	g_source_set_name(kernel->source, "kernel");
	g_source_attach(kernel->source, kernel->context);
}

void kernel_init(kernel_t *kernel, clock_kind_t clock, uint64_t seed)
{
	memset(kernel, 0, sizeof(*kernel));
	kernel->clock = clock;
	kernel->random_state = seed;
	kernel->virtual_epoch = VIRTUAL_EPOCH;
	kernel->metrics = metrics_new();
	kernel->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table_init(&kernel->services, sizeof(service_t));
	kernel->queue = g_new0(msg_t, QUEUE_INITIAL);
	kernel->queue_size = QUEUE_INITIAL;
	timer_init(kernel);
	if (clock == CLOCK_REAL) {
		if (getrandom(&kernel->random_state,
			      sizeof(kernel->random_state), 0) < 0)
			g_error("getrandom: cannot seed random numbers");
		attach_source(kernel);
	}
	lag_init(&kernel->lag, kernel->metrics);
	pollset_init(&kernel->pollset, kernel->source, &kernel->lag);
	buffers_init(&kernel->buffers);
}

/* Tells the service that holds the most to give way. */
static void relieve(kernel_t *kernel)
{
	buffer_kind_t kind = buffers_largest(&kernel->buffers);
	msg_t msg = {.kind = MSG_BUFFERS_FULL};
	svc_t owner = kernel_find(kernel, buffers_owner(kind));

	if (handle_is_none(owner))
		return;
	kernel->buffers.relieving = true;
	kernel->buffers.relieved = kind;
	msg.u.buffers_full.kind = kind;
	kernel_post(kernel, owner, owner, &msg);
}

void kernel_count_bytes(kernel_t *kernel, buffer_kind_t kind, size_t *counted,
			size_t bytes)
{
	if (bytes == *counted)
		return;
	buffers_set(&kernel->buffers, kind, counted, bytes);
	metrics_set(kernel->metrics, GAUGE_BUFFERED_BYTES,
		    (int64_t)buffers_total(&kernel->buffers));
	if (buffers_must_relieve(&kernel->buffers))
		relieve(kernel);
}

void kernel_buffers_relieved(kernel_t *kernel)
{
	if (buffers_note_relieved(&kernel->buffers))
		relieve(kernel);
}

/*
 * Blocks from this size on are mapped one by one, so that their memory returns
 * to the system when they are freed.  Left alone, glibc raises the size up to
 * 32 MiB as such blocks are freed; they then come from the heap, which shrinks
 * only from its end.
 */
void kernel_set_up_memory(void)
{
	mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_MIN);
	mallopt(M_TRIM_THRESHOLD, HEAP_END_MAX);
}

void kernel_return_memory(kernel_t *kernel)
{
	/* The heap shrinks from its end only, unless it is told to. */
	if (buffers_take_fall(&kernel->buffers))
		malloc_trim(0);
}

void kernel_finish(kernel_t *kernel)
{
	msg_t *msg;

	while (kernel->queue_len > 0) {
		msg = &kernel->queue[kernel->queue_head];
		msg_clear(msg);
		kernel->queue_head =
			(kernel->queue_head + 1) % kernel->queue_size;
		kernel->queue_len--;
	}
	pollset_finish(&kernel->pollset);
	if (kernel->source != NULL) {
		g_source_destroy(kernel->source);
		g_source_unref(kernel->source);
		g_main_loop_unref(kernel->loop);
		g_main_context_unref(kernel->context);
	}
	timer_finish(kernel);
	g_free(kernel->queue);
	table_finish(&kernel->services);
	g_hash_table_unref(kernel->names);
	metrics_free(kernel->metrics);
	memset(kernel, 0, sizeof(*kernel));
}

svc_t kernel_register(kernel_t *kernel, const char *name, recv_fn_t recv,
		      void *self)
{
	service_t *service;
	svc_t svc = kernel_find(kernel, name);
	svc_t *stored;

	if (!handle_is_none(svc)) {
		service = table_get(&kernel->services, svc);
	} else {
		svc = table_add(&kernel->services, (void **)&service);
		g_strlcpy(service->name, name, sizeof(service->name));
		stored = g_new(svc_t, 1);
		*stored = svc;
		g_hash_table_insert(kernel->names, g_strdup(name), stored);
	}
	service->recv = recv;
	service->self = self;
	return svc;
}

void kernel_unregister(kernel_t *kernel, svc_t svc)
{
	service_t *service = table_get(&kernel->services, svc);

	if (service == NULL)
		return;
	g_hash_table_remove(kernel->names, service->name);
	table_remove(&kernel->services, svc);
}

svc_t kernel_find(const kernel_t *kernel, const char *name)
{
	const svc_t *svc = g_hash_table_lookup(kernel->names, name);

	return svc == NULL ? HANDLE_NONE : *svc;
}

const char *kernel_service_name(const kernel_t *kernel, svc_t svc)
{
	const service_t *service = table_get(&kernel->services, svc);

	return service == NULL ? "none" : service->name;
}

static void post_to_all(kernel_t *kernel, msg_kind_t kind)
{
	uint32_t cursor = 0;
	handle_t svc;

	while (table_next(&kernel->services, &cursor, &svc) != NULL) {
		msg_t msg = {.kind = kind};

		kernel_post(kernel, HANDLE_NONE, svc, &msg);
	}
}

void kernel_start(kernel_t *kernel)
{
	post_to_all(kernel, MSG_START);
}

void kernel_stop(kernel_t *kernel)
{
	post_to_all(kernel, MSG_STOP);
}

static void grow_queue(kernel_t *kernel)
{
	uint32_t size = kernel->queue_size * 2;
	msg_t *queue = g_new0(msg_t, size);

	for (uint32_t i = 0; i < kernel->queue_len; i++)
		queue[i] = kernel->queue[(kernel->queue_head + i) %
					 kernel->queue_size];
	g_free(kernel->queue);
	kernel->queue = queue;
	kernel->queue_size = size;
	kernel->queue_head = 0;
}

void kernel_post(kernel_t *kernel, svc_t from, svc_t to, msg_t *msg)
{
	uint32_t tail;

	msg->from = from;
	msg->to = to;
	if (kernel->queue_len == kernel->queue_size)
		grow_queue(kernel);
	tail = (kernel->queue_head + kernel->queue_len) % kernel->queue_size;
	kernel->queue[tail] = *msg;
	kernel->queue_len++;
	/* The queue owns the payload now. */
	msg->kind = MSG_NONE;
}

bool kernel_deliver_one(kernel_t *kernel)
{
	service_t *service;
	msg_t msg;

	if (kernel->queue_len == 0)
		return false;
	msg = kernel->queue[kernel->queue_head];
	kernel->queue_head = (kernel->queue_head + 1) % kernel->queue_size;
	kernel->queue_len--;
	service = table_get(&kernel->services, msg.to);
	kernel->delivering = true;
	if (service != NULL)
		service->recv(service->self, &msg);
	else
		metrics_add(kernel->metrics, COUNTER_MSG_UNDELIVERED, 1);
	kernel->delivering = false;
	msg_clear(&msg);
	return true;
}

int64_t kernel_now(const kernel_t *kernel)
{
	switch (kernel->clock) {
	case CLOCK_REAL:
		return g_get_monotonic_time();
	case CLOCK_VIRTUAL:
		break;
	}
	return kernel->virtual_now;
}

int64_t kernel_wall(const kernel_t *kernel)
{
	switch (kernel->clock) {
	case CLOCK_REAL:
		return g_get_real_time();
	case CLOCK_VIRTUAL:
		break;
	}
	return kernel->virtual_epoch + kernel->virtual_now;
}

/* SplitMix64: suitable for random choices and ids, not for secrets. */
uint64_t kernel_random(kernel_t *kernel)
{
	kernel->random_state += UINT64_C(0x9e3779b97f4a7c15);
	return hash_mix(kernel->random_state);
}

uint64_t kernel_random_below(kernel_t *kernel, uint64_t n)
{
	g_assert(n > 0);
	return kernel_random(kernel) % n;
}

void kernel_uuid(kernel_t *kernel, char out[INCARNATION_SIZE])
{
	uint64_t ms = (uint64_t)(kernel_wall(kernel) / USEC_PER_MSEC);
	uint64_t a = kernel_random(kernel);
	uint64_t b = kernel_random(kernel);

	g_snprintf(out, INCARNATION_SIZE,
		   "%08" G_GINT64_MODIFIER "x-%04" G_GINT64_MODIFIER
		   "x-7%03" G_GINT64_MODIFIER "x-%04" G_GINT64_MODIFIER
		   "x-%012" G_GINT64_MODIFIER "x",
		   (ms >> 16) & 0xffffffff, ms & 0xffff, a & 0xfff,
		   0x8000 | ((a >> 12) & 0x3fff), b & 0xffffffffffff);
}

static void run_due_timers(kernel_t *kernel)
{
	int64_t now = kernel_now(kernel);

	while (timer_fire(kernel, now))
		;
}

void kernel_run(kernel_t *kernel)
{
	g_main_loop_run(kernel->loop);
}

void kernel_quit(kernel_t *kernel)
{
	g_main_loop_quit(kernel->loop);
}

void kernel_run_until(kernel_t *kernel, int64_t now_us)
{
	int64_t next;

	g_assert(kernel->clock == CLOCK_VIRTUAL);
	for (;;) {
		while (kernel_deliver_one(kernel))
			;
		next = kernel_next_timer(kernel);
		if (next < 0 || next > now_us)
			break;
		kernel->virtual_now = MAX(kernel->virtual_now, next);
		timer_fire(kernel, kernel->virtual_now);
	}
	kernel->virtual_now = MAX(kernel->virtual_now, now_us);
}
