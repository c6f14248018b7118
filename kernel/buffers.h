/*
 * Bytes that the process holds for all calls in progress, by kind, and the
 * limit on their sum.  Each call has a bound of its own in its service; many
 * calls at once would still fill the memory.
 */
#ifndef KERNEL_BUFFERS_H
#define KERNEL_BUFFERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

#define BUFFERS_LIMIT_DEFAULT ((uint64_t)64 * 1024 * 1024) /* bytes */

/* A kind belongs to the service that gives way if it holds the most. */
typedef enum buffer_kind_t {
	BUFFER_REQUESTS, /* ingress: requests that are being read */
	BUFFER_OUTPUT, /* ingress: responses that callers have not read */
	BUFFER_RESPONSES, /* proxy: responses of targets */
	BUFFER_STORE, /* store: its answers */
	BUFFER_RUNNING, /* proxy, request: in progress; never give way */
	BUFFER_BODIES, /* front: bodies that are being read */
	BUFFER_KIND_COUNT,
} buffer_kind_t;

typedef struct buffers_t {
	uint64_t limit; /* bytes */
	uint64_t held[BUFFER_KIND_COUNT]; /* bytes */
	bool relieving; /* a service has been told to give way */
	buffer_kind_t relieved; /* the kind that was told last */
	unsigned tried; /* kinds that were told, one bit each */
	uint64_t peak; /* bytes, since buffers_take_fall() */
	/* Nothing could give way; no service is told again below this. */
	uint64_t ask_above; /* bytes */
} buffers_t;

void buffers_init(buffers_t *buffers);
/* Replaces what a holder has counted so far by this number of bytes. */
void buffers_set(buffers_t *buffers, buffer_kind_t kind, size_t *counted,
		 size_t bytes);
uint64_t buffers_total(const buffers_t *buffers);
bool buffers_full(const buffers_t *buffers);
/* Below this level a service need not give way any further. */
bool buffers_relieved(const buffers_t *buffers);
/* Whether a service has to be told to give way. */
bool buffers_must_relieve(const buffers_t *buffers);
/*
 * Notes that the kind that was told has given way.  Returns whether another
 * has to: kinds whose holders can't end do not keep the others from it.
 */
bool buffers_note_relieved(buffers_t *buffers);
/*
 * Returns the kind that holds the most of those that were not told yet, or
 * BUFFER_KIND_COUNT.
 */
buffer_kind_t buffers_largest(const buffers_t *buffers);
/* Copies of a body while its request runs: as received and as sent on. */
#define REQUEST_BODY_COPIES 2
/*
 * Whether a request of this size may run: large ones leave half of the limit
 * to the others, and all requests a quarter to what is read and answered, as
 * nothing can take their memory back until they end.
 */
bool buffers_may_run(const buffers_t *buffers, size_t bytes);
/*
 * Returns whether so much has been freed since the last time that the
 * allocator's free memory is worth returning to the system.
 */
bool buffers_take_fall(buffers_t *buffers);
/* Returns the name of the service that gives way. */
const char *buffers_owner(buffer_kind_t kind);
const char *buffers_kind_name(buffer_kind_t kind);

G_END_DECLS

#endif
