/*
 * Validates and parses the input of callers: headers, paths and the JSON body
 * of model requests.  These functions do no I/O.
 */
#ifndef FRONT_PARSE_H
#define FRONT_PARSE_H

#include "kernel/errmsg.h"
#include "kernel/msg.h"

G_BEGIN_DECLS

#define DEADLINE_MS_MAX 3600000
#define MAX_TOKENS_MAX 10000000 /* largest max_tokens of a request */
#define PROMPT_PREFIX_BYTES 1024 /* part hashed into prefix_hash */
#define API_KEY_BYTES_MAX 512

typedef enum parse_status_t {
	PARSE_OK,
	PARSE_INVALID,
} parse_status_t;

/* Hashes KEY of the header "Bearer KEY".  header may be NULL. */
parse_status_t parse_bearer(const char *header, char out[HASH_SIZE]);
/* Accepts 1 to IDEM_KEY_SIZE - 1 bytes of printable ASCII. */
parse_status_t parse_idem_key(const char *header, char out[IDEM_KEY_SIZE]);
parse_status_t parse_deadline(const char *header, uint32_t *deadline_ms);
/*
 * Accepts an absolute path without dot segments, which could lead out of a
 * service's path prefix.
 */
parse_status_t parse_path(const char *path);

/* Parses spec->body as a model request and sets the fields of spec. */
parse_status_t parse_model_request(request_spec_t *spec, errmsg_t *err);

/*
 * Sets spec->fingerprint to the SHA-256 of method, path and body, separated by
 * newlines so that the encoding is unambiguous.
 */
void fingerprint_request(request_spec_t *spec);

G_END_DECLS

#endif
