#include "process/servers/cold_start.h"

#include <gtest/gtest.h>

#include "process/membership/rendezvous.h"
#include "process/servers/share_history.h"
#include "routing/fleet_document.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr RampLimits kLimits{1, 3, seconds(10), seconds(30)};

ColdStart ColdAt(TimePoint observed_at) {
  ColdStart state;
  RecordCold(state, observed_at);
  return state;
}

ColdStart WarmAt(TimePoint observed_at) {
  ColdStart state = ColdAt(observed_at - milliseconds(1));
  RecordWarm(state, observed_at, observed_at, ObservationSource::kOwn);
  return state;
}

// Guards against full load on a server without any report.
TEST(ColdStartTest, UnknownServerIsCold) {
  EXPECT_EQ(FleetAllowance(ColdStart(), kLimits, kStart), 1);
}

// Guards against a jump from one request to full concurrency.
TEST(ColdStartTest, AllowanceRampsAfterWarm) {
  const ColdStart state = WarmAt(kStart);
  EXPECT_EQ(FleetAllowance(state, kLimits, kStart), 1);
  EXPECT_EQ(FleetAllowance(state, kLimits, kStart + seconds(5)), 2);
  EXPECT_FALSE(IsRamped(state, kLimits, kStart + milliseconds(9999)));
  EXPECT_EQ(FleetAllowance(state, kLimits, kStart + seconds(10)), 3);
}

// Guards against a ramp that restarts with every report of "warm".
TEST(ColdStartTest, RepeatedWarmDoesNotRestartRamp) {
  ColdStart state = WarmAt(kStart);
  const TimePoint later = kStart + seconds(9);
  EXPECT_FALSE(RecordWarm(state, later, later, ObservationSource::kOwn));
  EXPECT_TRUE(IsRamped(state, kLimits, kStart + seconds(10)));
}

// Guards against an older report of "cold", received twice, that ends the ramp.
TEST(ColdStartTest, RepeatedOldColdDoesNotEndRamp) {
  ColdStart state = WarmAt(kStart);
  EXPECT_FALSE(RecordCold(state, kStart - seconds(1)));
  EXPECT_FALSE(RecordCold(state, kStart - seconds(1)));
  EXPECT_FALSE(state.cold);
}

// Guards against ignoring a reset at the same time as a report of "warm".
TEST(ColdStartTest, ColdWinsOverWarmOfTheSameInstant) {
  ColdStart state = WarmAt(kStart);
  EXPECT_TRUE(RecordCold(state, kStart));
  EXPECT_FALSE(RecordWarm(state, kStart, kStart, ObservationSource::kOwn));
}

// Guards against a peer's report of "warm" that arrives late and is based on an
// observation from before the server's restart.
TEST(ColdStartTest, PeersWarmMustBeClearlyNewer) {
  ColdStart state = ColdAt(kStart);
  const TimePoint soon = kStart + milliseconds(400);
  EXPECT_FALSE(RecordWarm(state, soon, soon, ObservationSource::kPeer));
  const TimePoint later = kStart + milliseconds(600);
  EXPECT_TRUE(RecordWarm(state, later, later, ObservationSource::kPeer));
}

// Guards against a ramp that is over before the response that showed the server
// to be warm has arrived.
TEST(ColdStartTest, RampStartsWhenTheAnswerArrives) {
  ColdStart state = ColdAt(kStart);
  RecordWarm(state, kStart + seconds(1), kStart + seconds(11),
             ObservationSource::kOwn);
  EXPECT_EQ(FleetAllowance(state, kLimits, kStart + seconds(11)), 1);
}

// Guards against a server that stays cold because it never reports its health,
// and against a ramp that starts before cold_max.
TEST(ColdStartTest, UnreportedServerRampsAfterColdMax) {
  ColdStart state = ColdAt(kStart);
  EXPECT_FALSE(
      EndColdAfterTimeout(state, kLimits, kStart + milliseconds(29999)));
  EXPECT_TRUE(EndColdAfterTimeout(state, kLimits, kStart + seconds(30)));
  EXPECT_EQ(FleetAllowance(state, kLimits, kStart + seconds(30)), 1);
}

// Guards against shares that add up to more or less than the whole.
TEST(ShareTest, SharesOfOneListSumToTheWhole) {
  std::vector<Endpoint> addresses;
  addresses.reserve(17);
  for (int i = 0; i < 17; ++i)
    addresses.push_back(EntryAddress(i));
  for (int total = 0; total <= 51; ++total) {
    int sum = 0;
    for (const Endpoint& own : addresses) {
      const auto rank = RendezvousRank(ServerName(total), addresses, own);
      sum += RankShare(total, *rank, 17);
    }
    EXPECT_EQ(sum, total);
  }
}

// Guards against a share for an instance whose address is not listed.
TEST(ShareTest, UnlistedAddressHasNoRank) {
  EXPECT_FALSE(
      RendezvousRank(ServerName(0), {EntryAddress(0)}, EntryAddress(1)));
  ShareHistory history;
  AddRank(history, {std::nullopt, 1}, kStart);
  EXPECT_EQ(SafeShare(history, 3, kStart), 0);
}

// Guards against one address that has the first rank for most servers.
TEST(ShareTest, FirstRanksSpreadOverAddresses) {
  std::vector<Endpoint> addresses;
  addresses.reserve(17);
  for (int i = 0; i < 10; ++i)
    addresses.push_back(EntryAddress(i));
  std::vector<int> firsts(10);
  for (int server = 0; server < 1000; ++server) {
    for (int i = 0; i < 10; ++i)
      firsts[i] +=
          *RendezvousRank(ServerName(server), addresses, addresses[i]) == 0;
  }
  for (const int count : firsts) {
    EXPECT_GT(count, 50);
    EXPECT_LT(count, 150);
  }
}

// Guards against shares that add up to more than the whole while instances have
// different versions.
TEST(ShareTest, NewRankCountsFullyOnlyAfterPropagation) {
  ShareHistory history;
  AddRank(history, {std::nullopt, 4}, kStart);
  AddRank(history, {0, 4}, kStart);
  EXPECT_EQ(SafeShare(history, 4, kStart + kVersionPropagationTime / 2), 0);
  EXPECT_EQ(SafeShare(history, 4, kStart + kVersionPropagationTime), 1);
}

}  // namespace
}  // namespace mangodoor
