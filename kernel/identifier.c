#include "kernel/identifier.h"

#include <string.h>

/* A text that looks like a digest must not pass for the text that has it. */
static bool looks_like_digest(const char *text)
{
	gsize prefix = strlen(IDENTIFIER_DIGEST_PREFIX);

	return g_str_has_prefix(text, IDENTIFIER_DIGEST_PREFIX) &&
	       strlen(text) == prefix + IDENTIFIER_DIGEST_LEN;
}

void identifier_set_digest(char *to, gsize size, const char *text)
{
	char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

	g_assert(size >= IDENTIFIER_SIZE_MIN);
	g_snprintf(to, size, IDENTIFIER_DIGEST_PREFIX "%.*s",
		   IDENTIFIER_DIGEST_LEN, digest);
	g_free(digest);
}

void identifier_set(char *to, gsize size, const char *text)
{
	if (strlen(text) < size && !looks_like_digest(text))
		g_strlcpy(to, text, size);
	else
		identifier_set_digest(to, size, text);
}

bool identifier_matches(const char *identifier, gsize size, const char *text)
{
	char other[IDENTIFIER_SIZE_MIN];

	if (strlen(text) < size && !looks_like_digest(text))
		return strcmp(identifier, text) == 0;
	identifier_set_digest(other, sizeof(other), text);
	return strcmp(identifier, other) == 0;
}
