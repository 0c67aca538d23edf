#include "members/cold_fleet_sim.h"

#include <algorithm>
#include <set>
#include <utility>

#include "process/fleet/advertised_instances.h"
#include "process/fleet/capacity_grant.h"
#include "process/fleet/capacity_shares.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

// Interval at which callers try again.
constexpr Duration kStep = milliseconds(20);

constexpr Duration kWorkTime = milliseconds(20);
constexpr Duration kRequestDeadline = std::chrono::seconds(1);

// Neither slots nor probes hold back the requests to a cold server.
constexpr int kSlots = 16;
constexpr double kProbesPerS = 1000;

// The store's changes reach an instance after at most this time.
constexpr Duration kMaxRecordDelay = milliseconds(300);

// After a start, the first page of the store arrives after this time.
constexpr Duration kFirstReadDelay = milliseconds(60);

constexpr Duration kOneSecond = std::chrono::seconds(1);

ServiceId ServiceOf(size_t server) {
  return ServiceId("service" + std::to_string(server));
}

VersionPtr MakeColdVersion(size_t servers) {
  Document document;
  document.version = 1;
  for (size_t i = 0; i < servers; ++i) {
    Service service;
    service.id = ServiceOf(i);
    service.discovered = true;
    service.cold_rate_per_s = kColdRatePerS;
    service.connection_limit = 220;
    document.services.push_back(service);
  }
  return MakeVersion(document, "", "");
}

size_t CountSenders(const std::deque<ColdRequest>& requests) {
  std::set<int> senders;
  for (const ColdRequest& request : requests)
    senders.insert(request.instance);
  return senders.size();
}

}  // namespace

std::string Describe(const BusiestSecond& second, TimePoint start) {
  if (second.requests == 0)
    return "no server got a request";
  return "server " + std::to_string(second.server) + " got " +
         std::to_string(second.requests) + " requests from " +
         std::to_string(second.senders) + " instances with " +
         std::to_string(second.shares) + " of the rate in the second from " +
         std::to_string(Seconds(second.from - start)) + " s, cold since " +
         std::to_string(Seconds(second.phase_from - start)) + " s";
}

ColdFleetSim::ColdFleetSim(const std::vector<SimDataCentre>& data_centres,
                           std::vector<double> requests_per_s,
                           int seeds,
                           const ColdFleetTiming& timing,
                           uint64_t seed)
    : fleet_(data_centres, seeds),
      requests_per_s_(std::move(requests_per_s)),
      instances_(static_cast<size_t>(fleet_.size())),
      version_(MakeColdVersion(0)),
      random_(seed),
      now_(fleet_.now()) {
  fleet_.SetTiming({kStep, timing.connect_time, timing.max_message_delay},
                   random_());
}

int ColdFleetSim::AddServer(const DataCentreId& data_centre) {
  const size_t number = servers_.size();
  SimServer server;
  server.record.id = BackendServerId("server" + std::to_string(number));
  server.record.service = ServiceOf(number);
  server.record.data_centre = data_centre;
  server.record.endpoint = {"10.100.0." + std::to_string(number + 1), 80};
  server.record.slots = kSlots;
  server.record.incarnation = 1;
  servers_.push_back(server);
  version_ = MakeColdVersion(servers_.size());
  return static_cast<int>(number);
}

void ColdFleetSim::Start(int index) {
  Kill(index);
  fleet_.Start(index);
  auto instance = std::make_unique<ServingInstance>();
  instance->random = random_();
  instance->pool.probes_per_s = kProbesPerS;
  ApplyVersion(instance->pool, *version_, {},
               fleet_.MemberAt(index).data_centre, now_);
  ReadRecordsAfterStart(*instance);
  instances_.at(static_cast<size_t>(index)) = std::move(instance);
  SpreadCallers();
  UpdateShares(index);
}

void ColdFleetSim::Kill(int index) {
  fleet_.Kill(index);
  instances_.at(static_cast<size_t>(index)).reset();
  SpreadCallers();
}

// Callers are sent to the instances in proportion to their processor time.
void ColdFleetSim::SpreadCallers() {
  std::map<DataCentreId, int> millicores;
  for (int i = 0; i < fleet_.size(); ++i) {
    const Member& member = fleet_.MemberAt(i);
    millicores[member.data_centre] +=
        fleet_.IsRunning(i) ? member.millicores : 0;
  }
  for (int i = 0; i < fleet_.size(); ++i) {
    const Member& member = fleet_.MemberAt(i);
    const auto number = static_cast<size_t>(
        std::distance(millicores.begin(), millicores.find(member.data_centre)));
    if (fleet_.IsRunning(i))
      fleet_.SetRequestRate(i, requests_per_s_.at(number) * member.millicores /
                                   millicores.at(member.data_centre));
  }
}

// Does what FleetProcess::TickMembers does for the shares.
void ColdFleetSim::UpdateShares(int index) {
  ServerPool& pool = instances_.at(static_cast<size_t>(index))->pool;
  FleetTable& table = fleet_.TableAt(index);
  const FleetViewPtr view = ViewFleet(table);
  GrantInputs inputs;
  double all_slots = 0;
  for (const auto& [data_centre, slots] : UsableSlots(pool, now_)) {
    inputs.server_data_centres.insert(data_centre);
    all_slots += slots;
  }
  inputs.requests_per_s = RequestRatePerDataCentre(
      view->live, FleetRequestsPerS(table, now_), all_slots);
  RenewGrant(table, inputs, now_);
  RecordInstanceCount(pool.instance_count, static_cast<int>(view->live.size()),
                      now_);
  pool.shares = ComputeInstanceShares(*view, CurrentGrant(table, now_),
                                      inputs.requests_per_s);
}

double ColdFleetSim::SumOfShares(const DataCentreId& data_centre) const {
  double sum = 0;
  for (const auto& instance : instances_) {
    if (!instance)
      continue;
    const ServerPool& pool = instance->pool;
    const ColdShares& shares = pool.shares.cold;
    if (pool.own_data_centre == data_centre)
      sum += shares.own_data_centre;
    else if (shares.unattended.count(data_centre) > 0)
      sum += shares.elsewhere;
  }
  return sum;
}

void ColdFleetSim::ReadRecordsAfterStart(ServingInstance& instance) {
  for (const SimServer& server : servers_)
    instance.arriving_records.emplace(now_ + kFirstReadDelay, server.record);
}

void ColdFleetSim::TurnCold(int number, Duration duration) {
  SimServer& server = servers_.at(static_cast<size_t>(number));
  server.cold_from = now_;
  server.cold_until = now_ + duration;
  server.recent.clear();
  server.record.cold_remaining = duration;
  for (const auto& instance : instances_) {
    if (instance)
      SendRecord(*instance, server.record);
  }
}

// An older record never replaces a newer one.
void ColdFleetSim::SendRecord(ServingInstance& instance,
                              const ServerRecord& record) {
  TimePoint arrival = now_ + RandomUpTo(kMaxRecordDelay);
  auto& arriving = instance.arriving_records;
  for (auto it = arriving.begin(); it != arriving.end();) {
    if (it->second.id != record.id) {
      ++it;
      continue;
    }
    arrival = std::max(arrival, it->first);
    it = arriving.erase(it);
  }
  arriving.emplace(arrival, record);
}

void ColdFleetSim::SetCallerRate(size_t data_centre, double requests_per_s) {
  requests_per_s_.at(data_centre) = requests_per_s;
  SpreadCallers();
}

void ColdFleetSim::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    fleet_.RunFor(kStep);
    now_ = fleet_.now();
    for (int i = 0; i < fleet_.size(); ++i) {
      if (fleet_.IsRunning(i) && fleet_.HasJustTicked(i))
        UpdateShares(i);
    }
    Serve();
  }
}

void ColdFleetSim::Serve() {
  for (size_t i = 0; i < instances_.size(); ++i) {
    if (!instances_[i] || fleet_.IsPaused(static_cast<int>(i)))
      continue;
    ReceiveRecords(*instances_[i]);
    EndRequests(*instances_[i]);
    for (size_t s = 0; s < servers_.size(); ++s) {
      const int server = static_cast<int>(s);
      while (HasDemand(static_cast<int>(i), server) &&
             SendOne(static_cast<int>(i), server)) {
      }
    }
  }
}

void ColdFleetSim::ReceiveRecords(ServingInstance& instance) {
  auto& arriving = instance.arriving_records;
  while (!arriving.empty() && arriving.begin()->first <= now_) {
    Run(instance,
        ApplyRecords(instance.pool, {arriving.begin()->second}, {}, now_));
    arriving.erase(arriving.begin());
  }
}

void ColdFleetSim::EndRequests(ServingInstance& instance) {
  while (!instance.running.empty() &&
         now_ - instance.running.front().sent_at >= kWorkTime) {
    const SimRequest request = std::move(instance.running.front());
    instance.running.pop_front();
    AttemptResult result;
    result.end = AttemptResult::End::kAnswered;
    result.latency = now_ - request.sent_at;
    result.placement = request.chosen.placement;
    result.server_load = LoadOf(ServerOf(request.chosen.server));
    Run(instance,
        ReleaseServer(instance.pool, request.chosen.server, result, now_));
  }
}

bool ColdFleetSim::BelievesCold(int index, int server) {
  const ServerEntry* entry =
      FindServer(instances_.at(static_cast<size_t>(index))->pool,
                 servers_.at(static_cast<size_t>(server)).record.id);
  return entry && IsCold(entry->cold_window, now_);
}

// An instance is not at fault before the news could reach it.
bool ColdFleetSim::WasTold(int index, int server) {
  if (BelievesCold(index, server))
    return true;
  const auto& arriving =
      instances_.at(static_cast<size_t>(index))->arriving_records;
  const BackendServerId& id =
      servers_.at(static_cast<size_t>(server)).record.id;
  return std::none_of(
      arriving.begin(), arriving.end(),
      [&id](const auto& record) { return record.second.id == id; });
}

// Requests to a warm server are left out unless they use up the limit of an
// instance that still believes it cold.
bool ColdFleetSim::HasDemand(int index, int server) {
  return demand_ && (IsServerCold(server) || BelievesCold(index, server));
}

bool ColdFleetSim::SendOne(int index, int server) {
  ServingInstance& instance = *instances_.at(static_cast<size_t>(index));
  std::optional<ChosenServer> chosen =
      Acquire(instance, ServiceOf(static_cast<size_t>(server)));
  if (!chosen || !MayStillSend(instance.pool, chosen->server, now_))
    return false;
  instance.running.push_back({std::move(*chosen), now_});
  Receive(server, index);
  return true;
}

std::optional<ChosenServer> ColdFleetSim::Acquire(ServingInstance& instance,
                                                  const ServiceId& service) {
  ServerRequirements requirements;
  requirements.service = service;
  requirements.deadline = now_ + kRequestDeadline;
  std::optional<ChosenServer> chosen;
  const auto done = [&chosen](std::variant<ChosenServer, ErrorKind> decision) {
    if (auto* server = std::get_if<ChosenServer>(&decision))
      chosen = std::move(*server);
  };
  const ServerReply reply =
      AcquireServer(instance.pool, requirements, now_, ++instance.random, done);
  if (reply.state == ServerReply::State::kChosen)
    return reply.chosen;
  if (reply.state == ServerReply::State::kRefused)
    return std::nullopt;
  Run(instance, reply.actions);
  if (!chosen)
    CancelWait(instance.pool, service, reply.ticket);
  return chosen;
}

void ColdFleetSim::Run(ServingInstance& instance,
                       const ServerActions& actions) {
  for (const auto& callback : actions.callbacks)
    callback();
  for (const ChosenServer& probed : actions.probes) {
    SimServer& server = ServerOf(probed.server);
    ProbeResult result;
    result.answered = true;
    result.healthy = true;
    result.server_load = LoadOf(server);
    result.cold_remaining =
        std::max<Duration>(server.cold_until - now_, Duration::zero());
    Run(instance,
        HandleProbeResult(instance.pool, probed.server, result, now_));
  }
}

ServerLoad ColdFleetSim::LoadOf(SimServer& server) const {
  auto& running_until = server.running_until;
  while (!running_until.empty() && running_until.front() <= now_)
    running_until.pop_front();
  ServerLoad load;
  load.running = static_cast<int>(running_until.size());
  load.slots = server.record.slots;
  return load;
}

void ColdFleetSim::Receive(int number, int index) {
  SimServer& server = servers_.at(static_cast<size_t>(number));
  server.running_until.push_back(now_ + kWorkTime);
  if (!IsServerCold(number) || !WasTold(index, number))
    return;
  ++server.cold_requests;
  auto& recent = server.recent;
  while (!recent.empty() && now_ - recent.front().at >= kOneSecond)
    recent.pop_front();
  recent.push_back({now_, index});
  if (recent.size() > busiest_second_.requests)
    busiest_second_ = {number,
                       recent.size(),
                       CountSenders(recent),
                       SumOfShares(server.record.data_centre),
                       recent.front().at,
                       server.cold_from};
}

bool ColdFleetSim::IsServerCold(int server) const {
  return now_ < servers_.at(static_cast<size_t>(server)).cold_until;
}

size_t ColdFleetSim::ColdRequestsOf(int server) const {
  return servers_.at(static_cast<size_t>(server)).cold_requests;
}

SimServer& ColdFleetSim::ServerOf(const BackendServerId& id) {
  return *std::find_if(
      servers_.begin(), servers_.end(),
      [&id](const SimServer& server) { return server.record.id == id; });
}

Duration ColdFleetSim::RandomUpTo(Duration max) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, max.count())(random_));
}

}  // namespace mangodoor
