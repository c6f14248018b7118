// Guards configuration that must not revert, and targets whose entries lapse
// while the store is away.
#include "fleet/fleet.h"

#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

class Fleet : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		msg_t msg = {};

		kernel_init(&kernel, CLOCK_VIRTUAL, 1);
		store = kernel_register(&kernel, "replica", receive, this);
		listener = kernel_register(&kernel, "listener", receive, this);
		fleet_init(&fleet, &kernel);
		kernel_start(&kernel);
		msg.kind = MSG_FLEET_SUBSCRIBE;
		kernel_post(&kernel, listener, fleet.svc, &msg);
		up(true);
		run(10 * USEC_PER_SEC);
	}
	void TearDown() override
	{
		fleet_finish(&fleet);
		kernel_finish(&kernel);
	}
	static void receive(void *self, msg_t *msg)
	{
		Fleet *f = static_cast<Fleet *>(self);

		if (msg->kind == MSG_FLEET_CONF) {
			f->version = msg->u.fleet_conf->version;
		} else if (msg->kind == MSG_FLEET_TARGET) {
			const fleet_target_t &target =
				msg->u.fleet_target.target;

			f->targets[target.id] = msg->u.fleet_target.gone
							? "gone"
						: target.draining ? "draining"
								  : "ready";
			f->told++;
		}
	}
	void event(store_result_t *result)
	{
		msg_t msg = {};

		msg.kind = MSG_STORE_EVENT;
		msg.u.store_result = result;
		kernel_post(&kernel, store, fleet.svc, &msg);
		run(0);
	}
	void up(bool is_up)
	{
		event(store_result_new(is_up ? STORE_OK : STORE_UNAVAILABLE));
	}
	void conf(int64_t number)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = RECORD_FLEET_CONF;
		record.u.fleet_conf = fleet_conf_new();
		record.u.fleet_conf->version = number;
		store_result_add(result, 0, "fleet/conf", number, &record);
		record_clear(&record);
		event(result);
	}
	void target(const char *id, bool draining = false,
		    uint64_t sequence = 1)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = RECORD_FLEET_TARGET;
		record.u.fleet_target = g_new0(fleet_target_t, 1);
		g_strlcpy(record.u.fleet_target->id, id, NAME_SIZE);
		record.u.fleet_target->draining = draining;
		record.u.fleet_target->sequence = sequence;
		store_result_add(result, 0,
				 (std::string("fleet/target/") + id).c_str(), 1,
				 &record);
		record_clear(&record);
		event(result);
	}
	void removed(const char *id, record_kind_t kind = RECORD_NONE)
	{
		store_result_t *result = store_result_new(STORE_OK);
		record_t record = {};

		record.kind = kind;
		store_result_add(result, 0,
				 (std::string("fleet/target/") + id).c_str(), 2,
				 &record);
		event(result);
	}
	void run(int64_t us)
	{
		kernel_run_until(&kernel, kernel_now(&kernel) + us);
	}
	kernel_t kernel;
	fleet_t fleet;
	svc_t store, listener;
	int64_t version = 0;
	std::map<std::string, std::string> targets;
	int told = 0;
};

TEST_F(Fleet, ConfigurationNeverReverts)
{
	conf(5);
	conf(9);
	conf(7);
	EXPECT_EQ(version, 9);
	conf(12);
	EXPECT_EQ(version, 12);
}

TEST_F(Fleet, LeavingTargetIsToldAtOnceAndHeartbeatsAreNot)
{
	target("i-1");
	target("i-1", false, 2);
	target("i-1", false, 3);
	EXPECT_EQ(told, 1);
	target("i-1", true, 4);
	EXPECT_EQ(targets["i-1"], "draining");
	removed("i-1");
	EXPECT_EQ(targets["i-1"], "gone");
}

TEST_F(Fleet, RemovedEntryOfACalmStoreIsANoticeToLeave)
{
	target("i-1");
	removed("i-1");
	EXPECT_EQ(targets["i-1"], "gone");
}

TEST_F(Fleet, EntryThatCannotBeReadNamesNoTarget)
{
	target("i-1");
	removed("i-1", RECORD_INVALID);
	EXPECT_EQ(targets["i-1"], "gone");
}

// Targets live on while the store is away and can't renew their entries.
TEST_F(Fleet, LapsedEntryIsKeptUntilTheStoreIsBackForAWhile)
{
	target("i-1");
	target("i-2");
	up(false);
	removed("i-1");
	run(10 * USEC_PER_SEC);
	EXPECT_EQ(targets["i-1"], "ready");
	up(true);
	removed("i-2");
	run(1900 * USEC_PER_MSEC);
	EXPECT_EQ(targets["i-1"], "ready");
	EXPECT_EQ(targets["i-2"], "ready");
	target("i-2", false, 9);
	run(200 * USEC_PER_MSEC);
	EXPECT_EQ(targets["i-1"], "gone");
	EXPECT_EQ(targets["i-2"], "ready");
}

TEST_F(Fleet, DrainingTargetIsNotKeptWhenItsEntryGoes)
{
	target("i-1", true);
	up(false);
	removed("i-1");
	EXPECT_EQ(targets["i-1"], "gone");
}

} // namespace
