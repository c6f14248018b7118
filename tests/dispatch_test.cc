// Tests of the HTTP client to targets: failure classes, no request sent twice,
// cancels that reach the target, and the count of generated tokens.
#include "dispatch/body.h"
#include "dispatch/dispatch.h"
#include "dispatch/tokens.h"
#include "tests/pump.h"

#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <vector>

namespace
{

const std::string sse =
	"data: {\"choices\":[{\"delta\":{\"role\":\"assistant\","
	"\"content\":\"\"}}]}\r\n\r\n"
	": comment \"content\":\"x\"\n\n"
	"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	"data:{\"choices\":[{\"text\" : \"say \\\"usage\\\":{}\"}]}\n\n"
	"event: x\ndata: {\"choices\":[{\"delta\":{\"content\":null}}]}\n\n"
	"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":11,"
	"\"completion_tokens\":5}}\n\n"
	"data: [DONE]\n\n";

// A read may end anywhere in a record; the token count must not depend on where
// the reads end.
TEST(Tokens, CountDoesNotDependOnTheSplitOfAStream)
{
	std::mt19937 random(3);

	for (int i = 0; i < 3000; i++) {
		tokens_t tokens;
		int64_t count = 0;

		tokens_init(&tokens, true);
		for (size_t at = 0; at < sse.size();) {
			size_t n = std::min<size_t>(1 + random() % 40,
						    sse.size() - at);
			count += tokens_feed(&tokens, sse.data() + at, n);
			ASSERT_EQ(tokens.done, at + n + 1 >= sse.size());
			at += n;
		}
		ASSERT_EQ(count, 2);
		ASSERT_EQ(tokens.content_records, 2);
		ASSERT_TRUE(tokens.usage_known);
		ASSERT_EQ(tokens.prompt_tokens, 11);
		ASSERT_EQ(tokens.completion_tokens, 5);
		tokens_finish(&tokens);
	}
}

// Targets may send invalid responses, which must cause no crash and no negative
// or huge usage.
TEST(Tokens, FuzzedResponsesStayWithinLimits)
{
	const std::string alphabet = "{}[]\":,\\ -9e.\n\r\x80";
	std::mt19937 random(5);

	for (int i = 0; i < 20000; i++) {
		std::string text = sse;
		tokens_t tokens;

		for (int n = 1 + random() % 5; n > 0; n--)
			text[random() % text.size()] =
				alphabet[random() % alphabet.size()];
		tokens_init(&tokens, i % 2 == 0);
		tokens_feed(&tokens, text.data(), text.size());
		tokens_end(&tokens);
		ASSERT_LE(tokens.content_records, 6);
		ASSERT_GE(tokens.completion_tokens, 0);
		ASSERT_LE(tokens.completion_tokens, TOKENS_USAGE_MAX);
		tokens_finish(&tokens);
	}
}

// An endless line must not be buffered in memory.
TEST(Tokens, LongLinesAreCountedButNotBuffered)
{
	std::string block(100000, 'a');
	tokens_t tokens;

	tokens_init(&tokens, true);
	for (int i = 0; i < 50; i++)
		tokens_feed(&tokens, block.data(), block.size());
	EXPECT_LE(tokens.buffered->len, (guint)TOKENS_LINE_BYTES_MAX);
	EXPECT_EQ(tokens_feed(&tokens, "\ndata: [DONE]\n", 14), 1);
	EXPECT_TRUE(tokens.done);
	tokens_finish(&tokens);
}

std::string rewrite(const char *body)
{
	GBytes *in = g_bytes_new(body, strlen(body));
	GBytes *out = body_rewrite(in, 50);
	gsize len = 0;
	const char *data = out == nullptr
				   ? nullptr
				   : (const char *)g_bytes_get_data(out, &len);
	std::string text(data == nullptr ? "" : data, len);

	g_bytes_unref(in);
	if (out != nullptr)
		g_bytes_unref(out);
	return text;
}

// A target must not generate more tokens than were reserved.
TEST(Body, GeneratedTokensAreLimited)
{
	EXPECT_EQ(rewrite(R"({"a":1.5})"), R"({"a":1.5,"max_tokens":50})");
	EXPECT_EQ(rewrite(R"({"max_tokens":51})"), R"({"max_tokens":50})");
	EXPECT_EQ(rewrite(R"({"max_tokens":7})"), R"({"max_tokens":7})");
	EXPECT_EQ(rewrite(R"({"max_tokens":null})"), R"({"max_tokens":50})");
	EXPECT_EQ(rewrite(R"({"max_completion_tokens":99})"),
		  R"({"max_completion_tokens":50})");
	EXPECT_EQ(rewrite(R"({"max_tokens":7,"max_tok\u0065ns":99})"),
		  R"({"max_tokens":50})");
	EXPECT_EQ(rewrite(R"({"stream":true,"max_tokens":7})"),
		  R"({"stream":true,"max_tokens":7,)"
		  R"("stream_options":{"include_usage":true}})");
	EXPECT_EQ(rewrite("[1]"), "");
	EXPECT_EQ(rewrite("{"), "");
}

// A scripted response; the target uses the steps in the order of the requests.
struct Step {
	std::string response;
	bool close; // the connection, after the response
};

struct Connection {
	GSocket *socket;
	std::string in;
	std::string out;
	std::string stale; // sent before the next response
	bool close = false;
	bool closed = false;
};

class DispatchTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		GSocketAddress *address =
			g_inet_socket_address_new_from_string("127.0.0.1", 0);

		kernel_init(&kernel, CLOCK_REAL, 0);
		svc = kernel_register(&kernel, "request", receive, this);
		kernel_register(&kernel, "route", receive, this);
		dispatch_init(&dispatch, &kernel);
		kernel_start(&kernel);
		listener =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);
		g_socket_bind(listener, address, TRUE, nullptr);
		g_socket_listen(listener, nullptr);
		g_socket_set_blocking(listener, FALSE);
		g_object_unref(address);
		address = g_socket_get_local_address(listener, nullptr);
		port = g_inet_socket_address_get_port(
			G_INET_SOCKET_ADDRESS(address));
		g_object_unref(address);
	}
	void TearDown() override
	{
		dispatch_finish(&dispatch);
		kernel_finish(&kernel);
		for (auto &connection : connections)
			g_object_unref(connection->socket);
		g_object_unref(listener);
	}
	static void receive(void *self, msg_t *msg)
	{
		auto *test = static_cast<DispatchTest *>(self);
		gsize len;

		test->counts[msg->kind]++;
		if (msg->kind == MSG_SEND_STARTED)
			test->call = msg->id;
		else if (msg->kind == MSG_TARGET_HEAD)
			test->status = msg->u.target_head.status;
		else if (msg->kind == MSG_TARGET_FAILED)
			test->failed = *msg;
		else if (msg->kind == MSG_TARGET_END)
			test->end = *msg;
		else if (msg->kind == MSG_ORDER_RESULT)
			test->order_result = msg->u.order_result.result;
		else if (msg->kind == MSG_TARGET_REPORT)
			test->report = *msg;
		else if (msg->kind == MSG_TARGET_PAUSED)
			test->pause_us = msg->u.target_paused.pause_us;
		else if (msg->kind == MSG_TARGET_DATA) {
			auto *data = (const char *)g_bytes_get_data(
				msg->u.target_data.bytes, &len);
			test->body.append(data, len);
			test->tokens += msg->u.target_data.tokens;
		}
	}
	void send(const char *method, bool model = false,
		  uint32_t first_byte_ms = 10000, uint32_t idle_ms = 10000)
	{
		const char *text = model ? "{\"stream\":true}" : "";
		msg_t msg = {};

		msg.kind = MSG_SEND;
		msg.id = {9, 9};
		g_strlcpy(msg.u.send.host, "127.0.0.1", HOST_SIZE);
		msg.u.send.port = port;
		g_strlcpy(msg.u.send.method, method, 16);
		g_strlcpy(msg.u.send.path, "/p?q=1", PATH_SIZE);
		g_strlcpy(msg.u.send.request_id, "id-1", INCARNATION_SIZE);
		msg.u.send.body = g_bytes_new(text, strlen(text));
		msg.u.send.model = model;
		msg.u.send.max_tokens = 5;
		msg.u.send.first_byte_ms = first_byte_ms;
		msg.u.send.idle_ms = idle_ms;
		msg.u.send.deadline = kernel_now(&kernel) + 60 * USEC_PER_SEC;
		kernel_post(&kernel, svc, dispatch.svc, &msg);
	}
	order_result_t send_order(int64_t time_to_send = USEC_PER_SEC)
	{
		int before = counts[MSG_ORDER_RESULT];
		msg_t msg = {};

		msg.kind = MSG_ORDER_SEND;
		msg.id = {9, 9};
		g_strlcpy(msg.u.order_send.host, "127.0.0.1", HOST_SIZE);
		msg.u.order_send.port = port;
		g_strlcpy(msg.u.order_send.subject, "m-7b", NAME_SIZE);
		g_strlcpy(msg.u.order_send.version, "v2", NAME_SIZE);
		msg.u.order_send.fencing_token = 77;
		msg.u.order_send.send_before =
			kernel_now(&kernel) + time_to_send;
		msg.u.order_send.longest_ms = 300;
		kernel_post(&kernel, svc, dispatch.svc, &msg);
		EXPECT_TRUE(wait(
			[&] { return counts[MSG_ORDER_RESULT] > before; }));
		return order_result;
	}
	void send_control(msg_kind_t kind)
	{
		msg_t msg = {};

		msg.kind = kind;
		msg.ref = call;
		kernel_post(&kernel, svc, dispatch.svc, &msg);
	}
	// Returns true once a head and a body of its stated length have
	// arrived.
	static bool is_complete_request(const std::string &in)
	{
		size_t end = in.find("\r\n\r\n");
		size_t at = in.find("Content-Length: ");
		size_t body = at < end ? std::stoul(in.substr(at + 16)) : 0;

		return end != std::string::npos && in.size() >= end + 4 + body;
	}
	void serve_connection(Connection &connection)
	{
		char buffer[65536];
		gssize n;

		while ((n = g_socket_receive(connection.socket, buffer,
					     sizeof(buffer), nullptr,
					     nullptr)) > 0)
			connection.in.append(buffer, (size_t)n);
		connection.closed = connection.closed || n == 0;
		if (is_complete_request(connection.in) &&
		    requests < (int)steps.size()) {
			connection.out +=
				connection.stale + steps[requests].response;
			connection.stale.clear();
			connection.close = steps[requests].close;
			last_request = connection.in;
			connection.in.clear();
			requests++;
		}
		while (!connection.out.empty() &&
		       (n = g_socket_send(
				connection.socket, connection.out.data(),
				connection.out.size(), nullptr, nullptr)) > 0)
			connection.out.erase(0, (size_t)n);
		if (connection.close && connection.out.empty()) {
			g_socket_close(connection.socket, nullptr);
			connection.close = false;
		}
	}
	void serve()
	{
		GSocket *socket = g_socket_accept(listener, nullptr, nullptr);

		if (socket != nullptr) {
			g_socket_set_blocking(socket, FALSE);
			connections.push_back(std::make_unique<Connection>());
			connections.back()->socket = socket;
		}
		for (auto &connection : connections)
			if (!g_socket_is_closed(connection->socket))
				serve_connection(*connection);
	}
	bool wait(const std::function<bool()> &done, int turns = 200000)
	{
		return pump(
			[&] {
				serve();
				return done();
			},
			turns);
	}
	bool wait_finished(int count = 1)
	{
		return wait([&] {
			return counts[MSG_TARGET_END] +
				       counts[MSG_TARGET_FAILED] >=
			       count;
		});
	}
	void expect_failure(const Step &step, failure_t failure, bool model,
			    bool reset)
	{
		int finished =
			counts[MSG_TARGET_END] + counts[MSG_TARGET_FAILED];

		steps.push_back(step);
		send("POST", model, 300, 300);
		ASSERT_TRUE(wait_finished(finished + 1));
		EXPECT_EQ(counts[MSG_TARGET_END], 0) << step.response;
		EXPECT_STREQ(failure_name(failed.u.target_failed.failure),
			     failure_name(failure))
			<< step.response;
		EXPECT_EQ(failed.u.target_failed.reset, reset) << step.response;
		EXPECT_EQ(requests, (int)steps.size()) << step.response;
	}
	kernel_t kernel;
	dispatch_t dispatch;
	svc_t svc;
	GSocket *listener;
	uint16_t port;
	std::vector<std::unique_ptr<Connection>> connections;
	std::vector<Step> steps;
	int requests = 0;
	std::string last_request;
	int counts[MSG_KIND_COUNT] = {};
	handle_t call = {};
	msg_t failed = {}, end = {}, report = {};
	order_result_t order_result = ORDER_RESULT_DONE;
	std::string body;
	uint32_t status = 0;
	int64_t tokens = 0;
	int64_t pause_us = -1;
};

std::string chunked_response(const std::string &type, const std::string &body,
			     bool complete)
{
	char size[16];

	g_snprintf(size, sizeof(size), "%zx", body.size());
	return "HTTP/1.1 200 OK\r\nContent-Type: " + type +
	       "\r\nX-Load-Running: 3\r\nX-Load-Queued: 4\r\n"
	       "Transfer-Encoding: chunked\r\n\r\n" +
	       size + "\r\n" + body + "\r\n" + (complete ? "0\r\n\r\n" : "");
}

TEST_F(DispatchTest, ResponsesArriveByteForByteOnOneConnection)
{
	for (int i = 1; i <= 3; i++) {
		body.clear();
		tokens = 0;
		steps.push_back(
			{chunked_response("text/event-stream", sse, true),
			 false});
		send("POST", true);
		ASSERT_TRUE(wait_finished(i));
		EXPECT_EQ(body, sse);
		EXPECT_EQ(tokens, 2);
		EXPECT_TRUE(end.u.target_end.usage_known);
		EXPECT_EQ(end.u.target_end.completion_tokens, 5);
		EXPECT_TRUE(handle_equal(end.ref, {9, 9}));
		ASSERT_TRUE(wait(
			[&] { return table_count(&dispatch.calls) == 0; }));
	}
	EXPECT_EQ(counts[MSG_TARGET_FAILED], 0);
	EXPECT_EQ(connections.size(), 1u);
	EXPECT_EQ(report.u.target_report.running, 3u);
	EXPECT_EQ(report.u.target_report.queued, 4u);
	EXPECT_EQ(last_request.find("POST /p?q=1 HTTP/1.1\r\n"), 0u);
	EXPECT_NE(last_request.find("X-Request-Id: id-1\r\n"),
		  std::string::npos);
	EXPECT_NE(last_request.find("\"max_tokens\":5"), std::string::npos);
}

TEST_F(DispatchTest, FailuresAreClassifiedByWhatTheTargetMayHaveReceived)
{
	std::string truncated =
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
	std::string without_done =
		chunked_response("text/event-stream", "data: {}\n\n", true);

	expect_failure({"", true}, FAILURE_SENT, false, true);
	expect_failure({"HTTP/1.1 200 OK\r\nContent-Le", true}, FAILURE_HEAD,
		       false, false);
	expect_failure({"HTTP/1.1 200 OK\r\nA: b\r\n", true}, FAILURE_STREAM,
		       false, true);
	expect_failure({"nonsense\r\n\r\n", true}, FAILURE_HEAD, false, false);
	expect_failure({"", false}, FAILURE_SILENT, false, false);
	expect_failure({truncated, true}, FAILURE_STREAM, false, true);
	expect_failure({truncated, false}, FAILURE_SILENT, false, false);
	expect_failure({chunked_response("text/plain", "abc", false), true},
		       FAILURE_STREAM, false, true);
	expect_failure({without_done, false}, FAILURE_STREAM, true, false);
	ASSERT_TRUE(wait([&] { return table_count(&dispatch.calls) == 0; }));
}

// Guards against a response that stops inside its head and is taken for one
// with an empty or a short body.
TEST_F(DispatchTest, ResponseThatStopsInItsHeadIsAFailure)
{
	const std::string heads[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: b\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nA: b\r\nC: d\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		"Transfer-Encoding: chunked\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\nA: b\r\n\r\n",
	};
	int calls = 0;

	for (const std::string &head : heads) {
		for (size_t cut = 1; cut < head.size(); cut++) {
			steps.push_back({head.substr(0, cut), true});
			send("POST", false, 300, 300);
			ASSERT_TRUE(wait_finished(++calls));
			EXPECT_EQ(counts[MSG_TARGET_END], 0)
				<< head.substr(0, cut);
			counts[MSG_TARGET_FAILED] += counts[MSG_TARGET_END];
			counts[MSG_TARGET_END] = 0;
		}
	}
	EXPECT_EQ(body, "");
}

// A response without a body must end the call whatever length its head states,
// because no body follows.
TEST_F(DispatchTest, ResponsesWithoutABodyAreComplete)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const struct {
		const char *method;
		std::string response;
		bool close;
	} cases[] = {
		{"HEAD", ok + "Content-Length: 9\r\n\r\n", false},
		{"HEAD", ok + "\r\n", false},
		{"HEAD", ok + "Transfer-Encoding: chunked\r\n\r\n", false},
		{"HEAD", ok + "Connection: close\r\n\r\n", true},
		{"OPTIONS", "HTTP/1.1 204 No\r\nAllow: GET\r\n\r\n", false},
		{"DELETE", "HTTP/1.1 204 No\r\n\r\n", true},
		{"GET", "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n",
		 false},
	};
	int finished = 0;

	for (const auto &c : cases) {
		steps.push_back({c.response, c.close});
		send(c.method, false, 300, 300);
		ASSERT_TRUE(wait_finished(++finished));
		EXPECT_EQ(counts[MSG_TARGET_END], finished)
			<< c.method << " " << c.response;
	}
	EXPECT_EQ(body, "");
	ASSERT_TRUE(wait([&] { return table_count(&dispatch.calls) == 0; }));
}

TEST_F(DispatchTest, RefusedConnectionIsAConnectFailure)
{
	g_socket_close(listener, nullptr);
	send("POST");
	ASSERT_TRUE(pump([&] { return counts[MSG_TARGET_FAILED] > 0; }));
	EXPECT_EQ(failed.u.target_failed.failure, FAILURE_CONNECT);
	EXPECT_FALSE(failed.u.target_failed.reset);
}

// A refusal is safe to retry only if the target states that the request did not
// run.
TEST_F(DispatchTest, TargetRefusalsAreReported)
{
	std::string head = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n";

	expect_failure({head + "\r\n", false}, FAILURE_OVERLOADED, false,
		       false);
	EXPECT_FALSE(failed.u.target_failed.not_run);
	expect_failure({head + "X-Request-State: not_run\r\n\r\n", false},
		       FAILURE_OVERLOADED, false, false);
	EXPECT_TRUE(failed.u.target_failed.not_run);
	EXPECT_EQ(counts[MSG_TARGET_LEAVING], 0);
	expect_failure({head + "X-Target-Leaving: 1\r\n\r\n", false},
		       FAILURE_LEAVING, false, false);
	EXPECT_EQ(counts[MSG_TARGET_LEAVING], 1);
	EXPECT_EQ(counts[MSG_TARGET_HEAD], 0);
	/* Only the refusal that states that nothing ran ends its connection. */
	EXPECT_EQ(connections.size(), 2u);
}

// Engines refuse model requests with a body, where the state header decides
// about a retry, and stop sending after the head of a stream.
TEST_F(DispatchTest, EngineFailuresAreClassified)
{
	const std::string tail = "Content-Type: application/json\r\n"
				 "Content-Length: 13\r\n\r\n{\"error\":\"x\"}";
	const std::string overloaded = "HTTP/1.1 429 Full\r\n";

	expect_failure({overloaded + tail, false}, FAILURE_OVERLOADED, true,
		       false);
	EXPECT_FALSE(failed.u.target_failed.not_run);
	expect_failure(
		{overloaded + "X-Request-State: not_run\r\n" + tail, false},
		FAILURE_OVERLOADED, true, false);
	EXPECT_TRUE(failed.u.target_failed.not_run);
	// Only a 503 response can announce that the target is leaving.
	expect_failure({overloaded + "X-Target-Leaving: 1\r\n" + tail, false},
		       FAILURE_OVERLOADED, true, false);
	EXPECT_EQ(counts[MSG_TARGET_LEAVING], 0);
	expect_failure({"HTTP/1.1 503 x\r\nX-Target-Leaving: 1\r\n"
			"X-Request-State: not_run\r\n" +
				tail,
			false},
		       FAILURE_LEAVING, true, false);
	EXPECT_TRUE(failed.u.target_failed.not_run);
	EXPECT_EQ(counts[MSG_TARGET_LEAVING], 1);
	EXPECT_EQ(counts[MSG_TARGET_HEAD], 0);
	/* Only the refusal that states that nothing ran ends its connection. */
	EXPECT_EQ(connections.size(), 2u);
	expect_failure({"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
			"\r\nTransfer-Encoding: chunked\r\n\r\n",
			false},
		       FAILURE_SILENT, true, false);
	EXPECT_EQ(counts[MSG_TARGET_HEAD], 1);
	EXPECT_EQ(body, "");
	ASSERT_TRUE(wait([&] { return table_count(&dispatch.calls) == 0; }));
}

// Guards against a target's pause that is missed, or read from a value that is
// none.
TEST_F(DispatchTest, PauseOfATargetIsForwarded)
{
	const struct {
		std::string head;
		int64_t pause_us;
	} cases[] = {
		{"503 x\r\nRetry-After: 2\r\n", 2000000},
		{"503 x\r\nRetry-After: 0.25\r\n", 250000},
		{"503 x\r\nRetry-After: 1e9\r\n", -1},
		{"503 x\r\nRetry-After: -1\r\n", -1},
		{"503 x\r\nRetry-After: soon\r\n", -1},
		{"503 x\r\nRetry-After: 99999999999999\r\n", 3600000000},
		{"429 x\r\nRetry-After: 2\r\n", -1},
	};

	for (auto &c : cases) {
		pause_us = -1;
		expect_failure(
			{"HTTP/1.1 " + c.head + "Content-Length: 0\r\n\r\n",
			 false},
			FAILURE_OVERLOADED, false, false);
		EXPECT_EQ(pause_us, c.pause_us) << c.head;
	}
}

// Guards against a second copy of a refusal that is taken for the response to
// the next request, which runs: nothing in it tells them apart.
TEST_F(DispatchTest, NoRequestFollowsARefusalOnItsConnection)
{
	const std::string refusal = "HTTP/1.1 503 Full\r\n"
				    "X-Request-State: not_run\r\n"
				    "Content-Length: 2\r\n\r\nno";

	steps.push_back({refusal, false});
	send("POST");
	ASSERT_TRUE(wait_finished());
	EXPECT_TRUE(failed.u.target_failed.not_run);
	steps.push_back(
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false});
	connections[0]->stale = refusal;
	send("POST");
	ASSERT_TRUE(wait_finished(2));
	EXPECT_EQ(counts[MSG_TARGET_END], 1);
	EXPECT_EQ(connections.size(), 2u);
	EXPECT_TRUE(wait([&] { return connections[0]->closed; }));
}

// libsoup by itself resends some requests when a reused connection has been
// closed.
TEST_F(DispatchTest, NothingIsSentTwice)
{
	const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	int finished = 0;

	for (const char *method : {"GET", "PUT", "DELETE", "POST", "PATCH"}) {
		steps.push_back({ok, false});
		send(method);
		ASSERT_TRUE(wait_finished(++finished)) << method;
		ASSERT_TRUE(wait(
			[&] { return table_count(&dispatch.calls) == 0; }));
		steps.push_back({"", true});
		steps.push_back({ok, false}); // would answer a resent request
		send(method);
		ASSERT_TRUE(wait_finished(++finished)) << method;
		wait([] { return false; }, 20);
		EXPECT_EQ(failed.u.target_failed.failure, FAILURE_SENT);
		EXPECT_EQ(counts[MSG_TARGET_FAILED], finished / 2) << method;
		EXPECT_EQ(requests, (int)steps.size() - 1) << method;
		steps.pop_back();
	}
}

TEST_F(DispatchTest, CancelReachesTheTarget)
{
	// Before the head, within the body, and while reading is paused.
	for (int i = 0; i < 3; i++) {
		steps.push_back(
			{i == 0 ? ""
				: chunked_response("text/plain", "abc", false),
			 false});
		send("POST");
		ASSERT_TRUE(wait([&] {
			return requests == i + 1 &&
			       counts[MSG_TARGET_DATA] == i;
		}));
		if (i == 2) {
			send_control(MSG_SEND_PAUSE);
			wait([] { return false; }, 5);
		}
		send_control(MSG_SEND_CANCEL);
		ASSERT_TRUE(wait([&] { return connections.back()->closed; }))
			<< i;
		EXPECT_EQ(counts[MSG_TARGET_FAILED], i + 1);
		EXPECT_EQ(failed.u.target_failed.failure, FAILURE_CANCELLED);
		ASSERT_TRUE(wait(
			[&] { return table_count(&dispatch.calls) == 0; }));
	}
}

// A paused call must slow the target down by TCP flow control instead of
// filling the router's memory.
TEST_F(DispatchTest, PauseClosesTheReceiveWindow)
{
	std::string big(30000000, 'b');

	steps.push_back({chunked_response("text/plain", big, true), false});
	send("POST");
	ASSERT_TRUE(wait([&] { return body.size() > 0; }));
	send_control(MSG_SEND_PAUSE);
	size_t before = 0;
	ASSERT_TRUE(wait([&] {
		bool same = before == body.size();
		before = body.size();
		return same;
	}));
	wait([] { return false; }, 50);
	EXPECT_EQ(body.size(), before);
	EXPECT_GT(connections[0]->out.size(), 0u);
	send_control(MSG_SEND_RESUME);
	ASSERT_TRUE(wait_finished());
	EXPECT_EQ(counts[MSG_TARGET_END], 1);
	EXPECT_TRUE(body == big);
}

// An order whose outcome is unknown must not be reported as done or as not
// sent, and an order after its time limit must not reach the target.
TEST_F(DispatchTest, EachOrderEndsInOneResult)
{
	const std::string empty = " x\r\nContent-Length: 0\r\n\r\n";
	const std::vector<std::pair<std::string, order_result_t>> responses = {
		{"HTTP/1.1 200" + empty, ORDER_RESULT_DONE},
		{"HTTP/1.1 409" + empty, ORDER_RESULT_REFUSED_FENCING},
		{"HTTP/1.1 404" + empty, ORDER_RESULT_FAILED},
		{"HTTP/1.1 500" + empty, ORDER_RESULT_UNKNOWN},
		{"HTTP/1.1 503 x\r\nX-Request-State: not_run\r\n"
		 "Content-Length: 0\r\n\r\n",
		 ORDER_RESULT_NOT_SENT},
		{"", ORDER_RESULT_UNKNOWN}, // no response
		{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nx",
		 ORDER_RESULT_UNKNOWN}, // truncated
	};

	EXPECT_EQ(send_order(0), ORDER_RESULT_NOT_SENT);
	EXPECT_TRUE(connections.empty());
	for (const auto &[response, result] : responses) {
		steps.push_back({response,
				 !response.empty() && response.back() == 'x'});
		EXPECT_EQ(send_order(), result) << response;
	}
	EXPECT_EQ(requests, (int)responses.size());
	EXPECT_NE(last_request.find(R"({"fencing_token":77,"order":"load",)"
				    R"("model":"m-7b","version":"v2"})"),
		  std::string::npos);
	g_socket_close(listener, nullptr);
	for (auto &connection : connections)
		g_socket_close(connection->socket, nullptr);
	EXPECT_EQ(send_order(), ORDER_RESULT_NOT_SENT);
	EXPECT_EQ(counts[MSG_SEND_STARTED] + counts[MSG_TARGET_END], 0);
}

} // namespace
