#include "kernel/buffers.h"

#include <string.h>

/* Part of the limit, in eighths, at which no more has to give way. */
#define RELIEVED_EIGHTHS 7
/* Growth, as a part of the limit, after which services are told again. */
#define ASK_AGAIN_DIVISOR 64
/* Part of the limit that is freed before memory returns to the system. */
#define FALL_DIVISOR 8
/* A request is large from this part of the limit on. */
#define LARGE_DIVISOR 64
/* Part of the limit up to which a large request may begin to run. */
#define RUNNING_DIVISOR 2
/* The same for another request; the rest is left to requests and answers. */
#define QUARTERS 4
#define RUNNING_QUARTERS 3

void buffers_init(buffers_t *buffers)
{
	memset(buffers, 0, sizeof(*buffers));
	buffers->limit = BUFFERS_LIMIT_DEFAULT;
}

void buffers_set(buffers_t *buffers, buffer_kind_t kind, size_t *counted,
		 size_t bytes)
{
	buffers->held[kind] += bytes;
	buffers->held[kind] -= *counted;
	*counted = bytes;
	buffers->peak = MAX(buffers->peak, buffers_total(buffers));
	if (buffers->relieving || buffers_full(buffers))
		return;
	buffers->tried = 0;
	buffers->ask_above = 0;
}

uint64_t buffers_total(const buffers_t *buffers)
{
	uint64_t total = 0;

	for (int i = 0; i < BUFFER_KIND_COUNT; i++)
		total += buffers->held[i];
	return total;
}

bool buffers_full(const buffers_t *buffers)
{
	return buffers_total(buffers) > buffers->limit;
}

bool buffers_relieved(const buffers_t *buffers)
{
	return buffers_total(buffers) <= buffers->limit / 8 * RELIEVED_EIGHTHS;
}

bool buffers_must_relieve(const buffers_t *buffers)
{
	return buffers_full(buffers) && !buffers->relieving &&
	       buffers_total(buffers) > buffers->ask_above;
}

bool buffers_note_relieved(buffers_t *buffers)
{
	buffers->relieving = false;
	buffers->ask_above = 0;
	if (!buffers_full(buffers)) {
		buffers->tried = 0;
		return false;
	}
	buffers->tried |= 1U << buffers->relieved;
	if (buffers_largest(buffers) != BUFFER_KIND_COUNT)
		return true;
	buffers->tried = 0;
	buffers->ask_above =
		buffers_total(buffers) + buffers->limit / ASK_AGAIN_DIVISOR;
	return false;
}

static bool can_give_way(const buffers_t *buffers, buffer_kind_t kind)
{
	return kind != BUFFER_RUNNING && buffers->held[kind] > 0 &&
	       (buffers->tried & 1U << kind) == 0;
}

buffer_kind_t buffers_largest(const buffers_t *buffers)
{
	buffer_kind_t largest = BUFFER_KIND_COUNT;

	for (int i = 0; i < BUFFER_KIND_COUNT; i++)
		if (can_give_way(buffers, (buffer_kind_t)i) &&
		    (largest == BUFFER_KIND_COUNT ||
		     buffers->held[i] > buffers->held[largest]))
			largest = (buffer_kind_t)i;
	return largest;
}

bool buffers_may_run(const buffers_t *buffers, size_t bytes)
{
	uint64_t most = bytes < buffers->limit / LARGE_DIVISOR
				? buffers->limit / QUARTERS * RUNNING_QUARTERS
				: buffers->limit / RUNNING_DIVISOR;

	return buffers->held[BUFFER_RUNNING] + bytes <= most;
}

bool buffers_take_fall(buffers_t *buffers)
{
	uint64_t total = buffers_total(buffers);

	if (buffers->peak < total + buffers->limit / FALL_DIVISOR)
		return false;
	buffers->peak = total;
	return true;
}

const char *buffers_owner(buffer_kind_t kind)
{
	switch (kind) {
	case BUFFER_REQUESTS:
	case BUFFER_OUTPUT:
		return "ingress";
	case BUFFER_RESPONSES:
		return "proxy";
	case BUFFER_STORE:
		return "store";
	case BUFFER_BODIES:
		return "front";
	case BUFFER_RUNNING:
	case BUFFER_KIND_COUNT:
		break;
	}
	return "";
}

const char *buffers_kind_name(buffer_kind_t kind)
{
	switch (kind) {
	case BUFFER_REQUESTS:
		return "requests";
	case BUFFER_OUTPUT:
		return "output";
	case BUFFER_RESPONSES:
		return "responses";
	case BUFFER_STORE:
		return "store";
	case BUFFER_BODIES:
		return "bodies";
	case BUFFER_RUNNING:
		return "running";
	case BUFFER_KIND_COUNT:
		break;
	}
	return "unknown";
}
