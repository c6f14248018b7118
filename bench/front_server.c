/*
 * Front with a request service that answers at once, for bench/front_load.py.
 * Serves for the given number of seconds, then prints its processor time.
 */
#include "front/front.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

typedef struct bench_t {
	kernel_t kernel;
	front_t front;
	svc_t svc;
} bench_t;

static void reply(bench_t *bench, const msg_t *open, msg_kind_t kind)
{
	msg_t msg = {.kind = kind, .ref = open->id, .id = open->id};

	if (kind == MSG_REPLY_HEAD) {
		msg.u.head.status = 200;
		g_strlcpy(msg.u.head.content_type, "text/plain",
			  sizeof(msg.u.head.content_type));
	} else if (kind == MSG_REPLY_DATA) {
		msg.u.data.bytes = g_bytes_new_static("answer\n", 7);
	}
	kernel_post(&bench->kernel, bench->svc, bench->front.svc, &msg);
}

/* Requests for /hold stay open. */
static void receive(void *self, msg_t *msg)
{
	bench_t *bench = self;

	if (msg->kind == MSG_TIMER)
		kernel_quit(&bench->kernel);
	if (msg->kind != MSG_REQ_OPEN)
		return;
	reply(bench, msg, MSG_REQ_STARTED);
	reply(bench, msg, MSG_REPLY_HEAD);
	reply(bench, msg, MSG_REPLY_DATA);
	if (g_strcmp0(msg->u.open->path, "/hold") != 0)
		reply(bench, msg, MSG_REPLY_END);
}

int main(int argc, char **argv)
{
	int64_t seconds = argc > 1 ? strtol(argv[1], NULL, 10) : 10;
	front_opts_t opts;
	struct rusage usage;
	bench_t bench;

	front_opts_default(&opts);
	kernel_init(&bench.kernel, CLOCK_REAL, 0);
	bench.svc = kernel_register(&bench.kernel, "request", receive, &bench);
	front_init(&bench.front, &bench.kernel, &opts);
	if (front_listen(&bench.front) != FRONT_OK) {
		fprintf(stderr, "%s\n", bench.front.err.text);
		return 1;
	}
	printf("listening %u\n", front_port(&bench.front));
	fflush(stdout);
	kernel_start(&bench.kernel);
	kernel_timer(&bench.kernel, bench.svc, seconds * USEC_PER_SEC,
		     HANDLE_NONE, 0);
	kernel_run(&bench.kernel);
	getrusage(RUSAGE_SELF, &usage);
	printf("cpu_s %.2f max_rss_kb %ld connections %u\n",
	       (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
		       (double)(usage.ru_utime.tv_usec +
				usage.ru_stime.tv_usec) /
			       1e6,
	       usage.ru_maxrss, bench.front.connections->count);
	front_finish(&bench.front);
	kernel_finish(&bench.kernel);
	return 0;
}
