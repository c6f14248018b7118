/*
 * The scalar fields of the bodies that instances send each other.
 */
#ifndef PEER_BODIES_H
#define PEER_BODIES_H

#include "peer/fields.h"

G_BEGIN_DECLS

/* Returns no fields for a kind that has none. */
fields_t peer_body_fields(peer_kind_t kind);

G_END_DECLS

#endif
