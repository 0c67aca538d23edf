#include "routing/fleet_model.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using End = AttemptResult::End;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kRequestTimeout = seconds(4);
constexpr int kMaxDelayMs = 2000;

Document MakeDocument() {
  Document document = FleetDocument(kServers, kInstances);
  Service& service = document.services[0];
  service.cold_concurrency = kColdConcurrency;
  service.probe_budget_per_s = kProbeBudget;
  service.ramp = seconds(3);
  service.queue_limit = 4;
  return document;
}

int NumberOf(const BackendServerId& server) {
  return std::stoi(server.value().substr(1));
}

}  // namespace

FleetModel::FleetModel(FleetFaults faults, unsigned seed)
    : faults_(faults), random_(seed), document_(MakeDocument()) {
  servers_.resize(kServers);
  instances_.resize(kInstances);
  for (int i = 0; i < kInstances; ++i)
    Handle(i, {now_, i, ToVersion(document_), {}, std::nullopt});
}

void FleetModel::Run(const std::vector<FleetStep>& steps) {
  for (const FleetStep& step : steps) {
    Step(step);
    for (int i = 0; i < kInstances; ++i)
      CheckCounts(i);
  }
}

void FleetModel::Step(const FleetStep& step) {
  using Kind = FleetStep::Kind;
  const int index = step.a % kInstances;
  const BackendServerId server = ServerName(step.b % kServers);
  FleetInstance& instance = instances_[index];
  const bool busy = IsAwake(index) && !instance.attempts.empty();
  const size_t attempt = busy ? step.b % instance.attempts.size() : 0;
  switch (step.kind) {
    case Kind::kAdvance:
      return Advance(milliseconds(1 + step.a));
    case Kind::kRequest:
      return IsAwake(index) ? Request(index) : void();
    case Kind::kSend:
      return busy ? Send(index, attempt) : void();
    case Kind::kFinish:
      return busy ? Finish(index, attempt, step.a / kInstances) : void();
    case Kind::kCancel:
      return IsAwake(index) ? Cancel(index, step.b) : void();
    case Kind::kRestartServer:
      Server(server).cold = true;
      ++Server(server).starts;
      return;
    case Kind::kWarmServer:
      Server(server).cold = false;
      return;
    case Kind::kPause:
      instance.paused_until = now_ + milliseconds(step.b * 4);
      return;
    case Kind::kChangeVersion:
      return ChangeVersion(step.a % 3, step.b);
    case Kind::kConnectPeer:
      if (IsAwake(index))
        SendReports(index, KnownServerStates(instance.pool, now_));
      return;
  }
}

void FleetModel::Advance(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += std::min<Duration>(kTick, end - now_);
    Deliver();
    for (int i = 0; i < kInstances; ++i) {
      if (!IsAwake(i))
        continue;
      FinishTimedOut(i);
      Tick(i);
    }
  }
}

void FleetModel::Deliver() {
  std::vector<Event> due;
  const auto due_begin = std::stable_partition(
      events_.begin(), events_.end(), [this](const Event& event) {
        return event.at > now_ || !IsAwake(event.instance);
      });
  std::move(due_begin, events_.end(), std::back_inserter(due));
  events_.erase(due_begin, events_.end());
  for (const Event& event : due)
    Handle(event.instance, event);
}

void FleetModel::Handle(int index, const Event& event) {
  FleetInstance& instance = instances_[index];
  if (event.version) {
    const bool older = instance.version && instance.version->document.version >=
                                               event.version->document.version;
    if (older)
      return;
    instance.version = event.version;
    const ServerActions actions =
        ApplyVersion(instance.pool, *event.version, EntryAddress(index),
                     DataCentreId("dc" + std::to_string(index % 2)), now_);
    for (auto& [id, server] : instance.pool.servers)
      server.in_service = server.in_service || faults_.use_drained;
    return Perform(index, actions);
  }
  if (event.probed) {
    const bool cold = Server(*event.probed).cold;
    ProbeResult result;
    result.state = cold ? ServerState::kCold : ServerState::kWarm;
    result.in_flight = RandomBelow(4);
    const ServerEntry* entry = FindServer(instance.pool, *event.probed);
    const bool named = entry && entry->listed;
    if (cold && named)
      RecordOwnCold(index, *event.probed);
    else if (!cold)
      RecordWarm(index, *event.probed);
    return Perform(
        index, HandleProbeResult(instance.pool, *event.probed, result, now_));
  }
  for (const ServerReport& report : event.reports) {
    if (report.state == ServerState::kWarm)
      RecordWarm(index, report.server);
  }
  Perform(index, HandleServerReports(instance.pool, event.reports, now_));
}

void FleetModel::Tick(int index) {
  FleetInstance& instance = instances_[index];
  if (faults_.ignore_cold) {
    for (auto& [id, server] : instance.pool.servers) {
      server.cold_start.cold = false;
      server.cold_start.warm_since = now_ - std::chrono::minutes(1);
    }
  }
  if (faults_.catch_up_probes) {
    for (auto& [id, server] : instance.pool.servers)
      server.probe_schedule.last_probe -= milliseconds(RandomBelow(50));
  }
  Perform(index, TickServers(instance.pool, now_));
}

void FleetModel::Request(int index) {
  FleetInstance& instance = instances_[index];
  ServerRequirements requirements;
  requirements.service = test_service;
  requirements.client_account = ClientAccountId(std::to_string(RandomBelow(3)));
  requirements.deadline = now_ + milliseconds(1 + RandomBelow(3000));
  if (RandomBelow(4) == 0)
    requirements.tried.push_back(ServerName(RandomBelow(kServers)));
  // The ticket is known only after the call, but callbacks need it.
  auto ticket = std::make_shared<uint64_t>(0);
  const auto done = [this, index, ticket](auto decision) {
    Wait& wait = instances_[index].waits[*ticket];
    if (++wait.decisions > 1 || wait.cancelled)
      return AddViolation("callback");
    if (auto* chosen = std::get_if<ChosenServer>(&decision))
      Reserve(index, chosen->server);
    if (faults_.call_back_twice)
      ++wait.decisions;
  };
  const ServerReply reply =
      AcquireServer(instance.pool, requirements, now_,
                    (uint64_t{random_()} << 32) | random_(), done);
  *ticket = reply.ticket;
  if (reply.state == ServerReply::State::kWaiting)
    instance.waits[reply.ticket];
  else if (reply.state == ServerReply::State::kChosen)
    Reserve(index, reply.chosen.server);
}

void FleetModel::Reserve(int index, const BackendServerId& server) {
  if (!IsInService(index, server))
    AddViolation("drained");
  instances_[index].attempts.push_back({server, now_, false, 0, 0});
}

void FleetModel::Send(int index, size_t attempt_index) {
  FleetInstance& instance = instances_[index];
  Attempt& attempt = instance.attempts[attempt_index];
  if (attempt.sent)
    return;
  if (!MayStillSend(instance.pool, attempt.server, now_))
    return Finish(index, attempt_index, 0);
  if (!IsInService(index, attempt.server))
    AddViolation("drained");
  attempt.sent = true;
  attempt.sent_order = ++order_;
  attempt.server_starts = Server(attempt.server).starts;
  CheckColdLoad(attempt.server);
}

void FleetModel::Finish(int index, size_t attempt_index, int end_choice) {
  FleetInstance& instance = instances_[index];
  const Attempt attempt = instance.attempts[attempt_index];
  instance.attempts.erase(instance.attempts.begin() + attempt_index);
  const FakeServer& server = Server(attempt.server);
  static constexpr End kEnds[] = {
      End::kAnswered,        End::kAnswered,     End::kAnswered,
      End::kAnswered,        End::kAnswered,     End::kServerError,
      End::kTimeout,         End::kCancelled,    End::kReset,
      End::kRefusedByServer, End::kConnectFailed};
  AttemptResult result;
  result.latency = now_ - attempt.chosen_at;
  if (attempt.sent)
    result.end = attempt.server_starts != server.starts
                     ? End::kReset
                     : kEnds[end_choice % std::size(kEnds)];
  if (result.end == End::kAnswered && RandomBelow(2) == 0) {
    result.reported_cold = server.cold;
    result.reported_in_flight = RandomBelow(4);
  }
  const bool cold = result.reported_cold.value_or(false) ||
                    result.end == End::kReset ||
                    result.end == End::kConnectFailed;
  const ServerEntry* entry = FindServer(instance.pool, attempt.server);
  if (cold && entry && entry->listed)
    RecordOwnCold(index, attempt.server);
  else if (result.reported_cold)
    RecordWarm(index, attempt.server);
  if (faults_.lose_release && RandomBelow(20) == 0)
    return;
  Perform(index, ReleaseServer(instance.pool, attempt.server, result, now_));
}

void FleetModel::FinishTimedOut(int index) {
  FleetInstance& instance = instances_[index];
  for (size_t i = instance.attempts.size(); i-- > 0;) {
    if (i < instance.attempts.size() &&
        now_ - instance.attempts[i].chosen_at >= kRequestTimeout)
      Finish(index, i, RandomBelow(20));
  }
}

void FleetModel::Cancel(int index, int choice) {
  FleetInstance& instance = instances_[index];
  if (instance.waits.empty())
    return;
  const auto wait =
      std::next(instance.waits.begin(), choice % instance.waits.size());
  if (wait->second.decisions > 0)
    return;
  wait->second.cancelled = true;
  if (!faults_.keep_cancelled)
    CancelWait(instance.pool, test_service, wait->first);
}

void FleetModel::ChangeVersion(int what, int target) {
  ++document_.version;
  if (what == 0) {
    bool& in_service = document_.data_centres[1].in_service;
    in_service = !in_service;
  } else if (what == 1) {
    ServerMode& mode = document_.services[0].servers[target % kServers].mode;
    mode = mode == ServerMode::kActive ? ServerMode::kDraining
                                       : ServerMode::kActive;
  } else {
    // Removes or adds the last address of the first data centre.
    auto& addresses = document_.data_centres[0].entry_addresses;
    const Endpoint last = EntryAddress(kInstances - 1);
    if (addresses.back() == last)
      addresses.pop_back();
    else
      addresses.push_back(last);
  }
  PropagateVersion();
}

void FleetModel::PropagateVersion() {
  const VersionPtr version = ToVersion(document_);
  for (int i = 0; i < kInstances; ++i)
    events_.push_back({now_ + milliseconds(RandomBelow(kMaxDelayMs)),
                       i,
                       version,
                       {},
                       std::nullopt});
}

void FleetModel::Perform(int index, const ServerActions& actions) {
  if (!actions.reports.empty())
    SendReports(index, actions.reports);
  for (const ChosenServer& server : actions.probes)
    Probe(index, server.server);
  for (const auto& callback : actions.callbacks)
    callback();
}

void FleetModel::Probe(int index, const BackendServerId& id) {
  FakeServer& server = Server(id);
  server.probes.push_back(now_);
  CheckProbes(server);
  if (RandomBelow(10) > 0)
    events_.push_back({now_ + milliseconds(RandomBelow(kMaxDelayMs)),
                       index,
                       nullptr,
                       {},
                       id});
}

void FleetModel::SendReports(int from,
                             const std::vector<ServerReport>& reports) {
  for (int to = 0; to < kInstances; ++to) {
    const int copies = to == from ? 0 : RandomBelow(3);
    for (int i = 0; i < copies; ++i)
      events_.push_back({now_ + milliseconds(RandomBelow(kMaxDelayMs)), to,
                         nullptr, reports, std::nullopt});
  }
}

void FleetModel::RecordOwnCold(int index, const BackendServerId& server) {
  instances_[index].observed_cold.emplace(server, Observation{now_, ++order_});
}

void FleetModel::RecordWarm(int index, const BackendServerId& server) {
  instances_[index].observed_cold.erase(server);
}

bool FleetModel::IsInService(int index, const BackendServerId& id) const {
  const Document& document = instances_[index].version->document;
  const BackendServer& server = document.services[0].servers[NumberOf(id)];
  return server.mode == ServerMode::kActive &&
         document.data_centres[NumberOf(id) % 2].in_service;
}

bool FleetModel::IsAwake(int index) const {
  return now_ >= instances_[index].paused_until;
}

FleetModel::FakeServer& FleetModel::Server(const BackendServerId& id) {
  return servers_[NumberOf(id)];
}

int FleetModel::RandomBelow(int below) {
  return static_cast<int>(random_() % below);
}

}  // namespace mangodoor
