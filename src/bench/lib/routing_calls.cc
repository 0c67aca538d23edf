#include <algorithm>
#include <cmath>

#include "bench/lib/routing_simulation.h"

namespace mangodoor::bench {

using End = AttemptResult::End;

void Simulation::Begin(int account) {
  auto call = std::make_shared<Call>();
  call->instance = Below(config_.instances);
  call->account = account;
  call->arrived = now_;
  call->idempotent = Uniform() < kIdempotentShare;
  ++result_.requests;
  if (IsProduct())
    return BeginProduct(call);
  SimInstance& instance = instances_[call->instance];
  const int server = ChooseBaseline(instance);
  ++instance.outstanding[server];
  Send(call, server);
}

int Simulation::ChooseBaseline(SimInstance& instance) {
  std::vector<int> usable;
  for (int i = 0; i < config_.servers; ++i) {
    if (instance.first_centre_in || i % config_.data_centres != 0)
      usable.push_back(i);
  }
  const int count = static_cast<int>(usable.size());
  const int first = Below(count);
  if (config_.policy == Policy::kRandom)
    return usable[first];
  if (config_.policy == Policy::kRoundRobin) {
    // Each instance starts at its own place.
    if (instance.next == 0)
      instance.next = 1 + first;
    return usable[instance.next++ % count];
  }
  if (config_.policy == Policy::kTwoChoices) {
    const int a = usable[first];
    const int b = usable[(first + 1 + Below(count - 1)) % count];
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

void Simulation::BeginProduct(const CallPtr& call) {
  SimInstance& instance = instances_[call->instance];
  instance.hedge_tokens = std::min(instance.hedge_tokens + kRetryShare, 10.0);
  const ServerRequirements requirements{
      service_id,
      ClientAccountId(std::to_string(call->account)),
      now_ + kDeadline,
      {}};
  const ServerReply reply =
      AcquireServer(instance.pool, requirements, now_, random_(),
                    [this, call](auto decision) {
                      if (auto* server = std::get_if<ChosenServer>(&decision))
                        Send(call, NumberOf(server->server));
                      else
                        Finish(*call, true);
                    });
  if (reply.state == ServerReply::State::kRefused)
    return Finish(*call, true);
  if (reply.state == ServerReply::State::kChosen)
    Send(call, NumberOf(reply.chosen.server));
}

void Simulation::Send(const CallPtr& call, int server) {
  const TimePoint sent = now_;
  call->attempts.emplace_back(server, sent);
  const Duration work = Work(server);
  After(config_.one_way, [=] {
    ServerJob job;
    job.id = ++jobs_;
    job.work = work;
    job.done = [=](ServerAnswer answer) {
      After(config_.one_way, [=] { Answer(call, server, sent, answer); });
    };
    Submit(servers_[server], std::move(job), now_, scheduler_);
  });
  if (config_.policy == Policy::kProductWithHedges &&
      call->attempts.size() == 1 && call->idempotent)
    PlanHedge(call);
}

void Simulation::PlanHedge(const CallPtr& call) {
  const auto delay = HedgeDelay(instances_[call->instance].pool, service_id);
  if (delay)
    After(*delay, [=] { Hedge(call); });
}

void Simulation::Hedge(const CallPtr& call) {
  SimInstance& instance = instances_[call->instance];
  if (call->finished || call->attempts.size() != 1 || instance.hedge_tokens < 1)
    return;
  const ServerRequirements requirements{
      service_id,
      ClientAccountId(std::to_string(call->account)),
      now_ + kDeadline,
      {ServerName(call->attempts[0].first)}};
  const ServerReply reply =
      AcquireServer(instance.pool, requirements, now_, random_(), [](auto) {});
  if (reply.state == ServerReply::State::kWaiting)
    CancelWait(instance.pool, service_id, reply.ticket);
  if (reply.state != ServerReply::State::kChosen)
    return;
  instance.hedge_tokens -= 1;
  ++result_.hedges;
  Send(call, NumberOf(reply.chosen.server));
}

void Simulation::Answer(const CallPtr& call,
                        int server,
                        TimePoint sent,
                        ServerAnswer answer) {
  const auto attempt = std::find(call->attempts.begin(), call->attempts.end(),
                                 std::make_pair(server, sent));
  if (attempt == call->attempts.end())
    return;
  call->attempts.erase(attempt);
  const bool failed = answer == ServerAnswer::kFailed;
  Release(*call, server, sent, failed ? End::kServerError : End::kAnswered);
  if (call->finished || (failed && !call->attempts.empty()))
    return;
  Finish(*call, failed);
  // The loser of a hedge is cancelled. The server runs it to its end, which
  // makes hedges dearer here than with servers that stop at once.
  for (const auto& [other, other_sent] : std::exchange(call->attempts, {}))
    Release(*call, other, other_sent, End::kCancelled);
}

void Simulation::Release(const Call& call,
                         int server,
                         TimePoint sent,
                         End end) {
  SimInstance& instance = instances_[call.instance];
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
  Perform(call.instance,
          ReleaseServer(instance.pool, ServerName(server), result, now_));
}

void Simulation::Finish(Call& call, bool failed) {
  call.finished = true;
  const Duration latency = now_ - call.arrived;
  result_.failed += failed;
  result_.late += !failed && latency > kLate;
  if (!failed && call.arrived >= At(config_.fault_start))
    result_.latencies[call.account].push_back(
        std::chrono::duration<double, std::milli>(latency).count());
}

Duration Simulation::Work(int server) {
  double factor = -std::log(1 - Uniform());
  if (config_.log_normal) {
    // Mean 1; sigma 1 gives a p99 of about six means.
    factor = std::exp(std::normal_distribution<>(-0.5, 1)(random_));
  }
  const bool slow = server % 10 == 1 && now_ >= At(config_.fault_start);
  if (slow)
    factor *= config_.slow_factor;
  return std::chrono::duration_cast<Duration>(config_.mean_service * factor);
}

}  // namespace mangodoor::bench
