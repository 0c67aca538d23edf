#include <algorithm>
#include <cmath>

#include "bench/lib/routing_simulation.h"

namespace mangodoor::bench {
namespace {

Endpoint InstanceAddress(int instance) {
  return {"10.0.0." + std::to_string(instance + 1), 8000};
}

}  // namespace

Simulation::Simulation(const SimConfig& config)
    : config_(config),
      random_(config.seed),
      instances_(config.instances),
      servers_(config.servers),
      tokens_(kAccounts, 0),
      refilled_at_(kAccounts, kStart) {
  result_.latencies.resize(kAccounts);
  scheduler_ = [this](Duration delay, std::function<void()> run) {
    ScheduleAfter(delay, std::move(run));
  };
  for (SimServer& server : servers_)
    server.slots = config.slots;
  for (SimInstance& instance : instances_)
    instance.outstanding.resize(config.servers);
}

void Simulation::ScheduleAfter(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, ++last_order_, std::move(run)});
}

Document Simulation::MakeDocument(bool first_data_centre_in_service) const {
  Document document;
  document.data_centres.resize(config_.data_centres);
  for (int i = 0; i < config_.data_centres; ++i)
    document.data_centres[i].id = DataCentreId(std::to_string(i));
  document.data_centres[0].in_service = first_data_centre_in_service;
  for (int i = 0; i < config_.instances; ++i)
    document.data_centres[i % config_.data_centres].entry_addresses.push_back(
        InstanceAddress(i));
  Service service;
  service.id = service_id;
  for (int i = 0; i < config_.servers; ++i) {
    BackendServer server;
    server.id = ServerName(i);
    server.data_centre = DataCentreId(std::to_string(i % config_.data_centres));
    server.slots = config_.slots;
    service.servers.push_back(server);
  }
  document.services.push_back(service);
  return document;
}

void Simulation::PropagateVersion(bool first_data_centre_in_service) {
  const VersionPtr version =
      MakeVersion(MakeDocument(first_data_centre_in_service), "", "");
  for (int i = 0; i < config_.instances; ++i)
    ScheduleAfter(milliseconds(RandomBelow(kMaxVersionDelayMs)), [=] {
      instances_[i].first_data_centre_in_service = first_data_centre_in_service;
      PerformActions(
          i, ApplyVersion(
                 instances_[i].pool, *version, InstanceAddress(i),
                 DataCentreId(std::to_string(i % config_.data_centres)), now_));
    });
}

void Simulation::ScheduleDataCentreOutage() {
  if (!config_.data_centre_taken_out)
    return;
  const auto set_down = [this](bool is_down) {
    for (int i = 0; i < config_.servers; i += config_.data_centres) {
      servers_[i].is_down = is_down;
      if (!is_down)
        servers_[i].cold_until = now_ + kColdTime;
    }
  };
  ScheduleAfter(config_.fault_start, [this] { PropagateVersion(false); });
  ScheduleAfter(config_.fault_start + kOutageNotice, [=] { set_down(true); });
  ScheduleAfter(config_.fault_end, [=] {
    set_down(false);
    PropagateVersion(true);
  });
}

SimResult Simulation::Run() {
  const VersionPtr version = MakeVersion(MakeDocument(true), "", "");
  std::vector<ServerReport> warm;
  warm.reserve(config_.servers);
  for (int i = 0; i < config_.servers; ++i)
    warm.push_back({ServerName(i), ServerState::kWarm, -1,
                    std::chrono::minutes(30), InstanceId()});
  for (int i = 0; i < config_.instances; ++i) {
    ApplyVersion(instances_[i].pool, *version, InstanceAddress(i),
                 DataCentreId(std::to_string(i % config_.data_centres)), now_);
    HandleServerReports(instances_[i].pool, warm, now_);
    ScheduleAfter(kTick * i / config_.instances, [=] { Tick(i); });
  }
  ScheduleDataCentreOutage();
  const double total =
      config_.load * config_.servers * config_.slots /
      std::chrono::duration<double>(config_.mean_service_time).count();
  for (int account = 0; account < kAccounts; ++account) {
    const double share = account < kLargeAccounts ? 0.25 : 0.5 / 6;
    const double rate = total * share;
    ScheduleArrival(account,
                    account == 0 ? rate * config_.first_account_factor : rate);
  }
  while (!events_.empty()) {
    SimEvent event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  result_.probes_per_server_s =
      probes_ / std::chrono::duration<double>(config_.run_time).count() /
      config_.servers;
  return result_;
}

void Simulation::ScheduleArrival(int account, double rate) {
  const double gap = -std::log(1 - RandomFraction()) / rate;
  const auto delay =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
  if (now_ + delay > TimeAt(config_.run_time))
    return;
  ScheduleAfter(delay, [=] {
    const double limit = account == 0
                             ? kRateFactor * rate / config_.first_account_factor
                             : kRateFactor * rate;
    if (Admit(account, limit))
      BeginRequest(account);
    ScheduleArrival(account, rate);
  });
}

bool Simulation::Admit(int account, double rate) {
  const double elapsed =
      std::chrono::duration<double>(now_ - refilled_at_[account]).count();
  refilled_at_[account] = now_;
  double& tokens = tokens_[account];
  tokens = std::min(tokens + elapsed * rate, rate);
  if (tokens < 1)
    return false;
  tokens -= 1;
  return true;
}

void Simulation::Tick(int index) {
  PerformActions(index, TickServers(instances_[index].pool, now_));
  if (now_ < TimeAt(config_.run_time))
    ScheduleAfter(kTick, [=] { Tick(index); });
}

void Simulation::PerformActions(int index, const ServerActions& actions) {
  if (!actions.reports.empty())
    for (int i = 0; i < config_.instances; ++i)
      if (i != index)
        ScheduleAfter(config_.one_way_delay, [=, reports = actions.reports] {
          PerformActions(
              i, HandleServerReports(instances_[i].pool, reports, now_));
        });
  for (const ChosenServer& probe : actions.probes) {
    ++probes_;
    const SimServer& server = servers_[ServerIndex(probe.server)];
    if (server.is_down)
      continue;
    ProbeResult result;
    result.state =
        now_ < server.cold_until ? ServerState::kCold : ServerState::kWarm;
    result.in_flight = InFlightAt(server, now_ - config_.report_age);
    ScheduleAfter(config_.one_way_delay * 2, [=] {
      PerformActions(index, HandleProbeResult(instances_[index].pool,
                                              probe.server, result, now_));
    });
  }
  for (const auto& callback : actions.callbacks)
    callback();
}

const char* PolicyName(Policy policy) {
  static constexpr const char* kNames[] = {
      "random",      "round robin", "least outstanding",
      "two choices", "product",     "product with hedges"};
  return kNames[static_cast<int>(policy)];
}

SimResult Simulate(const SimConfig& config) {
  return Simulation(config).Run();
}

namespace {

double QuantileOf(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  const auto position =
      values.begin() + static_cast<int64_t>(share * (values.size() - 1));
  std::nth_element(values.begin(), position, values.end());
  return *position;
}

}  // namespace

double Quantile(const SimResult& result, double share) {
  std::vector<double> all;
  for (const auto& account : result.latencies)
    all.insert(all.end(), account.begin(), account.end());
  return QuantileOf(std::move(all), share);
}

double WorstAccountP99(const SimResult& result) {
  double worst = 0;
  for (size_t i = 1; i < result.latencies.size(); ++i)
    worst = std::max(worst, QuantileOf(result.latencies[i], 0.99));
  return worst;
}

}  // namespace mangodoor::bench
