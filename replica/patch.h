/*
 * Patches of the configuration.  A message that leaves the document out because
 * it is large says so in an item with the key REPLICA_KEY_PATCH.  The value of
 * the item holds what the version has that the one before lacks, as a zstd
 * frame with the former document as its prefix; the frame is empty if the
 * sender does not have one that is small.
 */
#ifndef REPLICA_PATCH_H
#define REPLICA_PATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define REPLICA_KEY_PATCH "patch"
#define PATCH_DOCUMENT_MAX 1048576 /* bytes, of a value in the store */

typedef struct patch_t {
	int64_t base; /* revision of the document that the frame applies to */
	int64_t revision; /* of the document that was left out; 0: none was */
	int64_t up_to; /* with it, the message is complete up to here */
	GBytes *frame; /* NULL if there is none */
} patch_t;

void patch_clear(patch_t *patch);

/* Returns the value of the item. */
GBytes *patch_encode(const patch_t *patch);
bool patch_decode(GBytes *value, patch_t *patch);

/* Returns NULL if no frame could be made. */
GBytes *patch_make_frame(GBytes *base, GBytes *document);
/* Returns NULL if the frame does not apply to this base. */
GBytes *patch_apply_frame(GBytes *base, GBytes *frame);

G_END_DECLS

#endif
