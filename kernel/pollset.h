/*
 * Readiness of file descriptors.  One epoll descriptor stands for all of them
 * in the main loop, so the cost of an iteration does not grow with the number
 * of idle connections.
 */
#ifndef KERNEL_POLLSET_H
#define KERNEL_POLLSET_H

#include "kernel/lag.h"
#include "kernel/table.h"
#include "kernel/traffic.h"
#include "kernel/windows.h"

G_BEGIN_DECLS

/* Bits of an interest, and of what is reported. */
#define POLLSET_IN 1u
#define POLLSET_OUT 2u
#define POLLSET_ERROR 4u /* error or hang-up; always reported */

typedef void (*pollset_fn_t)(void *data, unsigned ready);

/* When input of a descriptor is handled.  Output and errors never wait. */
typedef enum pollset_class_t {
	POLLSET_PROMPT, /* as soon as it is found */
	POLLSET_DEFERRED, /* oldest first, in the time that is left */
} pollset_class_t;

typedef struct pollset_t {
	int epoll_fd; /* -1 until the first descriptor is added */
	table_t watches; /* watch_t */
	GSource *source; /* of the main loop, NULL: none; not owned */
	gpointer tag; /* identifies the epoll descriptor in source */
	lag_t *lag;
	GQueue deferred; /* watch_t whose input waits, oldest first */
	int64_t found_at; /* monotonic, us; last look for what is ready */
	int64_t drained_at; /* monotonic, us; all that was ready is found */
	int64_t ready_since; /* monotonic, us; of the input being handled */
	traffic_t traffic; /* of the descriptors; their owners count it */
	windows_t windows; /* of the descriptors; their owners apply them */
} pollset_t;

void pollset_init(pollset_t *set, GSource *source, lag_t *lag);
void pollset_finish(pollset_t *set);

/*
 * Calls fn whenever the descriptor is ready for a part of the interest, level
 * triggered.  Returns HANDLE_NONE, with errno set, if that fails.
 */
handle_t pollset_add(pollset_t *set, int fd, unsigned interest, pollset_fn_t fn,
		     void *data);
/* With an interest of 0, not even errors are reported. */
void pollset_set(pollset_t *set, handle_t watch, unsigned interest);
/* The class is POLLSET_PROMPT until it is set. */
void pollset_classify(pollset_t *set, handle_t watch, pollset_class_t kind);
/* Must precede the close of the descriptor. */
void pollset_remove(pollset_t *set, handle_t *watch);

/* Whether the poll of the main loop found a descriptor that is ready. */
bool pollset_is_ready(const pollset_t *set);
/* Whether input waits that has been found already. */
bool pollset_has_deferred(const pollset_t *set);
/*
 * Finds descriptors that are ready and handles the prompt ones.  They are taken
 * to be ready since a monotonic time, but not for longer than since the last
 * call.  Returns whether there may be more.
 */
bool pollset_handle_prompt(pollset_t *set, int64_t since);
/* Handles deferred input, at least one, until the monotonic time is reached. */
void pollset_handle_deferred(pollset_t *set, int64_t until);

G_END_DECLS

#endif
