/*
 * Keeps what callers' connections hold, and the time that they take, within
 * their limits: ends the largest holder when the process holds too much, and
 * connections that rest, send or read for too long.
 */
#include "ingress/conn.h"
#include "log/log.h"

/* Time for a caller that reads slowly to read the end of a response. */
#define OUTPUT_TIMEOUT_US (30 * USEC_PER_SEC)
/*
 * Bytes a second that a caller has to read of an answer, on average over the
 * idle limit of the configuration.
 */
#define READ_RATE_MIN 1024
/* Part of the time for a head while no further caller can connect. */
#define FULL_HEAD_DIVISOR 4
/*
 * Time for which an idle connection is kept while further callers wait.  A next
 * request that follows at once is not met by the close.
 */
#define IDLE_KEPT_US USEC_PER_SEC
/* Time for the caller to close after the last response was written. */
#define LINGER_TIMEOUT_US USEC_PER_SEC

/*
 * Only a request that is being read can be refused as not run.  Behind one in
 * progress, the further ones can be left unread.
 */
static size_t droppable_bytes(const ingress_conn_t *conn, buffer_kind_t kind)
{
	if (kind == BUFFER_OUTPUT)
		return conn->counted_output;
	switch (conn->phase) {
	case INGRESS_READING:
		return conn->counted_requests - CONN_MEMORY;
	case INGRESS_BUSY:
		return conn->input->len;
	case INGRESS_IDLE:
	case INGRESS_LINGER:
		break;
	}
	return 0;
}

static ingress_conn_t *find_largest(const ingress_t *ingress,
				    buffer_kind_t kind)
{
	ingress_conn_t *conn, *largest = NULL;
	uint32_t cursor = 0;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		if (droppable_bytes(conn, kind) > 0 &&
		    (largest == NULL || droppable_bytes(conn, kind) >
						droppable_bytes(largest, kind)))
			largest = conn;
	return largest;
}

static void drop(ingress_conn_t *conn, buffer_kind_t kind)
{
	if (kind == BUFFER_OUTPUT) {
		/* A truncated response must not look complete. */
		http_socket_abort(&conn->sock);
		ingress_conn_close(conn);
		return;
	}
	if (conn->phase == INGRESS_BUSY) {
		/* The connection closes after the answer in progress. */
		conn->close_after = true;
		ingress_conn_free_input(conn);
		http_socket_watch_input(&conn->sock, false);
	} else {
		ingress_conn_refuse_full(conn);
	}
	ingress_conn_count_bytes(conn);
}

void ingress_conn_relieve(ingress_t *ingress, buffer_kind_t kind)
{
	const buffers_t *buffers = &ingress->kernel->buffers;
	ingress_conn_t *conn;

	while (!buffers_relieved(buffers) &&
	       (conn = find_largest(ingress, kind)) != NULL) {
		metrics_add(ingress->kernel->metrics, COUNTER_BUFFERS_DROPPED,
			    1);
		log_event(LOG_LEVEL_WARN, "ingress", "dropped",
			  "kind=%s phase=%s bytes=%zu "
			  "buffered=%" G_GUINT64_FORMAT,
			  buffers_kind_name(kind),
			  ingress_phase_name(conn->phase),
			  droppable_bytes(conn, kind), buffers_total(buffers));
		drop(conn, kind);
	}
	kernel_buffers_relieved(ingress->kernel);
}

static int64_t header_limit(const ingress_conn_t *conn)
{
	return conn->ingress->limits.header_timeout_ms * USEC_PER_MSEC;
}

/*
 * Returns how long a connection without a request stays open.  One that has
 * had none yet makes room while no further caller can connect.
 */
static int64_t rest_limit(const ingress_conn_t *conn)
{
	if (http_socket_has_output(&conn->sock))
		return OUTPUT_TIMEOUT_US;
	if (conn->phase == INGRESS_LINGER)
		return LINGER_TIMEOUT_US;
	if (!conn->served && ingress_is_full(conn->ingress))
		return MIN(header_limit(conn), ingress_conn_idle_limit(conn));
	return ingress_conn_idle_limit(conn);
}

/*
 * Returns whether a caller reads its answer too slowly: over the idle limit,
 * and OUTPUT_TIMEOUT_US at least, it has taken neither all nor READ_RATE_MIN a
 * second.
 */
static bool reads_too_slowly(ingress_conn_t *conn, int64_t now)
{
	/* Sound callers pause for seconds before they read. */
	int64_t limit = MAX(ingress_conn_idle_limit(conn), OUTPUT_TIMEOUT_US);
	uint64_t least = (uint64_t)(READ_RATE_MIN * limit / USEC_PER_SEC);
	uint64_t taken;

	if (!http_socket_has_output(&conn->sock)) {
		conn->read_since = 0;
		return false;
	}
	taken = http_socket_delivered(&conn->sock);
	if (conn->read_since == 0 || taken - conn->read_then >= least) {
		conn->read_since = now;
		conn->read_then = taken;
	}
	return now - conn->read_since > limit;
}

static void reset_slow_reader(ingress_conn_t *conn)
{
	metrics_add(conn->ingress->kernel->metrics, COUNTER_SLOW_READERS, 1);
	log_event(LOG_LEVEL_INFO, "ingress", "reads_too_slowly",
		  "phase=%s unread=%zu", ingress_phase_name(conn->phase),
		  http_socket_output_len(&conn->sock));
	http_socket_abort(&conn->sock);
	ingress_conn_close(conn);
}

/*
 * Returns the time for a request to arrive.  While no further caller can
 * connect, slow ones have less: sound heads come in one piece.
 */
static int64_t read_limit(const ingress_conn_t *conn)
{
	bool full = ingress_is_full(conn->ingress);

	if (conn->parse.state < HTTP_STATE_BODY)
		return full ? header_limit(conn) / FULL_HEAD_DIVISOR
			    : header_limit(conn);
	return full ? header_limit(conn) : ingress_conn_idle_limit(conn);
}

static void sweep(ingress_conn_t *conn, int64_t now)
{
	int64_t age = now - conn->phase_since;

	if (reads_too_slowly(conn, now)) {
		reset_slow_reader(conn);
		return;
	}
	switch (conn->phase) {
	case INGRESS_IDLE:
		/* A request that has arrived is read in this iteration. */
		if (age > rest_limit(conn) &&
		    !http_socket_has_input(&conn->sock))
			ingress_conn_close(conn);
		break;
	case INGRESS_READING:
		/* A caller is not late if its input waits to be read. */
		if (http_socket_has_input(&conn->sock))
			break;
		if (age <= read_limit(conn))
			break;
		ingress_conn_respond_error(
			conn, 408,
			conn->parse.state < HTTP_STATE_BODY
				? "the head did not come in time\n"
				: "the body did not come in time\n");
		break;
	case INGRESS_BUSY:
		break;
	case INGRESS_LINGER:
		if (age > rest_limit(conn))
			ingress_conn_close(conn);
		break;
	}
}

static bool is_unfinished(const ingress_conn_t *conn)
{
	if (conn->sock.failed)
		return false;
	if (conn->phase == INGRESS_READING ||
	    http_socket_has_output(&conn->sock))
		return true;
	return conn->phase == INGRESS_IDLE &&
	       http_socket_has_input(&conn->sock);
}

bool ingress_conn_any_unfinished(const ingress_t *ingress)
{
	uint32_t cursor = 0;
	const ingress_conn_t *conn;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		if (is_unfinished(conn))
			return true;
	return false;
}

void ingress_conn_make_room(ingress_t *ingress, listener_kind_t kind,
			    uint32_t most)
{
	ingress_conn_t *conn, *oldest = NULL;
	uint32_t cursor = 0, count = 0;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL) {
		if (conn->kind != kind || conn->phase == INGRESS_BUSY)
			continue;
		count++;
		if (oldest == NULL || conn->phase_since < oldest->phase_since)
			oldest = conn;
	}
	if (count >= most && oldest != NULL)
		ingress_conn_close(oldest);
}

ingress_conn_t *ingress_conn_longest_idle(const ingress_t *ingress)
{
	int64_t latest = kernel_now(ingress->kernel) - IDLE_KEPT_US;
	ingress_conn_t *conn, *longest = NULL;
	uint32_t cursor = 0;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL)
		if (conn->kind == LISTENER_CALLERS &&
		    conn->phase == INGRESS_IDLE &&
		    conn->phase_since <= latest &&
		    !http_socket_has_output(&conn->sock) &&
		    (longest == NULL ||
		     conn->phase_since < longest->phase_since))
			longest = conn;
	/* A request that has arrived is read first. */
	if (longest != NULL && http_socket_has_input(&longest->sock))
		return NULL;
	return longest;
}

void ingress_conn_sweep(ingress_t *ingress)
{
	int64_t now = kernel_now(ingress->kernel);
	uint32_t cursor = 0;
	ingress_conn_t *conn;

	while ((conn = table_next(&ingress->conns, &cursor, NULL)) != NULL) {
		handle_t self = conn->self;

		sweep(conn, now);
		if (table_get(&ingress->conns, self) == NULL)
			continue;
		/* What a slow caller reads is not reported one by one. */
		ingress_conn_count_bytes(conn);
		http_socket_check_window(&conn->sock);
	}
}
