#include "overload/admission.h"

#include <string.h>

#define USEC_PER_SEC 1e6
#define BITS_PER_BYTE 8
#define BITS_PER_MBIT 1e6

/* Answers, of about 200, by which an average forgets. */
#define ANSWER_SMOOTHING 0.05
#define WEIGHT_SMOOTHING 0.01
/* Expected of the answers of a route before the first one. */
#define ANSWER_DEFAULT 1000.0 /* bytes */
/*
 * A longer request does not take all of the backlog: the link is shared by
 * connections, and the measured utilization tells the rest.
 */
#define COST_MAX_US 100000.0
#define CONTINUED_FACTOR 1.25
#define REFUSAL_BYTES 250.0
/*
 * Refused bodies that can't be kept out count up to this backlog, at which
 * small urgent requests are still admitted.
 */
#define ARRIVED_MAX_US 150000.0
/* With less than this, no request would be refused soon. */
#define CALM_US 15000.0

/* The most urgent goals are 120 ms; a part of that may be spent here. */
#define WAIT_US 30000
/* Samples in a row: one late turn is no load above the capacity. */
#define LATE_SAMPLES 3
#define LATE_FACTOR 0.85
/*
 * A full link is the sum of what was admitted, which can be cut, and of the
 * bodies of refused requests, which can't.  So this cut has a bound.
 */
#define LINK_FULL 0.95
#define LINK_IDLE 0.8
#define FULL_SAMPLES 3
#define FULL_FACTOR 0.93
#define FULL_SCALE_MIN 0.5
#define SCALE_MIN 0.05
#define SCALE_STEP 0.02
/* While the link is idle, requests move less than they are taken for. */
#define SCALE_MAX 2

void admission_init(admission_state_t *admission, double link_mbps)
{
	memset(admission, 0, sizeof(*admission));
	admission->capacity =
		link_mbps * BITS_PER_MBIT / BITS_PER_BYTE / USEC_PER_SEC;
	admission->scale = 1;
}

static admission_kind_t *find_kind(admission_state_t *admission,
				   const char *route)
{
	for (uint32_t i = 0; i < ADMISSION_KINDS_MAX; i++) {
		admission_kind_t *kind = &admission->kinds[i];

		if (kind->route[0] == '\0') {
			g_strlcpy(kind->route, route, sizeof(kind->route));
			kind->answer = ANSWER_DEFAULT;
		}
		if (strcmp(kind->route, route) == 0)
			return kind;
	}
	return NULL;
}

static double expected_answer(const admission_state_t *admission,
			      const char *route)
{
	for (uint32_t i = 0; i < ADMISSION_KINDS_MAX; i++)
		if (strcmp(admission->kinds[i].route, route) == 0)
			return admission->kinds[i].answer;
	return ANSWER_DEFAULT;
}

static double cost_of(const admission_state_t *admission,
		      const admission_request_t *request)
{
	double cost = (double)request->bytes +
		      expected_answer(admission, request->route);

	return MIN(cost, COST_MAX_US * admission->capacity);
}

/* Bytes for the least priority weigh the most. */
static double weight_of(const admission_state_t *admission,
			const admission_request_t *request)
{
	return cost_of(admission, request) * (1 + MAX(request->priority, 0));
}

static double drained(const admission_state_t *admission, double backlog,
		      int64_t now)
{
	double rate =
		admission->capacity * ADMISSION_UTILIZATION * admission->scale;
	double left = backlog - (double)MAX(now - admission->updated, 0) * rate;

	return MAX(left, 0);
}

/* Returns the backlog in bytes at which the request is refused. */
static double threshold_of(const admission_state_t *admission,
			   const admission_request_t *request)
{
	double longest = (double)ADMISSION_BACKLOG_US * admission->capacity *
			 MIN(admission->scale, 1);
	double relative = 1;

	if (request->continued)
		return longest * CONTINUED_FACTOR;
	if (admission->weight > 0)
		relative = weight_of(admission, request) / admission->weight;
	return MAX(longest / (1 + relative), CALM_US * admission->capacity);
}

bool admission_test(const admission_state_t *admission,
		    const admission_request_t *request, int64_t now)
{
	if (admission->capacity <= 0)
		return true;
	return drained(admission,
		       MAX(admission->backlog_in, admission->backlog_out),
		       now) <= threshold_of(admission, request);
}

bool admission_is_calm(const admission_state_t *admission, int64_t now)
{
	return drained(admission,
		       MAX(admission->backlog_in, admission->backlog_out),
		       now) <= CALM_US * admission->capacity;
}

void admission_count(admission_state_t *admission,
		     const admission_request_t *request, bool admitted,
		     int64_t now)
{
	double cost, weight, most;

	if (admission->capacity <= 0)
		return;
	most = ARRIVED_MAX_US * admission->capacity * MIN(admission->scale, 1);
	cost = cost_of(admission, request);
	weight = weight_of(admission, request);
	if (admission->weight <= 0)
		admission->weight = weight;
	admission->weight += (weight - admission->weight) * WEIGHT_SMOOTHING;
	admission->offered += cost;
	admission->backlog_in = drained(admission, admission->backlog_in, now);
	admission->backlog_out =
		drained(admission, admission->backlog_out, now);
	admission->updated = now;
	if (admitted) {
		admission->backlog_in += cost;
		admission->backlog_out += cost;
	} else {
		admission->backlog_in = MAX(
			admission->backlog_in,
			MIN(admission->backlog_in + (double)request->arrived,
			    most));
		admission->backlog_out += REFUSAL_BYTES;
		admission->refused = true;
	}
}

double admission_take_load(admission_state_t *admission, int64_t elapsed)
{
	double most = admission->capacity * ADMISSION_UTILIZATION *
		      MIN(admission->scale, 1) * (double)elapsed;
	double offered = admission->offered;

	admission->offered = 0;
	return most > 0 ? offered / most : 0;
}

void admission_answered(admission_state_t *admission, const char *route,
			uint64_t bytes)
{
	admission_kind_t *kind;

	if (admission->capacity <= 0)
		return;
	kind = find_kind(admission, route);
	if (kind != NULL)
		kind->answer +=
			((double)bytes - kind->answer) * ANSWER_SMOOTHING;
}

static void cut(admission_state_t *admission, double scale, double least)
{
	if (scale < admission->scale)
		admission->scale = MAX(scale, least);
}

static void recover(admission_state_t *admission, double used)
{
	if (admission->scale < 1)
		admission->scale = MIN(admission->scale + SCALE_STEP, 1);
	else if (admission->refused && used < LINK_IDLE)
		admission->scale =
			MIN(admission->scale + SCALE_STEP, SCALE_MAX);
	else if (!admission->refused)
		admission->scale = MAX(admission->scale - SCALE_STEP, 1);
}

void admission_control(admission_state_t *admission,
		       const admission_load_t *load)
{
	double used = MAX(load->in, load->out);

	if (admission->capacity <= 0)
		return;
	admission->late = load->wait > WAIT_US ? admission->late + 1 : 0;
	admission->full = used > LINK_FULL ? admission->full + 1 : 0;
	if (admission->late >= LATE_SAMPLES) {
		/* Less than what is moved now is what the processor bears. */
		cut(admission,
		    MIN(admission->scale, used / ADMISSION_UTILIZATION) *
			    LATE_FACTOR,
		    SCALE_MIN);
		admission->late = 0;
	} else if (admission->full >= FULL_SAMPLES) {
		cut(admission, admission->scale * FULL_FACTOR,
		    MIN(admission->scale, FULL_SCALE_MIN));
		admission->full = 0;
	} else if (admission->late == 0 && admission->full == 0) {
		recover(admission, used);
	}
	admission->refused = false;
}
