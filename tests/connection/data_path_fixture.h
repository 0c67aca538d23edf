#ifndef TESTS_CONNECTION_DATA_PATH_FIXTURE_H_
#define TESTS_CONNECTION_DATA_PATH_FIXTURE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection/fake_server.h"
#include "connection/io/backend_connection_pool.h"
#include "connection/io/caller_listener.h"
#include "connection/response_parser.h"
#include "process/io/action_runner.h"
#include "process/servers/retry_table.h"
#include "process/system_clock.h"
#include "process/tables.h"
#include "process/worker_pool.h"
#include "request/io/request_log.h"

namespace mangodoor {

class MockPeerTransport : public PeerTransport {
 public:
  MOCK_METHOD(void, Send, (const InstanceId&, const PeerMessage&), (override));
  MOCK_METHOD(std::vector<InstanceId>, ConnectedPeers, (), (const, override));
};

/**
 * The data path of an instance with fake backend servers. Routes: "/open" needs
 * no key, "/keyed" needs `kKey`, "/idempotent" declares its requests
 * idempotent.
 */
class DataPathTest : public testing::Test {
 protected:
  static constexpr char kKey[] = "key-one";
  static constexpr int kConnectionLimit = 8;
  static constexpr char kGet[] = "GET /open HTTP/1.1\r\nHost: a\r\n\r\n";

  ~DataPathTest() override;

  /** Starts the data path with `servers` as its backend servers. */
  void Start(const std::vector<Endpoint>& servers);
  void StartWith(FakeServer::Script script);
  /** Starts with a server that runs `script`, or replaces all servers by it. */
  void StartAgainWith(FakeServer::Script script);
  /** Starts with `servers`, or replaces all servers by them. */
  void StartAgainWith(const std::vector<Endpoint>& servers);

  /** A version with this `number`, without `kKey` if `key_withdrawn`. */
  VersionPtr MakeTestVersion(uint64_t number, bool key_withdrawn = false) const;
  void Apply(const VersionPtr& version);
  void ApplyToAccounts(const Version& version);
  void EnterServiceAlone();
  /**
   * Allows many retries under a policy of the fleet, as for the only instance
   * of a fleet some time after its start.
   */
  void AllowFleetRetries();
  /** Records `count` fast responses in the server table. */
  void RecordFastResponses(int count);

  TestConnection Connect() { return TestConnection(listener_->endpoint()); }
  /** Sends `request` over a new connection, and reads until it is closed. */
  std::string Exchange(const std::string& request);
  uint64_t ErrorCount(ErrorKind kind) const {
    return tables_.counters.errors[static_cast<size_t>(kind)];
  }

  uint64_t FaultCount(ResponseFault fault) const {
    return tables_.counters.response_faults[static_cast<size_t>(fault)];
  }

  TimeLimits limits_;
  HttpProfile http_profile_;
  BackendConnectionLimits pool_limits_;
  std::chrono::milliseconds route_timeout_{3000};
  std::unique_ptr<FakeServer> server_;
  /** Servers that StartAgainWith has replaced. */
  std::vector<std::unique_ptr<FakeServer>> replaced_;
  uint64_t version_number_ = 1;
  std::vector<Endpoint> servers_;
  SystemClock clock_;
  Tables tables_;
  RetryTable retry_table_;
  /** Set before Start, if requests are to be logged. */
  RequestLog* request_log_ = nullptr;
  /** If false, the instance starts without a configuration version. */
  bool has_initial_version_ = true;
  testing::NiceMock<MockPeerTransport> peers_;
  ActionRunner actions_{peers_, [](const ChosenServer&) {}};
  WorkerPool workers_{2};
  TcpBackendTransport transport_{workers_.context()};
  std::unique_ptr<BackendConnectionPool> pool_;
  std::unique_ptr<CallerListener> listener_;
};

/**
 * Waits up to five seconds for `condition`; false if it does not hold by then.
 */
bool Eventually(const std::function<bool()>& condition);

/** Reads the response on `connection`, which its other side ends. */
ParsedResponse ReadResponse(TestConnection& connection);

/** True if a caller takes `response` for a success that is complete. */
bool LooksLikeSuccess(const ParsedResponse& response);

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_DATA_PATH_FIXTURE_H_
