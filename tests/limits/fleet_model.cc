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

Endpoint AddressOf(size_t node) {
  return {"10.0.0." + std::to_string(node + 1), 8080};
}

VersionPtr MakeRulesVersion(uint64_t number, const Rules& rules) {
  Document document;
  document.version = number;
  DataCentre data_centre;
  data_centre.id = DataCentreId("muscat-1");
  for (size_t node = 0; node < rules.listed.size(); ++node) {
    if (rules.listed[node])
      data_centre.entry_addresses.push_back(AddressOf(node));
  }
  document.data_centres.push_back(data_centre);
  ClientAccount account;
  account.id = Account();
  account.rate_per_s = static_cast<double>(rules.rate_per_s);
  account.burst = rules.burst;
  if (rules.rate_per_s > 0)
    document.client_accounts.push_back(account);
  return MakeVersion(document, std::to_string(number), "");
}

}  // namespace

FleetModel::FleetModel(const Rules& rules,
                       uint64_t seed,
                       const InjectedLimitFaults& faults)
    : random_(seed), faults_(faults), rules_(rules) {
  const size_t nodes = rules.listed.size();
  allowed_ = {now_, rules_.rate_per_s, rules_.burst};
  oracle_.Allow(allowed_);
  // In force for long: the first processes may have predecessors.
  versions_.push_back({MakeRulesVersion(1, rules_), now_ - kShareOverlap,
                       std::vector<TimePoint>(nodes, now_ - kShareOverlap)});
  nodes_.resize(nodes);
  for (size_t node = 0; node < nodes; ++node) {
    nodes_[node].id = InstanceId("i" + std::to_string(node));
    nodes_[node].address = AddressOf(node);
    nodes_[node].hidden.assign(nodes, false);
    nodes_[node].start_at = now_ + microseconds(Random(300000));
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
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].running && now_ >= nodes_[i].start_at)
      StartProcess(i);
    AdoptDueVersions(i);
  }
  Deliver();
  for (size_t i = 0; i < nodes_.size(); ++i) {
    ModelNode& node = nodes_[i];
    if (!IsAwake(node))
      continue;
    Offer(i);
    if (now_ >= node.next_tick) {
      node.next_tick = now_ + kTickInterval;
      AccountActions actions;
      Tick(node.limiter, LocalNow(node), actions);
      RunActions(i, actions);
    }
    if (now_ >= node.next_heartbeat) {
      node.next_heartbeat = now_ + kHeartbeatInterval;
      SendHeartbeats(i);
    }
  }
}

void FleetModel::StartProcess(size_t i) {
  ModelNode& node = nodes_[i];
  node.running = true;
  node.process = ++processes_;
  node.limiter = AccountLimiter();
  node.limiter.faults = faults_;
  node.limiter.next_lease_name = node.process << 32;
  node.clock_offset = microseconds(Random(1000000000));
  node.next_tick = now_ + microseconds(Random(10000));
  node.next_heartbeat = now_ + microseconds(Random(250000));
  // Any version that was the latest one recently enough may be read.
  size_t oldest = versions_.size() - 1;
  while (oldest > 0 && now_ - versions_[oldest].at < kMaxVersionDelay)
    --oldest;
  node.version = oldest + static_cast<size_t>(Random(
                              static_cast<int64_t>(versions_.size() - oldest)));
  AdoptVersion(node.limiter, *versions_[node.version].version, node.address,
               LocalNow(node));
}

void FleetModel::AdoptDueVersions(size_t i) {
  ModelNode& node = nodes_[i];
  if (!IsAwake(node))
    return;
  for (size_t next = versions_.size() - 1; next > node.version; --next) {
    if (now_ < versions_[next].arrives[i])
      continue;
    node.version = next;
    AdoptVersion(node.limiter, *versions_[next].version, node.address,
                 LocalNow(node));
    return;
  }
}

bool FleetModel::IsAwake(const ModelNode& node) const {
  return node.running && now_ >= node.resume_at;
}

void FleetModel::Deliver() {
  while (!mail_.empty() && mail_.begin()->first <= now_) {
    const ModelMessage message = std::move(mail_.begin()->second);
    mail_.erase(mail_.begin());
    const ModelNode& node = nodes_[message.to];
    if (IsAwake(node)) {
      Handle(message.to, message);
    } else if (node.running) {
      // It lies in the socket until the process resumes.
      mail_.emplace(node.resume_at + microseconds(Random(3000)), message);
    }
  }
}

void FleetModel::Handle(size_t i, const ModelMessage& message) {
  ModelNode& node = nodes_[i];
  if (message.version != 0)
    ConfirmVersion(node.limiter, message.version, message.unchanged_for,
                   LocalNow(node));
  AccountActions actions;
  HandleMessage(node.limiter, nodes_[message.from].id, message.message,
                LocalNow(node), actions);
  RunActions(i, actions);
}

void FleetModel::Offer(size_t i) {
  ModelNode& node = nodes_[i];
  node.load_left_over += node.load;
  for (; node.load_left_over >= 1000; node.load_left_over -= 1000)
    OfferOne(i);
}

void FleetModel::OfferOne(size_t i) {
  ModelNode& node = nodes_[i];
  const size_t record = waiting_.size();
  const Duration limit =
      Random(4) == 0 ? milliseconds(1 + Random(60)) : milliseconds(1000);
  waiting_.push_back({i, node.process, 0, Account(),
                      now_ + std::min<Duration>(limit, milliseconds(50)), 0,
                      false});
  AccountActions actions;
  const AdmissionDecision decision = Admit(
      node.limiter, Account(), LocalNow(node), LocalNow(node) + limit,
      [this, record](std::optional<ErrorKind> error) {
        Decided(record, error);
      },
      actions);
  waiting_[record].ticket = decision.ticket;
  if (decision.state == AdmissionDecision::State::kAdmitted)
    NoteAdmission();
  RunActions(i, actions);
  if (decision.state != AdmissionDecision::State::kWaiting)
    ++waiting_[record].decisions;
}

void FleetModel::Decided(size_t record, std::optional<ErrorKind> error) {
  WaitingRecord& request = waiting_[record];
  if (++request.decisions > 1)
    Fail("a waiting request was decided twice");
  if (request.cancelled)
    Fail("a cancelled request was decided");
  if (error)
    return;
  if (now_ >= request.until)
    Fail("a request was admitted after its time");
  NoteAdmission();
}

void FleetModel::NoteAdmission() {
  ++admitted_;
  if (!oracle_.Admitted(now_))
    Fail("more requests admitted than rate and burst allow");
}

void FleetModel::SendHeartbeats(size_t i) {
  ModelNode& node = nodes_[i];
  Heartbeat heartbeat;
  heartbeat.state = InstanceState::kServing;
  heartbeat.spare = SpareShares(node.limiter, LocalNow(node));
  for (size_t to = 0; to < nodes_.size(); ++to) {
    if (to == i || node.hidden[to])
      continue;
    Post({i, to, heartbeat, node.limiter.version,
          LocalNow(node) - node.limiter.share_state.unchanged_since});
  }
}

void FleetModel::RunActions(size_t from, const AccountActions& actions) {
  for (const OutgoingMessage& outgoing : actions.messages) {
    for (size_t to = 0; to < nodes_.size(); ++to) {
      if (nodes_[to].id == outgoing.to)
        Post({from, to, outgoing.message, 0, {}});
    }
  }
  for (const auto& callback : actions.callbacks)
    callback();
}

void FleetModel::Post(ModelMessage message) {
  const auto delay = [this] {
    return microseconds(
        Random(std::chrono::duration_cast<microseconds>(network_.longest_delay)
                   .count()));
  };
  if (Random(100) < network_.repeated_percent)
    mail_.emplace(now_ + delay(), message);
  if (Random(100) >= network_.lost_percent)
    mail_.emplace(now_ + delay(), std::move(message));
}

void FleetModel::Pause(size_t node, Duration duration) {
  nodes_[node].resume_at = std::max(nodes_[node].resume_at, now_ + duration);
}

void FleetModel::Kill(size_t node, Duration downtime) {
  nodes_[node].running = false;
  nodes_[node].start_at = now_ + downtime;
  nodes_[node].resume_at = now_;
}

void FleetModel::ToggleHidden(size_t node, size_t other) {
  nodes_[node].hidden[other] = !nodes_[node].hidden[other];
  if (nodes_[node].hidden[other])
    ForgetPeer(nodes_[node].limiter, nodes_[other].id);
}

void FleetModel::CancelOneWaiting() {
  for (auto request = waiting_.rbegin(); request != waiting_.rend();
       ++request) {
    ModelNode& node = nodes_[request->node];
    if (request->decisions > 0 || request->cancelled ||
        node.process != request->process || !IsAwake(node))
      continue;
    Cancel(node.limiter, request->account, request->ticket);
    request->cancelled = true;
    return;
  }
}

void FleetModel::SendNonsense(size_t from, size_t to) {
  const std::vector<MicroTokens> sizes = {-1, INT64_MIN, INT64_MAX, 0,
                                          kMicroTokensPerToken};
  const std::vector<Duration> durations = {
      Duration::zero(), -Duration(1), Duration::max(), kLeaseMaxDuration * 2,
      kLeaseMaxDuration};
  CapacityLease lease;
  lease.id = static_cast<uint64_t>(Random(1 << 20));
  // Some grants name a request that waits for its answer.
  for (const auto& [id, account] : nodes_[to].limiter.accounts) {
    if (!account.leases.pending.empty())
      lease.id = account.leases.pending.front().wanted.id;
  }
  lease.client_account = Account();
  lease.tokens = sizes[Random(5)];
  lease.rate_per_s = sizes[Random(3)];
  lease.burst = sizes[Random(5)];
  lease.duration = durations[Random(5)];
  Post({from, to, LeaseGrant{lease}, 0, {}});
  Post({from, to, LeaseRequest{lease}, 0, {}});
}

void FleetModel::Publish(Rules rules, Duration longest_delay) {
  if (rules.listed != rules_.listed) {
    if (now_ - addresses_changed_at_ < 2 * kShareOverlap)
      rules.listed = rules_.listed;
    else
      addresses_changed_at_ = now_;
  }
  rules_ = rules;
  PublishedVersion published;
  published.version = MakeRulesVersion(versions_.size() + 1, rules);
  published.at = now_;
  const Duration limit = std::min(longest_delay, kMaxVersionDelay);
  for (size_t node = 0; node < nodes_.size(); ++node)
    published.arrives.push_back(
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
  for (ModelNode& node : nodes_)
    node.load = 0;
  Run(milliseconds(100));
  // Paused processes decide when they resume.
  for (ModelNode& node : nodes_)
    Run(node.resume_at - now_ + milliseconds(20));
  for (const WaitingRecord& request : waiting_) {
    const ModelNode& node = nodes_[request.node];
    if (node.running && node.process == request.process && !request.cancelled &&
        request.decisions == 0)
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
