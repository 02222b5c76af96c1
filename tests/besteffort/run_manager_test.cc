// One run_keeper against hand-made answers.
#include "bamboowing/besteffort/run_manager.h"

#include <gtest/gtest.h>

namespace bamboowing {
namespace {

const char* const kEntry = "10.0.0.1:7000";

class keeper_rig : public testing::Test {
 protected:
  keeper_rig() : keeper(Settings(), 1, now) {
    const entry_place entry{kEntry, "zone", false};
    keeper.OnEntries({&entry, 1}, now);
    keeper.OnTarget({"minion", 5}, Description(), target_time(1000), now);
    Step();
    AnswerHolds({});
    // The first attempt to connect comes after a pause with jitter.
    for (int i = 0; i < 10 && !HasAction<open_session>(); ++i) {
      now += std::chrono::milliseconds(20);
      Step();
    }
    keeper.OnSessionOpened(kEntry, now);
    Step();
    taken.clear();
  }

  static run_keeper_settings Settings() {
    run_keeper_settings settings;
    settings.agent.id = "agent";
    settings.agent.life = 9;
    settings.agent.backoff_min = std::chrono::milliseconds(30);
    settings.first_token = 50;
    return settings;
  }

  static target_description Description() {
    target_description target;
    target.service = "inspect";
    target.capacity = {4000, 4096, 0};
    return target;
  }

  void Step() {
    keeper.Advance(now);
    for (const run_action& action : keeper.actions()) {
      taken.push_back(action);
    }
    keeper.ClearActions();
  }

  template <typename Action>
  std::vector<Action> Taken() const {
    std::vector<Action> found;
    for (const run_action& action : taken) {
      if (const Action* match = std::get_if<Action>(&action); match != nullptr) {
        found.push_back(*match);
      }
    }
    return found;
  }

  template <typename Action>
  bool HasAction() const {
    return !Taken<Action>().empty();
  }

  void AnswerHolds(const hold_answer& answer) {
    const std::vector<call_hold> holds = Taken<call_hold>();
    taken.clear();
    for (const call_hold& hold : holds) {
      hold_answer accepted = answer;
      accepted.result = order_result::kAccepted;
      accepted.clock = target_time(1000);
      accepted.born = 5;
      keeper.OnHoldAnswer(hold.call, accepted, now);
    }
    Step();
  }

  /// Answers the newest hold in the name of the life @p born.
  void AnswerNewestHold(std::uint64_t born, hold_answer answer) {
    ASSERT_TRUE(HasAction<call_hold>());
    answer.result = order_result::kAccepted;
    answer.clock = target_time(1000);
    answer.born = born;
    keeper.OnHoldAnswer(Taken<call_hold>().back().call, answer, now);
    Step();
  }

  /// Starts a run that the target accepts.
  void StartAccepted(const std::string& job) {
    run_orders orders;
    orders.starts.push_back(Start(job));
    Order(orders);
    keeper.OnStartAnswer(Taken<call_start>().back().call, {order_result::kAccepted, target_time(1001)}, now);
    Step();
  }

  void Order(const run_orders& orders) {
    entry_batch batch;
    batch.header.sender = "entry";
    batch.header.life = 3;
    batch.header.sent_at = now;
    batch.header.echo = now;
    batch.header.echo_life = 9;
    batch.runs = orders;
    keeper.OnBatch(kEntry, batch, now);
    Step();
  }

  static run_start Start(const std::string& job, std::uint32_t attempt = 1) {
    run_start start;
    start.key = {job, 0, 0, attempt};
    start.payload = "text";
    start.need = {3000, 64, 0};
    start.start_within = std::chrono::milliseconds(40);
    return start;
  }

  std::vector<run_end> Ends() const {
    std::vector<run_end> ends;
    for (const send_batch& sent : Taken<send_batch>()) {
      ends.insert(ends.end(), sent.batch.runs.ends.begin(), sent.batch.runs.ends.end());
    }
    return ends;
  }

  instant now{std::chrono::seconds(1000)};
  run_keeper keeper;
  std::vector<run_action> taken;
};

TEST_F(keeper_rig, StartsWhatFitsAndReportsItsEnd) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  ASSERT_EQ(Taken<call_start>().size(), 1U);
  const call_start start = Taken<call_start>()[0];
  EXPECT_EQ(start.order.context.token, 50U);
  EXPECT_EQ(start.order.context.target_id, "minion");
  keeper.OnStartAnswer(start.call, {order_result::kAccepted, target_time(1001)}, now);
  now += std::chrono::milliseconds(60);
  hold_answer answer;
  answer.ended.push_back({1, {"a", 0, 0, 1}, listed_outcome::kDone});
  AnswerHolds(answer);
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kDone);
  EXPECT_EQ(Ends()[0].run_time, std::chrono::milliseconds(60));
}

TEST_F(keeper_rig, RefusesAStartThatFindsNoRoomInTime) {
  run_orders orders;
  orders.starts = {Start("a"), Start("b")};
  Order(orders);
  EXPECT_EQ(Taken<call_start>().size(), 1U);
  now += std::chrono::milliseconds(41);
  Step();
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].key.job_id, "b");
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kNoRoom);
}

// Guards against a start that is carried out late, after its task was given to another target.
TEST_F(keeper_rig, AnUnansweredStartIsForbiddenBeforeItIsReportedAsEnded) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  const call_start start = Taken<call_start>()[0];
  now += std::chrono::milliseconds(200);
  keeper.OnStartAnswer(start.call, {order_result::kNoAnswer, std::nullopt}, now);
  Step();
  AnswerHolds({});
  std::vector<call_stop> stops = Taken<call_stop>();
  ASSERT_EQ(stops.size(), 1U) << "the run must be forbidden at the target";
  EXPECT_TRUE(Ends().empty());
  keeper.OnStopAnswer(stops[0].call, {order_result::kAccepted, target_time(1300)}, now);
  now += std::chrono::milliseconds(5);
  Step();
  AnswerHolds({});
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kStopped);
}

// Guards against a job that misses its objective because one order got no answer: the task was stopped and given to
// another target, some 60 ms later.
TEST_F(keeper_rig, AnUnansweredStartIsSentAgain) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  now += Settings().start_retry;
  Step();
  const std::vector<call_start> starts = Taken<call_start>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[1].order.key, starts[0].order.key) << "the target takes it for the same run";
  EXPECT_EQ(starts[1].order.payload, "text");
  keeper.OnStartAnswer(starts[1].call, {order_result::kAccepted, target_time(1013)}, now);
  keeper.OnStartAnswer(starts[0].call, {order_result::kNoAnswer, std::nullopt}, now);
  Step();
  hold_answer answer;
  answer.ended.push_back({1, {"a", 0, 0, 1}, listed_outcome::kDone});
  AnswerHolds(answer);
  EXPECT_FALSE(HasAction<call_stop>());
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kDone);
}

// Guards against a run that is reported as refused while an earlier order to start it may still be carried out.
TEST_F(keeper_rig, ARunIsForbiddenWhenARepeatedStartIsRefused) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  now += Settings().start_retry;
  Step();
  ASSERT_EQ(Taken<call_start>().size(), 2U);
  keeper.OnStartAnswer(Taken<call_start>()[1].call, {order_result::kNoRoom, target_time(1013)}, now);
  Step();
  EXPECT_TRUE(Ends().empty());
  ASSERT_EQ(Taken<call_stop>().size(), 1U);
  keeper.OnStopAnswer(Taken<call_stop>()[0].call, {order_result::kAccepted, target_time(1014)}, now);
  Step();
  AnswerHolds({});
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kStopped);
}

// Guards against a finished task that is run again, because the second order to start it came after its end.
TEST_F(keeper_rig, AStaleRepeatedStartWaitsForTheEndOfTheRun) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  now += Settings().start_retry;
  Step();
  ASSERT_EQ(Taken<call_start>().size(), 2U);
  keeper.OnStartAnswer(Taken<call_start>()[1].call, {order_result::kStaleAttempt, target_time(1013)}, now);
  Step();
  EXPECT_TRUE(Ends().empty());
  hold_answer answer;
  answer.ended.push_back({1, {"a", 0, 0, 1}, listed_outcome::kDone});
  AnswerHolds(answer);
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kDone);
}

// Guards against orders to a target that does not answer at all.
TEST_F(keeper_rig, AStartIsRepeatedAFewTimesOnly) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(5);
    Step();
  }
  EXPECT_EQ(Taken<call_start>().size(), Settings().most_starts);
}

// Guards against ends that stay unknown for 0.25 s because the answer to the hold that waits for them was lost.
TEST_F(keeper_rig, AHoldWithoutAnAnswerIsRepeatedWhileSomethingRuns) {
  StartAccepted("a");
  ASSERT_EQ(Taken<call_hold>().size(), 1U);
  EXPECT_GT(Taken<call_hold>()[0].order.wait, duration(0));
  now += Settings().look_overdue;
  Step();
  ASSERT_EQ(Taken<call_hold>().size(), 2U);
  EXPECT_EQ(Taken<call_hold>()[1].order.wait, duration(0)) << "it is answered at once";
  hold_answer answer;
  answer.ended.push_back({1, {"a", 0, 0, 1}, listed_outcome::kDone});
  AnswerNewestHold(5, answer);
  EXPECT_EQ(Ends().size(), 1U);
}

// Guards against an agent that asks its idle target without a pause (169,187 looks in a day of 58 s).
TEST_F(keeper_rig, AnIdleAgentAsksNothing) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>()[0].call, {order_result::kAccepted, target_time(1001)}, now);
  hold_answer answer;
  answer.ended.push_back({1, {"a", 0, 0, 1}, listed_outcome::kDone});
  AnswerHolds(answer);
  AnswerHolds({});  // acknowledges the end
  taken.clear();
  for (int i = 0; i < 50; ++i) {
    now += std::chrono::milliseconds(10);
    Step();
  }
  EXPECT_FALSE(HasAction<call_hold>());
}

// Guards against starts that are sent for 0.7 s to a target that went silent, each lost until its lease has run out.
TEST_F(keeper_rig, ASilentTargetGetsNoStartsUntilItAnswers) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  const call_start first = Taken<call_start>()[0];
  now += Settings().silent_after;
  keeper.OnStartAnswer(first.call, {order_result::kNoAnswer, std::nullopt}, now);
  taken.clear();
  orders.starts = {Start("b")};
  orders.starts[0].need = {1000, 64, 0};
  Order(orders);
  EXPECT_TRUE(Taken<call_start>().empty());
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kUnavailable);
  AnswerHolds({});
  orders.starts[0].key.attempt = 2;
  Order(orders);
  EXPECT_EQ(Taken<call_start>().size(), 1U);
}

// Guards against an agent that goes on with the token of an earlier life that had a higher one.
TEST_F(keeper_rig, RaisesItsTokenUntilTheTargetAcceptsIt) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>()[0].call, {order_result::kFenced, target_time(1001)}, now);
  Step();
  orders.starts = {Start("b")};
  Order(orders);
  EXPECT_GT(Taken<call_start>().back().order.context.token, 50U);
}

// Guards against an entry that loses its targets when only its registration is lost: it may be cut off from the store
// alone (1,000 refusals in 6 s of a day).
TEST_F(keeper_rig, KeepsTheSessionOfAnEntryThatIsNoLongerRegistered) {
  keeper.OnEntries({}, now);
  for (int i = 0; i < 20; ++i) {
    Order({});  // a heartbeat
    AnswerHolds({});
    now += std::chrono::milliseconds(100);
  }
  EXPECT_FALSE(HasAction<close_session>());
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  EXPECT_EQ(Taken<call_start>().size(), 1U);
  // A short loss of the connection is no reason either.
  keeper.OnSessionClosed(kEntry, "closed", now);
  keeper.OnEntries({}, now);
  taken.clear();
  for (int i = 0; i < 10; ++i) {
    now += std::chrono::milliseconds(20);
    Step();
  }
  EXPECT_TRUE(HasAction<open_session>());
}

// Guards against attempts to connect to an entry that is gone, for ever.
TEST_F(keeper_rig, ForgetsAnEntryThatIsNeitherRegisteredNorReachable) {
  keeper.OnEntries({}, now);
  keeper.OnSessionClosed(kEntry, "closed", now);
  for (int i = 0; i < 320; ++i) {
    now += std::chrono::milliseconds(100);
    keeper.OnSessionClosed(kEntry, "closed", now);
    Step();
  }
  taken.clear();
  now += std::chrono::seconds(5);
  Step();
  EXPECT_FALSE(HasAction<open_session>());
}

// Guards against runs that outlive an entry which is cut off: the caller may have submitted the job elsewhere.
TEST_F(keeper_rig, StopsTheRunsOfAnEntryThatIsNotHeard) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>()[0].call, {order_result::kAccepted, target_time(1001)}, now);
  now += Settings().owner_timeout;
  Step();
  EXPECT_EQ(Taken<call_stop>().size(), 1U);
}

// Guards against runs that are counted as going on after the target's process has started again under its id.
TEST_F(keeper_rig, AllRunsEndWithTheLifeOfTheTarget) {
  StartAccepted("a");
  keeper.OnTarget({"minion", 6}, Description(), target_time(10), now);
  Step();
  EXPECT_FALSE(keeper.accepting()) << "what runs there has to be looked at first";
  AnswerNewestHold(6, {});
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kLost);
  EXPECT_TRUE(keeper.accepting());
}

// Guards against a run that is reported as lost while it goes on: a target that has started again under its id accepts
// starts that were meant for its earlier life.
TEST_F(keeper_rig, ARunThatTheNextLifeHasAcceptedIsStoppedBeforeItIsReported) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>()[0].call, {order_result::kAccepted, target_time(3)}, now);
  Step();
  const std::vector<call_hold> holds = Taken<call_hold>();
  ASSERT_FALSE(holds.empty());
  hold_answer answer;
  answer.result = order_result::kAccepted;
  answer.born = 6;
  answer.clock = target_time(5);
  answer.running.push_back({"a", 0, 0, 1});
  keeper.OnHoldAnswer(holds.back().call, answer, now);
  Step();
  EXPECT_TRUE(Ends().empty()) << "it runs in the next life";
}

// The same, when the target's announcement is what tells of the next life. The run is its entry's: it goes on.
TEST_F(keeper_rig, ARunThatTheNextLifeHasAcceptedGoesOnUntilItsEnd) {
  StartAccepted("a");
  keeper.OnTarget({"minion", 6}, Description(), target_time(10), now);
  Step();
  EXPECT_TRUE(Ends().empty());
  hold_answer answer;
  answer.running.push_back({"a", 0, 0, 1});
  AnswerNewestHold(6, answer);
  EXPECT_TRUE(Ends().empty());
  EXPECT_TRUE(keeper.accepting());
  now += std::chrono::milliseconds(50);
  Step();
  answer.running.clear();
  answer.ended.push_back({1, {"a", 0, 0, 1}, listed_outcome::kDone});
  AnswerNewestHold(6, answer);
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kDone);
}

// Guards against a start that is carried out by the next life after it was reported as lost.
TEST_F(keeper_rig, AnUnansweredStartIsForbiddenInTheNextLifeBeforeItIsReported) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  const call_start start = Taken<call_start>()[0];
  keeper.OnTarget({"minion", 6}, Description(), target_time(10), now);
  Step();
  AnswerNewestHold(6, {});
  EXPECT_TRUE(Ends().empty());
  keeper.OnStartAnswer(start.call, {order_result::kNoAnswer, std::nullopt}, now);
  Step();
  AnswerNewestHold(6, {});
  ASSERT_EQ(Taken<call_stop>().size(), 1U);
  EXPECT_TRUE(Ends().empty());
  keeper.OnStopAnswer(Taken<call_stop>()[0].call, {order_result::kAccepted, target_time(60)}, now);
  Step();
  AnswerNewestHold(6, {});
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kStopped);
}

// Guards against a stop that the earlier life has accepted, taken as one that binds the next.
TEST_F(keeper_rig, AStopIsRepeatedInTheNextLife) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  run_orders stop;
  stop.stops.push_back({"a", 0, 0, 1});
  Order(stop);
  ASSERT_EQ(Taken<call_stop>().size(), 1U);
  keeper.OnStopAnswer(Taken<call_stop>()[0].call, {order_result::kAccepted, target_time(1001)}, now);
  Step();
  keeper.OnTarget({"minion", 6}, Description(), target_time(10), now);
  now += Settings().stop_retry;
  Step();
  AnswerNewestHold(6, {});
  EXPECT_TRUE(Ends().empty()) << "the start may still arrive";
  EXPECT_EQ(Taken<call_stop>().size(), 2U);
}

// Guards against a second spent on runs of a target that has crashed: what it had accepted is over.
TEST_F(keeper_rig, ARefusedConnectionEndsWhatWasAcceptedBefore) {
  StartAccepted("a");
  now += std::chrono::milliseconds(5);
  run_orders orders;
  orders.starts = {Start("b")};
  orders.starts[0].need = {500, 64, 0};
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>().back().call, {order_result::kNotThere, std::nullopt}, now);
  Step();
  ASSERT_EQ(Ends().size(), 2U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kLost);
  EXPECT_EQ(Ends()[1].outcome, run_outcome::kLost);
  EXPECT_FALSE(keeper.accepting());
}

// Guards against a second spent on a start whose connection broke as the target crashed: it ended before nothing
// listened.
TEST_F(keeper_rig, ARefusedConnectionEndsAStartThatWasGivenUpBefore) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>()[0].call, {order_result::kNoAnswer, std::nullopt}, now);
  Step();
  hold_answer refused;
  refused.result = order_result::kNotThere;
  keeper.OnHoldAnswer(Taken<call_hold>().back().call, refused, now);
  Step();
  ASSERT_EQ(Ends().size(), 1U);
  EXPECT_EQ(Ends()[0].outcome, run_outcome::kLost);
}

// Guards against a run that is reported as lost by the bound of a lease that its next life reads on another clock, and
// then runs twice (soak seed 27): the start was carried out 0.7 s late, by a target that had started again.
TEST_F(keeper_rig, AnUnansweredStartOutlivesItsLeaseWhenTheTargetHasStartedAgain) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnStartAnswer(Taken<call_start>()[0].call, {order_result::kNoAnswer, std::nullopt}, now);
  keeper.OnTarget({"minion", 6}, Description(), target_time(10), now);
  now += std::chrono::milliseconds(1100);
  Step();
  EXPECT_TRUE(Ends().empty()) << "the next life may have just begun it";
  AnswerNewestHold(6, {});
  EXPECT_TRUE(Ends().empty());
  EXPECT_TRUE(HasAction<call_stop>());
}

// Guards against runs that nobody reports when the target crashes while their start is under way and stays away.
TEST_F(keeper_rig, AStartUnderWayToALostTargetEndsWhenItCanNoLongerBeCarriedOut) {
  run_orders orders;
  orders.starts.push_back(Start("a"));
  Order(orders);
  keeper.OnTargetLeft("minion", now);
  now += std::chrono::milliseconds(1100);
  Step();
  EXPECT_TRUE(Ends().empty()) << "the target may come back under its id before the start arrives";
  now += std::chrono::seconds(16);
  EXPECT_EQ(keeper.runs(), 1U);
  Step();
  EXPECT_EQ(keeper.runs(), 0U);
}

// Guards against a new target that is forgotten because an order to the earlier one is answered late.
TEST_F(keeper_rig, ALateAnswerOfTheEarlierTargetSaysNothingOfTheNewOne) {
  StartAccepted("a");
  run_orders stop;
  stop.stops.push_back({"a", 0, 0, 1});
  Order(stop);
  ASSERT_EQ(Taken<call_stop>().size(), 1U);
  keeper.OnTarget({"other", 7}, Description(), target_time(10), now);
  Step();
  AnswerNewestHold(7, {});
  ASSERT_TRUE(keeper.accepting());
  keeper.OnStopAnswer(Taken<call_stop>()[0].call, {order_result::kOtherLife, std::nullopt}, now);
  Step();
  EXPECT_TRUE(keeper.accepting());
}

}  // namespace
}  // namespace bamboowing
