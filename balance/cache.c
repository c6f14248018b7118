#include "balance/cache.h"

#define MEMORY_DIVISOR 16
#define PART_BYTES 160 /* of a part, with its place in the table */
#define PARTS_MIN 1024

typedef struct cached_part_t {
	cache_t *cache;
	uint64_t id;
	uint32_t tokens;
	GList link; /* in cache_t.lru */
	GList link_all; /* in caches_t.lru */
} cached_part_t;

void caches_init(caches_t *caches, uint64_t memory)
{
	uint64_t parts = memory / MEMORY_DIVISOR / PART_BYTES;

	g_queue_init(&caches->lru);
	caches->max_parts = (uint32_t)CLAMP(parts, PARTS_MIN, G_MAXUINT32);
}

void cache_init(cache_t *cache, caches_t *all)
{
	cache->all = all;
	cache->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	g_queue_init(&cache->lru);
	cache->tokens = 0;
	cache->max_tokens = 0;
}

static void remove_part(cached_part_t *part)
{
	cache_t *cache = part->cache;

	g_queue_unlink(&cache->lru, &part->link);
	g_queue_unlink(&cache->all->lru, &part->link_all);
	cache->tokens -= part->tokens;
	g_hash_table_remove(cache->parts, &part->id);
}

void cache_clear(cache_t *cache)
{
	while (cache->lru.head != NULL)
		remove_part(cache->lru.head->data);
}

void cache_finish(cache_t *cache)
{
	cache_clear(cache);
	g_hash_table_unref(cache->parts);
}

static cached_part_t *add_part(cache_t *cache, const prompt_part_t *from)
{
	cached_part_t *part = g_new0(cached_part_t, 1);

	part->cache = cache;
	part->id = from->id;
	part->tokens = from->tokens;
	part->link.data = part;
	part->link_all.data = part;
	g_hash_table_insert(cache->parts, &part->id, part);
	cache->tokens += part->tokens;
	return part;
}

void cache_add(cache_t *cache, const prompt_part_t *parts, uint32_t count)
{
	caches_t *all = cache->all;

	for (uint32_t i = 0; i < count; i++) {
		cached_part_t *part =
			g_hash_table_lookup(cache->parts, &parts[i].id);

		if (part != NULL) {
			g_queue_unlink(&cache->lru, &part->link);
			g_queue_unlink(&all->lru, &part->link_all);
		} else {
			part = add_part(cache, &parts[i]);
		}
		g_queue_push_tail_link(&cache->lru, &part->link);
		g_queue_push_tail_link(&all->lru, &part->link_all);
		if (all->lru.length > all->max_parts)
			remove_part(all->lru.head->data);
	}
	while (cache->tokens > cache->max_tokens && cache->lru.head != NULL)
		remove_part(cache->lru.head->data);
}

int64_t cache_tokens(const cache_t *cache, const prompt_part_t *parts,
		     uint32_t count)
{
	int64_t tokens = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!g_hash_table_contains(cache->parts, &parts[i].id))
			break;
		tokens += parts[i].tokens;
	}
	return tokens;
}
