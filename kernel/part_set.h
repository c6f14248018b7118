/*
 * Sets of parts that prompts share, by the ids of the parts, and the crashes of
 * targets that are put down to them.
 */
#ifndef KERNEL_PART_SET_H
#define KERNEL_PART_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define PART_SET_MAX 32
#define PART_FORMAT "%" G_GINT64_MODIFIER "x"
/* Ids in hexadecimal, separated by colons, with terminator. */
#define PART_SET_TEXT_SIZE ((size_t)PART_SET_MAX * 17)

typedef struct part_set_t {
	uint32_t count;
	uint64_t parts[PART_SET_MAX]; /* ascending */
} part_set_t;

#define PART_CRASHES_MAX 8

/* A crash of a target by a request with certain parts. */
typedef struct part_crashed_t {
	uint64_t target; /* hash of its id */
	uint64_t age_ms;
} part_crashed_t;

typedef struct part_crashes_t {
	uint32_t count;
	part_crashed_t list[PART_CRASHES_MAX];
} part_crashes_t;

part_set_t part_set_of(uint64_t part);
/* Returns false if the set is full. */
bool part_set_add(part_set_t *set, uint64_t part);
bool part_set_contains(const part_set_t *set, uint64_t part);
bool part_set_equal(const part_set_t *a, const part_set_t *b);
/* Whether all parts of the subset are in the set. */
bool part_set_includes(const part_set_t *set, const part_set_t *subset);
/* Whether all parts of the set are among these, which are in any order. */
bool part_set_is_within(const part_set_t *set, const uint64_t *parts,
			uint32_t count);
/* Returns false if the text is not one that part_set_format() writes. */
bool part_set_parse(const char *text, part_set_t *set);
const char *part_set_format(const part_set_t *set,
			    char text[PART_SET_TEXT_SIZE]);

G_END_DECLS

#endif
