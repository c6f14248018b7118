/*
 * Receive windows: what the operating system may hold of input that the process
 * has not read.  Every connection has the least window, also while it waits to
 * be accepted.  One whose sender fills it may have a wide one, as long as the
 * pool for these lasts.
 */
#ifndef KERNEL_WINDOWS_H
#define KERNEL_WINDOWS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Bytes.  A connection that begins with a small window has no window scaling,
 * without which this is the largest.
 */
#define WINDOW_WIDE 65535

typedef struct windows_t {
	uint32_t least; /* bytes; 0: the system chooses all windows */
	uint64_t pool; /* bytes that wide windows may hold beyond the least */
	uint64_t taken; /* bytes of the pool */
} windows_t;

/* The window of one socket. */
typedef struct window_t {
	uint32_t wide; /* bytes; the largest that it may have */
	bool widened; /* it has that one */
	bool arrived; /* input, since window_check() */
} window_t;

void windows_init(windows_t *windows);
/* Shares out the memory of the machine, in bytes, over its sockets. */
void windows_set_memory(windows_t *windows, uint64_t memory, uint32_t sockets);
/*
 * Sets the window of a TCP socket; one that listens passes it on to the
 * connections that it accepts.  The system drops what a sender sends beyond
 * it, so it also holds if the socket had a larger one.
 */
void windows_apply(int fd, uint32_t window);

void window_init(window_t *window);
/* Notes how much was read at a time; widens the window if that filled it. */
void window_received(window_t *window, windows_t *windows, int fd, size_t len);
/* Narrows the window if nothing has arrived since the last call. */
void window_check(window_t *window, windows_t *windows, int fd);
/* Precedes the close of the socket. */
void window_finish(window_t *window, windows_t *windows);

G_END_DECLS

#endif
