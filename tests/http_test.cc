// Tests of the HTTP parser and socket: messages split at any byte, request
// smuggling by conflicting lengths, truncated responses, and resets that are
// taken for an orderly end.
#include "http/parse.h"
#include "http/socket.h"
#include "kernel/kernel.h"

#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>

namespace
{

class Parse
{
      public:
	explicit Parse(bool response)
	{
		http_parse_init(&parse, response);
	}
	~Parse()
	{
		http_parse_finish(&parse);
	}
	// Feeds text in pieces and returns the number of bytes consumed.
	size_t feed(const std::string &text, size_t piece)
	{
		size_t at = 0;

		while (at < text.size()) {
			size_t n = std::min(piece, text.size() - at);
			size_t used =
				http_parse_feed(&parse, text.data() + at, n);

			at += used;
			take_body();
			if (used < n)
				break;
		}
		return at;
	}
	void take_body()
	{
		GBytes *bytes = http_parse_take_body(&parse);
		gsize size;
		const void *data;

		if (bytes == nullptr)
			return;
		data = g_bytes_get_data(bytes, &size);
		body.append(static_cast<const char *>(data), size);
		g_bytes_unref(bytes);
	}
	http_parse_t parse;
	std::string body;
};

const std::string chunked = "POST /a/b?q=1 HTTP/1.1\r\nHost: h\r\n"
			    "X-Long: some value\r\n"
			    "Transfer-Encoding: chunked\r\n\r\n"
			    "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";

TEST(Parse, SplitInputGivesTheSameRequest)
{
	for (size_t piece = 1; piece < chunked.size(); piece++) {
		Parse p(false);

		EXPECT_EQ(p.feed(chunked, piece), chunked.size());
		ASSERT_EQ(p.parse.state, HTTP_STATE_COMPLETE);
		EXPECT_STREQ(p.parse.head->method, "POST");
		EXPECT_STREQ(p.parse.head->uri, "/a/b?q=1");
		EXPECT_STREQ(http_head_get(p.parse.head, "x-long"),
			     "some value");
		EXPECT_EQ(p.body, "abcdefg");
	}
}

// A message with both Content-Length and Transfer-Encoding could smuggle a
// second request past a proxy that honours the other length.
TEST(Parse, ConflictingLengthsAreRejected)
{
	Parse p(false);

	p.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
	       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n",
	       1000);
	EXPECT_EQ(p.parse.state, HTTP_STATE_ERROR);
}

// Guards against a request that runs without its body, while the body is parsed
// as a request, because it offers another protocol.
TEST(Parse, BodyBelongsToARequestThatOffersAnotherProtocol)
{
	const std::string inside = "GET /inside HTTP/1.1\r\nHost: h\r\n\r\n";
	const std::string length =
		"Content-Length: " + std::to_string(inside.size()) +
		"\r\n\r\n" + inside;
	const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\n" +
				   inside.substr(0, 2) + "\r\n1f\r\n" +
				   inside.substr(2) + "\r\n0\r\n\r\n";

	ASSERT_EQ(inside.size(), 0x1fu + 2);
	for (const std::string &offer :
	     {std::string("Connection: Upgrade, HTTP2-Settings\r\n"
			  "Upgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"),
	      std::string("Connection: Upgrade\r\nUpgrade: websocket\r\n"),
	      std::string("Connection: keep-alive, Upgrade\r\n"
			  "Upgrade: TLS/1.0\r\n"),
	      std::string("Upgrade: h2c\r\n"),
	      std::string("Connection: upgrade\r\n")}) {
		for (const std::string &framing : {length, chunks}) {
			std::string first = "POST /a HTTP/1.1\r\nHost: h\r\n" +
					    offer + framing;

			for (size_t piece :
			     {size_t(1), size_t(7), size_t(4096)}) {
				Parse p(false);

				EXPECT_EQ(p.feed(first + "GET /b HTTP/1.1\r\n",
						 piece),
					  first.size())
					<< first;
				EXPECT_EQ(p.parse.state, HTTP_STATE_COMPLETE);
				EXPECT_EQ(p.body, inside);
				EXPECT_TRUE(p.parse.keep_alive);
				EXPECT_FALSE(http_parse_asks_tunnel(&p.parse));
			}
		}
	}
	Parse tunnel(false);

	tunnel.feed("CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 4096);
	EXPECT_TRUE(http_parse_asks_tunnel(&tunnel.parse));
}

// Guards against bytes of another protocol that are read as the response to a
// request, and against a response that only announces one being lost.
TEST(Parse, ResponseSwitchesToNoOtherProtocol)
{
	for (const char *head :
	     {"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
	      "Upgrade: h2c\r\n\r\n",
	      "HTTP/1.1 101 Switching Protocols\r\n\r\n"}) {
		Parse p(true);

		p.feed(std::string(head) + "HTTP/1.1 200 OK\r\n"
					   "Content-Length: 2\r\n\r\nok",
		       4096);
		EXPECT_EQ(p.parse.state, HTTP_STATE_ERROR) << head;
	}
	Parse p(true);

	p.feed("HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
	       "Content-Length: 2\r\n\r\nok",
	       4096);
	EXPECT_EQ(p.parse.state, HTTP_STATE_COMPLETE);
	EXPECT_EQ(p.body, "ok");
}

// Guards against a length that this side obeys and the next one does not know:
// a target would read the body of a request as requests.
TEST(Parse, NameOfAFieldWithASpaceIsAnError)
{
	for (bool response : {false, true}) {
		for (const char *field :
		     {"Content-Length : 5", "Transfer-Encoding : chunked",
		      "X Y: 1", "X\x01: 1"}) {
			Parse p(response);

			p.feed(std::string(response ? "HTTP/1.1 200 OK\r\n"
						    : "POST / HTTP/1.1\r\n") +
				       field +
				       "\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			       4096);
			EXPECT_EQ(p.parse.state, HTTP_STATE_ERROR) << field;
			EXPECT_FALSE(p.parse.too_large);
		}
	}
}

TEST(Parse, BytesAfterAMessageAreNotConsumed)
{
	Parse p(true);
	std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	EXPECT_EQ(p.feed(first + "HTTP/1.1 500 X\r\n", 1000), first.size());
	EXPECT_EQ(p.parse.state, HTTP_STATE_COMPLETE);
	EXPECT_TRUE(p.parse.keep_alive);
	EXPECT_EQ(p.body, "ok");
	http_parse_reset(&p.parse);
	EXPECT_EQ(p.parse.state, HTTP_STATE_IDLE);
	p.feed("HTTP/1.1 204 No Content\r\n\r\n", 1000);
	EXPECT_EQ(p.parse.state, HTTP_STATE_COMPLETE);
	EXPECT_EQ(p.parse.head->status, 204u);
}

TEST(Parse, ResponseWithoutLengthEndsAtEof)
{
	Parse p(true);

	p.feed("HTTP/1.1 200 OK\r\n\r\npart", 1000);
	EXPECT_EQ(p.parse.state, HTTP_STATE_BODY);
	EXPECT_TRUE(p.parse.until_eof);
	http_parse_eof(&p.parse);
	EXPECT_EQ(p.parse.state, HTTP_STATE_COMPLETE);
}

TEST(Parse, TruncatedResponsesAreErrors)
{
	const char *const cut[] = {
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc",
	};

	for (const char *text : cut) {
		Parse p(true);

		p.feed(text, 1000);
		http_parse_eof(&p.parse);
		EXPECT_EQ(p.parse.state, HTTP_STATE_ERROR) << text;
	}
}

TEST(Parse, OversizedHeadIsReported)
{
	Parse p(false);

	p.parse.max_head = 100;
	p.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n",
	       10);
	EXPECT_EQ(p.parse.state, HTTP_STATE_ERROR);
	EXPECT_TRUE(p.parse.too_large);
}

// A response whose status is none, or whose length of digits is wrong, is not
// forwarded as if it were one.
TEST(Parse, StatusesOutsideTheirRangeAreErrors)
{
	for (const char *status : {"000", "0", "99", "099", "20", "600", "999",
				   "1000", "2000", "2OO", "200x"}) {
		std::string text = std::string("HTTP/1.1 ") + status +
				   " X\r\nContent-Length: 2\r\n\r\nok";

		for (size_t piece = 1; piece <= text.size(); piece++) {
			Parse p(true);

			p.feed(text, piece);
			EXPECT_EQ(p.parse.state, HTTP_STATE_ERROR)
				<< status << " " << piece;
		}
	}
	for (const char *status : {"100", "200", "599"}) {
		Parse p(true);

		p.feed(std::string("HTTP/1.1 ") + status + "\r\n\r\n", 1);
		EXPECT_NE(p.parse.state, HTTP_STATE_ERROR) << status;
	}
}

// Two ends of a TCP connection on the loopback interface.
struct Connection {
	kernel_t kernel;
	GSocket *other;
	http_socket_t sock;

	static void ignore(void *, unsigned)
	{
	}
	Connection()
	{
		errmsg_t err;
		http_listen_t listen = {"127.0.0.1", 0, 1, 0};
		GSocket *listener = http_socket_listen(&listen, &err);
		GSocketAddress *address =
			g_socket_get_local_address(listener, nullptr);
		GSocket *accepted;

		kernel_init(&kernel, CLOCK_REAL, 1);
		other = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, nullptr);
		EXPECT_TRUE(g_socket_connect(other, address, nullptr, nullptr));
		g_socket_set_blocking(listener, TRUE);
		accepted = g_socket_accept(listener, nullptr, nullptr);
		EXPECT_TRUE(http_socket_init(&sock, &kernel.pollset, accepted,
					     ignore, nullptr));
		g_object_unref(accepted);
		g_object_unref(address);
		g_object_unref(listener);
	}
	~Connection()
	{
		http_socket_finish(&sock);
		kernel_finish(&kernel);
		g_object_unref(other);
	}
	void send(const std::string &text) const
	{
		EXPECT_EQ(g_socket_send(other, text.data(), text.size(),
					nullptr, nullptr),
			  (gssize)text.size());
	}
	void reset() const
	{
		struct linger linger = {1, 0};

		setsockopt(g_socket_get_fd(other), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
		g_socket_close(other, nullptr);
	}
	// Returns how the input ends, and what came before.
	socket_read_t read_all(std::string *text)
	{
		char buffer[100];
		socket_read_t result;
		size_t n = 0;

		while ((result = http_socket_read(&sock, buffer, sizeof(buffer),
						  &n)) == SOCKET_DATA)
			text->append(buffer, n);
		return result;
	}
};

// Calls that take the pending error of a reset connection must not make the
// next read return an orderly end.
TEST(Socket, ResetIsNoEndAfterAFailedWrite)
{
	std::string text;
	Connection c;

	c.send("part");
	c.reset();
	http_socket_write(&c.sock, "more", 4);
	EXPECT_TRUE(c.sock.failed);
	EXPECT_EQ(c.read_all(&text), SOCKET_ERROR);
	EXPECT_EQ(text, "part");
}

// Guards against a sender of a large body that stays at the least window.
TEST(Socket, SenderThatFillsItsWindowGetsAWideOne)
{
	char buffer[8192];
	size_t n = 0;
	Connection c;
	windows_t *windows = &c.kernel.pollset.windows;

	*windows = (windows_t){.least = 4096, .pool = 1048576, .taken = 0};
	c.send(std::string(100, 'x'));
	EXPECT_EQ(http_socket_read(&c.sock, buffer, sizeof(buffer), &n),
		  SOCKET_DATA);
	EXPECT_FALSE(c.sock.window.widened);
	c.send(std::string(4096, 'x'));
	EXPECT_EQ(http_socket_read(&c.sock, buffer, sizeof(buffer), &n),
		  SOCKET_DATA);
	EXPECT_TRUE(c.sock.window.widened);
	c.send("more");
	http_socket_check_window(&c.sock);
	http_socket_check_window(&c.sock);
	EXPECT_TRUE(c.sock.window.widened) << "input waits";
	EXPECT_EQ(http_socket_read(&c.sock, buffer, sizeof(buffer), &n),
		  SOCKET_DATA);
	http_socket_check_window(&c.sock);
	http_socket_check_window(&c.sock);
	EXPECT_FALSE(c.sock.window.widened);
	EXPECT_EQ(windows->taken, 0u);
}

TEST(Socket, ResetIsNoEndAfterALookForInput)
{
	for (bool idle : {true, false}) {
		std::string text;
		Connection c;

		c.reset();
		EXPECT_FALSE(idle ? http_socket_is_idle(&c.sock)
				  : http_socket_has_input(&c.sock));
		EXPECT_EQ(c.read_all(&text), SOCKET_ERROR) << idle;
	}
}

TEST(Socket, OrderlyEndIsOne)
{
	std::string text;
	Connection c;

	c.send("whole");
	EXPECT_TRUE(http_socket_has_input(&c.sock));
	g_socket_close(c.other, nullptr);
	http_socket_write(&c.sock, "more", 4);
	EXPECT_EQ(c.read_all(&text), SOCKET_EOF);
	EXPECT_EQ(text, "whole");
	EXPECT_FALSE(http_socket_has_input(&c.sock));
	EXPECT_FALSE(http_socket_is_idle(&c.sock));
}

// Guards against heads of legal size whose fields take far more memory and
// time than their bytes show.
TEST(Parse, HeadOfTooManyFieldsIsReported)
{
	Parse sound(false), last(false), before(false);
	std::string fields;

	for (int i = 0; i < 512; i++)
		fields += "a:b\r\n";
	sound.feed("GET / HTTP/1.1\r\n" + fields + "\r\n", 10);
	EXPECT_EQ(sound.parse.state, HTTP_STATE_COMPLETE);
	EXPECT_GT(http_parse_memory(&sound.parse), 512u * 80);
	last.feed("GET / HTTP/1.1\r\n" + fields + "a:b\r\n\r\n", 10);
	EXPECT_EQ(last.parse.state, HTTP_STATE_ERROR);
	EXPECT_TRUE(last.parse.too_large);
	before.feed("GET / HTTP/1.1\r\n" + fields + "a:b\r\na:b\r\n", 1000);
	EXPECT_EQ(before.parse.state, HTTP_STATE_ERROR);
	EXPECT_TRUE(before.parse.too_large);
	EXPECT_LE(before.parse.head->fields->len, 513u);
}

// Guards against bodies that are nearly all framing, which take processor time
// without end and hold nothing.
TEST(Parse, BodyThatIsMostlyFramingIsReported)
{
	const std::string head = "POST / HTTP/1.1\r\n"
				 "Transfer-Encoding: chunked\r\n\r\n";
	const std::string extension =
		"1;" + std::string(8000, 'e') + "\r\nx\r\n";
	std::string smallest, extensions;
	Parse sound(false), few(false), many(false), endless(false);

	for (int i = 0; i < 100000; i++)
		smallest += "1\r\nx\r\n";
	sound.feed(head + smallest + "0\r\n\r\n", 1000);
	EXPECT_EQ(sound.parse.state, HTTP_STATE_COMPLETE);
	EXPECT_EQ(sound.body.size(), 100000u);
	few.feed(head + extension + "0\r\n\r\n", 1000);
	EXPECT_EQ(few.parse.state, HTTP_STATE_COMPLETE);
	for (int i = 0; i < 10; i++)
		extensions += extension;
	many.feed(head + extensions, 1000);
	EXPECT_EQ(many.parse.state, HTTP_STATE_ERROR);
	EXPECT_TRUE(many.parse.padded);
	endless.feed(head + "1;" + std::string(80000, 'e'), 1000);
	EXPECT_EQ(endless.parse.state, HTTP_STATE_ERROR);
	EXPECT_TRUE(endless.parse.padded);
}

TEST(Head, ListTokensMatchWhole)
{
	http_head_t *head = http_head_response(200);

	http_head_add(head, "Connection", "keep-alive, X-Own;q=1");
	EXPECT_TRUE(http_head_has_token(head, "connection", "x-own"));
	EXPECT_TRUE(http_head_has_token(head, "Connection", "keep-alive"));
	EXPECT_FALSE(http_head_has_token(head, "Connection", "keep"));
	EXPECT_FALSE(http_head_has_token(head, "Connection", "alive"));
	http_head_free(head);
}

} // namespace
