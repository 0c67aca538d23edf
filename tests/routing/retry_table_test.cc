#include "process/servers/retry_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId work_service("work");
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr int kInstances = 116;

/** The policy of the largest fleet of a user, which has 116 instances. */
RetryPolicy LargeFleetPolicy() {
  return {0.2, seconds(10), 186};
}

/** Requests and retries of one second, over all instances. */
struct SecondCounts {
  int requests = 0;
  int retries = 0;
};

/** Instances of one fleet, each of which retries as often as it may. */
class RetryFleet {
 public:
  RetryFleet() {
    for (int i = 0; i < kInstances; ++i) {
      tables_.push_back(std::make_unique<RetryTable>());
      tables_.back()->policy = LargeFleetPolicy();
    }
  }

  /**
   * Runs all instances while each of them knows `known` instances and gets
   * `requests` requests a second.
   */
  void RunFor(seconds duration, int known, int requests) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += seconds(1)) {
      SecondCounts counts;
      for (const auto& table : tables_) {
        SetInstanceCount(*table, known, now_);
        for (int i = 0; i < requests; ++i)
          BeginRequest(*table, work_service, now_);
        counts.requests += requests;
        while (TakeRetry(*table, work_service, now_))
          ++counts.retries;
      }
      Record(counts);
    }
  }

  /** Runs all instances with requests that need no retry. */
  void RunCalmFor(seconds duration, int requests) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += seconds(1)) {
      for (const auto& table : tables_) {
        SetInstanceCount(*table, kInstances, now_);
        for (int i = 0; i < requests; ++i)
          BeginRequest(*table, work_service, now_);
      }
      Record({kInstances * requests, 0});
    }
  }

  /** Lets time pass without requests. */
  void Pause(seconds duration) {
    now_ += duration;
    window_.clear();
  }

  /** Most retries beyond the ratio in any window of the policy. */
  double max_beyond_ratio() const { return max_beyond_ratio_; }

 private:
  void Record(const SecondCounts& counts) {
    window_.push_back(counts);
    if (window_.size() > 10)
      window_.pop_front();
    double beyond_ratio = 0;
    for (const SecondCounts& second : window_)
      beyond_ratio += second.retries - 0.2 * second.requests;
    max_beyond_ratio_ = std::max(max_beyond_ratio_, beyond_ratio);
  }

  std::vector<std::unique_ptr<RetryTable>> tables_;
  std::deque<SecondCounts> window_;
  double max_beyond_ratio_ = 0;
  TimePoint now_ = kStart;
};

// Guards against instances that each use the slack of the whole fleet after all
// of them were restarted, because none knows the others yet.
TEST(RetryTableTest, RestartOfAllStaysWithinTheSlack) {
  for (const seconds alone : {seconds(1), seconds(4), seconds(10)}) {
    RetryFleet fleet;
    fleet.RunFor(alone, 1, 2);
    fleet.RunFor(seconds(20), kInstances, 2);
    EXPECT_LE(fleet.max_beyond_ratio(), 186) << alone.count() << " s alone";
  }
}

// Guards against instances that use the slack of others that they have lost
// touch with.
TEST(RetryTableTest, CutOffInstancesStayWithinTheSlack) {
  RetryFleet fleet;
  fleet.RunFor(seconds(40), kInstances, 2);
  fleet.RunFor(seconds(20), 1, 2);
  EXPECT_LE(fleet.max_beyond_ratio(), 186);
}

// Guards against instances that save up slack over many windows without retries
// and use all of it in one.
TEST(RetryTableTest, SlackIsNotSavedUpOverManyWindows) {
  RetryFleet fleet;
  fleet.RunFor(seconds(20), kInstances, 1);
  fleet.Pause(seconds(120));
  fleet.RunFor(seconds(10), kInstances, 1);
  EXPECT_LE(fleet.max_beyond_ratio(), 186);
}

// Guards against instances that each save up retries from requests and use them
// together when a service fails.
TEST(RetryTableTest, SavedRetriesOfAllInstancesStayWithinTheSlack) {
  RetryFleet fleet;
  fleet.RunCalmFor(seconds(120), 1);
  fleet.RunFor(seconds(10), kInstances, 1);
  EXPECT_LE(fleet.max_beyond_ratio(), 186);
}

// Guards against a slack that no instance may use: a failed request of a
// service with few requests then gets no second server.
TEST(RetryTableTest, SlackIsUsedOnceTheInstancesKnowEachOther) {
  RetryTable table;
  table.policy = LargeFleetPolicy();
  SetInstanceCount(table, 1, kStart);
  BeginRequest(table, work_service, kStart);
  EXPECT_FALSE(TakeRetry(table, work_service, kStart + seconds(1)));
  SetInstanceCount(table, kInstances, kStart + seconds(1));
  EXPECT_TRUE(TakeRetry(table, work_service, kStart + seconds(30)));
}

// Guards against a slack that an instance gets only after the first requests of
// each service, although it has known the others for long.
TEST(RetryTableTest, FirstRequestOfAServiceMayUseTheSlack) {
  RetryTable table;
  table.policy = {0.2, seconds(10), 58};
  SetInstanceCount(table, 16, kStart);
  BeginRequest(table, work_service, kStart + seconds(30));
  EXPECT_TRUE(TakeRetry(table, work_service, kStart + seconds(30)));
}

// Guards against the same fault at other rates of requests.
TEST(RetryTableTest, SavedRetriesStayWithinTheSlackAtEveryRate) {
  for (const int requests : {2, 3, 5, 10, 30}) {
    RetryFleet fleet;
    fleet.RunCalmFor(seconds(120), requests);
    fleet.RunFor(seconds(10), kInstances, requests);
    EXPECT_LE(fleet.max_beyond_ratio(), 186) << requests;
  }
}

// Guards against a busy instance that cannot repeat a group of requests which
// fail at the same moment, with one server.
TEST(RetryTableTest, BusyInstanceMayRepeatAGroupOfRequests) {
  RetryTable table;
  table.policy = RetryPolicy{0.2, seconds(10), 58};
  TimePoint now = kStart;
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(100);
    SetInstanceCount(table, 14, now);
    BeginRequest(table, work_service, now);
  }
  int retries = 0;
  while (TakeRetry(table, work_service, now))
    ++retries;
  EXPECT_GE(retries, 5);
}

}  // namespace
}  // namespace mangodoor
