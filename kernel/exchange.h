/*
 * A caller's request that is forwarded unchanged to a target, and the
 * metadata of the target's response.  platform/ converts both to and from
 * HTTP header fields.
 */
#ifndef KERNEL_EXCHANGE_H
#define KERNEL_EXCHANGE_H

#include "kernel/http.h"
#include "kernel/record.h"

G_BEGIN_DECLS

#define REQUEST_ID_SIZE 80 /* bytes, with terminator */
/* Parts of a prompt that decide on its placement. */
#define PLACE_PARTS_MAX 16

/*
 * A part of a prompt.  Prompts that begin with the same parts share the
 * cached state of these parts at a target.
 */
typedef struct prompt_part_t {
	uint64_t id;
	uint32_t tokens;
} prompt_part_t;

typedef struct exchange_spec_t {
	/* Identifier of the id, which is unique per attempt. */
	char request_id[REQUEST_ID_SIZE];
	char *host; /* without the port */
	char *path; /* without the query */
	char *api_key; /* NULL if none was given */
	int64_t wait_ms; /* limit on the caller's wait; -1 if not stated */
	int64_t prompt_tokens;
	int64_t max_tokens; /* limit on generated tokens */
	uint32_t part_count;
	uint32_t part_capacity;
	prompt_part_t *parts; /* in order; the last is the request's own */
	bool taken_up; /* names the last event of a stream that is to go on */
	/* Attempt that brought the first event of a resumed stream. */
	char resumes[REQUEST_ID_SIZE]; /* empty: not stated */
	bool from_peer; /* passed on by a peer that reaches no target */
	int64_t arrived_at; /* monotonic, us; 0: not known */
	int64_t unread; /* us for which it waited to be read here */
	http_head_t *head; /* header to forward, without the API key */
	GBytes *body; /* NULL if there is none */
} exchange_spec_t;

exchange_spec_t *exchange_spec_new(void);
void exchange_spec_free(exchange_spec_t *spec);
void exchange_spec_add_part(exchange_spec_t *spec, uint64_t id,
			    uint32_t tokens);
/*
 * Copies the parts that decide on the placement and returns their number.
 * Leaving out the others only costs cache hits.
 */
uint32_t exchange_spec_place_parts(const exchange_spec_t *spec,
				   prompt_part_t to[PLACE_PARTS_MAX]);

/* An operator asks where a request would go now. */
typedef struct explain_query_t {
	char *host; /* NULL: only a service is given */
	char *path; /* NULL: only a service is given */
	char service[NAME_SIZE]; /* empty: as the route says */
	char account[NAME_SIZE]; /* empty: none */
	int64_t prompt_tokens;
	int64_t max_tokens;
	uint32_t part_count;
	prompt_part_t parts[PLACE_PARTS_MAX];
} explain_query_t;

/* Frees what the query owns, which is all zero or was read. */
void explain_query_finish(explain_query_t *query);
void explain_query_free(explain_query_t *query);

/* Where a stream began, and for whom. */
typedef struct stream_origin_t {
	char service[NAME_SIZE];
	char account[NAME_SIZE];
	/* Of the target's software, or VERSION_UNKNOWN. */
	char version[NAME_SIZE];
} stream_origin_t;

/*
 * The target's process may not be the one that its entry describes.  It is no
 * version that a target has, so former releases find no target of it.
 */
#define VERSION_UNKNOWN "?"

bool version_is_known(const char *version);

/* Load of a target at the time of its response. */
typedef struct target_load_t {
	bool known;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t latency_percent; /* 100 is the normal latency */
} target_load_t;

typedef enum limit_kind_t {
	LIMIT_UNKNOWN, /* nothing was stated */
	LIMIT_NONE,
	LIMIT_STATED,
} limit_kind_t;

/* How many requests a target takes from all instances together. */
typedef struct target_limit_t {
	limit_kind_t kind;
	uint32_t per_ks; /* requests in 1,000 s */
} target_limit_t;

/* What a target states about itself in the head of a response. */
typedef struct target_report_t {
	target_load_t load;
	target_limit_t limit;
	bool leaving;
	bool brittle; /* it falls over if it turns too many away */
	uint32_t brittle_per_s; /* rejections a second that it bears */
	int64_t pause_ms; /* it wants no requests for this long; 0: none */
	int64_t cold_ms; /* it remains cold for this long; 0: not stated */
	const char *unreadable; /* field with a malformed value, or NULL */
} target_report_t;

/* Which request a response belongs to. */
typedef enum response_id_t {
	RESPONSE_ID_SAME, /* this request, or it has no id to compare with */
	RESPONSE_ID_MISSING,
	RESPONSE_ID_OTHER,
} response_id_t;

/* Metadata of a target's response. */
typedef struct response_info_t {
	response_id_t id;
	bool authentic; /* proves that the target sent all of the response */
	bool not_run; /* the target states that it executed nothing */
	bool misdirected; /* another instance has the address now */
	target_report_t report;
} response_info_t;

G_END_DECLS

#endif
