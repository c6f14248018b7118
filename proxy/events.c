#include "proxy/events.h"

#include <string.h>

void events_init(events_t *events)
{
	memset(events, 0, sizeof(*events));
	events->partial = g_byte_array_new();
}

void events_finish(events_t *events)
{
	g_byte_array_unref(events->partial);
}

void events_cut(events_t *events)
{
	g_byte_array_set_size(events->partial, 0);
}

static void read_line(events_t *events, const char *line, size_t len)
{
	static const char field[] = "id:";
	size_t skip = strlen(field);

	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (len < skip || memcmp(line, field, skip) != 0)
		return;
	if (len > skip && line[skip] == ' ')
		skip++;
	events->count++;
	g_snprintf(events->last_id, sizeof(events->last_id), "%.*s",
		   (int)(len - skip), line + skip);
}

/* Length up to the end of the last whole event; its ids are noted. */
static size_t whole_length(events_t *events)
{
	const char *data = (const char *)events->partial->data;
	size_t len = events->partial->len, line = 0, whole = 0, read = 0;

	for (size_t i = 0; i < len; i++) {
		if (data[i] != '\n')
			continue;
		if (i == line || (i == line + 1 && data[line] == '\r'))
			whole = i + 1;
		line = i + 1;
	}
	for (size_t i = 0; i < whole; i++) {
		if (data[i] != '\n')
			continue;
		read_line(events, data + read, i - read);
		read = i + 1;
	}
	return whole;
}

GBytes *events_feed(events_t *events, GBytes *bytes)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(bytes, &size);
	GBytes *result;
	size_t whole;

	g_byte_array_append(events->partial, data, (guint)size);
	whole = whole_length(events);
	if (whole == 0)
		return NULL;
	result = g_bytes_new(events->partial->data, whole);
	g_byte_array_remove_range(events->partial, 0, (guint)whole);
	return result;
}
