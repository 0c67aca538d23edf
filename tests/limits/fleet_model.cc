#include "limits/fleet_model.h"

#include <algorithm>

namespace mangodoor {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kHeartbeatInterval = milliseconds(250);

const ClientAccountId& Account() {
  static const ClientAccountId id("metro");
  return id;
}

Endpoint AddressOf(size_t instance) {
  return {"10.0.0." + std::to_string(instance + 1), 8080};
}

VersionPtr MakeModelVersion(uint64_t number, const ModelConfig& config) {
  Document document;
  document.version = number;
  DataCentre data_centre;
  data_centre.id = DataCentreId("muscat-1");
  for (size_t instance = 0; instance < config.listed.size(); ++instance) {
    if (config.listed[instance])
      data_centre.entry_addresses.push_back(AddressOf(instance));
  }
  document.data_centres.push_back(data_centre);
  ClientAccount account;
  account.id = Account();
  account.rate_per_s = static_cast<double>(config.rate_per_s);
  account.burst = config.burst;
  if (config.rate_per_s > 0)
    document.client_accounts.push_back(account);
  return MakeVersion(document, std::to_string(number), "");
}

}  // namespace

FleetModel::FleetModel(const ModelConfig& config,
                       uint64_t seed,
                       const InjectedLimitFaults& faults)
    : random_(seed), faults_(faults), config_(config) {
  const size_t instances = config.listed.size();
  allowed_ = {now_, config_.rate_per_s, config_.burst};
  oracle_.Allow(allowed_);
  // The model starts in the middle of operation: the first version was
  // published kShareOverlap ago, and the first processes may have replaced
  // earlier ones.
  versions_.push_back(
      {MakeModelVersion(1, config_), now_ - kShareOverlap,
       std::vector<TimePoint>(instances, now_ - kShareOverlap)});
  instances_.resize(instances);
  for (size_t instance = 0; instance < instances; ++instance) {
    instances_[instance].id = InstanceId("i" + std::to_string(instance));
    instances_[instance].address = AddressOf(instance);
    instances_[instance].hidden.assign(instances, false);
    instances_[instance].start_at = now_ + microseconds(Random(300000));
  }
}

void FleetModel::Run(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end && !violation_)
    Step();
}

void FleetModel::Step() {
  now_ += kStep;
  UpdateAllowed();
  for (size_t i = 0; i < instances_.size(); ++i) {
    if (!instances_[i].running && now_ >= instances_[i].start_at)
      StartProcess(i);
    AdoptDueVersions(i);
  }
  Deliver();
  for (size_t i = 0; i < instances_.size(); ++i) {
    ModelInstance& instance = instances_[i];
    if (!IsAwake(instance))
      continue;
    OfferRequests(i);
    if (now_ >= instance.next_tick) {
      instance.next_tick = now_ + kTickInterval;
      AccountActions actions;
      Tick(instance.limiter, LocalNow(instance), actions);
      RunActions(i, actions);
    }
    if (now_ >= instance.next_heartbeat) {
      instance.next_heartbeat = now_ + kHeartbeatInterval;
      SendHeartbeats(i);
    }
  }
}

void FleetModel::StartProcess(size_t i) {
  ModelInstance& instance = instances_[i];
  instance.running = true;
  instance.process = ++process_count_;
  instance.limiter = AccountLimiter();
  instance.limiter.faults = faults_;
  instance.limiter.next_lease_name = instance.process << 32;
  instance.clock_offset = microseconds(Random(1000000000));
  instance.next_tick = now_ + microseconds(Random(10000));
  instance.next_heartbeat = now_ + microseconds(Random(250000));
  // The process first reads one of the versions that were the latest at some
  // time in the last kMaxVersionDelay.
  size_t oldest = versions_.size() - 1;
  while (oldest > 0 && now_ - versions_[oldest].at < kMaxVersionDelay)
    --oldest;
  instance.version =
      oldest + static_cast<size_t>(
                   Random(static_cast<int64_t>(versions_.size() - oldest)));
  AdoptVersion(instance.limiter, *versions_[instance.version].version,
               instance.address, LocalNow(instance));
}

void FleetModel::AdoptDueVersions(size_t i) {
  ModelInstance& instance = instances_[i];
  if (!IsAwake(instance))
    return;
  for (size_t next = versions_.size() - 1; next > instance.version; --next) {
    if (now_ < versions_[next].arrives_at[i])
      continue;
    instance.version = next;
    AdoptVersion(instance.limiter, *versions_[next].version, instance.address,
                 LocalNow(instance));
    return;
  }
}

bool FleetModel::IsAwake(const ModelInstance& instance) const {
  return instance.running && now_ >= instance.resume_at;
}

void FleetModel::Deliver() {
  while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
    const ModelMessage message = std::move(in_flight_.begin()->second);
    in_flight_.erase(in_flight_.begin());
    const ModelInstance& instance = instances_[message.to];
    if (IsAwake(instance)) {
      ReceiveMessage(message.to, message);
    } else if (instance.running) {
      // The message stays in the socket until the process resumes.
      in_flight_.emplace(instance.resume_at + microseconds(Random(3000)),
                         message);
    }
  }
}

void FleetModel::ReceiveMessage(size_t i, const ModelMessage& message) {
  ModelInstance& instance = instances_[i];
  if (message.version != 0)
    ConfirmVersion(instance.limiter, message.version, message.unchanged_for,
                   LocalNow(instance));
  AccountActions actions;
  HandleMessage(instance.limiter, instances_[message.from].id, message.message,
                LocalNow(instance), actions);
  RunActions(i, actions);
}

void FleetModel::OfferRequests(size_t i) {
  ModelInstance& instance = instances_[i];
  instance.load_left_over += instance.load;
  for (; instance.load_left_over >= 1000; instance.load_left_over -= 1000)
    OfferRequest(i);
}

void FleetModel::OfferRequest(size_t i) {
  ModelInstance& instance = instances_[i];
  const size_t index = offered_.size();
  const Duration limit =
      Random(4) == 0 ? milliseconds(1 + Random(60)) : milliseconds(1000);
  offered_.push_back({i, instance.process, 0, Account(),
                      now_ + std::min<Duration>(limit, milliseconds(50)), 0,
                      false});
  AccountActions actions;
  const AdmissionDecision decision = Admit(
      instance.limiter, Account(), LocalNow(instance),
      LocalNow(instance) + limit,
      [this, index](std::optional<ErrorKind> error) {
        OnDecision(index, error);
      },
      actions);
  offered_[index].ticket = decision.ticket;
  if (decision.state == AdmissionDecision::State::kAdmitted)
    RecordAdmission();
  RunActions(i, actions);
  if (decision.state != AdmissionDecision::State::kWaiting)
    ++offered_[index].decisions;
}

void FleetModel::OnDecision(size_t index, std::optional<ErrorKind> error) {
  OfferedRequest& request = offered_[index];
  if (++request.decisions > 1)
    Fail("a waiting request was decided twice");
  if (request.cancelled)
    Fail("a cancelled request was decided");
  if (error)
    return;
  if (now_ >= request.until)
    Fail("a request was admitted after its time");
  RecordAdmission();
}

void FleetModel::RecordAdmission() {
  ++admitted_;
  if (!oracle_.RecordAdmission(now_))
    Fail("more requests admitted than rate and burst allow");
}

void FleetModel::SendHeartbeats(size_t i) {
  ModelInstance& instance = instances_[i];
  Heartbeat heartbeat;
  heartbeat.state = InstanceState::kServing;
  heartbeat.spare = ListSpareTokens(instance.limiter, LocalNow(instance));
  for (size_t to = 0; to < instances_.size(); ++to) {
    if (to == i || instance.hidden[to])
      continue;
    SendMessage(
        {i, to, heartbeat, instance.limiter.version,
         LocalNow(instance) - instance.limiter.share_state.unchanged_since});
  }
}

void FleetModel::RunActions(size_t from, const AccountActions& actions) {
  for (const OutgoingMessage& outgoing : actions.messages) {
    for (size_t to = 0; to < instances_.size(); ++to) {
      if (instances_[to].id == outgoing.to)
        SendMessage({from, to, outgoing.message, 0, {}});
    }
  }
  for (const auto& callback : actions.callbacks)
    callback();
}

void FleetModel::SendMessage(ModelMessage message) {
  const auto delay = [this] {
    return microseconds(
        Random(std::chrono::duration_cast<microseconds>(network_.longest_delay)
                   .count()));
  };
  if (Random(100) < network_.repeated_percent)
    in_flight_.emplace(now_ + delay(), message);
  if (Random(100) >= network_.lost_percent)
    in_flight_.emplace(now_ + delay(), std::move(message));
}

void FleetModel::Pause(size_t instance, Duration duration) {
  instances_[instance].resume_at =
      std::max(instances_[instance].resume_at, now_ + duration);
}

void FleetModel::Kill(size_t instance, Duration downtime) {
  instances_[instance].running = false;
  instances_[instance].start_at = now_ + downtime;
  instances_[instance].resume_at = now_;
}

void FleetModel::ToggleHidden(size_t instance, size_t other) {
  instances_[instance].hidden[other] = !instances_[instance].hidden[other];
  if (instances_[instance].hidden[other])
    ForgetPeer(instances_[instance].limiter, instances_[other].id);
}

void FleetModel::CancelOneWaiting() {
  for (auto request = offered_.rbegin(); request != offered_.rend();
       ++request) {
    ModelInstance& instance = instances_[request->instance];
    if (request->decisions > 0 || request->cancelled ||
        instance.process != request->process || !IsAwake(instance))
      continue;
    Cancel(instance.limiter, request->account, request->ticket);
    request->cancelled = true;
    return;
  }
}

void FleetModel::SendInvalidMessages(size_t from, size_t to) {
  const std::vector<MicroTokens> sizes = {-1, INT64_MIN, INT64_MAX, 0,
                                          kMicroTokensPerToken};
  const std::vector<Duration> durations = {
      Duration::zero(), -Duration(1), Duration::max(), kLeaseMaxDuration * 2,
      kLeaseMaxDuration};
  CapacityLease lease;
  lease.id = static_cast<uint64_t>(Random(1 << 20));
  // Some grants have the id of a pending request.
  for (const auto& [id, account] : instances_[to].limiter.accounts) {
    if (!account.leases.pending.empty())
      lease.id = account.leases.pending.front().wanted.id;
  }
  lease.client_account = Account();
  lease.tokens = sizes[Random(5)];
  lease.rate_per_s = sizes[Random(3)];
  lease.burst = sizes[Random(5)];
  lease.duration = durations[Random(5)];
  SendMessage({from, to, LeaseGrant{lease}, 0, {}});
  SendMessage({from, to, LeaseRequest{lease}, 0, {}});
}

void FleetModel::Publish(ModelConfig config, Duration longest_delay) {
  if (config.listed != config_.listed) {
    if (now_ - addresses_changed_at_ < 2 * kShareOverlap)
      config.listed = config_.listed;
    else
      addresses_changed_at_ = now_;
  }
  config_ = config;
  PublishedVersion published;
  published.version = MakeModelVersion(versions_.size() + 1, config);
  published.at = now_;
  const Duration limit = std::min(longest_delay, kMaxVersionDelay);
  for (size_t instance = 0; instance < instances_.size(); ++instance)
    published.arrives_at.push_back(
        now_ + microseconds(Random(
                   std::chrono::duration_cast<microseconds>(limit).count())));
  versions_.push_back(published);
}

void FleetModel::UpdateAllowed() {
  AllowedRate allowed{now_, 0, 0};
  for (size_t i = versions_.size(); i-- > 0;) {
    const bool superseded_long_ago =
        i + 1 < versions_.size() && now_ - versions_[i + 1].at >= kShareOverlap;
    if (superseded_long_ago)
      break;
    for (const ClientAccount& account :
         versions_[i].version->document.client_accounts) {
      allowed.rate_per_s = std::max(allowed.rate_per_s,
                                    static_cast<int64_t>(account.rate_per_s));
      allowed.burst = std::max(allowed.burst, account.burst);
    }
  }
  if (allowed.rate_per_s == allowed_.rate_per_s &&
      allowed.burst == allowed_.burst)
    return;
  allowed_ = allowed;
  oracle_.Allow(allowed);
}

void FleetModel::Finish() {
  for (ModelInstance& instance : instances_)
    instance.load = 0;
  Run(milliseconds(100));
  // Paused processes decide their requests when they resume.
  for (ModelInstance& instance : instances_)
    Run(instance.resume_at - now_ + milliseconds(20));
  for (const OfferedRequest& request : offered_) {
    const ModelInstance& instance = instances_[request.instance];
    if (instance.running && instance.process == request.process &&
        !request.cancelled && request.decisions == 0)
      Fail("a waiting request was never decided");
  }
}

void FleetModel::Fail(const std::string& what) {
  if (!violation_)
    violation_ = what + " at " +
                 std::to_string(std::chrono::duration_cast<milliseconds>(
                                    now_.time_since_epoch())
                                    .count() -
                                3600000) +
                 " ms";
}

int64_t FleetModel::Random(int64_t limit) {
  return limit <= 0
             ? 0
             : static_cast<int64_t>(random_() % static_cast<uint64_t>(limit));
}

}  // namespace mangodoor
