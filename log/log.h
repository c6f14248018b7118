/*
 * Event log: one line of key=value pairs for each event, through log4c, on
 * standard output.  Lines beyond a rate, and lines that the reader is too slow
 * for, are dropped and counted.
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

/* Before log_init() and after log_finish() events are dropped. */
int log_init(log_level_t level, const char *instance);
void log_finish(void);
/* Lines dropped since the start. */
uint64_t log_dropped(void);
void log_set_level(log_level_t level);
/* "error", "warn", "info" or "debug"; info for any other text. */
log_level_t log_level_parse(const char *text);

/*
 * Writes "time=... level=... instance=... service=... event=..." and the
 * given pairs.  Text that comes from outside goes through log_quote().
 */
void log_event(log_level_t level, const char *service, const char *event,
	       const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/*
 * Returns text in double quotes with control characters escaped.  The result
 * is one of a few static buffers and lasts for the log line.
 */
const char *log_quote(const char *text);

G_END_DECLS

#endif
