/*
 * Which kinds of bodies a peer knows.  Builds that run side by side state it in
 * their hello, so that a kind is sent only to peers that know it.
 */
#ifndef PEER_KINDS_H
#define PEER_KINDS_H

#include "kernel/peering.h"

G_BEGIN_DECLS

/*
 * Kinds of release 5a054ba, which states nothing and closes the connection to a
 * peer that sends it another kind.  Every peer knows them.
 */
#define PEER_KINDS_FORMER 31

/*
 * A statement has a bit for each kind that was added after those: the lowest
 * bit for any later build, which skips what it does not know, the next one for
 * the kind PEER_KINDS_FORMER, and so on.  A kind keeps its bit.
 */
#define PEER_KINDS_SKIPS_UNKNOWN UINT64_C(1)

/* Stated by builds that take frames up to PEER_FRAME_MAX. */
#define PEER_KINDS_LONG_FRAMES (UINT64_C(1) << 63)

/* Stated by builds that take the configuration as a patch (replica/patch.h). */
#define PEER_KINDS_PATCHES (UINT64_C(1) << 62)

/* Returns the statement of this build. */
uint64_t peer_kinds_own(void);
/* Returns true if a peer with this statement may be sent the kind. */
bool peer_kind_is_known(uint64_t stated, peer_kind_t kind);

G_END_DECLS

#endif
