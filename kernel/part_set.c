#include "kernel/part_set.h"

#include <string.h>

part_set_t part_set_of(uint64_t part)
{
	part_set_t set = {.count = 1, .parts = {part}};

	return set;
}

/* Returns the place of the part, or where it is to be inserted. */
static uint32_t find_place(const part_set_t *set, uint64_t part)
{
	uint32_t place = 0;

	while (place < set->count && set->parts[place] < part)
		place++;
	return place;
}

bool part_set_contains(const part_set_t *set, uint64_t part)
{
	uint32_t place = find_place(set, part);

	return place < set->count && set->parts[place] == part;
}

bool part_set_add(part_set_t *set, uint64_t part)
{
	uint32_t place = find_place(set, part);

	if (place < set->count && set->parts[place] == part)
		return true;
	if (set->count == PART_SET_MAX)
		return false;
	memmove(&set->parts[place + 1], &set->parts[place],
		(set->count - place) * sizeof(part));
	set->parts[place] = part;
	set->count++;
	return true;
}

bool part_set_equal(const part_set_t *a, const part_set_t *b)
{
	return a->count == b->count &&
	       memcmp(a->parts, b->parts, a->count * sizeof(a->parts[0])) == 0;
}

bool part_set_includes(const part_set_t *set, const part_set_t *subset)
{
	return part_set_is_within(subset, set->parts, set->count);
}

static bool is_listed(uint64_t part, const uint64_t *parts, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		if (parts[i] == part)
			return true;
	}
	return false;
}

bool part_set_is_within(const part_set_t *set, const uint64_t *parts,
			uint32_t count)
{
	for (uint32_t i = 0; i < set->count; i++) {
		if (!is_listed(set->parts[i], parts, count))
			return false;
	}
	return true;
}

const char *part_set_format(const part_set_t *set,
			    char text[PART_SET_TEXT_SIZE])
{
	size_t len = 0;

	text[0] = '\0';
	for (uint32_t i = 0; i < set->count; i++)
		len += (size_t)g_snprintf(text + len, PART_SET_TEXT_SIZE - len,
					  "%s" PART_FORMAT, i > 0 ? ":" : "",
					  set->parts[i]);
	return text;
}

bool part_set_parse(const char *text, part_set_t *set)
{
	g_auto(GStrv) ids = g_strsplit(text, ":", -1);
	uint64_t part;

	*set = (part_set_t){.count = 0};
	for (uint32_t i = 0; ids[i] != NULL; i++) {
		if (!g_ascii_string_to_unsigned(ids[i], 16, 0, UINT64_MAX,
						&part, NULL) ||
		    !part_set_add(set, part))
			return false;
	}
	return set->count > 0;
}
