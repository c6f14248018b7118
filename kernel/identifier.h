/*
 * Identifiers of bounded size for texts of any length, such as the names that
 * operators choose and the ids that callers send.  A text that fits is its own
 * identifier; a longer one is identified by its digest, so that texts that
 * agree in their first bytes stay apart.
 */
#ifndef KERNEL_IDENTIFIER_H
#define KERNEL_IDENTIFIER_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

#define IDENTIFIER_DIGEST_PREFIX "sha256-"
#define IDENTIFIER_DIGEST_LEN 40 /* hex digits of the SHA-256 digest */
/* Least size of a buffer for an identifier, with terminator. */
#define IDENTIFIER_SIZE_MIN \
	(sizeof(IDENTIFIER_DIGEST_PREFIX) + IDENTIFIER_DIGEST_LEN)

/* Sets the identifier of the text in a buffer of size bytes. */
void identifier_set(char *to, gsize size, const char *text);
/* The same with the digest, whether the text fits or not. */
void identifier_set_digest(char *to, gsize size, const char *text);
/* True if the text has that identifier in buffers of size bytes. */
bool identifier_matches(const char *identifier, gsize size, const char *text);

G_END_DECLS

#endif
