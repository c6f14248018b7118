// Tests of the micro-kernel: handles, timers, services, messages, readiness of
// descriptors and the set of peers.
#include "kernel/identifier.h"
#include "kernel/kernel.h"
#include "kernel/peer_set.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

struct Receiver {
	std::vector<int> timers;
	int starts = 0;
};

void receive(void *self, msg_t *msg)
{
	auto *receiver = static_cast<Receiver *>(self);

	if (msg->kind == MSG_TIMER)
		receiver->timers.push_back(msg->u.timer.kind);
	if (msg->kind == MSG_START)
		receiver->starts++;
}

class KernelTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		svc = kernel_register(&kernel, "receiver", receive, &receiver);
	}
	void TearDown() override
	{
		kernel_finish(&kernel);
	}
	kernel_t kernel;
	svc_t svc;
	Receiver receiver;
};

// A handle kept after the removal of its entry must not reach the next entry in
// the same slot.
// Guards against two long names or ids that are taken for one because they
// agree in their first bytes, and against a short one that poses as a long one.
TEST(Identifier, DiffersWhereTheTextsDo)
{
	std::string longest(63, 'a'), longer(64, 'a');
	char of_long[64], other[64], posing[64];

	identifier_set(other, sizeof(other), longest.c_str());
	EXPECT_EQ(other, longest);
	identifier_set(of_long, sizeof(of_long), longer.c_str());
	EXPECT_STRNE(of_long, longest.c_str());
	EXPECT_EQ(strlen(of_long), IDENTIFIER_SIZE_MIN - 1);
	EXPECT_TRUE(name_is_valid(of_long));
	EXPECT_TRUE(
		identifier_matches(of_long, sizeof(of_long), longer.c_str()));
	EXPECT_FALSE(identifier_matches(of_long, sizeof(of_long),
					(longer + "b").c_str()));
	EXPECT_FALSE(identifier_matches(of_long, sizeof(of_long), of_long));
	identifier_set(posing, sizeof(posing), of_long);
	EXPECT_STRNE(posing, of_long);
	identifier_set(other, sizeof(other), "sha256-abc");
	EXPECT_STREQ(other, "sha256-abc");
}

TEST(Table, StaleHandleResolvesToNull)
{
	table_t table;
	void *entry;

	table_init(&table, sizeof(int));
	handle_t first = table_add(&table, &entry);
	table_remove(&table, first);
	handle_t second = table_add(&table, &entry);
	EXPECT_EQ(first.index, second.index);
	EXPECT_EQ(table_get(&table, first), nullptr);
	EXPECT_EQ(table_get(&table, second), entry);
	table_finish(&table);
}

// Services keep pointers to entries across table_add(), so growth of the table
// must not move entries.
TEST(Table, PointersStayValidWhileItGrows)
{
	table_t table;
	void *first, *entry;

	table_init(&table, sizeof(int));
	handle_t handle = table_add(&table, &first);
	for (int i = 0; i < 10000; i++)
		table_add(&table, &entry);
	EXPECT_EQ(table_get(&table, handle), first);
	EXPECT_EQ(table_count(&table), 10001u);
	table_finish(&table);
}

TEST_F(KernelTest, TimersFireInOrderOfDueTimeThenCreation)
{
	kernel_timer(&kernel, svc, 30, HANDLE_NONE, 3);
	kernel_timer(&kernel, svc, 10, HANDLE_NONE, 1);
	kernel_timer(&kernel, svc, 30, HANDLE_NONE, 4);
	kernel_timer(&kernel, svc, 20, HANDLE_NONE, 2);
	kernel_run_until(&kernel, 29);
	EXPECT_EQ(receiver.timers, (std::vector<int>{1, 2}));
	kernel_run_until(&kernel, 30);
	EXPECT_EQ(receiver.timers, (std::vector<int>{1, 2, 3, 4}));
}

// Removal of timers from the middle of the heap must preserve the heap order.
TEST_F(KernelTest, CancelledTimersDoNotFire)
{
	std::vector<handle_t> timers;
	std::vector<int> expected;

	for (int i = 0; i < 100; i++)
		timers.push_back(kernel_timer(&kernel, svc, (i * 37) % 100,
					      HANDLE_NONE, (i * 37) % 100));
	for (int i = 0; i < 100; i += 3)
		kernel_timer_cancel(&kernel, &timers[i]);
	for (int i = 0; i < 100; i++)
		if (i % 3 != 0)
			expected.push_back((i * 37) % 100);
	std::sort(expected.begin(), expected.end());
	kernel_run_until(&kernel, 1000);
	EXPECT_EQ(receiver.timers, expected);
}

TEST_F(KernelTest, ServicesAreFoundByName)
{
	EXPECT_TRUE(handle_equal(kernel_find(&kernel, "receiver"), svc));
	EXPECT_TRUE(handle_is_none(kernel_find(&kernel, "nobody")));
	kernel_start(&kernel);
	kernel_run_until(&kernel, 1);
	EXPECT_EQ(receiver.starts, 1);
}

// The payload of a message to a nonexistent service must not leak.
TEST_F(KernelTest, UndeliveredMessageIsReleasedAndCounted)
{
	msg_t msg = {};

	msg.kind = MSG_REPLY_DATA;
	msg.u.data.bytes = g_bytes_new("x", 1);
	kernel_post(&kernel, svc, HANDLE_NONE, &msg);
	kernel_run_until(&kernel, 1);
	EXPECT_EQ(kernel.metrics->counters[COUNTER_MSG_UNDELIVERED], 1u);
}

TEST_F(KernelTest, UuidsAreOrderedByTime)
{
	char a[INCARNATION_SIZE], b[INCARNATION_SIZE];

	kernel_uuid(&kernel, a);
	kernel_run_until(&kernel, 2 * USEC_PER_MSEC);
	kernel_uuid(&kernel, b);
	EXPECT_EQ(strlen(a), 36u);
	EXPECT_LT(strcmp(a, b), 0);
}

class PollsetTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		kernel_init(&kernel, CLOCK_REAL, 0);
		for (Pair &pair : pairs) {
			ASSERT_EQ(socketpair(AF_UNIX,
					     SOCK_STREAM | SOCK_NONBLOCK, 0,
					     pair.fds),
				  0);
			pair.test = this;
			pair.watch = pollset_add(&kernel.pollset, pair.fds[0],
						 POLLSET_IN, on_ready, &pair);
			ASSERT_FALSE(handle_is_none(pair.watch));
		}
	}
	void TearDown() override
	{
		for (Pair &pair : pairs) {
			pollset_remove(&kernel.pollset, &pair.watch);
			close(pair.fds[0]);
			close(pair.fds[1]);
		}
		kernel_finish(&kernel);
	}
	struct Pair {
		PollsetTest *test;
		int fds[2];
		handle_t watch;
		std::vector<unsigned> ready;
	};
	static void on_ready(void *data, unsigned ready)
	{
		Pair *pair = static_cast<Pair *>(data);

		pair->ready.push_back(ready);
		if (pair->test->removes_all)
			for (Pair &other : pair->test->pairs)
				pollset_remove(&pair->test->kernel.pollset,
					       &other.watch);
	}
	static void receive_timer(void *self, msg_t *msg)
	{
		PollsetTest *test = static_cast<PollsetTest *>(self);

		if (msg->kind == MSG_TIMER)
			test->reports_at_timer = (int)test->reports();
	}
	void make_readable(Pair &pair)
	{
		ASSERT_EQ(write(pair.fds[1], "x", 1), 1);
	}
	// Returns false if nothing was ready.
	bool iterate()
	{
		return g_main_context_iteration(kernel.context, FALSE);
	}
	size_t reports() const
	{
		size_t count = 0;

		for (const Pair &pair : pairs)
			count += pair.ready.size();
		return count;
	}
	kernel_t kernel;
	Pair pairs[3] = {};
	bool removes_all = false;
	int reports_at_timer = -1;
};

TEST_F(PollsetTest, ReportsOnlyDescriptorsThatAreReady)
{
	make_readable(pairs[1]);
	while (reports() == 0)
		iterate();
	EXPECT_EQ(pairs[1].ready.back(), POLLSET_IN);
	EXPECT_TRUE(pairs[0].ready.empty());
	EXPECT_TRUE(pairs[2].ready.empty());
}

// Guards against a callback for a connection that an earlier callback of the
// same iteration has closed and freed.
TEST_F(PollsetTest, RemovedDescriptorIsNotReported)
{
	removes_all = true;
	for (Pair &pair : pairs)
		make_readable(pair);
	while (reports() == 0)
		iterate();
	for (int i = 0; i < 10; i++)
		iterate();
	EXPECT_EQ(reports(), 1u);
}

// Guards against a loop that spins: the hang-up of a descriptor that nobody
// waits for would be reported in every iteration.
TEST_F(PollsetTest, NothingIsReportedWithoutInterest)
{
	pollset_set(&kernel.pollset, pairs[0].watch, 0);
	make_readable(pairs[0]);
	shutdown(pairs[0].fds[1], SHUT_RDWR);
	for (int i = 0; i < 10; i++)
		iterate();
	EXPECT_EQ(reports(), 0u);
	pollset_set(&kernel.pollset, pairs[0].watch, POLLSET_IN);
	while (reports() == 0)
		iterate();
	EXPECT_TRUE(pairs[0].ready.back() & POLLSET_IN);
}

TEST_F(PollsetTest, OutputAndHangupAreReported)
{
	pollset_set(&kernel.pollset, pairs[0].watch, POLLSET_IN | POLLSET_OUT);
	while (reports() == 0)
		iterate();
	EXPECT_EQ(pairs[0].ready.back(), POLLSET_OUT);
	pollset_set(&kernel.pollset, pairs[0].watch, POLLSET_IN);
	shutdown(pairs[0].fds[1], SHUT_RDWR);
	while (pairs[0].ready.back() == POLLSET_OUT)
		iterate();
	EXPECT_TRUE(pairs[0].ready.back() & POLLSET_ERROR);
}

class BuffersTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		buffers_init(&buffers);
		buffers.limit = 1024 * 1024;
	}
	void hold(buffer_kind_t kind, size_t bytes)
	{
		buffers_set(&buffers, kind, &counted[kind], bytes);
	}
	buffers_t buffers;
	size_t counted[BUFFER_KIND_COUNT] = {};
};

// Guards against a limit that does not hold because the kind that holds the
// most can't end any of it.
TEST_F(BuffersTest, KindThatCantGiveWayDoesNotShieldTheOthers)
{
	hold(BUFFER_RUNNING, 500 * 1024);
	hold(BUFFER_REQUESTS, 400 * 1024);
	hold(BUFFER_OUTPUT, 300 * 1024);
	ASSERT_TRUE(buffers_must_relieve(&buffers));
	EXPECT_EQ(buffers_largest(&buffers), BUFFER_REQUESTS);
	buffers.relieving = true;
	buffers.relieved = BUFFER_REQUESTS;
	EXPECT_FALSE(buffers_must_relieve(&buffers));
	ASSERT_TRUE(buffers_note_relieved(&buffers));
	EXPECT_EQ(buffers_largest(&buffers), BUFFER_OUTPUT);
	buffers.relieving = true;
	buffers.relieved = BUFFER_OUTPUT;
	// Nobody is asked again before more is held.
	EXPECT_FALSE(buffers_note_relieved(&buffers));
	EXPECT_FALSE(buffers_must_relieve(&buffers));
	hold(BUFFER_REQUESTS, 420 * 1024);
	EXPECT_TRUE(buffers_must_relieve(&buffers));
	EXPECT_EQ(buffers_largest(&buffers), BUFFER_REQUESTS);
	hold(BUFFER_OUTPUT, 0);
	EXPECT_FALSE(buffers_must_relieve(&buffers));
	hold(BUFFER_OUTPUT, 200 * 1024);
	EXPECT_TRUE(buffers_must_relieve(&buffers));
}

// Guards against large requests in progress that leave no room to any other.
TEST_F(BuffersTest, LargeRequestsLeaveHalfOfTheLimitToTheOthers)
{
	EXPECT_TRUE(buffers_may_run(&buffers, 500 * 1024));
	hold(BUFFER_RUNNING, 400 * 1024);
	EXPECT_FALSE(buffers_may_run(&buffers, 200 * 1024));
	EXPECT_TRUE(buffers_may_run(&buffers, 100 * 1024));
	EXPECT_TRUE(buffers_may_run(&buffers, 12 * 1024));
	hold(BUFFER_RUNNING, 750 * 1024);
	EXPECT_TRUE(buffers_may_run(&buffers, 12 * 1024));
	hold(BUFFER_RUNNING, 760 * 1024);
	EXPECT_FALSE(buffers_may_run(&buffers, 12 * 1024));
}

TEST_F(BuffersTest, MemoryReturnsOnceAfterMuchWasFreed)
{
	hold(BUFFER_OUTPUT, 100 * 1024);
	hold(BUFFER_OUTPUT, 0);
	EXPECT_FALSE(buffers_take_fall(&buffers));
	hold(BUFFER_OUTPUT, 200 * 1024);
	EXPECT_FALSE(buffers_take_fall(&buffers));
	hold(BUFFER_OUTPUT, 10 * 1024);
	EXPECT_TRUE(buffers_take_fall(&buffers));
	EXPECT_FALSE(buffers_take_fall(&buffers));
}

// A peer that reconnects must not be counted twice.  Services that rank peers
// rely on the order of the set.
// Guards against a link that is full of small events and looks half empty.
TEST(Traffic, BytesOnTheLinkIncludeTheHeadersOfPackets)
{
	traffic_t traffic = {};

	for (int i = 0; i < 10; i++)
		traffic_sent(&traffic, 60);
	EXPECT_EQ(traffic.out, 1000u);
	traffic_received(&traffic, 2 * TRAFFIC_PACKET_SIZE + 1);
	EXPECT_EQ(traffic.in,
		  2u * TRAFFIC_PACKET_SIZE + 1 + 3 * TRAFFIC_PACKET_HEADER);
	EXPECT_EQ(traffic.out, 1000u);
}

// Guards against sockets that fill the memory of the machine together.
TEST(Windows, LeastWindowsOfAllSocketsFitIntoAQuarterOfTheMemory)
{
	const uint64_t mib = 1048576;

	for (uint64_t memory : {64 * mib, 260 * mib, 512 * mib, 4096 * mib}) {
		for (uint32_t sockets : {1U, 1000U, 2500U}) {
			windows_t windows;

			windows_init(&windows);
			EXPECT_EQ(windows.least, 0u);
			windows_set_memory(&windows, memory, sockets);
			EXPECT_GT(windows.least, 0u);
			EXPECT_LE(2 * (uint64_t)windows.least * sockets,
				  memory / 4);
		}
	}
}

// Guards against wide windows without a bound on their sum, and against a pool
// that connections keep which no longer send.
TEST(Windows, WideWindowsStayWithinThePoolAndReturnToIt)
{
	const int none = -1; // no descriptor
	windows_t windows;
	window_t window[100];
	int wide = 0;

	windows_init(&windows);
	windows_set_memory(&windows, 64 * 1048576, 1500);
	for (window_t &w : window) {
		window_init(&w);
		window_received(&w, &windows, none, 1);
		EXPECT_FALSE(w.widened);
		window_received(&w, &windows, none, windows.least);
		wide += w.widened;
	}
	EXPECT_GT(wide, 10);
	EXPECT_LT(wide, 100);
	EXPECT_LE(windows.taken, windows.pool);
	for (window_t &w : window)
		window_check(&w, &windows, none);
	EXPECT_GT(windows.taken, 0u) << "input has arrived since";
	window_finish(&window[0], &windows);
	for (window_t &w : window)
		window_check(&w, &windows, none);
	EXPECT_EQ(windows.taken, 0u);
}

TEST(PeerSet, HoldsEachPeerOnceInOrder)
{
	peer_set_t set;
	auto update = [&set](msg_kind_t kind, const char *incarnation,
			     const char *zone) {
		msg_t msg = {};

		msg.kind = kind;
		g_strlcpy(msg.u.peer_addr.incarnation, incarnation,
			  sizeof(msg.u.peer_addr.incarnation));
		g_strlcpy(msg.u.peer_addr.availability_zone, zone,
			  sizeof(msg.u.peer_addr.availability_zone));
		peer_set_update(&set, &msg);
	};

	peer_set_init(&set);
	update(MSG_PEER_UP, "c", "z1");
	update(MSG_PEER_UP, "a", "z1");
	update(MSG_PEER_UP, "b", "z2");
	update(MSG_PEER_UP, "c", "z1");
	ASSERT_EQ(peer_set_count(&set), 3u);
	EXPECT_STREQ(peer_set_at(&set, 0)->incarnation, "a");
	EXPECT_STREQ(peer_set_at(&set, 2)->incarnation, "c");
	EXPECT_EQ(peer_set_count_in_zone(&set, "z1"), 2u);
	update(MSG_PEER_DOWN, "a", "");
	update(MSG_PEER_DOWN, "x", "");
	EXPECT_EQ(peer_set_count(&set), 2u);
	EXPECT_EQ(peer_set_count_in_zone(&set, "z1"), 1u);
	EXPECT_FALSE(peer_set_is_large(&set));
	peer_set_finish(&set);
}

// Guards against responses and closes that wait behind new requests.
TEST_F(PollsetTest, DeferredInputWaitsBehindPromptInput)
{
	for (int i = 0; i < 2; i++)
		pollset_classify(&kernel.pollset, pairs[i].watch,
				 POLLSET_DEFERRED);
	for (Pair &pair : pairs)
		make_readable(pair);
	pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	EXPECT_EQ(reports(), 1u);
	EXPECT_EQ(pairs[2].ready.size(), 1u);
	EXPECT_TRUE(pollset_has_deferred(&kernel.pollset));
}

// Guards against new requests that hold up all else for as long as they come,
// and against one that others overtake.
TEST_F(PollsetTest, DeferredInputIsHandledOldestFirstUntilItsTimeIsUp)
{
	const int order[] = {1, 0, 2};

	for (Pair &pair : pairs)
		pollset_classify(&kernel.pollset, pair.watch, POLLSET_DEFERRED);
	for (int i : order) {
		make_readable(pairs[i]);
		pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	}
	for (size_t i = 0; i < 3; i++) {
		pollset_handle_deferred(&kernel.pollset, 0);
		EXPECT_EQ(reports(), i + 1);
		EXPECT_EQ(pairs[order[i]].ready.size(), 1u);
	}
	EXPECT_FALSE(pollset_has_deferred(&kernel.pollset));
}

TEST_F(PollsetTest, DeferredInputThatIsLeftUnreadIsReportedAgain)
{
	pollset_classify(&kernel.pollset, pairs[0].watch, POLLSET_DEFERRED);
	pollset_classify(&kernel.pollset, pairs[1].watch, POLLSET_DEFERRED);
	make_readable(pairs[0]);
	make_readable(pairs[1]);
	for (size_t i = 1; i <= 5; i++) {
		pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
		pollset_handle_deferred(&kernel.pollset, 0);
		EXPECT_EQ(reports(), i);
	}
	EXPECT_GE(pairs[0].ready.size(), 2u);
	EXPECT_GE(pairs[1].ready.size(), 2u);
}

// Guards against work for callers that have left: their close must not wait
// until their request would be read.
TEST_F(PollsetTest, HangupOfDeferredInputDoesNotWait)
{
	for (Pair &pair : pairs) {
		pollset_classify(&kernel.pollset, pair.watch, POLLSET_DEFERRED);
		make_readable(pair);
	}
	pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	pollset_handle_deferred(&kernel.pollset, 0);
	shutdown(pairs[2].fds[1], SHUT_WR);
	pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	EXPECT_TRUE(pairs[1].ready.empty());
	ASSERT_EQ(pairs[2].ready.size(), 1u);
	EXPECT_TRUE(pairs[2].ready[0] & POLLSET_ERROR);
}

// Guards against a time-out that is counted from when a request is read.
TEST_F(PollsetTest, DeferredInputKeepsTheTimeSinceWhichItIsReady)
{
	int64_t found, since;

	pollset_classify(&kernel.pollset, pairs[0].watch, POLLSET_DEFERRED);
	pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	make_readable(pairs[0]);
	found = g_get_monotonic_time();
	/* It cannot have been ready when the last look found nothing. */
	pollset_handle_prompt(&kernel.pollset, 0);
	since = g_get_monotonic_time();
	while (g_get_monotonic_time() == since)
		;
	pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	pollset_handle_deferred(&kernel.pollset, 0);
	EXPECT_LE(kernel.pollset.ready_since, found);
	EXPECT_GT(kernel.pollset.ready_since, 0);
}

// Guards against timers that take for silence what was not handled yet.
TEST_F(PollsetTest, InputIsHandledBeforeTimersThatAreDue)
{
	svc_t svc = kernel_register(&kernel, "receiver", receive_timer, this);

	kernel_timer(&kernel, svc, 0, HANDLE_NONE, 1);
	make_readable(pairs[0]);
	while (reports_at_timer < 0)
		iterate();
	EXPECT_GE(reports_at_timer, 1);
}

// Guards against turns that are not measured since work was waiting before the
// poll, which are those of a process that is behind.
TEST_F(PollsetTest, TurnThatBeginsWithWaitingInputIsMeasured)
{
	const histogram_t *turns =
		&kernel.metrics->histograms[HISTOGRAM_LOOP_TURN];
	uint64_t before;

	for (int i = 0; i < 2; i++) {
		pollset_classify(&kernel.pollset, pairs[i].watch,
				 POLLSET_DEFERRED);
		make_readable(pairs[i]);
	}
	pollset_handle_prompt(&kernel.pollset, g_get_monotonic_time());
	pollset_handle_deferred(&kernel.pollset, 0);
	ASSERT_TRUE(pollset_has_deferred(&kernel.pollset));
	before = turns->count;
	iterate();
	iterate();
	EXPECT_EQ(turns->count, before + 1);
}

} // namespace
