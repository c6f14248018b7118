/*
 * Checks and parses what callers send: headers, paths and the JSON body of
 * model requests.  Nothing here does I/O.
 */
#ifndef FRONT_PARSE_H
#define FRONT_PARSE_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"

G_BEGIN_DECLS

#define DEADLINE_MS_MAX 3600000
#define MAX_TOKENS_MAX 10000000 /* tokens a caller may ask for */
#define PROMPT_PREFIX_BYTES 1024 /* of the prompt, in prefix_hash */
#define API_KEY_MAX_BYTES 512 /* bytes of an API key */

typedef enum parse_status_t {
	PARSE_OK,
	PARSE_INVALID,
} parse_status_t;

/* Hashes the key of "Bearer KEY".  header may be NULL. */
parse_status_t parse_bearer(const char *header, char out[HASH_SIZE]);
/* Printable ASCII, 1 to IDEM_KEY_SIZE - 1 bytes. */
parse_status_t parse_idem_key(const char *header, char out[IDEM_KEY_SIZE]);
parse_status_t parse_deadline(const char *header, uint32_t *deadline_ms);
/* Absolute, without dot segments, which could leave a service's prefix. */
parse_status_t parse_path(const char *path);

/* Reads the fields of a model request from spec->body into spec. */
parse_status_t parse_model_request(request_spec_t *spec, errmsg_t *err);

/* SHA-256 of method, path and body, each ended unambiguously. */
void fingerprint_request(request_spec_t *spec);

G_END_DECLS

#endif
