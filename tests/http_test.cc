// Tests of the HTTP parser: messages split at any byte, request smuggling by
// conflicting lengths, and truncated responses.
#include "http/parse.h"

#include <cstring>
#include <gtest/gtest.h>
#include <string>

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
