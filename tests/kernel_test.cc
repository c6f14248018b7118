// Tests of the micro-kernel: handles, timers, services, messages and the set of
// peers.
#include "kernel/kernel.h"
#include "kernel/peer_set.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
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

// A peer that reconnects must not be counted twice.  Services that rank peers
// rely on the order of the set.
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

} // namespace
