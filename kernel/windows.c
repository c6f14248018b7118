#include "kernel/windows.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Linux holds up to twice the size that is set, with its own overhead. */
#define HELD_FACTOR 2
/* Parts of the machine's memory for the least windows and for the pool. */
#define LEAST_DIVISOR 4
#define POOL_DIVISOR 8
#define LEAST_MIN 2304 /* bytes; the smallest that Linux accepts */
#define LEAST_MAX 32768 /* bytes */

void windows_init(windows_t *windows)
{
	*windows = (windows_t){0};
}

void windows_set_memory(windows_t *windows, uint64_t memory, uint32_t sockets)
{
	uint64_t share = memory / LEAST_DIVISOR / HELD_FACTOR / MAX(sockets, 1);

	windows->least = (uint32_t)CLAMP(share, LEAST_MIN, LEAST_MAX);
	windows->pool = memory / POOL_DIVISOR;
}

/* Returns what a window may hold beyond the least one. */
static uint64_t surplus(const windows_t *windows, uint32_t window)
{
	return (uint64_t)(window - MIN(window, windows->least)) * HELD_FACTOR;
}

void windows_apply(int fd, uint32_t window)
{
	int size = (int)window;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	/* Before Linux 6.10, SO_RCVBUF does not raise the limit of a window. */
	setsockopt(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &size, sizeof(size));
}

void window_init(window_t *window)
{
	*window = (window_t){.wide = WINDOW_WIDE};
}

/* Returns whether the pool has room, and takes it. */
static bool take(windows_t *windows, uint32_t window)
{
	uint64_t bytes = surplus(windows, window);

	if (bytes > windows->pool - windows->taken)
		return false;
	windows->taken += bytes;
	return true;
}

void window_received(window_t *window, windows_t *windows, int fd, size_t len)
{
	window->arrived = true;
	/* A sender that fills half of it between two reads waits for it. */
	if (window->widened || windows->least == 0 ||
	    window->wide <= windows->least || len < windows->least / 2 ||
	    !take(windows, window->wide))
		return;
	windows_apply(fd, window->wide);
	window->widened = true;
}

static bool has_input(int fd)
{
	int len = 0;

	return ioctl(fd, FIONREAD, &len) == 0 && len > 0;
}

void window_check(window_t *window, windows_t *windows, int fd)
{
	/* Input that has arrived already may exceed the least window. */
	if (window->widened && !window->arrived && !has_input(fd)) {
		windows_apply(fd, windows->least);
		window_finish(window, windows);
	}
	window->arrived = false;
}

void window_finish(window_t *window, windows_t *windows)
{
	if (window->widened)
		windows->taken -= surplus(windows, window->wide);
	window->widened = false;
}
