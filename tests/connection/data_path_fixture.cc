#include "connection/data_path_fixture.h"

#include <utility>

#include "version/io/digest.h"

namespace mangodoor {
namespace {

Route MakeRoute(const std::string& prefix, std::chrono::milliseconds timeout) {
  Route route;
  route.path_prefix = prefix;
  route.service = ServiceId("s");
  route.open = true;
  route.timeout = timeout;
  return route;
}

}  // namespace

DataPathTest::~DataPathTest() {
  // The data path is stopped first, since the fake server's threads can be
  // waiting for one of its connections to close.
  workers_.Stop();
  listener_.reset();
  pool_.reset();
}

void DataPathTest::Start(const std::vector<Endpoint>& servers) {
  servers_ = servers;
  pool_ = std::make_unique<BackendConnectionPool>(
      transport_, clock_, tables_.counters, pool_limits_);
  listener_ = std::make_unique<CallerListener>(
      workers_.context(), Endpoint{"127.0.0.1", 0},
      SessionContext{tables_, clock_, actions_, *pool_, retry_table_, limits_,
                     http_profile_, request_log_});
  EnterServiceAlone();
  if (has_initial_version_)
    Apply(MakeTestVersion(1));
  listener_->Start();
  workers_.Start();
}

void DataPathTest::StartWith(FakeServer::Script script) {
  server_ = std::make_unique<FakeServer>(std::move(script));
  Start({server_->endpoint()});
}

void DataPathTest::StartAgainWith(FakeServer::Script script) {
  if (!listener_)
    return StartWith(std::move(script));
  replaced_.push_back(std::move(server_));
  server_ = std::make_unique<FakeServer>(std::move(script));
  StartAgainWith({server_->endpoint()});
}

void DataPathTest::StartAgainWith(const std::vector<Endpoint>& servers) {
  if (!listener_)
    return Start(servers);
  servers_ = servers;
  Apply(MakeTestVersion(++version_number_));
}

VersionPtr DataPathTest::MakeTestVersion(uint64_t number,
                                         bool key_withdrawn) const {
  constexpr int kPlenty = 1000;
  Document document;
  document.version = number;
  DataCentre data_centre;
  data_centre.id = DataCentreId("dc");
  data_centre.entry_addresses = {listener_->endpoint()};
  document.data_centres = {data_centre};
  Service service;
  service.id = ServiceId("s");
  service.cold_concurrency = kPlenty;
  for (const Endpoint& endpoint : servers_) {
    BackendServer server;
    server.id = BackendServerId(ToString(endpoint));
    server.data_centre = data_centre.id;
    server.endpoint = endpoint;
    server.slots = kPlenty;
    server.connection_limit = kConnectionLimit;
    service.servers.push_back(server);
  }
  document.services = {service};
  document.routes = {MakeRoute("/open", route_timeout_),
                     MakeRoute("/keyed", route_timeout_),
                     MakeRoute("/idempotent", route_timeout_)};
  document.routes[1].open = false;
  document.routes[2].retry_rule = RetryRule::kAlways;
  ClientAccount account;
  account.id = ClientAccountId("account");
  account.rate_per_s = kPlenty;
  account.burst = kPlenty;
  document.client_accounts = {account};
  if (!key_withdrawn)
    document.keys = {{Sha256Hex(kKey), account.id}};
  return MakeVersion(std::move(document), std::to_string(number), "");
}

void DataPathTest::EnterServiceAlone() {
  Instance& self = tables_.membership.self;
  self.id = InstanceId("self");
  self.data_centre = DataCentreId("dc");
  self.caller_endpoint = listener_->endpoint();
  AdoptList(tables_.membership, {1, {self}});
  EnterService(tables_.membership);
  // Fencing is covered by the tests of version propagation; no configuration is
  // read here.
  tables_.versions.options.fence_when_stale = false;
}

void DataPathTest::ApplyToAccounts(const Version& version) {
  const Endpoint own = listener_->endpoint();
  if (version.document.version > 1) {
    ApplyVersion(tables_.accounts, version, own, clock_.Now());
    return;
  }
  // A new process issues no tokens at first, so pretend that it started a while
  // ago.
  constexpr std::chrono::seconds kUptime{15};
  constexpr std::chrono::milliseconds kTick{100};
  const TimePoint now = clock_.Now();
  TimePoint time = now - kUptime;
  ApplyVersion(tables_.accounts, version, own, time);
  for (; time < now; time += kTick)
    TickAccounts(tables_.accounts, time);
}

void DataPathTest::Apply(const VersionPtr& version) {
  const Endpoint own = listener_->endpoint();
  ApplyToAccounts(*version);
  ApplyVersion(tables_.servers, *version, own, DataCentreId("dc"),
               clock_.Now());
  AdoptWithoutPlannedChanges(tables_.versions, version);
}

void DataPathTest::AllowFleetRetries() {
  retry_table_.policy = RetryPolicy{1, std::chrono::seconds(1), 1000};
  retry_table_.division.instances.count = 1;
  retry_table_.division.from = TimePoint();
}

void DataPathTest::RecordFastResponses(int count) {
  for (int i = 0; i < count; ++i) {
    const TimePoint now = clock_.Now();
    const ServerReply reply = AcquireServer(
        tables_.servers,
        {ServiceId("s"), ClientAccountId(), now + std::chrono::seconds(1), {}},
        now, static_cast<uint64_t>(i), [](auto) {});
    ASSERT_EQ(reply.state, ServerReply::State::kChosen);
    AttemptResult result;
    result.end = AttemptResult::End::kAnswered;
    result.latency = std::chrono::milliseconds(5);
    ReleaseServer(tables_.servers, reply.chosen.server, result, now);
  }
}

std::string DataPathTest::Exchange(const std::string& request) {
  TestConnection connection = Connect();
  connection.Write(request);
  return connection.ReadAll();
}

bool Eventually(const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds kStep{5};
  constexpr int kSteps = 1000;
  for (int i = 0; i < kSteps; ++i) {
    if (condition())
      return true;
    std::this_thread::sleep_for(kStep);
  }
  return false;
}

ParsedResponse ReadResponse(TestConnection& connection) {
  const std::string bytes = connection.ReadAll();
  EXPECT_FALSE(connection.timed_out());
  return ParseResponse(
      bytes, false,
      connection.reset_by_peer() ? StreamEnd::kReset : StreamEnd::kClosed);
}

bool LooksLikeSuccess(const ParsedResponse& response) {
  return response.state == ParsedResponse::State::kComplete &&
         response.status == 200;
}

}  // namespace mangodoor
