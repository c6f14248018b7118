/*
 * Decides which requests an instance admits whose link or processor has less
 * capacity than its callers ask for.  What requests move, and will still move
 * if they are admitted, is a backlog in each direction that drains at a rate
 * below the link's capacity; a request is refused if a backlog is longer than
 * its kind may find.  Kinds that move many bytes for little priority are
 * refused at a short backlog already, small urgent ones last.  No clock, no
 * messages, no encoding.
 */
#ifndef OVERLOAD_ADMISSION_H
#define OVERLOAD_ADMISSION_H

#include "kernel/traffic.h"

G_BEGIN_DECLS

#define ADMISSION_KINDS_MAX 64
#define ADMISSION_NAME_SIZE 64 /* bytes, with terminator */
/* Part of the link that admitted requests may fill. */
#define ADMISSION_UTILIZATION 0.88
/* Longest backlog that the smallest, most urgent requests may find. */
#define ADMISSION_BACKLOG_US INT64_C(300000)

/* What the answers of a route move, as an average over the last ones. */
typedef struct admission_kind_t {
	char route[ADMISSION_NAME_SIZE]; /* empty: unused entry */
	double answer; /* bytes on the link in one direction */
} admission_kind_t;

typedef struct admission_request_t {
	const char *route;
	int32_t priority; /* 0 is the most urgent */
	uint64_t bytes; /* head and body, on the link in one direction */
	uint64_t arrived; /* of them; a refusal does not take them back */
	/* Passed on by a peer, or a stream that is taken up again. */
	bool continued;
} admission_request_t;

/* What was measured since the last call of admission_control(). */
typedef struct admission_load_t {
	double in; /* utilization of the link, 1: full */
	double out;
	int64_t wait; /* us, longest wait of input */
} admission_load_t;

typedef struct admission_state_t {
	double capacity; /* bytes per us in each direction; 0: unknown */
	double scale; /* of the rate at which requests are admitted */
	/* Bytes of requests that arrived or were admitted, at the time below */
	double backlog_in;
	double backlog_out;
	int64_t updated; /* monotonic, us */
	double weight; /* average of the requests that arrived */
	admission_kind_t kinds[ADMISSION_KINDS_MAX];
	uint32_t late; /* samples in a row in which input waited */
	uint32_t full; /* samples in a row in which the link was full */
	bool refused; /* since the last sample */
	double offered; /* bytes of requests since admission_take_load() */
} admission_state_t;

/* Bits per second of the link in each direction; 0: admit everything. */
void admission_init(admission_state_t *admission, double link_mbps);

/* Whether every request is admitted now. */
bool admission_is_calm(const admission_state_t *admission, int64_t now);
/* Whether the request is admitted; changes nothing. */
bool admission_test(const admission_state_t *admission,
		    const admission_request_t *request, int64_t now);
/* Takes a request into account that has arrived, and was admitted or not. */
void admission_count(admission_state_t *admission,
		     const admission_request_t *request, bool admitted,
		     int64_t now);
/*
 * Returns what was asked for since the last call, elapsed us ago, relative to
 * what is admitted at most, and starts anew.
 */
double admission_take_load(admission_state_t *admission, int64_t elapsed);
/* The answer of a request of the route has moved these bytes. */
void admission_answered(admission_state_t *admission, const char *route,
			uint64_t bytes);
/* Adapts the rate to what was measured; called every 50 ms. */
void admission_control(admission_state_t *admission,
		       const admission_load_t *load);

G_END_DECLS

#endif
