#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>

#include "version/document_check.h"
#include "version/document_diff.h"
#include "version/document_limits.h"
#include "version/io/document_codec.h"
#include "version/sample_document.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

int64_t GenerateInteger(const Range<int64_t>& range) {
  return *rc::gen::inRange<int64_t>(range.lowest, range.highest + 1);
}

Service GenerateService(int number) {
  Service service;
  service.id = ServiceId("s" + std::to_string(number));
  service.cold_concurrency =
      static_cast<int>(GenerateInteger(kColdConcurrencyRange));
  service.ramp = milliseconds(GenerateInteger(kRampRangeMs));
  service.cold_max = milliseconds(GenerateInteger(kColdMaxRangeMs));
  service.probe_budget_per_s =
      0.01 * static_cast<double>(GenerateInteger({1, 100000}));
  service.queue_limit = static_cast<int>(GenerateInteger(kQueueLimitRange));
  const int servers = static_cast<int>(GenerateInteger({1, 5}));
  for (int i = 0; i < servers; ++i) {
    BackendServer server;
    server.id = BackendServerId(service.id.value() + "-" + std::to_string(i));
    server.data_centre = DataCentreId(*rc::gen::element("east", "west"));
    server.endpoint = {
        "10.1." + std::to_string(number) + "." + std::to_string(i),
        static_cast<uint16_t>(GenerateInteger({1, 65535}))};
    server.slots = static_cast<int>(GenerateInteger(kSlotsRange));
    server.mode = *rc::gen::element(ServerMode::kActive, ServerMode::kDraining);
    service.servers.push_back(server);
  }
  return service;
}

Document GenerateDocument() {
  Document document = SampleDocument();
  document.version = static_cast<uint64_t>(GenerateInteger(kVersionRange));
  document.admission_wait =
      milliseconds(GenerateInteger(kAdmissionWaitRangeMs));
  document.address_keep = milliseconds(GenerateInteger(kAddressKeepRangeMs));
  const int services = static_cast<int>(GenerateInteger({0, 4}));
  for (int i = 0; i < services; ++i) {
    document.services.push_back(GenerateService(i));
    Route route;
    route.path_prefix = "/s" + std::to_string(i);
    route.service = document.services.back().id;
    route.open = *rc::gen::arbitrary<bool>();
    document.routes.push_back(route);
    document.client_accounts.push_back(
        {ClientAccountId("a" + std::to_string(i)),
         0.001 * static_cast<double>(GenerateInteger({1, 10000000000})),
         GenerateInteger(kBurstRange),
         static_cast<int>(GenerateInteger(kWeightRange))});
  }
  for (const auto kind :
       *rc::gen::container<std::vector<ChangeKind>>(rc::gen::element(
           ChangeKind::kServerDrain, ChangeKind::kServerActive))) {
    const std::chrono::nanoseconds at(GenerateInteger({0, int64_t{1} << 62}));
    document.planned_changes.push_back(
        {WallTime(std::chrono::duration_cast<WallTime::duration>(at)), kind,
         "o1"});
  }
  return document;
}

// Guards against a valid document that is rejected or decoded differently.
TEST(DocumentPropertyTest, ValidDocumentsPassAndKeepTheirContent) {
  EXPECT_TRUE(rc::check([] {
    const Document document = GenerateDocument();
    RC_ASSERT(CheckDocument(document).empty());
    const Document decoded = DecodeDocument(EncodeDocument(document));
    RC_ASSERT(DescribeChanges(document, decoded).empty());
    RC_ASSERT(EncodeDocument(decoded) == EncodeDocument(document));
  }));
}

// Guards against a crash or an unexpected exception on damaged text.
TEST(DocumentPropertyTest, DamagedTextIsRejectedOrValid) {
  const std::string good = EncodeDocument(SampleDocument());
  EXPECT_TRUE(rc::check([&good] {
    std::string text = good;
    const int edits = static_cast<int>(GenerateInteger({1, 4}));
    for (int i = 0; i < edits; ++i) {
      const auto at = static_cast<size_t>(
          GenerateInteger({0, static_cast<int64_t>(text.size()) - 1}));
      const auto count = static_cast<size_t>(GenerateInteger({0, 12}));
      const auto insert = *rc::gen::element<std::string>(
          "", "{", "}", "[", "]", "\"", ",", ":", "-1", "1e400", "null", "\xff",
          std::string(1, '\0'), "//", "/*", "9007199254740993", "\\u0");
      text.replace(at, count, insert);
    }
    try {
      RC_ASSERT(CheckDocument(DecodeDocument(text)).empty());
    } catch (const DocumentError& error) {
      RC_ASSERT(!error.faults().empty());
    }
  }));
}

// Guards against a check that accepts NaN or infinity, which a Document can
// hold although JSON has neither.
TEST(DocumentPropertyTest, NotANumberIsAFault) {
  Document document = SampleDocument();
  document.client_accounts[0].rate_per_s =
      std::numeric_limits<double>::quiet_NaN();
  document.services[0].probe_budget_per_s =
      std::numeric_limits<double>::infinity();
  EXPECT_EQ(CheckDocument(document).size(), 2U);
}

}  // namespace
}  // namespace mangodoor
