/*
 * Counts the tokens of an OpenAI-style answer as its bytes arrive, in any
 * split.  The target's own usage record, where there is one, decides.
 */
#ifndef DISPATCH_TOKENS_H
#define DISPATCH_TOKENS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define TOKENS_LINE_BYTES_MAX 262144 /* bytes of one event-stream line */
#define TOKENS_BODY_BYTES_MAX 4194304 /* bytes of a whole answer kept */
#define TOKENS_USAGE_COUNT_MAX (INT64_C(1) << 40) /* larger usage is ignored \
						   */

typedef struct tokens_t {
	bool sse;
	bool done; /* "data: [DONE]" was seen */
	bool too_long; /* the rest of the line or body is too long to read */
	GByteArray *buffered; /* an incomplete line, or a whole answer */
	int64_t content_records; /* records with content */
	bool usage_known;
	int64_t prompt_tokens;
	int64_t completion_tokens;
} tokens_t;

void tokens_init(tokens_t *tokens, bool sse);
void tokens_finish(tokens_t *tokens);

/* Returns the number of tokens in the records that these bytes complete. */
int64_t tokens_feed(tokens_t *tokens, const char *data, size_t len);
/* The answer is complete: reads the usage of an answer in one piece. */
void tokens_end(tokens_t *tokens);

G_END_DECLS

#endif
