/*
 * Timers of the kernel, kept as a binary heap of handles into the timer table.
 */
#ifndef KERNEL_TIMER_H
#define KERNEL_TIMER_H

#include "kernel/kernel.h"

G_BEGIN_DECLS

void timer_init(kernel_t *kernel);
void timer_finish(kernel_t *kernel);

/* Posts the message of the earliest timer; returns false if none is due. */
bool timer_fire(kernel_t *kernel, int64_t now);

G_END_DECLS

#endif
