#include "process/io/fleet_process.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cmath>
#include <csignal>
#include <map>
#include <utility>

#include "connection/io/backend_connection_pool.h"
#include "connection/io/caller_listener.h"
#include "process/accounts/io/token_exchange.h"
#include "process/fleet/address_plan.h"
#include "process/fleet/advertised_instances.h"
#include "process/fleet/capacity_grant.h"
#include "process/fleet/capacity_shares.h"
#include "process/fleet/fleet_table.h"
#include "process/io/action_runner.h"
#include "process/io/cold_server_log.h"
#include "process/io/early_signals.h"
#include "process/io/log.h"
#include "process/io/settings.h"
#include "process/io/shares_log.h"
#include "process/io/store_feed.h"
#include "process/io/ticker.h"
#include "process/peers/io/peer_connection_manager.h"
#include "process/registry/feed.h"
#include "process/servers/io/load_prober.h"
#include "process/servers/retry_table.h"
#include "process/status/io/admin_server.h"
#include "process/system_clock.h"
#include "process/tables.h"
#include "process/worker_pool.h"
#include "request/io/request_log.h"

namespace mangodoor {
namespace {

constexpr Duration kServerTableTick = std::chrono::milliseconds(10);
constexpr Duration kIdleConnectionTick = std::chrono::seconds(1);

// Fractions of the grace period of a planned stop: new callers are accepted
// until the first, requests are taken only if their deadline lies before the
// second, and those that still run at the third are cut.
constexpr double kListenFraction = 0.45;
constexpr double kDeadlineFraction = 0.9;
constexpr double kDrainFraction = 0.95;

// Fraction of `fence_after` at which requests with an API key are refused. It
// is below 1 because this instance's copy of the store counts as current from
// the arrival of the store's response, which by then is already some time old.
constexpr double kFenceFraction = 0.95;

constexpr size_t kMaxDirectoryConnections = 1024;

Member OwnMember(const Settings& settings, const Clock& clock) {
  Member self;
  self.id = IdOfEndpoint(settings.self.peer_endpoint);
  self.data_centre = settings.self.data_centre;
  self.caller_endpoint = settings.self.caller_endpoint;
  self.peer_endpoint = settings.self.peer_endpoint;
  self.millicores = static_cast<int>(std::lround(
      settings.fleet->processor_share * settings.worker_threads * 1000));
  // The start time is used, so that a restarted process has a higher
  // incarnation. If a peer knows a higher one, ApplyUpdateOfSelf raises this
  // incarnation above it.
  self.incarnation = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          clock.WallNow().time_since_epoch())
          .count());
  return self;
}

Instance PeerIdentity(const Settings& settings) {
  Instance self = settings.self;
  self.id = IdOfEndpoint(settings.self.peer_endpoint);
  return self;
}

// A figure that cannot be used is no reason not to serve, but operators have to
// know of it.
void LogReplaced(const Settings& settings) {
  for (const ReplacedSetting& replaced : settings.replaced)
    Log(LogLevel::kWarning, "setting_replaced",
        {{"setting", replaced.path},
         {"seen", replaced.seen},
         {"allowed", replaced.allowed},
         {"used", replaced.used}});
}

std::chrono::milliseconds FractionOf(std::chrono::milliseconds whole,
                                     double fraction) {
  return std::chrono::milliseconds(
      static_cast<int64_t>(static_cast<double>(whole.count()) * fraction));
}

/**
 * Owns all objects that live as long as the process. Members are declared after
 * those that they hold references to.
 */
class FleetProcess {
 public:
  FleetProcess(const Settings& settings,
               std::string settings_path,
               const PlatformInterface& platform);

  int Run();

 private:
  PeerConnectionCallbacks PeerCallbacks();
  void HandlePeerMessage(const InstanceId& from, const PeerMessage& message);
  void HandlePeerProgress(const InstanceId& from);
  void HandleHeartbeat(const InstanceId& from, const FleetHeartbeat& heartbeat);
  void HandleMembershipUpdate(const InstanceId& from,
                              const MemberUpdate& member_update);
  void HandlePeerConnected(const InstanceId& peer);
  void HandlePeerLost(const InstanceId& peer);
  void TickMembers();
  void TickServerTable();
  void UpdateShares(const FleetView& view, TimePoint now);
  /** `slots` has the slots of all usable servers, by data centre. */
  double RequestRatePerDataCentre(
      const FleetView& view,
      const std::map<DataCentreId, double>& slots) const;
  void SendHeartbeats(const std::vector<InstanceId>& due,
                      const FleetView& view);
  void SendHeartbeat(const std::vector<InstanceId>& to,
                     UsageScope scope,
                     bool includes_usage);
  void UpdateLinks(std::vector<Instance> links);
  AddressAnswer AnswerAddressQuery(const AddressQuery& query) const;
  bool IsReady() const;
  void WaitForSignal();
  void BeginPlannedStop();
  void StartDraining();
  void ShutDown();

  std::shared_ptr<const Settings> CurrentSettings() const;
  void ReloadSettings();
  void ApplySettings(const Settings& settings);

  /** The settings loaded at the start; a reload does not change them. */
  const Settings& initial_settings_;
  const std::string settings_path_;
  /** The settings last loaded; a reload replaces the whole object. */
  std::shared_ptr<const Settings> current_settings_;
  const PlatformInterface& platform_;
  SystemClock clock_;
  Tables tables_;
  FleetTable fleet_;
  Feed feed_;
  RetryTable retry_table_;
  RequestLog request_log_{clock_};
  ColdServerLog cold_server_log_{clock_};
  /** Used only by TickMembers, without a lock. */
  SharesLog shares_log_{clock_};
  WorkerPool pool_;
  PeerConnectionManager peers_;
  TokenExchange tokens_;
  ActionRunner actions_;
  StoreFeed store_feed_;
  TcpBackendTransport transport_;
  BackendConnectionPool backends_;
  LoadProber prober_;
  CallerListener listener_;
  AdminServer admin_;
  PageServer directory_;
  PageServer readiness_;
  Ticker member_ticker_;
  Ticker server_table_ticker_;
  Ticker idle_connection_ticker_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer stop_timer_;
  /** Links last given to SetPeers. Used only by TickMembers, without a lock. */
  std::map<InstanceId, Endpoint> links_;
  std::atomic<bool> stopping_{false};
};

FleetProcess::FleetProcess(const Settings& settings,
                           std::string settings_path,
                           const PlatformInterface& platform)
    : initial_settings_(settings),
      settings_path_(std::move(settings_path)),
      current_settings_(std::make_shared<const Settings>(settings)),
      platform_(platform),
      pool_(settings.worker_threads),
      peers_(pool_.context(),
             {PeerIdentity(settings), settings.fleet_secret, {}},
             PeerCallbacks(),
             clock_,
             tables_.counters),
      tokens_(tables_.usage, fleet_, peers_, clock_),
      actions_(
          peers_,
          [this](const ChosenServer& server) { prober_.Probe(server); },
          [this](const std::vector<ColdPhaseEvent>& events) {
            cold_server_log_.Write(events);
          }),
      store_feed_(
          {feed_, fleet_, tables_, peers_, actions_, clock_, settings.self},
          platform,
          settings.fleet->store),
      transport_(pool_.context()),
      backends_(transport_, clock_, tables_.counters),
      prober_(pool_.context(),
              backends_,
              tables_.counters,
              platform.http_profile,
              [this](const BackendServerId& server, const ProbeResult& result) {
                actions_.Run(HandleProbeResult(tables_.servers, server, result,
                                               clock_.Now()));
              }),
      listener_(
          pool_.context(),
          settings.self.caller_endpoint,
          SessionContext{tables_, clock_, actions_, backends_, retry_table_,
                         TimeLimits{}, platform_.http_profile, &request_log_,
                         &tokens_}),
      admin_(tables_,
             clock_,
             pool_.context(),
             settings.admin_endpoint,
             FleetTables{fleet_, feed_}),
      directory_(
          pool_.context(),
          settings.fleet->directory,
          [this](const PageRequest& request) {
            return platform_.directory_page(request,
                                            [this](const AddressQuery& query) {
                                              return AnswerAddressQuery(query);
                                            });
          },
          PageLimits{kMaxDirectoryConnections, std::chrono::seconds(10),
                     std::chrono::seconds(10)}),
      readiness_(pool_.context(),
                 settings.fleet->readiness,
                 [this](const PageRequest& request) {
                   return platform_.readiness_page(request, IsReady());
                 }),
      member_ticker_(pool_.context(), kFleetTick, [this] { TickMembers(); }),
      server_table_ticker_(pool_.context(),
                           kServerTableTick,
                           [this] { TickServerTable(); }),
      idle_connection_ticker_(pool_.context(),
                              kIdleConnectionTick,
                              [this] { backends_.CloseIdle(clock_.Now()); }),
      signals_(pool_.context(), SIGTERM, SIGINT, SIGHUP),
      stop_timer_(pool_.context()) {
  tables_.membership.self = settings.self;
  tables_.membership.own_state = InstanceState::kServing;
  fleet_.member_list = MakeMemberList(OwnMember(settings, clock_));
  ApplySettings(settings);
}

/**
 * Copies the settings that a reload can change into the tables, except
 * stop_grace and address_keep, which are read from CurrentSettings() at each
 * use.
 */
void FleetProcess::ApplySettings(const Settings& settings) {
  LogReplaced(settings);
  {
    OrderedLock lock(fleet_.mutex);
    fleet_.seeds = settings.fleet->seeds;
  }
  {
    OrderedLock lock(tables_.versions.mutex);
    tables_.versions.options.fence_when_stale =
        settings.fleet->fenced_when_stale;
    tables_.versions.fresh_for =
        FractionOf(settings.fleet->fence_after, kFenceFraction);
  }
  {
    OrderedLock lock(tables_.usage.mutex);
    tables_.usage.limiter.tolerance = settings.fleet->tolerance;
  }
  {
    OrderedLock lock(tables_.servers.mutex);
    tables_.servers.pool.probes_per_s = settings.fleet->probes_per_s;
  }
  OrderedLock lock(retry_table_.mutex);
  retry_table_.policy = settings.fleet->retries;
}

std::shared_ptr<const Settings> FleetProcess::CurrentSettings() const {
  return std::atomic_load(&current_settings_);
}

void FleetProcess::ReloadSettings() {
  try {
    auto settings = std::make_shared<const Settings>(
        LoadSettings(settings_path_, *CurrentSettings()->fleet));
    if (!settings->fleet)
      throw std::runtime_error(settings_path_ + ": /fleet: absent");
    ApplySettings(*settings);
    std::atomic_store(&current_settings_,
                      std::shared_ptr<const Settings>(settings));
    Log(LogLevel::kInfo, "settings_reloaded", {{"path", settings_path_}});
  } catch (const std::exception& error) {
    // The current settings stay in use.
    Log(LogLevel::kError, "settings_rejected", {{"fault", error.what()}});
  }
}

int FleetProcess::Run() {
  peers_.Start();
  listener_.Start();
  for (Ticker* ticker :
       {&member_ticker_, &server_table_ticker_, &idle_connection_ticker_})
    ticker->Start();
  WaitForSignal();
  ReleaseSignals();
  boost::asio::post(pool_.context(), [this] { TickMembers(); });
  Log(LogLevel::kInfo, "started",
      {{"id", initial_settings_.self.id.value()},
       {"data_centre", initial_settings_.self.data_centre.value()},
       {"caller", ToString(initial_settings_.self.caller_endpoint)},
       {"peer", ToString(initial_settings_.self.peer_endpoint)},
       {"admin", ToString(initial_settings_.admin_endpoint)},
       {"store", ToString(initial_settings_.fleet->store)}});
  pool_.Start();
  store_feed_.Start();
  pool_.Join();
  store_feed_.Stop();
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

PeerConnectionCallbacks FleetProcess::PeerCallbacks() {
  return {[this](const InstanceId& from, const PeerMessage& message) {
            HandlePeerMessage(from, message);
          },
          [this](const InstanceId& from) { HandlePeerProgress(from); },
          [this](const InstanceId& peer) { HandlePeerConnected(peer); },
          [this](const InstanceId& peer) { HandlePeerLost(peer); }};
}

void FleetProcess::HandlePeerMessage(const InstanceId& from,
                                     const PeerMessage& message) {
  const TimePoint now = clock_.Now();
  RecordMessageFrom(fleet_, from, now);
  if (const auto* member_update = std::get_if<MemberUpdate>(&message))
    HandleMembershipUpdate(from, *member_update);
  else if (const auto* heartbeat = std::get_if<FleetHeartbeat>(&message))
    HandleHeartbeat(from, *heartbeat);
  else if (const auto* token_request = std::get_if<TokenRequest>(&message))
    tokens_.HandleTokenRequest(from, *token_request);
  else if (const auto* reply = std::get_if<TokenReply>(&message))
    tokens_.HandleTokenReply(*reply);
  else if (const auto* request = std::get_if<FeedRequest>(&message))
    store_feed_.HandleRequest(from, *request);
  else if (const auto* update = std::get_if<FeedUpdate>(&message))
    store_feed_.HandleUpdate(from, *update, now);
}

void FleetProcess::HandlePeerProgress(const InstanceId& from) {
  const TimePoint now = clock_.Now();
  RecordMessageFrom(fleet_, from, now);
  RecordFeedProgress(feed_, now);
}

void FleetProcess::HandleMembershipUpdate(const InstanceId& from,
                                          const MemberUpdate& member_update) {
  const std::vector<Member> changed =
      HandleMemberUpdate(fleet_, from, member_update, clock_.Now());
  if (changed.empty())
    return;
  // The first update from a peer can list the whole fleet, so all changed
  // members are logged in one line.
  Log(LogLevel::kInfo, "members_changed",
      {{"members", Describe(changed)}, {"from", from.value()}});
}

void FleetProcess::HandleHeartbeat(const InstanceId& from,
                                   const FleetHeartbeat& heartbeat) {
  const TimePoint now = clock_.Now();
  const FleetViewPtr view = ViewFleet(fleet_);
  store_feed_.HandleHeartbeat(from, heartbeat, now);
  RecordPeerRequestRates(fleet_, from, heartbeat, now);
  RecordGrant(fleet_, from, heartbeat, now);
  const auto sender =
      std::find_if(view->live.begin(), view->live.end(),
                   [&](const Member& member) { return member.id == from; });
  if (sender == view->live.end())
    return;
  OrderedLock lock(tables_.usage.mutex);
  RecordPeerUsage(tables_.usage.limiter, from, sender->data_centre,
                  sender->data_centre == view->self.data_centre, heartbeat,
                  now);
}

void FleetProcess::HandlePeerConnected(const InstanceId& peer) {
  Log(LogLevel::kInfo, "peer_connected", {{"peer", peer.value()}});
  OpenLink(fleet_, peer, clock_.Now());
}

void FleetProcess::HandlePeerLost(const InstanceId& peer) {
  Log(LogLevel::kWarning, "peer_lost", {{"peer", peer.value()}});
  CloseLink(fleet_, peer);
  ForgetPeer(feed_, peer);
}

void FleetProcess::TickMembers() {
  const TimePoint now = clock_.Now();
  FleetActions actions = TickFleet(fleet_, now);
  CountRequests(fleet_, tables_.counters.requests, now);
  for (const InstanceId& gone : actions.gone)
    Log(LogLevel::kWarning, "member_gone", {{"member", gone.value()}});
  for (const OutgoingMessage& outgoing : actions.messages)
    peers_.Send(outgoing.to, outgoing.message);
  const FleetViewPtr view = ViewFleet(fleet_);
  const int instance_count = InstancesSharingLimits(fleet_);
  {
    OrderedLock lock(tables_.usage.mutex);
    RecordInstanceCount(tables_.usage.limiter.instances, instance_count, now);
    SetLeader(tables_.usage.limiter, view->rank == 0, now);
  }
  tokens_.RefillPools(*view);
  UpdateShares(*view, now);
  SetInstanceCount(tables_.servers, instance_count, now);
  SetInstanceCount(retry_table_, instance_count, now);
  SendHeartbeats(actions.heartbeats, *view);
  UpdateLinks(std::move(actions.links));
  store_feed_.Tick(now);
  RecordConfirmation(tables_.versions, ConfirmedAt(feed_), now);
}

void FleetProcess::UpdateShares(const FleetView& view, TimePoint now) {
  const std::map<DataCentreId, double> slots =
      UsableSlots(tables_.servers, now);
  GrantInputs inputs;
  inputs.requests_per_s = RequestRatePerDataCentre(view, slots);
  for (const auto& [data_centre, count] : slots)
    inputs.server_data_centres.insert(data_centre);
  RenewGrant(fleet_, inputs, now);
  const InstanceShares shares = ComputeInstanceShares(
      view, CurrentGrant(fleet_, now), inputs.requests_per_s);
  SetInstanceShares(tables_.servers, shares);
  shares_log_.Write(shares, view.self.data_centre);
}

double FleetProcess::RequestRatePerDataCentre(
    const FleetView& view,
    const std::map<DataCentreId, double>& slots) const {
  double all_slots = 0;
  for (const auto& [data_centre, count] : slots)
    all_slots += count;
  return mangodoor::RequestRatePerDataCentre(
      view.live, FleetRequestsPerS(fleet_, clock_.Now()), all_slots);
}

void FleetProcess::SendHeartbeats(const std::vector<InstanceId>& due,
                                  const FleetView& view) {
  const bool is_leader = view.rank == 0;
  std::vector<InstanceId> local_peers;
  std::vector<InstanceId> remote_peers;
  for (const InstanceId& peer : due)
    (view.local_peers.count(peer) > 0 ? local_peers : remote_peers)
        .push_back(peer);
  SendHeartbeat(local_peers,
                is_leader ? UsageScope::kFleet : UsageScope::kInstance, true);
  SendHeartbeat(remote_peers, UsageScope::kDataCentre, is_leader);
}

void FleetProcess::SendHeartbeat(const std::vector<InstanceId>& to,
                                 UsageScope scope,
                                 bool includes_usage) {
  if (to.empty())
    return;
  const TimePoint now = clock_.Now();
  FleetHeartbeat heartbeat;
  FillFeedState(feed_, now, heartbeat);
  if (scope != UsageScope::kDataCentre)
    FillGrant(fleet_, heartbeat, now);
  if (includes_usage) {
    heartbeat.scope = scope;
    FillRequestRates(fleet_, heartbeat, now);
    OrderedLock lock(tables_.usage.mutex);
    FillUsage(tables_.usage.limiter, heartbeat, now);
  }
  peers_.SendAll(to, heartbeat);
}

void FleetProcess::UpdateLinks(std::vector<Instance> links) {
  std::map<InstanceId, Endpoint> wanted;
  for (const Instance& link : links)
    wanted[link.id] = link.peer_endpoint;
  if (wanted == links_)
    return;
  links_ = std::move(wanted);
  peers_.SetPeers(links);
}

void FleetProcess::TickServerTable() {
  const TimePoint now = clock_.Now();
  actions_.Run(TickServers(tables_.servers, now));
  tokens_.ExpireRequests();
}

AddressAnswer FleetProcess::AnswerAddressQuery(
    const AddressQuery& query) const {
  const FleetViewPtr view = ViewFleet(fleet_);
  AddressInputs inputs;
  inputs.live = view->live;
  inputs.own_data_centre = view->self.data_centre;
  inputs.requests_per_s = RequestRatePerDataCentre(
      *view, UsableSlots(tables_.servers, clock_.Now()));
  inputs.requested_host = query.host;
  inputs.caller = query.caller;
  if (const VersionPtr version = VersionInForce(tables_.versions)) {
    inputs.capacity = CapacityOf(
        tables_.servers, ServicesOf(*version, query.host), clock_.Now());
  }
  return {PlanAddresses(inputs), CurrentSettings()->fleet->address_keep};
}

bool FleetProcess::IsReady() const {
  return !stopping_ && VersionInForce(tables_.versions) != nullptr;
}

void FleetProcess::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error)
          return;
        if (signal == SIGHUP) {
          ReloadSettings();
          WaitForSignal();
          return;
        }
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

void FleetProcess::BeginPlannedStop() {
  const auto grace = CurrentSettings()->fleet->stop_grace;
  const auto listen_time = FractionOf(grace, kListenFraction);
  Log(LogLevel::kInfo, "leaving", {{"listen_ms", listen_time.count()}});
  const TimePoint now = clock_.Now();
  BeginLeaving(fleet_, now);
  BeginLeaving(tables_.membership, now + FractionOf(grace, kDeadlineFraction));
  stop_timer_.expires_after(listen_time);
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      StartDraining();
  });
}

void FleetProcess::StartDraining() {
  listener_.Drain([this] { ShutDown(); });
  const auto grace = CurrentSettings()->fleet->stop_grace;
  stop_timer_.expires_after(FractionOf(grace, kDrainFraction) -
                            FractionOf(grace, kListenFraction));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    Log(LogLevel::kWarning, "requests_cut_at_stop",
        {{"running", listener_.running_requests()}});
    pool_.context().stop();
  });
}

void FleetProcess::ShutDown() {
  stop_timer_.cancel();
  admin_.Stop();
  directory_.Stop();
  readiness_.Stop();
  peers_.Stop();
  pool_.context().stop();
}

}  // namespace

int RunFleetInstance(const Settings& settings,
                     const std::string& settings_path,
                     const PlatformInterface& platform) {
  return FleetProcess(settings, settings_path, platform).Run();
}

}  // namespace mangodoor
