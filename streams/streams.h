/*
 * Service "streams": remembers at which version of a service's software each
 * stream began, so that a caller can take it up again at any instance.  Some
 * peers keep a copy of each entry.
 *
 * MSG_STREAM_BEGAN adds an entry.  Each MSG_STREAM_RESOLVE is answered with one
 * MSG_STREAM_RESOLVED, after peers were asked if necessary.  A stream whose
 * version nobody knows has to stay broken, unless the service had only one
 * version for as long as a stream may last, by a list of targets that is read
 * after the attempt has come.
 */
#ifndef STREAMS_STREAMS_H
#define STREAMS_STREAMS_H

#include "kernel/kernel.h"
#include "kernel/peer_set.h"

G_BEGIN_DECLS

typedef struct streams_t {
	kernel_t *kernel;
	svc_t svc;
	svc_t peer;
	svc_t store;
	svc_t replica;
	char incarnation[INCARNATION_SIZE];
	peer_set_t peers;
	GHashTable *entries; /* request id of the stream -> stream_entry_t */
	GQueue by_age; /* the same entries, oldest first */
	GHashTable *targets; /* id -> known_target_t */
	GArray *versions; /* version_t */
	table_t lookups; /* lookup_t */
	GArray *unsaved; /* saved_stream_t, to be written to the store */
	record_streams_t *writing; /* the write in progress, or NULL */
	uint64_t save_seq; /* number of the last record */
	GArray *saved_keys; /* saved_key_t, oldest first */
	handle_t save_timer;
	bool loading; /* the saved streams are being read */
	int64_t loaded_at; /* monotonic, us, last start of a read; 0: none */
	int loaded; /* streams that the last read found; -1: it failed */
	int64_t ttl; /* us, how long a stream may be taken up again */
	int64_t listed_since; /* first target, monotonic, us; 0: none yet */
	/* The targets are known as of then; monotonic, us; 0: not yet. */
	int64_t list_as_of;
} streams_t;

void streams_init(streams_t *streams, kernel_t *kernel,
		  const char *incarnation);
/*
 * Remembers a stream, or the version of one that was not known.  Returns
 * whether that is new.
 */
bool streams_remember(streams_t *streams, const char *request_id,
		      const stream_origin_t *origin);
void streams_finish(streams_t *streams);

G_END_DECLS

#endif
