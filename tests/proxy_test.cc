// Guards what may be sent to a second target, what a refusal promises, and
// the share of the fleet's retry budget.
#include "proxy/events.h"
#include "proxy/proxy.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

class Proxy : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		proxy_opts_t opts = {};

		g_strlcpy(opts.incarnation, "run-1", sizeof(opts.incarnation));
		opts.repeats = {0.2, 100, 10 * USEC_PER_SEC};
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		ingress = kernel_register(&kernel, "ingress", receive, this);
		balance = kernel_register(&kernel, "balance", receive, this);
		outbound = kernel_register(&kernel, "outbound", receive, this);
		prepaid = kernel_register(&kernel, "prepaid", receive, this);
		kernel_register(&kernel, "peer", receive, this);
		fleet = kernel_register(&kernel, "fleet", receive, this);
		proxy_init(&proxy, &kernel, &opts);
		kernel_start(&kernel);
		send_conf();
	}
	void TearDown() override
	{
		proxy_finish(&proxy);
		kernel_finish(&kernel);
	}
	static void add_route(fleet_conf_t *conf, const char *name,
			      route_kind_t kind, bool resumable,
			      uint32_t attempts, const char *service)
	{
		fleet_route_t route = {};

		g_strlcpy(route.name, name, sizeof(route.name));
		g_strlcpy(route.host, "h", sizeof(route.host));
		g_snprintf(route.path_prefix, sizeof(route.path_prefix), "/%s/",
			   name);
		route.kind = kind;
		route.resumable = resumable;
		route.max_attempts = attempts;
		route.timeout_ms = 2000;
		route.latency_goal_ms = 200;
		route.share_count = 1;
		route.shares[0].weight = 1;
		g_strlcpy(route.shares[0].service, service,
			  sizeof(route.shares[0].service));
		g_array_append_val(conf->routes, route);
	}
	void send_conf()
	{
		fleet_conf_t *conf = fleet_conf_new();
		fleet_service_t engine = {}, desk = {};
		fleet_account_t account = {};
		msg_t msg = {};

		conf->version = 7;
		conf->has_accounts = true;
		add_route(conf, "safe", ROUTE_SAFE, false, 2, "desk");
		add_route(conf, "unsafe", ROUTE_UNSAFE, false, 2, "desk");
		add_route(conf, "stream", ROUTE_STREAM, false, 2, "engine");
		add_route(conf, "resume", ROUTE_STREAM, true, 3, "engine");
		g_strlcpy(engine.name, "engine", sizeof(engine.name));
		engine.engine = true;
		engine.event_tokens = 6;
		g_array_append_val(conf->services, engine);
		g_strlcpy(desk.name, "desk", sizeof(desk.name));
		g_array_append_val(conf->services, desk);
		g_strlcpy(account.name, "a1", sizeof(account.name));
		account.priority = -1;
		account.prepaid = 1000000;
		g_array_append_val(conf->accounts, account);
		g_hash_table_insert(conf->keys, g_strdup("key"),
				    GUINT_TO_POINTER(1));
		msg.kind = MSG_FLEET_CONF;
		msg.u.fleet_conf = conf;
		kernel_post(&kernel, fleet, proxy.svc, &msg);
		run(0);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	static void receive(void *self, msg_t *msg)
	{
		static_cast<Proxy *>(self)->take(msg);
	}
	void take(msg_t *msg)
	{
		gsize size;
		const void *data;

		switch (msg->kind) {
		case MSG_EXCHANGE_STARTED:
			exchange = msg->id;
			break;
		case MSG_EXCHANGE_HEAD:
			status = msg->u.exchange_head.head->status;
			retry_after = http_head_get(msg->u.exchange_head.head,
						    "Retry-After") != nullptr;
			break;
		case MSG_EXCHANGE_DATA:
			data = g_bytes_get_data(msg->u.data.bytes, &size);
			body.append(static_cast<const char *>(data), size);
			break;
		case MSG_EXCHANGE_END:
			ends++;
			break;
		case MSG_EXCHANGE_ABORTED:
			broken++;
			break;
		case MSG_RESERVE:
			reserved(msg);
			break;
		case MSG_SPEND:
			spent = msg->u.spend.tokens;
			break;
		case MSG_PLACE:
			place(msg);
			break;
		case MSG_PLACE_DONE:
			results.push_back(msg->u.place_done.result);
			break;
		case MSG_OUT_SEND:
			sent(msg);
			break;
		case MSG_OUT_CANCEL:
			cancels++;
			break;
		default:
			break;
		}
	}
	void reserved(const msg_t *to)
	{
		msg_t msg = {};

		msg.kind = MSG_RESERVED;
		msg.ref = to->id;
		msg.id = {1, 1};
		msg.u.reserved.result = RESERVE_OK;
		kernel_post(&kernel, prepaid, to->from, &msg);
	}
	void place(const msg_t *to)
	{
		msg_t msg = {};

		places++;
		avoided = to->u.place.avoid_count;
		if (no_room)
			return;
		msg.kind = MSG_PLACED;
		msg.ref = to->id;
		msg.id = {(uint32_t)places, 1};
		msg.u.placed.target = {(uint32_t)places, 1};
		g_snprintf(msg.u.placed.instance, sizeof(msg.u.placed.instance),
			   "i-%d", places);
		g_strlcpy(msg.u.placed.host, "127.0.0.1",
			  sizeof(msg.u.placed.host));
		kernel_post(&kernel, balance, to->from, &msg);
	}
	void sent(const msg_t *to)
	{
		msg_t msg = {};
		const char *last =
			http_head_get(to->u.out_send.head, "Last-Event-Id");

		sends++;
		last_event = last != nullptr ? last : "";
		out_ref = to->id;
		msg.kind = MSG_OUT_STARTED;
		msg.ref = to->id;
		msg.id = {(uint32_t)sends, 1};
		kernel_post(&kernel, outbound, to->from, &msg);
	}
	void open(const char *path, const char *key = "key")
	{
		msg_t msg = {};
		exchange_spec_t *spec = exchange_spec_new();

		g_strlcpy(spec->host, "h", sizeof(spec->host));
		g_strlcpy(spec->path, path, sizeof(spec->path));
		g_strlcpy(spec->api_key, key, sizeof(spec->api_key));
		g_strlcpy(spec->request_id, "r1", sizeof(spec->request_id));
		spec->prompt_tokens = 100;
		spec->max_tokens = 50;
		spec->head = http_head_request("POST", path);
		msg.kind = MSG_EXCHANGE_OPEN;
		msg.id = {1, 1};
		msg.u.exchange = spec;
		kernel_post(&kernel, ingress, proxy.svc, &msg);
		run(0);
	}
	msg_t out(msg_kind_t kind)
	{
		msg_t msg = {};

		msg.kind = kind;
		msg.ref = out_ref;
		msg.id = {(uint32_t)sends, 1};
		return msg;
	}
	void head(uint32_t code, bool genuine = true, bool not_run = false)
	{
		msg_t msg = out(MSG_OUT_HEAD);

		msg.u.out_head.head = http_head_response(code);
		http_head_add(msg.u.out_head.head, "Attempt-Id", "r1");
		if (genuine)
			http_head_add(msg.u.out_head.head, "Response-Seal",
				      "s");
		if (not_run)
			http_head_add(msg.u.out_head.head, "Not-Executed", "1");
		kernel_post(&kernel, outbound, proxy.svc, &msg);
		run(0);
	}
	void data(const char *text)
	{
		msg_t msg = out(MSG_OUT_DATA);

		msg.u.data.bytes = g_bytes_new(text, strlen(text));
		kernel_post(&kernel, outbound, proxy.svc, &msg);
		run(0);
	}
	void end()
	{
		msg_t msg = out(MSG_OUT_END);

		kernel_post(&kernel, outbound, proxy.svc, &msg);
		run(0);
	}
	void fail(failure_t failure, bool was_sent, bool reset = false)
	{
		msg_t msg = out(MSG_OUT_FAILED);

		msg.u.out_failed.failure = failure;
		msg.u.out_failed.sent = was_sent;
		msg.u.out_failed.reset = reset;
		kernel_post(&kernel, outbound, proxy.svc, &msg);
		run(0);
	}
	kernel_t kernel;
	proxy_t proxy;
	svc_t ingress, balance, outbound, prepaid, fleet;
	handle_t exchange, out_ref;
	uint32_t status = 0, avoided = 0;
	bool retry_after = false, no_room = false;
	std::string body, last_event;
	std::vector<place_result_t> results;
	int ends = 0, broken = 0, places = 0, sends = 0, cancels = 0;
	int64_t spent = -1;
};

TEST_F(Proxy, UnsafeRequestIsNotSentAgainAfterALoss)
{
	open("/unsafe/x");
	fail(FAILURE_SENT, true, true);
	EXPECT_EQ(sends, 1);
	EXPECT_EQ(status, 502u);
	EXPECT_FALSE(retry_after);
}

TEST_F(Proxy, UnsafeRequestThatDidNotRunIsSentAgain)
{
	open("/unsafe/x");
	head(503, false, true);
	end();
	EXPECT_EQ(sends, 2);
	EXPECT_EQ(avoided, 1u);
	fail(FAILURE_CONNECT, false);
	EXPECT_EQ(sends, 3);
	head(200);
	data("ok");
	end();
	EXPECT_EQ(status, 200u);
	EXPECT_EQ(body, "ok");
}

TEST_F(Proxy, RefusalSaysNotRunOnlyWhenNothingRan)
{
	open("/unsafe/x");
	for (int i = 0; i < 4; i++) {
		head(503, false, true);
		end();
	}
	EXPECT_EQ(status, 429u);
	EXPECT_TRUE(retry_after);
	open("/unsafe/x");
	run(3 * USEC_PER_SEC);
	EXPECT_EQ(status, 504u);
	EXPECT_FALSE(retry_after);
	EXPECT_EQ(cancels, 1);
}

TEST_F(Proxy, SafeRequestIsSentAgainWithinItsAttempts)
{
	open("/safe/x");
	fail(FAILURE_SENT, true, true);
	EXPECT_EQ(sends, 2);
	fail(FAILURE_SENT, true, true);
	EXPECT_EQ(sends, 2);
	EXPECT_EQ(status, 502u);
}

TEST_F(Proxy, SafeRequestLeavesASilentTarget)
{
	open("/safe/x");
	fail(FAILURE_SILENT, true);
	EXPECT_EQ(sends, 2);
	EXPECT_EQ(results.back(), PLACE_LOST);
}

TEST_F(Proxy, SuccessWithoutTheTargetsMarkIsNotPassedOn)
{
	open("/unsafe/x");
	head(200, false);
	EXPECT_EQ(status, 502u);
}

TEST_F(Proxy, ErrorOfATargetIsPassedOnUnchanged)
{
	open("/unsafe/x");
	head(500);
	data("err");
	end();
	EXPECT_EQ(status, 500u);
	EXPECT_EQ(body, "err");
}

TEST_F(Proxy, StreamIsNotRepeatedOnceItMayHaveRun)
{
	open("/stream/x");
	head(200);
	data("id: 1\ndata: a\n\nid: 2\nda");
	fail(FAILURE_STREAM, true, true);
	EXPECT_EQ(sends, 1);
	EXPECT_EQ(broken, 1);
	EXPECT_EQ(body, "id: 1\ndata: a\n\n");
}

TEST_F(Proxy, StreamGoesOnAfterItsLastWholeEvent)
{
	open("/resume/x");
	head(200);
	data("id: 1\ndata: a\n\nid: 2\nda");
	fail(FAILURE_STREAM, true, true);
	EXPECT_EQ(sends, 2);
	EXPECT_EQ(last_event, "1");
	head(200);
	data("id: 2\ndata: b\n\n");
	end();
	EXPECT_EQ(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
	EXPECT_EQ(ends, 1);
	EXPECT_EQ(spent, 100 + 2 * 6);
}

TEST_F(Proxy, CallerThatLeftIsChargedForWhatItGot)
{
	msg_t msg = {};

	open("/stream/x");
	head(200);
	data("id: 1\ndata: a\n\n");
	msg.kind = MSG_EXCHANGE_CANCEL;
	msg.ref = exchange;
	kernel_post(&kernel, ingress, proxy.svc, &msg);
	run(0);
	EXPECT_EQ(cancels, 1);
	EXPECT_EQ(spent, 106);
	EXPECT_EQ(results.back(), PLACE_CANCELLED);
}

TEST_F(Proxy, RequestThatNeverRanCostsNothing)
{
	open("/stream/x");
	for (int i = 0; i < 4; i++) {
		head(503, false, true);
		end();
	}
	EXPECT_EQ(spent, 0);
}

TEST_F(Proxy, UnknownRouteAndKeyAreRefused)
{
	open("/other/x");
	EXPECT_EQ(status, 404u);
	open("/safe/x", "revoked");
	EXPECT_EQ(status, 401u);
	EXPECT_EQ(sends, 0);
}

// A request that crashes the targets that run it must not reach all of them.
TEST_F(Proxy, RequestThatCrashesTargetsIsHeldBack)
{
	for (int i = 0; i < 3; i++) {
		open("/unsafe/poison");
		fail(FAILURE_SENT, true, true);
		places--;
		open("/unsafe/other");
		fail(FAILURE_CONNECT, false);
		head(200);
		end();
	}
	sends = 0;
	open("/unsafe/poison");
	EXPECT_EQ(sends, 0);
	EXPECT_EQ(status, 503u);
	open("/unsafe/other");
	EXPECT_EQ(sends, 1);
}

TEST(Repeats, StayWithinTheShareOfTheFleet)
{
	repeats_limits_t limits = {0.2, 54, 10 * USEC_PER_SEC};
	repeats_t repeats;
	std::mt19937 random(1);
	uint32_t taken = 0, requests = 0;

	repeats_init(&repeats, &limits);
	for (int64_t now = 0; now < 10 * USEC_PER_SEC; now += 20000) {
		repeats_request(&repeats, "s", now);
		requests++;
		taken += repeats_take(&repeats, "s", 7, now);
	}
	EXPECT_LE(taken, 0.2 * requests + 54.0 / 7);
	EXPECT_GT(taken, 0.1 * requests);
	/* The window moves on. */
	EXPECT_TRUE(repeats_take(&repeats, "s", 7, 30 * USEC_PER_SEC));
	EXPECT_TRUE(repeats_take(&repeats, "other", 7, 30 * USEC_PER_SEC));
	repeats_finish(&repeats);
}

TEST(Events, AnySplitGivesTheSameWholeEvents)
{
	const std::string text = "weights: 2\nid: 7\ndata: x\n\n"
				 "id: 8\r\ndata: y\r\n\r\nid: 9\ndata: cut";

	for (size_t piece = 1; piece < text.size(); piece++) {
		events_t events;
		std::string out;

		events_init(&events);
		for (size_t at = 0; at < text.size(); at += piece) {
			std::string part = text.substr(at, piece);
			GBytes *bytes = g_bytes_new(part.data(), part.size());
			GBytes *whole = events_feed(&events, bytes);
			gsize size;
			const void *data;

			g_bytes_unref(bytes);
			if (whole == nullptr)
				continue;
			data = g_bytes_get_data(whole, &size);
			out.append(static_cast<const char *>(data), size);
			g_bytes_unref(whole);
		}
		EXPECT_EQ(out, text.substr(0, text.find("id: 9")));
		EXPECT_EQ(events.count, 2u);
		EXPECT_STREQ(events.last_id, "8");
		events_finish(&events);
	}
}

} // namespace
