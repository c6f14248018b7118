/*
 * Service "instances": polls the platform's list of live and leaving
 * instances.  It reports leaving targets to "route" and each list to
 * "member"; while the list is unavailable it reports no change.
 */
#ifndef INSTANCES_INSTANCES_H
#define INSTANCES_INSTANCES_H

#include "kernel/errmsg.h"
#include "kernel/kernel.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

#define INSTANCES_DEFAULT_INTERVAL_MS 1000
#define INSTANCES_BODY_MAX 8388608 /* bytes */
#define INSTANCES_MAX 65536 /* instances in one list */

typedef struct instances_opts_t {
	const char *url; /* NULL or empty: nothing is polled */
	int64_t interval_ms; /* 0: INSTANCES_DEFAULT_INTERVAL_MS */
} instances_opts_t;

typedef struct instances_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t route;
	svc_t member;
	gchar *url;
	int64_t interval_us;
	SoupSession *session;
	struct poll_t *poll; /* poll in progress, or NULL */
	int64_t poll_deadline; /* us */
	GHashTable *known; /* "HOST PORT" -> known_instance_t */
	int64_t last_list_at; /* last valid list, us, 0: none */
	int64_t revision; /* revision of the last valid list */
	int64_t older_since; /* first list with a lower revision, us, 0: none */
	bool list_failed; /* the current failure is logged */
	errmsg_t err;
} instances_t;

/* Returns NULL if any part of the list is malformed. */
instance_list_t *instances_parse(const char *text, size_t len, errmsg_t *err);

void instances_init(instances_t *instances, kernel_t *kernel,
		    const instances_opts_t *opts);
void instances_finish(instances_t *instances);

G_END_DECLS

#endif
