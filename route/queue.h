/*
 * Requests of one service that wait for a target: weighted fair between
 * client accounts, within an account by expected work with ageing.
 */
#ifndef ROUTE_QUEUE_H
#define ROUTE_QUEUE_H

#include "kernel/msg.h"
#include "route/estimate.h"

G_BEGIN_DECLS

typedef enum work_t {
	WORK_SHORT,
	WORK_LONG,
	WORK_COUNT,
} work_t;

typedef struct flow_t flow_t;
struct group_t;

typedef struct ask_t {
	handle_t self;
	handle_t id; /* the asker's attempt */
	gint64 key; /* the same as a key of a hash table */
	struct group_t *group;
	work_t work;
	bool hedge;
	int64_t worst; /* tokens */
	int64_t tokens; /* expected */
	int64_t duration; /* expected, us */
	int64_t deadline; /* us */
	int64_t since; /* us */
	int64_t order; /* within the flow */
	uint64_t prefix_hash;
	uint32_t avoid_count;
	handle_t avoid[ROUTE_AVOID_MAX];
	handle_t timer;
	flow_t *flow; /* while it waits */
	GSequenceIter *place;
} ask_t;

/* The waiting requests of one client account in one class of work. */
struct flow_t {
	char client_account[NAME_SIZE];
	uint32_t weight;
	double served; /* tokens by weight, the virtual time of the flow */
	GSequence *asks; /* ask_t, by order */
	GSequenceIter *place; /* in the list of flows that wait */
	struct queue_t *queue;
	work_t work;
};

typedef struct queue_t {
	GHashTable *flows[WORK_COUNT]; /* client account -> flow_t */
	GSequence *waiting[WORK_COUNT]; /* flow_t with asks, by served */
	double served[WORK_COUNT]; /* of the flow served last */
	int64_t duration[WORK_COUNT][SIZE_CLASSES]; /* sums of what waits */
	uint32_t length;
} queue_t;

void queue_init(queue_t *queue);
void queue_finish(queue_t *queue);

uint32_t queue_account_length(const queue_t *queue, const char *client_account);
void queue_push(queue_t *queue, ask_t *ask, const char *client_account,
		uint32_t weight);
void queue_remove(queue_t *queue, ask_t *ask);
/* Removes an ask that got a target and charges its client account. */
void queue_served(queue_t *queue, ask_t *ask);

/* The next request of the nth flow in the order of service, or NULL. */
ask_t *queue_head(const queue_t *queue, work_t work, uint32_t nth);

/* Expected time on targets, in us, of the requests that go before this. */
int64_t queue_ahead(const queue_t *queue, const ask_t *ask);

/* Drops the empty flows that are owed nothing. */
void queue_prune(queue_t *queue);

G_END_DECLS

#endif
