/*
 * Micro-kernel: one event loop on one thread, the registry of service names,
 * the message queue, timers, the clock and the random number generator.  With
 * a virtual clock, nothing happens outside kernel_run_until(), and the same
 * seed reproduces the same run.
 */
#ifndef KERNEL_KERNEL_H
#define KERNEL_KERNEL_H

#include "kernel/buffers.h"
#include "kernel/lag.h"
#include "kernel/msg.h"
#include "kernel/pollset.h"
#include "metrics/metrics.h"

G_BEGIN_DECLS

#define USEC_PER_MSEC ((int64_t)1000)
#define USEC_PER_SEC ((int64_t)1000000)

typedef enum clock_kind_t {
	CLOCK_REAL,
	CLOCK_VIRTUAL,
} clock_kind_t;

/* Handles one message.  Must not block. */
typedef void (*recv_fn_t)(void *self, msg_t *msg);

typedef struct kernel_t {
	clock_kind_t clock;
	int64_t virtual_now; /* us */
	int64_t virtual_epoch; /* wall clock time at virtual_now 0, us */
	uint64_t random_state;
	metrics_t *metrics;

	GHashTable *names; /* service name -> svc_t */
	table_t services; /* service_t */

	msg_t *queue; /* ring buffer */
	uint32_t queue_size;
	uint32_t queue_head;
	uint32_t queue_len;
	bool delivering; /* a receive function is running */

	table_t timers; /* timer_entry_t */
	GArray *timer_heap; /* handle_t, ordered by due time */
	uint64_t timer_seq;

	pollset_t pollset;
	buffers_t buffers;
	lag_t lag;

	GMainContext *context;
	GMainLoop *loop;
	GSource *source;
} kernel_t;

/* With the real clock, seed is ignored and the system provides one. */
void kernel_init(kernel_t *kernel, clock_kind_t clock, uint64_t seed);
void kernel_finish(kernel_t *kernel);

/* Names are unique; registering a name again replaces the receiver. */
svc_t kernel_register(kernel_t *kernel, const char *name, recv_fn_t recv,
		      void *self);
void kernel_unregister(kernel_t *kernel, svc_t svc);

/* Returns HANDLE_NONE for an unknown name. */
svc_t kernel_find(const kernel_t *kernel, const char *name);
const char *kernel_service_name(const kernel_t *kernel, svc_t svc);

/* Queue MSG_START or MSG_STOP to every service in registration order. */
void kernel_start(kernel_t *kernel);
void kernel_stop(kernel_t *kernel);

/*
 * Queues a message and takes ownership of its payload.  A message to a service
 * that does not exist is counted and freed.
 */
void kernel_post(kernel_t *kernel, svc_t from, svc_t to, msg_t *msg);

/*
 * Tells the service "peer" to send a body to the peer with the incarnation, or
 * to all peers if incarnation is empty.  Takes ownership of body.
 */
void kernel_post_peer(kernel_t *kernel, svc_t from, svc_t peer,
		      const char *incarnation, peer_body_t *body);

/*
 * Delivers the queued messages.  Called at the end of a socket callback,
 * because the next iteration of the loop would poll all sockets first.  Does
 * nothing within a receive function or with the virtual clock.
 */
void kernel_flush(kernel_t *kernel);

/*
 * Replaces what a holder has counted of its buffered bytes.  If the limit on
 * the sum is exceeded, the service that holds the most gets MSG_BUFFERS_FULL.
 */
void kernel_count_bytes(kernel_t *kernel, buffer_kind_t kind, size_t *counted,
			size_t bytes);
/* Called by that service when it has given way. */
void kernel_buffers_relieved(kernel_t *kernel);
/* Sets up the allocator; precedes all else in a program that serves callers. */
void kernel_set_up_memory(void);
/* Returns memory to the system after much has been freed. */
void kernel_return_memory(kernel_t *kernel);

/* Sends MSG_TIMER with ref and kind to owner after the delay. */
handle_t kernel_timer(kernel_t *kernel, svc_t owner, int64_t delay_us,
		      handle_t ref, int kind);
/* Cancels *timer unless it has fired, and sets it to HANDLE_NONE. */
void kernel_timer_cancel(kernel_t *kernel, handle_t *timer);

int64_t kernel_now(const kernel_t *kernel); /* monotonic, us */
int64_t kernel_wall(const kernel_t *kernel); /* since the epoch, us */
uint64_t kernel_random(kernel_t *kernel);
/* Uniform in [0, n); n must not be 0. */
uint64_t kernel_random_below(kernel_t *kernel, uint64_t n);
/* Generates a time-ordered UUID (version 7) as text. */
void kernel_uuid(kernel_t *kernel, char out[INCARNATION_SIZE]);

/* Real clock: runs until kernel_quit(). */
void kernel_run(kernel_t *kernel);
void kernel_quit(kernel_t *kernel);

/* Virtual clock: delivers all messages and timers up to the given time. */
void kernel_run_until(kernel_t *kernel, int64_t now_us);
/* Returns the due time of the next timer in us, or -1 if there is none. */
int64_t kernel_next_timer(const kernel_t *kernel);
/* Delivers one queued message; returns false if the queue is empty. */
bool kernel_deliver_one(kernel_t *kernel);

G_END_DECLS

#endif
