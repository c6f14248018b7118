/*
 * Detects that this process cannot keep up, by the lateness of a periodic
 * check.  A single late check may have another reason, such as a pause of the
 * whole machine.
 */
#ifndef INGRESS_OVERLOAD_H
#define INGRESS_OVERLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct overload_t {
	int64_t due; /* monotonic, us; the next check; 0: none yet */
	uint32_t late_checks; /* consecutive */
	bool active;
} overload_t;

/* Records a check now; the next one is due after the interval. */
void overload_check(overload_t *overload, int64_t now, int64_t interval_us);

G_END_DECLS

#endif
