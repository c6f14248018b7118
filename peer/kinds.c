#include "peer/kinds.h"

/* Each further kind needs a bit of the statement. */
G_STATIC_ASSERT(PEER_TARGET_FULL + 1 == PEER_KINDS_FORMER);
G_STATIC_ASSERT(PEER_KIND_COUNT <= PEER_KINDS_FORMER + 61);

static uint64_t kind_bit(uint32_t kind)
{
	return PEER_KINDS_SKIPS_UNKNOWN << (kind - PEER_KINDS_FORMER + 1);
}

uint64_t peer_kinds_own(void)
{
	uint64_t stated = PEER_KINDS_SKIPS_UNKNOWN | PEER_KINDS_LONG_FRAMES |
			  PEER_KINDS_PATCHES;

	for (uint32_t kind = PEER_KINDS_FORMER; kind < PEER_KIND_COUNT; kind++)
		stated |= kind_bit(kind);
	return stated;
}

bool peer_kind_is_known(uint64_t stated, peer_kind_t kind)
{
	if ((uint32_t)kind < PEER_KINDS_FORMER)
		return true;
	return (uint32_t)kind < PEER_KINDS_FORMER + 61 &&
	       (stated & kind_bit(kind)) != 0;
}
