#include <future>

#include "connection/data_path_fixture.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId service_id("s");
const BackendServerId server_id("i1");

/** A service whose one server registers itself, and reports no load. */
class ColdServerTest : public DataPathTest {
 protected:
  void StartWithDiscovered(FakeServer::Script script) {
    StartWith(std::move(script));
    Document document = MakeTestVersion(2)->document;
    Service& service = document.services.front();
    service.servers.clear();
    service.discovered = true;
    service.cold_rate_per_s = 1;
    service.connection_limit = 1;
    service.queue_limit = 1;
    Apply(MakeVersion(std::move(document), "2", ""));
    InstanceShares shares;
    shares.instances = {{DataCentreId("dc"), 1}};
    shares.cold.own_data_centre = 1;
    shares.cold.until = TimePoint::max();
    SetInstanceShares(tables_.servers, shares);
    ApplyRecord(Duration::zero());
    AnswerProbe();
  }

  /** The server answers a probe: it is warm, and reports no load. */
  void AnswerProbe() {
    ProbeResult without_load;
    without_load.answered = true;
    without_load.healthy = true;
    actions_.Run(HandleProbeResult(tables_.servers, server_id, without_load,
                                   clock_.Now()));
  }

  void ApplyRecord(Duration cold_remaining) {
    ServerRecord record;
    record.id = server_id;
    record.service = service_id;
    record.data_centre = DataCentreId("dc");
    record.endpoint = server_->endpoint();
    record.slots = 3;
    record.cold_remaining = cold_remaining;
    record.revision = ++revision_;
    actions_.Run(ApplyRecords(tables_.servers, {record}, {}, clock_.Now()));
  }

  int Outstanding() {
    return ServerStatuses(tables_.servers, clock_.Now()).at(0).outstanding;
  }

 private:
  uint64_t revision_ = 0;
};

// Guards against a refusal by a service with one server, because that turned
// cold after it was chosen: the request can be sent to it a second later.
TEST_F(ColdServerTest, WithdrawnRequestWaitsForTheSameServer) {
  std::promise<void> may_respond;
  const std::shared_future<void> released = may_respond.get_future().share();
  StartWithDiscovered([released](TestConnection& connection) {
    while (!connection.ReadHead().empty()) {
      released.wait();
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  TestConnection first = Connect();
  first.Write(kGet);
  ASSERT_TRUE(Eventually([this] { return Outstanding() == 1; }));
  // Waits for a probe, since the server can have turned cold, and then for the
  // only connection.
  TestConnection second = Connect();
  second.Write(kGet);
  ASSERT_TRUE(Eventually([this] {
    AnswerProbe();
    return Outstanding() == 2;
  }));
  ApplyRecord(seconds(60));
  may_respond.set_value();
  EXPECT_THAT(first.ReadHead(), testing::StartsWith("HTTP/1.1 200"));
  auto response =
      std::async(std::launch::async, [&second] { return second.ReadHead(); });
  EXPECT_TRUE(Eventually([this, &response] {
    actions_.Run(TickServers(tables_.servers, clock_.Now()));
    return response.wait_for(milliseconds(10)) == std::future_status::ready;
  }));
  EXPECT_THAT(response.get(), testing::StartsWith("HTTP/1.1 200"));
}

}  // namespace
}  // namespace mangodoor
