/*
 * The start line and header fields of an HTTP/1.1 message as plain data, for
 * messages between services.  http/ encodes and decodes them.
 */
#ifndef KERNEL_HTTP_H
#define KERNEL_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct http_field_t {
	char *name;
	char *value;
} http_field_t;

typedef struct http_head_t {
	char *method; /* requests only */
	char *uri; /* requests only: path and query */
	uint32_t status; /* responses only */
	GArray *fields; /* http_field_t, in order of transmission */
	size_t text_bytes; /* of the names and values */
} http_head_t;

http_head_t *http_head_new(void);
http_head_t *http_head_request(const char *method, const char *uri);
http_head_t *http_head_response(uint32_t status);
http_head_t *http_head_copy(const http_head_t *head);
void http_head_free(http_head_t *head);
/* Returns the memory of a head, which may be NULL. */
size_t http_head_memory(const http_head_t *head);

void http_head_add(http_head_t *head, const char *name, const char *value);
void http_head_add_int(http_head_t *head, const char *name, int64_t value);
/* Returns the first value of a field, ignoring case in the name, or NULL. */
const char *http_head_get(const http_head_t *head, const char *name);
/* True if a comma-separated field contains the token, ignoring case. */
bool http_head_has_token(const http_head_t *head, const char *name,
			 const char *token);
bool http_status_is_success(uint32_t status);
/* True for fields that concern one connection only and are never forwarded. */
bool http_field_is_hop_by_hop(const char *name);

/*
 * Parses a decimal integer from 0 to max.  On error, returns false and leaves
 * *value unchanged.
 */
bool http_parse_uint(const char *text, uint64_t max, uint64_t *value);
/*
 * Parses a decimal number that is not negative and has no exponent.  On error,
 * returns false and leaves *value unchanged.
 */
bool http_parse_decimal(const char *text, double *value);

G_END_DECLS

#endif
