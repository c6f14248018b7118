/*
 * Service "orders": sends the operators' orders to targets.  One router at a
 * time sends orders to a target: the holder of the store key
 * order/TARGET/lease.
 */
#ifndef ORDERS_ORDERS_H
#define ORDERS_ORDERS_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

#define ORDERS_LEASE_TTL_S 10 /* default */

typedef struct orders_opts_t {
	char incarnation[INCARNATION_SIZE];
	int32_t lease_ttl_s; /* 0: the default */
	/* Longest time that an order runs after it is sent; 0: the default. */
	uint32_t longest_ms[ORDER_KIND_COUNT];
} orders_opts_t;

typedef struct orders_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t store;
	svc_t dispatch;
	orders_opts_t opts;
	table_t jobs; /* job_t, one for each target with an order */
	GHashTable *by_target; /* target -> job_t */
	table_t calls; /* store_call_t: store calls in flight */
	member_list_t *members; /* NULL before the first MSG_MEMBER_CHANGED */
	uint64_t op_seq;
	handle_t stop_timer;
	bool stopping;
	bool stopped;
} orders_t;

void orders_init(orders_t *orders, kernel_t *kernel, const orders_opts_t *opts);
void orders_finish(orders_t *orders);

G_END_DECLS

#endif
