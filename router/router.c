#include "router/router.h"

#include "admin/admin.h"
#include "claims/claims.h"
#include "conf/conf.h"
#include "dispatch/dispatch.h"
#include "front/front.h"
#include "instances/instances.h"
#include "ledger/ledger.h"
#include "log/log.h"
#include "member/member.h"
#include "orders/orders.h"
#include "peer/peer.h"
#include "request/request.h"
#include "route/route.h"
#include "settings/settings.h"
#include "store/store.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>

#define EXIT_USAGE 2
#define BYTES_PER_MIB UINT64_C(1048576)
/* A target is paused at the high-water mark and resumed at a quarter of it. */
#define LOW_WATER_DIVISOR 4
/*
 * Time before stop_timeout_s at which running requests are ended, so that their
 * callers are answered, bills recorded and grants returned.
 */
#define STOP_FINISH_US (2 * USEC_PER_SEC)
#define STOP_FINISH_DIVISOR 2 /* limits it for a short stop_timeout_s */

typedef enum router_timer_t {
	TIMER_STOP, /* the planned stop exceeds stop_timeout_s */
} router_timer_t;

/* Stages of a planned stop, in this order. */
typedef enum router_stage_t {
	STAGE_RUNNING,
	STAGE_REQUESTS, /* "front" and "request" finish running requests */
	STAGE_SETTLING, /* "ledger", "claims", "orders" write pending data */
	STAGE_LEAVING, /* "member" leaves the fleet */
	STAGE_STOPPED,
} router_stage_t;

typedef struct router_t {
	settings_t settings;
	char incarnation[INCARNATION_SIZE];
	kernel_t kernel;
	svc_t svc;
	store_t store;
	conf_t conf;
	ledger_t ledger;
	claims_svc_t claims;
	orders_t orders;
	route_t route;
	request_svc_t request;
	dispatch_t dispatch;
	front_t front;
	member_t member;
	peer_t peer;
	instances_t instances;
	admin_t admin;
	router_stage_t stage;
	uint32_t pending_stops; /* services of this stage that still run */
	int exit_code;
} router_t;

/* The service ends what still runs at the deadline; 0: none. */
static void stop_service(router_t *router, const char *name, int64_t deadline)
{
	msg_t msg = {.kind = MSG_STOP, .u.stop.deadline = deadline};

	kernel_post(&router->kernel, router->svc,
		    kernel_find(&router->kernel, name), &msg);
}

static int64_t request_deadline(const router_t *router)
{
	int64_t timeout = router->settings.stop_timeout_s * USEC_PER_SEC;

	return kernel_now(&router->kernel) + timeout -
	       MIN(STOP_FINISH_US, timeout / STOP_FINISH_DIVISOR);
}

static const char *stage_name(router_stage_t stage)
{
	switch (stage) {
	case STAGE_RUNNING:
		return "running";
	case STAGE_REQUESTS:
		return "requests";
	case STAGE_SETTLING:
		return "settling";
	case STAGE_LEAVING:
		return "leaving";
	case STAGE_STOPPED:
		return "stopped";
	}
	return "unknown";
}

static void enter_stage(router_t *router, router_stage_t stage)
{
	router->stage = stage;
	log_event(LOG_LEVEL_INFO, "router", "stop", "stage=%s",
		  stage_name(stage));
	switch (stage) {
	case STAGE_RUNNING:
		break;
	case STAGE_REQUESTS:
		stop_service(router, "admin", 0);
		stop_service(router, "front", 0);
		stop_service(router, "request", request_deadline(router));
		router->pending_stops = 2;
		break;
	case STAGE_SETTLING:
		stop_service(router, "ledger", 0);
		stop_service(router, "claims", 0);
		stop_service(router, "orders", 0);
		router->pending_stops = 3;
		break;
	case STAGE_LEAVING:
		stop_service(router, "member", 0);
		router->pending_stops = 1;
		break;
	case STAGE_STOPPED:
		kernel_quit(&router->kernel);
		break;
	}
}

static bool is_awaited(const router_t *router, const char *service)
{
	switch (router->stage) {
	case STAGE_REQUESTS:
		return strcmp(service, "front") == 0 ||
		       strcmp(service, "request") == 0;
	case STAGE_SETTLING:
		return strcmp(service, "ledger") == 0 ||
		       strcmp(service, "claims") == 0 ||
		       strcmp(service, "orders") == 0;
	case STAGE_LEAVING:
		return strcmp(service, "member") == 0;
	default:
		return false;
	}
}

static void on_stopped(router_t *router, svc_t from)
{
	const char *service = kernel_service_name(&router->kernel, from);

	if (!is_awaited(router, service))
		return;
	log_event(LOG_LEVEL_DEBUG, "router", "service_stopped", "name=%s",
		  service);
	if (--router->pending_stops == 0)
		enter_stage(router, (router_stage_t)(router->stage + 1));
}

static void receive(void *self, msg_t *msg)
{
	router_t *router = self;

	switch (msg->kind) {
	case MSG_STOPPED:
		on_stopped(router, msg->from);
		break;
	case MSG_TIMER:
		log_event(LOG_LEVEL_ERROR, "router", "stop_timeout",
			  "stage=%s after_s=%" G_GINT64_FORMAT,
			  stage_name(router->stage),
			  router->settings.stop_timeout_s);
		router->exit_code = 1;
		enter_stage(router, STAGE_STOPPED);
		break;
	default:
		break;
	}
}

static gboolean on_stop_signal(gpointer data)
{
	router_t *router = data;

	if (router->stage != STAGE_RUNNING)
		return G_SOURCE_CONTINUE;
	kernel_timer(&router->kernel, router->svc,
		     router->settings.stop_timeout_s * USEC_PER_SEC,
		     HANDLE_NONE, TIMER_STOP);
	enter_stage(router, STAGE_REQUESTS);
	return G_SOURCE_CONTINUE;
}

static void describe_self(const router_t *router, member_info_t *self)
{
	const settings_t *settings = &router->settings;

	memset(self, 0, sizeof(*self));
	g_strlcpy(self->incarnation, router->incarnation,
		  sizeof(self->incarnation));
	g_strlcpy(self->name, settings->name, sizeof(self->name));
	g_strlcpy(self->availability_zone, settings->availability_zone,
		  sizeof(self->availability_zone));
	g_strlcpy(self->host, settings->peer_host, sizeof(self->host));
	self->peer_port = (uint16_t)settings->peer_port;
	self->admin_port = (uint16_t)settings->admin_port;
	self->state = MEMBER_ALIVE;
}

static void init_store(router_t *router)
{
	const settings_t *settings = &router->settings;
	const char *endpoints[SETTING_LIST_MAX + 1] = {NULL};
	store_opts_t opts = {0};

	for (guint i = 0; i < settings->store_endpoints.count; i++)
		endpoints[i] = settings->store_endpoints.items[i];
	opts.endpoints = endpoints;
	opts.key_prefix = settings->store_prefix;
	opts.token =
		settings->store_token[0] == '\0' ? NULL : settings->store_token;
	opts.timeout_ms = (int32_t)settings->store_timeout_ms;
	store_init(&router->store, &router->kernel, &opts);
}

static void init_request_services(router_t *router)
{
	const settings_t *settings = &router->settings;
	ledger_opts_t ledger;
	claims_opts_t claims;
	orders_opts_t orders = {0};
	request_opts_t request;

	ledger_opts_init(&ledger, router->incarnation);
	ledger.horizon_us = settings->ledger_horizon_s * USEC_PER_SEC;
	ledger.unprotected_percent =
		(uint32_t)settings->ledger_unprotected_percent;
	ledger_init(&router->ledger, &router->kernel, &ledger);

	claims_opts_defaults(&claims);
	g_strlcpy(claims.incarnation, router->incarnation,
		  sizeof(claims.incarnation));
	claims_init(&router->claims, &router->kernel, &claims);

	g_strlcpy(orders.incarnation, router->incarnation,
		  sizeof(orders.incarnation));
	orders_init(&router->orders, &router->kernel, &orders);

	request_opts_defaults(&request);
	g_strlcpy(request.incarnation, router->incarnation,
		  sizeof(request.incarnation));
	request.retry_ratio = (double)settings->request_retry_percent / 100;
	request.max_requests = (uint32_t)settings->request_max_running;
	request.max_body = (uint32_t)settings->caller_max_body;
	request_init(&router->request, &router->kernel, &request);
}

static int init_peers(router_t *router)
{
	const settings_t *settings = &router->settings;
	peer_opts_t peer = {0};
	member_opts_t member = {0};

	describe_self(router, &peer.self);
	g_strlcpy(peer.listen_host, settings->peer_host,
		  sizeof(peer.listen_host));
	peer.listen_port = (uint16_t)settings->peer_port;
	g_strlcpy(peer.key, settings->peer_key, sizeof(peer.key));

	member.self = peer.self;
	member.lease_ttl_s = (int32_t)settings->member_lease_s;
	for (guint i = 0; i < settings->peer_seeds.count; i++) {
		member_seed_t *seed = &member.seeds[member.seed_count++];

		settings_parse_address(settings->peer_seeds.items[i],
				       seed->host, sizeof(seed->host),
				       &seed->port);
	}
	member_init(&router->member, &router->kernel, &member);
	return peer_init(&router->peer, &router->kernel, &peer);
}

static void init_front(router_t *router)
{
	const settings_t *settings = &router->settings;
	front_opts_t opts;

	front_opts_default(&opts);
	g_strlcpy(opts.host, settings->caller_host, sizeof(opts.host));
	opts.port = (uint16_t)settings->caller_port;
	g_strlcpy(opts.tls_cert, settings->caller_tls_certificate,
		  sizeof(opts.tls_cert));
	g_strlcpy(opts.tls_key, settings->caller_tls_key, sizeof(opts.tls_key));
	opts.max_header = (uint32_t)settings->caller_max_header;
	opts.max_body = (uint32_t)settings->caller_max_body;
	opts.max_connections = (uint32_t)settings->caller_max_connections;
	opts.max_streams = (uint32_t)settings->request_max_running;
	opts.high_water = (uint32_t)settings->caller_buffer;
	opts.low_water = opts.high_water / LOW_WATER_DIVISOR;
	front_init(&router->front, &router->kernel, &opts);
}

static int init_instances_and_admin(router_t *router)
{
	const settings_t *settings = &router->settings;
	instances_opts_t instances = {0};
	admin_opts_t admin = {0};

	instances.url = settings->instances_url;
	instances.interval_ms = (uint32_t)settings->instances_interval_ms;
	instances_init(&router->instances, &router->kernel, &instances);

	g_strlcpy(admin.incarnation, router->incarnation,
		  sizeof(admin.incarnation));
	g_strlcpy(admin.host, settings->admin_host, sizeof(admin.host));
	admin.port = (uint16_t)settings->admin_port;
	g_strlcpy(admin.token, settings->admin_token, sizeof(admin.token));
	return admin_init(&router->admin, &router->kernel, &admin);
}

/* Opens the ports, last of all, when every service can receive messages. */
static int open_ports(router_t *router)
{
	int peer = init_peers(router);
	int admin = init_instances_and_admin(router);

	if (peer != 0) {
		fprintf(stderr, "tanagertrestle: peer: %s\n",
			router->peer.err.text);
		return -1;
	}
	if (admin != 0) {
		fprintf(stderr, "tanagertrestle: admin: %s\n",
			router->admin.err.text);
		return -1;
	}
	if (front_listen(&router->front) != FRONT_OK) {
		fprintf(stderr, "tanagertrestle: caller: %s\n",
			router->front.err.text);
		return -1;
	}
	return 0;
}

static void finish_all(router_t *router)
{
	front_finish(&router->front);
	admin_finish(&router->admin);
	instances_finish(&router->instances);
	dispatch_finish(&router->dispatch);
	request_finish(&router->request);
	route_finish(&router->route);
	orders_finish(&router->orders);
	claims_finish(&router->claims);
	ledger_finish(&router->ledger);
	peer_finish(&router->peer);
	member_finish(&router->member);
	conf_finish(&router->conf);
	store_finish(&router->store);
	kernel_finish(&router->kernel);
}

static int run(router_t *router)
{
	guint term, interrupt;
	int status = 1;

	kernel_init(&router->kernel, CLOCK_REAL, 0);
	router->kernel.buffers.limit =
		(uint64_t)settings_buffers_mib(&router->settings) *
		BYTES_PER_MIB;
	kernel_uuid(&router->kernel, router->incarnation);
	router->svc =
		kernel_register(&router->kernel, "router", receive, router);
	init_store(router);
	conf_init(&router->conf, &router->kernel);
	init_request_services(router);
	route_init(&router->route, &router->kernel,
		   router->settings.availability_zone);
	dispatch_init(&router->dispatch, &router->kernel);
	init_front(router);
	windows_set_memory(&router->kernel.pollset.windows,
			   (uint64_t)settings_memory_mib(&router->settings) *
				   BYTES_PER_MIB,
			   front_sockets_max(&router->front) +
				   PEER_SOCKETS_MAX);
	if (open_ports(router) != 0)
		goto out;
	term = g_unix_signal_add(SIGTERM, on_stop_signal, router);
	interrupt = g_unix_signal_add(SIGINT, on_stop_signal, router);
	kernel_start(&router->kernel);
	log_event(LOG_LEVEL_INFO, "router", "start",
		  "incarnation=%s availability_zone=%s caller_port=%u",
		  router->incarnation, router->settings.availability_zone,
		  front_port(&router->front));
	kernel_run(&router->kernel);
	g_source_remove(term);
	g_source_remove(interrupt);
	status = router->exit_code;
	log_event(LOG_LEVEL_INFO, "router", "exit", "code=%d", status);
out:
	finish_all(router);
	return status;
}

/* Loads and checks the settings file without opening other files or ports. */
static int load_settings(settings_t *settings, const char *settings_path)
{
	errmsg_t err;

	settings_init(settings);
	if (settings_load(settings, settings_path, &err) != SETTINGS_OK) {
		fprintf(stderr, "tanagertrestle: %s\n", err.text);
		return EXIT_USAGE;
	}
	return 0;
}

int router_main(int argc, char **argv)
{
	router_t *router;
	char *settings_path = NULL;
	const GOptionEntry entries[] = {{"file", 'f', 0, G_OPTION_ARG_FILENAME,
					 &settings_path, "settings file",
					 "SETTINGS"},
					{NULL}};
	g_autoptr(GOptionContext) context =
		g_option_context_new("- run a router");
	g_autoptr(GError) error = NULL;
	int status = EXIT_USAGE;

	kernel_set_up_memory();
	g_option_context_add_main_entries(context, entries, NULL);
	router = g_new0(router_t, 1);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "tanagertrestle: %s\n", error->message);
		goto out;
	}
	if (settings_path == NULL || argc != 1) {
		fprintf(stderr, "usage: tanagertrestle router -f SETTINGS\n");
		goto out;
	}
	status = load_settings(&router->settings, settings_path);
	if (status != 0)
		goto out;
	if (log_init(log_level_parse(router->settings.log_level),
		     router->settings.name) != 0) {
		fprintf(stderr, "tanagertrestle: cannot initialize log4c\n");
		status = 1;
		goto out;
	}
	status = run(router);
	log_finish();
out:
	settings_finish(&router->settings);
	g_free(router);
	g_free(settings_path);
	return status;
}

int router_check_main(int argc, char **argv)
{
	settings_t settings;
	int status;

	if (argc != 2) {
		fprintf(stderr, "usage: tanagertrestle check SETTINGS\n");
		return EXIT_USAGE;
	}
	status = load_settings(&settings, argv[1]);
	if (status == 0)
		printf("%s: ok\n", argv[1]);
	settings_finish(&settings);
	return status;
}
