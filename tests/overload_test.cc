// Tests when a process counts as behind: late timers and waiting input are
// told from long waits for input, and the state does not flap.
#include "overload/overload.h"

#include <gtest/gtest.h>

namespace
{

lag_sample_t sample(int64_t timer, int64_t input)
{
	lag_sample_t made = {};

	made.timer = timer;
	made.input = input;
	return made;
}

TEST(Overload, ProcessIsBehindIfTimersOrInputWait)
{
	const lag_sample_t calm = sample(OVERLOAD_WAIT_US, OVERLOAD_WAIT_US);
	const lag_sample_t timer = sample(OVERLOAD_WAIT_US + 1, 0);
	const lag_sample_t input = sample(0, OVERLOAD_WAIT_US + 1);
	overload_state_t state = {};

	EXPECT_EQ(overload_update(&state, &calm, 0), OVERLOAD_UNCHANGED);
	EXPECT_EQ(overload_update(&state, &timer, 0), OVERLOAD_BEGAN);
	state = {};
	EXPECT_EQ(overload_update(&state, &input, 0), OVERLOAD_BEGAN);
}

// Guards against callers that are sent back and forth while the process is
// late now and then.
TEST(Overload, ProcessHasCaughtUpOnlyAfterACalmSecond)
{
	const lag_sample_t calm = sample(0, 0);
	const lag_sample_t late = sample(0, OVERLOAD_WAIT_US + 1);
	overload_state_t state = {};

	overload_update(&state, &late, 0);
	EXPECT_EQ(overload_update(&state, &calm, OVERLOAD_CALM_US - 1),
		  OVERLOAD_UNCHANGED);
	overload_update(&state, &late, OVERLOAD_CALM_US);
	EXPECT_EQ(overload_update(&state, &calm, 2 * OVERLOAD_CALM_US - 1),
		  OVERLOAD_UNCHANGED);
	EXPECT_TRUE(state.behind);
	EXPECT_EQ(overload_update(&state, &calm, 2 * OVERLOAD_CALM_US),
		  OVERLOAD_ENDED);
	EXPECT_FALSE(state.behind);
}

TEST(Overload, WorstOfAnOverloadIsKeptForItsLogLine)
{
	const lag_sample_t first = sample(OVERLOAD_WAIT_US + 1, 0);
	const lag_sample_t second = sample(0, 3 * OVERLOAD_WAIT_US);
	overload_state_t state = {};

	overload_update(&state, &first, 0);
	overload_update(&state, &second, 1);
	EXPECT_EQ(state.worst.timer, OVERLOAD_WAIT_US + 1);
	EXPECT_EQ(state.worst.input, 3 * OVERLOAD_WAIT_US);
}

} // namespace
