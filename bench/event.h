/*
 * Event queue of a replay: a binary heap ordered by time, then by insertion.
 */
#ifndef BENCH_EVENT_H
#define BENCH_EVENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum event_kind_t {
	EVENT_ATTEMPT, /* an attempt reaches its first byte or end */
	EVENT_DEADLINE,
	EVENT_SPEED_CHANGED, /* a target slows down or recovers */
	EVENT_REPORT_SENT, /* a target reports its load */
	EVENT_REPORT_ARRIVED, /* a load report reaches the routers */
} event_kind_t;

typedef struct event_t {
	int64_t time;
	uint64_t seq;
	event_kind_t kind;
	uint32_t index; /* attempt, job or target */
	uint32_t value; /* attempt: event_id; report: reported load */
	double speed; /* EVENT_SPEED_CHANGED: 1 is full speed */
} event_t;

typedef struct event_queue_t {
	GArray *heap; /* event_t */
	uint64_t seq;
} event_queue_t;

static inline bool event_before(const event_t *a, const event_t *b)
{
	return a->time != b->time ? a->time < b->time : a->seq < b->seq;
}

static inline void event_swap(GArray *queue, uint32_t i, uint32_t j)
{
	event_t *a = &g_array_index(queue, event_t, i);
	event_t *b = &g_array_index(queue, event_t, j);
	event_t saved = *a;

	*a = *b;
	*b = saved;
}

static inline void event_push(event_queue_t *queue, event_t event)
{
	uint32_t i = queue->heap->len;

	event.seq = queue->seq++;
	g_array_append_val(queue->heap, event);
	while (i > 0 && event_before(&g_array_index(queue->heap, event_t, i),
				     &g_array_index(queue->heap, event_t,
						    (i - 1) / 2))) {
		event_swap(queue->heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static inline event_t event_pop(event_queue_t *queue)
{
	GArray *heap = queue->heap;
	event_t first = g_array_index(heap, event_t, 0);
	uint32_t i = 0, child;

	event_swap(heap, 0, heap->len - 1);
	g_array_set_size(heap, heap->len - 1);
	while ((child = 2 * i + 1) < heap->len) {
		if (child + 1 < heap->len &&
		    event_before(&g_array_index(heap, event_t, child + 1),
				 &g_array_index(heap, event_t, child)))
			child++;
		if (!event_before(&g_array_index(heap, event_t, child),
				  &g_array_index(heap, event_t, i)))
			break;
		event_swap(heap, i, child);
		i = child;
	}
	return first;
}

#endif
