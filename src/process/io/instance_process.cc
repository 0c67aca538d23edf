#include "process/io/instance_process.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <csignal>
#include <functional>
#include <random>

#include "connection/io/backend_connection_pool.h"
#include "connection/io/caller_listener.h"
#include "process/io/action_runner.h"
#include "process/io/early_signals.h"
#include "process/io/log.h"
#include "process/io/settings.h"
#include "process/io/ticker.h"
#include "process/membership/io/instance_list_source.h"
#include "process/peers/io/peer_connection_manager.h"
#include "process/servers/io/health_prober.h"
#include "process/servers/retry_table.h"
#include "process/status/io/admin_server.h"
#include "process/system_clock.h"
#include "process/tables.h"
#include "process/versions/io/document_source.h"
#include "process/versions/io/propagation_runner.h"
#include "process/worker_pool.h"
#include "request/io/request_log.h"

namespace mangodoor {
namespace {

// The interval at which token buckets, queues and cold-start ramps are
// advanced. It bounds how long a request still waits once it could proceed.
constexpr Duration kTableTick = std::chrono::milliseconds(10);
constexpr Duration kReportTick = std::chrono::milliseconds(50);
constexpr Duration kIdleConnectionTick = std::chrono::seconds(1);

// A caller may have received this instance's address just before the other
// instances learned that it is leaving. The margin leaves the caller time to
// connect.
constexpr std::chrono::milliseconds kLeaveMargin(1000);

/**
 * Owns all objects that live as long as the process. Members are declared after
 * those that they hold references to.
 */
class InstanceProcess {
 public:
  explicit InstanceProcess(const Settings& settings);

  int Run();

 private:
  PeerConnectionCallbacks PeerCallbacks();
  void HandlePeerMessage(const InstanceId& from, const PeerMessage& message);
  void HandleReports(const InstanceId& from, std::vector<ServerReport> reports);
  void HandlePeerConnected(const InstanceId& peer);
  void HandlePeerLost(const InstanceId& peer);
  void PostVersionInForce();
  void TickPropagation();
  void TickTables();
  void WaitForSignal();
  void BeginPlannedStop();
  void StartDraining();
  std::chrono::milliseconds AddressTimeToLive() const;

  const Settings& settings_;
  SystemClock clock_;
  Tables tables_;
  RetryTable retry_table_;
  RequestLog request_log_{clock_};
  WorkerPool pool_;
  PeerConnectionManager peers_;
  HealthProber health_prober_;
  ActionRunner actions_;
  HttpDocumentSource document_source_;
  HttpInstanceListSource instance_list_source_;
  PropagationRunner propagation_;
  TcpBackendTransport transport_;
  BackendConnectionPool backends_;
  CallerListener listener_;
  AdminServer admin_;
  Ticker table_ticker_;
  Ticker propagation_ticker_;
  Ticker report_ticker_;
  Ticker idle_connection_ticker_;
  boost::asio::strand<boost::asio::io_context::executor_type> apply_strand_;
  // Used only by TickPropagation, which never runs concurrently.
  std::mt19937_64 random_{std::random_device{}()};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer leave_timer_;
  bool stopping_ = false;
};

InstanceProcess::InstanceProcess(const Settings& settings)
    : settings_(settings),
      pool_(settings.worker_threads),
      peers_(pool_.context(),
             {settings.self, settings.fleet_secret, {}},
             PeerCallbacks(),
             clock_,
             tables_.counters),
      health_prober_(
          pool_.context(),
          tables_.counters,
          [this](const BackendServerId& server, const ProbeResult& result) {
            actions_.Run(HandleProbeResult(tables_.servers, server, result,
                                           clock_.Now()));
          }),
      actions_(
          peers_,
          [this](const ChosenServer& server) { health_prober_.Probe(server); }),
      document_source_(pool_.context(),
                       settings.configuration_service,
                       tables_.counters),
      instance_list_source_(pool_.context(), settings.instance_list),
      propagation_(tables_,
                   clock_,
                   peers_,
                   document_source_,
                   instance_list_source_,
                   {[this](const Version&) { PostVersionInForce(); },
                    [this](const std::vector<Instance>& peers) {
                      peers_.SetPeers(peers);
                    },
                    [] { Log(LogLevel::kInfo, "in_service"); }}),
      transport_(pool_.context()),
      backends_(transport_, clock_, tables_.counters),
      listener_(
          pool_.context(),
          settings.self.caller_endpoint,
          SessionContext{tables_, clock_, actions_, backends_, retry_table_,
                         TimeLimits{}, DefaultHttpProfile(), &request_log_}),
      admin_(tables_, clock_, pool_.context(), settings.admin_endpoint),
      table_ticker_(pool_.context(), kTableTick, [this] { TickTables(); }),
      propagation_ticker_(pool_.context(),
                          kPropagationTick,
                          [this] { TickPropagation(); }),
      report_ticker_(pool_.context(),
                     kReportTick,
                     [this] { actions_.SendReports(); }),
      idle_connection_ticker_(pool_.context(),
                              kIdleConnectionTick,
                              [this] { backends_.CloseIdle(clock_.Now()); }),
      apply_strand_(boost::asio::make_strand(pool_.context())),
      signals_(pool_.context(), SIGTERM, SIGINT),
      leave_timer_(pool_.context()) {
  tables_.membership.self = settings.self;
  SeedLeaseNames(tables_.accounts, std::random_device{}());
}

int InstanceProcess::Run() {
  peers_.Start();
  listener_.Start();
  for (Ticker* ticker : {&table_ticker_, &propagation_ticker_, &report_ticker_,
                         &idle_connection_ticker_})
    ticker->Start();
  WaitForSignal();
  ReleaseSignals();
  Log(LogLevel::kInfo, "started",
      {{"id", settings_.self.id.value()},
       {"caller", ToString(settings_.self.caller_endpoint)},
       {"peer", ToString(settings_.self.peer_endpoint)},
       {"admin", ToString(settings_.admin_endpoint)}});
  pool_.Start();
  pool_.Join();
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

PeerConnectionCallbacks InstanceProcess::PeerCallbacks() {
  return {[this](const InstanceId& from, const PeerMessage& message) {
            HandlePeerMessage(from, message);
          },
          [](const InstanceId&) {},
          [this](const InstanceId& peer) { HandlePeerConnected(peer); },
          [this](const InstanceId& peer) { HandlePeerLost(peer); }};
}

void InstanceProcess::HandlePeerMessage(const InstanceId& from,
                                        const PeerMessage& message) {
  const TimePoint now = clock_.Now();
  if (const auto* reports = std::get_if<ServerReports>(&message)) {
    HandleReports(from, reports->reports);
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    ConfirmEntryAddresses(tables_.accounts, heartbeat->version,
                          heartbeat->addresses_unchanged, now);
  }
  // Both calls handle heartbeats, which carry spare tokens of client accounts
  // and the state of the propagation of versions.
  actions_.Run(HandleAccountMessage(tables_.accounts, from, message, now));
  propagation_.HandleMessage(from, message);
}

void InstanceProcess::HandleReports(const InstanceId& from,
                                    std::vector<ServerReport> reports) {
  for (ServerReport& report : reports) {
    if (report.source.empty())
      report.source = from;
  }
  actions_.Run(HandleServerReports(tables_.servers, reports, clock_.Now()));
}

void InstanceProcess::HandlePeerConnected(const InstanceId& peer) {
  Log(LogLevel::kInfo, "peer_connected", {{"peer", peer.value()}});
  propagation_.HandleConnected(peer);
  const ServerReports known{KnownServerStates(tables_.servers, clock_.Now())};
  if (!known.reports.empty())
    peers_.Send(peer, known);
}

void InstanceProcess::HandlePeerLost(const InstanceId& peer) {
  Log(LogLevel::kWarning, "peer_lost", {{"peer", peer.value()}});
  ForgetPeer(tables_.accounts, peer);
}

void InstanceProcess::PostVersionInForce() {
  // Two workers can put two versions in force at the same time. On the strand,
  // each update of the tables uses the version in force at that moment, so the
  // tables never go back to an older one.
  boost::asio::post(apply_strand_, [this] {
    const VersionPtr version = VersionInForce(tables_.versions);
    const TimePoint now = clock_.Now();
    ApplyVersion(tables_.accounts, *version, settings_.self.caller_endpoint,
                 now);
    actions_.Run(ApplyVersion(tables_.servers, *version,
                              settings_.self.caller_endpoint,
                              settings_.self.data_centre, now));
  });
}

void InstanceProcess::TickPropagation() {
  propagation_.Tick(ListSpareTokens(tables_.accounts, clock_.Now()),
                    std::uniform_real_distribution<double>(0, 1)(random_));
}

void InstanceProcess::TickTables() {
  const TimePoint now = clock_.Now();
  SetFenced(tables_.accounts, !MayServeKeyedRequests(tables_.versions, now),
            now);
  actions_.Run(TickAccounts(tables_.accounts, now));
  actions_.Run(TickServers(tables_.servers, now));
}

void InstanceProcess::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (error)
      return;
    if (stopping_) {
      // A second signal means that the operator does not want to wait.
      Log(LogLevel::kWarning, "stopped_without_waiting");
      pool_.context().stop();
      return;
    }
    stopping_ = true;
    BeginPlannedStop();
    WaitForSignal();
  });
}

void InstanceProcess::BeginPlannedStop() {
  const auto wait = AddressTimeToLive() + kLeaveMargin;
  Log(LogLevel::kInfo, "leaving", {{"wait_ms", wait.count()}});
  BeginLeaving(tables_.membership);
  StopLending(tables_.accounts);
  leave_timer_.expires_after(wait);
  leave_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      StartDraining();
  });
}

void InstanceProcess::StartDraining() {
  listener_.Drain([this] {
    admin_.Stop();
    peers_.Stop();
    pool_.context().stop();
  });
}

std::chrono::milliseconds InstanceProcess::AddressTimeToLive() const {
  const VersionPtr version = VersionInForce(tables_.versions);
  return version ? version->document.address_keep
                 : std::chrono::milliseconds(0);
}

}  // namespace

int RunInstance(const Settings& settings) {
  return InstanceProcess(settings).Run();
}

}  // namespace mangodoor
