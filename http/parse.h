/*
 * Incremental HTTP/1.1 parsing by the library http-parser.  Bytes go in, and
 * the state, the head and the body bytes that have come are read from the
 * structure; nothing is called back.
 */
#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

#include "kernel/http.h"

#include <http_parser.h>

G_BEGIN_DECLS

typedef enum http_state_t {
	HTTP_STATE_IDLE, /* no byte of a message has come */
	HTTP_STATE_HEAD,
	HTTP_STATE_BODY,
	HTTP_STATE_COMPLETE,
	HTTP_STATE_ERROR, /* not HTTP, or two different lengths */
} http_state_t;

typedef struct http_parse_t {
	http_parser parser;
	http_state_t state;
	http_head_t *head; /* complete from HTTP_STATE_BODY on */
	GString *uri;
	GString *name;
	GString *value;
	bool in_value;
	GByteArray *body; /* bytes not yet taken */
	size_t head_bytes;
	size_t max_head; /* bytes, 0: the library's limit */
	bool too_large; /* the head exceeds max_head */
	bool keep_alive; /* the connection may serve another message */
	bool until_eof; /* the body ends with the connection */
} http_parse_t;

void http_parse_init(http_parse_t *parse, bool response);
void http_parse_finish(http_parse_t *parse);
/* Forgets the message, for the next one on the connection. */
void http_parse_reset(http_parse_t *parse);

/*
 * Takes bytes up to the end of the message and returns how many; the rest
 * belongs to the next message.
 */
size_t http_parse_feed(http_parse_t *parse, const char *data, size_t len);
/* The input has ended in good form. */
void http_parse_eof(http_parse_t *parse);

/* The body bytes that have come, or NULL when there are none. */
GBytes *http_parse_take_body(http_parse_t *parse);
http_head_t *http_parse_take_head(http_parse_t *parse);

/* Length of the body that the head states, or -1. */
int64_t http_parse_content_length(const http_parse_t *parse);

/* Appends the head on the wire, with the empty line. */
void http_head_write(const http_head_t *head, GByteArray *out);

G_END_DECLS

#endif
