/*
 * A caller's request that is forwarded unchanged to a target, and what a
 * target says beside its answer.  platform/ translates both.
 */
#ifndef KERNEL_EXCHANGE_H
#define KERNEL_EXCHANGE_H

#include "kernel/http.h"
#include "kernel/record.h"

G_BEGIN_DECLS

#define REQUEST_ID_SIZE 80 /* bytes, with terminator */
#define API_KEY_SIZE 160 /* bytes, with terminator */
#define EVENT_ID_SIZE 48 /* bytes, with terminator */
#define PROMPT_PARTS_MAX 16

/* A part of a prompt; requests that begin with the same parts share them. */
typedef struct prompt_part_t {
	uint64_t id;
	uint32_t tokens;
} prompt_part_t;

typedef struct exchange_spec_t {
	char request_id[REQUEST_ID_SIZE]; /* one for each attempt of a caller */
	char host[HOST_SIZE];
	char path[PATH_SIZE]; /* without query */
	char api_key[API_KEY_SIZE]; /* empty: none was given */
	int64_t wait_ms; /* how long the caller waits; -1: not stated */
	int64_t prompt_tokens;
	int64_t max_tokens; /* to generate */
	uint32_t part_count;
	prompt_part_t parts[PROMPT_PARTS_MAX];
	char last_event_id[EVENT_ID_SIZE]; /* a caller resumes its stream */
	http_head_t *head; /* as it is forwarded, without the key */
	GBytes *body; /* NULL: none */
} exchange_spec_t;

exchange_spec_t *exchange_spec_new(void);
void exchange_spec_free(exchange_spec_t *spec);

/* A target's load, as it was when it answered. */
typedef struct target_load_t {
	bool known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t latency_percent; /* percent of the usual time, 100 as usual */
} target_load_t;

typedef struct reply_info_t {
	bool matches; /* answers this request and no other */
	bool sealed; /* bears the target's mark of a whole answer */
	bool not_run; /* the target states that it ran nothing */
	bool misdirected; /* another one has the address now */
	bool leaving; /* the connection is closed after this answer */
	uint32_t keep_alive_s; /* 0: not stated */
	target_load_t load;
} reply_info_t;

G_END_DECLS

#endif
