// Guards the adapter: entries that can't be read, headers that callers must
// not set, lost answers of the store, and a history that it has dropped.
#include "platform/entries.h"
#include "platform/store.h"
#include "platform/wire.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

record_kind_t decode(const char *key, const std::string &text,
		     record_t *record = nullptr)
{
	GBytes *bytes = g_bytes_new(text.data(), text.size());
	record_t own = {};
	errmsg_t err;
	record_kind_t kind;

	entry_decode(key, bytes, &own, &err);
	kind = own.kind;
	if (record != nullptr)
		*record = own;
	else
		record_clear(&own);
	g_bytes_unref(bytes);
	return kind;
}

const std::string target =
	R"({"service":"s","address":"10.0.0.1:80","zone":"z","batch_slots":4,)"
	R"("state":"ready","sequence":3,"born":17})";

std::string with(std::string text, const char *from, const char *to)
{
	return text.replace(text.find(from), strlen(from), to);
}

TEST(Entries, TargetIsReadAndFaultsNameNothing)
{
	record_t record;

	ASSERT_EQ(decode("fleet/target/i-1", target, &record),
		  RECORD_FLEET_TARGET);
	EXPECT_STREQ(record.u.fleet_target->host, "10.0.0.1");
	EXPECT_EQ(record.u.fleet_target->port, 80);
	EXPECT_EQ(record.u.fleet_target->born_ms, 17);
	record_clear(&record);
	for (auto &bad :
	     {std::string(""), std::string("\xff\xfe"), std::string("[]"),
	      std::string("{"), with(target, "\"ready\"", "\"odd\""),
	      with(target, "10.0.0.1:80", "host"), with(target, "4", "\"4\""),
	      with(target, "4", "0"), with(target, "\"s\"", "1"),
	      with(target, "\"service\"", "\"other\"")})
		EXPECT_EQ(decode("fleet/target/i-1", bad), RECORD_INVALID)
			<< bad;
}

const std::string conf =
	R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
	R"("kind":"streaming","timeout_ms":100,"priority":1,"max_attempts":2,)"
	R"("split":[{"service":"s","weight":9},{"service":"t","weight":1}]}],)"
	R"("services":[{"name":"s","max_connections":3}],)"
	R"("limits":{"max_body_bytes":9},)"
	R"("tenants":[{"name":"a","api_keys":["k1","k2"],"prepaid":5}]})";

TEST(Entries, ConfigurationIsReadAndFaultsAreRefused)
{
	record_t record;
	const fleet_conf_t *read;

	ASSERT_EQ(decode("fleet/conf", conf, &record), RECORD_FLEET_CONF);
	read = record.u.fleet_conf;
	EXPECT_EQ(read->version, 7);
	EXPECT_EQ(read->limits.max_body, 9u);
	ASSERT_NE(fleet_conf_account(read, "k2"), nullptr);
	EXPECT_EQ(fleet_conf_account(read, "k2")->prepaid, 5);
	ASSERT_NE(fleet_conf_route(read, "H", "/p/x"), nullptr);
	EXPECT_EQ(fleet_conf_route(read, "h", "/p/x")->share_count, 2u);
	EXPECT_EQ(fleet_conf_route(read, "h", "/q/x"), nullptr);
	record_clear(&record);
	for (auto &bad : {with(conf, "7", "\"7\""), with(conf, "\"r\"", "1"),
			  with(conf, "streaming", "odd"),
			  with(conf, "\"prepaid\":5", "\"prepaid\":\"5\"")})
		EXPECT_EQ(decode("fleet/conf", bad), RECORD_INVALID) << bad;
}

TEST(Entries, LongestPrefixOfAHostIsTheRoute)
{
	fleet_conf_t *all = fleet_conf_new();

	for (const char *prefix : {"/", "/a/", "/a/b/"}) {
		fleet_route_t route = {};

		g_strlcpy(route.host, "h", sizeof(route.host));
		g_strlcpy(route.path_prefix, prefix, sizeof(route.path_prefix));
		g_array_append_val(all->routes, route);
	}
	EXPECT_STREQ(fleet_conf_route(all, "h", "/a/b/c")->path_prefix,
		     "/a/b/");
	EXPECT_STREQ(fleet_conf_route(all, "h", "/a/c")->path_prefix, "/a/");
	EXPECT_STREQ(fleet_conf_route(all, "h", "/x")->path_prefix, "/");
	EXPECT_EQ(fleet_conf_route(all, "g", "/x"), nullptr);
	fleet_conf_unref(all);
}

TEST(Entries, AllocationSurvivesItsEncoding)
{
	record_t record = {}, back;
	grant_holder_t holder = {"n1", "run-1", 500};
	GBytes *bytes;
	errmsg_t err;

	record.kind = RECORD_ALLOCATION;
	record.u.allocation = allocation_new();
	record.u.allocation->closed = 70;
	g_array_append_val(record.u.allocation->holders, holder);
	bytes = entry_encode(&record);
	entry_decode("prepaid/a", bytes, &back, &err);
	ASSERT_EQ(back.kind, RECORD_ALLOCATION) << err.text;
	EXPECT_EQ(allocation_total(back.u.allocation), 570);
	record_clear(&record);
	record_clear(&back);
	g_bytes_unref(bytes);
}

http_head_t *request_head()
{
	http_head_t *head = http_head_request("POST", "/p/x?q=1");

	http_head_add(head, "Host", "h.example:80");
	http_head_add(head, "Attempt-Id", "r1");
	http_head_add(head, "Token-Count", "1460,80");
	http_head_add(head, "Prompt-Prefix", "a:800,b:410,ffff:250");
	http_head_add(head, "Time-Budget-Ms", "15000");
	http_head_add(head, "Authorization", "Bearer secret");
	http_head_add(head, "Connection", "X-Mine");
	return head;
}

TEST(Wire, RequestIsReadWhole)
{
	http_head_t *head = request_head();
	exchange_spec_t *spec = exchange_spec_new();
	errmsg_t err;

	ASSERT_TRUE(wire_read_request(head, nullptr, spec, &err));
	EXPECT_STREQ(spec->host, "h.example");
	EXPECT_STREQ(spec->path, "/p/x");
	EXPECT_STREQ(spec->api_key, "secret");
	EXPECT_EQ(spec->prompt_tokens, 1460);
	EXPECT_EQ(spec->max_tokens, 80);
	EXPECT_EQ(spec->wait_ms, 15000);
	ASSERT_EQ(spec->part_count, 3u);
	EXPECT_EQ(spec->parts[1].id, 0xbu);
	EXPECT_EQ(spec->parts[2].tokens, 250u);
	exchange_spec_free(spec);
	http_head_free(head);
}

// The gateway alone says whose request it is and what a target reserves.
TEST(Wire, FieldsOfTheGatewayAreDroppedFromCallers)
{
	http_head_t *head = request_head(), *out;
	exchange_spec_t *spec = exchange_spec_new();
	wire_send_t send = {"i-1", "acct", 900, 3, nullptr};
	errmsg_t err;

	for (const char *name :
	     {"tenant", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From",
	      "Expect-Instance", "X-Mine", "Request-Priority"})
		http_head_add(head, name, "forged");
	ASSERT_TRUE(wire_read_request(head, nullptr, spec, &err));
	out = wire_write_request(spec, &send);
	EXPECT_STREQ(out->target, "/p/x?q=1");
	EXPECT_STREQ(http_head_get(out, "Tenant"), "acct");
	EXPECT_STREQ(http_head_get(out, "Expect-Instance"), "i-1");
	EXPECT_STREQ(http_head_get(out, "Time-Budget-Ms"), "900");
	EXPECT_EQ(http_head_get(out, "Authorization"), nullptr);
	for (guint i = 0; i < out->fields->len; i++)
		EXPECT_STRNE(g_array_index(out->fields, http_field_t, i).value,
			     "forged");
	http_head_free(out);
	exchange_spec_free(spec);
	http_head_free(head);
}

TEST(Wire, MalformedRequestsAreRefused)
{
	for (const char *tokens :
	     {"x", "1", "-1,2", "1,2,3", "1,99999999999"}) {
		http_head_t *head = http_head_request("POST", "/");
		exchange_spec_t *spec = exchange_spec_new();
		errmsg_t err;

		http_head_add(head, "Host", "h");
		http_head_add(head, "Token-Count", tokens);
		EXPECT_FALSE(wire_read_request(head, nullptr, spec, &err))
			<< tokens;
		exchange_spec_free(spec);
		http_head_free(head);
	}
}

// The store service with a scripted HTTP client behind it.
class Store : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		platform_store_opts_t opts = {"127.0.0.1", 1, 500};

		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		outbound = kernel_register(&kernel, "outbound", on_out, this);
		peer = kernel_register(&kernel, "peer", on_peer, this);
		owner = kernel_register(&kernel, "owner", on_owner, this);
		platform_store_init(&store, &kernel, &opts);
		watch("fleet/");
		watch("prepaid/");
	}
	void TearDown() override
	{
		platform_store_finish(&store);
		kernel_finish(&kernel);
	}
	void watch(const char *prefix)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_WATCH;
		g_strlcpy(msg.u.store_get.key, prefix,
			  sizeof(msg.u.store_get.key));
		kernel_post(&kernel, owner, store.svc, &msg);
	}
	static void on_out(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_OUT_SEND)
			static_cast<Store *>(self)->answer(msg);
	}
	static void on_peer(void *self, msg_t *msg)
	{
		Store *s = static_cast<Store *>(self);

		if (msg->kind == MSG_PEER_SEND &&
		    msg->u.peer.body->kind == PEER_STORE_PULL)
			s->pulls++;
	}
	static void on_owner(void *self, msg_t *msg)
	{
		Store *s = static_cast<Store *>(self);
		const store_result_t *result = msg->u.store_result;

		if (msg->kind == MSG_STORE_RESULT) {
			s->status = result->status;
			s->committed = store_result_committed(result, 0);
		}
		if (msg->kind != MSG_STORE_EVENT)
			return;
		for (guint i = 0; i < result->kvs->len; i++) {
			const store_kv_t *kv =
				&g_array_index(result->kvs, store_kv_t, i);

			s->seen.push_back(std::string(kv->key) + "=" +
					  std::to_string((int)kv->record.kind));
		}
	}
	void answer(msg_t *msg)
	{
		std::string path = msg->u.out_send.head->target;
		std::string text;
		uint32_t code = script(path, &text);
		msg_t head = {}, data = {}, end = {};

		paths.push_back(path);
		end.kind = code == 0 ? MSG_OUT_FAILED : MSG_OUT_END;
		end.u.out_failed.sent = code == 0;
		head.kind = MSG_OUT_HEAD;
		data.kind = MSG_OUT_DATA;
		head.ref = data.ref = end.ref = msg->id;
		head.u.out_head.head = http_head_response(code);
		data.u.data.bytes = g_bytes_new(text.data(), text.size());
		kernel_post(&kernel, outbound, msg->from, &head);
		kernel_post(&kernel, outbound, msg->from, &data);
		kernel_post(&kernel, outbound, msg->from, &end);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	static std::string item(const char *key, int revision,
				const std::string &value)
	{
		gchar *encoded = g_base64_encode((const guchar *)value.data(),
						 value.size());
		std::string text =
			std::string("{\"key\":\"") + key + "\",\"value\":\"" +
			encoded +
			"\",\"revision\":" + std::to_string(revision) + "}";

		g_free(encoded);
		return text;
	}
	uint32_t calm(const std::string &path, std::string *text)
	{
		if (path.find("/api/kv-range?path_prefix=servers/") == 0)
			*text = "{\"items\":[" +
				item("servers/i-1", 5, target) +
				"],\"has_more\":false,\"at\":9}";
		else if (path.find("/api/kv-range") == 0)
			*text = "{\"items\":[],\"has_more\":false,\"at\":9}";
		else
			*text = "{\"events\":[],\"at\":9}";
		return 200;
	}
	bool saw(const std::string &what)
	{
		return std::find(seen.begin(), seen.end(), what) != seen.end();
	}
	std::function<uint32_t(const std::string &, std::string *)> script =
		[this](const std::string &p, std::string *t) {
			return calm(p, t);
		};
	kernel_t kernel;
	platform_store_t store;
	svc_t outbound, peer, owner;
	std::vector<std::string> paths, seen;
	store_status_t status = STORE_INVALID;
	bool committed = false;
	int pulls = 0;
};

const std::string LISTED =
	"fleet/target/i-1=" + std::to_string((int)RECORD_FLEET_TARGET);
const std::string GONE = "fleet/target/i-1=" + std::to_string((int)RECORD_NONE);

TEST_F(Store, ListsOnceAndThenReadsChanges)
{
	kernel_start(&kernel);
	run(3 * USEC_PER_SEC);
	EXPECT_TRUE(saw(LISTED));
	ASSERT_GT(paths.size(), 4u);
	EXPECT_EQ(paths[0].find("/api/kv-range"), 0u);
	EXPECT_NE(paths[3].find("kv-watch?path_prefix=&after=9"),
		  std::string::npos);
	/* The pause between reads bounds what the store is asked. */
	EXPECT_LE(paths.size(), 3u + 7u);
}

// A target that left while the history was dropped must be noticed.
TEST_F(Store, DroppedHistoryIsReadAnewWithoutAGap)
{
	kernel_start(&kernel);
	run(100000);
	ASSERT_TRUE(saw(LISTED));
	script = [this](const std::string &path, std::string *text) {
		if (path.find("/api/kv-watch") == 0)
			return 410u;
		*text = "{\"items\":[],\"has_more\":false,\"at\":20}";
		return 200u;
	};
	run(USEC_PER_SEC);
	EXPECT_TRUE(saw(GONE));
	EXPECT_EQ(store.revision, 20);
}

TEST_F(Store, PeersAreAskedWhileTheStoreDoesNotAnswer)
{
	msg_t msg = {};

	script = [](const std::string &, std::string *) { return 0u; };
	msg.kind = MSG_PEER_UP;
	g_strlcpy(msg.u.peer_addr.incarnation, "p1",
		  sizeof(msg.u.peer_addr.incarnation));
	kernel_start(&kernel);
	kernel_post(&kernel, peer, store.svc, &msg);
	run(USEC_PER_SEC);
	EXPECT_GE(pulls, 2);
	msg = {};
	msg.kind = MSG_PEER_RECEIVED;
	msg.u.peer.body = peer_body_new(PEER_STORE_ITEMS);
	msg.u.peer.body->u.store_items.up_to = 30;
	store_item_t relayed = {};
	g_strlcpy(relayed.key, "fleet/target/i-1", sizeof(relayed.key));
	relayed.revision = 25;
	relayed.value = g_bytes_new(target.data(), target.size());
	g_array_append_val(msg.u.peer.body->u.store_items.items, relayed);
	kernel_post(&kernel, peer, store.svc, &msg);
	run(0);
	EXPECT_TRUE(saw(LISTED));
	EXPECT_EQ(store.revision, 30);
}

// The records of prepaid tokens would fill a small machine's link.
TEST_F(Store, LargeFleetReadsOnlyConfigurationAndTargets)
{
	size_t from;

	kernel_start(&kernel);
	run(100000);
	for (int i = 0; i < 40; i++) {
		msg_t msg = {};

		msg.kind = MSG_PEER_UP;
		g_snprintf(msg.u.peer_addr.incarnation,
			   sizeof(msg.u.peer_addr.incarnation), "p%d", i);
		kernel_post(&kernel, peer, store.svc, &msg);
	}
	run(2 * USEC_PER_SEC);
	from = paths.size();
	run(6 * USEC_PER_SEC);
	ASSERT_GE(paths.size(), from + 4);
	EXPECT_LE(paths.size(), from + 13);
	for (size_t i = from; i < paths.size(); i++)
		EXPECT_EQ(paths[i].find("path_prefix=&"), std::string::npos);
	EXPECT_NE(paths[from].find("kv-watch"), std::string::npos);
	EXPECT_NE(paths[from], paths[from + 1]);
}

TEST_F(Store, WriteWithoutAnAnswerIsUnknown)
{
	struct {
		uint32_t code;
		const char *text;
		store_status_t status;
		bool committed;
	} cases[] = {
		{0, "", STORE_UNKNOWN, false},
		{200, "{\"revision\":12}", STORE_OK, true},
		{412, "{\"items\":[]}", STORE_OK, false},
		{503, "", STORE_UNAVAILABLE, false},
		{429, "", STORE_UNAVAILABLE, false},
		{403, "", STORE_INVALID, false},
	};

	kernel_start(&kernel);
	run(100000);
	for (auto &c : cases) {
		msg_t msg = {};
		record_t record = {};

		script = [&](const std::string &path, std::string *text) {
			if (path != "/api/kv-txn")
				return calm(path, text);
			*text = c.text;
			return c.code;
		};
		record.kind = RECORD_ALLOCATION;
		record.u.allocation = allocation_new();
		msg.kind = MSG_STORE_TXN;
		msg.u.store_txn = store_txn_new();
		store_txn_group(msg.u.store_txn);
		store_txn_put(msg.u.store_txn, "prepaid/a", 0, 0, &record);
		record_clear(&record);
		kernel_post(&kernel, owner, store.svc, &msg);
		run(0);
		EXPECT_EQ(status, c.status) << c.code;
		EXPECT_EQ(committed, c.committed) << c.code;
	}
}

} // namespace
