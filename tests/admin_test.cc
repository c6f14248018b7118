// Tests of the admin service: readiness depends on configuration and shutdown,
// the token is required, and the status is JSON with the state of the fleet.
#include "admin/admin.h"

#include <gtest/gtest.h>
#include <json-glib/json-glib.h>
#include <string>

namespace
{

class AdminTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_REAL, 1);
		session = soup_session_new();
	}
	void start(const char *token)
	{
		admin_opts_t opts = {};

		g_strlcpy(opts.host, "127.0.0.1", sizeof(opts.host));
		g_strlcpy(opts.token, token, sizeof(opts.token));
		ASSERT_EQ(admin_init(&admin, &kernel, &opts), 0)
			<< admin.err.text;
		deliver(MSG_START);
	}
	void TearDown() override
	{
		g_object_unref(session);
		admin_finish(&admin);
		kernel_finish(&kernel);
	}
	void deliver(msg_kind_t kind, void *payload = nullptr)
	{
		msg_t msg = {};

		msg.kind = kind;
		if (kind == MSG_CONF_CHANGED)
			msg.u.conf = (conf_snapshot_t *)payload;
		if (kind == MSG_MEMBER_CHANGED)
			msg.u.members = (member_list_t *)payload;
		kernel_post(&kernel, HANDLE_NONE, admin.svc, &msg);
		while (kernel_deliver_one(&kernel))
			;
	}
	static void on_response(GObject *source, GAsyncResult *result,
				gpointer data)
	{
		auto *bytes = static_cast<GBytes **>(data);

		*bytes = soup_session_send_and_read_finish(SOUP_SESSION(source),
							   result, NULL);
	}
	guint get(const char *path, const char *token = nullptr,
		  const char *method = "GET")
	{
		std::string url = "http://127.0.0.1:" +
				  std::to_string(admin_port(&admin)) + path;
		SoupMessage *msg = soup_message_new(method, url.c_str());
		GBytes *bytes = nullptr;

		if (token != nullptr)
			soup_message_headers_append(
				soup_message_get_request_headers(msg),
				"Authorization", token);
		soup_session_send_and_read_async(session, msg,
						 G_PRIORITY_DEFAULT, NULL,
						 on_response, &bytes);
		while (bytes == nullptr)
			g_main_context_iteration(NULL, TRUE);
		gsize len;
		auto *data = (const char *)g_bytes_get_data(bytes, &len);
		body.assign(data == nullptr ? "" : data, len);
		guint status = soup_message_get_status(msg);
		g_bytes_unref(bytes);
		g_object_unref(msg);
		return status;
	}
	kernel_t kernel;
	admin_t admin;
	SoupSession *session;
	std::string body;
};

// A router without configuration or in shutdown must not report readiness,
// otherwise the load balancer sends it requests that it cannot serve.
TEST_F(AdminTest, ReadinessFollowsConfigurationAndStop)
{
	start("");
	EXPECT_EQ(get("/healthz"), 200u);
	EXPECT_EQ(get("/readyz"), 503u);
	deliver(MSG_CONF_CHANGED, conf_snapshot_new());
	EXPECT_EQ(get("/readyz"), 200u);
	deliver(MSG_STOP);
	EXPECT_EQ(get("/readyz"), 503u);
	EXPECT_EQ(get("/healthz"), 200u);
	EXPECT_EQ(get("/other"), 404u);
	EXPECT_EQ(get("/status", nullptr, "POST"), 405u);
	EXPECT_EQ(get("/metrics"), 200u);
	EXPECT_NE(body.find("members_alive"), std::string::npos);
}

// A request without the exact token must get no data.
TEST_F(AdminTest, TokenIsRequired)
{
	start("secret");
	EXPECT_EQ(get("/status"), 401u);
	EXPECT_EQ(get("/status", "Bearer secre"), 401u);
	EXPECT_EQ(get("/status", "Bearer secrets"), 401u);
	EXPECT_EQ(get("/status", "secret"), 401u);
	EXPECT_EQ(get("/status", "Bearer secret"), 200u);
}

// The service must not listen on a non-loopback address without a token.
TEST_F(AdminTest, OpenAddressNeedsAToken)
{
	admin_opts_t opts = {};

	g_strlcpy(opts.host, "0.0.0.0", sizeof(opts.host));
	EXPECT_EQ(admin_init(&admin, &kernel, &opts), -1);
	EXPECT_EQ(admin_port(&admin), 0);
}

// Operators read members, targets, preset and refusals from /status.
TEST_F(AdminTest, StatusShowsTheFleet)
{
	conf_snapshot_t *conf = conf_snapshot_new();
	member_list_t *list = member_list_new();
	member_info_t member = {};
	record_target_t target = {};

	start("");
	g_strlcpy(target.name, "t\"1", sizeof(target.name));
	g_array_append_val(conf->targets, target);
	conf->revision = 77;
	conf->preset = PRESET_PEAK;
	g_strlcpy(member.name, "r1", sizeof(member.name));
	member.state = MEMBER_SUSPECT;
	g_array_append_val(list->members, member);
	deliver(MSG_CONF_CHANGED, conf);
	deliver(MSG_MEMBER_CHANGED, list);
	metrics_refusal(kernel.metrics, REFUSAL_BUDGET_SPENT);
	ASSERT_EQ(get("/status"), 200u);

	JsonNode *root = json_from_string(body.c_str(), NULL);
	ASSERT_NE(root, nullptr);
	JsonObject *status = json_node_get_object(root);
	EXPECT_EQ(json_object_get_int_member(status, "conf_revision"), 77);
	EXPECT_STREQ(json_object_get_string_member(status, "preset"), "peak");
	JsonObject *first = json_array_get_object_element(
		json_object_get_array_member(status, "members"), 0);
	EXPECT_STREQ(json_object_get_string_member(first, "state"), "suspect");
	first = json_array_get_object_element(
		json_object_get_array_member(status, "targets"), 0);
	EXPECT_STREQ(json_object_get_string_member(first, "name"), "t\"1");
	EXPECT_EQ(json_object_get_int_member(
			  json_object_get_object_member(status, "refusals"),
			  "budget_spent"),
		  1);
	json_node_unref(root);
}

} // namespace
