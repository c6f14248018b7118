#include "log/log.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE 2048 /* bytes */
#define QUOTE_BUFFERS 4
#define QUOTE_SIZE 320 /* bytes */
#define INSTANCE_SIZE 64 /* bytes */
/*
 * Limits of the token bucket: lines per second and lines in a burst.  A request
 * writes two or three lines, and an instance serves at most a few hundred
 * requests per second.
 */
#define LINES_PER_SEC 600
#define LINES_BURST 1200

static log4c_category_t *category;
static log_level_t threshold;
static char instance_name[INSTANCE_SIZE];
static double rate_tokens = LINES_BURST; /* lines that may be written now */
static int64_t rate_tokens_at; /* time of the last refill; monotonic, us */
static uint64_t dropped; /* lines dropped since the start */
static uint64_t dropped_reported; /* value of dropped when last logged */

static const char *const level_names[] = {
	[LOG_LEVEL_ERROR] = "error",
	[LOG_LEVEL_WARN] = "warn",
	[LOG_LEVEL_INFO] = "info",
	[LOG_LEVEL_DEBUG] = "debug",
};

static const int priorities[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

/* Lines reach log4c complete; the layout only adds a newline. */
static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	static char line[LINE_SIZE + 2];

	(void)layout;
	g_snprintf(line, sizeof(line), "%s\n", event->evt_msg);
	return line;
}

static const log4c_layout_type_t line_layout = {
	.name = "tanagertrestle_line",
	.format = format_line,
};

/* Takes a token from the bucket; returns false if the rate is exceeded. */
static bool rate_limit_take(void)
{
	int64_t now = g_get_monotonic_time();

	rate_tokens +=
		(double)(now - rate_tokens_at) / G_USEC_PER_SEC * LINES_PER_SEC;
	rate_tokens = MIN(rate_tokens, LINES_BURST);
	rate_tokens_at = now;
	if (rate_tokens < 1.0)
		return false;
	rate_tokens -= 1.0;
	return true;
}

/* True if a write would block: a slow reader must not stop the process. */
static bool would_block(void)
{
	struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0;
}

static bool write_line(const char *line)
{
	size_t len = strlen(line);

	return !would_block() &&
	       write(STDOUT_FILENO, line, len) == (ssize_t)len;
}

/* Replaces log4c's stream appender, which prefixes each line with its name. */
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	char line[LINE_SIZE];

	(void)appender;
	if (!rate_limit_take() || !write_line(event->evt_rendered_msg)) {
		dropped++;
		return 0;
	}
	if (dropped > dropped_reported) {
		g_snprintf(line, sizeof(line),
			   "instance=%s service=log event=dropped "
			   "lines=%" G_GUINT64_FORMAT "\n",
			   instance_name, dropped - dropped_reported);
		if (write_line(line))
			dropped_reported = dropped;
	}
	return 0;
}

uint64_t log_dropped(void)
{
	return dropped;
}

static const log4c_appender_type_t line_appender = {
	.name = "tanagertrestle_stdout",
	.append = append_line,
};

int log_init(log_level_t level, const char *instance)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	if (log4c_init() != 0)
		return -1;
	log4c_layout_type_set(&line_layout);
	log4c_appender_type_set(&line_appender);
	category = log4c_category_get("tanagertrestle");
	appender = log4c_appender_get("tanagertrestle_stdout");
	layout = log4c_layout_get("tanagertrestle_line");
	if (category == NULL || appender == NULL || layout == NULL) {
		category = NULL;
		return -1;
	}
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_set_type(appender, &line_appender);
	log4c_appender_set_layout(appender, layout);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priorities[level]);
	threshold = level;
	g_strlcpy(instance_name, instance, sizeof(instance_name));
	return 0;
}

void log_set_level(log_level_t level)
{
	threshold = level;
	if (category != NULL)
		log4c_category_set_priority(category, priorities[level]);
}

log_level_t log_level_parse(const char *text)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (strcmp(text, level_names[i]) == 0)
			return (log_level_t)i;
	return LOG_LEVEL_INFO;
}

void log_finish(void)
{
	if (category == NULL)
		return;
	category = NULL;
	log4c_fini();
}

void log_event(log_level_t level, const char *service, const char *event,
	       const char *fmt, ...)
{
	char pairs[LINE_SIZE];
	char line[LINE_SIZE];
	gint64 now;
	GDateTime *time;
	g_autofree char *stamp = NULL;
	va_list ap;

	if (category == NULL || level > threshold)
		return;
	va_start(ap, fmt);
	g_vsnprintf(pairs, sizeof(pairs), fmt, ap);
	va_end(ap);
	now = g_get_real_time();
	time = g_date_time_new_from_unix_utc(now / G_USEC_PER_SEC);
	stamp = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
	g_date_time_unref(time);
	g_snprintf(line, sizeof(line),
		   "time=%s.%06dZ level=%s instance=%s service=%s event=%s%s%s",
		   stamp, (int)(now % G_USEC_PER_SEC), level_names[level],
		   instance_name, service, event, pairs[0] == '\0' ? "" : " ",
		   pairs);
	log4c_category_log(category, priorities[level], "%s", line);
}

const char *log_quote(const char *text)
{
	static char buffers[QUOTE_BUFFERS][QUOTE_SIZE];
	static unsigned int next;
	char *out = buffers[next++ % QUOTE_BUFFERS];
	size_t used = 0;

	out[used++] = '"';
	/* An escape, the closing quote and the terminator take 6 bytes. */
	for (const char *p = text; *p != '\0' && used < QUOTE_SIZE - 6; p++) {
		if (*p == '"' || *p == '\\') {
			out[used++] = '\\';
			out[used++] = *p;
		} else if ((unsigned char)*p < 0x20 || *p == 0x7f) {
			used += (size_t)g_snprintf(out + used, 5, "\\x%02x",
						   (unsigned char)*p);
		} else {
			out[used++] = *p;
		}
	}
	out[used++] = '"';
	out[used] = '\0';
	return out;
}
