/*
 * Readiness of file descriptors.  One epoll descriptor is the only source of
 * the main loop for all of them, so the cost of an iteration does not grow with
 * the number of idle connections.
 */
#ifndef KERNEL_POLLSET_H
#define KERNEL_POLLSET_H

#include "kernel/lag.h"
#include "kernel/table.h"

G_BEGIN_DECLS

/* Bits of an interest, and of what is reported. */
#define POLLSET_IN 1u
#define POLLSET_OUT 2u
#define POLLSET_ERROR 4u /* error or hang-up; always reported */

typedef void (*pollset_fn_t)(void *data, unsigned ready);

typedef struct pollset_t {
	int epoll_fd; /* -1 until the first descriptor is added */
	table_t watches; /* watch_t */
	GMainContext *context; /* NULL: the default one */
	GSource *source;
	lag_t *lag;
	int64_t drained_at; /* monotonic, us; all that was ready is handled */
} pollset_t;

void pollset_init(pollset_t *set, GMainContext *context, lag_t *lag);
void pollset_finish(pollset_t *set);

/*
 * Calls fn whenever the descriptor is ready for a part of the interest, level
 * triggered.  Returns HANDLE_NONE, with errno set, if that fails.
 */
handle_t pollset_add(pollset_t *set, int fd, unsigned interest, pollset_fn_t fn,
		     void *data);
/* With an interest of 0, not even errors are reported. */
void pollset_set(pollset_t *set, handle_t watch, unsigned interest);
/* Must precede the close of the descriptor. */
void pollset_remove(pollset_t *set, handle_t *watch);

G_END_DECLS

#endif
