#include "process/io/registry_applier.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "process/fake_clock.h"
#include "process/io/log.h"
#include "process/registry/feed.h"
#include "process/tables.h"

namespace mangodoor {
namespace {

class MockPeers : public PeerTransport {
 public:
  MOCK_METHOD(void, Send, (const InstanceId&, const PeerMessage&), (override));
  MOCK_METHOD(std::vector<InstanceId>, ConnectedPeers, (), (const, override));
};

class RegistryApplierTest : public ::testing::Test {
 protected:
  RegistryApplierTest() { ConfigureLog(LogLevel::kWarning); }

  static StoreItem Item(const std::string& key,
                        const std::string& value,
                        uint64_t revision) {
    return {key, value, revision, false};
  }

  /** Applies the items one by one and returns the reasons that are logged. */
  std::vector<std::string> ApplyAndLog(const std::vector<StoreItem>& items) {
    ::testing::internal::CaptureStdout();
    for (const StoreItem& item : items)
      applier_.Apply({item});
    std::istringstream out(::testing::internal::GetCapturedStdout());
    std::vector<std::string> reasons;
    for (std::string line; std::getline(out, line);) {
      const auto json = nlohmann::json::parse(line);
      EXPECT_EQ(json["event"], "entry_refused");
      reasons.push_back(json["reason"]);
    }
    return reasons;
  }

  // An item whose value is not empty is refused for that reason.
  static DecodedItem Decode(const StoreItem& item, WallTime) {
    std::vector<Fault> faults;
    if (!item.value.empty())
      faults.push_back({"", "", item.value});
    return RemovedServer{BackendServerId(item.key), faults};
  }

  FakeClock clock_;
  ::testing::NiceMock<MockPeers> peers_;
  Tables tables_;
  Feed feed_;
  Instance self_;
  ActionRunner actions_{peers_, [](const ChosenServer&) {}};
  RegistryApplier applier_{tables_, feed_, clock_, actions_, self_, Decode};
};

// Guards against changes of a store that was restored from an older copy, which
// are ignored because their revisions are lower than those known.
TEST_F(RegistryApplierTest, LaterErasCountMoreThanHigherRevisions) {
  const StoreItem before{"key", "before", {1, 100}, false};
  const StoreItem restored{"key", "restored", {2, 40}, false};
  const StoreItem late{"key", "late", {1, 101}, false};
  EXPECT_EQ(ApplyAndLog({before, restored, late}),
            (std::vector<std::string>{"the whole text; allowed: before",
                                      "the whole text; allowed: restored"}));
}

// Guards against a line for each of an entry's heartbeats, and against a reason
// that is not logged because the entry was refused before.
TEST_F(RegistryApplierTest, LogsARefusedEntryWhenItsReasonChanges) {
  const std::string whole = "the whole text; allowed: ";
  EXPECT_THAT(
      ApplyAndLog({Item("a", "x", 1), Item("a", "x", 2), Item("a", "y", 3),
                   Item("a", "", 4), Item("a", "y", 5), Item("b", "y", 6)}),
      ::testing::ElementsAre(whole + "x", whole + "y", whole + "y",
                             whole + "y"));
  EXPECT_EQ(feed_.entries_refused, 5U);
}

// Guards against a document that is decoded although a later one is known, and
// against items that nobody applies.
TEST_F(RegistryApplierTest, KeptItemsAreAppliedTogether) {
  ::testing::internal::CaptureStdout();
  EXPECT_TRUE(applier_.Keep({Item("a", "old", 1)}));
  EXPECT_FALSE(applier_.Keep({Item("a", "new", 2), Item("b", "other", 3)}));
  applier_.ApplyKept();
  const std::string log = ::testing::internal::GetCapturedStdout();
  EXPECT_THAT(log, ::testing::Not(::testing::HasSubstr("allowed: old")));
  EXPECT_THAT(log, ::testing::HasSubstr("allowed: new"));
  EXPECT_THAT(log, ::testing::HasSubstr("allowed: other"));
  EXPECT_TRUE(applier_.Keep({Item("a", "newest", 4)}));
}

// Guards against a log whose volume another writer decides.
TEST_F(RegistryApplierTest, BoundsTheLinesOfRefusedEntries) {
  std::vector<StoreItem> items;
  for (uint64_t i = 1; i <= 100; ++i)
    items.push_back(
        Item("key" + std::to_string(i), std::string(10000, 'x'), i));
  const std::vector<std::string> reasons = ApplyAndLog(items);
  EXPECT_EQ(reasons.size(), 20U);
  EXPECT_LE(reasons[0].size(), 400U);
  EXPECT_EQ(feed_.entries_refused, 100U);
}

/** Decodes every item as the record of a server that is cold for 3 s. */
DecodedItem DecodeColdServer(const StoreItem& item, WallTime) {
  ServerRecord record;
  record.id = BackendServerId(item.key);
  record.service = ServiceId("work");
  record.cold_remaining = std::chrono::seconds(3);
  return record;
}

// Guards against a warm server that turns cold in the view of an instance each
// time that its record is read again.
TEST_F(RegistryApplierTest, RecordReadAgainDoesNotReplaceAProbe) {
  RegistryApplier applier(tables_, feed_, clock_, actions_, self_,
                          DecodeColdServer);
  const auto is_cold = [this] {
    return IsCold(
        FindServer(tables_.servers.pool, BackendServerId("a"))->cold_window,
        clock_.Now());
  };
  applier.Apply({Item("a", "", 5)});
  ASSERT_TRUE(is_cold());
  ProbeResult warm;
  warm.answered = true;
  warm.cold_remaining = Duration::zero();
  // The probe was sent after the record was read.
  FindServer(tables_.servers.pool, BackendServerId("a"))->probe_sent_at =
      clock_.Now();
  HandleProbeResult(tables_.servers, BackendServerId("a"), warm, clock_.Now());
  ASSERT_FALSE(is_cold());
  applier.Apply({Item("a", "", 5)});
  EXPECT_FALSE(is_cold());
  applier.Apply({Item("a", "", 6)});
  EXPECT_TRUE(is_cold());
}

}  // namespace
}  // namespace mangodoor
