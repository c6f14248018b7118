/*
 * Counters, gauges and histograms of the process.  Each reason for a refusal
 * or a retry has a counter of its own.
 */
#ifndef METRICS_METRICS_H
#define METRICS_METRICS_H

#include "kernel/msg.h"

G_BEGIN_DECLS

#define COUNTER_LIST(X)                                                       \
	X(REQUESTS, "requests", "requests accepted from callers")             \
	X(ANSWERS, "answers", "answers sent in full")                         \
	X(REPLAYS, "replays", "answers given from a stored outcome")          \
	X(BROKEN, "broken", "answers cut short after their head")             \
	X(ATTEMPTS, "attempts", "requests sent to targets")                   \
	X(HEDGES, "hedges", "second attempts of slow short requests")         \
	X(TOKENS_BILLED, "tokens_billed", "tokens billed")                    \
	X(BILLS, "bills", "bills recorded")                                   \
	X(BILLS_DUPLICATE, "bills_duplicate", "bills recognised as repeated") \
	X(BILLS_UNPROTECTED, "bills_unprotected",                             \
	  "bills released without store and copy")                            \
	X(GRANTS_TAKEN, "grants_taken", "grants taken or enlarged")           \
	X(GRANTS_RETURNED, "grants_returned", "grants reduced or closed")     \
	X(GRANTS_LOST, "grants_lost", "grants found recovered by a buddy")    \
	X(GRANTS_RECOVERED, "grants_recovered",                               \
	  "grants of dead routers recovered")                                 \
	X(COPIES_HELD, "copies_held", "bills copied here by peers")           \
	X(STORE_CALLS, "store_calls", "calls to the store")                   \
	X(STORE_ERRORS, "store_errors", "store calls without an answer")      \
	X(STORE_INVALID, "store_invalid", "store values that are malformed")  \
	X(PEER_FRAMES_IN, "peer_frames_in", "frames received from peers")     \
	X(PEER_FRAMES_OUT, "peer_frames_out", "frames sent to peers")         \
	X(PEER_BYTES_IN, "peer_bytes_in", "bytes received from peers")        \
	X(PEER_BYTES_OUT, "peer_bytes_out", "bytes sent to peers")            \
	X(PEER_FRAMES_BAD, "peer_frames_bad", "malformed frames from peers")  \
	X(PEER_FRAMES_UNKNOWN, "peer_frames_unknown",                         \
	  "frames of kinds that only newer versions know")                    \
	X(PEER_FIELDS_UNKNOWN, "peer_fields_unknown",                         \
	  "fields of frames that only newer versions know")                   \
	X(PEER_FRAMES_WITHHELD, "peer_frames_withheld",                       \
	  "frames not sent as the peer does not know their kind")             \
	X(PEER_AUTH_FAILED, "peer_auth_failed", "peers with a wrong key")     \
	X(CONF_CHANGES, "conf_changes", "configuration records applied")      \
	X(CONF_STALE, "conf_stale", "configuration records older than ours")  \
	X(LIMITS_STATED, "limits_stated",                                     \
	  "responses in which a target stated a limit")                       \
	X(PAUSES_STATED, "pauses_stated",                                     \
	  "responses in which a target asked for a pause")                    \
	X(TARGETS_DOUBTED, "targets_doubted",                                 \
	  "targets whose process may have been replaced")                     \
	X(PASSED_ON, "passed_on",                                             \
	  "requests sent to a peer, as no target was reached")                \
	X(CONNECTS_LATE, "connects_late",                                     \
	  "connects that timed out for lack of time or capacity here")        \
	X(PERMITS, "permits",                                                 \
	  "permits received for targets that state a limit")                  \
	X(PERMITS_REFUSED, "permits_refused", "permits that a home refused")  \
	X(PERMITS_LAPSED, "permits_lapsed", "permits not used in time")       \
	X(TARGETS_COLD_SEEN, "targets_cold_seen",                             \
	  "times that a target became cold")                                  \
	X(TARGETS_PACED_SEEN, "targets_paced_seen",                           \
	  "times that the pace began to restrain a target")                   \
	X(COLD_ADMITTED, "cold_admitted",                                     \
	  "requests admitted to cold targets as their home")                  \
	X(COLD_REFUSED, "cold_refused",                                       \
	  "requests refused for cold targets as their home")                  \
	X(BUFFERS_DROPPED, "buffers_dropped",                                 \
	  "calls ended because the buffers were full")                        \
	X(SLOW_READERS, "slow_readers",                                       \
	  "callers cut because they read an answer too slowly")               \
	X(EJECTIONS, "ejections", "targets ejected as outliers")              \
	X(QUARANTINES, "quarantines", "requests put into quarantine")         \
	X(PART_CRASHES, "part_crashes",                                       \
	  "crashes counted for parts of prompts")                             \
	X(PART_QUARANTINES, "part_quarantines",                               \
	  "parts of prompts put into quarantine")                             \
	X(PART_RELEASES, "part_releases",                                     \
	  "parts of prompts released from quarantine")                        \
	X(PART_PROBES, "part_probes", "requests sent to probe a part")        \
	X(ORDERS_SENT, "orders_sent", "orders sent to targets")               \
	X(ORDERS_DONE, "orders_done", "orders that targets carried out")      \
	X(ORDERS_FENCED, "orders_fenced",                                     \
	  "orders refused for an old fencing number")                         \
	X(ORDERS_WAITED, "orders_waited",                                     \
	  "orders held back while an earlier one may run")                    \
	X(LOG_DROPPED, "log_dropped", "log lines dropped")                    \
	X(CALLERS_GONE, "callers_gone",                                       \
	  "callers that left before their answer")                            \
	X(CALLERS_MOVED, "callers_moved",                                     \
	  "connections closed so that other instances get their load")        \
	X(MSG_UNDELIVERED, "msg_undelivered", "messages without a receiver")

typedef enum counter_t {
#define X(id, name, help) COUNTER_##id,
	COUNTER_LIST(X)
#undef X
	COUNTER_COUNT,
} counter_t;

#define GAUGE_LIST(X)                                                        \
	X(REQUESTS_RUNNING, "requests_running", "requests in progress")      \
	X(CONNECTIONS, "connections", "connections of callers")              \
	X(QUEUE_LENGTH, "queue_length", "requests that wait for a target")   \
	X(MEMBERS_ALIVE, "members_alive", "routers seen alive")              \
	X(PEERS, "peers", "peers connected")                                 \
	X(TARGETS, "targets", "targets in the configuration")                \
	X(TARGETS_COLD, "targets_cold", "targets that are cold")             \
	X(TARGETS_PACED, "targets_paced", "targets that the pace restrains") \
	X(TARGETS_EJECTED, "targets_ejected", "targets ejected now")         \
	X(ZONES_EVACUATED, "zones_evacuated", "zones that get no requests")  \
	X(EVACUATED_RUNNING, "evacuated_running",                            \
	  "own requests that still run in evacuated zones")                  \
	X(CONF_REVISION, "conf_revision", "highest revision applied")        \
	X(CONF_UNREADABLE, "conf_unreadable",                                \
	  "1 while the newest configuration cannot be read")                 \
	X(CONF_PARTS_UNREADABLE, "conf_parts_unreadable",                    \
	  "parts of the configuration in force that cannot be read")         \
	X(GRANT_TOKENS, "grant_tokens", "tokens granted and not yet spent")  \
	X(WITHHELD_TOKENS, "withheld_tokens",                                \
	  "tokens of dead routers that wait for budget reclaim")             \
	X(BILLS_PENDING, "bills_pending", "bills not yet in the store")      \
	X(PROTECTED, "protected", "1 when bills reach store or buddy")       \
	X(BUFFERED_BYTES, "buffered_bytes",                                  \
	  "bytes held for calls in progress")                                \
	X(UNREACHABLE, "unreachable", "1 while no target is reached")        \
	X(ZONES_CUT, "zones_cut",                                            \
	  "availability zones of which no target is reached")                \
	X(BEHIND, "behind", "1 while input or timers wait too long")         \
	X(LINK_IN, "link_in_percent", "bytes received, of the link, %")      \
	X(LINK_OUT, "link_out_percent", "bytes sent, of the link, %")        \
	X(ADMISSION_RATE, "admission_rate_percent",                          \
	  "rate of admitted load, of the usual one, %")                      \
	X(STORE_UP, "store_up", "1 when the store answered last time")       \
	X(STORE_ERA, "store_era", "restores of the store, as it states them")

typedef enum gauge_t {
#define X(id, name, help) GAUGE_##id,
	GAUGE_LIST(X)
#undef X
	GAUGE_COUNT,
} gauge_t;

#define HISTOGRAM_LIST(X)                                             \
	X(QUEUE_WAIT, "queue_wait", "wait for a target")              \
	X(FIRST_BYTE, "first_byte", "time to a target's first byte")  \
	X(REQUEST, "request", "time from a request to its last byte") \
	X(STORE_CALL, "store_call", "time of a call to the store")    \
	X(BILL, "bill", "time from a bill to its record")             \
	X(LOOP_TURN, "loop_turn", "turn of the main loop")            \
	X(TIMER_LATE, "timer_late", "time by which a timer was late") \
	X(INPUT_WAIT, "input_wait",                                   \
	  "longest wait of input in a turn of the loop")

typedef enum histogram_id_t {
#define X(id, name, help) HISTOGRAM_##id,
	HISTOGRAM_LIST(X)
#undef X
	HISTOGRAM_COUNT,
} histogram_id_t;

#define HISTOGRAM_BUCKETS 28 /* bucket n counts durations up to 2^n us */

typedef struct histogram_t {
	uint64_t buckets[HISTOGRAM_BUCKETS];
	uint64_t count;
	uint64_t sum_us;
} histogram_t;

typedef struct metrics_t {
	uint64_t counters[COUNTER_COUNT];
	int64_t gauges[GAUGE_COUNT];
	uint64_t refusals[REFUSAL_COUNT];
	uint64_t retries[FAILURE_COUNT];
	uint64_t passed_over[PASS_COUNT];
	histogram_t histograms[HISTOGRAM_COUNT];
} metrics_t;

metrics_t *metrics_new(void);
void metrics_free(metrics_t *metrics);
void metrics_add(metrics_t *metrics, counter_t counter, uint64_t n);
void metrics_set(metrics_t *metrics, gauge_t gauge, int64_t value);
void metrics_refusal(metrics_t *metrics, refusal_t reason);
void metrics_retry(metrics_t *metrics, failure_t reason);
/* Counts targets that were passed over for one request. */
void metrics_passed_over(metrics_t *metrics, pass_reason_t reason, uint64_t n);
void metrics_observe(metrics_t *metrics, histogram_id_t id, int64_t us);

/* Appends all metrics in the Prometheus text format. */
void metrics_print(const metrics_t *metrics, GString *out);

G_END_DECLS

#endif
