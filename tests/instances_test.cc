// Tests of the platform's list: leaving targets are reported, and a malformed
// response or an outage changes nothing.
#include "instances/instances.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

std::string one_instance(const char *host, const char *port, const char *state)
{
	return std::string("{\"revision\":1,\"instances\":[{\"host\":") + host +
	       ",\"port\":" + port + ",\"state\":" + state + "}]}";
}

instance_list_t *parse(const std::string &text)
{
	errmsg_t err;

	return instances_parse(text.data(), text.size(), &err);
}

// A malformed list must not change the state of any target.
TEST(Instances, ParsesStrictly)
{
	const std::string bad[] = {
		"",
		"[]",
		"{\"revision\":1}",
		"{\"revision\":\"1\",\"instances\":[]}",
		"{\"revision\":-1,\"instances\":[]}",
		"{\"revision\":1,\"instances\":[1]}",
		one_instance("\"example\"", "1", "\"live\""),
		one_instance("\"127.0.0.1\"", "0", "\"live\""),
		one_instance("\"127.0.0.1\"", "65536", "\"live\""),
		one_instance("\"127.0.0.1\"", "1.5", "\"live\""),
		one_instance("\"127.0.0.1\"", "1", "\"dead\""),
		one_instance("\"127.0.0.1\"", "1", "true"),
		std::string(1000000, '['),
	};

	for (const std::string &text : bad)
		EXPECT_EQ(parse(text), nullptr) << text.substr(0, 80);
	instance_list_t *list =
		parse(one_instance("\"::1\"", "65535", "\"leaving\""));
	ASSERT_NE(list, nullptr);
	ASSERT_EQ(list->instances->len, 1u);
	EXPECT_TRUE(g_array_index(list->instances, instance_info_t, 0).leaving);
	instance_list_unref(list);
}

class InstancesTest : public ::testing::Test
{
      protected:
	static void receive(void *self, msg_t *msg)
	{
		auto *test = static_cast<InstancesTest *>(self);

		if (msg->kind == MSG_TARGET_LEAVING)
			test->notices.push_back(
				std::to_string(msg->u.target_leaving.port) +
				(msg->u.target_leaving.leaving ? " leaving"
							       : " live"));
		if (msg->kind == MSG_INSTANCES_LISTED)
			test->lists++;
	}
	static void serve(SoupServer *, SoupServerMessage *msg, const char *,
			  GHashTable *, gpointer data)
	{
		auto *test = static_cast<InstancesTest *>(data);

		test->polls++;
		soup_server_message_set_status(msg, test->status, NULL);
		soup_server_message_set_response(
			msg, "application/json", SOUP_MEMORY_COPY,
			test->text.data(), test->text.size());
	}
	void SetUp() override
	{
		instances_opts_t opts = {};

		server = soup_server_new(NULL, NULL);
		soup_server_add_handler(server, NULL, serve, this, NULL);
		ASSERT_TRUE(soup_server_listen_local(
			server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
		GSList *uris = soup_server_get_uris(server);
		char *url = g_uri_to_string((GUri *)uris->data);
		g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
		kernel_init(&kernel, CLOCK_REAL, 1);
		kernel_register(&kernel, "route", receive, this);
		kernel_register(&kernel, "member", receive, this);
		opts.url = url;
		opts.interval_ms = 1;
		instances_init(&instances, &kernel, &opts);
		g_free(url);
		kernel_start(&kernel);
	}
	void TearDown() override
	{
		instances_finish(&instances);
		kernel_finish(&kernel);
		soup_server_disconnect(server);
		g_object_unref(server);
	}
	// Runs the main loop until the condition holds, or 60 s have passed.
	template <typename Condition> bool wait_for(Condition condition)
	{
		gint64 limit = g_get_monotonic_time() + 60 * G_USEC_PER_SEC;

		while (!condition() && g_get_monotonic_time() < limit)
			g_main_context_iteration(NULL, TRUE);
		return condition();
	}
	bool wait_for_polls(int more)
	{
		int until = polls + more;

		return wait_for([&] { return polls >= until; });
	}
	SoupServer *server;
	kernel_t kernel;
	instances_t instances;
	std::string text;
	unsigned status = 200;
	int polls = 0, lists = 0;
	std::vector<std::string> notices;
};

std::string list(int revision, const char *first, bool second)
{
	std::string text = "{\"revision\":" + std::to_string(revision) +
			   ",\"instances\":["
			   "{\"host\":\"127.0.0.1\",\"port\":1,\"state\":\"" +
			   first + "\"}";

	if (second)
		text += ",{\"host\":\"127.0.0.1\",\"port\":2,"
			"\"state\":\"live\"}";
	return text + "]}";
}

// Each change is reported once; failed polls, older lists and a short absence
// change nothing.
TEST_F(InstancesTest, ReportsEachChangeOnceAndIgnoresBadAnswers)
{
	using Notices = std::vector<std::string>;

	text = list(5, "live", true);
	ASSERT_TRUE(wait_for([&] { return lists >= 2; }));
	EXPECT_EQ(notices, (Notices{"1 live", "2 live"}));
	text = list(6, "leaving", true);
	ASSERT_TRUE(wait_for([&] { return notices.size() == 3; }));
	EXPECT_EQ(notices.back(), "1 leaving");
	status = 503;
	ASSERT_TRUE(wait_for_polls(3));
	int before = lists;
	text = "{}";
	status = 200;
	ASSERT_TRUE(wait_for_polls(3));
	text = list(4, "live", false); // lower revision
	ASSERT_TRUE(wait_for_polls(3));
	EXPECT_EQ(lists, before);
	text = list(7, "leaving", false); // absent for a short time
	ASSERT_TRUE(wait_for([&] { return lists >= before + 2; }));
	EXPECT_EQ(notices.size(), 3u);
	text = list(8, "live", true);
	ASSERT_TRUE(wait_for([&] { return notices.size() == 4; }));
	EXPECT_EQ(notices.back(), "1 live");
}

} // namespace
