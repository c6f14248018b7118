// Tests the HTTP client: no request is sent twice, a truncated response is
// never taken for a complete one, and bytes that belong to no request are
// discarded.
#include "kernel/identifier.h"
#include "outbound/outbound.h"
#include "tests/script_server.h"

#include <arpa/inet.h>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

struct result_t {
	int started = 0, heads = 0, ends = 0, failures = 0;
	uint32_t status = 0;
	std::string body;
	bool reused = false, sent = false, reset = false;
	failure_t failure = FAILURE_NONE;
	handle_t call = HANDLE_NONE;
};

class Outbound : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_REAL, 1);
		outbound_init(&outbound, &kernel);
		owner = kernel_register(&kernel, "owner", receive, this);
		kernel_register(&kernel, "balance", receive, this);
		kernel_start(&kernel);
	}
	void TearDown() override
	{
		outbound_finish(&outbound);
		kernel_finish(&kernel);
	}
	static void receive(void *self, msg_t *msg)
	{
		static_cast<Outbound *>(self)->handle(msg);
	}
	void handle(msg_t *msg)
	{
		result_t &r = results[msg->ref.index];
		gsize size;
		const void *data;

		switch (msg->kind) {
		case MSG_OUT_STARTED:
			r.started++;
			r.call = msg->id;
			r.reused = msg->u.out_started.reused;
			break;
		case MSG_OUT_HEAD:
			r.heads++;
			r.status = msg->u.out_head.head->status;
			break;
		case MSG_OUT_DATA:
			data = g_bytes_get_data(msg->u.data.bytes, &size);
			r.body.append(static_cast<const char *>(data), size);
			break;
		case MSG_OUT_END:
			r.ends++;
			break;
		case MSG_OUT_FAILED:
			r.failures++;
			r.failure = msg->u.out_failed.failure;
			r.sent = msg->u.out_failed.sent;
			r.reset = msg->u.out_failed.reset;
			break;
		case MSG_OUT_CHECKED:
			checked = msg->u.out_check.instance;
			check_result = msg->u.out_check.result;
			break;
		case MSG_OUT_CLOSED:
			closed_port = msg->u.out_closed.port;
			break;
		default:
			break;
		}
	}
	// Sends a request and waits for the end of the call.
	result_t &call(uint16_t port, const char *id = "", size_t body = 0)
	{
		uint32_t number = post(port, id, body);

		EXPECT_TRUE(pump([&] {
			return results[number].ends + results[number].failures >
			       0;
		}));
		return results[number];
	}
	check_result_t check(uint16_t port)
	{
		msg_t msg = {};

		checked.clear();
		msg.kind = MSG_OUT_CHECK;
		g_strlcpy(msg.u.out_check.instance, "i-1",
			  sizeof(msg.u.out_check.instance));
		g_strlcpy(msg.u.out_check.host, "127.0.0.1",
			  sizeof(msg.u.out_check.host));
		msg.u.out_check.port = port;
		kernel_post(&kernel, owner, outbound.svc, &msg);
		kernel_flush(&kernel);
		EXPECT_TRUE(pump([&] { return checked == "i-1"; }));
		return check_result;
	}
	uint32_t post(uint16_t port, const char *id, size_t body)
	{
		msg_t msg = {};
		uint32_t number = ++next;

		msg.kind = MSG_OUT_SEND;
		msg.id.index = number;
		msg.id.gen = 1;
		g_strlcpy(msg.u.out_send.host, "127.0.0.1",
			  sizeof(msg.u.out_send.host));
		msg.u.out_send.port = port;
		msg.u.out_send.head = http_head_request("POST", "/x");
		http_head_add(msg.u.out_send.head, "Host", "h");
		http_head_add_int(msg.u.out_send.head, "Content-Length",
				  (int64_t)body);
		if (body > 0)
			msg.u.out_send.body =
				g_bytes_new_take(g_malloc0(body), body);
		if (id[0] != '\0') {
			g_strlcpy(msg.u.out_send.echo_name, "X-Id",
				  sizeof(msg.u.out_send.echo_name));
			identifier_set(msg.u.out_send.echo_value,
				       sizeof(msg.u.out_send.echo_value), id);
		}
		msg.u.out_send.own_connection = own_connection;
		msg.u.out_send.deadline =
			kernel_now(&kernel) + 5 * USEC_PER_SEC;
		kernel_post(&kernel, owner, outbound.svc, &msg);
		kernel_flush(&kernel);
		return number;
	}
	kernel_t kernel;
	outbound_t outbound;
	svc_t owner;
	uint32_t next = 0;
	bool own_connection = false;
	std::string checked;
	uint16_t closed_port = 0; // of an idle connection
	check_result_t check_result = CHECK_UNKNOWN;
	std::map<uint32_t, result_t> results;
};

const std::string keep_alive_response =
	"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
	"Content-Length: 2\r\n\r\nok";

TEST_F(Outbound, KeepAliveConnectionServesTheNextCall)
{
	ScriptServer server(
		[](script_conn_t &conn) { conn.send(keep_alive_response); });

	EXPECT_EQ(call(server.port).body, "ok");
	result_t &second = call(server.port);
	EXPECT_TRUE(second.reused);
	EXPECT_EQ(second.body, "ok");
	EXPECT_EQ(server.conns.size(), 1u);
}

// Guards against streams that go on at the process which follows one that
// ended while no request ran there.
TEST_F(Outbound, EndOfAnIdleConnectionIsTold)
{
	ScriptServer server(
		[](script_conn_t &conn) { conn.send(keep_alive_response); });

	call(server.port);
	EXPECT_EQ(closed_port, 0);
	server.conns[0]->close();
	EXPECT_TRUE(pump([&] { return closed_port == server.port; }));
}

TEST_F(Outbound, BytesAfterAResponseAreDiscarded)
{
	ScriptServer server([](script_conn_t &conn) {
		conn.send(keep_alive_response +
			  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
			  "extra");
	});

	EXPECT_EQ(call(server.port).body, "ok");
	result_t &second = call(server.port);
	EXPECT_FALSE(second.reused);
	EXPECT_EQ(second.body, "ok");
	EXPECT_EQ(server.conns.size(), 2u);
}

// A server may respond twice to one request.  The second response then arrives
// where the response to the next request is expected.
TEST_F(Outbound, ResponseToAnEarlierRequestIsDiscarded)
{
	ScriptServer server([](script_conn_t &conn) {
		std::string id = std::to_string(conn.requests);

		if (conn.requests == 2)
			conn.send("HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
				  "Content-Length: 5\r\n\r\nextra");
		conn.send("HTTP/1.1 200 OK\r\nX-Id: " + id +
			  "\r\nKeep-Alive: timeout=5\r\n"
			  "Content-Length: 1\r\n\r\n" +
			  id);
	});

	EXPECT_EQ(call(server.port, "1").body, "1");
	result_t &second = call(server.port, "2");
	EXPECT_TRUE(second.reused);
	EXPECT_EQ(second.body, "2");
	EXPECT_EQ(second.heads, 1);
}

// Guards against a response that is taken for another request's, or that of
// another request that is delivered, because an id is compared in part.
TEST_F(Outbound, ResponseWithALongIdIsToldFromThatOfAnotherRequest)
{
	const std::string common(300, 'a');
	ScriptServer server([&](script_conn_t &conn) {
		std::string id = common + std::to_string(conn.requests);

		if (conn.requests == 2)
			conn.send("HTTP/1.1 200 OK\r\nX-Id: " + common +
				  "1\r\nContent-Length: 5\r\n\r\nextra");
		conn.send("HTTP/1.1 200 OK\r\nX-Id: " + id +
			  "\r\nKeep-Alive: timeout=5\r\n"
			  "Content-Length: 1\r\n\r\n" +
			  std::to_string(conn.requests));
	});

	EXPECT_EQ(call(server.port, (common + "1").c_str()).body, "1");
	result_t &second = call(server.port, (common + "2").c_str());
	EXPECT_TRUE(second.reused);
	EXPECT_EQ(second.body, "2");
	EXPECT_EQ(second.heads, 1);
}

TEST_F(Outbound, ResponseWithoutALengthIsCompleteOnlyAfterAnOrderlyClose)
{
	bool reset = false;
	ScriptServer server([&](script_conn_t &conn) {
		conn.send("HTTP/1.1 200 OK\r\n\r\npart");
		if (reset)
			conn.reset();
		else
			conn.close();
	});

	result_t &complete = call(server.port);
	EXPECT_EQ(complete.ends, 1);
	EXPECT_EQ(complete.body, "part");
	reset = true;
	result_t &truncated = call(server.port);
	EXPECT_EQ(truncated.ends, 0);
	EXPECT_EQ(truncated.failures, 1);
	EXPECT_TRUE(truncated.sent);
	EXPECT_TRUE(truncated.reset);
}

TEST_F(Outbound, TruncatedBodyIsAFailure)
{
	ScriptServer server([](script_conn_t &conn) {
		conn.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
		conn.close();
	});

	result_t &r = call(server.port);
	EXPECT_EQ(r.failure, FAILURE_STREAM);
	EXPECT_TRUE(r.sent);
}

// Guards against a part of a response that a caller gets as the whole: a write
// that fails takes the error of a reset connection, so that the read after it
// finds an end instead of the reset.
TEST_F(Outbound, ResetDuringAnUploadIsNoEndOfTheResponse)
{
	const std::string heads[] = {
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"384\r\n",
	};
	const std::string part(400, 'a');

	for (bool at_once : {true, false}) {
		for (const std::string &head : heads) {
			ScriptServer server([&](script_conn_t &conn) {
				conn.send(head + part);
				/* The rest of the request is not read. */
				g_source_destroy(conn.source);
				if (at_once)
					conn.reset();
			});
			uint32_t number = post(server.port, "", 4000000);

			if (!at_once) {
				ASSERT_TRUE(pump([&] {
					return results[number].body.size() ==
					       part.size();
				}));
				server.conns[0]->reset();
			}
			result_t &r = results[number];
			EXPECT_TRUE(
				pump([&] { return r.ends + r.failures > 0; }));
			EXPECT_EQ(r.ends, 0) << head;
			EXPECT_EQ(r.failures, 1) << head;
			EXPECT_TRUE(r.sent);
			EXPECT_TRUE(r.reset);
		}
	}
}

// A response that is complete by its own length was sent in full, whatever
// happens to the rest of the upload.
TEST_F(Outbound, CompleteResponseBeforeAResetIsDelivered)
{
	const std::string bodies[] = {
		"Content-Length: 5\r\n\r\nearly",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
	};

	for (const std::string &body : bodies) {
		ScriptServer server([&](script_conn_t &conn) {
			conn.send("HTTP/1.1 413 Too Large\r\n" + body);
			g_source_destroy(conn.source);
			conn.reset();
		});
		result_t &r = call(server.port, "", 4000000);

		EXPECT_EQ(r.ends, 1) << body;
		EXPECT_EQ(r.status, 413u);
		EXPECT_EQ(r.body, "early");
	}
}

// A target in trouble may send a status that is none.  Such a response must not
// reach a caller, nor be waited for until the call's deadline.
TEST_F(Outbound, ResponseWithoutAValidStatusIsAFailure)
{
	const char *const statuses[] = {
		"000", "0",    "00",   "099", "99",  "20",   "600", "700",
		"999", "1000", "2000", "2OO", "-20", "200x", "",
	};
	const char *const rests[] = {
		" OK\r\nContent-Length: 2\r\n\r\nok",
		" OK\r\n\r\nok",
		" OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"\r\nContent-Length: 0\r\n\r\n",
	};

	for (size_t body : {0, 2000, 4000000}) {
		for (const char *status : statuses) {
			for (const char *rest : rests) {
				std::string text = std::string("HTTP/1.1 ") +
						   status + rest;
				ScriptServer server([&](script_conn_t &conn) {
					conn.send(text);
				});
				result_t &r = call(server.port, "", body);

				EXPECT_EQ(r.failures, 1) << text;
				EXPECT_EQ(r.heads + r.ends, 0) << text;
				EXPECT_TRUE(r.sent) << text;
				EXPECT_EQ(r.failure, FAILURE_HEAD) << text;
			}
		}
	}
}

// Statuses at the bounds, and those without a name, are passed on.
TEST_F(Outbound, UnusualStatusesAreDelivered)
{
	for (uint32_t status : {200u, 299u, 399u, 499u, 599u}) {
		ScriptServer server([&](script_conn_t &conn) {
			conn.send("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " +
				  std::to_string(status) +
				  " X\r\nContent-Length: 2\r\n\r\nok");
		});
		result_t &r = call(server.port);

		EXPECT_EQ(r.ends, 1) << status;
		EXPECT_EQ(r.status, status);
		EXPECT_EQ(r.body, "ok");
	}
}

// A request whose connection is reset may have run, so it must not be resent.
TEST_F(Outbound, RequestIsNotResentAfterAReset)
{
	int requests = 0;
	ScriptServer server([&](script_conn_t &conn) {
		if (++requests == 2)
			conn.reset();
		else
			conn.send(keep_alive_response);
	});

	call(server.port);
	result_t &second = call(server.port);
	EXPECT_TRUE(second.reused);
	EXPECT_EQ(second.failures, 1);
	EXPECT_EQ(second.failure, FAILURE_SENT);
	EXPECT_TRUE(second.sent);
	EXPECT_EQ(requests, 2);
}

TEST_F(Outbound, RefusedConnectionCountsAsNotSent)
{
	uint16_t port;
	{
		ScriptServer server([](script_conn_t &) {});

		port = server.port;
	}
	result_t &r = call(port);
	EXPECT_EQ(r.failure, FAILURE_CONNECT);
	EXPECT_FALSE(r.sent);
}

// The server responds before it has read the whole request body.  On the same
// connection, it would read the rest of the body as the next request.
// A check must not cost a connection that the next request could use.
TEST_F(Outbound, CheckedConnectionServesTheNextCall)
{
	ScriptServer server(
		[](script_conn_t &conn) { conn.send(keep_alive_response); });

	EXPECT_EQ(check(server.port), CHECK_ACCEPTED);
	result_t &first = call(server.port);
	EXPECT_TRUE(first.reused);
	EXPECT_EQ(first.body, "ok");
	EXPECT_EQ(server.conns.size(), 1u);
}

TEST_F(Outbound, CheckFindsAServerThatRefusesConnections)
{
	uint16_t port;

	{
		ScriptServer server([](script_conn_t &) {});
		port = server.port;
	}
	EXPECT_EQ(check(port), CHECK_REFUSED);
	EXPECT_EQ(table_count(&outbound.calls), 0u);
	EXPECT_EQ(table_count(&outbound.conns), 0u);
}

TEST_F(Outbound, EarlyResponseClosesTheConnection)
{
	ScriptServer server([](script_conn_t &conn) {
		conn.send(keep_alive_response);
		/* The rest of the body stays in the socket's buffers. */
		g_source_destroy(conn.source);
	});

	EXPECT_EQ(call(server.port, "", 32 * 1024 * 1024).ends, 1);
	EXPECT_FALSE(call(server.port).reused);
}

// A target that is slow to accept, or behind a cut link, has not crashed.
TEST_F(Outbound, CheckWithoutAnAnswerIsNoRefusal)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in address = {};
	socklen_t size = sizeof(address);
	int fill[8];

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(fd, (struct sockaddr *)&address, size), 0);
	ASSERT_EQ(listen(fd, 0), 0);
	ASSERT_EQ(getsockname(fd, (struct sockaddr *)&address, &size), 0);
	for (int &one : fill) {
		one = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)!connect(one, (struct sockaddr *)&address, size);
	}
	usleep(20000);
	EXPECT_EQ(check(ntohs(address.sin_port)), CHECK_UNKNOWN);
	for (int one : fill)
		close(one);
	close(fd);
}

TEST_F(Outbound, CancelClosesTheConnection)
{
	ScriptServer server([](script_conn_t &) {});
	uint32_t number = post(server.port, "", 0);
	msg_t msg = {};

	ASSERT_TRUE(pump([&] {
		return server.conns.size() == 1 &&
		       server.conns[0]->requests == 1;
	}));
	msg.kind = MSG_OUT_CANCEL;
	msg.ref = results[number].call;
	kernel_post(&kernel, owner, outbound.svc, &msg);
	EXPECT_TRUE(pump([&] { return server.conns[0]->closed; }));
	EXPECT_EQ(results[number].failures + results[number].ends, 0);
}

TEST_F(Outbound, ConnectionWithAShortIdleTimeoutIsNotKept)
{
	ScriptServer server([](script_conn_t &conn) {
		conn.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
			  "Content-Length: 0\r\n\r\n");
	});

	call(server.port);
	EXPECT_FALSE(call(server.port).reused);
}

// Sends the text again and again until the call has ended.
#define CALL_WITH_ENDLESS(server, id, text)                              \
	[&]() -> result_t & {                                            \
		uint32_t number = post((server).port, id, 0);            \
		EXPECT_TRUE(pump([&] {                                   \
			for (auto &conn : (server).conns)                \
				if (conn->requests > 0 && !conn->closed) \
					conn->send(text);                \
			return results[number].ends +                    \
				       results[number].failures >        \
			       0;                                        \
		}));                                                     \
		return results[number];                                  \
	}()

// Guards against a server in trouble that sends bytes which are no response,
// without end: the call must fail long before its deadline, which is when its
// caller would give up, and without using up the memory.
TEST_F(Outbound, EndlessBytesFailTheCall)
{
	const struct {
		const char *name, *first, *more;
	} cases[] = {
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"one header value", "HTTP/1.1 200 OK\r\nX-A: ", "bbbbbbbb"},
		{"one header name", "HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
		{"status line", "HTTP/1.1 200 ", "OKOKOKOK"},
		{"empty lines", "", "\r\n\r\n\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"chunk extension",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;",
		 "aaaaaaaa"},
		{"trailers",
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "2\r\nok\r\n0\r\n",
		 "X-A: b\r\n"},
		{"noise", "", "\x01\x02\x03\x04"},
		{"body of an earlier response",
		 "HTTP/1.1 200 OK\r\nX-Id: old\r\n\r\n", "aaaaaaaa"},
		{"earlier responses", "",
		 "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 2\r\n\r\nok"},
	};

	for (auto &c : cases) {
		std::string more;
		ScriptServer server([&](script_conn_t &conn) {
			if (c.first[0] != '\0')
				conn.send(c.first);
		});

		for (int i = 0; i < 500; i++)
			more += c.more;
		result_t &r = CALL_WITH_ENDLESS(server, "new", more);
		EXPECT_EQ(r.failures, 1) << c.name;
		EXPECT_EQ(r.ends, 0) << c.name;
		EXPECT_TRUE(r.sent) << c.name;
		EXPECT_NE(r.failure, FAILURE_DEADLINE) << c.name;
		EXPECT_LE(r.body.size(), 100000u) << c.name;
	}
}

// Guards against a second copy of a response that the next caller gets, however
// much of it arrives with the first one, before the next request or after it.
TEST_F(Outbound, CopyOfAResponseReachesNobodyAtAnySplit)
{
	const std::string copy = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
				 "Keep-Alive: timeout=5\r\n"
				 "Content-Length: 5\r\n\r\nfirst";

	for (size_t split = 0; split <= copy.size(); split++) {
		int requests = 0;
		ScriptServer server([&](script_conn_t &conn) {
			bool first = ++requests == 1;

			if (conn.requests > 1)
				conn.send(copy.substr(split));
			conn.send("HTTP/1.1 200 OK\r\nX-Id: " +
				  std::to_string(requests) +
				  "\r\nKeep-Alive: timeout=5\r\n"
				  "Content-Length: 5\r\n\r\n" +
				  (first ? "first" : "other"));
			if (first)
				conn.send(copy.substr(0, split));
		});

		EXPECT_EQ(call(server.port, "1").body, "first") << split;
		result_t &second = call(server.port, "2");
		EXPECT_EQ(second.body, "other") << split;
		EXPECT_EQ(second.heads, 1) << split;
	}
}

// Guards against a copy of a refusal that is taken for the response to the same
// request, sent again to another target at the address: both have its id.
TEST_F(Outbound, RequestIsNotSentAgainOnItsConnection)
{
	int requests = 0;
	ScriptServer server([&](script_conn_t &conn) {
		conn.send(std::string("HTTP/1.1 200 OK\r\nX-Id: ") +
			  (++requests < 3 ? "1" : "2") +
			  "\r\n"
			  "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\n"
			  "ok");
	});

	call(server.port, "1");
	EXPECT_FALSE(call(server.port, "1").reused);
	EXPECT_TRUE(call(server.port, "2").reused);
	EXPECT_EQ(server.conns.size(), 2u);
}

// Guards against responses that reach another caller because nothing in them
// tells to which request they belong.
TEST_F(Outbound, RequestOnAConnectionOfItsOwnSharesItWithNone)
{
	ScriptServer server(
		[](script_conn_t &conn) { conn.send(keep_alive_response); });

	call(server.port);
	own_connection = true;
	EXPECT_FALSE(call(server.port).reused);
	own_connection = false;
	call(server.port);
	EXPECT_EQ(server.conns.size(), 2u);
	EXPECT_EQ(server.conns[0]->requests, 2);
	EXPECT_TRUE(pump([&] { return server.conns[1]->closed; }));
}

// Guards against a response that stops inside its head and is taken for one
// with an empty or a short body.
TEST_F(Outbound, ResponseThatStopsInItsHeadIsAFailure)
{
	const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		"X-Id: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 200 OK\nX-Id: 1\n\n",
		"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
	};

	for (const char *head : heads) {
		for (size_t cut = 0; cut < strlen(head); cut++) {
			std::string part(head, cut);
			ScriptServer server([&](script_conn_t &conn) {
				if (!part.empty())
					conn.send(part);
				conn.close();
			});

			result_t &r = call(server.port, "1");
			EXPECT_EQ(r.failures, 1) << part;
			EXPECT_EQ(r.heads + r.ends, 0) << part;
			EXPECT_EQ(r.body, "") << part;
			EXPECT_TRUE(r.sent) << part;
		}
	}
}

// Responses that have no body by definition: bytes that follow them must not
// reach the next caller.
TEST_F(Outbound, BodyOfAResponseThatHasNoneIsDiscarded)
{
	for (const char *status : {"204 No Content", "304 Not Modified"}) {
		ScriptServer server([&](script_conn_t &conn) {
			conn.send(std::string("HTTP/1.1 ") + status +
				  "\r\nKeep-Alive: timeout=5\r\n\r\nbody");
		});

		EXPECT_EQ(call(server.port).body, "");
		result_t &second = call(server.port);
		EXPECT_FALSE(second.reused) << status;
		EXPECT_EQ(second.body, "") << status;
	}
}

// Guards against requests that are delivered after a partition, when nobody
// waits for them any more and their target may be leaving.
TEST_F(Outbound, AbandonedCallResetsItsConnection)
{
	ScriptServer server([](script_conn_t &) {});
	uint32_t number = post(server.port, "r1", 0);
	msg_t cancel = {};

	ASSERT_TRUE(pump([&] {
		return server.conns.size() == 1 &&
		       server.conns[0]->requests == 1;
	}));
	cancel.kind = MSG_OUT_CANCEL;
	cancel.ref = results[number].call;
	kernel_post(&kernel, owner, outbound.svc, &cancel);
	kernel_flush(&kernel);
	ASSERT_TRUE(pump([&] { return server.conns[0]->closed; }));
	EXPECT_TRUE(server.conns[0]->was_reset);
}

} // namespace
