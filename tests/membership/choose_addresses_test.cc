#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

#include "process/fake_clock.h"
#include "process/membership/membership_table.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

Instance MakeInstance(const std::string& id, const std::string& data_centre) {
  Instance instance;
  instance.id = InstanceId(id);
  instance.data_centre = DataCentreId(data_centre);
  instance.caller_endpoint = {"10.0.0." + id, 80};
  return instance;
}

class ChooseAddressesTest : public testing::Test {
 protected:
  // Instances 1 to 4 are in data centre a, 5 to 7 in b; 1 is this instance.
  ChooseAddressesTest() {
    table_.self = MakeInstance("1", "a");
    table_.own_state = InstanceState::kServing;
    InstanceList list;
    list.revision = 1;
    for (int i = 1; i <= 7; ++i)
      list.instances.push_back(
          MakeInstance(std::to_string(i), i <= 4 ? "a" : "b"));
    AdoptList(table_, list);
    CheckForPause(table_, clock_.Now());
    clock_.Advance(milliseconds(100));
    for (int i = 2; i <= 7; ++i)
      ReceiveHeartbeat(i, {});
    Document document;
    document.client_accounts = {{ClientAccountId("small"), 50, 10, 1},
                                {ClientAccountId("large"), 100000, 10, 1}};
    document.data_centres = {{DataCentreId("a"), "", true, {}},
                             {DataCentreId("b"), "", true, {}}};
    version_ = MakeVersion(document, "", "");
  }

  void ReceiveHeartbeat(int id, Heartbeat heartbeat) {
    if (heartbeat.state == InstanceState::kJoining)
      heartbeat.state = InstanceState::kServing;
    heartbeat.timing.sent = clock_.Now();
    heartbeat.timing.echoed = clock_.Now();
    RecordHeartbeat(table_, InstanceId(std::to_string(id)), heartbeat,
                    clock_.Now());
  }

  std::set<std::string> Choose(const std::string& account) {
    std::set<std::string> chosen;
    for (const Endpoint& endpoint : ChooseAddresses(
             table_, *version_, ClientAccountId(account), clock_.Now()))
      chosen.insert(endpoint.address.substr(7));
    return chosen;
  }

  FakeClock clock_;
  MembershipTable table_;
  VersionPtr version_;
};

// Guards against callers that are sent to an instance that cannot serve them.
TEST_F(ChooseAddressesTest, LeavesOutInstancesThatCannotServe) {
  clock_.Advance(milliseconds(900));
  Heartbeat leaving;
  leaving.state = InstanceState::kLeaving;
  ReceiveHeartbeat(2, leaving);
  Heartbeat fenced;
  fenced.fenced = true;
  ReceiveHeartbeat(3, fenced);
  ReceiveHeartbeat(5, {});
  clock_.Advance(milliseconds(200));
  // 4, 6 and 7 were last heard from 1.1 s ago.
  EXPECT_EQ(Choose("large"), (std::set<std::string>{"1", "5"}));
}

// Guards against callers that are sent to another data centre without need.
TEST_F(ChooseAddressesTest, PrefersTheOwnDataCentre) {
  const auto chosen = ChooseAddresses(table_, *version_,
                                      ClientAccountId("large"), clock_.Now());
  ASSERT_EQ(chosen.size(), 7u);
  for (size_t i = 0; i < chosen.size(); ++i)
    EXPECT_EQ(std::stoi(chosen[i].address.substr(7)) <= 4, i < 4);
}

// Guards against sending callers of a small client account to every instance.
TEST_F(ChooseAddressesTest, SmallAccountGetsFewInstances) {
  const auto chosen = Choose("small");
  EXPECT_EQ(chosen.size(), 2u);
  clock_.Advance(milliseconds(500));
  EXPECT_EQ(Choose("small"), chosen);
  table_.self = MakeInstance("2", "a");
  EXPECT_EQ(Choose("small").size(), 2u);
}

// Guards against sending all callers without a key to the same two instances.
TEST_F(ChooseAddressesTest, DistributesCallersWithoutAnAccount) {
  std::set<Endpoint> seen;
  for (int i = 0; i < 100; ++i) {
    const auto chosen =
        ChooseAddresses(table_, *version_, std::nullopt, clock_.Now());
    seen.insert(chosen.begin(), chosen.end());
    clock_.Advance(std::chrono::microseconds(10));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// Guards against a stopping instance that keeps its callers until the end.
TEST_F(ChooseAddressesTest, LeavingInstanceReturnsOthers) {
  BeginLeaving(table_);
  EXPECT_EQ(Choose("large").count("1"), 0u);
  EXPECT_FALSE(Choose("small").empty());
}

// Guards against a caller that gets no address at all.
TEST_F(ChooseAddressesTest, NeverEmptyWhileServing) {
  clock_.Advance(std::chrono::seconds(5));
  SetFenced(table_, true);
  EXPECT_EQ(Choose("small"), std::set<std::string>{"1"});
  BeginLeaving(table_);
  EXPECT_EQ(Choose("small"), std::set<std::string>{"1"});
}

// Guards against callers that are sent to a data centre out of service.
TEST_F(ChooseAddressesTest, LeavesOutADataCentreOutOfService) {
  Document document = version_->document;
  document.data_centres[1].in_service = false;
  version_ = MakeVersion(document, "", "");
  EXPECT_EQ(Choose("large"), (std::set<std::string>{"1", "2", "3", "4"}));
}

// Guards against peers that count as reachable after a pause of this process.
TEST_F(ChooseAddressesTest, PauseForgetsPeers) {
  clock_.Advance(milliseconds(600));
  CheckForPause(table_, clock_.Now());
  EXPECT_EQ(Choose("large"), std::set<std::string>{"1"});
}

}  // namespace
}  // namespace mangodoor
