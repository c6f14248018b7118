// Tests which requests an instance admits that gets more than its link or its
// processor bears, by the load that docs/design/hard-load.md measured, on a
// model of the link: what callers get, that nothing is refused below the
// capacity, and that it ends with the load.
#include "tests/admission_world.h"

#include <gtest/gtest.h>

namespace
{

const int64_t second = 1000000;
enum {
	LONG,
	CHAT,
	SHORT,
	SMALL
};

double part(int number, int of)
{
	return of > 0 ? (double)number / of : 0;
}

double admitted(const kind_result_t &result)
{
	return part(result.admitted, result.offered);
}

double in_time(const kind_result_t &result)
{
	return part(result.in_time, result.offered);
}

// Offers the rate after calm seconds, and forgets what its first second gave.
void play(admission_world_t *world, double per_s)
{
	world->offer(73, 3 * second);
	world->run(3 * second);
	world->offer(per_s, 10 * second);
	world->run(4 * second);
	world->forget();
	world->run(10 * second);
}

// Guards against refusals at an instance that could serve the requests.
TEST(Admission, NothingIsRefusedBelowTheCapacity)
{
	for (double rate : {20.0, 73.0, 150.0}) {
		admission_world_t world(10);

		play(&world, rate);
		EXPECT_EQ(world.sum().admitted, world.sum().offered) << rate;
	}
}

TEST(Admission, NothingIsRefusedIfTheLinkIsUnknown)
{
	admission_state_t admission;
	admission_request_t request = {"r", 3, 1000000, 1000000, false};
	admission_load_t load = {2, 2, 5 * second};

	admission_init(&admission, 0);
	for (int i = 0; i < 100; i++) {
		EXPECT_TRUE(admission_test(&admission, &request, i));
		EXPECT_TRUE(admission_is_calm(&admission, i));
		admission_count(&admission, &request, true, i);
		admission_control(&admission, &load);
	}
}

// Guards against a model in which the load of the page does no harm.
TEST(Admission, WithoutItTheLoadOfThePageIsServedTooLate)
{
	admission_world_t world(10, false);

	play(&world, 300);
	EXPECT_LT(in_time(world.sum()), 0.3);
}

// Guards against queues: a request that is admitted must be served in time,
// and the others refused, at any load.  Bodies are refused from the head on,
// so most of their bytes do not arrive.
TEST(Admission, AdmittedRequestsAreServedInTime)
{
	for (double rate : {230.0, 300.0, 400.0, 470.0}) {
		admission_world_t world(10);

		world.window = 2000;
		play(&world, rate);
		for (auto &result : world.results)
			EXPECT_GE(result.in_time, 0.9 * result.admitted)
				<< rate;
		EXPECT_GE(in_time(world.sum()), 0.55) << rate;
		EXPECT_LE(world.results[SMALL].quantile(0.9), 110) << rate;
	}
}

// Guards against refusals of urgent requests that free next to nothing.
TEST(Admission, ManyBytesForLittlePriorityAreRefusedFirst)
{
	admission_world_t some(10), many(10);

	some.window = many.window = 2000;
	play(&some, 300);
	EXPECT_LT(admitted(some.results[LONG]), 0.5);
	EXPECT_GE(admitted(some.results[CHAT]), 0.95);
	EXPECT_GE(admitted(some.results[SHORT]), 0.99);
	EXPECT_GE(admitted(some.results[SMALL]), 0.99);
	play(&many, 470);
	EXPECT_LT(admitted(many.results[LONG]), 0.05);
	EXPECT_LT(admitted(many.results[CHAT]), 0.6);
	EXPECT_GE(admitted(many.results[SMALL]), 0.95);
}

// Bodies that have arrived can't be taken back; what is left of the link is
// for the urgent ones.
TEST(Admission, BodiesThatArriveAllTheSameLeaveRoomForUrgentRequests)
{
	admission_world_t with(10), without(10, false);

	play(&with, 300);
	play(&without, 300);
	EXPECT_LT(in_time(without.results[SMALL]), 0.1);
	EXPECT_GE(in_time(with.results[SMALL]), 0.6);
	EXPECT_GE(in_time(with.sum()), 2 * in_time(without.sum()));
}

TEST(Admission, RefusalsEndWithTheLoad)
{
	admission_world_t world(10);

	world.window = 2000;
	play(&world, 470);
	EXPECT_LT(admitted(world.sum()), 0.9);
	world.run(11 * second);
	world.forget();
	world.offer(73, 14 * second);
	world.run(15 * second);
	EXPECT_EQ(world.sum().admitted, world.sum().offered);
	EXPECT_DOUBLE_EQ(world.admission.scale, 1);
}

// Guards against a processor that bears less than the link: it is told by the
// wait of input alone.
TEST(Admission, InputDoesNotWaitAtASlowProcessor)
{
	admission_world_t with(10), without(10, false);

	with.window = without.window = 2000;
	with.processor_us = without.processor_us = 8000;
	play(&with, 200);
	play(&without, 200);
	EXPECT_GT(without.results[SMALL].quantile(0.5), 1000);
	EXPECT_LT(with.results[SMALL].quantile(0.5), 120);
	EXPECT_GE(in_time(with.sum()), 0.2);
}

// Guards against an instance that refuses requests and keeps their callers, and
// against one that gives callers away which it bears.
TEST(Admission, CallersAreMovedSoonAboveTheCapacityAndNotBelow)
{
	for (double rate : {73.0, 150.0}) {
		admission_world_t world(10);

		play(&world, rate);
		EXPECT_EQ(world.needy_at, 0) << rate;
	}
	for (double rate : {250.0, 470.0}) {
		admission_world_t world(10);

		world.window = 2000;
		play(&world, rate);
		EXPECT_GT(world.needy_at, 3 * second) << rate;
		EXPECT_LT(world.needy_at, 5 * second) << rate;
	}
	// 73 requests are more than this processor bears.
	admission_world_t slow(10);

	slow.processor_us = 20000;
	play(&slow, 73);
	EXPECT_GT(slow.needy_at, 0);
	EXPECT_LT(slow.needy_at, 3 * second);
}

// Guards against an instance that stays out of the rotation after a burst, as
// single large bodies look like load.
TEST(Admission, InstanceIsBackInRotationAMinuteAfterABurst)
{
	int back = 0;

	for (uint64_t seed = 1; seed <= 20; seed++) {
		admission_world_t world(10, true, seed);

		world.window = 2000;
		play(&world, 470);
		world.offer(73, 80 * second);
		world.run(76 * second);
		back += !world.move.needy;
	}
	EXPECT_GE(back, 18);
}

// One late turn of a busy machine is no load above the capacity.
TEST(Admission, SingleLateSamplesChangeNothing)
{
	admission_state_t admission;
	admission_load_t late = {0.2, 0.2, 200000}, calm = {0.2, 0.2, 0};

	admission_init(&admission, 10);
	for (int i = 0; i < 10; i++) {
		admission_control(&admission, &late);
		admission_control(&admission, &late);
		admission_control(&admission, &calm);
	}
	EXPECT_DOUBLE_EQ(admission.scale, 1);
}

// Guards against a request that is refused by the instance that a peer has
// passed it on to, and against a stream that breaks twice.
TEST(Admission, ContinuedRequestsAreRefusedLast)
{
	admission_state_t admission;
	admission_request_t fresh = {"r", 2, 4000, 4000, false};
	admission_request_t continued = fresh;
	int64_t now = second;
	int taken = 0;

	continued.continued = true;
	admission_init(&admission, 10);
	while (admission_test(&admission, &fresh, now) && taken < 1000) {
		admission_count(&admission, &fresh, true, now);
		taken++;
	}
	EXPECT_GE(taken, 10);
	EXPECT_LT(taken, 1000);
	EXPECT_TRUE(admission_test(&admission, &continued, now));
	for (int i = 0; i < 1000; i++)
		admission_count(&admission, &continued, true, now);
	EXPECT_FALSE(admission_test(&admission, &continued, now));
}

// Guards against one large upload that shuts out all others for seconds.
TEST(Admission, OneLargeBodyDoesNotShutOutTheOthers)
{
	admission_state_t admission;
	admission_request_t large = {"large", 0, 4000000, 4000000, false};
	admission_request_t small = {"small", 0, 1000, 1000, false};
	int64_t now = second;

	admission_init(&admission, 10);
	for (int i = 0; i < 1000; i++)
		admission_count(&admission, &small, true, now += second / 50);
	admission_count(&admission, &large, true, now);
	EXPECT_TRUE(admission_test(&admission, &small, now));
	EXPECT_TRUE(admission_test(&admission, &small, now + second / 5));
}

} // namespace
