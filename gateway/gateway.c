#include "gateway/gateway.h"

#include "balance/balance.h"
#include "fleet/fleet.h"
#include "fleet/mesh.h"
#include "ingress/ingress.h"
#include "log/log.h"
#include "outbound/outbound.h"
#include "overload/overload.h"
#include "peer/peer.h"
#include "platform/store.h"
#include "prepaid/prepaid.h"
#include "proxy/proxy.h"
#include "replica/replica.h"
#include "settings/settings.h"
#include "streams/streams.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define BYTES_PER_MIB UINT64_C(1048576)
#define EXIT_USAGE 2
/* Time left of the grace period when the process exits by itself. */
#define EXIT_MARGIN_US (400 * USEC_PER_MSEC)
/* Time before the exit in which the callers of ended requests are answered. */
#define ANSWER_MARGIN_US (200 * USEC_PER_MSEC)
/* Part of the grace period reserved for returning unused tokens. */
#define TOKEN_RETURN_US (500 * USEC_PER_MSEC)

/*
 * Finds a peer that hangs.  Lost connections are found by the operating system,
 * and a reader or a home that is late is replaced long before.
 */
#define PEER_PING_INTERVAL_US (5 * USEC_PER_SEC)

typedef enum gateway_timer_t {
	TIMER_RETURN, /* return unused tokens although requests still run */
	TIMER_EXIT,
} gateway_timer_t;

/* Stages of a planned stop, in this order. */
typedef enum gateway_stage_t {
	STAGE_RUNNING,
	STAGE_REQUESTS, /* wait until the running requests end */
	STAGE_RETURNING, /* return unused tokens to the store */
	STAGE_STOPPED,
} gateway_stage_t;

typedef struct gateway_t {
	settings_t settings;
	const char *settings_path;
	char incarnation[INCARNATION_SIZE];
	kernel_t kernel;
	svc_t svc;
	outbound_t outbound;
	platform_store_t store;
	replica_t replica;
	fleet_t fleet;
	mesh_t mesh;
	peer_t peer;
	prepaid_t prepaid;
	balance_t balance;
	streams_t streams;
	proxy_t proxy;
	ingress_t ingress;
	overload_t overload;
	gateway_stage_t stage;
	bool requests_done; /* "ingress" has stopped: no request is running */
	bool tokens_returned; /* "prepaid" has stopped */
} gateway_t;

static const char *stage_name(gateway_stage_t stage)
{
	switch (stage) {
	case STAGE_RUNNING:
		return "running";
	case STAGE_REQUESTS:
		return "requests";
	case STAGE_RETURNING:
		return "returning";
	case STAGE_STOPPED:
		return "stopped";
	}
	return "unknown";
}

/* The service ends what still runs at the deadline; 0: none. */
static void stop_service(gateway_t *gateway, const char *name, int64_t deadline)
{
	msg_t msg = {.kind = MSG_STOP, .u.stop.deadline = deadline};

	kernel_post(&gateway->kernel, gateway->svc,
		    kernel_find(&gateway->kernel, name), &msg);
}

static void start_timer(gateway_t *gateway, int64_t delay, gateway_timer_t kind)
{
	kernel_timer(&gateway->kernel, gateway->svc, MAX(delay, 0), HANDLE_NONE,
		     (int)kind);
}

static void enter_stage(gateway_t *gateway, gateway_stage_t stage)
{
	int64_t grace = (int64_t)(gateway->settings.gateway_grace_s *
				  (double)USEC_PER_SEC);
	int64_t exit_at = kernel_now(&gateway->kernel) + grace - EXIT_MARGIN_US;

	gateway->stage = stage;
	log_event(LOG_LEVEL_INFO, "gateway", "stop", "stage=%s",
		  stage_name(stage));
	switch (stage) {
	case STAGE_RUNNING:
		break;
	case STAGE_REQUESTS:
		stop_service(gateway, "ingress", exit_at - ANSWER_MARGIN_US);
		stop_service(gateway, "proxy", exit_at - ANSWER_MARGIN_US);
		start_timer(gateway, grace - EXIT_MARGIN_US - TOKEN_RETURN_US,
			    TIMER_RETURN);
		start_timer(gateway, grace - EXIT_MARGIN_US, TIMER_EXIT);
		break;
	case STAGE_RETURNING:
		stop_service(gateway, "prepaid", 0);
		break;
	case STAGE_STOPPED:
		stop_service(gateway, "member", 0);
		kernel_quit(&gateway->kernel);
		break;
	}
}

/* Running requests delay the exit until the grace period ends. */
static void on_stopped(gateway_t *gateway, const char *service)
{
	gateway->requests_done |= strcmp(service, "ingress") == 0;
	gateway->tokens_returned |= strcmp(service, "prepaid") == 0;
	if (gateway->stage == STAGE_REQUESTS && gateway->requests_done)
		enter_stage(gateway, STAGE_RETURNING);
	else if (gateway->stage == STAGE_RETURNING && gateway->requests_done &&
		 gateway->tokens_returned)
		enter_stage(gateway, STAGE_STOPPED);
}

static void on_timer(gateway_t *gateway, gateway_timer_t kind)
{
	if (kind == TIMER_RETURN && gateway->stage == STAGE_REQUESTS)
		enter_stage(gateway, STAGE_RETURNING);
	else if (kind == TIMER_EXIT && gateway->stage != STAGE_STOPPED)
		enter_stage(gateway, STAGE_STOPPED);
}

static void receive(void *self, msg_t *msg)
{
	gateway_t *gateway = self;

	if (msg->kind == MSG_STOPPED)
		on_stopped(gateway,
			   kernel_service_name(&gateway->kernel, msg->from));
	else if (msg->kind == MSG_TIMER)
		on_timer(gateway, (gateway_timer_t)msg->u.timer.kind);
}

static gboolean on_stop_signal(gpointer data)
{
	gateway_t *gateway = data;

	if (gateway->stage == STAGE_RUNNING)
		enter_stage(gateway, STAGE_REQUESTS);
	kernel_flush(&gateway->kernel);
	return G_SOURCE_CONTINUE;
}

/* Reloads the settings; only the log level can change without a restart. */
static gboolean on_hup(gpointer data)
{
	gateway_t *gateway = data;
	settings_t settings;
	errmsg_t err = {""};

	settings_init(&settings);
	if (settings_load(&settings, gateway->settings_path, &err) ==
	    SETTINGS_OK) {
		log_set_level(log_level_parse(settings.log_level));
		log_event(LOG_LEVEL_INFO, "gateway", "reload", "result=ok");
	} else {
		log_event(LOG_LEVEL_ERROR, "gateway", "reload",
			  "result=refused reason=%s", log_quote(err.text));
	}
	settings_finish(&settings);
	return G_SOURCE_CONTINUE;
}

static void parse_address(const char *address, char *host, uint16_t *port)
{
	settings_parse_address(address, host, HOST_SIZE, port);
}

static void init_data_services(gateway_t *gateway)
{
	const settings_t *settings = &gateway->settings;
	platform_store_opts_t store = {0};
	replica_opts_t replica = {0};
	prepaid_opts_t prepaid = {0};

	outbound_init(&gateway->outbound, &gateway->kernel);
	parse_address(settings->gateway_store, store.host, &store.port);
	platform_store_init(&gateway->store, &gateway->kernel, &store);
	g_strlcpy(replica.incarnation, gateway->incarnation,
		  sizeof(replica.incarnation));
	g_strlcpy(replica.availability_zone, settings->availability_zone,
		  sizeof(replica.availability_zone));
	replica.poll_interval_ms = (uint32_t)settings->gateway_watch_pause_ms;
	replica_init(&gateway->replica, &gateway->kernel, &replica);
	fleet_init(&gateway->fleet, &gateway->kernel);
	g_strlcpy(prepaid.node, settings->name, sizeof(prepaid.node));
	g_strlcpy(prepaid.incarnation, gateway->incarnation,
		  sizeof(prepaid.incarnation));
	g_strlcpy(prepaid.availability_zone, settings->availability_zone,
		  sizeof(prepaid.availability_zone));
	prepaid_init(&gateway->prepaid, &gateway->kernel, &prepaid);
}

static void init_requests(gateway_t *gateway)
{
	const settings_t *settings = &gateway->settings;
	proxy_opts_t proxy = {
		.retry_limits.ratio = settings->gateway_retry_ratio,
		.retry_limits.slack = settings->gateway_retry_slack,
		.retry_limits.window_us =
			(int64_t)(settings->gateway_retry_window_s *
				  (double)USEC_PER_SEC),
	};

	const cold_bounds_t cold = {
		.overage = settings->gateway_cold_overage,
		.slack = settings->gateway_cold_slack,
	};

	balance_init(&gateway->balance, &gateway->kernel, gateway->incarnation,
		     settings->availability_zone);
	balance_set_cold_bounds(&gateway->balance, &cold);
	balance_set_pace(&gateway->balance, settings->gateway_pace != 0);
	balance_set_memory(&gateway->balance,
			   (uint64_t)settings_memory_mib(settings) *
				   BYTES_PER_MIB);
	g_strlcpy(proxy.incarnation, gateway->incarnation,
		  sizeof(proxy.incarnation));
	g_strlcpy(proxy.zone, settings->availability_zone, sizeof(proxy.zone));
	g_strlcpy(proxy.peer_key, settings->peer_key, sizeof(proxy.peer_key));
	streams_init(&gateway->streams, &gateway->kernel, gateway->incarnation);
	proxy_init(&gateway->proxy, &gateway->kernel, &proxy);
	ingress_init(&gateway->ingress, &gateway->kernel);
	overload_init(&gateway->overload, &gateway->kernel,
		      settings->availability_zone);
	ingress_set_link(&gateway->ingress, settings->gateway_link_mbps);
	overload_set_link(&gateway->overload, gateway->incarnation,
			  settings->gateway_link_mbps);
}

static void init_windows(gateway_t *gateway)
{
	windows_set_memory(&gateway->kernel.pollset.windows,
			   (uint64_t)settings_memory_mib(&gateway->settings) *
				   BYTES_PER_MIB,
			   ingress_sockets_max(&gateway->ingress) +
				   PEER_SOCKETS_MAX);
}

static uint16_t metrics_port(const settings_t *settings)
{
	char host[HOST_SIZE];
	uint16_t port = 0;

	parse_address(settings->gateway_metrics, host, &port);
	return port;
}

static int init_peers(gateway_t *gateway)
{
	const settings_t *settings = &gateway->settings;
	peer_opts_t peer = {0};

	parse_address(settings->gateway_peers, peer.listen_host,
		      &peer.listen_port);
	g_strlcpy(peer.key, settings->peer_key, sizeof(peer.key));
	g_strlcpy(peer.self.incarnation, gateway->incarnation,
		  sizeof(peer.self.incarnation));
	g_strlcpy(peer.self.name, settings->name, sizeof(peer.self.name));
	g_strlcpy(peer.self.availability_zone, settings->availability_zone,
		  sizeof(peer.self.availability_zone));
	g_strlcpy(peer.self.host, peer.listen_host, sizeof(peer.self.host));
	peer.self.peer_port = peer.listen_port;
	/* Peers send requests there while they reach no target. */
	peer.self.admin_port = metrics_port(settings);
	peer.ping_interval = PEER_PING_INTERVAL_US;
	mesh_init(&gateway->mesh, &gateway->kernel, &peer.self,
		  &settings->peer_seeds);
	return peer_init(&gateway->peer, &gateway->kernel, &peer);
}

static int listen_on(gateway_t *gateway, listener_kind_t kind,
		     const char *address)
{
	char host[HOST_SIZE];
	uint16_t port;

	parse_address(address, host, &port);
	if (ingress_listen(&gateway->ingress, kind, host, port) == INGRESS_OK)
		return 0;
	fprintf(stderr, "tanagertrestle: %s\n", gateway->ingress.err.text);
	return -1;
}

/* Opens the ports, last of all, when every service can receive messages. */
static int open_ports(gateway_t *gateway)
{
	const settings_t *settings = &gateway->settings;

	if (init_peers(gateway) != 0) {
		fprintf(stderr, "tanagertrestle: peer: %s\n",
			gateway->peer.err.text);
		return -1;
	}
	if (listen_on(gateway, LISTENER_READINESS,
		      settings->gateway_readiness) != 0 ||
	    listen_on(gateway, LISTENER_METRICS, settings->gateway_metrics) !=
		    0 ||
	    listen_on(gateway, LISTENER_CALLERS, settings->gateway_callers) !=
		    0)
		return -1;
	return 0;
}

static void finish_all(gateway_t *gateway)
{
	overload_finish(&gateway->overload);
	ingress_finish(&gateway->ingress);
	proxy_finish(&gateway->proxy);
	streams_finish(&gateway->streams);
	balance_finish(&gateway->balance);
	peer_finish(&gateway->peer);
	mesh_finish(&gateway->mesh);
	prepaid_finish(&gateway->prepaid);
	fleet_finish(&gateway->fleet);
	replica_finish(&gateway->replica);
	platform_store_finish(&gateway->store);
	outbound_finish(&gateway->outbound);
	kernel_finish(&gateway->kernel);
}

static int run(gateway_t *gateway)
{
	int status = 1;

	kernel_init(&gateway->kernel, CLOCK_REAL, 0);
	gateway->kernel.buffers.limit =
		(uint64_t)settings_buffers_mib(&gateway->settings) *
		BYTES_PER_MIB;
	kernel_uuid(&gateway->kernel, gateway->incarnation);
	gateway->svc =
		kernel_register(&gateway->kernel, "gateway", receive, gateway);
	/* The handlers stay: a signal must not end the process as it exits. */
	g_unix_signal_add(SIGTERM, on_stop_signal, gateway);
	g_unix_signal_add(SIGINT, on_stop_signal, gateway);
	g_unix_signal_add(SIGHUP, on_hup, gateway);
	init_data_services(gateway);
	init_requests(gateway);
	init_windows(gateway);
	if (open_ports(gateway) != 0)
		goto out;
	kernel_start(&gateway->kernel);
	log_event(LOG_LEVEL_INFO, "gateway", "start",
		  "incarnation=%s availability_zone=%s callers=%s",
		  gateway->incarnation, gateway->settings.availability_zone,
		  gateway->settings.gateway_callers);
	kernel_run(&gateway->kernel);
	status = 0;
	log_event(LOG_LEVEL_INFO, "gateway", "exit", "code=%d", status);
out:
	finish_all(gateway);
	return status;
}

static int load_settings(gateway_t *gateway)
{
	errmsg_t err;

	settings_init(&gateway->settings);
	if (settings_load(&gateway->settings, gateway->settings_path, &err) !=
	    SETTINGS_OK) {
		fprintf(stderr, "tanagertrestle: %s\n", err.text);
		return EXIT_USAGE;
	}
	if (!gateway->settings.is_gateway) {
		fprintf(stderr,
			"tanagertrestle: %s: gateway: missing section\n",
			gateway->settings_path);
		return EXIT_USAGE;
	}
	return 0;
}

int gateway_main(int argc, char **argv)
{
	gateway_t *gateway;
	char *path = NULL;
	const GOptionEntry entries[] = {{"file", 'f', 0, G_OPTION_ARG_FILENAME,
					 &path, "settings file", "SETTINGS"},
					{NULL}};
	g_autoptr(GOptionContext) context =
		g_option_context_new("- run a gateway");
	g_autoptr(GError) error = NULL;
	int status = EXIT_USAGE;

	/* Until its handler is installed, the signal would end the process. */
	signal(SIGHUP, SIG_IGN);
	kernel_set_up_memory();
	g_option_context_add_main_entries(context, entries, NULL);
	gateway = g_new0(gateway_t, 1);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "tanagertrestle: %s\n", error->message);
		goto out;
	}
	if (path == NULL || argc != 1) {
		fprintf(stderr, "usage: tanagertrestle gateway -f SETTINGS\n");
		goto out;
	}
	gateway->settings_path = path;
	status = load_settings(gateway);
	if (status != 0)
		goto out;
	if (log_init(log_level_parse(gateway->settings.log_level),
		     gateway->settings.name) != 0) {
		fprintf(stderr, "tanagertrestle: cannot initialize log4c\n");
		status = 1;
		goto out;
	}
	status = run(gateway);
	log_finish();
out:
	settings_finish(&gateway->settings);
	g_free(gateway);
	g_free(path);
	return status;
}
