/*
 * Hashes for choices that all instances must make alike.  Not for secrets.
 */
#ifndef KERNEL_HASH_H
#define KERNEL_HASH_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* SplitMix64's finisher: each bit of the result depends on all of hash. */
uint64_t hash_mix(uint64_t hash);
/*
 * Rendezvous hashing: of some candidates, the one with the highest weight
 * for an item is chosen, and few items move when candidates come and go.
 */
uint64_t hash_rendezvous(const char *candidate, const char *item);

G_END_DECLS

#endif
