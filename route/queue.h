/*
 * Requests of one service that wait for a target: weighted fair between
 * client accounts, within an account by expected work with ageing.  When the
 * deadlines come near, the latest start decides on the order and fairness on
 * who is refused.
 */
#ifndef ROUTE_QUEUE_H
#define ROUTE_QUEUE_H

#include "kernel/msg.h"
#include "route/estimate.h"

G_BEGIN_DECLS

/* Latest starts are counted in steps, up to a horizon. */
#define DUE_BUCKETS 128
#define DUE_STEP_US ((int64_t)256000) /* us */

typedef enum work_class_t {
	WORK_SHORT,
	WORK_LONG,
	WORK_COUNT,
} work_class_t;

typedef struct flow_t flow_t;
struct group_t;

typedef struct route_req_t {
	handle_t self;
	handle_t attempt; /* the asker's attempt */
	gint64 attempt_key; /* the same as a key of a hash table */
	struct group_t *group;
	work_class_t work;
	bool hedge;
	int64_t worst_tokens; /* tokens */
	int64_t tokens; /* expected */
	int64_t duration; /* expected, us */
	int64_t deadline; /* us */
	int64_t arrival; /* us */
	int64_t sort_key; /* within the flow */
	int64_t latest_start; /* start, us, to end before the deadline */
	int32_t bucket; /* of latest, -1: beyond the horizon */
	uint64_t prefix_hash;
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX];
	handle_t timer;
	flow_t *flow; /* while it waits */
	GSequenceIter *flow_iter;
	GSequenceIter *latest_iter;
	GSequenceIter *size_iter;
} route_req_t;

/* The waiting requests of one client account in one class of work. */
struct flow_t {
	char client_account[NAME_SIZE];
	uint32_t weight;
	double virtual_time; /* tokens by weight, the virtual time of the flow
			      */
	int64_t total_duration; /* sum of what waits */
	GSequence *reqs; /* route_req_t, by order */
	GSequenceIter *active_iter; /* in the list of flows that wait */
	struct queue_t *queue;
	work_class_t work;
};

typedef struct queue_t {
	GHashTable *flows[WORK_COUNT]; /* client account -> flow_t */
	GSequence *active_flows[WORK_COUNT]; /* flow_t with asks, by served */
	double virtual_time[WORK_COUNT]; /* of the flow served last */
	GSequence *by_latest_start[WORK_COUNT]; /* route_req_t */
	GSequence *by_size; /* route_req_t, the largest last */
	int64_t duration[WORK_COUNT][SIZE_CLASSES]; /* sums of what waits */
	int64_t due_duration[DUE_BUCKETS]; /* the same by latest start */
	int64_t total_duration; /* the same in all */
	uint64_t active_weight; /* of the flows with asks */
	uint32_t length;
} queue_t;

void queue_init(queue_t *queue);
void queue_finish(queue_t *queue);

uint32_t queue_account_length(const queue_t *queue, const char *client_account);
void queue_add(queue_t *queue, route_req_t *req, const char *client_account,
	       uint32_t weight);
void queue_remove(queue_t *queue, route_req_t *req);
/* Removes an ask that got a target and charges its client account. */
void queue_charge(queue_t *queue, route_req_t *req);

/*
 * The nth request in the order of service, or NULL.  Under pressure it is the
 * one with the nth latest start, otherwise the next of the nth flow.
 */
route_req_t *queue_head(const queue_t *queue, work_class_t work, uint32_t nth,
			bool by_deadline);

/*
 * The largest part of the time left that waiting work needs at any latest
 * start, when this many requests run side by side.  Above 1 not all of it can
 * end in time; *violated is then the first latest start that is missed.
 */
double queue_utilization(const queue_t *queue, int64_t now, uint32_t parallel,
			 int64_t *first_missed);

/*
 * The request to refuse so that most others end in time: the largest that
 * starts before the time given, of an account above its share of what waits.
 */
route_req_t *queue_victim(const queue_t *queue, int64_t first_missed);

/* Expected time on targets, in us, of the requests that go before this. */
int64_t queue_work_ahead(const queue_t *queue, const route_req_t *req);

/* Drops the empty flows that are owed nothing. */
void queue_prune(queue_t *queue);

G_END_DECLS

#endif
