#include <algorithm>
#include <cmath>

#include "bench/lib/routing_simulation.h"

namespace mangodoor::bench {

using End = AttemptResult::End;

void Simulation::BeginRequest(int account) {
  auto request = std::make_shared<SimRequest>();
  request->instance = RandomBelow(config_.instances);
  request->account = account;
  request->arrived = now_;
  request->idempotent = RandomFraction() < kIdempotentShare;
  ++result_.requests;
  if (IsProduct())
    return BeginProductRequest(request);
  SimInstance& instance = instances_[request->instance];
  const int server = ChooseBaseline(instance);
  ++instance.outstanding[server];
  SendAttempt(request, server);
}

int Simulation::ChooseBaseline(SimInstance& instance) {
  std::vector<int> usable;
  for (int i = 0; i < config_.servers; ++i) {
    if (instance.first_data_centre_in_service || i % config_.data_centres != 0)
      usable.push_back(i);
  }
  const int count = static_cast<int>(usable.size());
  const int first = RandomBelow(count);
  if (config_.policy == Policy::kRandom)
    return usable[first];
  if (config_.policy == Policy::kRoundRobin) {
    // Each instance starts at a random server.
    if (instance.next_server == 0)
      instance.next_server = 1 + first;
    return usable[instance.next_server++ % count];
  }
  if (config_.policy == Policy::kTwoChoices) {
    const int a = usable[first];
    const int b = usable[(first + 1 + RandomBelow(count - 1)) % count];
    const TimePoint seen = now_ - config_.report_age;
    return InFlightAt(servers_[b], seen) < InFlightAt(servers_[a], seen) ? b
                                                                         : a;
  }
  int best = usable[first];
  for (int i = 1; i < count; ++i) {
    const int other = usable[(first + i) % count];
    if (instance.outstanding[other] < instance.outstanding[best])
      best = other;
  }
  return best;
}

void Simulation::BeginProductRequest(const SimRequestPtr& request) {
  SimInstance& instance = instances_[request->instance];
  instance.hedge_tokens = std::min(instance.hedge_tokens + kHedgeShare, 10.0);
  const ServerRequirements requirements{
      service_id,
      ClientAccountId(std::to_string(request->account)),
      now_ + kRequestTimeout,
      {}};
  const ServerReply reply =
      AcquireServer(instance.pool, requirements, now_, random_(),
                    [this, request](auto decision) {
                      if (auto* server = std::get_if<ChosenServer>(&decision))
                        SendAttempt(request, ServerIndex(server->server));
                      else
                        FinishRequest(*request, true);
                    });
  if (reply.state == ServerReply::State::kRefused)
    return FinishRequest(*request, true);
  if (reply.state == ServerReply::State::kChosen)
    SendAttempt(request, ServerIndex(reply.chosen.server));
}

void Simulation::SendAttempt(const SimRequestPtr& request, int server) {
  const TimePoint sent = now_;
  request->attempts.emplace_back(server, sent);
  const Duration service_time = SampleServiceTime(server);
  ScheduleAfter(config_.one_way_delay, [=] {
    ServerJob job;
    job.id = ++last_job_id_;
    job.service_time = service_time;
    job.done = [=](JobResult job_result) {
      ScheduleAfter(config_.one_way_delay,
                    [=] { HandleResponse(request, server, sent, job_result); });
    };
    Submit(servers_[server], std::move(job), now_, scheduler_);
  });
  if (config_.policy == Policy::kProductWithHedges &&
      request->attempts.size() == 1 && request->idempotent)
    ScheduleHedge(request);
}

void Simulation::ScheduleHedge(const SimRequestPtr& request) {
  const auto delay = HedgeDelay(instances_[request->instance].pool, service_id);
  if (delay)
    ScheduleAfter(*delay, [=] { SendHedge(request); });
}

void Simulation::SendHedge(const SimRequestPtr& request) {
  SimInstance& instance = instances_[request->instance];
  if (request->finished || request->attempts.size() != 1 ||
      instance.hedge_tokens < 1)
    return;
  const ServerRequirements requirements{
      service_id,
      ClientAccountId(std::to_string(request->account)),
      now_ + kRequestTimeout,
      {ServerName(request->attempts[0].first)}};
  const ServerReply reply =
      AcquireServer(instance.pool, requirements, now_, random_(), [](auto) {});
  if (reply.state == ServerReply::State::kWaiting)
    CancelWait(instance.pool, service_id, reply.ticket);
  if (reply.state != ServerReply::State::kChosen)
    return;
  instance.hedge_tokens -= 1;
  ++result_.hedges;
  SendAttempt(request, ServerIndex(reply.chosen.server));
}

void Simulation::HandleResponse(const SimRequestPtr& request,
                                int server,
                                TimePoint sent,
                                JobResult job_result) {
  const auto attempt =
      std::find(request->attempts.begin(), request->attempts.end(),
                std::make_pair(server, sent));
  if (attempt == request->attempts.end())
    return;
  request->attempts.erase(attempt);
  const bool failed = job_result == JobResult::kFailed;
  ReleaseAttempt(*request, server, sent,
                 failed ? End::kServerError : End::kAnswered);
  if (request->finished || (failed && !request->attempts.empty()))
    return;
  FinishRequest(*request, failed);
  // Cancels the slower attempt of a hedged request. The simulated server still
  // runs it to its end, so hedges cost more here than with servers that stop
  // at once.
  for (const auto& [other, other_sent] : std::exchange(request->attempts, {}))
    ReleaseAttempt(*request, other, other_sent, End::kCancelled);
}

void Simulation::ReleaseAttempt(const SimRequest& request,
                                int server,
                                TimePoint sent,
                                End end) {
  SimInstance& instance = instances_[request.instance];
  if (!IsProduct()) {
    --instance.outstanding[server];
    return;
  }
  AttemptResult result;
  result.end = end;
  result.latency = now_ - sent;
  if (end != End::kCancelled) {
    result.reported_in_flight =
        InFlightAt(servers_[server], now_ - config_.report_age);
    result.reported_cold = now_ < servers_[server].cold_until;
  }
  PerformActions(
      request.instance,
      ReleaseServer(instance.pool, ServerName(server), result, now_));
}

void Simulation::FinishRequest(SimRequest& request, bool failed) {
  request.finished = true;
  const Duration latency = now_ - request.arrived;
  result_.failed += failed;
  result_.late += !failed && latency > kLateThreshold;
  if (!failed && request.arrived >= TimeAt(config_.fault_start))
    result_.latencies[request.account].push_back(
        std::chrono::duration<double, std::milli>(latency).count());
}

Duration Simulation::SampleServiceTime(int server) {
  double factor = -std::log(1 - RandomFraction());
  if (config_.log_normal) {
    // The mean is 1. Sigma 1 puts the p99 at about six times the mean.
    factor = std::exp(std::normal_distribution<>(-0.5, 1)(random_));
  }
  const bool slow = server % 10 == 1 && now_ >= TimeAt(config_.fault_start);
  if (slow)
    factor *= config_.slow_factor;
  return std::chrono::duration_cast<Duration>(config_.mean_service_time *
                                              factor);
}

}  // namespace mangodoor::bench
