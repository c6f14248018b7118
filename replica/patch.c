#include "replica/patch.h"

#include <string.h>
#include <zstd.h>

#define NUMBERS 3 /* before the frame: base, revision, up_to */
#define HEADER_SIZE (NUMBERS * sizeof(uint64_t)) /* bytes */
/* Higher levels take several times as long, and the frame is as small. */
#define LEVEL 1
/* log2 of the distance, in bytes, that a match may have: base and document. */
#define WINDOW_LOG 21

void patch_clear(patch_t *patch)
{
	g_clear_pointer(&patch->frame, g_bytes_unref);
	memset(patch, 0, sizeof(*patch));
}

GBytes *patch_encode(const patch_t *patch)
{
	const uint64_t header[NUMBERS] = {
		GUINT64_TO_BE((uint64_t)patch->base),
		GUINT64_TO_BE((uint64_t)patch->revision),
		GUINT64_TO_BE((uint64_t)patch->up_to),
	};
	GByteArray *value = g_byte_array_new();
	gsize size;
	const guint8 *data;

	g_byte_array_append(value, (const guint8 *)header, HEADER_SIZE);
	if (patch->frame != NULL) {
		data = g_bytes_get_data(patch->frame, &size);
		g_byte_array_append(value, data, (guint)size);
	}
	return g_byte_array_free_to_bytes(value);
}

bool patch_decode(GBytes *value, patch_t *patch)
{
	uint64_t header[NUMBERS];
	gsize size;
	const guint8 *data = g_bytes_get_data(value, &size);

	memset(patch, 0, sizeof(*patch));
	if (size < HEADER_SIZE)
		return false;
	memcpy(header, data, HEADER_SIZE);
	for (size_t i = 0; i < NUMBERS; i++) {
		header[i] = GUINT64_FROM_BE(header[i]);
		if (header[i] > INT64_MAX)
			return false;
	}
	patch->base = (int64_t)header[0];
	patch->revision = (int64_t)header[1];
	patch->up_to = (int64_t)header[2];
	if (size > HEADER_SIZE)
		patch->frame = g_bytes_new_from_bytes(value, HEADER_SIZE,
						      size - HEADER_SIZE);
	return true;
}

static bool set_parameter(ZSTD_CCtx *context, ZSTD_cParameter parameter,
			  int value)
{
	return !ZSTD_isError(ZSTD_CCtx_setParameter(context, parameter, value));
}

/*
 * Sets what differs from the defaults.  The checksum is of the document.  Only
 * long-distance matching finds all of a base of several 100 kB.
 */
static bool set_up(ZSTD_CCtx *context, const void *base, size_t size)
{
	return set_parameter(context, ZSTD_c_compressionLevel, LEVEL) &&
	       set_parameter(context, ZSTD_c_windowLog, WINDOW_LOG) &&
	       set_parameter(context, ZSTD_c_checksumFlag, 1) &&
	       set_parameter(context, ZSTD_c_enableLongDistanceMatching, 1) &&
	       !ZSTD_isError(ZSTD_CCtx_refPrefix(context, base, size));
}

GBytes *patch_make_frame(GBytes *base, GBytes *document)
{
	ZSTD_CCtx *context = ZSTD_createCCtx();
	gsize base_size, size, written = 0;
	const void *prefix = g_bytes_get_data(base, &base_size);
	const void *data = g_bytes_get_data(document, &size);
	size_t room = ZSTD_compressBound(size);
	guint8 *frame = g_malloc(room);
	GBytes *result = NULL;

	if (context == NULL || size > PATCH_DOCUMENT_MAX ||
	    !set_up(context, prefix, base_size))
		goto out;
	written = ZSTD_compress2(context, frame, room, data, size);
	if (!ZSTD_isError(written))
		result = g_bytes_new(frame, written);
out:
	g_free(frame);
	ZSTD_freeCCtx(context);
	return result;
}

GBytes *patch_apply_frame(GBytes *base, GBytes *frame)
{
	ZSTD_DCtx *context = ZSTD_createDCtx();
	gsize base_size, size, written;
	const void *prefix = g_bytes_get_data(base, &base_size);
	const void *data = g_bytes_get_data(frame, &size);
	unsigned long long whole = ZSTD_getFrameContentSize(data, size);
	guint8 *document = NULL;
	GBytes *result = NULL;

	if (context == NULL || whole == ZSTD_CONTENTSIZE_UNKNOWN ||
	    whole == ZSTD_CONTENTSIZE_ERROR || whole > PATCH_DOCUMENT_MAX ||
	    ZSTD_isError(ZSTD_DCtx_refPrefix(context, prefix, base_size)))
		goto out;
	document = g_malloc((gsize)whole + 1);
	written = ZSTD_decompressDCtx(context, document, (gsize)whole, data,
				      size);
	if (!ZSTD_isError(written) && written == whole)
		result = g_bytes_new_take(g_steal_pointer(&document), written);
out:
	g_free(document);
	ZSTD_freeDCtx(context);
	return result;
}
