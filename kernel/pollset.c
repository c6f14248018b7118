#include "kernel/pollset.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_MAX 64 /* descriptors found at a time */

typedef struct watch_t {
	handle_t self;
	int fd;
	unsigned interest;
	pollset_class_t kind;
	pollset_fn_t fn;
	void *data;
	GList link; /* in deferred; its data is NULL while not in it */
	int64_t ready_since; /* monotonic, us; while in deferred */
	bool masked; /* epoll does not report its input */
	bool hangup; /* epoll reports the end of input apart */
} watch_t;

static uint64_t handle_to_u64(handle_t handle)
{
	return (uint64_t)handle.gen << 32 | handle.index;
}

static handle_t handle_from_u64(uint64_t value)
{
	return (handle_t){.index = (uint32_t)value,
			  .gen = (uint32_t)(value >> 32)};
}

static unsigned ready_from_epoll(uint32_t events)
{
	unsigned ready = 0;

	if (events & EPOLLIN)
		ready |= POLLSET_IN;
	if (events & EPOLLOUT)
		ready |= POLLSET_OUT;
	if (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP))
		ready |= POLLSET_ERROR;
	return ready;
}

static bool control(pollset_t *set, int op, const watch_t *watch)
{
	struct epoll_event event = {.data.u64 = handle_to_u64(watch->self)};

	if (watch->interest & POLLSET_IN) {
		if (!watch->masked)
			event.events |= EPOLLIN;
		/* Callers that have left need not wait to be noticed. */
		if (watch->hangup)
			event.events |= EPOLLRDHUP;
	}
	if (watch->interest & POLLSET_OUT)
		event.events |= EPOLLOUT;
	return epoll_ctl(set->epoll_fd, op, watch->fd, &event) == 0;
}

static void update(pollset_t *set, const watch_t *watch)
{
	if (!control(set, EPOLL_CTL_MOD, watch))
		g_critical("epoll_ctl: %s", g_strerror(errno));
}

static bool is_deferred(const watch_t *watch)
{
	return watch->link.data != NULL;
}

static void defer(pollset_t *set, watch_t *watch, int64_t since)
{
	if (is_deferred(watch))
		return;
	watch->link.data = watch;
	watch->ready_since = since;
	g_queue_push_tail_link(&set->deferred, &watch->link);
}

/* Returns whether epoll has to be told. */
static bool undefer(pollset_t *set, watch_t *watch)
{
	bool masked = watch->masked;

	if (!is_deferred(watch))
		return false;
	g_queue_unlink(&set->deferred, &watch->link);
	watch->link.data = NULL;
	watch->masked = false;
	return masked;
}

static void report(pollset_t *set, const watch_t *watch, unsigned ready,
		   int64_t since)
{
	set->ready_since = since;
	watch->fn(watch->data, ready);
}

static void handle_event(pollset_t *set, const struct epoll_event *event,
			 int64_t since)
{
	/* An earlier callback may have removed or changed the watch. */
	watch_t *watch =
		table_get(&set->watches, handle_from_u64(event->data.u64));
	unsigned ready = ready_from_epoll(event->events);

	if (watch == NULL || watch->interest == 0)
		return;
	ready &= watch->interest | POLLSET_ERROR;
	if (ready == POLLSET_IN && watch->kind == POLLSET_DEFERRED) {
		defer(set, watch, since);
		return;
	}
	if (ready & POLLSET_ERROR) {
		if (undefer(set, watch))
			update(set, watch);
	} else if (watch->kind == POLLSET_DEFERRED && (ready & POLLSET_IN)) {
		defer(set, watch, since);
		ready &= ~POLLSET_IN;
	}
	if (ready != 0)
		report(set, watch, ready, since);
}

bool pollset_handle_prompt(pollset_t *set, int64_t since)
{
	struct epoll_event events[EVENTS_MAX];
	int64_t now;
	int count;

	if (set->epoll_fd < 0)
		return false;
	count = epoll_wait(set->epoll_fd, events, EVENTS_MAX, 0);
	now = g_get_monotonic_time();
	since = MIN(MAX(since, set->found_at), now);
	set->found_at = now;
	if (count == EVENTS_MAX && set->drained_at != 0)
		lag_input_handled(set->lag, now - set->drained_at);
	else
		set->drained_at = now;
	for (int i = 0; i < count; i++)
		handle_event(set, &events[i], since);
	return count == EVENTS_MAX;
}

/* What waits is not found again in each turn. */
static void mask_deferred(pollset_t *set)
{
	for (GList *link = set->deferred.tail; link != NULL;
	     link = link->prev) {
		watch_t *watch = link->data;

		if (watch->masked)
			break;
		watch->masked = true;
		update(set, watch);
	}
}

void pollset_handle_deferred(pollset_t *set, int64_t until)
{
	int64_t now = g_get_monotonic_time();

	while (!g_queue_is_empty(&set->deferred)) {
		watch_t *watch = g_queue_peek_head(&set->deferred);

		if (undefer(set, watch))
			update(set, watch);
		lag_input_handled(set->lag, now - watch->ready_since);
		report(set, watch, POLLSET_IN, watch->ready_since);
		now = g_get_monotonic_time();
		if (now >= until)
			break;
	}
	mask_deferred(set);
}

bool pollset_is_ready(const pollset_t *set)
{
	return set->tag != NULL &&
	       g_source_query_unix_fd(set->source, set->tag) != 0;
}

bool pollset_has_deferred(const pollset_t *set)
{
	return set->deferred.length > 0;
}

void pollset_init(pollset_t *set, GSource *source, lag_t *lag)
{
	set->epoll_fd = -1;
	set->source = source;
	set->tag = NULL;
	set->lag = lag;
	set->found_at = 0;
	set->drained_at = 0;
	set->ready_since = 0;
	set->traffic = (traffic_t){0};
	windows_init(&set->windows);
	g_queue_init(&set->deferred);
	table_init(&set->watches, sizeof(watch_t));
}

void pollset_finish(pollset_t *set)
{
	if (set->tag != NULL)
		g_source_remove_unix_fd(set->source, set->tag);
	set->tag = NULL;
	if (set->epoll_fd >= 0)
		close(set->epoll_fd);
	set->epoll_fd = -1;
	table_finish(&set->watches);
}

static bool open_epoll(pollset_t *set)
{
	if (set->epoll_fd >= 0)
		return true;
	set->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (set->epoll_fd < 0)
		return false;
	if (set->source != NULL)
		set->tag = g_source_add_unix_fd(set->source, set->epoll_fd,
						G_IO_IN);
	return true;
}

handle_t pollset_add(pollset_t *set, int fd, unsigned interest, pollset_fn_t fn,
		     void *data)
{
	watch_t *watch;
	handle_t self;
	int error;

	if (!open_epoll(set))
		return HANDLE_NONE;
	self = table_add(&set->watches, (void **)&watch);
	watch->self = self;
	watch->fd = fd;
	watch->interest = interest;
	watch->fn = fn;
	watch->data = data;
	if (interest == 0 || control(set, EPOLL_CTL_ADD, watch))
		return self;
	error = errno;
	table_remove(&set->watches, self);
	errno = error;
	return HANDLE_NONE;
}

void pollset_set(pollset_t *set, handle_t handle, unsigned interest)
{
	watch_t *watch = table_get(&set->watches, handle);
	int op = EPOLL_CTL_MOD;

	if (watch == NULL || watch->interest == interest)
		return;
	/* epoll reports errors of any descriptor that it has. */
	if (interest == 0)
		op = EPOLL_CTL_DEL;
	else if (watch->interest == 0)
		op = EPOLL_CTL_ADD;
	watch->interest = interest;
	if ((interest & POLLSET_IN) == 0)
		undefer(set, watch);
	if (!control(set, op, watch))
		g_critical("epoll_ctl: %s", g_strerror(errno));
}

void pollset_classify(pollset_t *set, handle_t handle, pollset_class_t kind)
{
	watch_t *watch = table_get(&set->watches, handle);
	bool changed;

	if (watch == NULL || watch->kind == kind)
		return;
	changed = undefer(set, watch) || !watch->hangup;
	watch->kind = kind;
	watch->hangup = true;
	if (changed && watch->interest != 0)
		update(set, watch);
}

void pollset_remove(pollset_t *set, handle_t *handle)
{
	watch_t *watch = table_get(&set->watches, *handle);

	if (watch == NULL)
		return;
	undefer(set, watch);
	if (watch->interest != 0)
		control(set, EPOLL_CTL_DEL, watch);
	table_remove(&set->watches, *handle);
	*handle = HANDLE_NONE;
}
