// Tests the client of the platform's store and the conversion of its items and
// of HTTP headers: malformed and mutated items, header fields that callers must
// not set, missing responses of the store, and a compacted change history.
#include "http/parse.h"
#include "kernel/identifier.h"
#include "outbound/outbound.h"
#include "platform/entries.h"
#include "platform/store.h"
#include "platform/wire.h"
#include "tests/script_server.h"

#include <algorithm>
#include <cstring>
#include <functional>
#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

namespace
{

record_kind_t decode(const std::string &key, const std::string &text,
		     record_t *record = nullptr)
{
	GBytes *bytes = g_bytes_new(text.data(), text.size());
	record_t decoded = {};
	errmsg_t err;
	record_kind_t kind;

	entry_decode(key.c_str(), bytes, &decoded, &err);
	kind = decoded.kind;
	if (record != nullptr)
		*record = decoded;
	else
		record_clear(&decoded);
	g_bytes_unref(bytes);
	return kind;
}

const std::string target_json =
	R"({"service":"s","address":"10.0.0.1:80","zone":"z","batch_slots":4,)"
	R"("state":"ready","version":"v1","cold_remaining_ms":0,)"
	R"("sequence":3,"born":17})";

std::string replace_first(std::string text, const char *from, const char *to)
{
	return text.replace(text.find(from), strlen(from), to);
}

TEST(Entries, ValidTargetIsDecodedAndInvalidOnesAreRejected)
{
	record_t record;

	ASSERT_EQ(decode("fleet/target/i-1", target_json, &record),
		  RECORD_FLEET_TARGET);
	EXPECT_STREQ(record.u.fleet_target->host, "10.0.0.1");
	EXPECT_EQ(record.u.fleet_target->port, 80);
	EXPECT_EQ(record.u.fleet_target->started_ms, 17);
	record_clear(&record);
	for (auto &bad :
	     {std::string(""), std::string("\xff\xfe"), std::string("[]"),
	      std::string("{"),
	      replace_first(target_json, "\"ready\"", "\"odd\""),
	      replace_first(target_json, "10.0.0.1:80", "host"),
	      replace_first(target_json, "4", "\"4\""),
	      replace_first(target_json, "4", "0"),
	      replace_first(target_json, "\"s\"", "1"),
	      replace_first(target_json, "\"service\"", "\"other\"")})
		EXPECT_EQ(decode("fleet/target/i-1", bad), RECORD_INVALID)
			<< bad;
}

// Guards against a request that runs at another service, as an entry that
// another writer left incomplete passed for that of a target.
TEST(Entries, IncompleteEntryNamesNoTarget)
{
	const std::pair<const char *, std::vector<const char *>> members[] = {
		{"\"service\":\"s\"", {"1", "null", "[]"}},
		{"\"address\":\"10.0.0.1:80\"", {"1", "\"\"", "\"10.0.0.1\""}},
		{"\"zone\":\"z\"", {"1", "{}"}},
		{"\"version\":\"v1\"", {"1", "null", "true"}},
		{"\"batch_slots\":4", {"\"4\"", "0", "4.5", "null"}},
		{"\"state\":\"ready\"", {"\"odd\"", "1", "null"}},
		{"\"cold_remaining_ms\":0", {"\"0\"", "null", "[0]", "false"}},
		{"\"sequence\":3", {"\"3\"", "-1", "3.5", "null"}},
		{"\"born\":17", {"\"17\"", "-1", "17.5", "null"}},
	};

	for (const auto &member : members) {
		std::string name = member.first;

		name.resize(name.find(':') + 1);
		for (const char *value : member.second) {
			std::string text =
				replace_first(target_json, member.first,
					      (name + value).c_str());

			EXPECT_EQ(decode("fleet/target/i-1", text),
				  RECORD_INVALID)
				<< text;
		}
		// The first releases of targets do not state their start.
		EXPECT_EQ(decode("fleet/target/i-1",
				 replace_first(target_json, member.first,
					       "\"other\":1")),
			  name == "\"born\":" ? RECORD_FLEET_TARGET
					      : RECORD_INVALID)
			<< name;
	}
}

const std::string conf_json =
	R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
	R"("kind":"streaming","timeout_ms":100,"priority":1,"max_attempts":2,)"
	R"("split":[{"service":"s","weight":9},{"service":"t","weight":1}]}],)"
	R"("services":[{"name":"s","max_connections":3}],)"
	R"("limits":{"max_body_bytes":9},)"
	R"("tenants":[{"name":"a","api_keys":["k1","k2"],"prepaid":5}]})";

TEST(Entries, ValidConfigurationIsDecodedAndOneWithoutVersionIsRejected)
{
	record_t record;
	const fleet_conf_t *fleet_conf;

	ASSERT_EQ(decode("fleet/conf", conf_json, &record), RECORD_FLEET_CONF);
	fleet_conf = record.u.fleet_conf;
	EXPECT_EQ(fleet_conf->version, 7);
	EXPECT_EQ(fleet_conf->limits.max_body, 9u);
	ASSERT_NE(fleet_conf_account_by_key(fleet_conf, "k2"), nullptr);
	EXPECT_EQ(fleet_conf_account_by_key(fleet_conf, "k2")->prepaid, 5);
	ASSERT_NE(fleet_conf_route(fleet_conf, "H", "/p/x"), nullptr);
	EXPECT_EQ(fleet_conf_route(fleet_conf, "h", "/p/x")->share_count, 2u);
	EXPECT_EQ(fleet_conf_route(fleet_conf, "h", "/q/x"), nullptr);
	record_clear(&record);
	for (auto &bad : {replace_first(conf_json, "7", "\"7\""),
			  replace_first(conf_json, "7", "7.5"),
			  replace_first(conf_json, "7", "-7"),
			  replace_first(conf_json, "version", "revision"),
			  std::string("{"), std::string("[]")})
		EXPECT_EQ(decode("fleet/conf", bad), RECORD_INVALID) << bad;
}

// Guards against a target that gets no requests because its id, service, zone
// or version is longer than a buffer, and against two ids that become one.
TEST(Entries, TargetHoldsWithNamesOfAnyLength)
{
	const std::string id = std::string(190, 'i');
	const std::string text =
		R"({"service":")" + std::string(300, 's') +
		R"(","address":"10.0.0.1:80","zone":")" +
		std::string(300, 'z') + R"(","batch_slots":4,)" +
		R"("state":"ready","cold_remaining_ms":0,)" +
		R"("sequence":1,"version":")" + std::string(300, 'v') + R"("})";
	char service[NAME_SIZE];
	record_t first, second;

	identifier_set(service, sizeof(service), std::string(300, 's').c_str());
	ASSERT_EQ(decode("fleet/target/" + id + "1", text, &first),
		  RECORD_FLEET_TARGET);
	ASSERT_EQ(decode("fleet/target/" + id + "2", text, &second),
		  RECORD_FLEET_TARGET);
	EXPECT_STREQ(first.u.fleet_target->service, service);
	EXPECT_TRUE(name_is_valid(first.u.fleet_target->id));
	EXPECT_STRNE(first.u.fleet_target->id, second.u.fleet_target->id);
	EXPECT_EQ(fleet_target_full_id(first.u.fleet_target), id + "1");
	EXPECT_STRNE(first.u.fleet_target->version, "");
	record_clear(&first);
	record_clear(&second);
	// Ids with other characters than a name has, as they are sent.
	ASSERT_EQ(decode("fleet/target/i:7/a", target_json, &first),
		  RECORD_FLEET_TARGET);
	EXPECT_STREQ(fleet_target_full_id(first.u.fleet_target), "i:7/a");
	record_clear(&first);
	for (const char *bad : {"", "i 7", "i\r\nX: 1", "i\x7f"})
		EXPECT_EQ(
			decode(std::string("fleet/target/") + bad, target_json),
			RECORD_INVALID)
			<< bad;
}

// Guards against a configuration that is never applied, so that a key that it
// takes away still runs, because a value is longer than a buffer.
TEST(Entries, ConfigurationHoldsWithValuesOfAnyLength)
{
	std::string host = std::string(63, 'a') + "." + std::string(189, 'b');
	std::string prefix = "/" + std::string(5000, 'p') + "/";
	std::string account(300, 'c'), key(5000, 'k'), service(300, 's');
	std::string split;
	const fleet_route_t *route;
	const fleet_account_t *found;
	record_t record;

	for (int i = 0; i < 40; i++)
		split += std::string(i > 0 ? "," : "") + R"({"service":")" +
			 service + std::to_string(i) + R"(","weight":1})";
	ASSERT_EQ(decode("fleet/conf",
			 R"({"version":8,"routes":[{"name":")" +
				 std::string(500, 'r') + R"(","host":")" +
				 host + R"(","path_prefix":")" + prefix +
				 R"(","kind":"safe","split":[)" + split +
				 R"(]}],"services":[{"name":")" + service +
				 R"(1","max_connections":3}],"tenants":)" +
				 R"([{"name":")" + account +
				 R"(","api_keys":[")" + key + R"("]}]})",
			 &record),
		  RECORD_FLEET_CONF);
	const fleet_conf_t *fleet_conf = record.u.fleet_conf;

	EXPECT_EQ(fleet_conf->unreadable, 0u) << fleet_conf->fault.text;
	route = fleet_conf_route(fleet_conf, host.c_str(),
				 (prefix + "1").c_str());
	ASSERT_NE(route, nullptr);
	EXPECT_EQ(fleet_conf_route(fleet_conf, host.c_str(),
				   prefix.substr(0, 4000).c_str()),
		  nullptr);
	ASSERT_EQ(route->share_count, 40u);
	// Names that agree in their first bytes are different services.
	EXPECT_STRNE(fleet_conf_share(fleet_conf, route, 1)->service,
		     fleet_conf_share(fleet_conf, route, 2)->service);
	EXPECT_EQ(fleet_conf_service(
			  fleet_conf,
			  fleet_conf_share(fleet_conf, route, 1)->service)
			  ->max_connections,
		  3u);
	EXPECT_EQ(fleet_conf_service(
			  fleet_conf,
			  fleet_conf_share(fleet_conf, route, 2)->service),
		  nullptr);
	found = fleet_conf_account_by_key(fleet_conf, key.c_str());
	ASSERT_NE(found, nullptr);
	EXPECT_EQ(found->full_name, account);
	EXPECT_EQ(fleet_conf_account_by_key(fleet_conf,
					    key.substr(0, 4999).c_str()),
		  nullptr);
	record_clear(&record);
}

// Guards against one part that cannot be read keeping a former version, with
// keys that were taken away, in force.  What needs that part is refused.
TEST(Entries, UnreadablePartOfAConfigurationIsRefusedAndTheRestHolds)
{
	const struct {
		const char *from, *to, *fault;
		guint shares; // of the route /p/; it is known in any case
		int64_t prepaid; // of the account of k2; -2: no such account
	} cases[] = {
		{"\"r\"", "1", "routes[0].name: missing or not a string", 0, 5},
		{"streaming", "odd", "routes[0].kind: not known", 0, 5},
		{"\"service\":\"s\",\"weight\":9", "\"weight\":9",
		 "routes[0].split: a share without service or weight", 1, 5},
		{"\"weight\":9", "\"weight\":-9",
		 "routes[0].split: a share without service or weight", 1, 5},
		{"\"weight\":9", "\"weight\":1e400",
		 "routes[0].split: a share without service or weight", 1, 5},
		{"\"services\":[", "\"services\":[1,",
		 "services[0]: not an object", 2, 5},
		{"\"services\":", "\"other\":",
		 "services: missing or not an array", 2, 5},
		{"\"k1\"", "1", "tenants[0].api_keys: a key is not a string", 2,
		 5},
		{"\"prepaid\":5", "\"prepaid\":\"5\"",
		 "tenants[0].prepaid: not a number of tokens", 2, 0},
		{"\"prepaid\":5", "\"prepaid\":-5",
		 "tenants[0].prepaid: not a number of tokens", 2, 0},
		{"\"name\":\"a\"", "\"name\":[]",
		 "tenants[0].name: missing or not a string", 2, -2},
		{"\"tenants\":[", "\"tenants\":{\"x\":[",
		 "tenants: missing or not an array", 2, -2},
	};

	for (const auto &c : cases) {
		std::string text = replace_first(conf_json, c.from, c.to);
		const fleet_account_t *account;
		const fleet_route_t *route;
		record_t record;

		if (strstr(c.to, "{\"x\":[") != nullptr)
			text.insert(text.size() - 1, "}");
		ASSERT_EQ(decode("fleet/conf", text, &record),
			  RECORD_FLEET_CONF)
			<< text;
		EXPECT_EQ(record.u.fleet_conf->version, 7);
		EXPECT_EQ(record.u.fleet_conf->unreadable, 1u) << text;
		EXPECT_STREQ(record.u.fleet_conf->fault.text, c.fault);
		EXPECT_TRUE(record.u.fleet_conf->has_accounts) << text;
		route = fleet_conf_route(record.u.fleet_conf, "h", "/p/x");
		ASSERT_NE(route, nullptr) << text;
		EXPECT_EQ(route->share_count, c.shares) << text;
		account = fleet_conf_account_by_key(record.u.fleet_conf, "k2");
		EXPECT_EQ(account != nullptr ? account->prepaid : -2, c.prepaid)
			<< text;
		record_clear(&record);
	}
}

// Guards against a number that is beyond what this build uses, or written with
// decimals, being taken for a missing one: a default is no substitute.
TEST(Entries, NumbersOfAConfigurationAreLimitedAndNotReplaced)
{
	const struct {
		const char *from, *to;
		uint32_t timeout_ms, attempts;
		int32_t priority;
		int64_t prepaid;
		double ratio; // of the weights of the two shares
	} cases[] = {
		{"100", "100.9", 100, 2, 1, 5, 9},
		{"100", "99999999999999", 86400000, 2, 1, 5, 9},
		{"\"priority\":1", "\"priority\":2000", 100, 2, 1000, 5, 9},
		{"\"max_attempts\":2", "\"max_attempts\":1e9", 100, 100, 1, 5,
		 9},
		{"\"prepaid\":5", "\"prepaid\":1e6", 100, 2, 1, 1000000, 9},
		{"\"prepaid\":5", "\"prepaid\":1e30", 100, 2, 1, INT64_MAX, 9},
		{"\"prepaid\":5", "\"prepaid\":null", 100, 2, 1, -1, 9},
		{"\"weight\":9", "\"weight\":0.5", 100, 2, 1, 5, 0.5},
		{"\"weight\":9", "\"weight\":9000000000", 100, 2, 1, 5, 9e9},
	};

	for (const auto &c : cases) {
		std::string text = replace_first(conf_json, c.from, c.to);
		const fleet_route_t *route;
		record_t record;

		ASSERT_EQ(decode("fleet/conf", text, &record),
			  RECORD_FLEET_CONF)
			<< text;
		const fleet_conf_t *fleet_conf = record.u.fleet_conf;

		EXPECT_EQ(fleet_conf->unreadable, 0u) << text;
		route = fleet_conf_route(fleet_conf, "h", "/p/x");
		ASSERT_NE(route, nullptr) << text;
		EXPECT_EQ(route->terms.timeout_ms, c.timeout_ms) << text;
		EXPECT_EQ(route->terms.max_attempts, c.attempts) << text;
		EXPECT_EQ(route->terms.priority, c.priority) << text;
		EXPECT_EQ(fleet_conf_account_by_key(fleet_conf, "k1")->prepaid,
			  c.prepaid)
			<< text;
		uint32_t first = fleet_conf_share(fleet_conf, route, 0)->weight;
		uint32_t second =
			fleet_conf_share(fleet_conf, route, 1)->weight;

		if (c.ratio < 1e6)
			EXPECT_DOUBLE_EQ((double)first / second, c.ratio)
				<< text;
		else
			EXPECT_GT(first, second * 1000.0) << text;
		record_clear(&record);
	}
}

// Guards against an evacuation that does not begin because of its value: only
// the presence of the key counts.
TEST(Entries, EvacuationHoldsWithAnyValue)
{
	std::string name(NAME_SIZE - 1, 'z');

	for (const char *value : {"{}", "", "{\"zone\":", "[1]", "\xff\xfe"})
		EXPECT_EQ(decode("evacuation/zone-1", value), RECORD_EVACUATION)
			<< value;
	EXPECT_EQ(decode("evacuation/" + name, "{}"), RECORD_EVACUATION);
	EXPECT_EQ(decode("evacuation/" + name + "z", "{}"), RECORD_EVACUATION);
	EXPECT_EQ(decode("evacuation/", "{}"), RECORD_INVALID);
}

// Guards against a cold target that is sent what it does not sustain because
// its entry or its service was not read, and against an entry that is dropped
// for a number that is not used.
TEST(Entries, ColdTargetsAreRead)
{
	const struct {
		const char *text;
		int64_t ms;
	} remaining[] = {
		{"2400", 2400}, {"2400.7", 2400},     {"0", 0},
		{"-1", 0},	{"9999999999999", 0}, {"1e400", 0},
	};
	const struct {
		const char *fields;
		int64_t ms;
		uint32_t per_ks;
	} services[] = {
		{R"("cold_s":3,"cold_per_s":12)", 3000, 12000},
		{R"("cold_s":2.5,"cold_per_s":0.5)", 2500, 500},
		{R"("cold_s":0,"cold_per_s":12)", 0, 0},
		{R"("cold_s":3)", 3000, 0},
		{R"("cold_s":"3","cold_per_s":true)", 0, 0},
		{R"("cold_s":-3,"cold_per_s":12)", 0, 0},
	};
	record_t record;

	for (auto &c : remaining) {
		std::string text = target_json;

		text = replace_first(
			text, "\"cold_remaining_ms\":0",
			(std::string("\"cold_remaining_ms\":") + c.text)
				.c_str());
		if (decode("fleet/target/i-1", text, &record) ==
		    RECORD_FLEET_TARGET) {
			EXPECT_EQ(record.u.fleet_target->cold_ms, c.ms)
				<< c.text;
			record_clear(&record);
		} else {
			ADD_FAILURE() << c.text;
		}
	}
	for (auto &c : services) {
		std::string text = replace_first(
			conf_json, "\"max_connections\":3", c.fields);
		const fleet_service_t *service;

		ASSERT_EQ(decode("fleet/conf", text, &record),
			  RECORD_FLEET_CONF)
			<< text;
		service = fleet_conf_service(record.u.fleet_conf, "s");
		EXPECT_EQ(service->cold_ms, c.ms) << c.fields;
		EXPECT_EQ(service->cold_per_ks, c.per_ks) << c.fields;
		record_clear(&record);
	}
}

// Guards against a target whose second cold time is taken for a heartbeat of
// the first.
TEST(Entries, EachEntryOfAColdTargetIsNews)
{
	fleet_target_t warm = {}, cold = {};

	warm.sequence = 3;
	cold = warm;
	cold.sequence = 4;
	EXPECT_TRUE(fleet_target_equal(&warm, &cold));
	cold.cold_ms = 3000;
	EXPECT_FALSE(fleet_target_equal(&warm, &cold));
	fleet_target_t again = cold;
	EXPECT_TRUE(fleet_target_equal(&cold, &again));
	again.sequence = 9;
	EXPECT_FALSE(fleet_target_equal(&cold, &again));
}

TEST(Entries, RouteWithTheLongestPathPrefixIsSelected)
{
	fleet_conf_t *all = fleet_conf_new();

	for (const char *prefix : {"/", "/a/", "/a/b/"}) {
		route_terms_t terms = {};

		fleet_conf_add_route(all, &terms, "h", prefix);
	}
	EXPECT_STREQ(fleet_conf_route(all, "h", "/a/b/c")->path_prefix,
		     "/a/b/");
	EXPECT_STREQ(fleet_conf_route(all, "h", "/a/c")->path_prefix, "/a/");
	EXPECT_STREQ(fleet_conf_route(all, "h", "/x")->path_prefix, "/");
	EXPECT_EQ(fleet_conf_route(all, "g", "/x"), nullptr);
	fleet_conf_unref(all);
	std::string dotted = replace_first(conf_json, "\"h\"", "\"h.x.\"");
	record_t record;

	ASSERT_EQ(decode("fleet/conf", dotted, &record), RECORD_FLEET_CONF);
	EXPECT_NE(fleet_conf_route(record.u.fleet_conf, "h.x", "/p/x"),
		  nullptr);
	record_clear(&record);
}

TEST(Entries, AllocationIsUnchangedByEncodingAndDecoding)
{
	record_t record = {}, back;
	grant_holder_t holder = {"n1", "run-1", 500, GRANT_OPEN};
	grant_holder_t returned = {"n1", "run-0", 30, GRANT_RETURNED};
	GBytes *bytes;
	errmsg_t err;

	record.kind = RECORD_ALLOCATION;
	record.u.allocation = allocation_new();
	record.u.allocation->closed = 70;
	g_array_append_val(record.u.allocation->holders, holder);
	g_array_append_val(record.u.allocation->holders, returned);
	bytes = entry_encode(&record);
	entry_decode("prepaid/a", bytes, &back, &err);
	ASSERT_EQ(back.kind, RECORD_ALLOCATION) << err.text;
	EXPECT_EQ(allocation_total(back.u.allocation), 600);
	EXPECT_EQ(allocation_find(back.u.allocation, "run-0")->state,
		  GRANT_RETURNED);
	EXPECT_EQ(allocation_find(back.u.allocation, "run-1")->state,
		  GRANT_OPEN);
	EXPECT_EQ(decode("prepaid/a", R"({"closed":0,"holders":[{"node":"n",)"
				      R"("incarnation":"i","granted":1,)"
				      R"("state":"odd"}]})"),
		  RECORD_INVALID);
	record_clear(&record);
	record_clear(&back);
	g_bytes_unref(bytes);
}

// Guards against an account whose tokens nobody can take or count, because more
// instances hold some than an array has places.
TEST(Entries, AllocationWithAnyNumberOfHoldersIsRead)
{
	record_t record = {}, back;
	GBytes *bytes;
	errmsg_t err;

	record.kind = RECORD_ALLOCATION;
	record.u.allocation = allocation_new();
	for (int i = 0; i < 1700; i++) {
		grant_holder_t holder = {"node", "", 2, GRANT_OPEN};

		g_snprintf(holder.incarnation, sizeof(holder.incarnation),
			   "run-%d", i);
		g_array_append_val(record.u.allocation->holders, holder);
	}
	bytes = entry_encode(&record);
	entry_decode("prepaid/a", bytes, &back, &err);
	ASSERT_EQ(back.kind, RECORD_ALLOCATION) << err.text;
	EXPECT_EQ(allocation_total(back.u.allocation), 3400);
	record_clear(&record);
	record_clear(&back);
	g_bytes_unref(bytes);
}

// Instances of release 5a054ba run beside this build and read the entries that
// it writes.  The texts were written by entry_encode() of that release.
TEST(Entries, AreWrittenAsTheFormerReleaseWritesThem)
{
	const struct {
		const char *key, *text;
	} former[] = {
		{"prepaid/a",
		 R"({"closed":70,"holders":[{"node":"n1","incarnation":"run-1",)"
		 R"("granted":500},{"node":"n1","incarnation":"run-0",)"
		 R"("granted":30,"state":"returned"},{"node":"n2",)"
		 R"("incarnation":"run-2","granted":7,"state":"lost"}]})"},
		{"streams/x",
		 R"({"streams":[{"id":"9c41d07be2a35f68","service":"s",)"
		 R"("account":"acme","version":"v1.1"}]})"},
		{"quarantine/x",
		 R"({"part":"fedc","strikes":2,"decided_ms":1764900000000,)"
		 R"("expires_ms":1764900600000})"},
		{"quarantine/y",
		 R"({"request":"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa)"
		 R"(aaaaaaaaaaaaaaaa","decided_ms":1764900000000,)"
		 R"("expires_ms":1764900600000})"},
	};

	for (const auto &entry : former) {
		record_t record = {};
		gsize size = 0;

		ASSERT_NE(decode(entry.key, entry.text, &record),
			  RECORD_INVALID);
		GBytes *bytes = entry_encode(&record);
		const char *text = static_cast<const char *>(
			g_bytes_get_data(bytes, &size));
		EXPECT_EQ(std::string(text, size), entry.text);
		g_bytes_unref(bytes);
		record_clear(&record);
	}
}

// A newer build, or the platform, may add members to an entry.  Instances that
// do not know them must go on with those that they know.
TEST(Entries, UnknownMembersAreIgnored)
{
	const std::string more = R"({"added":{"x":[1,null]},)";
	const std::string empty =
		R"({"version":1,"routes":[],"services":[],"tenants":[]})";

	for (const auto &entry :
	     {std::make_pair("fleet/target/i-1", target_json),
	      std::make_pair("fleet/conf", empty),
	      std::make_pair("prepaid/a",
			     std::string(R"({"closed":0,"holders":[]})")),
	      std::make_pair("streams/x", std::string(R"({"streams":[]})")),
	      std::make_pair(
		      "quarantine/x",
		      std::string(R"({"part":"1","strikes":1,)"
				  R"("decided_ms":1,"expires_ms":2})"))}) {
		EXPECT_NE(decode(entry.first, more + entry.second.substr(1)),
			  RECORD_INVALID)
			<< entry.first;
	}
}

TEST(Entries, SavedStreamsAreUnchangedByEncodingAndDecoding)
{
	record_t record = {}, back;
	saved_stream_t saved = {"a\"b\\c", {"s", "acme", "v1.1"}};
	const saved_stream_t *read;
	GBytes *bytes;
	errmsg_t err;

	record.kind = RECORD_STREAMS;
	record.u.streams = record_streams_new();
	g_array_append_val(record.u.streams->list, saved);
	bytes = entry_encode(&record);
	entry_decode("streams/run-1.1", bytes, &back, &err);
	ASSERT_EQ(back.kind, RECORD_STREAMS) << err.text;
	ASSERT_EQ(back.u.streams->list->len, 1u);
	read = &g_array_index(back.u.streams->list, saved_stream_t, 0);
	EXPECT_STREQ(read->request_id, saved.request_id);
	EXPECT_STREQ(read->origin.account, "acme");
	EXPECT_STREQ(read->origin.version, "v1.1");
	record_clear(&record);
	record_clear(&back);
	g_bytes_unref(bytes);
	EXPECT_EQ(decode("streams/x", R"({"streams":[{"id":1}]})"),
		  RECORD_INVALID);
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

TEST(Wire, AllRequestFieldsAreRead)
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

// A caller could otherwise choose the client account that a request counts for
// and what the target reserves.
TEST(Wire, ReservedFieldsOfCallersAreDropped)
{
	http_head_t *head = request_head(), *out;
	exchange_spec_t *spec = exchange_spec_new();
	wire_request_opts_t opts = {"i-1", "acct", 900, 3, nullptr};
	errmsg_t err;

	for (const char *name :
	     {"tenant", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From",
	      "Expect-Instance", "X-Mine", "Request-Priority"})
		http_head_add(head, name, "forged");
	ASSERT_TRUE(wire_read_request(head, nullptr, spec, &err));
	out = wire_write_request(spec, &opts);
	EXPECT_STREQ(out->uri, "/p/x?q=1");
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

// Guards against a request within max_header_bytes that is refused because its
// path, host or key is longer than a buffer.
TEST(Wire, PathHostAndKeyOfAnyLengthAreRead)
{
	std::string path = "/" + std::string(9000, 'p');
	std::string host = std::string(200, 'h') + ".example";
	std::string key(3000, 'k');
	http_head_t *head = http_head_request("GET", (path + "?q=1").c_str());
	exchange_spec_t *spec = exchange_spec_new();
	errmsg_t err;

	http_head_add(head, "Host", (host + ":8080").c_str());
	http_head_add(head, "Authorization", ("Bearer " + key).c_str());
	ASSERT_TRUE(wire_read_request(head, nullptr, spec, &err)) << err.text;
	EXPECT_EQ(spec->path, path);
	EXPECT_EQ(spec->host, host);
	EXPECT_EQ(spec->api_key, key);
	exchange_spec_free(spec);
	http_head_free(head);
}

// Guards against a host that has no route because of its port or of the dot
// that ends a fully qualified name.
TEST(Wire, HostIsReadWithoutItsPortAndFinalDot)
{
	const std::vector<std::pair<const char *, const char *>> cases = {
		{"h.example", "h.example"},
		{"h.example.", "h.example"},
		{"h.example:80", "h.example"},
		{"h.example.:80", "h.example"},
		{"[::1]:80", "[::1]"},
		{"[::1]", "[::1]"},
		{"[::1", "[::1"},
		{".", "."},
		{"", ""},
	};

	for (const auto &c : cases) {
		http_head_t *head = http_head_request("GET", "/");
		exchange_spec_t *spec = exchange_spec_new();

		http_head_add(head, "Host", c.first);
		ASSERT_TRUE(wire_read_request_target(head, spec));
		EXPECT_STREQ(spec->host, c.second) << c.first;
		exchange_spec_free(spec);
		http_head_free(head);
	}
}

exchange_spec_t *read_with_ids(const std::string &id,
			       const std::string &resumes)
{
	http_head_t *head = http_head_request("POST", "/p/x");
	exchange_spec_t *spec = exchange_spec_new();
	errmsg_t err;

	http_head_add(head, "Host", "h");
	http_head_add(head, "Attempt-Id", id.c_str());
	if (!resumes.empty())
		http_head_add(head, "Resumes", resumes.c_str());
	EXPECT_TRUE(wire_read_request(head, nullptr, spec, &err)) << err.text;
	http_head_free(head);
	return spec;
}

// Guards against a request that runs and is answered with 504, because its id
// was cut and the target's answer taken for another request's.
TEST(Wire, IdsOfAnyLengthAreKeptWhole)
{
	const std::string id = std::string(290, 'a') + "first";
	const std::string other = std::string(290, 'a') + "other";
	wire_request_opts_t opts = {};
	exchange_spec_t *spec = read_with_ids(id, "");
	response_info_t info;

	opts.instance = "i-1";
	http_head_t *out = wire_write_request(spec, &opts);
	EXPECT_EQ(http_head_get(out, "Attempt-Id"), id);
	http_head_free(out);
	out = wire_write_refusal(spec, 503, 100);
	EXPECT_EQ(http_head_get(out, "Attempt-Id"), id);
	EXPECT_EQ(wire_request_id(spec), id);
	http_head_free(out);
	for (const auto &c : {std::make_pair(id, RESPONSE_ID_SAME),
			      std::make_pair(other, RESPONSE_ID_OTHER),
			      std::make_pair(id.substr(0, REQUEST_ID_SIZE - 1),
					     RESPONSE_ID_OTHER)}) {
		http_head_t *answer = http_head_response(200);

		http_head_add(answer, "Attempt-Id", c.first.c_str());
		wire_read_reply(answer, spec, &info);
		EXPECT_EQ(info.id, c.second) << c.first;
		http_head_free(answer);
	}
	// A stream is found again by the same id, and by no other.
	exchange_spec_t *same = read_with_ids("x", id);
	exchange_spec_t *different = read_with_ids("x", other);
	EXPECT_STREQ(same->resumes, spec->request_id);
	EXPECT_STRNE(different->resumes, spec->request_id);
	EXPECT_STRNE(different->resumes, "");
	exchange_spec_free(same);
	exchange_spec_free(different);
	exchange_spec_free(spec);
}

// A field that is missing or ambiguous names no stream.
TEST(Wire, StreamThatIsTakenUpAgainIsRead)
{
	struct {
		std::vector<std::string> values;
		std::string resumes;
	} cases[] = {
		{{"9c41d07be2a35f68"}, "9c41d07be2a35f68"},
		{{}, ""},
		{{"a", "a"}, ""},
	};

	for (auto &c : cases) {
		http_head_t *head = request_head();
		exchange_spec_t *spec = exchange_spec_new();
		errmsg_t err;

		for (auto &value : c.values)
			http_head_add(head, "Resumes", value.c_str());
		ASSERT_TRUE(wire_read_request(head, nullptr, spec, &err));
		EXPECT_EQ(spec->resumes, c.resumes);
		exchange_spec_free(spec);
		http_head_free(head);
	}
}

TEST(Wire, MalformedTokenCountsAreRejected)
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

// Replaces, removes, doubles or inserts bytes, mostly ones that have a meaning.
std::string mutate(std::mt19937 &random, std::string text)
{
	static const char special[] = "{}[]\":,\\0-9.eE+tfn \r\n\0\xff/%";
	auto below = [&](size_t n) {
		return random() % std::max<size_t>(n, 1);
	};

	for (size_t n = 1 + below(4); n > 0 && !text.empty(); n--) {
		size_t at = below(text.size()), len = below(text.size() - at);
		char byte = special[below(sizeof(special) - 1)];

		switch (below(5)) {
		case 0:
			text[at] = byte;
			break;
		case 1:
			text.insert(at, 1, byte);
			break;
		case 2:
			text.erase(at, len);
			break;
		case 3:
			text.insert(at,
				    text.substr(at, std::min<size_t>(len, 64)));
			break;
		default:
			text.insert(at, std::to_string(random()));
			break;
		}
	}
	return text;
}

constexpr int FUZZ_CASES = 20000;

// Guards against a process that ends because another writer left an odd entry:
// the parser recurses.
TEST(Entries, DeeplyNestedEntryIsRejected)
{
	for (const char *key :
	     {"fleet/target/i-1", "fleet/conf", "prepaid/a", "streams/x"})
		for (const char *open : {"[", "{\"a\":"})
			for (size_t depth : {100, 100000, 500000}) {
				std::string text = "{\"service\":";

				for (size_t i = 0; i < depth; i++)
					text += open;
				EXPECT_EQ(decode(key, text), RECORD_INVALID);
			}
}

TEST(Entries, TargetWithANumberOutOfRangeIsRejected)
{
	const std::string number(400, '9');

	for (auto &bad :
	     {replace_first(target_json, "10.0.0.1:80", "10.0.0.1:65536"),
	      replace_first(target_json, "10.0.0.1:80", "10.0.0.1:0"),
	      replace_first(target_json, "10.0.0.1:80", "10.0.0.1:-1"),
	      replace_first(target_json, "10.0.0.1:80",
			    ("10.0.0.1:" + number).c_str()),
	      replace_first(target_json, "\"batch_slots\":4",
			    ("\"batch_slots\":" + number).c_str()),
	      replace_first(target_json, "\"batch_slots\":4",
			    "\"batch_slots\":1e400")})
		EXPECT_EQ(decode("fleet/target/i-1", bad), RECORD_INVALID)
			<< bad;
}

// Guards against a malformed entry or configuration that ends the process.
TEST(Entries, MutatedEntriesAreDecodedOrRejected)
{
	std::mt19937 random(1);
	int valid = 0;

	for (int i = 0; i < FUZZ_CASES; i++) {
		record_kind_t target =
			decode("fleet/target/i-1", mutate(random, target_json));
		record_kind_t conf =
			decode("fleet/conf", mutate(random, conf_json));
		record_kind_t allocation =
			decode("prepaid/a", mutate(random, "{\"closed\":7,"
							   "\"holders\":[]}"));

		EXPECT_TRUE(target == RECORD_FLEET_TARGET ||
			    target == RECORD_INVALID);
		EXPECT_TRUE(conf == RECORD_FLEET_CONF ||
			    conf == RECORD_INVALID);
		EXPECT_TRUE(allocation == RECORD_ALLOCATION ||
			    allocation == RECORD_INVALID);
		valid += target == RECORD_FLEET_TARGET;
	}
	EXPECT_GT(valid, 0);
}

// Guards against a malformed request or response that ends the process.
TEST(Wire, MutatedMessagesAreReadOrRejected)
{
	const std::string request =
		"POST /p/x?q=1 HTTP/1.1\r\nHost: h.example\r\n"
		"Attempt-Id: 9c41\r\nModel: m\r\nToken-Count: 1460,80\r\n"
		"Prompt-Prefix: a:800,b:410,ffff:250\r\n"
		"Time-Budget-Ms: 15000\r\nAuthorization: Bearer secret\r\n"
		"Content-Length: 2\r\n\r\nok";
	const std::string response =
		"HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
		"Response-Seal: 3e1b.07\r\nInstance-Load: 3,0,8,100\r\n"
		"Server-Limit: 2.7\r\n"
		"Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
		"2;a=b\r\nok\r\n0\r\nX-A: b\r\n\r\n";
	std::mt19937 random(2);
	int read = 0;

	for (int i = 0; i < FUZZ_CASES; i++) {
		bool is_response = i % 2 != 0;
		std::string text =
			mutate(random, is_response ? response : request);
		exchange_spec_t *spec = exchange_spec_new();
		response_info_t info = {};
		http_parse_t parse;
		errmsg_t err;

		http_parse_init(&parse, is_response);
		http_parse_feed(&parse, text.data(), text.size());
		if (parse.state == HTTP_STATE_BODY ||
		    parse.state == HTTP_STATE_COMPLETE) {
			read++;
			if (is_response)
				wire_read_reply(parse.head, spec, &info);
			else
				wire_read_request(parse.head, nullptr, spec,
						  &err);
			http_parse_content_length(&parse);
		}
		http_parse_eof(&parse);
		http_parse_finish(&parse);
		exchange_spec_free(spec);
	}
	EXPECT_GT(read, 0);
}

struct limit_case_t {
	std::vector<const char *> values;
	bool sealed;
	limit_kind_t kind;
	uint32_t per_ks;
	bool malformed;
};

// Guards against a limit that is taken for another one, or for none, because of
// how its target writes it.
TEST(Wire, LimitOfATargetIsRead)
{
	const limit_case_t cases[] = {
		{{"2.7"}, true, LIMIT_STATED, 2700, false},
		{{"3"}, false, LIMIT_STATED, 3000, false},
		{{"0"}, true, LIMIT_STATED, 0, false},
		{{"0.2"}, true, LIMIT_STATED, 200, false},
		{{".5"}, true, LIMIT_STATED, 500, false},
		{{"99999999999999999999"},
		 true,
		 LIMIT_STATED,
		 1000000000,
		 false},
		{{"4", "1.5"}, true, LIMIT_STATED, 1500, false},
		{{"4", "x"}, true, LIMIT_STATED, 4000, true},
		{{}, true, LIMIT_NONE, 0, false},
		{{}, false, LIMIT_UNKNOWN, 0, false},
		{{"-1"}, true, LIMIT_UNKNOWN, 0, true},
		{{""}, true, LIMIT_UNKNOWN, 0, true},
		{{"."}, true, LIMIT_UNKNOWN, 0, true},
		{{"1.2.3"}, true, LIMIT_UNKNOWN, 0, true},
		{{"1,5"}, true, LIMIT_UNKNOWN, 0, true},
		{{"inf"}, true, LIMIT_UNKNOWN, 0, true},
		{{"0x10"}, true, LIMIT_UNKNOWN, 0, true},
	};
	exchange_spec_t *spec = exchange_spec_new();

	for (const limit_case_t &c : cases) {
		http_head_t *head = http_head_response(200);
		std::string all;
		response_info_t info;

		if (c.sealed)
			http_head_add(head, "Response-Seal", "s");
		for (const char *value : c.values) {
			http_head_add(head, "server-limit", value);
			all += std::string(value) + ";";
		}
		wire_read_reply(head, spec, &info);
		EXPECT_EQ(info.report.limit.kind, c.kind) << all;
		EXPECT_EQ(info.report.limit.per_ks, c.per_ks) << all;
		EXPECT_EQ(info.report.unreadable != nullptr, c.malformed)
			<< all;
		http_head_free(head);
	}
	exchange_spec_free(spec);
}

// Guards against a cold target whose response is not heard, or whose malformed
// field makes it cold.
TEST(Wire, ColdTimeOfATargetIsRead)
{
	const struct {
		const char *value;
		int64_t ms;
		bool malformed;
	} cases[] = {
		{"2400", 2400, false},	 {"0", 0, false},   {nullptr, 0, false},
		{"-1", 0, true},	 {"soon", 0, true}, {"", 0, true},
		{"9999999999", 0, true},
	};

	for (auto &c : cases) {
		http_head_t *head = http_head_response(200);
		exchange_spec_t *spec = exchange_spec_new();
		response_info_t info;

		if (c.value != nullptr)
			http_head_add(head, "cold-ms", c.value);
		wire_read_reply(head, spec, &info);
		EXPECT_EQ(info.report.cold_ms, c.ms) << c.value;
		EXPECT_EQ(info.report.unreadable != nullptr, c.malformed)
			<< c.value;
		exchange_spec_free(spec);
		http_head_free(head);
	}
}

TEST(Wire, BrittleTargetsAreRead)
{
	const struct {
		const char *value;
		bool brittle;
		uint32_t per_s;
		bool malformed;
	} cases[] = {
		{"5", true, 5, false},
		{"0", true, 0, false},
		{"2.5", true, 2, false},
		{"-1", false, 0, true},
		{"soon", false, 0, true},
		{"", false, 0, true},
		{"1e99", false, 0, true},
		{nullptr, false, 0, false},
		{"9999999999", true, 1000000, false},
	};

	for (auto &c : cases) {
		http_head_t *head = http_head_response(503);
		exchange_spec_t *spec = exchange_spec_new();
		response_info_t info;

		if (c.value != nullptr)
			http_head_add(head, "Server-Brittle", c.value);
		wire_read_reply(head, spec, &info);
		EXPECT_EQ(info.report.brittle, c.brittle) << c.value;
		EXPECT_EQ(info.report.brittle_per_s, c.per_s) << c.value;
		EXPECT_EQ(info.report.unreadable != nullptr, c.malformed)
			<< c.value;
		exchange_spec_free(spec);
		http_head_free(head);
	}
}

// A query that is misread would explain another request than the operator's.
TEST(Wire, QueryForAnExplanationIsRead)
{
	const char *const bad[] = {
		"/explain",
		"/explain?host=h",
		"/explain?host=h&path=x",
		"/explain?service=s&unknown=1",
		"/explain?service=s&tokens=1",
		"/explain?service=s&parts=x",
		"/explain?service=s%00",
		"/explain?service=%zz",
		"/explain?service=s&account=%zz",
		"/explain?service=s&account",
	};
	http_head_t *head = http_head_request(
		"GET", "/explain?host=h.example&path=%2Fa%2Fb%20c&account=acme"
		       "&tokens=100,50&parts=ff:40,1a:7");
	explain_query_t query;
	errmsg_t err;

	EXPECT_TRUE(wire_is_explain(head));
	ASSERT_TRUE(wire_read_explain(head, &query, &err)) << err.text;
	EXPECT_STREQ(query.host, "h.example");
	EXPECT_STREQ(query.path, "/a/b c");
	EXPECT_STREQ(query.account, "acme");
	EXPECT_STREQ(query.service, "");
	EXPECT_EQ(query.prompt_tokens, 100);
	EXPECT_EQ(query.max_tokens, 50);
	ASSERT_EQ(query.part_count, 2u);
	EXPECT_EQ(query.parts[0].id, 255u);
	EXPECT_EQ(query.parts[1].tokens, 7u);
	explain_query_finish(&query);
	http_head_free(head);
	for (const char *uri : bad) {
		head = http_head_request("GET", uri);
		EXPECT_FALSE(wire_read_explain(head, &query, &err)) << uri;
		explain_query_finish(&query);
		http_head_free(head);
	}
	for (const char *uri : {"/metrics", "/explained", "/"}) {
		head = http_head_request("GET", uri);
		EXPECT_FALSE(wire_is_explain(head)) << uri;
		http_head_free(head);
	}
	head = http_head_request("POST", "/explain?service=s");
	EXPECT_FALSE(wire_read_explain(head, &query, &err));
	explain_query_finish(&query);
	http_head_free(head);
}

TEST(Wire, RequestThatIsPassedOnIsAsItsCallerSentIt)
{
	http_head_t *head = http_head_request("POST", "/a/b?c=1"), *out;
	exchange_spec_t *spec = exchange_spec_new(),
			*read = exchange_spec_new();
	GBytes *body = g_bytes_new("body", 4);
	errmsg_t err;

	http_head_add(head, "Host", "h.example");
	http_head_add(head, "Attempt-Id", "r1");
	http_head_add(head, "Authorization", "Bearer key");
	http_head_add(head, "Token-Count", "100,50");
	http_head_add(head, "Resumes", "r0");
	http_head_add(head, "Time-Budget-Ms", "2000");
	ASSERT_TRUE(wire_read_request(head, body, spec, &err));
	out = wire_write_passed_on(spec, 1500);
	EXPECT_STREQ(http_head_get(out, "Content-Length"), "4");
	ASSERT_TRUE(wire_read_request(out, body, read, &err));
	EXPECT_STREQ(read->request_id, "r1");
	EXPECT_STREQ(read->api_key, "key");
	EXPECT_STREQ(read->host, "h.example");
	EXPECT_STREQ(read->path, "/a/b");
	EXPECT_STREQ(read->resumes, "r0");
	EXPECT_EQ(read->prompt_tokens, 100);
	EXPECT_EQ(read->max_tokens, 50);
	EXPECT_EQ(read->wait_ms, 1500);
	g_bytes_unref(body);
	http_head_free(out);
	http_head_free(head);
	exchange_spec_free(spec);
	exchange_spec_free(read);
}

// Guards against a target's wish to get no requests that is missed, or read
// from a response that doesn't state it.
TEST(Wire, LeavingAndPauseOfATargetAreRead)
{
	const struct {
		uint32_t status;
		const char *name, *value;
		bool leaving;
		int64_t pause_ms;
		bool malformed;
	} cases[] = {
		{200, "Server-Leaving", "1", true, 0, false},
		{503, "server-leaving", "1", true, 0, false},
		{200, "Server-Leaving", "0", false, 0, false},
		{200, "Server-Leaving", "yes", false, 0, true},
		{200, "Server-Leaving", "", false, 0, true},
		{503, "Retry-After", "2", false, 2000, false},
		{503, "retry-after", "0.25", false, 250, false},
		{503, "Retry-After", "0", false, 0, false},
		{200, "Retry-After", "2", false, 0, false},
		{429, "Retry-After", "2", false, 0, false},
		{503, "Retry-After", "-1", false, 0, true},
		{503, "Retry-After", "soon", false, 0, true},
		{503, "Retry-After", "Sat, 05 Dec 2026 02:00:00 GMT", false, 0,
		 true},
		{503, "Retry-After", "99999999999999999999", false,
		 INT64_C(1000000000000), false},
	};
	exchange_spec_t *spec = exchange_spec_new();

	for (auto &c : cases) {
		http_head_t *head = http_head_response(c.status);
		response_info_t info;

		http_head_add(head, c.name, c.value);
		wire_read_reply(head, spec, &info);
		EXPECT_EQ(info.report.leaving, c.leaving) << c.value;
		EXPECT_EQ(info.report.pause_ms, c.pause_ms) << c.value;
		EXPECT_EQ(info.report.unreadable != nullptr, c.malformed)
			<< c.value;
		http_head_free(head);
	}
	exchange_spec_free(spec);
}

// Runs the store service against an HTTP client that returns set responses.
class Store : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		platform_store_opts_t opts = {"127.0.0.1", 1};

		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		outbound = kernel_register(&kernel, "outbound", on_out, this);
		replica = kernel_register(&kernel, "replica", on_replica, this);
		requester = kernel_register(&kernel, "requester", on_requester,
					    this);
		platform_store_init(&store, &kernel, &opts);
		kernel_start(&kernel);
	}
	void TearDown() override
	{
		store_result_free(result);
		platform_store_finish(&store);
		kernel_finish(&kernel);
	}
	static void on_out(void *self, msg_t *msg)
	{
		Store *s = static_cast<Store *>(self);

		if (msg->kind == MSG_OUT_SEND)
			s->answer(msg);
		else if (msg->kind == MSG_OUT_CANCEL)
			s->cancels++;
	}
	static void on_replica(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_STORE_EVENT)
			static_cast<Store *>(self)->failure_events++;
	}
	static void on_requester(void *self, msg_t *msg)
	{
		Store *s = static_cast<Store *>(self);

		s->arriving += msg->kind == MSG_STORE_ARRIVING;
		if (msg->kind != MSG_STORE_RESULT)
			return;
		store_result_free(s->result);
		s->result = msg->u.store_result;
		msg->u.store_result = nullptr;
	}
	void answer(msg_t *msg)
	{
		msg_t head = {}, data = {}, end = {};

		path = msg->u.out_send.head->uri;
		request_body.clear();
		if (msg->u.out_send.body != nullptr)
			request_body.assign(
				static_cast<const char *>(g_bytes_get_data(
					msg->u.out_send.body, nullptr)),
				g_bytes_get_size(msg->u.out_send.body));
		sends++;
		end.kind = http_status == 0 ? MSG_OUT_FAILED : MSG_OUT_END;
		end.u.out_failed.sent = http_status == 0;
		head.kind = MSG_OUT_HEAD;
		data.kind = MSG_OUT_DATA;
		head.ref = data.ref = end.ref = msg->id;
		head.u.out_head.head = http_head_response(http_status);
		if (!era.empty())
			http_head_add(head.u.out_head.head, "Store-Era",
				      era.c_str());
		if (announced_bytes > 0)
			http_head_add_int(head.u.out_head.head,
					  "Content-Length", announced_bytes);
		data.u.data.bytes =
			g_bytes_new(response_body.data(), response_body.size());
		kernel_post(&kernel, outbound, msg->from, &head);
		kernel_post(&kernel, outbound, msg->from, &data);
		call_ref = msg->id;
		call_deadline = msg->u.out_send.deadline;
		if (!endless)
			kernel_post(&kernel, outbound, msg->from, &end);
	}
	void post_more(const std::string &body)
	{
		msg_t data = {};

		data.kind = MSG_OUT_DATA;
		data.ref = call_ref;
		data.u.data.bytes = g_bytes_new(body.data(), body.size());
		kernel_post(&kernel, outbound, store.svc, &data);
		kernel_run_until(&kernel, kernel_now(&kernel));
	}
	void end_response()
	{
		msg_t end = {};

		end.kind = MSG_OUT_END;
		end.ref = call_ref;
		kernel_post(&kernel, outbound, store.svc, &end);
		kernel_run_until(&kernel, kernel_now(&kernel));
	}
	// As outbound does at the deadline of a call.
	void fail_if_overdue()
	{
		msg_t failed = {};

		if (kernel_now(&kernel) < call_deadline)
			return;
		failed.kind = MSG_OUT_FAILED;
		failed.ref = call_ref;
		failed.u.out_failed.sent = true;
		kernel_post(&kernel, outbound, store.svc, &failed);
		kernel_run_until(&kernel, kernel_now(&kernel));
	}
	void get(const char *key, uint32_t status, const std::string &body)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_GET;
		g_strlcpy(msg.u.store_get.key, key,
			  sizeof(msg.u.store_get.key));
		call(&msg, status, body);
	}
	void transaction(uint32_t status, const std::string &body,
			 int64_t expect = 3, const char *key = "prepaid/a1")
	{
		msg_t msg = {};
		record_t record = {};

		record.kind = RECORD_ALLOCATION;
		record.u.allocation = allocation_new();
		msg.kind = MSG_STORE_TXN;
		msg.u.store_txn = store_txn_new();
		store_txn_group(msg.u.store_txn);
		store_txn_put(msg.u.store_txn, key, expect, 0, &record);
		record_clear(&record);
		call(&msg, status, body);
	}
	// Sends one message and keeps its result.
	void call(msg_t *msg, uint32_t status, const std::string &body)
	{
		http_status = status;
		response_body = body;
		kernel_post(&kernel, requester, store.svc, msg);
		kernel_run_until(&kernel, kernel_now(&kernel));
	}
	void list(const char *prefix, const char *after, uint32_t status,
		  const std::string &body)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_LIST;
		g_strlcpy(msg.u.store_list.prefix, prefix,
			  sizeof(msg.u.store_list.prefix));
		g_strlcpy(msg.u.store_list.after, after,
			  sizeof(msg.u.store_list.after));
		call(&msg, status, body);
	}
	void changes(int64_t after, uint32_t status, const std::string &body)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_CHANGES;
		msg.u.store_get.min_revision = after;
		call(&msg, status, body);
	}
	static std::string item(const char *key, int revision,
				const std::string &value)
	{
		gchar *encoded = g_base64_encode((const guchar *)value.data(),
						 value.size());
		std::string json =
			std::string("{\"key\":\"") + key + "\",\"value\":\"" +
			encoded +
			"\",\"revision\":" + std::to_string(revision) + "}";

		g_free(encoded);
		return json;
	}
	kernel_t kernel;
	platform_store_t store;
	svc_t outbound, replica, requester;
	store_result_t *result = nullptr;
	std::string path, response_body, request_body;
	std::string era; // stated in responses, unless empty
	uint32_t http_status = 200;
	int sends = 0, failure_events = 0, cancels = 0;
	handle_t call_ref = HANDLE_NONE;
	int64_t call_deadline = 0;
	int64_t announced_bytes = 0; // Content-Length, unless 0
	int arriving = 0; // messages that a response is arriving
	bool endless = false; // responses do not end
};

TEST_F(Store, ListedKeysAreTranslated)
{
	const store_kv_t *kv;

	list("fleet/target/", "fleet/target/i-0", 200,
	     "{\"items\":[" + item("servers/i-1", 5, target_json) +
		     "],\"has_more\":true,\"at\":9}");
	EXPECT_EQ(path, "/api/kv-range?path_prefix=servers/"
			"&after=servers%2Fi-0");
	ASSERT_EQ(result->status, STORE_OK);
	EXPECT_TRUE(result->more);
	EXPECT_EQ(result->revision, 9);
	kv = store_result_find(result, "fleet/target/i-1");
	ASSERT_NE(kv, nullptr);
	EXPECT_EQ(kv->record.kind, RECORD_FLEET_TARGET);
	EXPECT_EQ(kv->revision, 5);
	ASSERT_NE(kv->raw, nullptr);
	EXPECT_EQ(g_bytes_get_size(kv->raw), target_json.size());
}

// A deletion must be reported, not skipped as an item without a value.
TEST_F(Store, ChangesIncludeDeletions)
{
	changes(7, 200,
		"{\"events\":[" + item("servers/i-1", 8, target_json) +
			",{\"key\":\"servers/i-2\",\"revision\":9,"
			"\"deleted\":true}],\"at\":9}");
	EXPECT_EQ(path, "/api/kv-watch?path_prefix=&after=7&wait_ms=50");
	ASSERT_EQ(result->kvs->len, 2u);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-2")->record.kind,
		  RECORD_NONE);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-2")->revision, 9);
}

// Guards against an instance whose metrics do not tell that the newest
// configuration is not in force.
TEST_F(Store, UnreadableConfigurationIsShownUntilTheNextOne)
{
	const struct {
		int revision;
		const char *text;
		int64_t unreadable;
	} steps[] = {
		{3, conf_json.c_str(), 0},
		{4, "{}", 1},
		{3, conf_json.c_str(), 1}, // an older one, from a peer
		{5, conf_json.c_str(), 0},
	};

	for (const auto &step : steps) {
		gchar *value = g_base64_encode(
			reinterpret_cast<const guchar *>(step.text),
			strlen(step.text));

		get("fleet/conf", 200,
		    R"({"key":"op/config","revision":)" +
			    std::to_string(step.revision) + R"(,"value":")" +
			    value + R"("})");
		g_free(value);
		EXPECT_EQ(kernel.metrics->gauges[GAUGE_CONF_UNREADABLE],
			  step.unreadable)
			<< step.revision;
	}
}

// Guards against an evacuation that is not found under its key, or that harms
// builds which do not know the key: they take its value for an allocation, and
// log and count one that they can't decode.
TEST_F(Store, EvacuationsAreTranslatedAndPassedOnInAFormAllBuildsDecode)
{
	const store_kv_t *kv;
	std::string value;
	gsize size;

	list("evacuation/", "", 200,
	     "{\"items\":[" + item("op/evacuate/z1", 5, "not JSON") + "," +
		     item("op/evacuate/z2", 6, std::string(9000, 'x')) +
		     "],\"at\":9}");
	EXPECT_EQ(path, "/api/kv-range?path_prefix=op/evacuate/");
	ASSERT_EQ(result->kvs->len, 2u);
	for (const char *key : {"evacuation/z1", "evacuation/z2"}) {
		kv = store_result_find(result, key);
		ASSERT_NE(kv, nullptr);
		EXPECT_EQ(kv->record.kind, RECORD_EVACUATION);
		value.assign(static_cast<const char *>(
				     g_bytes_get_data(kv->raw, &size)),
			     g_bytes_get_size(kv->raw));
		EXPECT_EQ(decode("a key of a later build", value),
			  RECORD_ALLOCATION);
	}
	changes(9, 200,
		"{\"events\":[{\"key\":\"op/evacuate/z1\",\"revision\":11,"
		"\"deleted\":true}],\"at\":11}");
	kv = store_result_find(result, "evacuation/z1");
	ASSERT_NE(kv, nullptr);
	EXPECT_EQ(kv->record.kind, RECORD_NONE);
}

TEST_F(Store, FailedReadsReturnTheirStatus)
{
	changes(7, 410, "");
	EXPECT_EQ(result->status, STORE_COMPACTED);
	changes(7, 503, "");
	EXPECT_EQ(result->status, STORE_UNAVAILABLE);
	changes(7, 0, "");
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	changes(7, 200, "{\"events\":");
	EXPECT_EQ(result->status, STORE_UNAVAILABLE);
	list("fleet/conf", "", 429, "");
	EXPECT_EQ(result->status, STORE_UNAVAILABLE);
	// Only failed gets and transactions are reported to "replica".
	EXPECT_EQ(failure_events, 0);
}

// Items that a peer has read are decoded like items read from the store.
TEST_F(Store, ItemsFromPeersAreDecoded)
{
	store_item_t items[2] = {};
	msg_t msg = {};

	msg.kind = MSG_STORE_DECODE;
	msg.u.peer.body = peer_body_new(PEER_STORE_ITEMS);
	msg.u.peer.body->u.store_items.up_to = 30;
	g_strlcpy(items[0].key, "fleet/target/i-1", sizeof(items[0].key));
	items[0].revision = 25;
	items[0].value = g_bytes_new(target_json.data(), target_json.size());
	g_strlcpy(items[1].key, "fleet/target/i-2", sizeof(items[1].key));
	items[1].revision = 26;
	g_array_append_vals(msg.u.peer.body->u.store_items.items, items, 2);
	call(&msg, 0, "");
	ASSERT_EQ(result->status, STORE_OK);
	EXPECT_EQ(result->revision, 30);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-1")->record.kind,
		  RECORD_FLEET_TARGET);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-2")->record.kind,
		  RECORD_NONE);
}

// A server may send a response twice, and the copy then arrives in place of the
// response to the next call.  Taken for a commit, it would let an instance
// spend tokens that it has not taken.
TEST_F(Store, ResponseToAnotherCallIsNotTaken)
{
	transaction(200, "{\"revision\":12}");
	ASSERT_EQ(result->status, STORE_OK);
	transaction(200, "{\"revision\":12}");
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	transaction(200, "{\"revision\":13}");
	EXPECT_EQ(result->status, STORE_OK);
	changes(13, 200, "{\"events\":[],\"at\":20}");
	transaction(200, "{\"revision\":19}");
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	transaction(412,
		    "{\"items\":[" + item("prepaid/other", 5, "{}") + "]}");
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	get("prepaid/a1", 200, item("prepaid/other", 5, "{}"));
	EXPECT_EQ(result->status, STORE_UNAVAILABLE);
	list("fleet/target/", "", 200,
	     "{\"items\":[" + item("op/config", 5, "{}") + "],\"at\":9}");
	EXPECT_EQ(result->status, STORE_UNKNOWN);
}

// A restored store gives revisions out again.  What it states then is newer
// than all that was read before, though its revisions are lower.
TEST_F(Store, LowerRevisionOfARestoredStoreIsNewer)
{
	int64_t before, after;

	era = "1";
	changes(0, 200, "{\"events\":[],\"at\":193}");
	list("fleet/conf", "", 200, "{\"items\":[],\"at\":193}");
	before = result->revision;
	EXPECT_EQ(revision_number(before), 193);
	era = "2";
	changes(before, 410, "");
	EXPECT_EQ(result->status, STORE_COMPACTED);
	list("prepaid/", "", 200,
	     "{\"items\":[" +
		     item("prepaid/a1", 90, "{\"closed\":1,\"holders\":[]}") +
		     "],\"at\":95}");
	after = result->revision;
	EXPECT_GT(after, before);
	EXPECT_GT(store_result_find(result, "prepaid/a1")->revision, before);
	changes(after, 200,
		"{\"events\":[" + item("op/config", 96, conf_json) +
			"],\"at\":96}");
	EXPECT_EQ(path, "/api/kv-watch?path_prefix=&after=95&wait_ms=50");
	ASSERT_EQ(result->status, STORE_OK);
	EXPECT_GT(store_result_find(result, "fleet/conf")->revision, before);
	transaction(200, "{\"revision\":97}", after);
	EXPECT_NE(request_body.find("\"revision\":95}"), std::string::npos);
	EXPECT_EQ(result->status, STORE_OK);
	EXPECT_TRUE(store_result_committed(result, 0));
}

// Changes after a revision of the lost history may lack some of the present
// one.
TEST_F(Store, ChangesSinceALostRevisionAreNotTaken)
{
	int sent;

	era = "1";
	list("fleet/conf", "", 200, "{\"items\":[],\"at\":50}");
	era = "2";
	changes(revision_make(1, 50), 200, "{\"events\":[],\"at\":60}");
	EXPECT_EQ(result->status, STORE_COMPACTED);
	sent = sends;
	changes(revision_make(1, 50), 200, "{\"events\":[],\"at\":60}");
	EXPECT_EQ(result->status, STORE_COMPACTED);
	EXPECT_EQ(sends, sent);
}

// A condition on a revision of the lost history may hold by chance.
TEST_F(Store, WriteBasedOnALostRevisionIsNotACommit)
{
	int sent;

	era = "4";
	transaction(200, "{\"revision\":12}", revision_make(4, 3));
	ASSERT_EQ(result->status, STORE_OK);
	era = "5";
	transaction(200, "{\"revision\":13}", revision_make(4, 12));
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	sent = sends;
	transaction(200, "{\"revision\":14}", revision_make(4, 12));
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	EXPECT_EQ(sends, sent);
	transaction(200, "{\"revision\":14}", revision_make(5, 13));
	EXPECT_EQ(result->status, STORE_OK);
	era = "6";
	transaction(200, "{\"revision\":15}", EXPECT_ABSENT);
	EXPECT_EQ(result->status, STORE_UNKNOWN);
}

TEST_F(Store, ResponseOfAnUnknownOrEarlierEraIsNotTaken)
{
	era = "7";
	list("fleet/conf", "", 200, "{\"items\":[],\"at\":50}");
	ASSERT_EQ(result->status, STORE_OK);
	for (const char *odd : {"", "6", "x", "-1", "7.0", "99999999999999",
				"18446744073709551623"}) {
		era = odd;
		list("fleet/conf", "", 200, "{\"items\":[],\"at\":51}");
		EXPECT_EQ(result->status, STORE_UNKNOWN) << odd;
		changes(revision_make(7, 50), 200, "{\"events\":[],\"at\":51}");
		EXPECT_EQ(result->status, STORE_UNKNOWN) << odd;
		transaction(200, "{\"revision\":52}", revision_make(7, 50));
		EXPECT_EQ(result->status, STORE_UNKNOWN) << odd;
		get("prepaid/a1", 404, "");
		EXPECT_EQ(result->status, STORE_UNAVAILABLE) << odd;
		transaction(503, "", revision_make(7, 50));
		EXPECT_EQ(result->status, STORE_UNAVAILABLE) << odd;
	}
	era = "7";
	transaction(200, "{\"revision\":53}", revision_make(7, 50));
	EXPECT_EQ(result->status, STORE_OK);
}

// Guards against a list that is no longer followed after an odd entry.
TEST_F(Store, OddEntryHidesNoOther)
{
	std::string deep = "{\"service\":" + std::string(200000, '[');

	list("fleet/target/", "", 200,
	     "{\"items\":[" + item("servers/i-1", 5, target_json) + "," +
		     item("servers/odd", 6, deep) + ",7,{\"key\":5}," +
		     item("servers/i-2", 7, target_json) + "],\"at\":9}");
	ASSERT_EQ(result->status, STORE_OK);
	EXPECT_EQ(result->revision, 9);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-1")->record.kind,
		  RECORD_FLEET_TARGET);
	EXPECT_EQ(store_result_find(result, "fleet/target/odd")->record.kind,
		  RECORD_INVALID);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-2")->record.kind,
		  RECORD_FLEET_TARGET);
	changes(9, 200,
		"{\"events\":[" + item("servers/odd", 10, deep) + "," +
			item("servers/i-3", 11, target_json) + "],\"at\":11}");
	ASSERT_EQ(result->status, STORE_OK);
	EXPECT_EQ(store_result_find(result, "fleet/target/i-3")->record.kind,
		  RECORD_FLEET_TARGET);
	// A whole response of that kind is none.
	list("fleet/target/", "", 200,
	     "{\"items\":" + std::string(200000, '['));
	EXPECT_NE(result->status, STORE_OK);
}

// Guards against memory that is used up by a response without end.
TEST_F(Store, ResponseWithoutEndFailsTheCall)
{
	std::string body(1 << 20, ' ');
	msg_t msg = {};

	endless = true;
	msg.kind = MSG_STORE_CHANGES;
	msg.u.store_get.min_revision = 7;
	call(&msg, 200, body);
	for (int i = 0; i < 64 && result == nullptr; i++)
		post_more(body);
	ASSERT_NE(result, nullptr);
	EXPECT_EQ(result->status, STORE_UNKNOWN);
	EXPECT_EQ(cancels, 1);
	EXPECT_EQ(table_count(&store.calls), 0u);
}

// Guards against an instance that never catches up: on a slow link the changes
// it missed take longer to arrive than a silent store may take to answer.
TEST_F(Store, ResponseThatKeepsArrivingIsNotGivenUp)
{
	msg_t msg = {};

	endless = true;
	msg.kind = MSG_STORE_CHANGES;
	msg.u.store_get.min_revision = 7;
	call(&msg, 200, "{\"at\":9,\"events\":[");
	for (int i = 0; i < 10; i++) {
		kernel_run_until(&kernel, kernel_now(&kernel) + 300000);
		fail_if_overdue();
		post_more(" ");
	}
	post_more("]}");
	end_response();
	ASSERT_NE(result, nullptr);
	EXPECT_EQ(result->status, STORE_OK);
	EXPECT_EQ(result->revision, 9);
}

// Guards against a store that is not given up although it has fallen silent in
// the middle of a response.
TEST_F(Store, ResponseThatStopsArrivingIsGivenUp)
{
	msg_t msg = {};

	endless = true;
	msg.kind = MSG_STORE_CHANGES;
	msg.u.store_get.min_revision = 7;
	call(&msg, 200, "{\"at\":9,");
	for (int i = 0; i < 5 && result == nullptr; i++) {
		kernel_run_until(&kernel, kernel_now(&kernel) + 300000);
		fail_if_overdue();
	}
	ASSERT_NE(result, nullptr);
	EXPECT_EQ(result->status, STORE_UNKNOWN);
}

// Guards against a read that takes seconds although its changes are more than
// the state that they lead to: it ends before they have arrived.
TEST_F(Store, ChangesBeyondTheLimitAreNotRead)
{
	msg_t msg = {};

	for (int64_t length : {INT64_C(200001), INT64_C(0)}) {
		g_clear_pointer(&result, store_result_free);
		endless = true;
		cancels = 0;
		announced_bytes = length;
		msg.kind = MSG_STORE_CHANGES;
		msg.u.store_get.min_revision = 7;
		msg.u.store_get.max_bytes = 200000;
		call(&msg, 200, "{");
		if (length == 0)
			post_more(std::string(200000, ' '));
		ASSERT_NE(result, nullptr) << length;
		EXPECT_EQ(result->status, STORE_TOO_LARGE) << length;
		EXPECT_EQ(cancels, 1) << length;
	}
}

// Guards against instances that read a large response as well because the one
// that reads for them seems to be gone.
TEST_F(Store, LargeResponseIsAnnouncedWhileItArrives)
{
	msg_t msg = {};

	endless = true;
	msg.kind = MSG_STORE_CHANGES;
	announced_bytes = 50000;
	call(&msg, 200, "{");
	EXPECT_EQ(arriving, 0);
	msg.kind = MSG_STORE_CHANGES;
	announced_bytes = 500000;
	call(&msg, 200, "{");
	EXPECT_EQ(arriving, 1);
	kernel_run_until(&kernel, kernel_now(&kernel) + 300000);
	post_more(" ");
	EXPECT_EQ(arriving, 2);
	post_more(" ");
	EXPECT_EQ(arriving, 2);
}

// Guards against the time for versions that are no longer in force: each one
// takes as long to decode as the newest.
TEST_F(Store, OnlyTheNewestConfigurationOfARangeIsDecoded)
{
	const std::string valid = "{\"version\":5,\"routes\":[],\"services\":"
				  "[],\"tenants\":[]}";
	const std::string newer = "{\"version\":6,\"routes\":[],\"services\":"
				  "[],\"tenants\":[]}";
	const std::string key = "op/config";

	changes(3, 200,
		"{\"at\":6,\"events\":[" + item(key.c_str(), 4, valid) + "," +
			item("servers/i-1", 5, "x") + "," +
			item(key.c_str(), 6, newer) + "]}");
	ASSERT_EQ(result->status, STORE_OK);
	ASSERT_EQ(result->kvs->len, 2u);
	EXPECT_EQ(store_result_find(result, "fleet/conf")
			  ->record.u.fleet_conf->version,
		  6);
	// One that cannot be read leaves the one before it in force.
	changes(6, 200,
		"{\"at\":9,\"events\":[" + item(key.c_str(), 7, valid) + "," +
			item(key.c_str(), 9, "{") + "]}");
	ASSERT_EQ(result->kvs->len, 2u);
	EXPECT_EQ(g_array_index(result->kvs, store_kv_t, 0).record.kind,
		  RECORD_FLEET_CONF);
}

// Guards against an account that gets no tokens, as the store refuses a write
// whose key is not quoted.
TEST_F(Store, KeysOfAWriteAreQuoted)
{
	transaction(200, "{\"revision\":9}", 3, "prepaid/a \"b\" \\ c");
	EXPECT_NE(request_body.find(
			  R"({"key":"prepaid/a \"b\" \\ c","revision":3})"),
		  std::string::npos)
		<< request_body;
	EXPECT_NE(
		request_body.find(R"({"key":"prepaid/a \"b\" \\ c","value":)"),
		std::string::npos)
		<< request_body;
}

TEST_F(Store, TransactionStatusFollowsTheResponse)
{
	struct {
		uint32_t http_status;
		const char *body;
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

	for (auto &c : cases) {
		transaction(c.http_status, c.body);
		EXPECT_EQ(path, "/api/kv-txn");
		EXPECT_EQ(result->status, c.status) << c.http_status;
		EXPECT_EQ(store_result_committed(result, 0), c.committed)
			<< c.http_status;
	}
	EXPECT_EQ(failure_events, 4);
}

// Guards against a write that counts as committed although the store's answer
// was cut: without a length, nothing in it tells that it is whole.
TEST(StoreAnswer, CutDuringALargeWriteIsNoCommit)
{
	struct requester_t {
		store_result_t *result = nullptr;

		static void receive(void *self, msg_t *msg)
		{
			if (msg->kind != MSG_STORE_RESULT)
				return;
			static_cast<requester_t *>(self)->result =
				msg->u.store_result;
			msg->u.store_result = nullptr;
		}
	} requester;
	ScriptServer server([](script_conn_t &conn) {
		conn.send("HTTP/1.1 200 OK\r\n\r\n{\"revision\":12}");
		/* The rest of the request is not read. */
		g_source_destroy(conn.source);
		g_timeout_add(
			20,
			[](gpointer data) -> gboolean {
				static_cast<script_conn_t *>(data)->reset();
				return G_SOURCE_REMOVE;
			},
			&conn);
	});
	platform_store_opts_t opts = {"127.0.0.1", server.port};
	saved_stream_t saved = {"9c41d07be2a35f68", {"s", "acme", "v1.1"}};
	record_t record = {};
	msg_t msg = {};
	kernel_t kernel;
	outbound_t outbound;
	platform_store_t store;
	svc_t owner;

	kernel_init(&kernel, CLOCK_REAL, 1);
	outbound_init(&outbound, &kernel);
	owner = kernel_register(&kernel, "owner", requester_t::receive,
				&requester);
	platform_store_init(&store, &kernel, &opts);
	kernel_start(&kernel);
	record.kind = RECORD_STREAMS;
	record.u.streams = record_streams_new();
	for (int i = 0; i < SAVED_STREAMS_MAX; i++)
		g_array_append_val(record.u.streams->list, saved);
	msg.kind = MSG_STORE_TXN;
	msg.u.store_txn = store_txn_new();
	store_txn_group(msg.u.store_txn);
	for (int i = 0; i < 60; i++)
		store_txn_put(msg.u.store_txn,
			      ("streams/" + std::to_string(i)).c_str(), 0, 0,
			      &record);
	record_clear(&record);
	kernel_post(&kernel, owner, store.svc, &msg);
	EXPECT_TRUE(pump([&] { return requester.result != nullptr; }));
	EXPECT_EQ(requester.result->status, STORE_UNKNOWN);
	store_result_free(requester.result);
	platform_store_finish(&store);
	outbound_finish(&outbound);
	kernel_finish(&kernel);
}

TEST(Entries, QuarantinesAreUnchangedByEncodingAndDecoding)
{
	const std::string hash(HASH_SIZE - 1, 'a');
	record_t request = {}, part = {}, parts = {}, read = {};
	errmsg_t err;

	request.kind = RECORD_HELD;
	g_strlcpy(request.u.held.fingerprint, hash.c_str(), HASH_SIZE);
	request.u.held.decided_ms = 1764900000000;
	request.u.held.expires_ms = 1764900600000;
	part = request;
	part.u.held.fingerprint[0] = '\0';
	part.u.held.set = part_set_of(UINT64_MAX);
	part.u.held.strikes = 3;
	parts = part;
	for (uint64_t i = 1; i < PART_SET_MAX; i++)
		part_set_add(&parts.u.held.set, UINT64_MAX - i);
	for (const record_t *record : {&request, &part, &parts}) {
		GBytes *value = entry_encode(record);

		entry_decode("quarantine/x", value, &read, &err);
		ASSERT_EQ(read.kind, RECORD_HELD) << err.text;
		EXPECT_STREQ(read.u.held.fingerprint,
			     record->u.held.fingerprint);
		EXPECT_TRUE(
			part_set_equal(&read.u.held.set, &record->u.held.set));
		EXPECT_EQ(read.u.held.strikes, record->u.held.strikes);
		EXPECT_EQ(read.u.held.decided_ms, record->u.held.decided_ms);
		EXPECT_EQ(read.u.held.expires_ms, record->u.held.expires_ms);
		g_bytes_unref(value);
	}
	for (const std::string &text :
	     {std::string("{\"decided_ms\":1,\"expires_ms\":2}"),
	      std::string("{\"request\":\"xyz\",\"decided_ms\":1,"
			  "\"expires_ms\":2}"),
	      std::string("{\"part\":\"1g\",\"strikes\":1,\"decided_ms\":1,"
			  "\"expires_ms\":2}"),
	      std::string("{\"part\":\"1\",\"strikes\":0,\"decided_ms\":1,"
			  "\"expires_ms\":2}")}) {
		GBytes *value = g_bytes_new(text.data(), text.size());

		entry_decode("quarantine/x", value, &read, &err);
		EXPECT_EQ(read.kind, RECORD_INVALID) << text;
		g_bytes_unref(value);
	}
}

// Guards against a target that is confirmed by a report which does not state
// its start.
TEST(Report, StartIsAWholeNumberAtTheTopLevel)
{
	const std::string sound = "{\"sequence\":2,\"born\":1764900000123}";
	int64_t started = 0;

	EXPECT_TRUE(report_decode(sound.data(), sound.size(), &started));
	EXPECT_EQ(started, 1764900000123);
	for (const std::string &text :
	     {std::string(""), std::string("{}"), std::string("[1]"),
	      std::string("{\"born\":\"1\"}"), std::string("{\"born\":1.5}"),
	      std::string("{\"born\":0}"), std::string("{\"born\":-5}"),
	      std::string("{\"x\":{\"born\":1}}"), sound.substr(0, 20),
	      std::string("{\"born\":99999999999999999999}"),
	      std::string(100000, '[')})
		EXPECT_FALSE(report_decode(text.data(), text.size(), &started))
			<< text.substr(0, 40);
}

} // namespace
