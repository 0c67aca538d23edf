#include "version/document_diff.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "version/sample_document.h"

namespace mangodoor {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

// Guards against an audit trail that reports changes where there are none.
TEST(DocumentDiffTest, OrderAndVersionAreNotChanges) {
  const Document before = SampleDocument();
  Document after = SampleDocument();
  after.version = 8;
  std::swap(after.data_centres[0], after.data_centres[1]);
  EXPECT_THAT(DescribeChanges(before, after), IsEmpty());
}

// Guards against a change that is in force but missing from the audit trail,
// and against complete key digests in the trail.
TEST(DocumentDiffTest, ChangesAreDescribed) {
  const Document before = SampleDocument();
  Document after = SampleDocument();
  after.admission_wait = std::chrono::milliseconds(80);
  after.data_centres[1].in_service = false;
  after.data_centres[0].entry_addresses[0].port = 7200;
  after.services[0].servers[1].mode = ServerMode::kActive;
  after.services[0].servers.erase(after.services[0].servers.begin());
  after.routes[0].open = true;
  after.client_accounts[0].rate_per_s = 80;
  after.client_accounts[0].burst = 60;
  after.keys[0].digest = "3fa9" + std::string(60, 'b');
  after.planned_changes.pop_back();
  EXPECT_THAT(
      DescribeChanges(before, after),
      ElementsAre("document: admission wait 50 ms -> 80 ms",
                  "data centre east: entry address 10.0.0.1:7100 removed",
                  "data centre east: entry address 10.0.0.1:7200 added",
                  "data centre west taken out of service",
                  "service orders, backend server o1 removed",
                  "service orders, backend server o2: mode draining -> active",
                  "route /orders: open no -> yes",
                  "client account shop: rate 100/s -> 80/s",
                  "client account shop: burst 50 -> 60",
                  "key aaaaaaaa… withdrawn from client account shop",
                  "key 3fa9bbbb… issued to client account shop",
                  "no longer planned: key_withdraw of aaaaaaaa… at "
                  "2027-01-15T09:00:00Z"));
}

// Guards against added or removed entries that are not described.
TEST(DocumentDiffTest, AddedEntriesAreDescribed) {
  Document before;
  const auto lines = DescribeChanges(before, SampleDocument());
  EXPECT_THAT(
      lines, ::testing::IsSupersetOf(
                 {"data centre west added with 1 entry addresses, in service",
                  "service orders added with 2 backend servers",
                  "route /orders added to service orders",
                  "client account shop added with rate 100/s and burst 50",
                  "planned: data_centre_out of west at 2027-01-15T08:00:00Z"}));
  EXPECT_EQ(lines.size(), DescribeChanges(SampleDocument(), before).size());
}

}  // namespace
}  // namespace mangodoor
