#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <future>
#include <thread>

#include "fleet/harness/http_client.h"
#include "fleet/harness/loopback_network.h"
#include "process/io/fleet_process.h"
#include "process/io/settings.h"

namespace mangodoor {
namespace {

using std::chrono::seconds;
using testing::_;
using testing::NiceMock;

constexpr uint16_t kReadinessPort = 8101;
constexpr seconds kLimit(5);

class MockStore : public PlatformStore {
 public:
  MOCK_METHOD(void,
              ReadPage,
              (const std::string&, ReadConsistency, Callback),
              (override));
  MOCK_METHOD(void, ReadRevision, (Callback), (override));
  MOCK_METHOD(void,
              Watch,
              (uint64_t, std::chrono::milliseconds, Callback),
              (override));
};

/** A store with one item, which never changes. */
std::unique_ptr<PlatformStore> OpenStore(boost::asio::io_context& context) {
  auto store = std::make_unique<NiceMock<MockStore>>();
  ON_CALL(*store, ReadPage(_, _, _))
      .WillByDefault([&context](const std::string&, ReadConsistency,
                                const PlatformStore::Callback& done) {
        StoreAnswer answer;
        answer.kind = StoreAnswer::Kind::kItems;
        answer.items = {{"document", "", 1, false}};
        answer.revision = 1;
        boost::asio::post(context, [done, answer] { done(answer); });
      });
  return store;
}

Settings MakeSettings(const LoopbackNetwork& network) {
  const std::string host = network.Host(1, 1);
  Settings settings;
  settings.self.id = InstanceId("front");
  settings.self.data_centre = DataCentreId("zone");
  settings.self.caller_endpoint = {host, 8100};
  settings.self.peer_endpoint = {host, 8102};
  settings.admin_endpoint = {host, 8104};
  settings.fleet_secret = "secret";
  settings.worker_threads = 1;
  settings.fleet = FleetSettings();
  settings.fleet->readiness = {host, kReadinessPort};
  settings.fleet->directory = {host, 8103};
  return settings;
}

// Guards against requests that wait while a large document is decoded: with one
// worker, an instance did not answer for as long as that took.
TEST(SlowDocumentTest, RequestsAreAnsweredWhileItIsDecoded) {
  const LoopbackNetwork network;
  const Settings settings = MakeSettings(network);
  std::promise<void> began;
  std::promise<void> answered;
  PlatformInterface platform;
  platform.open_store = [](boost::asio::io_context& context, const Endpoint&) {
    return OpenStore(context);
  };
  platform.decode = [&](const StoreItem&, WallTime) {
    began.set_value();
    answered.get_future().wait_for(kLimit);
    return DecodedItem();
  };
  platform.readiness_page = [](const PageRequest&, bool) { return Page(); };
  std::thread instance(
      [&] { RunFleetInstance(settings, "settings", platform); });
  ASSERT_EQ(began.get_future().wait_for(kLimit), std::future_status::ready);
  const ClientResponse response = CallOnce(
      settings.fleet->readiness, {"GET", "/readiness", {}, ""}, kLimit / 2);
  answered.set_value();
  EXPECT_NE(response.status, 0);
  // The second signal ends the instance without waiting for callers.
  for (int i = 0; i < 2; ++i) {
    kill(getpid(), SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
  instance.join();
}

}  // namespace
}  // namespace mangodoor
