/*
 * Settings of a router or a gateway: reads a JSON file and checks it against a
 * table of keys.  The first error is reported with the key's path, the value
 * and the allowed values.
 */
#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "kernel/errmsg.h"
#include "kernel/record.h"

G_BEGIN_DECLS

#define SETTING_TEXT_SIZE 256 /* bytes, with terminator */
#define SETTING_LIST_MAX 16 /* entries in a list */

typedef enum settings_status_t {
	SETTINGS_OK,
	SETTINGS_UNREADABLE, /* the file cannot be read */
	SETTINGS_SYNTAX, /* not a JSON object */
	SETTINGS_INVALID, /* a key or a value is not allowed, or missing */
} settings_status_t;

typedef struct setting_list_t {
	guint count;
	char items[SETTING_LIST_MAX][SETTING_TEXT_SIZE];
} setting_list_t;

typedef struct settings_t {
	char name[SETTING_TEXT_SIZE];
	char availability_zone[SETTING_TEXT_SIZE];
	char log_level[SETTING_TEXT_SIZE];
	int64_t stop_timeout_s;

	char caller_host[SETTING_TEXT_SIZE];
	int64_t caller_port;
	char caller_tls_certificate[SETTING_TEXT_SIZE];
	char caller_tls_key[SETTING_TEXT_SIZE];
	int64_t caller_max_body;
	int64_t caller_max_header;
	int64_t caller_max_connections;
	int64_t caller_buffer;
	double caller_memory_mib; /* 0: unknown */

	char peer_host[SETTING_TEXT_SIZE];
	int64_t peer_port;
	char peer_key[SETTING_TEXT_SIZE];
	setting_list_t peer_seeds; /* IP:PORT */

	char admin_host[SETTING_TEXT_SIZE];
	int64_t admin_port;
	char admin_token[SETTING_TEXT_SIZE];

	setting_list_t store_endpoints; /* URLs */
	char store_prefix[SETTING_TEXT_SIZE];
	char store_token[SETTING_TEXT_SIZE];
	int64_t store_timeout_ms;

	char instances_url[SETTING_TEXT_SIZE];
	int64_t instances_interval_ms;

	int64_t member_lease_s;
	int64_t ledger_horizon_s;
	int64_t ledger_unprotected_percent;
	int64_t request_retry_percent;
	int64_t request_max_running;

	bool is_gateway; /* true if the file has a section for the gateway */
	/* The five addresses of a gateway are IP:PORT. */
	char gateway_callers[SETTING_TEXT_SIZE];
	char gateway_readiness[SETTING_TEXT_SIZE];
	char gateway_metrics[SETTING_TEXT_SIZE];
	char gateway_peers[SETTING_TEXT_SIZE];
	char gateway_store[SETTING_TEXT_SIZE];
	int64_t gateway_watch_pause_ms;
	double gateway_memory_mib;
	int64_t gateway_buffers_mib; /* see settings_buffers_mib() */
	double gateway_link_mbps; /* 0: unknown */
	double gateway_retry_ratio;
	double gateway_retry_slack;
	double gateway_retry_window_s;
	double gateway_grace_s;
	double gateway_cold_overage;
	double gateway_cold_slack;
	int64_t gateway_pace;
} settings_t;

void settings_init(settings_t *settings);
/* Clears secrets from memory. */
void settings_finish(settings_t *settings);

settings_status_t settings_load(settings_t *settings, const char *path,
				errmsg_t *err);
settings_status_t settings_parse(settings_t *settings, const char *text,
				 gssize len, errmsg_t *err);

/* Returns the memory for requests and responses in progress, in MiB. */
int64_t settings_buffers_mib(const settings_t *settings);
/* Returns the memory of the machine, MiB; what the buffers suggest if unknown.
 */
int64_t settings_memory_mib(const settings_t *settings);

/* Appends a reference of all keys as a Markdown table. */
void settings_print_reference(GString *out);

/* Splits "IP:PORT" or "[IPv6]:PORT".  Returns false for any other text. */
bool settings_parse_address(const char *text, char *host, size_t host_size,
			    uint16_t *port);

G_END_DECLS

#endif
