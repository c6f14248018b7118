/*
 * Event log: writes one line of key=value pairs per event through log4c to
 * standard output.  Lines that exceed a rate limit or would block on a slow
 * reader are dropped and counted.
 */
#ifndef LOG_LOG_H
#define LOG_LOG_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef enum log_level_t {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
} log_level_t;

/* Events before log_init() and after log_finish() are discarded. */
int log_init(log_level_t level, const char *instance);
void log_finish(void);
/* Returns the number of lines dropped since the start. */
uint64_t log_dropped(void);
void log_set_level(log_level_t level);
/* Parses "error", "warn", "info" or "debug"; other text means info. */
log_level_t log_level_parse(const char *text);

/*
 * Writes "time=... level=... instance=... service=... event=..." and the
 * given pairs.  Text from outside the process must go through log_quote().
 */
void log_event(log_level_t level, const char *service, const char *event,
	       const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/*
 * Returns text in double quotes with control characters escaped.  The result is
 * one of a few static buffers, which later calls overwrite.
 */
const char *log_quote(const char *text);

G_END_DECLS

#endif
