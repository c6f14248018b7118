#include "kernel/timer.h"

typedef struct timer_entry_t {
	int64_t due; /* us */
	uint64_t seq; /* orders timers that are due at the same time */
	uint32_t heap_index;
	svc_t owner;
	handle_t ref;
	int kind;
} timer_entry_t;

void timer_init(kernel_t *kernel)
{
	table_init(&kernel->timers, sizeof(timer_entry_t));
	kernel->timer_heap = g_array_new(FALSE, FALSE, sizeof(handle_t));
}

void timer_finish(kernel_t *kernel)
{
	table_finish(&kernel->timers);
	g_array_unref(kernel->timer_heap);
}

static timer_entry_t *entry_at(const kernel_t *kernel, uint32_t index)
{
	handle_t handle = g_array_index(kernel->timer_heap, handle_t, index);

	return table_get(&kernel->timers, handle);
}

static void heap_set(kernel_t *kernel, uint32_t index, handle_t handle)
{
	timer_entry_t *entry = table_get(&kernel->timers, handle);

	g_array_index(kernel->timer_heap, handle_t, index) = handle;
	entry->heap_index = index;
}

static bool is_earlier(const timer_entry_t *a, const timer_entry_t *b)
{
	return a->due != b->due ? a->due < b->due : a->seq < b->seq;
}

static void heap_swap(kernel_t *kernel, uint32_t i, uint32_t j)
{
	handle_t a = g_array_index(kernel->timer_heap, handle_t, i);
	handle_t b = g_array_index(kernel->timer_heap, handle_t, j);

	heap_set(kernel, i, b);
	heap_set(kernel, j, a);
}

static void sift_up(kernel_t *kernel, uint32_t index)
{
	while (index > 0) {
		uint32_t parent = (index - 1) / 2;

		if (!is_earlier(entry_at(kernel, index),
				entry_at(kernel, parent)))
			break;
		heap_swap(kernel, index, parent);
		index = parent;
	}
}

static void sift_down(kernel_t *kernel, uint32_t index)
{
	for (;;) {
		uint32_t child = 2 * index + 1;

		if (child >= kernel->timer_heap->len)
			break;
		if (child + 1 < kernel->timer_heap->len &&
		    is_earlier(entry_at(kernel, child + 1),
			       entry_at(kernel, child)))
			child++;
		if (!is_earlier(entry_at(kernel, child),
				entry_at(kernel, index)))
			break;
		heap_swap(kernel, index, child);
		index = child;
	}
}

static void heap_remove(kernel_t *kernel, uint32_t index)
{
	uint32_t last = kernel->timer_heap->len - 1;

	if (index != last)
		heap_swap(kernel, index, last);
	g_array_set_size(kernel->timer_heap, last);
	if (index < last) {
		sift_down(kernel, index);
		sift_up(kernel, index);
	}
}

handle_t kernel_timer(kernel_t *kernel, svc_t owner, int64_t delay_us,
		      handle_t ref, int kind)
{
	timer_entry_t *entry;
	handle_t handle = table_add(&kernel->timers, (void **)&entry);

	entry->due = kernel_now(kernel) + MAX(delay_us, 0);
	entry->seq = kernel->timer_seq++;
	entry->owner = owner;
	entry->ref = ref;
	entry->kind = kind;
	g_array_append_val(kernel->timer_heap, handle);
	heap_set(kernel, kernel->timer_heap->len - 1, handle);
	sift_up(kernel, kernel->timer_heap->len - 1);
	return handle;
}

void kernel_timer_cancel(kernel_t *kernel, handle_t *timer)
{
	timer_entry_t *entry = table_get(&kernel->timers, *timer);

	if (entry != NULL) {
		heap_remove(kernel, entry->heap_index);
		table_remove(&kernel->timers, *timer);
	}
	*timer = HANDLE_NONE;
}

int64_t kernel_next_timer(const kernel_t *kernel)
{
	return kernel->timer_heap->len == 0 ? -1 : entry_at(kernel, 0)->due;
}

bool timer_fire(kernel_t *kernel, int64_t now)
{
	handle_t handle;
	timer_entry_t *entry;
	msg_t msg = {.kind = MSG_TIMER};
	svc_t owner;

	if (kernel->timer_heap->len == 0)
		return false;
	handle = g_array_index(kernel->timer_heap, handle_t, 0);
	entry = table_get(&kernel->timers, handle);
	if (entry->due > now)
		return false;
	lag_timer_fired(&kernel->lag, now - entry->due);
	owner = entry->owner;
	msg.ref = entry->ref;
	msg.u.timer.kind = entry->kind;
	heap_remove(kernel, 0);
	table_remove(&kernel->timers, handle);
	kernel_post(kernel, owner, owner, &msg);
	return true;
}
