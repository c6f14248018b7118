// Tests of the HTTP server for callers: input limits, complete responses,
// truncated responses that must not look complete, back-pressure, disconnects,
// timeouts and the planned stop.
#include "front/body.h"
#include "front/front.h"
#include "front/parse.h"
#include "front/refusal.h"
#include "kernel/json_depth.h"
#include "tests/pump.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace
{

const char *const chat = "/v1/chat/completions";

parse_status_t parse(const std::string &body, request_spec_t *out,
		     const char *path = chat)
{
	request_spec_t *spec = request_spec_new();
	errmsg_t err = {""};

	g_strlcpy(spec->path, path, sizeof(spec->path));
	spec->body = g_bytes_new(body.data(), body.size());
	parse_status_t status = parse_model_request(spec, &err);
	EXPECT_EQ(status == PARSE_OK, err.text[0] == '\0');
	*out = *spec;
	request_spec_free(spec);
	return status;
}

TEST(Parse, ReadsTheFieldsOfAModelRequest)
{
	std::string body =
		R"({"model":"m1","stream":true,"max_tokens":7,)"
		R"("max_completion_tokens":9,"messages":[{"role":)"
		R"("user","content":[{"type":"text","text":"a"}]}]})";
	request_spec_t spec;

	ASSERT_EQ(parse(body, &spec), PARSE_OK);
	EXPECT_STREQ(spec.service, "m1");
	EXPECT_TRUE(spec.stream);
	EXPECT_EQ(spec.max_tokens, 9u); // the larger of both, the worst case
	EXPECT_EQ(spec.prompt_bytes, (int64_t)body.size());
	EXPECT_NE(spec.prefix_hash, 0u);
}

// Each of these bodies would let a request cost more than its reserved worst
// case, or is not accepted by the inference engines.
TEST(Parse, RejectsRequestsThatExceedTheReservation)
{
	const char *bad[] = {
		"",
		"[]",
		"{",
		R"({"messages":[{"role":"u","content":"x"}]})",
		R"({"model":"a/b","messages":[{"role":"u","content":"x"}]})",
		R"({"model":"m","messages":[]})",
		R"({"model":"m","messages":[{"content":"x"}]})",
		R"({"model":"m","n":2,"messages":[{"role":"u","content":"x"}]})",
		R"({"model":"m","max_tokens":0,"messages":[{"role":"u"}]})",
		R"({"model":"m","max_tokens":1e3,"messages":[{"role":"u"}]})",
		R"({"model":"m","max_tokens":99999999999,"messages":[{"role":"u"}]})",
		R"({"model":"m","stream":1,"messages":[{"role":"u"}]})",
		R"({"model":"m","messages":[{"role":"u","content":[{"type":"image_url","image_url":"x"}]}]})",
	};
	const char *bad_prompts[] = {R"(["a","b"])", "[[1],[2]]", "[]", "3"};
	request_spec_t spec;

	for (const char *body : bad)
		EXPECT_EQ(parse(body, &spec), PARSE_INVALID) << body;
	for (const char *prompt : bad_prompts)
		EXPECT_EQ(parse(std::string(R"({"model":"m","prompt":)") +
					prompt + "}",
				&spec, "/v1/completions"),
			  PARSE_INVALID)
			<< prompt;
	EXPECT_EQ(parse(R"({"model":"m","prompt":[1,2]})", &spec,
			"/v1/completions"),
		  PARSE_OK);
}

// The JSON parser is recursive, so unchecked nesting would overflow the stack.
TEST(Parse, NestingDepthIgnoresStrings)
{
	std::string deep = std::string(65, '[') + std::string(65, ']');
	std::string text = "\"" + std::string(99, '[') + "\\\"[[\"";

	EXPECT_FALSE(json_depth_ok(deep.data(), deep.size(), 64));
	EXPECT_TRUE(json_depth_ok(deep.data() + 1, 128, 64));
	EXPECT_TRUE(json_depth_ok(text.data(), text.size(), 1));
}

// Guards against bodies that take many times their size while they are parsed.
TEST(Parse, NumberOfValuesIsBounded)
{
	EXPECT_TRUE(json_extent_ok("[1,2,{\"a,\":3}]", 14, 2, 5));
	EXPECT_FALSE(json_extent_ok("[1,2,{\"a,\":3}]", 14, 2, 4));
	EXPECT_FALSE(json_extent_ok("[1,2,{\"a,\":3}]", 14, 1, 5));
	std::string many = R"({"model":"m","prompt":[1)";
	request_spec_t spec;

	for (int i = 1; i < 500000; i++)
		many += ",1";
	EXPECT_EQ(parse(many + "]}", &spec, "/v1/completions"), PARSE_OK);
	for (int i = 0; i < 30000; i++)
		many += ",1";
	EXPECT_EQ(parse(many + "]}", &spec, "/v1/completions"), PARSE_INVALID);
}

TEST(Parse, HeadersAndPathsAreValidated)
{
	char hash[HASH_SIZE], key[IDEM_KEY_SIZE];
	uint32_t ms;

	EXPECT_EQ(parse_bearer("Bearer abc", hash), PARSE_OK);
	EXPECT_STREQ(hash, "ba7816bf8f01cfea414140de5dae2223"
			   "b00361a396177a9cb410ff61f20015ad");
	for (const char *bad : {"", "Basic abc", "Bearer "})
		EXPECT_EQ(parse_bearer(bad, hash), PARSE_INVALID);
	EXPECT_EQ(parse_bearer(nullptr, hash), PARSE_INVALID);
	EXPECT_EQ(parse_idem_key(std::string(127, 'k').c_str(), key), PARSE_OK);
	EXPECT_EQ(parse_idem_key(std::string(128, 'k').c_str(), key),
		  PARSE_INVALID);
	EXPECT_EQ(parse_idem_key("a\x80", key), PARSE_INVALID);
	EXPECT_EQ(parse_idem_key("", key), PARSE_INVALID);
	EXPECT_EQ(parse_deadline("3600000", &ms), PARSE_OK);
	for (const char *bad : {"0", "3600001", "-1", "1s", ""})
		EXPECT_EQ(parse_deadline(bad, &ms), PARSE_INVALID) << bad;
	EXPECT_EQ(parse_path("/a/..b/.c?x=/../"), PARSE_OK);
	for (const char *bad : {"/a/../b", "/a/%2e%2E", "/./a", "/.?x", "a"})
		EXPECT_EQ(parse_path(bad), PARSE_INVALID) << bad;
}

// Malformed input must be refused or parsed within the limits, never crash.
TEST(Parse, FuzzedBodiesStayWithinLimits)
{
	const std::string good =
		R"({"model":"m1","stream":false,"max_tokens":70,"n":1,)"
		R"("messages":[{"role":"user","content":"\u00e9 {["},)"
		R"({"role":"a","content":[{"type":"text","text":"b"}]}]})";
	const std::string alphabet = "{}[]\",:\\u0019.e-tfn \x80\xff/'";
	std::mt19937 random(7);
	request_spec_t spec;
	int accepted = 0;

	for (int i = 0; i < 20000; i++) {
		std::string body = good;
		for (unsigned n = random() % 4; n > 0; n--) {
			size_t at = random() % body.size();
			char c = alphabet[random() % alphabet.size()];
			switch (random() % 3) {
			case 0:
				body[at] = c;
				break;
			case 1:
				body.insert(at, 1 + random() % 80, c);
				break;
			default:
				body.erase(at, 1 + random() % 5);
			}
		}
		if (parse(body, &spec) != PARSE_OK)
			continue;
		accepted++;
		ASSERT_LE(spec.max_tokens, (uint32_t)MAX_TOKENS_MAX);
		ASSERT_TRUE(name_is_valid(spec.service));
		ASSERT_EQ(spec.prompt_bytes, (int64_t)body.size());
	}
	EXPECT_GT(accepted, 100);
}

TEST(Refusal, EveryReasonHasAStatusAndAMessage)
{
	for (int i = 0; i < REFUSAL_COUNT; i++) {
		EXPECT_GE(refusal_status((refusal_t)i), 400u) << i;
		EXPECT_NE(refusal_message((refusal_t)i), nullptr) << i;
	}
	EXPECT_EQ(refusal_retry_after(REFUSAL_QUEUE_FULL, 9), 9u);
	EXPECT_EQ(refusal_retry_after(REFUSAL_BAD_REQUEST, 9), 0u);
}

class FrontTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		front_opts_t opts;

		front_opts_default(&opts);
		opts.max_body = 1000;
		opts.high_water = 100000;
		opts.low_water = 10000;
		opts.max_connections = 20;
		configure(&opts);
		kernel_init(&kernel, clock(), 0);
		svc = kernel_register(&kernel, "request", receive, this);
		kernel_register(&kernel, "router", receive, this);
		front_init(&front, &kernel, &opts);
		ASSERT_EQ(front_listen(&front), FRONT_OK) << front.err.text;
		kernel_start(&kernel);
	}
	void TearDown() override
	{
		front_finish(&front);
		kernel_finish(&kernel);
	}
	virtual clock_kind_t clock()
	{
		return CLOCK_REAL;
	}
	virtual void configure(front_opts_t *)
	{
	}
	static void receive(void *self, msg_t *msg)
	{
		auto *test = static_cast<FrontTest *>(self);

		test->counts[msg->kind]++;
		if (msg->kind != MSG_REQ_OPEN)
			return;
		request_spec_free(test->spec);
		test->spec = msg->u.open;
		msg->u.open = nullptr;
		test->stream = msg->id;
		if (test->defer_start)
			return;
		test->post_started();
		if (test->immediate_reply != nullptr)
			test->reply_complete(test->immediate_reply);
	}
	msg_t message(msg_kind_t kind)
	{
		msg_t msg = {};

		msg.kind = kind;
		msg.ref = stream;
		return msg;
	}
	void post(msg_t msg)
	{
		kernel_post(&kernel, svc, front.svc, &msg);
	}
	void post_started()
	{
		msg_t msg = message(MSG_REQ_STARTED);

		msg.id = {1, 1};
		post(msg);
	}
	void post_head(const char *type, uint32_t status = 200)
	{
		msg_t msg = message(MSG_REPLY_HEAD);

		msg.u.head.status = status;
		g_strlcpy(msg.u.head.content_type, type, CONTENT_TYPE_SIZE);
		g_strlcpy(msg.u.head.idem_key, "k1", IDEM_KEY_SIZE);
		post(msg);
	}
	void post_data(const std::string &text)
	{
		msg_t msg = message(MSG_REPLY_DATA);

		msg.u.data.bytes = g_bytes_new(text.data(), text.size());
		post(msg);
	}
	// Configures accounts with the keys "abc", "off" (disabled) and "old"
	// (removed).
	void configure_accounts()
	{
		msg_t msg = {};

		msg.kind = MSG_CONF_CHANGED;
		msg.u.conf = conf_snapshot_new();
		for (const char *key : {"abc", "off", "old"}) {
			record_client_account_t account = {};
			std::string header = std::string("Bearer ") + key;

			parse_bearer(header.c_str(), account.keys[0].hash);
			account.key_count = 1;
			account.disabled = strcmp(key, "off") == 0;
			account.removed = strcmp(key, "old") == 0;
			g_array_append_val(msg.u.conf->client_accounts,
					   account);
			g_hash_table_insert(
				msg.u.conf->by_key_hash,
				g_strdup(account.keys[0].hash),
				GUINT_TO_POINTER(
					msg.u.conf->client_accounts->len));
		}
		post(msg);
		ASSERT_TRUE(pump([&] { return front.conf != nullptr; }));
	}
	void reply_complete(const char *text)
	{
		post_head("text/plain");
		post_data(text);
		post(message(MSG_REPLY_END));
	}
	void post_refused(msg_kind_t kind, refusal_t reason)
	{
		msg_t msg = message(kind);

		msg.u.refused.reason = reason;
		msg.u.refused.run = RUN_UNKNOWN;
		post(msg);
	}
	std::string request(const std::string &path, const std::string &body)
	{
		return "POST " + path +
		       " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer abc\r\n"
		       "Content-Length: " +
		       std::to_string(body.size()) + "\r\n\r\n" + body;
	}
	bool wait(msg_kind_t kind, int count = 1)
	{
		return pump([&] { return counts[kind] >= count; });
	}
	~FrontTest() override
	{
		request_spec_free(spec);
	}
	kernel_t kernel;
	front_t front;
	svc_t svc;
	handle_t stream = {};
	request_spec_t *spec = nullptr;
	int counts[MSG_KIND_COUNT] = {};
	bool defer_start = false;
	const char *immediate_reply = nullptr;
};

// Guards against a crowd whose bodies stop short of their end and fill the
// memory together, each within its own limit.
TEST_F(FrontTest, LargestUnendedBodiesGiveWayWhenTheyFillTheBuffers)
{
	const std::string head = "POST /x HTTP/1.1\r\nHost: x\r\n"
				 "Authorization: Bearer abc\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n";
	const std::string chunk = "384\r\n" + std::string(900, 'a') + "\r\n";
	std::vector<std::unique_ptr<Client>> crowd;
	Client small(front_port(&front));
	int refused = 0;

	kernel.buffers.limit = 4000;
	immediate_reply = "done";
	small.send(head + "2\r\nab\r\n");
	for (int i = 0; i < 6; i++) {
		crowd.push_back(std::make_unique<Client>(front_port(&front)));
		crowd.back()->send(head + chunk);
	}
	ASSERT_TRUE(pump([&] {
		return kernel.metrics->counters[COUNTER_BUFFERS_DROPPED] >= 2;
	}));
	EXPECT_LE(buffers_total(&kernel.buffers), 4000u);
	small.send("0\r\n\r\n");
	EXPECT_TRUE(small.wait_for("HTTP/1.1 200"));
	for (auto &client : crowd) {
		client->send("0\r\n\r\n");
		EXPECT_TRUE(client->wait_for("HTTP/1.1 "));
		if (client->in.find("HTTP/1.1 429") == std::string::npos)
			continue;
		refused++;
		EXPECT_TRUE(client->wait_for("not_run"));
		EXPECT_NE(client->in.find("Retry-After: "), std::string::npos);
	}
	EXPECT_EQ(refused, 2);
	EXPECT_EQ(buffers_total(&kernel.buffers), 0u);
}

// Guards against whole bodies that arrive one after the other and fill the
// memory while their requests run.
TEST_F(FrontTest, LargeRequestIsRefusedWhileRequestsFillTheBuffers)
{
	Client large(front_port(&front)), small(front_port(&front));
	size_t counted = 0;

	kernel.buffers.limit = 10000;
	kernel_count_bytes(&kernel, BUFFER_RUNNING, &counted, 4500);
	immediate_reply = "done";
	large.send(request("/x", std::string(1000, 'a')));
	EXPECT_TRUE(large.wait_for("HTTP/1.1 429"));
	EXPECT_TRUE(large.wait_for("not_run"));
	small.send(request("/x", "ab"));
	EXPECT_TRUE(small.wait_for("HTTP/1.1 200"));
}

// Guards against one caller that keeps all others waiting for as long as it has
// input, as it does with chunks of one byte.
TEST_F(FrontTest, CallerWithMuchInputLeavesTurnsToOthers)
{
	const int chunks = 5000;
	Client busy(front_port(&front)), other(front_port(&front));
	std::string text = "POST /x HTTP/1.1\r\nHost: x\r\n"
			   "Authorization: Bearer abc\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n";
	uint32_t cursor = 0;

	for (int i = 0; i < chunks; i++)
		text += "1\r\nx\r\n";
	immediate_reply = "done";
	ASSERT_TRUE(pump([&] { return front.connections->count == 2; }));
	busy.send(text);
	other.send(request("/x", "ab"));
	ASSERT_TRUE(other.wait_for("HTTP/1.1 200"));
	auto *body = static_cast<body_t *>(
		table_next(&front.bodies, &cursor, nullptr));
	ASSERT_NE(body, nullptr);
	EXPECT_LT(body->received, (uint64_t)chunks);
}

TEST_F(FrontTest, CompleteResponsesHaveContentLength)
{
	Client client(front_port(&front));

	immediate_reply = "one two";
	for (int i = 1; i <= 3; i++) {
		client.in.clear();
		client.send(request("/a/b?c=d", "xyz"));
		ASSERT_TRUE(client.wait_for("\r\n\r\none two")) << client.in;
		EXPECT_NE(client.in.find("Content-Length: 7\r\n"),
			  std::string::npos);
		EXPECT_NE(client.in.find("Idempotency-Key: k1\r\n"),
			  std::string::npos);
		EXPECT_EQ(counts[MSG_REQ_OPEN], i);
	}
	EXPECT_STREQ(spec->path, "/a/b?c=d");
	EXPECT_EQ(g_bytes_get_size(spec->body), 3u);
	EXPECT_EQ(strncmp(spec->key_hash, "ba7816bf", 8), 0);
	EXPECT_EQ(front.connections->count, 1u);
	client.close();
	EXPECT_TRUE(pump([&] { return front.connections->count == 0; }));
	EXPECT_EQ(counts[MSG_REQ_OPEN], 3);
	EXPECT_EQ(table_count(&front.streams), 0u);
}

TEST_F(FrontTest, StreamedResponsesAreSentAsTheyArrive)
{
	Client client(front_port(&front));

	client.send(request("/s", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	post_head("text/event-stream");
	post_data("data: 1\n\n");
	ASSERT_TRUE(client.wait_for("9\r\ndata: 1\n\n\r\n")) << client.in;
	post_data("data: 2\n\n");
	ASSERT_TRUE(client.wait_for("9\r\ndata: 2\n\n\r\n"));
	EXPECT_EQ(client.in.find("\r\n0\r\n"), std::string::npos);
	post(message(MSG_REPLY_END));
	ASSERT_TRUE(client.wait_for("\r\n0\r\n\r\n"));
	EXPECT_EQ(counts[MSG_REQ_CANCEL], 0);
}

// The caller would read a body after a response to HEAD or with status 204 as
// the next response, and would wait for a response whose end is missing.
TEST_F(FrontTest, BodilessResponsesEndAfterTheHead)
{
	const std::string tail =
		" /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer abc\r\n\r\n";
	Client client(front_port(&front));
	int opened = 0;

	// 0: complete response, 1: head before the end, 2: refusal, 3: status
	// without a body.
	for (int i = 0; i < 4; i++) {
		client.in.clear();
		client.send((i == 3 ? "OPTIONS" : "HEAD") + tail);
		ASSERT_TRUE(wait(MSG_REQ_OPEN, ++opened));
		EXPECT_STREQ(spec->method, i == 3 ? "OPTIONS" : "HEAD");
		if (i == 2)
			post_refused(MSG_REPLY_REFUSED, REFUSAL_NO_TARGET);
		else
			post_head("text/plain", i == 3 ? 204 : 200);
		if (i == 1) {
			ASSERT_TRUE(client.wait_for("\r\n\r\n"));
		}
		if (i != 2)
			post(message(MSG_REPLY_END));
		ASSERT_TRUE(
			pump([&] { return table_count(&front.streams) == 0; }));
		ASSERT_TRUE(client.wait_for("\r\n\r\n"));
		EXPECT_EQ(client.in.find("\r\n\r\n"), client.in.size() - 4)
			<< client.in;
	}
	// RFC 9110, section 8.6, forbids Content-Length with status 204.  The
	// end of the connection must be announced.
	EXPECT_EQ(client.in.find("Content-Length"), std::string::npos);
	EXPECT_NE(client.in.find("Connection: close\r\n"), std::string::npos)
		<< client.in;
	EXPECT_TRUE(client.wait_closed());
}

TEST_F(FrontTest, RefusalsCarryStatusReasonAndRunState)
{
	Client client(front_port(&front));

	client.send(request("/r", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	post_refused(MSG_REPLY_REFUSED, REFUSAL_QUEUE_FULL);
	ASSERT_TRUE(client.wait_for("\"request_id\"")) << client.in;
	for (const char *part :
	     {"HTTP/1.1 429", "Retry-After: 1\r\n", "\"type\":\"queue_full\"",
	      "X-Request-State: unknown\r\n", "\"run_state\":\"unknown\""})
		EXPECT_NE(client.in.find(part), std::string::npos) << part;
}

TEST_F(FrontTest, InvalidRequestsAreRefused)
{
	struct {
		std::string text;
		const char *status;
	} cases[] = {
		{"GET /x HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 401"},
		{"GET /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
		 "X-Request-Deadline-Ms: 0\r\n\r\n",
		 "HTTP/1.1 400"},
		{request(chat, "{}"), "HTTP/1.1 400"},
		{request("/x", std::string(1001, 'a')), "HTTP/1.1 413"},
		{"POST /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
			 std::string(1001, 'a') + "\r\n0\r\n\r\n",
		 "HTTP/1.1 413"},
		{"GET /x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
		 "k\r\nA: " +
			 std::string(20000, 'a') + "\r\n\r\n",
		 "HTTP/1.1 413"},
	};

	for (const auto &c : cases) {
		Client client(front_port(&front));
		client.send(c.text);
		EXPECT_TRUE(client.wait_for("\"run_state\":\"not_run\""));
		EXPECT_EQ(client.in.find(c.status), 0u) << client.in;
	}
	EXPECT_EQ(counts[MSG_REQ_OPEN], 0);
}

// Removes the request id and the date, which differ between equal refusals.
std::string without_id(std::string text)
{
	size_t at;

	for (const char *before : {"X-Request-Id: ", "\"request_id\":\""})
		if ((at = text.find(before)) != std::string::npos)
			text.erase(at + strlen(before), 36);
	if ((at = text.find("Date: ")) != std::string::npos)
		text.erase(at, text.find("\r\n", at) + 2 - at);
	return text;
}

// A caller without a valid key must learn nothing about limits, headers or
// bodies, nor whether its key was valid in the past.
TEST_F(FrontTest, ApiKeyIsCheckedFirst)
{
	const std::string tails[] = {
		"Content-Length: 2\r\n\r\n{}",
		"Expect: 100-continue\r\nContent-Length: 9999\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
			std::string(1001, 'a') + "\r\n0\r\n\r\n",
		"X-Request-Deadline-Ms: 0\r\nContent-Length: 0\r\n\r\n",
		"A: " + std::string(20000, 'a') +
			"\r\nContent-Length: 0\r\n\r\n",
		"Content-Length: 0\r\n\r\n",
	};
	std::string first;

	configure_accounts();
	for (const char *key : {"none", "off", "old", ""}) {
		for (const auto &tail : tails) {
			Client client(front_port(&front));
			client.send("POST " + std::string(chat) +
				    " HTTP/1.1\r\nHost: x\r\n"
				    "Authorization: Bearer " +
				    key + "\r\n" + tail);
			ASSERT_TRUE(client.wait_for("\"request_id\""))
				<< key << tail.substr(0, 40);
			client.in = without_id(client.in);
			if (first.empty())
				first = client.in;
			EXPECT_EQ(client.in.find("HTTP/1.1 401 "), 0u);
			EXPECT_EQ(client.in, first);
		}
	}
	Client client(front_port(&front));
	client.send(request(chat, "{}"));
	EXPECT_TRUE(client.wait_for("HTTP/1.1 400 ")) << client.in;
	EXPECT_EQ(counts[MSG_REQ_OPEN], 0);
}

// A caller must be able to tell a truncated response from a complete one.
TEST_F(FrontTest, AbortedResponsesAreNotWellFormed)
{
	Client plain(front_port(&front)), sse(front_port(&front));
	Client http10(front_port(&front));

	plain.send(request("/p", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	post_head("text/plain");
	post_data("begin");
	ASSERT_TRUE(plain.wait_for("begin\r\n"));
	post_refused(MSG_REPLY_ABORTED, REFUSAL_TARGET_FAILED);
	ASSERT_TRUE(plain.wait_closed());
	EXPECT_EQ(plain.in.find("\r\n0\r\n"), std::string::npos) << plain.in;

	sse.send(request("/s", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN, 2));
	post_head("text/event-stream");
	post_data("data: 1\n\n");
	ASSERT_TRUE(sse.wait_for("data: 1"));
	post_refused(MSG_REPLY_ABORTED, REFUSAL_TARGET_FAILED);
	ASSERT_TRUE(sse.wait_for("event: error\ndata: {\"error\":{\"type\":"
				 "\"target_failed\""));

	// The end of the connection completes an HTTP/1.0 response, so only a
	// reset marks it as truncated.
	http10.send("GET /o HTTP/1.0\r\nAuthorization: Bearer k\r\n\r\n");
	ASSERT_TRUE(wait(MSG_REQ_OPEN, 3));
	post_head("text/plain");
	post_data("begin");
	ASSERT_TRUE(http10.wait_for("begin"));
	post_refused(MSG_REPLY_ABORTED, REFUSAL_TARGET_FAILED);
	ASSERT_TRUE(pump([&] { return table_count(&front.streams) == 0; }));
	http10.read();
	EXPECT_FALSE(http10.closed) << "expected a reset, got an orderly close";
	EXPECT_EQ(counts[MSG_REQ_CANCEL], 0);
}

TEST_F(FrontTest, DisconnectIsReportedOnceEvenBeforeStart)
{
	Client a(front_port(&front)), b(front_port(&front));

	a.send(request("/a", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	a.close();
	ASSERT_TRUE(wait(MSG_REQ_CANCEL));
	defer_start = true;
	b.send(request("/b", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN, 2));
	b.close();
	ASSERT_TRUE(pump([&] { return front.connections->count == 0; }));
	EXPECT_EQ(counts[MSG_REQ_CANCEL], 1);
	post_started();
	ASSERT_TRUE(wait(MSG_REQ_CANCEL, 2));
	EXPECT_EQ(table_count(&front.streams), 0u);
}

TEST_F(FrontTest, SlowReaderPausesTheRequestWithoutDataLoss)
{
	Client client(front_port(&front));
	std::string block(50000, 'z');
	size_t sent = 0;

	client.send(request("/s", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	post_head("text/plain");
	// 50 MB exceed the socket buffers, which take the first part.
	ASSERT_TRUE(pump([&] {
		post_data(block);
		sent += block.size();
		return counts[MSG_REQ_PAUSE] > 0 || sent > 50000000;
	}));
	ASSERT_EQ(counts[MSG_REQ_PAUSE], 1);
	EXPECT_EQ(counts[MSG_REQ_RESUME], 0);
	ASSERT_TRUE(pump([&] {
		client.read();
		return counts[MSG_REQ_RESUME] == 1;
	}));
	post(message(MSG_REPLY_END));
	ASSERT_TRUE(client.wait_for("\r\n0\r\n\r\n"));
	EXPECT_EQ((size_t)std::count(client.in.begin(), client.in.end(), 'z'),
		  sent);
}

TEST_F(FrontTest, StopWaitsForRequestsInProgress)
{
	Client running(front_port(&front)), idle(front_port(&front));

	immediate_reply = "x";
	idle.send(request("/i", ""));
	ASSERT_TRUE(idle.wait_for("\r\n\r\nx"));
	immediate_reply = nullptr;
	running.send(request("/r", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN, 2));
	kernel_stop(&kernel);
	ASSERT_TRUE(pump([&] { return front.stopping; }));
	EXPECT_FALSE(Client(front_port(&front)).connected);
	idle.send(request("/late", ""));
	ASSERT_TRUE(idle.wait_for("\"type\":\"stopping\"")) << idle.in;
	ASSERT_TRUE(idle.wait_closed());
	EXPECT_EQ(counts[MSG_STOPPED], 0);
	reply_complete("done");
	ASSERT_TRUE(running.wait_for("\r\n\r\ndone"));
	ASSERT_TRUE(wait(MSG_STOPPED));
	ASSERT_TRUE(running.wait_closed());
	EXPECT_EQ(counts[MSG_STOPPED], 1);
}

TEST_F(FrontTest, ConnectionInTheAcceptQueueIsNotDroppedByAStop)
{
	Client client(front_port(&front));

	client.send_at_once(request("/x", ""));
	kernel_stop(&kernel);
	ASSERT_TRUE(pump([&] { return front.stopping; }));
	pump(
		[&] {
			client.read();
			return client.closed || !client.in.empty();
		},
		1000);
	EXPECT_NE(client.in.find("HTTP/1.1 503"), std::string::npos);
}

TEST_F(FrontTest, RefusalOfARequestThatAStopEndsDoesNotClaimThatItHasNotRun)
{
	Client client(front_port(&front));

	client.send(request("/x", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	kernel_stop(&kernel);
	post_refused(MSG_REPLY_REFUSED, REFUSAL_STOPPING);
	ASSERT_TRUE(client.wait_for("\"type\":\"stopping\""));
	EXPECT_EQ(client.in.find("HTTP/1.1 502 "), 0u) << client.in;
	EXPECT_EQ(client.in.find("Retry-After"), std::string::npos);
	EXPECT_TRUE(wait(MSG_STOPPED));
}

TEST_F(FrontTest, ConnectionsAreLimited)
{
	std::vector<std::unique_ptr<Client>> clients;

	for (int i = 0; i < 21; i++)
		clients.push_back(std::make_unique<Client>(front_port(&front)));
	ASSERT_TRUE(clients.back()->wait_closed());
	clients.front()->read();
	EXPECT_FALSE(clients.front()->closed);
}

// Uses real sockets and a virtual clock, which advance() moves.
class TimedFrontTest : public FrontTest
{
      protected:
	clock_kind_t clock() override
	{
		return CLOCK_VIRTUAL;
	}
	void SetUp() override
	{
		FrontTest::SetUp();
		deliver(&kernel);
		tick = g_timeout_add(1, deliver, &kernel);
	}
	void TearDown() override
	{
		g_source_remove(tick);
		FrontTest::TearDown();
	}
	static gboolean deliver(gpointer kernel)
	{
		auto *k = static_cast<kernel_t *>(kernel);

		kernel_run_until(k, k->virtual_now);
		return G_SOURCE_CONTINUE;
	}
	void run_pending()
	{
		pump([] { return false; }, 10);
	}
	void advance(int seconds)
	{
		run_pending();
		kernel_run_until(&kernel,
				 kernel.virtual_now + seconds * USEC_PER_SEC);
		run_pending();
	}
	void expect_timeout(Client &client)
	{
		EXPECT_TRUE(client.wait_closed());
		EXPECT_EQ(client.in.find("HTTP/1.1 408 "), 0u) << client.in;
		EXPECT_EQ(client.in.find("HTTP/1.1", 1), std::string::npos);
		EXPECT_TRUE(
			pump([&] { return front.connections->count == 0; }));
	}
	guint tick = 0;
};

// Slow or silent callers must not keep connections open forever.
TEST_F(TimedFrontTest, SlowHeadsAndSilentConnectionsTimeOut)
{
	Client silent(front_port(&front)), slow(front_port(&front));

	for (int i = 0; i < 13; i++) {
		if (i < 9)
			slow.send(i == 0 ? "GET /x HTTP/1.1\r\nA: " : "a");
		advance(1);
		silent.read();
		EXPECT_EQ(silent.closed, i >= 10) << i;
	}
	EXPECT_EQ(silent.in, "");
	expect_timeout(slow);
	advance(2);
	EXPECT_TRUE(handle_is_none(front.timeout_timer));
}

// Guards against a body that a caller sends byte by byte and never ends.
TEST_F(TimedFrontTest, BodyThatNeverEndsTimesOut)
{
	Client client(front_port(&front));
	std::string text = request("/x", std::string(100, 'a'));

	client.send(text.substr(0, text.size() - 99));
	for (int i = 0; i < 11; i++) {
		advance(25);
		client.read();
		ASSERT_FALSE(client.closed) << i;
		client.send("b");
	}
	advance(27);
	expect_timeout(client);
}

TEST_F(TimedFrontTest, StalledBodyTimesOut)
{
	Client client(front_port(&front));
	std::string text = request("/x", "abcdef");

	client.send(text.substr(0, text.size() - 5));
	for (int i = 0; i < 4; i++) {
		advance(25);
		client.read();
		ASSERT_FALSE(client.closed) << i;
		client.send("b");
	}
	advance(33);
	expect_timeout(client);
	EXPECT_EQ(counts[MSG_REQ_OPEN], 0);
}

// The keep-alive timeout limits the wait for the next request, not the time of
// a response.
TEST_F(TimedFrontTest, KeepAliveTimeoutAppliesOnlyWhileIdle)
{
	Client client(front_port(&front));

	client.send(request("/x", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	advance(1000);
	reply_complete("late");
	ASSERT_TRUE(client.wait_for("\r\n\r\nlate"));
	advance(100);
	client.in.clear();
	client.send(request("/y", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN, 2));
	reply_complete("again");
	ASSERT_TRUE(client.wait_for("\r\n\r\nagain"));
	client.in.clear();
	advance(119);
	client.read();
	EXPECT_FALSE(client.closed);
	advance(3);
	EXPECT_TRUE(client.wait_closed());
	EXPECT_EQ(client.in, "");
	EXPECT_TRUE(pump([&] { return front.connections->count == 0; }));
}

TEST_F(TimedFrontTest, IdleLimitDoesNotDropARequestThatHasArrived)
{
	Client client(front_port(&front));

	client.send(request("/x", ""));
	ASSERT_TRUE(wait(MSG_REQ_OPEN));
	reply_complete("first");
	ASSERT_TRUE(client.wait_for("\r\n\r\nfirst"));
	advance(119);
	client.send_at_once(request("/y", ""));
	kernel_run_until(&kernel, kernel.virtual_now + 3 * USEC_PER_SEC);
	ASSERT_TRUE(wait(MSG_REQ_OPEN, 2));
	reply_complete("again");
	pump([&] {
		client.read();
		return client.closed ||
		       client.in.find("again") != std::string::npos;
	});
	EXPECT_NE(client.in.find("again"), std::string::npos);
}

TEST_F(TimedFrontTest, StopIsNotCompleteBeforeItsLastConnectionsAreRefused)
{
	std::vector<std::unique_ptr<Client>> clients;

	for (int i = 0; i < 20; i++)
		clients.push_back(std::make_unique<Client>(front_port(&front)));
	kernel_stop(&kernel);
	ASSERT_TRUE(pump([&] { return front.stopping; }));
	EXPECT_FALSE(Client(front_port(&front)).connected);
	run_pending();
	EXPECT_EQ(counts[MSG_STOPPED], 0);
	for (auto &client : clients) {
		client->send(request("/x", ""));
		EXPECT_TRUE(client->wait_for("\"type\":\"stopping\""));
	}
	EXPECT_EQ(counts[MSG_STOPPED], 0);
	advance(1);
	EXPECT_EQ(counts[MSG_STOPPED], 1);
}

// Without free file descriptors, accept() fails at once on each attempt.  The
// listener must pause instead of spinning, and accept the waiting connections
// when descriptors are free again.
TEST_F(TimedFrontTest, ListenerResumesAfterDescriptorExhaustion)
{
	Client client(front_port(&front));
	struct rlimit limit, exhausted;
	int free_fd = dup(0);

	ASSERT_GE(free_fd, 0);
	close(free_fd);
	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
	exhausted = limit;
	exhausted.rlim_cur = (rlim_t)free_fd;
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
	EXPECT_TRUE(pump([&] { return front.accept_source == nullptr; }));
	advance(1);
	EXPECT_EQ(front.accept_source, nullptr);
	EXPECT_EQ(front.connections->count, 0u);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
	advance(1);
	immediate_reply = "served";
	client.send(request("/x", ""));
	EXPECT_TRUE(client.wait_for("\r\n\r\nserved"));
	EXPECT_NE(front.accept_source, nullptr);
}

class TlsFrontTest : public FrontTest
{
      protected:
	void configure(front_opts_t *opts) override
	{
		g_strlcpy(opts->tls_cert, "tests/tls/cert.pem", PATH_SIZE);
		g_strlcpy(opts->tls_key, "tests/tls/key.pem", PATH_SIZE);
	}
};

gboolean accept_certificate(SoupMessage *, GTlsCertificate *,
			    GTlsCertificateFlags, gpointer)
{
	return TRUE;
}

// With TLS settings, the listener must serve complete responses over TLS.
TEST_F(TlsFrontTest, ServesRequestsOverTls)
{
	std::string url =
		"https://127.0.0.1:" + std::to_string(front_port(&front)) +
		"/a";
	SoupSession *session = soup_session_new();
	SoupMessage *get = soup_message_new("GET", url.c_str());
	GBytes *bytes = nullptr;
	struct Result {
		GBytes **bytes;
		bool done;
	} response = {&bytes, false};

	immediate_reply = "over TLS";
	soup_message_headers_append(soup_message_get_request_headers(get),
				    "Authorization", "Bearer abc");
	g_signal_connect(get, "accept-certificate",
			 G_CALLBACK(accept_certificate), nullptr);
	soup_session_send_and_read_async(
		session, get, G_PRIORITY_DEFAULT, nullptr,
		[](GObject *source, GAsyncResult *result, gpointer data) {
			auto *to = static_cast<Result *>(data);

			*to->bytes = soup_session_send_and_read_finish(
				SOUP_SESSION(source), result, nullptr);
			to->done = true;
		},
		&response);
	ASSERT_TRUE(pump([&] { return response.done; }));
	ASSERT_NE(bytes, nullptr);
	EXPECT_EQ(std::string(static_cast<const char *>(
				      g_bytes_get_data(bytes, nullptr)),
			      g_bytes_get_size(bytes)),
		  "over TLS");
	g_bytes_unref(bytes);
	g_object_unref(get);
	g_object_unref(session);
}

class TlsTimeoutTest : public TlsFrontTest
{
      protected:
	void configure(front_opts_t *opts) override
	{
		TlsFrontTest::configure(opts);
		opts->timeouts.head_us = USEC_PER_SEC;
		opts->timeouts.idle_us = USEC_PER_SEC;
	}
};

TEST_F(TlsTimeoutTest, SilentAndIdleTlsConnectionsAreNotKeptForever)
{
	std::string url =
		"https://127.0.0.1:" + std::to_string(front_port(&front)) +
		"/v1/models";
	Client silent(front_port(&front));
	SoupSession *session = soup_session_new();
	SoupMessage *get = soup_message_new("GET", url.c_str());
	bool done = false;

	soup_message_headers_append(soup_message_get_request_headers(get),
				    "Authorization", "Bearer abc");
	g_signal_connect(get, "accept-certificate",
			 G_CALLBACK(accept_certificate), nullptr);
	soup_session_send_and_read_async(
		session, get, G_PRIORITY_DEFAULT, nullptr,
		[](GObject *source, GAsyncResult *result, gpointer data) {
			g_bytes_unref(soup_session_send_and_read_finish(
				SOUP_SESSION(source), result, nullptr));
			*static_cast<bool *>(data) = true;
		},
		&done);
	ASSERT_TRUE(pump([&] { return done; }));
	EXPECT_EQ(soup_message_get_status(get), 503u); // keeps the connection
	EXPECT_EQ(front.connections->count, 2u);
	EXPECT_TRUE(pump([&] { return front.connections->count == 0; }));
	EXPECT_TRUE(silent.wait_closed());
	g_object_unref(get);
	g_object_unref(session);
}

// An unreadable certificate must make the start fail instead of falling back to
// plain HTTP.
TEST(Tls, MissingCertificateFailsListen)
{
	kernel_t kernel;
	front_t front;
	front_opts_t opts;

	front_opts_default(&opts);
	g_strlcpy(opts.tls_cert, "tests/tls/none.pem", PATH_SIZE);
	g_strlcpy(opts.tls_key, "tests/tls/key.pem", PATH_SIZE);
	kernel_init(&kernel, CLOCK_REAL, 0);
	front_init(&front, &kernel, &opts);
	EXPECT_EQ(front_listen(&front), FRONT_TLS_FAILED);
	EXPECT_STRNE(front.err.text, "");
	front_finish(&front);
	kernel_finish(&kernel);
}

} // namespace
