/*
 * What targets have cached of prompts, judging by the requests that this
 * instance sent to them.  The parts of all targets together are bounded: the
 * one that has not been used for the longest time gives way.
 */
#ifndef BALANCE_CACHE_H
#define BALANCE_CACHE_H

#include "kernel/exchange.h"

G_BEGIN_DECLS

/* The parts of all targets. */
typedef struct caches_t {
	GQueue lru; /* cached_part_t, least recently used first */
	uint32_t max_parts;
} caches_t;

/* The parts of one target. */
typedef struct cache_t {
	caches_t *all;
	GHashTable *parts; /* id -> cached_part_t */
	GQueue lru; /* cached_part_t, least recently used first */
	int64_t tokens;
	int64_t max_tokens; /* that the target holds */
} cache_t;

/* A small part of the memory of the process, in bytes, is used for parts. */
void caches_init(caches_t *caches, uint64_t memory);

void cache_init(cache_t *cache, caches_t *all);
void cache_finish(cache_t *cache);
void cache_clear(cache_t *cache);
/* Counts a request with these parts, which the target is about to read. */
void cache_add(cache_t *cache, const prompt_part_t *parts, uint32_t count);
/* Returns the tokens of the leading parts that are cached. */
int64_t cache_tokens(const cache_t *cache, const prompt_part_t *parts,
		     uint32_t count);

G_END_DECLS

#endif
