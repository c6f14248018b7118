// Tests the record codec with malformed input, and the store service against
// a fake store that fails in various ways.  Each test starts a fake of its own.
#include "store/codec.h"
#include "store/store.h"

#include <cstring>
#include <functional>
#include <gio/gio.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace
{

// One valid value of each kind.
const std::map<std::string, std::string> samples = {
	{"conf/account/acme",
	 R"({"kind":"client_account","name":"acme","op":{"writer":"ctl-1","seq":7},"removed":false,"disabled":true,"weight":3,"max_requests":0,"keys":[{"hash":")" +
		 std::string(64, 'a') + R"(","budget":"main"}]})"},
	{"conf/service/chat",
	 R"({"kind":"service","name":"chat","op":{"writer":"","seq":0},"removed":false,"service_kind":"plain","idempotent":true,"hedge":false,"path_prefix":"/v1/\"q\\","deadline_ms":1000,"first_byte_ms":1,"idle_ms":1,"max_tokens":0,"call_tokens":5,"short_tokens":0,"max_body":65536})"},
	{"conf/target/t-1",
	 R"({"kind":"target","name":"t-1","op":{"writer":"x","seq":1},"removed":false,"service":"chat","host":"127.0.0.1","port":8080,"availability_zone":"a","concurrency":8,"draining":false,"checks_fencing":true})"},
	{"conf/target/gone",
	 R"({"kind":"target","name":"gone","op":{"writer":"x","seq":2},"removed":true})"},
	{"conf/preset",
	 R"({"kind":"preset","op":{"writer":"x","seq":1},"in_force":"peak"})"},
	{"conf/quarantine/ab12",
	 R"({"kind":"quarantine","fingerprint":"ab12","op":{"writer":"x","seq":1},"expires_ms":1767225600000})"},
	{"budget/acme/main",
	 R"({"kind":"budget","budget":1000000000000000,"granted":10,"retired":4,"ops":[{"writer":"x","seq":999999999999999999}]})"},
	{"grant/i/acme/main",
	 R"({"kind":"grant","op":{"writer":"x","seq":1},"granted":10,"settled":10,"unprotected":2,"recovered":false})"},
	{"bill/acme/key",
	 R"({"kind":"bill","op":{"writer":"x","seq":1},"budget":"main","fingerprint":"ff","tokens":12,"wall_ms":5})"},
	{"claim/acme/key",
	 R"({"kind":"claim","op":{"writer":"x","seq":1},"state":"done","fingerprint":"ff","wall_ms":5,"outcome":{"status":200,"content_type":"a/b","tokens":1,"body":"AP8="}})"},
	{"member/inc-1",
	 R"({"kind":"member","incarnation":"inc-1","name":"r1","availability_zone":"a","host":"127.0.0.1","peer_port":1,"admin_port":2,"buddy":"","op":{"writer":"x","seq":1}})"},
	{"conf/order/t-1",
	 R"({"kind":"order","target":"t-1","op":{"writer":"x","seq":1},"order":"load","subject":"m-7b","version":"v2","number":3})"},
	{"order/t-1/lease", R"({"kind":"order_lease","owner":"inc-1"})"},
	{"order/t-1/state",
	 R"({"kind":"order_state","owner":"inc-1","op":{"writer":"x","seq":1},"number":3,"state":"running","message":"","longest_ms":120000})"},
	{"alive/inc-1", R"({"kind":"alive","incarnation":"inc-1"})"},
};

bool decode(const std::string &key, const std::string &text, record_t *record,
	    errmsg_t *err)
{
	return codec_decode(key.c_str(), text.data(), text.size(), record, err);
}

std::string encode(const record_t &record)
{
	GString *out = g_string_new(nullptr);
	errmsg_t err = {};
	std::string text =
		codec_encode(&record, out, &err) ? out->str : err.text;

	g_string_free(out, TRUE);
	return text;
}

TEST(Codec, EveryKindRoundTrips)
{
	for (const auto &[key, text] : samples) {
		record_t record;
		errmsg_t err = {};

		ASSERT_TRUE(decode(key, text, &record, &err))
			<< key << ": " << err.text;
		EXPECT_EQ(record.kind, codec_kind_of_key(key.c_str()));
		EXPECT_EQ(encode(record), text);
		if (record.kind == RECORD_CLAIM) {
			EXPECT_EQ(g_bytes_get_size(record.u.claim.outcome.body),
				  2u);
		}
		record_clear(&record);
	}
}

// Each edit makes one member of a valid value invalid.
TEST(Codec, RejectsInvalidMembers)
{
	const std::vector<std::vector<std::string>> edits = {
		{"conf/account/acme", "\"weight\":3", "\"weight\":0"},
		{"conf/account/acme", "\"weight\":3", "\"weight\":\"3\""},
		{"conf/account/acme", "\"weight\":3", "\"other\":3"},
		{"conf/account/acme", "\"weight\":3",
		 "\"weight\":-18446744073709551613"},
		{"conf/account/acme", "aaaa", "aaA"},
		{"conf/account/acme", "\"name\":\"acme\"",
		 "\"name\":\"other\""},
		{"conf/account/acme", "client_account", "target"},
		{"conf/service/chat", "/v1/", "v1/"},
		{"conf/target/t-1", "8080", "65536"},
		{"conf/target/t-1", "127.0.0.1", "localhost"},
		{"conf/target/t-1", "true", "1"},
		{"conf/preset", "peak", "turbo"},
		{"budget/acme/main", "1000000000000000", "1000000000000001"},
		{"budget/acme/main", "\"granted\":10", "\"granted\":-1"},
		{"budget/acme/main", "\"granted\":10", "\"granted\":1e1"},
		{"grant/i/acme/main", "\"settled\":10", "\"settled\":11"},
		{"conf/order/t-1", "load", "restart"},
		{"conf/order/t-1", "m-7b", "m/7b"},
		{"conf/order/t-1", "v2", "v/2"},
		{"conf/order/t-1", "\"number\":3", "\"number\":0"},
		{"conf/order/t-1", "t-1", "t-2"},
		{"order/t-1/state", "running", "runs"},
		{"order/t-1/state", "120000", "86400001"},
		{"order/t-1/lease", "inc-1", ""},
		{"claim/acme/key", "AP8=", "AP8"},
		{"claim/acme/key", "\"a/b\"",
		 "\"" + std::string(96, 'x') + "\""},
		{"alive/inc-1", "}", std::string(100000, '[')},
		{"alive/inc-1", "{", "{\"a\":'b',"},
		{"alive/inc-1", "inc-1", "inc\xff"},
	};

	for (const auto &edit : edits) {
		std::string text = samples.at(edit[0]);
		record_t record;
		errmsg_t err = {};

		text.replace(text.find(edit[1]), edit[1].size(), edit[2]);
		EXPECT_FALSE(decode(edit[0], text, &record, &err)) << text;
		EXPECT_EQ(record.kind, RECORD_INVALID);
		EXPECT_STRNE(err.text, "");
	}
}

// The content type of a claim comes from a target.  If invalid bytes in it
// prevented encoding, the claim could never be stored as finished.
TEST(Codec, InvalidContentTypeIsSanitized)
{
	record_t record, decoded;
	errmsg_t err = {};

	ASSERT_TRUE(decode("claim/acme/key", samples.at("claim/acme/key"),
			   &record, &err));
	g_strlcpy(record.u.claim.outcome.content_type, "a\t\xff\"",
		  CONTENT_TYPE_SIZE);
	EXPECT_TRUE(decode("claim/acme/key", encode(record), &decoded, &err))
		<< err.text;
	EXPECT_STREQ(decoded.u.claim.outcome.content_type, "a??\"");
	record_clear(&record);
	record_clear(&decoded);
}

void expect_in_range(const record_t &record)
{
	if (record.kind == RECORD_BUDGET) {
		EXPECT_GE(record.u.budget.retired, 0);
		EXPECT_LE(record.u.budget.retired, record.u.budget.granted);
		EXPECT_LE(record.u.budget.granted, TOKENS_MAX);
	} else if (record.kind == RECORD_GRANT) {
		EXPECT_GE(record.u.grant.settled, 0);
		EXPECT_LE(record.u.grant.settled, record.u.grant.granted);
	} else if (record.kind == RECORD_CLIENT_ACCOUNT) {
		EXPECT_LE(record.u.client_account.key_count,
			  (uint32_t)CLIENT_ACCOUNT_KEYS);
		EXPECT_TRUE(name_is_valid(record.u.client_account.name));
	} else if (record.kind == RECORD_PRESET) {
		EXPECT_LT(record.u.preset.in_force, PRESET_COUNT);
	} else if (record.kind == RECORD_ORDER) {
		EXPECT_LT(record.u.order.kind, ORDER_KIND_COUNT);
		EXPECT_GE(record.u.order.number, 1);
		EXPECT_TRUE(name_is_valid(record.u.order.subject));
	} else if (record.kind == RECORD_ORDER_STATE) {
		EXPECT_LT(record.u.order_state.state, ORDER_STATE_COUNT);
		EXPECT_GE(record.u.order_state.number, 1);
	}
}

// Decoding any value in the store neither crashes nor yields a value out of
// range.
TEST(Codec, MutatedTextNeverDecodesOutOfRange)
{
	const std::string fragments[] = {
		"[",	"{\"kind\":", "\"",
		"-",	"\\u0000",    "99999999999999999999",
		"null", "}",	      "1e9",
		"\xff"};
	std::mt19937_64 random(20261);
	uint64_t accepted = 0;

	for (int round = 0; round < 4000; round++)
		for (const auto &[key, sample] : samples) {
			std::string text = sample;
			record_t record;
			errmsg_t err = {};

			for (uint64_t n = 1 + random() % 3; n > 0; n--) {
				size_t pos = random() % text.size();
				if (random() % 3 == 0)
					text.insert(pos,
						    fragments[random() % 10]);
				else if (random() % 2 == 0)
					text[pos] = static_cast<char>(random());
				else
					text.erase(pos, random() % 8);
			}
			if (decode(key, text, &record, &err)) {
				accepted++;
				expect_in_range(record);
				EXPECT_EQ(encode(record)[0], '{');
			} else {
				EXPECT_EQ(record.kind, RECORD_INVALID);
			}
			record_clear(&record);
		}
	EXPECT_GT(accepted, 0u);
}

// --- the service against the fake store -----------------------------------

class StoreTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_REAL, 0);
		client = kernel_register(&kernel, "client", receive, this);
		session = soup_session_new();
		start_fake();
		bind_refusing_port();
	}
	void TearDown() override
	{
		store_finish(&store);
		kernel_finish(&kernel);
		g_object_unref(session);
		g_object_unref(bound_socket);
		for (store_result_t *result : results)
			store_result_free(result);
		for (store_result_t *event : events)
			store_result_free(event);
		g_subprocess_force_exit(fake);
		g_subprocess_wait(fake, nullptr, nullptr);
		g_object_unref(fake);
	}
	void start_fake()
	{
		gchar *self = g_file_read_link("/proc/self/exe", nullptr);
		gchar *dir = g_path_get_dirname(self);
		std::string path = std::string(dir) + "/../fakes/store";
		int port = 0;

		g_free(self);
		g_free(dir);
		fake = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, nullptr,
					path.c_str(), nullptr);
		ASSERT_NE(fake, nullptr);
		char line[64] = "";
		g_input_stream_read(g_subprocess_get_stdout_pipe(fake), line,
				    sizeof(line) - 1, nullptr, nullptr);
		ASSERT_EQ(sscanf(line, "listening %d", &port), 1);
		url = "http://127.0.0.1:" + std::to_string(port);
	}
	// A port that is bound but not listened on refuses connections.
	void bind_refusing_port()
	{
		GInetAddress *loopback =
			g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
		GSocketAddress *address =
			g_inet_socket_address_new(loopback, 0);

		bound_socket =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);
		ASSERT_TRUE(
			g_socket_bind(bound_socket, address, FALSE, nullptr));
		g_object_unref(address);
		g_object_unref(loopback);
		address = g_socket_get_local_address(bound_socket, nullptr);
		refusing_url = "http://127.0.0.1:" +
			       std::to_string(g_inet_socket_address_get_port(
				       G_INET_SOCKET_ADDRESS(address)));
		g_object_unref(address);
	}
	void init(int timeout_ms = 20000, int idle_ms = 20000)
	{
		const char *endpoints[] = {refusing_url.c_str(), url.c_str(),
					   nullptr};
		store_opts_t opts = {};

		opts.endpoints = endpoints;
		opts.timeout_ms = timeout_ms;
		opts.watch_idle_ms = idle_ms;
		store_init(&store, &kernel, &opts);
	}
	static void receive(void *self, msg_t *msg)
	{
		auto *test = static_cast<StoreTest *>(self);

		if (msg->kind == MSG_STORE_RESULT)
			test->results.push_back(msg->u.store_result);
		else if (msg->kind == MSG_STORE_EVENT)
			test->events.push_back(msg->u.store_result);
		msg->u.store_result = nullptr;
	}
	// The timeout of 30 s only ends a run that hangs.
	void wait_until(const std::function<bool()> &done)
	{
		int64_t deadline = g_get_monotonic_time() + 30 * USEC_PER_SEC;

		while (!done() && g_get_monotonic_time() < deadline)
			g_main_context_iteration(nullptr, TRUE);
		ASSERT_TRUE(done());
	}
	store_result_t *call(msg_t *msg)
	{
		size_t count = results.size();

		post(msg);
		wait_until([&] { return results.size() > count; });
		return results.back();
	}
	void post(msg_t *msg)
	{
		kernel_post(&kernel, client, kernel_find(&kernel, "store"),
			    msg);
	}
	store_result_t *txn(store_txn_t *txn)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_TXN;
		msg.u.store_txn = txn;
		return call(&msg);
	}
	store_result_t *put(const std::string &key, int64_t expect,
			    int64_t lease = 0)
	{
		store_txn_t *list = store_txn_new();

		store_txn_group(list);
		store_txn_put(list, key.c_str(), expect, lease, &grant);
		return txn(list);
	}
	store_result_t *lease(msg_kind_t kind, int64_t id, int32_t ttl = 60)
	{
		msg_t msg = {};

		msg.kind = kind;
		msg.u.store_lease.lease = id;
		msg.u.store_lease.ttl_s = ttl;
		return call(&msg);
	}
	void post_get(msg_kind_t kind, const char *key, bool prefix)
	{
		msg_t msg = {};

		msg.kind = kind;
		g_strlcpy(msg.u.store_get.key, key, STORE_KEY_SIZE);
		msg.u.store_get.prefix = prefix;
		post(&msg);
	}
	std::string post_http(const std::string &path, const std::string &body)
	{
		SoupMessage *message =
			soup_message_new("POST", (url + path).c_str());
		GBytes *bytes = g_bytes_new(body.data(), body.size());

		soup_message_set_request_body_from_bytes(
			message, "application/json", bytes);
		g_bytes_unref(bytes);
		bytes = soup_session_send_and_read(session, message, nullptr,
						   nullptr);
		gsize len = 0;
		auto *data = static_cast<const char *>(
			g_bytes_get_data(bytes, &len));
		std::string response(data == nullptr ? "" : data, len);
		g_bytes_unref(bytes);
		g_object_unref(message);
		return response;
	}
	// The latest revision of a key in the watch events: 0 if the key was
	// deleted, -1 if there was no event for the key.
	int64_t last_revision(const std::string &key)
	{
		int64_t revision = -1;

		for (const store_result_t *event : events) {
			const auto *kv = store_result_find(event, key.c_str());
			if (kv != nullptr)
				revision = kv->record.kind == RECORD_NONE
						   ? 0
						   : kv->revision;
		}
		return revision;
	}
	static record_t make_grant()
	{
		record_t record = {};

		record.kind = RECORD_GRANT;
		record.u.grant.granted = 10;
		return record;
	}
	kernel_t kernel;
	store_t store;
	svc_t client;
	SoupSession *session;
	GSubprocess *fake;
	GSocket *bound_socket;
	std::string url, refusing_url;
	std::vector<store_result_t *> results, events;
	const record_t grant = make_grant();
};

// A group that does not commit must not affect the other groups, and the
// result must hold the current state of its keys.
TEST_F(StoreTest, GroupsCommitIndependently)
{
	init();
	int64_t first = put("grant/a", EXPECT_ABSENT)->revision;
	store_txn_t *list = store_txn_new();
	store_txn_group(list);
	store_txn_put(list, "grant/a", first, 0, &grant);
	store_txn_check(list, "grant/b", EXPECT_ABSENT);
	store_txn_group(list);
	store_txn_check(list, "grant/a", EXPECT_ABSENT);
	store_txn_put(list, "grant/c", EXPECT_ANY, 0, &grant);
	store_txn_check(list, "grant/d", EXPECT_ABSENT);
	store_result_t *result = txn(list);
	EXPECT_EQ(result->status, STORE_OK);
	EXPECT_TRUE(store_result_committed(result, 0));
	EXPECT_FALSE(store_result_committed(result, 1));
	ASSERT_EQ(result->kvs->len, 3u);
	// The second group's reads run after the first group's write.
	EXPECT_EQ(store_result_find(result, "grant/a")->revision,
		  result->revision);
	EXPECT_EQ(store_result_find(result, "grant/c")->revision, 0);
	EXPECT_EQ(store_result_find(result, "grant/c")->group, 1u);
}

// A caller that repeats a write must know whether the first attempt may have
// taken effect.
TEST_F(StoreTest, StatusStatesWhetherAWriteMayHaveTakenEffect)
{
	init();
	ASSERT_EQ(put("grant/a", EXPECT_ABSENT)->status, STORE_OK);
	post_http("/test/mode", R"({"mode":"lose_answer","count":1})");
	EXPECT_EQ(put("grant/b", EXPECT_ABSENT)->status, STORE_UNKNOWN);
	store_result_t *again = put("grant/b", EXPECT_ABSENT);
	EXPECT_EQ(again->status, STORE_OK);
	EXPECT_FALSE(store_result_committed(again, 0));
	post_http("/test/mode", R"({"mode":"slow","delay_ms":60000})");
	store.timeout_us = USEC_PER_SEC;
	EXPECT_EQ(put("grant/c", EXPECT_ABSENT)->status, STORE_UNKNOWN);
	post_get(MSG_STORE_GET, "grant/a", false);
	size_t count = results.size();
	wait_until([&] { return results.size() > count; });
	EXPECT_EQ(results.back()->status, STORE_UNAVAILABLE);
	EXPECT_EQ(kernel.metrics->gauges[GAUGE_STORE_UP], 0);
	g_subprocess_force_exit(fake);
	g_subprocess_wait(fake, nullptr, nullptr);
	EXPECT_EQ(put("grant/d", EXPECT_ABSENT)->status, STORE_UNAVAILABLE);
}

// The size of a response must be bounded however many keys a prefix has.
TEST_F(StoreTest, PrefixIsReadInPages)
{
	std::set<std::string> keys;

	init();
	for (int i = 0; i < 9; i++) {
		store_txn_t *list = store_txn_new();
		for (int j = 0; j < 64; j++) {
			std::string key = "grant/" + std::to_string(i) + "-" +
					  std::to_string(j);
			store_txn_group(list);
			store_txn_put(list, key.c_str(), EXPECT_ABSENT, 0,
				      &grant);
		}
		ASSERT_EQ(txn(list)->status, STORE_OK);
	}
	put("alone/x", EXPECT_ABSENT);
	size_t first = results.size();
	post_get(MSG_STORE_GET, "grant/", true);
	wait_until([&] {
		return results.size() > first && !results.back()->more;
	});
	EXPECT_EQ(results.size() - first, 3u);
	for (size_t i = first; i < results.size(); i++)
		for (guint j = 0; j < results[i]->kvs->len; j++)
			keys.insert(
				g_array_index(results[i]->kvs, store_kv_t, j)
					.key);
	EXPECT_EQ(keys.size(), 9u * 64);
}

// A watcher must neither miss keys nor keep deleted keys after the stream was
// interrupted, compacted or idle.
TEST_F(StoreTest, WatchRecoversFromInterruptions)
{
	init(20000, 50);
	int64_t first = put("grant/a", EXPECT_ABSENT)->revision;
	int64_t id = lease(MSG_STORE_LEASE, 0)->lease;
	put("grant/leased", EXPECT_ABSENT, id);
	post_get(MSG_STORE_WATCH, "grant/", true);
	wait_until([&] { return last_revision("grant/leased") > 0; });
	EXPECT_EQ(last_revision("grant/a"), first);
	// Idle streams are replaced.
	wait_until([&] {
		return kernel.metrics->counters[COUNTER_STORE_CALLS] > 8;
	});
	int64_t second = put("grant/a", first)->revision;
	wait_until([&] { return last_revision("grant/a") == second; });
	// Changes during an outage of the watch are found by another read.
	post_http("/test/mode", R"({"mode":"out"})");
	wait_until([&] { return kernel.metrics->gauges[GAUGE_STORE_UP] == 0; });
	post_http("/test/mode", R"({"mode":"normal"})");
	EXPECT_EQ(lease(MSG_STORE_REVOKE, id)->status, STORE_OK);
	wait_until([&] { return last_revision("grant/leased") == 0; });
	post_http("/test/compact", "{}");
	int64_t third = put("grant/a", second)->revision;
	wait_until([&] { return last_revision("grant/a") == third; });
}

TEST_F(StoreTest, LeasesExpireAndAreRevoked)
{
	init();
	int64_t id = lease(MSG_STORE_LEASE, 0, 60)->lease;
	EXPECT_EQ(lease(MSG_STORE_KEEPALIVE, id)->lease_ttl_s, 60);
	EXPECT_EQ(lease(MSG_STORE_REVOKE, id)->status, STORE_OK);
	EXPECT_EQ(lease(MSG_STORE_REVOKE, id)->status, STORE_OK);
	EXPECT_EQ(lease(MSG_STORE_KEEPALIVE, id)->lease_ttl_s, 0);
	EXPECT_EQ(put("grant/a", EXPECT_ABSENT, id)->status, STORE_INVALID);
	int64_t short_lease = lease(MSG_STORE_LEASE, 0, 1)->lease;
	put("grant/b", EXPECT_ABSENT, short_lease);
	post_get(MSG_STORE_WATCH, "grant/", true);
	wait_until([&] { return last_revision("grant/b") == 0; });
}

// Malformed values are counted and passed on as RECORD_INVALID; calls that
// exceed a limit are rejected.
TEST_F(StoreTest, MalformedValuesAndCallsAreRejected)
{
	init();
	// The key is "tanagertrestle/grant/x" and the value "junk", in base64.
	post_http(
		"/v3/kv/txn",
		R"({"success":[{"request_put":{"key":"dGFuYWdlcnRyZXN0bGUvZ3JhbnQveA==","value":"anVuaw=="}}]})");
	size_t count = results.size();
	post_get(MSG_STORE_GET, "grant/x", false);
	wait_until([&] { return results.size() > count; });
	ASSERT_EQ(results.back()->kvs->len, 1u);
	EXPECT_EQ(g_array_index(results.back()->kvs, store_kv_t, 0).record.kind,
		  RECORD_INVALID);
	EXPECT_EQ(kernel.metrics->counters[COUNTER_STORE_INVALID], 1u);
	store_txn_t *duplicate = store_txn_new();
	for (int i = 0; i < 2; i++) {
		store_txn_group(duplicate);
		store_txn_put(duplicate, "grant/y", EXPECT_ANY, 0, &grant);
	}
	EXPECT_EQ(txn(duplicate)->status, STORE_INVALID);
	EXPECT_EQ(txn(store_txn_new())->status, STORE_INVALID);
	for (int ops : {STORE_TXN_OPS_MAX - 1, STORE_TXN_OPS_MAX}) {
		store_txn_t *list = store_txn_new();
		store_txn_group(list);
		for (int i = 0; i < ops; i++)
			store_txn_check(list, "grant/z", EXPECT_ABSENT);
		EXPECT_EQ(txn(list)->status,
			  ops < STORE_TXN_OPS_MAX ? STORE_OK : STORE_INVALID);
	}
}

} // namespace
