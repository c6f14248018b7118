#include "kernel/table.h"

#include <string.h>

#define CHUNK_SLOTS 64

typedef struct slot_t {
	uint32_t gen;
	uint32_t next_free; /* index + 1 of the next free slot */
	bool live;
	_Alignas(16) char data[];
} slot_t;

static size_t slot_size(const table_t *table)
{
	return sizeof(slot_t) + ((table->entry_size + 15) & ~(size_t)15);
}

static slot_t *slot_at(const table_t *table, uint32_t index)
{
	char *chunk = g_ptr_array_index(table->chunks, index / CHUNK_SLOTS);

	return (slot_t *)(chunk + (index % CHUNK_SLOTS) * slot_size(table));
}

void table_init(table_t *table, size_t entry_size)
{
	memset(table, 0, sizeof(*table));
	table->entry_size = entry_size;
	table->chunks = g_ptr_array_new_with_free_func(g_free);
}

void table_finish(table_t *table)
{
	g_ptr_array_unref(table->chunks);
	memset(table, 0, sizeof(*table));
}

handle_t table_add(table_t *table, void **entry)
{
	slot_t *slot;
	uint32_t index;

	if (table->free_head != 0) {
		index = table->free_head - 1;
		slot = slot_at(table, index);
		table->free_head = slot->next_free;
	} else {
		index = table->slots++;
		if (index / CHUNK_SLOTS >= table->chunks->len)
			g_ptr_array_add(
				table->chunks,
				g_malloc0(CHUNK_SLOTS * slot_size(table)));
		slot = slot_at(table, index);
		slot->gen = 1;
	}
	slot->live = true;
	memset(slot->data, 0, table->entry_size);
	table->live++;
	*entry = slot->data;
	return (handle_t){index, slot->gen};
}

static slot_t *slot_find(const table_t *table, handle_t handle)
{
	slot_t *slot;

	if (handle.gen == 0 || handle.index >= table->slots)
		return NULL;
	slot = slot_at(table, handle.index);
	if (!slot->live || slot->gen != handle.gen)
		return NULL;
	return slot;
}

void *table_get(const table_t *table, handle_t handle)
{
	slot_t *slot = slot_find(table, handle);

	return slot == NULL ? NULL : slot->data;
}

void table_remove(table_t *table, handle_t handle)
{
	slot_t *slot = slot_find(table, handle);

	if (slot == NULL)
		return;
	slot->live = false;
	/* Generation 0 marks HANDLE_NONE and is skipped on wrap-around. */
	if (++slot->gen == 0)
		slot->gen = 1;
	slot->next_free = table->free_head;
	table->free_head = handle.index + 1;
	table->live--;
}

void *table_next(const table_t *table, uint32_t *cursor, handle_t *handle)
{
	slot_t *slot;

	while (*cursor < table->slots) {
		slot = slot_at(table, *cursor);
		if (slot->live) {
			if (handle != NULL)
				*handle = (handle_t){*cursor, slot->gen};
			(*cursor)++;
			return slot->data;
		}
		(*cursor)++;
	}
	return NULL;
}

uint32_t table_count(const table_t *table)
{
	return table->live;
}

bool handle_equal(handle_t a, handle_t b)
{
	return a.index == b.index && a.gen == b.gen;
}

bool handle_is_none(handle_t handle)
{
	return handle.gen == 0;
}
