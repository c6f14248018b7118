// Tests the service "peer": the encoding of frames, the authentication of peers
// and the connections to them.  Peers must receive what was sent, and input
// that is malformed or not authenticated must be rejected without a crash.
#include "peer/codec.h"
#include "peer/conn.h"
#include "peer/kinds.h"
#include "peer/peer.h"
#include "tests/former_frames.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <random>
#include <string>
#include <vector>

namespace
{

member_info_t make_member(const char *incarnation, const char *zone)
{
	member_info_t self = {};

	g_strlcpy(self.incarnation, incarnation, sizeof(self.incarnation));
	g_strlcpy(self.name, "router", sizeof(self.name));
	g_strlcpy(self.availability_zone, zone, sizeof(self.availability_zone));
	g_strlcpy(self.host, "127.0.0.1", sizeof(self.host));
	self.heartbeat = 7;
	return self;
}

void add_item(peer_body_t *body, const char *key, const record_t &record)
{
	store_kv_t kv = {};

	g_strlcpy(kv.key, key, sizeof(kv.key));
	kv.revision = 42;
	kv.record = record;
	g_array_append_val(body->u.conf_items.kvs, kv);
}

void fill_items(peer_body_t *body)
{
	record_t account = {}, service = {}, target = {}, preset = {};
	record_t quarantine = {}, order = {};

	account.kind = RECORD_CLIENT_ACCOUNT;
	g_strlcpy(account.u.client_account.name, "acme", NAME_SIZE);
	account.u.client_account.weight = 3;
	account.u.client_account.key_count = 1;
	g_strlcpy(account.u.client_account.keys[0].hash, "ab12", HASH_SIZE);
	service.kind = RECORD_SERVICE;
	g_strlcpy(service.u.service.name, "draft", NAME_SIZE);
	service.u.service.kind = SERVICE_PLAIN;
	service.u.service.max_body = 65536;
	target.kind = RECORD_TARGET;
	g_strlcpy(target.u.target.name, "t1", NAME_SIZE);
	target.u.target.port = 65535;
	target.u.target.draining = true;
	preset.kind = RECORD_PRESET;
	preset.u.preset.in_force = PRESET_PEAK;
	preset.u.preset.op.seq = 5;
	quarantine.kind = RECORD_QUARANTINE;
	g_strlcpy(quarantine.u.quarantine.fingerprint, "ff", HASH_SIZE);
	quarantine.u.quarantine.expires_ms = INT64_MAX;
	order.kind = RECORD_ORDER;
	g_strlcpy(order.u.order.target, "t1", NAME_SIZE);
	order.u.order.kind = ORDER_ROLE;
	g_strlcpy(order.u.order.subject, "prefill", NAME_SIZE);
	order.u.order.number = INT64_MAX;
	add_item(body, "conf/account/acme", account);
	add_item(body, "conf/service/draft", service);
	add_item(body, "conf/target/t1", target);
	add_item(body, "conf/preset", preset);
	add_item(body, "conf/quarantine/ff", quarantine);
	add_item(body, "conf/order/t1", order);
}

void fill_store_items(peer_body_t *body)
{
	store_item_t items[3] = {};

	g_strlcpy(items[0].key, "fleet/conf", sizeof(items[0].key));
	items[0].revision = 42;
	items[0].value = g_bytes_new("{\0}", 3);
	g_strlcpy(items[1].key, "fleet/target/i-1", sizeof(items[1].key));
	items[1].revision = 43;
	g_strlcpy(items[2].key, "fleet/target/i-2", sizeof(items[2].key));
	items[2].value = g_bytes_new("", 0);
	g_array_append_vals(body->u.store_items.items, items, 3);
}

peer_body_t *make_body(int kind)
{
	peer_body_t *body = peer_body_new(static_cast<peer_kind_t>(kind));
	member_info_t other = make_member("b", "z2");
	bill_t bill = {};
	holding_t holding = {};

	switch (body->kind) {
	case PEER_HEARTBEAT:
		body->u.heartbeat.conf_revision = 9;
		body->u.heartbeat.self = make_member("a", "z1");
		g_array_append_val(body->u.heartbeat.members, other);
		break;
	case PEER_CONF_ITEMS:
		body->u.conf_items.up_to_revision = 42;
		fill_items(body);
		break;
	case PEER_BILL_COPY:
		body->u.bill_copy.session = 3;
		body->u.bill_copy.reset = true;
		bill.seq = UINT64_MAX;
		bill.tokens = 1234567;
		g_strlcpy(bill.idem_key, "key-\xc3\xa9", IDEM_KEY_SIZE);
		g_array_append_val(body->u.bill_copy.bills, bill);
		break;
	case PEER_COPY_ACK:
		body->u.copy_ack.seq = 300;
		body->u.copy_ack.rejected = true;
		break;
	case PEER_SLICE_REQUEST:
	case PEER_SLICE_REPLY:
		g_strlcpy(body->u.slice.budget, "main", NAME_SIZE);
		body->u.slice.tokens = INT64_MAX;
		break;
	case PEER_REFILL_REQUEST:
		g_strlcpy(body->u.refill_request.client_account, "acme",
			  NAME_SIZE);
		body->u.refill_request.tokens = INT64_MAX;
		body->u.refill_request.least = 17;
		break;
	case PEER_REFILL_REPLY:
		g_strlcpy(body->u.refill_reply.client_account, "acme",
			  NAME_SIZE);
		body->u.refill_reply.tokens = 17;
		body->u.refill_reply.most = INT64_MAX;
		body->u.refill_reply.spent = true;
		body->u.refill_reply.later = true;
		break;
	case PEER_PLACED:
		g_strlcpy(body->u.placed.target, "i-1", NAME_SIZE);
		body->u.placed.tokens = 11992;
		break;
	case PEER_PART_REPORT:
		body->u.part_report.event = PART_EVENT_HELD;
		body->u.part_report.part = UINT64_MAX;
		body->u.part_report.request = 70000;
		g_strlcpy(body->u.part_report.target, "i-1", NAME_SIZE);
		body->u.part_report.weight = 50;
		body->u.part_report.age_ms = 700;
		body->u.part_report.left_ms = 600000;
		body->u.part_report.strikes = 3;
		break;
	case PEER_PART_SET:
		body->u.part_set.event = PART_EVENT_HELD;
		part_set_add(&body->u.part_set.set, UINT64_MAX);
		part_set_add(&body->u.part_set.set, 2);
		body->u.part_set.age_ms = 700;
		body->u.part_set.left_ms = 600000;
		body->u.part_set.strikes = 3;
		body->u.part_set.decided = {70000, 70};
		body->u.part_set.crashes = {2, {{UINT64_MAX, 70}, {1, 500}}};
		break;
	case PEER_TARGET_LEAVING:
		g_strlcpy(body->u.leaving.target, "i-1", NAME_SIZE);
		body->u.leaving.started_ms = 1764900000000;
		body->u.leaving.age_us = 1200;
		break;
	case PEER_QUARANTINE:
		memset(body->u.quarantine.fingerprint, 'a', HASH_SIZE - 1);
		body->u.quarantine.crashes = 3;
		body->u.quarantine.age_ms = 700;
		body->u.quarantine.left_ms = 600000;
		break;
	case PEER_TARGET_DOUBTED:
		g_strlcpy(body->u.doubted.target, "i-1", NAME_SIZE);
		body->u.doubted.started_ms = 1764900000000;
		break;
	case PEER_TARGET_FULL:
		g_strlcpy(body->u.full.target, "i-1", NAME_SIZE);
		body->u.full.started_ms = 1764900000000;
		body->u.full.pause_us = 400000;
		break;
	case PEER_OVERLOAD:
		body->u.overload.behind = true;
		break;
	case PEER_TARGET_LIMIT:
		g_strlcpy(body->u.limit.target, "i-1", NAME_SIZE);
		body->u.limit.limit = {LIMIT_STATED, UINT32_MAX};
		body->u.limit.age_us = 2500;
		break;
	case PEER_PERMIT_REQUEST:
		g_strlcpy(body->u.permit_request.target, "i-1", NAME_SIZE);
		body->u.permit_request.ask = UINT64_MAX;
		body->u.permit_request.wait_us = 250000;
		body->u.permit_request.priority = 2;
		body->u.permit_request.limit = {LIMIT_STATED, 2700};
		body->u.permit_request.age_us = 80000;
		break;
	case PEER_PERMIT_REPLY:
		g_strlcpy(body->u.permit_reply.target, "i-1", NAME_SIZE);
		body->u.permit_reply.ask = 4294967297;
		body->u.permit_reply.admitted = true;
		body->u.permit_reply.delay_us = 120000;
		body->u.permit_reply.limit = {LIMIT_NONE, 0};
		body->u.permit_reply.age_us = 1;
		break;
	case PEER_CONF_OFFER:
	case PEER_CONF_REQUEST:
		body->u.conf_offer.version = 1764900000000;
		break;
	case PEER_HOLDINGS_PULL:
		body->u.holdings.era = 3;
		break;
	case PEER_HOLDINGS:
		body->u.holdings.era = INT64_MAX;
		body->u.holdings.complete = true;
		body->u.holdings.in_store = true;
		g_strlcpy(holding.client_account, "acme", NAME_SIZE);
		g_strlcpy(holding.holder.node, "n1", NAME_SIZE);
		g_strlcpy(holding.holder.incarnation, "run-1",
			  INCARNATION_SIZE);
		holding.holder.granted = INT64_MAX;
		holding.holder.state = GRANT_RETURNED;
		g_array_append_val(body->u.holdings.list, holding);
		break;
	case PEER_STREAM_BEGAN:
	case PEER_STREAM_QUERY:
	case PEER_STREAM_ANSWER:
		g_strlcpy(body->u.stream.request_id, "9c41d07be2a35f68",
			  REQUEST_ID_SIZE);
		body->u.stream.lookup = 4294967298;
		body->u.stream.answer = STREAM_SOLE_VERSION;
		g_strlcpy(body->u.stream.origin.service, "s", NAME_SIZE);
		g_strlcpy(body->u.stream.origin.account, "acme", NAME_SIZE);
		g_strlcpy(body->u.stream.origin.version, "v1.1", NAME_SIZE);
		break;
	case PEER_STORE_PULL:
		body->u.store_pull.after = INT64_MAX;
		break;
	case PEER_STORE_ITEMS:
		body->u.store_items.after = 41;
		body->u.store_items.up_to = 43;
		body->u.store_items.live = true;
		body->u.store_items.partial = true;
		fill_store_items(body);
		break;
	case PEER_CRASH_REPORT:
		g_strlcpy(body->u.crash_report.fingerprint, "ff", HASH_SIZE);
		body->u.crash_report.seq = 70000;
		break;
	default:
		break;
	}
	return body;
}

std::string encode(peer_frame_t *frame)
{
	GByteArray *out = g_byte_array_new();
	errmsg_t err = {};

	EXPECT_TRUE(peer_encode(frame, out, &err)) << err.text;
	std::string bytes(reinterpret_cast<char *>(out->data), out->len);
	g_byte_array_unref(out);
	return bytes;
}

bool decode(const std::string &value, peer_frame_t *frame)
{
	errmsg_t err = {};

	return peer_decode(reinterpret_cast<const uint8_t *>(value.data()),
			   value.size(), frame, &err);
}

std::vector<std::string> sample_frames()
{
	std::vector<std::string> all;

	for (int kind = 0; kind < PEER_KIND_COUNT; kind++) {
		peer_frame_t frame = {FRAME_BODY, 0, {}};

		frame.u.body = make_body(kind);
		all.push_back(encode(&frame));
		peer_frame_clear(&frame);
	}
	peer_frame_t hello = {FRAME_HELLO, 0, {}};
	peer_frame_t proof = {FRAME_PROOF, 0, {}};
	peer_frame_t ping = {FRAME_PING, 0, {}};

	hello.u.hello.self = make_member("a", "z1");
	all.push_back(encode(&hello));
	all.push_back(encode(&proof));
	all.push_back(encode(&ping));
	return all;
}

// Guards against fields that are lost or swapped by the encoding, which would
// go unnoticed for long.
TEST(Codec, RoundTripsEveryKind)
{
	for (const std::string &bytes : sample_frames()) {
		peer_frame_t frame;

		ASSERT_TRUE(
			decode(bytes.substr(PEER_FRAME_HEADER_SIZE), &frame));
		EXPECT_EQ(encode(&frame), bytes);
		peer_frame_clear(&frame);
	}
	peer_frame_t frame;
	ASSERT_TRUE(decode(sample_frames()[PEER_CONF_ITEMS].substr(4), &frame));
	GArray *kvs = frame.u.body->u.conf_items.kvs;
	ASSERT_EQ(kvs->len, 6u);
	const record_t *account = &g_array_index(kvs, store_kv_t, 0).record;
	EXPECT_STREQ(account->u.client_account.keys[0].hash, "ab12");
	const record_t *target = &g_array_index(kvs, store_kv_t, 2).record;
	EXPECT_EQ(target->u.target.port, 65535);
	EXPECT_TRUE(target->u.target.draining);
	const record_t *order = &g_array_index(kvs, store_kv_t, 5).record;
	EXPECT_EQ(order->u.order.kind, ORDER_ROLE);
	EXPECT_STREQ(order->u.order.subject, "prefill");
	EXPECT_EQ(order->u.order.number, INT64_MAX);
	peer_frame_clear(&frame);
}

// A deleted key must not be decoded as an empty value, nor an empty value as a
// deleted key.
TEST(Codec, StoreItemsKeepDeletionsAndValues)
{
	peer_frame_t frame;
	const GArray *items;

	ASSERT_TRUE(decode(sample_frames()[PEER_STORE_ITEMS].substr(
				   PEER_FRAME_HEADER_SIZE),
			   &frame));
	EXPECT_EQ(frame.u.body->u.store_items.after, 41);
	EXPECT_EQ(frame.u.body->u.store_items.up_to, 43);
	EXPECT_TRUE(frame.u.body->u.store_items.live);
	EXPECT_TRUE(frame.u.body->u.store_items.partial);
	items = frame.u.body->u.store_items.items;
	ASSERT_EQ(items->len, 3u);
	const store_item_t *item = &g_array_index(items, store_item_t, 0);
	EXPECT_STREQ(item[0].key, "fleet/conf");
	EXPECT_EQ(item[0].revision, 42);
	EXPECT_EQ(g_bytes_get_size(item[0].value), 3u);
	EXPECT_EQ(item[1].value, nullptr);
	ASSERT_NE(item[2].value, nullptr);
	EXPECT_EQ(g_bytes_get_size(item[2].value), 0u);
	peer_frame_clear(&frame);
}

// A corrupted frame must be rejected or decode to a value within the limits.
TEST(Codec, SurvivesFuzzedFrames)
{
	std::mt19937 random(20260101);
	std::vector<std::string> all = sample_frames();
	int accepted = 0;

	for (int round = 0; round < 60000; round++) {
		std::string value = all[random() % all.size()].substr(4);
		int edits = 1 + (int)(random() % 4);
		peer_frame_t frame;

		for (int i = 0; i < edits; i++)
			value[random() % value.size()] = (char)random();
		if (random() % 4 == 0)
			value.resize(random() % (value.size() + 1));
		if (!decode(value, &frame))
			continue;
		accepted++;
		encode(&frame); /* must be encodable again */
		peer_frame_clear(&frame);
	}
	EXPECT_GT(accepted, 0);
}

// A frame of a few bytes must not allocate gigabytes, and the nesting of values
// is limited.
TEST(Codec, RefusesForgedCountsAndTypes)
{
	peer_frame_t frame;
	const std::string forged[] = {
		std::string("\xdd\xff\xff\xff\xff", 5),
		std::string("\xdf\xff\xff\xff\xff", 5),
		std::string(100000, '\x91'),
		std::string("\x92\x01\x02\x00", 4), /* one extra byte */
		std::string("\x92\x02\x02", 3), /* version 2 */
		std::string("\x92\x01\x0f", 3), /* kind 15 */
		std::string("\x93\x01\x12\xff", 4), /* revision -1 */
		std::string("\x93\x01\x12\xa1\x31", 5), /* revision "1" */
		std::string("\x93\x01\x12\xc0", 4), /* revision nil */
		"",
	};

	for (const std::string &value : forged)
		EXPECT_FALSE(decode(value, &frame));
	EXPECT_TRUE(decode(std::string("\x93\x01\x12\x05", 4), &frame));
	peer_frame_clear(&frame);
}

std::string from_hex(const char *hex)
{
	std::string bytes;

	for (; hex[0] != '\0'; hex += 2)
		bytes += (char)(g_ascii_xdigit_value(hex[0]) << 4 |
				g_ascii_xdigit_value(hex[1]));
	return bytes;
}

std::string with_header(const std::string &value)
{
	uint32_t len = GUINT32_TO_BE((uint32_t)value.size());

	return std::string((const char *)&len, sizeof(len)) + value;
}

peer_frame_t former_hello_frame(uint64_t kinds)
{
	peer_frame_t hello = {FRAME_HELLO, 0, {}};

	hello.u.hello.self = make_member("former", "z1");
	hello.u.hello.kinds = kinds;
	for (int i = 0; i < PEER_NONCE_SIZE; i++)
		hello.u.hello.nonce[i] = (uint8_t)(i + 1);
	return hello;
}

// Instances of release 5a054ba run beside this build while instances are
// replaced, and close a connection on which they receive anything that they
// would not encode the same way.
TEST(Codec, EncodesAndDecodesAsTheFormerRelease)
{
	ASSERT_EQ(G_N_ELEMENTS(former_bodies), (gsize)PEER_KINDS_FORMER);
	for (int kind = 0; kind < PEER_KINDS_FORMER; kind++) {
		std::string former = from_hex(former_bodies[kind]);
		peer_frame_t frame = {FRAME_BODY, 0, {}};

		frame.u.body = make_body(kind);
		EXPECT_EQ(encode(&frame), former) << kind;
		peer_frame_clear(&frame);
		ASSERT_TRUE(
			decode(former.substr(PEER_FRAME_HEADER_SIZE), &frame))
			<< kind;
		ASSERT_EQ(frame.kind, FRAME_BODY);
		EXPECT_EQ(frame.u.body->kind, (peer_kind_t)kind);
		EXPECT_EQ(frame.extra_fields, 0u);
		EXPECT_EQ(encode(&frame), former) << kind;
		peer_frame_clear(&frame);
	}
	peer_frame_t proof = {FRAME_PROOF, 0, {}};
	peer_frame_t ping = {FRAME_PING, 0, {}};

	for (int i = 0; i < PEER_PROOF_SIZE; i++)
		proof.u.proof[i] = (uint8_t)(i + 1);
	EXPECT_EQ(encode(&proof), from_hex(former_proof));
	EXPECT_EQ(encode(&ping), from_hex(former_ping));
}

// The former release accepts a hello only with the fields that it knows itself,
// and any number as the heartbeat.  A hello without a statement is the one that
// it sends.
TEST(Codec, HelloStatesKindsInAFieldOfTheFormerRelease)
{
	const uint64_t own = peer_kinds_own();
	std::string plain = from_hex(former_hello);
	peer_frame_t hello = former_hello_frame(0), decoded;

	EXPECT_EQ(encode(&hello), plain);
	hello = former_hello_frame(UINT64_MAX);
	EXPECT_EQ(encode(&hello), from_hex(former_hello_highest));
	hello = former_hello_frame(own);
	std::string stated = encode(&hello);
	/* The heartbeat is the last field; 0 is encoded as a single byte. */
	size_t same = plain.size() - 1 - PEER_FRAME_HEADER_SIZE;
	EXPECT_EQ(stated.substr(PEER_FRAME_HEADER_SIZE, same),
		  plain.substr(PEER_FRAME_HEADER_SIZE, same));
	ASSERT_TRUE(decode(stated.substr(PEER_FRAME_HEADER_SIZE), &decoded));
	EXPECT_EQ(decoded.u.hello.kinds, own);
	EXPECT_NE(own, 0u);
	ASSERT_TRUE(decode(plain.substr(PEER_FRAME_HEADER_SIZE), &decoded));
	EXPECT_EQ(decoded.u.hello.kinds, 0u);
}

// A kind that a peer does not know would cost the connection to it.
TEST(Kinds, OnlyFormerKindsAreKnownWithoutAStatement)
{
	for (int kind = 0; kind < PEER_KINDS_FORMER; kind++)
		EXPECT_TRUE(peer_kind_is_known(0, (peer_kind_t)kind));
	for (int kind = PEER_KINDS_FORMER; kind < PEER_KIND_COUNT; kind++) {
		EXPECT_FALSE(peer_kind_is_known(0, (peer_kind_t)kind));
		EXPECT_TRUE(peer_kind_is_known(peer_kinds_own(),
					       (peer_kind_t)kind));
	}
	EXPECT_FALSE(peer_kind_is_known(peer_kinds_own(), PEER_KIND_COUNT));
	EXPECT_FALSE(peer_kind_is_known(PEER_KINDS_SKIPS_UNKNOWN,
					(peer_kind_t)PEER_KINDS_FORMER));
	EXPECT_TRUE(peer_kind_is_known(2, (peer_kind_t)PEER_KINDS_FORMER));
	EXPECT_FALSE(
		peer_kind_is_known(2, (peer_kind_t)(PEER_KINDS_FORMER + 1)));
}

// Appends a field to the structure whose array or map header is at a position,
// and whose values end at another one.
std::string add_field(std::string value, size_t at, size_t end,
		      const std::string &field)
{
	unsigned char header = (unsigned char)value[at];

	value.insert(end, field);
	if ((header & 0x0f) < 15)
		value[at] = (char)(header + 1);
	else
		value.replace(at, 1, std::string("\xdc\x00\x10", 3));
	return value;
}

void expect_skipped(const std::string &value, const std::string &plain)
{
	peer_frame_t frame;

	ASSERT_TRUE(decode(value, &frame));
	EXPECT_EQ(frame.extra_fields, 1u);
	EXPECT_EQ(encode(&frame), with_header(plain));
	peer_frame_clear(&frame);
}

// A newer build that adds a field to a frame must not lose its connections to
// instances of this one.
TEST(Codec, SkipsAdditionalFields)
{
	std::vector<std::string> all = sample_frames();
	const std::string field("\x92\xa1x\xcd\x01\x00", 6);

	for (int kind = 0; kind < PEER_KIND_COUNT; kind++) {
		std::string value = all[(size_t)kind].substr(4);

		expect_skipped(add_field(value, 0, value.size(), field), value);
	}
	/* At the end of a member, of a stored item and of a record's map. */
	std::string value = all[PEER_HEARTBEAT].substr(4);
	expect_skipped(add_field(value,
				 value.rfind("\x99\xa1"
					     "b"),
				 value.size(), field),
		       value);
	value = all[PEER_STORE_ITEMS].substr(4);
	expect_skipped(add_field(value,
				 value.rfind("\x94\xb0"
					     "fleet"),
				 value.size(), field),
		       value);
	value = all[PEER_CONF_ITEMS].substr(4);
	expect_skipped(add_field(value,
				 value.rfind("\x86\xa6"
					     "target"),
				 value.size(), "\xa1x" + field),
		       value);
	/* A ping has no fields. */
	expect_skipped(std::string("\x93\x01\x02\x05", 4),
		       std::string("\x92\x01\x02", 3));
}

// What is skipped must be well formed, and the handshake, which anybody can
// send, remains strict.
TEST(Codec, RefusesMalformedFramesOfNewerBuilds)
{
	peer_frame_t frame;
	const std::string bad[] = {
		std::string("\x92\x01\x12", 3), /* a field is missing */
		std::string("\x93\x01\x12\xa0", 4), /* a text, not a number */
		std::string("\x94\x01\x12\xa0\x01", 5), /* and one more */
		std::string("\x92\x02\xcd\x10\x00", 5), /* version 2 */
		std::string("\x93\x01\xcd\x10\x00", 5), /* incomplete */
		std::string("\x93\x01\xcd\x10\x00\xc0", 6), /* nil */
		std::string("\x92\x01\x03", 3), /* kind 3 of the handshake */
	};

	for (const std::string &value : bad)
		EXPECT_FALSE(decode(value, &frame));
	for (const char *hex : {former_hello, former_proof}) {
		std::string value = from_hex(hex).substr(4);

		ASSERT_TRUE(decode(value, &frame));
		EXPECT_FALSE(decode(add_field(value, 0, value.size(), "\x05"),
				    &frame));
	}
	std::string value = from_hex(former_hello).substr(4);
	EXPECT_FALSE(decode(add_field(value,
				      value.find("\x99\xa6"
						 "former"),
				      value.size(), "\x05"),
			    &frame));
}

// A frame of a kind that only a newer build knows is told from a malformed one.
TEST(Codec, TellsUnknownKinds)
{
	peer_frame_t frame;

	ASSERT_TRUE(decode(std::string("\x94\x01\xcd\x10\x00\xa1x\x91\x01", 9),
			   &frame));
	EXPECT_EQ(frame.kind, FRAME_UNKNOWN);
	EXPECT_EQ(frame.u.unknown, 4096u);
	peer_frame_clear(&frame);
}

// TCP can split a frame at any byte.
TEST(Codec, FindsFramesAtAnySplit)
{
	std::string bytes = sample_frames()[PEER_HEARTBEAT];
	size_t len = 0;

	for (size_t have = 0; have < bytes.size(); have++)
		ASSERT_EQ(peer_frame_find((const uint8_t *)bytes.data(), have,
					  &len),
			  FRAME_PARTIAL);
	EXPECT_EQ(peer_frame_find((const uint8_t *)bytes.data(), bytes.size(),
				  &len),
		  FRAME_COMPLETE);
	EXPECT_EQ(len, bytes.size() - PEER_FRAME_HEADER_SIZE);
	EXPECT_EQ(peer_frame_find((const uint8_t *)"\x00\x11\x00\x01", 4, &len),
		  FRAME_BAD);
}

// A message with one item of the store with the largest key and value.
peer_body_t *largest_item()
{
	peer_body_t *body = peer_body_new(PEER_STORE_ITEMS);
	store_item_t item = {};

	memset(item.key, 'k', 200);
	item.revision = INT64_MAX;
	item.value = g_bytes_new_take(g_malloc0(1048576), 1048576);
	g_array_append_val(body->u.store_items.items, item);
	return body;
}

// Guards against a configuration that peers never pass on, because it is as
// large as the store allows.
TEST(Codec, LargestValueOfTheStoreFitsInAFrame)
{
	peer_frame_t frame = {FRAME_BODY, 0, {}}, decoded;
	std::string bytes;

	frame.u.body = largest_item();
	bytes = encode(&frame);
	peer_frame_clear(&frame);
	ASSERT_GT(bytes.size(), 1048576u);
	ASSERT_TRUE(decode(bytes.substr(PEER_FRAME_HEADER_SIZE), &decoded));
	EXPECT_EQ(g_bytes_get_size(
			  g_array_index(decoded.u.body->u.store_items.items,
					store_item_t, 0)
				  .value),
		  1048576u);
	peer_frame_clear(&decoded);
}

struct Router {
	kernel_t kernel;
	peer_t peer;
	int up = 0, down = 0, crash_reports = 0, heartbeats = 0;
	int leaves_to_member = 0, leaves_to_prepaid = 0;
	int connections_to_proxy = 0;
	bool takes_patches = false; // the last peer that connected
	std::string last_sender;

	static void receive_prepaid(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_PEER_RECEIVED &&
		    msg->u.peer.body->kind == PEER_LEAVE)
			static_cast<Router *>(self)->leaves_to_prepaid++;
	}

	static void receive_proxy(void *self, msg_t *msg)
	{
		if (msg->kind == MSG_PEER_UP)
			static_cast<Router *>(self)->connections_to_proxy++;
	}

	static void receive(void *self, msg_t *msg)
	{
		auto *router = static_cast<Router *>(self);

		if (msg->kind == MSG_PEER_UP) {
			router->up++;
			router->takes_patches = msg->u.peer_addr.takes_patches;
		}
		if (msg->kind == MSG_PEER_DOWN)
			router->down++;
		if (msg->kind != MSG_PEER_RECEIVED)
			return;
		router->last_sender = msg->u.peer.incarnation;
		if (msg->u.peer.body->kind == PEER_CRASH_REPORT)
			router->crash_reports++;
		if (msg->u.peer.body->kind == PEER_HEARTBEAT)
			router->heartbeats++;
		if (msg->u.peer.body->kind == PEER_LEAVE)
			router->leaves_to_member++;
	}
	Router(const char *incarnation, const char *key,
	       int64_t ping_interval = 0)
	{
		peer_opts_t opts = {};

		kernel_init(&kernel, CLOCK_REAL, 0);
		kernel_register(&kernel, "member", receive, this);
		kernel_register(&kernel, "request", receive, this);
		kernel_register(&kernel, "prepaid", receive_prepaid, this);
		kernel_register(&kernel, "proxy", receive_proxy, this);
		opts.self = make_member(incarnation, "z1");
		g_strlcpy(opts.listen_host, "127.0.0.1", HOST_SIZE);
		g_strlcpy(opts.key, key, sizeof(opts.key));
		opts.ping_interval = ping_interval;
		EXPECT_EQ(peer_init(&peer, &kernel, &opts), 0) << peer.err.text;
		kernel_start(&kernel);
	}
	~Router()
	{
		peer_finish(&peer);
		kernel_finish(&kernel);
	}
	void connect(const char *incarnation, const Router &to)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_CONNECT;
		g_strlcpy(msg.u.peer_addr.incarnation, incarnation,
			  INCARNATION_SIZE);
		g_strlcpy(msg.u.peer_addr.host, "127.0.0.1", HOST_SIZE);
		msg.u.peer_addr.port = peer_port(&to.peer);
		kernel_post(&kernel, HANDLE_NONE, peer.svc, &msg);
	}
	void send(const char *incarnation, int kind)
	{
		send_body(incarnation, make_body(kind));
	}
	void send_body(const char *incarnation, peer_body_t *body)
	{
		msg_t msg = {};

		msg.kind = MSG_PEER_SEND;
		g_strlcpy(msg.u.peer.incarnation, incarnation,
			  INCARNATION_SIZE);
		msg.u.peer.body = body;
		kernel_post(&kernel, HANDLE_NONE, peer.svc, &msg);
	}
	uint64_t counter(counter_t id) const
	{
		return kernel.metrics->counters[id];
	}
};

// Waits for a condition, not for a fixed time; the limit of 60 s is reached
// only by a test that fails.
template <typename Condition> bool wait_for(Condition condition)
{
	gint64 limit = g_get_monotonic_time() + 60 * G_USEC_PER_SEC;

	while (!condition() && g_get_monotonic_time() < limit)
		g_main_context_iteration(NULL, TRUE);
	return condition();
}

const char shared_key[] = "0123456789abcdef";

// When both routers dial at the same time, one connection must remain, and
// bodies must reach the services that handle their kinds in both directions.
TEST(Peer, ExchangesBodiesOverOneConnection)
{
	Router a("a", shared_key), b("b", shared_key);

	a.connect("", b);
	b.connect("a", a);
	ASSERT_TRUE(wait_for([&] {
		return a.up == 1 && b.up == 1 &&
		       table_count(&a.peer.conns) == 1 &&
		       table_count(&b.peer.conns) == 1;
	}));
	/* A frame sent while the other connection is closed may be lost. */
	ASSERT_TRUE(wait_for([&] {
		a.send("b", PEER_CRASH_REPORT);
		b.send("", PEER_CRASH_REPORT);
		return a.crash_reports > 0 && b.crash_reports > 0;
	}));
	EXPECT_EQ(b.last_sender, "a");
	EXPECT_EQ(a.up, 1);
	EXPECT_EQ(a.down + b.down, 0);
}

// Guards against tokens that are sent to an instance that is about to stop.
TEST(Peer, LeaveReachesMemberAndPrepaid)
{
	Router a("a", shared_key), b("b", shared_key);

	a.connect("", b);
	ASSERT_TRUE(wait_for([&] { return a.up == 1 && b.up == 1; }));
	ASSERT_TRUE(wait_for([&] {
		a.send("", PEER_LEAVE);
		return b.leaves_to_member > 0;
	}));
	EXPECT_EQ(b.leaves_to_prepaid, b.leaves_to_member);
}

// A SYN to an instance without power is lost, and TCP retransmits it only after
// 1 s.  The first attempt must time out earlier, so that the instance is
// reached soon after its power returns; later attempts must have more time.
TEST(Peer, FirstConnectAttemptsTimeOutSoon)
{
	Router a("a", shared_key);
	GSocket *listener =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *any =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);
	std::vector<GSocket *> pending;
	GSocketAddress *address;
	uint32_t cursor = 0;
	msg_t msg = {};
	dialler_t *dialler;

	/* Nothing accepts: SYNs are dropped once the queue is full. */
	ASSERT_TRUE(g_socket_bind(listener, any, TRUE, NULL));
	g_socket_set_listen_backlog(listener, 0);
	ASSERT_TRUE(g_socket_listen(listener, NULL));
	address = g_socket_get_local_address(listener, NULL);
	for (int i = 0; i < 4; i++) {
		pending.push_back(g_socket_new(G_SOCKET_FAMILY_IPV4,
					       G_SOCKET_TYPE_STREAM,
					       G_SOCKET_PROTOCOL_TCP, NULL));
		g_socket_set_blocking(pending.back(), FALSE);
		g_socket_connect(pending.back(), address, NULL, NULL);
	}
	msg.kind = MSG_PEER_CONNECT;
	g_strlcpy(msg.u.peer_addr.host, "127.0.0.1", HOST_SIZE);
	msg.u.peer_addr.port =
		g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
	kernel_post(&a.kernel, HANDLE_NONE, a.peer.svc, &msg);
	ASSERT_TRUE(wait_for([&] {
		cursor = 0;
		dialler = static_cast<dialler_t *>(
			table_next(&a.peer.diallers, &cursor, NULL));
		return dialler != nullptr && dialler->connecting;
	}));
	EXPECT_LE(dialler->connect_deadline - kernel_now(&a.kernel),
		  300 * USEC_PER_MSEC);
	ASSERT_TRUE(wait_for([&] { return dialler->backoff >= 400000; }));
	ASSERT_TRUE(wait_for([&] { return dialler->connecting; }));
	EXPECT_GE(dialler->connect_deadline - kernel_now(&a.kernel),
		  USEC_PER_SEC);
	for (GSocket *each : pending)
		g_object_unref(each);
	g_object_unref(listener);
	g_object_unref(any);
	g_object_unref(address);
}

// Guards against wake-ups that grow with the square of the fleet: an idle peer
// of a gateway is pinged rarely, and lost connections are left to the operating
// system.
TEST(Peer, IdlePeersArePingedAtTheirInterval)
{
	Router a("r1", shared_key, 50 * USEC_PER_MSEC);
	Router b("r2", shared_key, 50 * USEC_PER_MSEC);
	Router c("r3", shared_key, 3600 * USEC_PER_SEC);
	Router d("r4", shared_key, 3600 * USEC_PER_SEC);
	uint64_t frames;
	uint32_t cursor = 0;
	const conn_t *conn;

	a.connect("r2", b);
	c.connect("r4", d);
	ASSERT_TRUE(wait_for([&] {
		return g_hash_table_size(a.peer.active) == 1 &&
		       g_hash_table_size(c.peer.active) == 1 &&
		       g_hash_table_size(d.peer.active) == 1;
	}));
	frames = d.counter(COUNTER_PEER_FRAMES_IN);
	ASSERT_TRUE(wait_for(
		[&] { return b.counter(COUNTER_PEER_FRAMES_IN) >= 12; }));
	EXPECT_EQ(d.counter(COUNTER_PEER_FRAMES_IN), frames);
	EXPECT_EQ(g_hash_table_size(c.peer.active), 1u);
	conn = static_cast<conn_t *>(table_next(&c.peer.conns, &cursor, NULL));
	ASSERT_NE(conn, nullptr);
	for (int option : {TCP_KEEPIDLE, TCP_KEEPINTVL, TCP_KEEPCNT}) {
		gint value = 0;

		ASSERT_TRUE(g_socket_get_option(conn->socket, IPPROTO_TCP,
						option, &value, NULL));
		EXPECT_LE(value, 2) << option;
	}
}

// A router with a different key must not become a peer.
TEST(Peer, RefusesWrongKey)
{
	Router a("a", shared_key), b("b", "0123456789abcdeF");

	a.connect("b", b);
	ASSERT_TRUE(wait_for([&] {
		return a.counter(COUNTER_PEER_AUTH_FAILED) +
			       b.counter(COUNTER_PEER_AUTH_FAILED) >
		       0;
	}));
	EXPECT_EQ(a.up + b.up, 0);
}

// The sender of a body is the peer that was authenticated.  A heartbeat that
// names another incarnation must close the connection, which is then dialled
// again.
TEST(Peer, ClosesAndRedialsAfterBadFrame)
{
	Router a("a", shared_key), b("b", shared_key);

	b.connect("a", a);
	ASSERT_TRUE(wait_for([&] { return a.up == 1 && b.up == 1; }));
	b.send("a", PEER_HEARTBEAT); /* its sender is "a", not "b" */
	ASSERT_TRUE(wait_for([&] { return a.up == 2 && b.up == 2; }));
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_BAD), 1u);
	EXPECT_EQ(a.heartbeats, 0);
	EXPECT_EQ(a.down, 1);
}

// Quarantines sent on a connection that the peer had lost must be sent again.
TEST(Peer, ConnectionThatReplacesALostOneIsAnnouncedToTheProxy)
{
	Router a("a", shared_key), b("b", shared_key), again("b", shared_key);

	b.connect("a", a);
	ASSERT_TRUE(wait_for([&] { return a.up == 1 && b.up == 1; }));
	again.connect("a", a);
	ASSERT_TRUE(wait_for([&] { return again.up == 1; }));
	for (int i = 0; i < 20; i++) {
		g_usleep(1000);
		g_main_context_iteration(NULL, FALSE);
	}
	EXPECT_EQ(a.connections_to_proxy, 2);
}

int connect_raw(const Router &to)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *stream = g_socket_client_connect_to_host(
		client, "127.0.0.1", peer_port(&to.peer), NULL, NULL);
	int fd = dup(g_socket_get_fd(g_socket_connection_get_socket(stream)));

	g_object_unref(stream);
	g_object_unref(client);
	return fd;
}

// A peer that dials a router and is played by the test, with the hello of the
// former release and a statement of kinds.
struct RawPeer {
	Router &to;
	int fd;
	std::string input;

	RawPeer(Router &router, uint64_t kinds)
	    : to(router), fd(connect_raw(router))
	{
		peer_frame_t hello = former_hello_frame(kinds);
		peer_frame_t proof = {FRAME_PROOF, 0, {}};
		std::string sent = encode(&hello);
		std::string received = read_frame();
		GByteArray *own = make_array(sent);
		GByteArray *other = make_array(received);

		write_bytes(sent);
		peer_auth_proof("0123456789abcdef", true, own, other,
				proof.u.proof);
		write_bytes(encode(&proof));
		read_frame(); /* the router's proof */
		g_byte_array_unref(own);
		g_byte_array_unref(other);
		EXPECT_TRUE(wait_for([&] { return to.up == 1; }));
	}
	~RawPeer()
	{
		if (fd >= 0)
			close(fd);
	}
	static GByteArray *make_array(const std::string &bytes)
	{
		GByteArray *array = g_byte_array_new();

		g_byte_array_append(array, (const guint8 *)bytes.data(),
				    (guint)bytes.size());
		return array;
	}
	void write_bytes(const std::string &bytes) const
	{
		EXPECT_EQ(write(fd, bytes.data(), bytes.size()),
			  (ssize_t)bytes.size());
	}
	/* Returns the next frame with its header, without pings. */
	std::string read_frame()
	{
		std::string frame;

		EXPECT_TRUE(wait_for(
			[&] { return !frame.empty() || take_frame(&frame); }));
		return frame;
	}
	bool take_frame(std::string *frame)
	{
		static char buffer[65536];
		size_t len = 0;
		ssize_t n;

		while ((n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
			input.append(buffer, (size_t)n);
		while (peer_frame_find((const uint8_t *)input.data(),
				       input.size(), &len) == FRAME_COMPLETE) {
			std::string next = input.substr(0, len + 4);

			input.erase(0, len + 4);
			if (next == from_hex(former_ping))
				continue;
			*frame = next;
			return true;
		}
		return false;
	}
};

// A service posts a kind without knowing which peers know it.  An instance of
// the former release that received it would close the connection.
TEST(Peer, SendsAKindOnlyToPeersThatKnowIt)
{
	for (uint64_t kinds : {UINT64_C(0), PEER_KINDS_SKIPS_UNKNOWN}) {
		Router a("a", shared_key);
		RawPeer raw(a, kinds);

		a.send("former", PEER_KIND_COUNT);
		a.send("", PEER_KIND_COUNT);
		a.send("", PEER_OVERLOAD);
		EXPECT_EQ(raw.read_frame(),
			  from_hex(former_bodies[PEER_OVERLOAD]));
		EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_WITHHELD), 2u);
	}
	Router a("a", shared_key);
	RawPeer raw(a, UINT64_MAX);

	a.send("former", PEER_KIND_COUNT);
	a.send("", PEER_KIND_COUNT);
	for (int i = 0; i < 2; i++)
		EXPECT_EQ(raw.read_frame(),
			  std::string("\x00\x00\x00\x03\x92\x01", 6) +
				  (char)(16 + PEER_KIND_COUNT));
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_WITHHELD), 0u);
}

// Guards against a build without patches that is sent one in place of a
// configuration, and so never gets it.
TEST(Peer, TakesPatchesOnlyIfItStatesSo)
{
	for (uint64_t kinds : {UINT64_C(0), UINT64_MAX & ~PEER_KINDS_PATCHES,
			       (uint64_t)PEER_KINDS_PATCHES}) {
		Router a("a", shared_key);
		RawPeer raw(a, kinds);

		EXPECT_EQ(a.takes_patches, kinds == PEER_KINDS_PATCHES);
	}
	EXPECT_NE(peer_kinds_own() & PEER_KINDS_PATCHES, 0u);
}

// An instance of a former build closes the connection to a peer that sends it a
// frame above its limit.
TEST(Peer, SendsALongFrameOnlyToPeersThatTakeIt)
{
	for (uint64_t kinds :
	     {UINT64_C(0), UINT64_MAX & ~PEER_KINDS_LONG_FRAMES}) {
		Router a("a", shared_key);
		RawPeer raw(a, kinds);

		a.send_body("former", largest_item());
		a.send_body("", largest_item());
		a.send("", PEER_OVERLOAD);
		EXPECT_EQ(raw.read_frame(),
			  from_hex(former_bodies[PEER_OVERLOAD]));
		EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_WITHHELD), 2u);
	}
	Router a("a", shared_key);
	RawPeer raw(a, PEER_KINDS_LONG_FRAMES);

	a.send_body("former", largest_item());
	EXPECT_GT(raw.read_frame().size(), 1048576u);
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_WITHHELD), 0u);
}

// This build must state the kinds that it knows in every connection, or newer
// kinds would never be sent to it.
TEST(Peer, StatesItsKinds)
{
	Router a("a", shared_key);
	int fd = connect_raw(a);
	std::string input;
	peer_frame_t hello;
	size_t len = 0;

	ASSERT_TRUE(wait_for([&] {
		char buffer[1024];
		ssize_t n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);

		if (n > 0)
			input.append(buffer, (size_t)n);
		return peer_frame_find((const uint8_t *)input.data(),
				       input.size(), &len) == FRAME_COMPLETE;
	}));
	ASSERT_TRUE(decode(input.substr(PEER_FRAME_HEADER_SIZE), &hello));
	EXPECT_EQ(hello.u.hello.kinds, peer_kinds_own());
	close(fd);
}

// Frames of a newer build must not cost the connection; a malformed frame of a
// known kind still does.
TEST(Peer, SkipsWhatANewerPeerAdds)
{
	Router a("a", shared_key);
	RawPeer raw(a, UINT64_MAX);
	std::string report = sample_frames()[PEER_CRASH_REPORT].substr(4);
	std::string unknown("\x93\x01\xcd\x10\x00\xa1x", 7);

	raw.write_bytes(with_header(unknown) + with_header(unknown));
	raw.write_bytes(
		with_header(add_field(report, 0, report.size(), "\x05")));
	ASSERT_TRUE(wait_for([&] { return a.crash_reports == 1; }));
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_UNKNOWN), 2u);
	EXPECT_EQ(a.counter(COUNTER_PEER_FIELDS_UNKNOWN), 1u);
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_BAD), 0u);
	EXPECT_EQ(a.down, 0);
	raw.write_bytes(with_header(std::string("\x92\x01\x12", 3)));
	ASSERT_TRUE(wait_for([&] { return a.down == 1; }));
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_BAD), 1u);
}

// Guards against a part of a frame that is taken for a whole one, as its
// connection was reset while frames were still being written to it.
TEST(Peer, FrameCutByAResetIsNotDelivered)
{
	std::string report = sample_frames()[PEER_CRASH_REPORT];
	struct linger linger = {1, 0};

	for (size_t cut : {(size_t)1, (size_t)5, report.size() - 1}) {
		Router a("a", shared_key);
		RawPeer raw(a, 0);

		while (a.counter(COUNTER_PEER_FRAMES_OUT) < 5000) {
			a.send("former", PEER_CONF_ITEMS);
			kernel_deliver_one(&a.kernel);
		}
		raw.write_bytes(report.substr(0, cut));
		setsockopt(raw.fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		close(raw.fd);
		raw.fd = -1;
		ASSERT_TRUE(wait_for([&] { return a.down == 1; }));
		EXPECT_EQ(a.crash_reports, 0) << cut;
		EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_BAD), 0u) << cut;
	}
}

// A kind that this build does not know must not pass for a handshake.
TEST(Peer, UnknownKindBeforeAuthenticationClosesTheConnection)
{
	Router a("a", shared_key);
	int fd = connect_raw(a);
	std::string bytes = with_header(std::string("\x92\x01\xcd\x10\x00", 5));

	ASSERT_EQ(write(fd, bytes.data(), bytes.size()), (ssize_t)bytes.size());
	ASSERT_TRUE(wait_for(
		[&] { return a.counter(COUNTER_PEER_FRAMES_BAD) == 1; }));
	EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_UNKNOWN), 0u);
	EXPECT_EQ(table_count(&a.peer.conns), 0u);
	close(fd);
}

// A body that arrives before authentication must be rejected.
TEST(Peer, AcceptsNothingBeforeAuthentication)
{
	Router a("a", shared_key);
	std::string bytes = sample_frames()[PEER_CRASH_REPORT];
	int fd = connect_raw(a);

	ASSERT_EQ(write(fd, bytes.data(), bytes.size()), (ssize_t)bytes.size());
	ASSERT_TRUE(wait_for(
		[&] { return a.counter(COUNTER_PEER_FRAMES_BAD) == 1; }));
	EXPECT_EQ(a.crash_reports, 0);
	EXPECT_EQ(table_count(&a.peer.conns), 0u);
	close(fd);
}

// Before authentication, a frame must not be larger than a handshake needs, no
// matter whether it arrives whole or in parts.
TEST(Peer, LargeFrameBeforeAuthenticationIsNotDecoded)
{
	for (size_t sent : {(size_t)4 + 4000, (size_t)4 + 10}) {
		Router a("a", shared_key);
		std::string bytes(4 + 4000, '\0');
		int fd = connect_raw(a);

		bytes[2] = (char)(4000 >> 8);
		bytes[3] = (char)(4000 & 0xff);
		ASSERT_EQ(write(fd, bytes.data(), sent), (ssize_t)sent);
		ASSERT_TRUE(wait_for([&] {
			return a.counter(COUNTER_PEER_FRAMES_BAD) == 1;
		}));
		EXPECT_EQ(a.counter(COUNTER_PEER_FRAMES_IN), 0u) << sent;
		close(fd);
	}
}

// A peer that does not read must be disconnected before the frames queued for
// it use up the memory.
TEST(Peer, DropsPeerThatDoesNotRead)
{
	Router a("a", shared_key), b("b", shared_key);

	a.connect("b", b);
	ASSERT_TRUE(wait_for([&] { return a.up == 1 && b.up == 1; }));
	/* The main loop does not run between the messages: b reads nothing. */
	for (int i = 0; i < 200000 && table_count(&a.peer.conns) == 1; i++) {
		a.send("b", PEER_CONF_ITEMS);
		kernel_deliver_one(&a.kernel);
	}
	EXPECT_EQ(table_count(&a.peer.conns), 0u);
	ASSERT_TRUE(wait_for([&] { return a.up == 2; }));
}

} // namespace
