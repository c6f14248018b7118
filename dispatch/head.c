#include "dispatch/head.h"

#include <string.h>

#define LINE_END 2 /* bytes */

/* Returns the size of the lines in their usual form, without the empty one. */
static guint64 lines_size(SoupMessage *msg)
{
	const char *reason = soup_message_get_reason_phrase(msg);
	guint64 size = strlen("HTTP/1.1 200") + LINE_END;
	SoupMessageHeadersIter iter;
	const char *name, *value;

	if (reason != NULL && reason[0] != '\0')
		size += 1 + strlen(reason);
	soup_message_headers_iter_init(&iter,
				       soup_message_get_response_headers(msg));
	while (soup_message_headers_iter_next(&iter, &name, &value))
		size += strlen(name) + strlen(": ") + strlen(value) + LINE_END;
	return size;
}

bool head_has_end(SoupMessage *msg)
{
	SoupMessageMetrics *metrics = soup_message_get_metrics(msg);
	guint64 received;

	if (metrics == NULL)
		return false;
	received = soup_message_metrics_get_response_header_bytes_received(
		metrics);
	return received == lines_size(msg) + LINE_END;
}
