#include "kernel/http.h"

#include <string.h>

/*
 * Memory of a field beside its text: the two pointers, doubled as the array
 * doubles when it grows, and what the allocator needs for two strings.
 */
#define FIELD_MEMORY 80

static const char *const hop_by_hop[] = {
	"Connection", "Keep-Alive", "Proxy-Connection",	 "TE",
	"Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
	"Expect",
};

static void clear_field(gpointer data)
{
	http_field_t *field = data;

	g_free(field->name);
	g_free(field->value);
}

http_head_t *http_head_new(void)
{
	http_head_t *head = g_new0(http_head_t, 1);

	head->fields = g_array_new(FALSE, TRUE, sizeof(http_field_t));
	g_array_set_clear_func(head->fields, clear_field);
	return head;
}

http_head_t *http_head_request(const char *method, const char *uri)
{
	http_head_t *head = http_head_new();

	head->method = g_strdup(method);
	head->uri = g_strdup(uri);
	return head;
}

http_head_t *http_head_response(uint32_t status)
{
	http_head_t *head = http_head_new();

	head->status = status;
	return head;
}

http_head_t *http_head_copy(const http_head_t *head)
{
	http_head_t *copy = http_head_new();

	copy->method = g_strdup(head->method);
	copy->uri = g_strdup(head->uri);
	copy->status = head->status;
	for (guint i = 0; i < head->fields->len; i++) {
		const http_field_t *field =
			&g_array_index(head->fields, http_field_t, i);

		http_head_add(copy, field->name, field->value);
	}
	return copy;
}

void http_head_free(http_head_t *head)
{
	if (head == NULL)
		return;
	g_free(head->method);
	g_free(head->uri);
	g_array_unref(head->fields);
	g_free(head);
}

size_t http_head_memory(const http_head_t *head)
{
	if (head == NULL)
		return 0;
	return sizeof(*head) + head->text_bytes +
	       (size_t)head->fields->len * FIELD_MEMORY;
}

void http_head_add(http_head_t *head, const char *name, const char *value)
{
	http_field_t field = {g_strdup(name), g_strdup(value)};

	g_array_append_val(head->fields, field);
	head->text_bytes += strlen(name) + strlen(value);
}

void http_head_add_int(http_head_t *head, const char *name, int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	http_head_add(head, name, text);
}

const char *http_head_get(const http_head_t *head, const char *name)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const http_field_t *field =
			&g_array_index(head->fields, http_field_t, i);

		if (g_ascii_strcasecmp(field->name, name) == 0)
			return field->value;
	}
	return NULL;
}

static bool list_has_token(const char *list, const char *token)
{
	size_t len = strlen(token);

	while (*list != '\0') {
		list += strspn(list, " \t,");
		if (g_ascii_strncasecmp(list, token, len) == 0 &&
		    strchr(" \t,;", list[len]) != NULL)
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool http_head_has_token(const http_head_t *head, const char *name,
			 const char *token)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const http_field_t *field =
			&g_array_index(head->fields, http_field_t, i);

		if (g_ascii_strcasecmp(field->name, name) == 0 &&
		    list_has_token(field->value, token))
			return true;
	}
	return false;
}

bool http_status_is_success(uint32_t status)
{
	return status >= 200 && status < 300;
}

bool http_field_is_hop_by_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0)
			return true;
	return false;
}

bool http_parse_uint(const char *text, uint64_t max, uint64_t *value)
{
	guint64 number;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(text, 10, 0, max, &number, NULL))
		return false;
	*value = number;
	return true;
}

bool http_parse_decimal(const char *text, double *value)
{
	double number;
	char *end;

	if (text == NULL || strspn(text, "0123456789.") != strlen(text) ||
	    strpbrk(text, "0123456789") == NULL)
		return false;
	number = g_ascii_strtod(text, &end);
	if (*end != '\0')
		return false;
	*value = number;
	return true;
}
