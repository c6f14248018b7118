// Tests of the settings file: an invalid file is rejected before the program
// starts, with the key's path, the value and the allowed values.
#include "settings/settings.h"

#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <sstream>
#include <string>

namespace
{

const char *const valid_settings =
	R"({"name":"r1","availability_zone":"az1",
"caller":{"port":8080},
"peer":{"port":7000,"key":"0123456789abcdef","seeds":["127.0.0.1:7001"]},
"admin":{"port":9000},
"store":{"endpoints":["http://127.0.0.1:2379"]}})";

settings_status_t parse(const std::string &text, errmsg_t *err)
{
	settings_t settings;

	settings_init(&settings);
	return settings_parse(&settings, text.data(),
			      static_cast<gssize>(text.size()), err);
}

std::string replaced(const char *from, const char *to)
{
	std::string text = valid_settings;

	return text.replace(text.find(from), strlen(from), to);
}

TEST(Settings, CompleteFileIsReadWithDefaults)
{
	settings_t settings;
	errmsg_t err;

	settings_init(&settings);
	ASSERT_EQ(settings_parse(&settings, valid_settings, -1, &err),
		  SETTINGS_OK);
	EXPECT_STREQ(settings.name, "r1");
	EXPECT_EQ(settings.caller_port, 8080);
	EXPECT_EQ(settings.store_timeout_ms, 2000);
	EXPECT_EQ(settings.peer_seeds.count, 1u);
	EXPECT_STREQ(settings.log_level, "info");
}

// Guards against buffers that exceed the memory of a small machine.
TEST(Settings, BuffersFollowTheMemoryOfTheMachine)
{
	settings_t settings;
	errmsg_t err;

	settings_init(&settings);
	EXPECT_EQ(settings_buffers_mib(&settings), 64);
	settings.gateway_memory_mib = 120;
	EXPECT_EQ(settings_buffers_mib(&settings), 30);
	settings.gateway_memory_mib = 512;
	EXPECT_EQ(settings_buffers_mib(&settings), 128);
	settings.gateway_memory_mib = 20.5;
	EXPECT_EQ(settings_buffers_mib(&settings), 16);
	settings.gateway_buffers_mib = 40;
	EXPECT_EQ(settings_buffers_mib(&settings), 40);
	EXPECT_NE(parse(R"({"gateway":{"memory_mib":-1}})", &err), SETTINGS_OK);
	EXPECT_NE(strstr(err.text, "gateway.memory_mib"), nullptr) << err.text;
}

// Guards against a limit that no request of legal size fits in.
TEST(Settings, BuffersBelowTheLeastAreRefused)
{
	std::ifstream file("demo/gateway.json");
	std::stringstream example;
	errmsg_t err;

	example << file.rdbuf();
	std::string text = example.str();
	size_t at = text.find("\"buffers_mib\": 64");

	ASSERT_NE(at, std::string::npos);
	text.replace(at, strlen("\"buffers_mib\": 64"), "\"buffers_mib\": 15");
	EXPECT_EQ(parse(text, &err), SETTINGS_INVALID);
	EXPECT_NE(strstr(err.text, "gateway.buffers_mib"), nullptr) << err.text;
	text.replace(at, strlen("\"buffers_mib\": 15"), "\"buffers_mib\": 0");
	EXPECT_EQ(parse(text, &err), SETTINGS_OK) << err.text;
}

// The settings page must match the table in the code.  The test fails after a
// key was added or changed in the code only.  Tests run in the root folder of
// the repository.
TEST(Settings, ReferencePageEndsWithTheTable)
{
	std::ifstream file("docs/settings.md");
	std::stringstream page;
	GString *table = g_string_new(nullptr);

	page << file.rdbuf();
	settings_print_reference(table);
	ASSERT_NE(page.str().find(table->str), std::string::npos)
		<< "run make docs/settings.md";
	EXPECT_EQ(page.str().find(table->str) + table->len, page.str().size());
	g_string_free(table, TRUE);
}

void read_example(const char *path, bool gateway, std::stringstream *text)
{
	std::ifstream file(path);
	settings_t settings;
	errmsg_t err = {};

	settings_init(&settings);
	EXPECT_EQ(settings_load(&settings, path, &err), SETTINGS_OK)
		<< err.text;
	EXPECT_EQ(settings.is_gateway, gateway);
	*text << file.rdbuf();
}

// The example files of a router and of a gateway must be valid and contain
// every key, also after keys are renamed, added or removed.
TEST(Settings, ExamplesAreAcceptedAndComplete)
{
	std::stringstream text;
	GString *table = g_string_new(nullptr);
	std::string line;

	read_example("demo/example.json", false, &text);
	read_example("demo/gateway.json", true, &text);
	settings_print_reference(table);
	std::stringstream rows(table->str);
	while (std::getline(rows, line)) {
		if (line.compare(0, 3, "| `") != 0)
			continue;
		std::string path = line.substr(3, line.find('`', 3) - 3);
		std::string key = path.substr(path.find('.') + 1);

		EXPECT_NE(text.str().find("\"" + key + "\""), std::string::npos)
			<< path;
	}
	g_string_free(table, TRUE);
}

struct InvalidSetting {
	const char *from, *to, *message;
};

class InvalidSettingTest : public ::testing::TestWithParam<InvalidSetting>
{
};

// A gateway must not start if one of its addresses is missing.
TEST(Settings, GatewayNeedsItsAddresses)
{
	errmsg_t err = {};

	EXPECT_EQ(parse(R"({"name":"g1","availability_zone":"az1",
"gateway":{"callers":"127.0.0.1:1"},"peer":{"key":"0123456789abcdef"}})",
			&err),
		  SETTINGS_INVALID);
	EXPECT_NE(strstr(err.text, "gateway.readiness: missing"), nullptr)
		<< err.text;
}

// Bounds that an operator divides among sites need not be whole numbers; a
// gateway that refused them would not start.
TEST(Settings, GatewayBoundsMayBeFractions)
{
	settings_t settings;
	errmsg_t err = {};

	settings_init(&settings);
	EXPECT_EQ(settings_parse(&settings,
				 R"({"name":"g1","availability_zone":"az1",
"gateway":{"callers":"127.0.0.1:1","readiness":"127.0.0.1:2",
"metrics":"127.0.0.1:3","peers":"127.0.0.1:4","store":"127.0.0.1:5",
"retry_slack":33.157894736842103,"retry_window_s":9.5,"grace_s":7.25,
"cold_overage":1.25,"cold_slack":0,"pace":1},
"peer":{"key":"0123456789abcdef"}})",
				 -1, &err),
		  SETTINGS_OK)
		<< err.text;
	EXPECT_DOUBLE_EQ(settings.gateway_retry_slack, 33.157894736842103);
	EXPECT_DOUBLE_EQ(settings.gateway_retry_window_s, 9.5);
	EXPECT_DOUBLE_EQ(settings.gateway_grace_s, 7.25);
	EXPECT_DOUBLE_EQ(settings.gateway_link_mbps, 0);
	EXPECT_DOUBLE_EQ(settings.gateway_cold_overage, 1.25);
	EXPECT_DOUBLE_EQ(settings.gateway_cold_slack, 0.0);
	EXPECT_EQ(settings.gateway_pace, 1);
	EXPECT_NE(parse(R"({"gateway":{"retry_slack":-0.5}})", &err),
		  SETTINGS_OK);
	EXPECT_NE(strstr(err.text, "a number from 0 to 1000000"), nullptr)
		<< err.text;
}

// An unusable address or ratio must be rejected when the file is read, not
// when the value is first used.
TEST(Settings, GatewayValuesAreChecked)
{
	errmsg_t err = {};

	EXPECT_NE(parse(R"({"gateway":{"callers":"localhost:1"}})", &err),
		  SETTINGS_OK);
	EXPECT_NE(strstr(err.text, "gateway.callers"), nullptr) << err.text;
	EXPECT_NE(parse(R"({"gateway":{"retry_ratio":1.5}})", &err),
		  SETTINGS_OK);
	EXPECT_NE(strstr(err.text, "from 0 to 1"), nullptr) << err.text;
	EXPECT_NE(parse(R"({"gateway":{"link_mbps":-1}})", &err), SETTINGS_OK);
	EXPECT_NE(strstr(err.text, "gateway.link_mbps: -1"), nullptr)
		<< err.text;
	EXPECT_NE(parse(R"({"gateway":{"link_mbps":"fast"}})", &err),
		  SETTINGS_OK);
	EXPECT_NE(strstr(err.text, "gateway.link_mbps"), nullptr) << err.text;
}

TEST_P(InvalidSettingTest, IsRefusedWithPathValueAndRange)
{
	errmsg_t err = {};

	EXPECT_NE(parse(replaced(GetParam().from, GetParam().to), &err),
		  SETTINGS_OK);
	EXPECT_NE(std::string(err.text).find(GetParam().message),
		  std::string::npos)
		<< err.text;
}

INSTANTIATE_TEST_SUITE_P(
	All, InvalidSettingTest,
	::testing::Values(
		InvalidSetting{
			"8080", "70000",
			"caller.port: 70000 is not allowed, expected a whole "
			"number from 0 to 65535"},
		InvalidSetting{"8080", "\"8080\"", "caller.port: \"8080\""},
		InvalidSetting{"8080", "80.5", "caller.port: 80.5"},
		InvalidSetting{"\"caller\"", "\"colour\"",
			       "colour: unknown key"},
		InvalidSetting{"\"caller\":{", "\"caller\":{\"prot\":1,",
			       "caller.prot: unknown key"},
		InvalidSetting{"\"name\":\"r1\",", "", "name: missing"},
		InvalidSetting{"\"r1\"", "\"r 1\"", "name: \"r 1\""},
		InvalidSetting{"0123456789abcdef", "short",
			       "peer.key: (secret)"},
		InvalidSetting{"127.0.0.1:7001", "host.example:7001",
			       "peer.seeds"},
		InvalidSetting{"[\"http://127.0.0.1:2379\"]", "[]",
			       "store.endpoints"},
		InvalidSetting{"\"admin\":{",
			       "\"admin\":{\"host\":\"0.0.0.0\",",
			       "admin.token: missing"},
		InvalidSetting{"{\"name\"", "[{\"name\"", "not JSON"}));

// A malformed file must neither crash the parser nor set a value outside its
// range.
TEST(Settings, MutatedFilesNeverCrash)
{
	std::mt19937 random(1);

	for (int i = 0; i < 20000; i++) {
		std::string text = valid_settings;
		settings_t settings;
		errmsg_t err = {};

		for (int n = random() % 4 + 1; n > 0; n--)
			text[random() % text.size()] =
				static_cast<char>(random());
		settings_init(&settings);
		if (settings_parse(&settings, text.data(),
				   static_cast<gssize>(text.size()),
				   &err) != SETTINGS_OK)
			continue;
		EXPECT_LE(settings.caller_port, 65535);
		EXPECT_TRUE(name_is_valid(settings.name));
	}
}

} // namespace
