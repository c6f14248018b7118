#include "proxy/sse.h"

#include <string.h>

void sse_init(sse_t *sse)
{
	memset(sse, 0, sizeof(*sse));
	sse->partial = g_byte_array_new();
	sse->last_id = g_string_new(NULL);
}

void sse_finish(sse_t *sse)
{
	g_string_free(sse->last_id, TRUE);
	g_byte_array_unref(sse->partial);
}

void sse_discard_partial(sse_t *sse)
{
	/* An array that is only emptied keeps its memory. */
	if (sse->partial->len == 0)
		return;
	g_byte_array_unref(sse->partial);
	sse->partial = g_byte_array_new();
}

static void parse_line(sse_t *sse, const char *line, size_t len)
{
	static const char field[] = "id:";
	size_t skip = strlen(field);

	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len < skip || memcmp(line, field, skip) != 0)
		return;
	if (len > skip && line[skip] == ' ')
		skip++;
	sse->count++;
	g_string_truncate(sse->last_id, 0);
	g_string_append_len(sse->last_id, line + skip, (gssize)(len - skip));
}

/* Returns the length of the complete events and records their ids. */
static size_t complete_length(sse_t *sse)
{
	const char *data = (const char *)sse->partial->data;
	size_t len = sse->partial->len, line = 0, complete = 0, next = 0;

	for (size_t i = 0; i < len; i++) {
		if (data[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && data[line] == '\r'))
			complete = i + 1;
		line = i + 1;
	}
	for (size_t i = 0; i < complete; i++) {
		if (data[i] != '\n')
			continue;
		parse_line(sse, data + next, i - next);
		next = i + 1;
	}
	return complete;
}

GBytes *sse_feed(sse_t *sse, GBytes *bytes)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(bytes, &size);
	GBytes *result;
	size_t complete;

	g_byte_array_append(sse->partial, data, (guint)size);
	complete = complete_length(sse);
	if (complete == 0)
		return NULL;
	result = g_bytes_new(sse->partial->data, complete);
	g_byte_array_remove_range(sse->partial, 0, (guint)complete);
	return result;
}
