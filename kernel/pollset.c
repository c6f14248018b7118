#include "kernel/pollset.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_MAX 64 /* descriptors reported in one iteration */

typedef struct watch_t {
	handle_t self;
	int fd;
	unsigned interest;
	pollset_fn_t fn;
	void *data;
} watch_t;

typedef struct pollset_source_t {
	GSource source;
	pollset_t *set;
	gpointer tag; /* identifies the epoll descriptor */
} pollset_source_t;

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
	if (events & (EPOLLERR | EPOLLHUP))
		ready |= POLLSET_ERROR;
	return ready;
}

static gboolean source_check(GSource *source)
{
	return g_source_query_unix_fd(source,
				      ((pollset_source_t *)source)->tag) != 0;
}

static gboolean source_dispatch(GSource *source, GSourceFunc callback,
				gpointer data)
{
	pollset_t *set = ((pollset_source_t *)source)->set;
	struct epoll_event events[EVENTS_MAX];
	int count = epoll_wait(set->epoll_fd, events, EVENTS_MAX, 0);
	int64_t now = g_get_monotonic_time();

	(void)callback;
	(void)data;
	/* Descriptors are reported in the order in which they became ready. */
	if (count == EVENTS_MAX && set->drained_at != 0)
		lag_input_handled(set->lag, now - set->drained_at);
	else
		set->drained_at = now;
	for (int i = 0; i < count; i++) {
		/* An earlier callback may have removed or changed the watch. */
		const watch_t *watch = table_get(
			&set->watches, handle_from_u64(events[i].data.u64));
		unsigned ready = ready_from_epoll(events[i].events);

		if (watch == NULL || watch->interest == 0)
			continue;
		ready &= watch->interest | POLLSET_ERROR;
		if (ready != 0)
			watch->fn(watch->data, ready);
	}
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
	.check = source_check,
	.dispatch = source_dispatch,
};

void pollset_init(pollset_t *set, GMainContext *context, lag_t *lag)
{
	set->lag = lag;
	set->drained_at = 0;
	set->epoll_fd = -1;
	set->context = context;
	set->source = NULL;
	table_init(&set->watches, sizeof(watch_t));
}

void pollset_finish(pollset_t *set)
{
	if (set->source != NULL) {
		g_source_destroy(set->source);
		g_clear_pointer(&set->source, g_source_unref);
	}
	if (set->epoll_fd >= 0)
		close(set->epoll_fd);
	set->epoll_fd = -1;
	table_finish(&set->watches);
}

static bool open_epoll(pollset_t *set)
{
	pollset_source_t *source;

	if (set->epoll_fd >= 0)
		return true;
	set->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (set->epoll_fd < 0)
		return false;
	set->source = g_source_new(&source_funcs, sizeof(pollset_source_t));
	source = (pollset_source_t *)set->source;
	source->set = set;
	source->tag = g_source_add_unix_fd(set->source, set->epoll_fd, G_IO_IN);
	g_source_set_name(set->source, "pollset");
	g_source_attach(set->source, set->context);
	return true;
}

static bool control(pollset_t *set, int op, const watch_t *watch)
{
	struct epoll_event event = {.data.u64 = handle_to_u64(watch->self)};

	if (watch->interest & POLLSET_IN)
		event.events |= EPOLLIN;
	if (watch->interest & POLLSET_OUT)
		event.events |= EPOLLOUT;
	return epoll_ctl(set->epoll_fd, op, watch->fd, &event) == 0;
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
	if (!control(set, op, watch))
		g_critical("epoll_ctl: %s", g_strerror(errno));
}

void pollset_remove(pollset_t *set, handle_t *handle)
{
	const watch_t *watch = table_get(&set->watches, *handle);

	if (watch == NULL)
		return;
	if (watch->interest != 0)
		control(set, EPOLL_CTL_DEL, watch);
	table_remove(&set->watches, *handle);
	*handle = HANDLE_NONE;
}
