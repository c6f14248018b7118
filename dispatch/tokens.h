/*
 * Counts the tokens of an OpenAI-style response as its bytes arrive, however
 * they are split.  A usage record of the target takes precedence over the
 * count.
 */
#ifndef DISPATCH_TOKENS_H
#define DISPATCH_TOKENS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define TOKENS_LINE_BYTES_MAX 262144 /* longest line of an event stream */
#define TOKENS_BODY_BYTES_MAX 4194304 /* longest response in one piece */
/* A usage record with a larger count is ignored. */
#define TOKENS_USAGE_MAX (INT64_C(1) << 40)

typedef struct tokens_t {
	bool sse;
	bool done; /* "data: [DONE]" has arrived */
	bool too_long; /* the rest of the line or body is skipped */
	GByteArray *buffered; /* an incomplete line, or a whole response */
	int64_t content_records; /* event-stream records with content */
	bool usage_known;
	int64_t prompt_tokens;
	int64_t completion_tokens;
} tokens_t;

void tokens_init(tokens_t *tokens, bool sse);
void tokens_finish(tokens_t *tokens);

/* Returns the number of tokens in the records that the bytes complete. */
int64_t tokens_feed(tokens_t *tokens, const char *data, size_t len);
/*
 * Ends the response and parses the usage record of a response that is no event
 * stream.
 */
void tokens_end(tokens_t *tokens);

G_END_DECLS

#endif
