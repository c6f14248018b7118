#include "kernel/hash.h"

uint64_t hash_mix(uint64_t hash)
{
	hash = (hash ^ (hash >> 30)) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
	hash = (hash ^ (hash >> 27)) * G_GUINT64_CONSTANT(0x94d049bb133111eb);
	return hash ^ (hash >> 31);
}

static uint64_t fnv1a(uint64_t hash, const char *text)
{
	/* The terminator is hashed too, which separates the two names. */
	do {
		hash = (hash ^ (unsigned char)*text) *
		       G_GUINT64_CONSTANT(0x100000001b3);
	} while (*text++ != '\0');
	return hash;
}

uint64_t hash_rendezvous(const char *candidate, const char *item)
{
	uint64_t hash = G_GUINT64_CONSTANT(0xcbf29ce484222325);

	/* In FNV-1a, the last bytes hardly change the high bits. */
	return hash_mix(fnv1a(fnv1a(hash, candidate), item));
}
