/*
 * Hash functions for decisions on which all instances must agree.  Not suitable
 * for secrets.
 */
#ifndef KERNEL_HASH_H
#define KERNEL_HASH_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* SplitMix64 finalizer: each bit of the result depends on all of hash. */
uint64_t hash_mix(uint64_t hash);
/*
 * Returns the weight of a candidate for an item in rendezvous hashing.  The
 * candidate with the highest weight is chosen, so few items move when
 * candidates are added or removed.
 */
uint64_t hash_rendezvous(const char *candidate, const char *item);

G_END_DECLS

#endif
