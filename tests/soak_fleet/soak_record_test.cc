#include "soak_fleet/soak_record.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "soak_fleet/soak_plan.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::Contains;
using ::testing::Each;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;

// Guards against checks that cannot fail: each test records a violation that
// has to be found.
class SoakRecordTest : public testing::Test {
 protected:
  static TimePoint At(milliseconds offset) {
    return TimePoint(std::chrono::hours(1)) + offset;
  }

  ObservedRequest& AddRequest(int status, bool idempotent) {
    ObservedRequest request;
    request.id = "c";
    request.method = "POST";
    request.path = kPath;
    request.idempotent = idempotent;
    request.status = status;
    request.response_id = "c";
    if (status == 200) {
      request.signature = "i-1.c";
      request.body = DigestOf(MakeBody({"i-1", kPath, "c", status}));
      record_.responses.insert({"c", {"i-1", status}});
    }
    request.sent_at = At(seconds(6));
    request.ended_at = At(milliseconds(6020));
    record_.requests.push_back(request);
    return record_.requests.back();
  }

  void AddVersionCheck(milliseconds sent_at,
                       bool in_force,
                       int incarnation = 0) {
    record_.version_checks.push_back({0, incarnation, 7, At(sent_at),
                                      At(sent_at + milliseconds(5)), in_force});
  }

  void AddRun(int zone) {
    record_.runs.insert({"c", {zone, "POST", kPath, DigestOf("").hash}});
  }

  static constexpr char kPath[] = "/order/c?bytes=300&chunked";

  SoakRecord record_;
};

TEST_F(SoakRecordTest, CorrectRunHasNoViolation) {
  AddRequest(200, false);
  AddRun(0);
  record_.published = {{7, At(seconds(0))}};
  AddVersionCheck(milliseconds(1900), false);
  AddVersionCheck(seconds(3), true);
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, SecondRunOfARequestIsFound) {
  AddRequest(200, false);
  AddRun(0);
  AddRun(1);
  record_.started_at = At(seconds(1));
  EXPECT_THAT(
      FindViolations(record_),
      ElementsAre(HasSubstr("c (sent at 5000 ms) ran 2 times; servers sent")));
}

TEST_F(SoakRecordTest, RefusalOfARequestThatRanIsFound) {
  AddRequest(503, false);
  AddRun(0);
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("was refused")));
}

TEST_F(SoakRecordTest, ResponseOfAnotherRequestIsFound) {
  AddRequest(200, true).body =
      DigestOf(MakeBody({"i-1", "/order/other", "c", 200}));
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("got another body")));
}

TEST_F(SoakRecordTest, ResponseWithTheIdOfAnotherRequestIsFound) {
  AddRequest(503, true).response_id = "other";
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("another request, other")));
}

TEST_F(SoakRecordTest, TruncatedResponseIsFound) {
  BodyDigest& body = AddRequest(200, true).body;
  body = DigestOf(MakeBody({"i-1", kPath, "c", 200}).substr(0, 299));
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("got another body")));
}

TEST_F(SoakRecordTest, SuccessWithoutIdOrSignatureIsFound) {
  AddRequest(200, true).response_id = "";
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("without its id")));
  record_.requests.back().response_id = "c";
  record_.requests.back().signature = "";
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("without signature")));
  record_.requests.back().signature = "i-1.other";
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("another signature")));
}

// Guards against a status that hides what the server answered, for example a
// 200 of an extra response in place of a 500.
TEST_F(SoakRecordTest, StatusThatTheServerDidNotSendIsFound) {
  AddRequest(200, true);
  record_.responses.clear();
  record_.responses.insert({"c", {"i-1", 500}});
  record_.responses.insert({"c", {"i-2", 200}});
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("status that its server did not send")));
}

TEST_F(SoakRecordTest, BytesOfAServerWithoutSignatureAreFound) {
  AddRequest(502, true).body = DigestOf("i-1 /order/other");
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("server's bytes without signature")));
  record_.requests.back().body = DigestOf("the server failed");
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

// A response to HEAD has no body, so only its head is checked.
TEST_F(SoakRecordTest, HeadResponseNeedsNoBody) {
  ObservedRequest& request = AddRequest(200, true);
  request.method = "HEAD";
  request.body = DigestOf("");
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, BytesThatAreNotAResponseAreFound) {
  AddRequest(0, true).malformed = "bad version";
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("not a response: bad version")));
}

TEST_F(SoakRecordTest, BytesWithoutRequestAreFound) {
  record_.stray_bytes.push_back({"c", "HTTP/1.1 200 OK\r\n"});
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("17 bytes followed the response to c")));
}

TEST_F(SoakRecordTest, ChangedRequestIsFound) {
  AddRequest(200, false);
  const size_t empty = DigestOf("").hash;
  for (const ServerRun& changed :
       {ServerRun{0, "GET", kPath, empty}, ServerRun{0, "POST", "/x", empty},
        ServerRun{0, "POST", kPath, DigestOf("x").hash}}) {
    record_.runs.clear();
    record_.runs.insert({"c", changed});
    EXPECT_THAT(FindViolations(record_),
                ElementsAre(HasSubstr("another method, path or body")));
  }
}

TEST_F(SoakRecordTest, MemoryBeyondTheBoundIsFound) {
  constexpr uint64_t kMegabyte = uint64_t{1024} * 1024;
  record_.peak_memory[{3, 0}] = 160 * kMegabyte;
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  record_.peak_memory[{3, 1}] = 161 * kMegabyte;
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("instance 3 used")));
}

TEST_F(SoakRecordTest, UnknownRunAndLeakedKeyAreFound) {
  record_.runs.insert({"x", {}});
  record_.keys_seen = 1;
  EXPECT_THAT(
      FindViolations(record_),
      ElementsAre(HasSubstr("no caller sent"), HasSubstr("reached servers")));
}

TEST_F(SoakRecordTest, LateVersionIsFoundOnlyOutsideFaultPeriods) {
  record_.published = {{7, At(seconds(0))}};
  AddVersionCheck(milliseconds(2100), false);
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("in time")));
  record_.fault_periods = {{0, At(seconds(-4)), At(seconds(-1))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  record_.fault_periods = {{1, At(seconds(-4)), At(seconds(-1))}};
  EXPECT_THAT(FindViolations(record_), Not(IsEmpty()));
  record_.fault_periods = {{FaultPeriod::kAllInstances, At(seconds(1))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, RollbackIsFoundWithinOneIncarnation) {
  record_.published = {{7, At(seconds(0))}};
  record_.fault_periods = {{FaultPeriod::kAllInstances, At(seconds(0))}};
  AddVersionCheck(seconds(3), true);
  AddVersionCheck(seconds(4), false, 1);
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  AddVersionCheck(seconds(4), false);
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("any more")));
}

// Guards against a false violation if a version is replaced while the request
// that checks it is in flight.
TEST_F(SoakRecordTest, ReplacedVersionIsNotARollback) {
  record_.published = {{7, At(seconds(0)), At(milliseconds(4003))}};
  AddVersionCheck(seconds(3), true);
  AddVersionCheck(seconds(4), false);
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, RunInEvacuatedZoneIsFound) {
  AddRequest(200, true);
  AddRun(1);
  record_.evacuations = {{1, At(seconds(0))}};
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("evacuated")));
  record_.evacuations = {{0, At(seconds(0))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  // The evacuation can be lifted while the request is in flight.
  record_.evacuations = {{1, At(seconds(0)), At(milliseconds(6010))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

// Guards against a request without an end that the record accepts.
TEST_F(SoakRecordTest, RequestWithoutFinalAnswerIsFound) {
  ObservedRequest& request = AddRequest(0, true);
  request.ended_at = request.sent_at + milliseconds(2600);
  EXPECT_THAT(FindViolations(record_),
              ElementsAre(HasSubstr("had no final answer after 2600 ms")));
  record_.fault_periods = {{0, At(seconds(7)), At(seconds(7))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

// Guards against a plan that cannot be reproduced from its seed.
TEST(SoakPlanTest, SeedGivesTheSameFaults) {
  const SoakSize size;
  std::vector<std::string> first;
  std::vector<std::string> second;
  for (const SoakFault& fault : PlanSoak(7, size))
    first.push_back(Describe(fault));
  for (const SoakFault& fault : PlanSoak(7, size))
    second.push_back(Describe(fault));
  EXPECT_EQ(first, second);
  EXPECT_GT(first.size(), 5U);
}

// Guards against a kind of faulty response that no seed plays.
TEST(SoakPlanTest, AllKindsOfFaultyResponsesOccur) {
  SoakSize size;
  size.unavailable_after_run = true;
  std::vector<std::string> descriptions;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    for (const SoakFault& fault : PlanSoak(seed, size))
      descriptions.push_back(Describe(fault));
  }
  for (int i = 0; i < kServerFaultKinds; ++i) {
    EXPECT_THAT(descriptions,
                Contains(HasSubstr(NameOf(static_cast<ServerFaultKind>(i)))));
  }
}

}  // namespace
}  // namespace mangodoor
