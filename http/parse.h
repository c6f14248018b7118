/*
 * Incremental HTTP/1.1 parser on top of the library http-parser.  The user
 * feeds bytes and reads the state, the head and the body received so far from
 * the structure; there are no callbacks.
 */
#ifndef HTTP_PARSE_H
#define HTTP_PARSE_H

#include "kernel/http.h"

#include <http_parser.h>

G_BEGIN_DECLS

typedef enum http_state_t {
	HTTP_STATE_IDLE, /* no byte of a message was received */
	HTTP_STATE_HEAD,
	HTTP_STATE_BODY,
	HTTP_STATE_COMPLETE,
	/*
	 * Invalid, truncated or too large, with conflicting lengths, or a
	 * response whose status is none.
	 */
	HTTP_STATE_ERROR,
} http_state_t;

typedef struct http_parse_t {
	http_parser parser;
	http_state_t state;
	http_head_t *head; /* complete from HTTP_STATE_BODY on */
	GString *uri;
	GString *name; /* name of the field being parsed */
	GString *value;
	bool in_value;
	GByteArray *body; /* bytes received and not yet taken */
	size_t head_bytes;
	size_t max_head; /* bytes */
	size_t max_fields;
	bool too_large; /* the head exceeds max_head or max_fields */
	uint64_t body_bytes; /* received so far */
	uint64_t framing; /* bytes around them: lines of chunks, extensions */
	bool padded; /* too much framing for so little body */
	bool keep_alive; /* the connection may serve another message */
	bool until_eof; /* the body ends with the connection */
} http_parse_t;

void http_parse_init(http_parse_t *parse, bool response);
void http_parse_finish(http_parse_t *parse);
/* Prepares for the next message on the connection. */
void http_parse_reset(http_parse_t *parse);

/*
 * Parses bytes up to the end of the message and returns their number.  The
 * remaining bytes belong to the next message.
 */
size_t http_parse_feed(http_parse_t *parse, const char *data, size_t len);
/* Handles an orderly end of the input, as opposed to a reset. */
void http_parse_eof(http_parse_t *parse);

/* Returns the body bytes received since the last call, or NULL if none. */
GBytes *http_parse_take_body(http_parse_t *parse);
http_head_t *http_parse_take_head(http_parse_t *parse);

/* Whether a body follows the complete head. */
bool http_parse_has_body(const http_parse_t *parse);
/*
 * True for CONNECT.  What follows the head belongs to the tunnel and must not
 * be parsed as requests.
 */
bool http_parse_asks_tunnel(const http_parse_t *parse);
/* Returns the memory of the message received so far. */
size_t http_parse_memory(const http_parse_t *parse);

/* Returns the Content-Length, or -1 if it is missing or invalid. */
int64_t http_parse_content_length(const http_parse_t *parse);

/* Appends the encoded head with its final empty line. */
void http_head_write(const http_head_t *head, GByteArray *out);

G_END_DECLS

#endif
