/*
 * Tables of fixed-size entries, addressed by handles of an index and a
 * generation.  The generation changes when an entry is removed, so a stale
 * handle resolves to NULL.  Pointers to an entry stay valid until the entry is
 * removed.
 */
#ifndef KERNEL_TABLE_H
#define KERNEL_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

typedef struct handle_t {
	uint32_t index;
	uint32_t gen; /* never 0 in a valid handle */
} handle_t;

#define HANDLE_NONE ((handle_t){0, 0})

typedef struct table_t {
	size_t entry_size;
	GPtrArray *chunks;
	uint32_t slots; /* slots ever allocated */
	uint32_t live;
	uint32_t free_head; /* index + 1 of the first free slot, 0 if none */
} table_t;

void table_init(table_t *table, size_t entry_size);
void table_finish(table_t *table);

/* Adds a zeroed entry and returns its handle; *entry receives the pointer. */
handle_t table_add(table_t *table, void **entry);

/* Returns the entry, or NULL if the handle is stale. */
void *table_get(const table_t *table, handle_t handle);

/* Removes the entry; a stale handle is ignored. */
void table_remove(table_t *table, handle_t handle);

/* Returns the next live entry at or after *cursor, or NULL at the end. */
void *table_next(const table_t *table, uint32_t *cursor, handle_t *handle);

uint32_t table_count(const table_t *table);

bool handle_equal(handle_t a, handle_t b);
bool handle_is_none(handle_t handle);

G_END_DECLS

#endif
