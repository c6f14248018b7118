#include "overload/overload.h"

#include "log/log.h"

#include <string.h>

#define SAMPLE_INTERVAL_US (50 * USEC_PER_MSEC)
#define BYTES_PER_MBIT 125000.0
#define PERCENT 100

static int64_t longest_wait(const lag_sample_t *sample)
{
	return MAX(sample->timer, sample->input);
}

static void add_worst(lag_sample_t *worst, const lag_sample_t *sample)
{
	if (sample->turn > worst->turn) {
		worst->turn = sample->turn;
		worst->turn_cpu = sample->turn_cpu;
	}
	worst->timer = MAX(worst->timer, sample->timer);
	worst->input = MAX(worst->input, sample->input);
}

overload_change_t overload_update(overload_state_t *state,
				  const lag_sample_t *sample, int64_t now)
{
	if (longest_wait(sample) > OVERLOAD_WAIT_US) {
		state->last = now;
		if (state->behind) {
			add_worst(&state->worst, sample);
			return OVERLOAD_UNCHANGED;
		}
		state->behind = true;
		state->since = now;
		state->worst = *sample;
		return OVERLOAD_BEGAN;
	}
	if (!state->behind || now - state->last < OVERLOAD_CALM_US)
		return OVERLOAD_UNCHANGED;
	state->behind = false;
	return OVERLOAD_ENDED;
}

bool overload_may_yield(uint32_t instances, uint32_t behind)
{
	return behind <= instances / OVERLOAD_YIELD_PART;
}

static void log_change(const overload_t *overload, const char *event,
		       int64_t lasted)
{
	const lag_sample_t *worst = &overload->state.worst;
	const buffers_t *buffers = &overload->kernel->buffers;

	log_event(LOG_LEVEL_WARN, "overload", event,
		  "input_ms=%" G_GINT64_FORMAT " timer_ms=%" G_GINT64_FORMAT
		  " turn_ms=%" G_GINT64_FORMAT " cpu_ms=%" G_GINT64_FORMAT
		  " lasted_ms=%" G_GINT64_FORMAT " unsent=%" G_GUINT64_FORMAT
		  " buffered=%" G_GUINT64_FORMAT,
		  worst->input / USEC_PER_MSEC, worst->timer / USEC_PER_MSEC,
		  worst->turn / USEC_PER_MSEC, worst->turn_cpu / USEC_PER_MSEC,
		  lasted / USEC_PER_MSEC, buffers->held[BUFFER_OUTPUT],
		  buffers_total(buffers));
}

/* Whether callers do better elsewhere: by the link, if that is known. */
static bool is_in_need(const overload_t *overload)
{
	return overload->link_mbps > 0 ? overload->move.needy
				       : overload->state.behind;
}

/* Tells the peers in the zone, or one of them, whether this one is behind. */
static void tell(const overload_t *overload, const char *incarnation)
{
	msg_t msg = {.kind = MSG_PEER_SEND};

	g_strlcpy(msg.u.peer.incarnation, incarnation,
		  sizeof(msg.u.peer.incarnation));
	g_strlcpy(msg.u.peer.availability_zone, overload->zone,
		  sizeof(msg.u.peer.availability_zone));
	msg.u.peer.body = peer_body_new(PEER_OVERLOAD);
	msg.u.peer.body->u.overload.behind = is_in_need(overload);
	kernel_post(overload->kernel, overload->svc, overload->peer, &msg);
}

static void post_state(const overload_t *overload, svc_t to)
{
	msg_t msg = {.kind = MSG_OVERLOAD};

	msg.u.overload.yields = overload->yields;
	msg.u.overload.congested = overload->congested;
	msg.u.overload.excess =
		overload->yields ? move_excess(&overload->move) : 0;
	kernel_post(overload->kernel, overload->svc, to, &msg);
}

/* Returns how many peers in need come before this instance. */
static uint32_t count_before(const overload_t *overload)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, overload->behind);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (strcmp(key, overload->incarnation) < 0)
			count++;
	return count;
}

static void decide_yield(overload_t *overload)
{
	uint32_t instances =
		1 + peer_set_count_in_zone(&overload->peers, overload->zone);
	uint32_t behind = 1 + g_hash_table_size(overload->behind);
	bool may, yields;

	if (overload->link_mbps > 0)
		may = move_may_yield(instances, behind, count_before(overload));
	else
		may = overload->yields || overload_may_yield(instances, behind);
	yields = is_in_need(overload) && may;
	if (yields == overload->yields) {
		/* The excess changes while callers leave. */
		if (yields && overload->link_mbps > 0)
			post_state(overload, overload->ingress);
		return;
	}
	overload->yields = yields;
	log_event(LOG_LEVEL_INFO, "overload", yields ? "yields" : "returns",
		  "zone_instances=%u zone_behind=%u load_percent=%d", instances,
		  behind, (int)(overload->move.load * PERCENT));
	post_state(overload, overload->ingress);
}

/* Callers ask for more than this instance bears, or no longer do. */
static void need_changed(overload_t *overload)
{
	const move_t *move = &overload->move;

	log_event(LOG_LEVEL_WARN, "overload",
		  move->needy ? "over_capacity" : "within_capacity",
		  "load_percent=%d link_mbps=%g in_percent=%d out_percent=%d",
		  (int)(move->load * PERCENT), overload->link_mbps,
		  (int)overload->kernel->metrics->gauges[GAUGE_LINK_IN],
		  (int)overload->kernel->metrics->gauges[GAUGE_LINK_OUT]);
	tell(overload, "");
}

static void load_offered(overload_t *overload, double load)
{
	if (move_update(&overload->move, load, kernel_now(overload->kernel)))
		need_changed(overload);
	decide_yield(overload);
}

static double utilization(const overload_t *overload, uint64_t bytes,
			  int64_t elapsed)
{
	double capacity = overload->link_mbps * BYTES_PER_MBIT / USEC_PER_SEC;

	return (double)bytes / (capacity * (double)elapsed);
}

/* Tells ingress what is moved, and how long input waits. */
static void report_load(overload_t *overload, const lag_sample_t *sample,
			int64_t now)
{
	const traffic_t *traffic = &overload->kernel->pollset.traffic;
	overload_total_t *oldest = &overload->totals[overload->next];
	msg_t msg = {.kind = MSG_LOAD};

	if (overload->link_mbps <= 0)
		return;
	if (oldest->at > 0 && now > oldest->at) {
		msg.u.load.in =
			utilization(overload, traffic->in - oldest->traffic.in,
				    now - oldest->at);
		msg.u.load.out = utilization(overload,
					     traffic->out - oldest->traffic.out,
					     now - oldest->at);
	}
	msg.u.load.wait = sample->input;
	overload->link_full =
		MAX(msg.u.load.in, msg.u.load.out) > OVERLOAD_LINK_FULL;
	oldest->at = now;
	oldest->traffic = *traffic;
	overload->next = (overload->next + 1) % OVERLOAD_TOTALS;
	metrics_set(overload->kernel->metrics, GAUGE_LINK_IN,
		    (int64_t)(msg.u.load.in * PERCENT));
	metrics_set(overload->kernel->metrics, GAUGE_LINK_OUT,
		    (int64_t)(msg.u.load.out * PERCENT));
	kernel_post(overload->kernel, overload->svc, overload->ingress, &msg);
}

/* The proxy must not take congestion for a partition. */
static void tell_proxy(overload_t *overload)
{
	bool congested = overload->state.behind || overload->link_full;

	if (congested == overload->congested)
		return;
	overload->congested = congested;
	post_state(overload, overload->proxy);
}

static void behind_changed(const overload_t *overload)
{
	if (overload->link_mbps <= 0)
		tell(overload, "");
}

static void take_sample(overload_t *overload)
{
	overload_state_t *state = &overload->state;
	lag_sample_t sample = lag_take(&overload->kernel->lag);
	int64_t now = kernel_now(overload->kernel);

	switch (overload_update(state, &sample, now)) {
	case OVERLOAD_BEGAN:
		log_change(overload, "behind", 0);
		behind_changed(overload);
		break;
	case OVERLOAD_ENDED:
		log_change(overload, "caught_up", state->last - state->since);
		behind_changed(overload);
		break;
	case OVERLOAD_UNCHANGED:
		break;
	}
	decide_yield(overload);
	report_load(overload, &sample, now);
	tell_proxy(overload);
	metrics_set(overload->kernel->metrics, GAUGE_BEHIND, state->behind);
	kernel_timer(overload->kernel, overload->svc, SAMPLE_INTERVAL_US,
		     HANDLE_NONE, 0);
}

static bool is_in_zone(const overload_t *overload, const msg_t *msg)
{
	return strcmp(msg->u.peer_addr.availability_zone, overload->zone) == 0;
}

static void peer_told(overload_t *overload, const msg_t *msg)
{
	const char *incarnation = msg->u.peer.incarnation;

	if (msg->u.peer.body->u.overload.behind)
		g_hash_table_add(overload->behind, g_strdup(incarnation));
	else
		g_hash_table_remove(overload->behind, incarnation);
}

static void receive(void *self, msg_t *msg)
{
	overload_t *overload = self;

	switch (msg->kind) {
	case MSG_START:
		overload->ingress = kernel_find(overload->kernel, "ingress");
		overload->proxy = kernel_find(overload->kernel, "proxy");
		overload->peer = kernel_find(overload->kernel, "peer");
		take_sample(overload);
		break;
	case MSG_TIMER:
		take_sample(overload);
		break;
	case MSG_PEER_UP:
		peer_set_update(&overload->peers, msg);
		if (is_in_need(overload) && is_in_zone(overload, msg))
			tell(overload, msg->u.peer_addr.incarnation);
		break;
	case MSG_PEER_DOWN:
		peer_set_update(&overload->peers, msg);
		g_hash_table_remove(overload->behind,
				    msg->u.peer_addr.incarnation);
		break;
	case MSG_OFFERED:
		load_offered(overload, msg->u.offered.load);
		break;
	case MSG_PEER_RECEIVED:
		peer_told(overload, msg);
		break;
	default:
		break;
	}
}

void overload_init(overload_t *overload, kernel_t *kernel, const char *zone)
{
	memset(overload, 0, sizeof(*overload));
	overload->kernel = kernel;
	g_strlcpy(overload->zone, zone, sizeof(overload->zone));
	peer_set_init(&overload->peers);
	overload->behind =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	overload->svc = kernel_register(kernel, "overload", receive, overload);
}

void overload_set_link(overload_t *overload, const char *incarnation,
		       double link_mbps)
{
	g_strlcpy(overload->incarnation, incarnation,
		  sizeof(overload->incarnation));
	overload->link_mbps = link_mbps;
}

void overload_finish(overload_t *overload)
{
	g_hash_table_unref(overload->behind);
	peer_set_finish(&overload->peers);
	kernel_unregister(overload->kernel, overload->svc);
}
