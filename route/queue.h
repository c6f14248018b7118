/*
 * Queue of a service's requests that wait for a target.  Client accounts share
 * it by weighted fair queueing; within an account, requests are ordered by
 * expected work with ageing.  When deadlines are near, requests are ordered by
 * latest start time instead, and fairness decides which are refused.
 */
#ifndef ROUTE_QUEUE_H
#define ROUTE_QUEUE_H

#include "kernel/msg.h"
#include "route/estimate.h"

G_BEGIN_DECLS

/* Work is summed by latest start time in steps, up to a horizon. */
#define DUE_BUCKETS 128
#define DUE_STEP_US ((int64_t)256000)

typedef enum work_class_t {
	WORK_SHORT,
	WORK_LONG,
	WORK_COUNT,
} work_class_t;

typedef struct flow_t flow_t;
struct group_t;

/* A request for a target. */
typedef struct route_req_t {
	handle_t self;
	handle_t attempt; /* handle in the request service */
	gint64 attempt_key; /* attempt as a hash table key */
	struct group_t *group;
	work_class_t work;
	bool hedge;
	int64_t worst_tokens;
	int64_t tokens; /* expected tokens */
	int64_t duration; /* expected duration, us */
	int64_t deadline; /* us */
	int64_t arrival; /* us */
	int64_t sort_key; /* us, arrival plus a delay by size */
	int64_t latest_start; /* us, to end before the deadline */
	int32_t bucket; /* index in due_duration; -1: beyond the horizon */
	uint64_t prefix_hash;
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX];
	handle_t timer;
	flow_t *flow; /* NULL unless queued */
	GSequenceIter *flow_iter; /* position in flow->reqs */
	GSequenceIter *latest_iter; /* position in by_latest_start */
	GSequenceIter *size_iter; /* position in by_size */
} route_req_t;

/* Queued requests of one client account in one work class. */
struct flow_t {
	char client_account[NAME_SIZE];
	uint32_t weight;
	double virtual_time; /* tokens served, divided by weight */
	int64_t total_duration; /* us, sum over the queued requests */
	GSequence *reqs; /* route_req_t, by sort_key */
	GSequenceIter *active_iter; /* place in active_flows, NULL if empty */
	struct queue_t *queue;
	work_class_t work;
};

typedef struct queue_t {
	GHashTable *flows[WORK_COUNT]; /* client account -> flow_t */
	GSequence *active_flows[WORK_COUNT]; /* flow_t, by virtual_time */
	/* Virtual time of the last flow served. */
	double virtual_time[WORK_COUNT];
	GSequence *by_latest_start[WORK_COUNT]; /* route_req_t */
	GSequence *by_size; /* route_req_t, longest last */
	int64_t duration[WORK_COUNT][SIZE_CLASSES]; /* us, by size class */
	int64_t due_duration[DUE_BUCKETS]; /* us, by latest start time */
	int64_t total_duration; /* us, sum over all queued requests */
	uint64_t active_weight; /* sum over active flows */
	uint32_t length;
} queue_t;

void queue_init(queue_t *queue);
void queue_finish(queue_t *queue);

uint32_t queue_account_length(const queue_t *queue, const char *client_account);
void queue_add(queue_t *queue, route_req_t *req, const char *client_account,
	       uint32_t weight);
void queue_remove(queue_t *queue, route_req_t *req);
/* Removes an assigned request and charges its tokens to the client account. */
void queue_charge(queue_t *queue, route_req_t *req);

/*
 * Returns the nth request in scheduling order, or NULL: by latest start time if
 * by_deadline, otherwise the first request of the nth active flow.
 */
route_req_t *queue_head(const queue_t *queue, work_class_t work, uint32_t nth,
			bool by_deadline);

/*
 * Returns the highest ratio of queued work to available time up to any latest
 * start time, with the given number of requests running in parallel.  If it is
 * above 1, some requests can't end in time, and *first_missed is the first
 * latest start time that is missed.
 */
double queue_utilization(const queue_t *queue, int64_t now, uint32_t parallel,
			 int64_t *first_missed);

/*
 * Returns the request to refuse so that most others end in time: the longest
 * one with a latest start before first_missed, if possible of a client account
 * above its share of the queue.
 */
route_req_t *queue_victim(const queue_t *queue, int64_t first_missed);

/* Returns the expected time, in us, of the requests served before this one. */
int64_t queue_work_ahead(const queue_t *queue, const route_req_t *req);

/* Frees empty flows whose virtual time is not ahead of the queue's. */
void queue_prune(queue_t *queue);

G_END_DECLS

#endif
