#include "bench/lib/limits_fleet.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include "process/accounts/account_limiter.h"
#include "version/version.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kHeartbeatInterval = milliseconds(250);
constexpr Duration kAdmissionWait = milliseconds(50);

/** A token bucket in floating point, used as a reference. */
struct ReferenceBucket {
  double rate_per_s = 0;
  double burst = 0;
  double tokens = 0;
  TimePoint updated_at{};

  void AdvanceTo(TimePoint now) {
    tokens = std::min(
        burst,
        tokens + rate_per_s *
                     std::chrono::duration<double>(now - updated_at).count());
    updated_at = now;
  }
  /** Takes a token if there is one now or within `wait`. */
  bool Take(TimePoint now, Duration wait) {
    AdvanceTo(now);
    const double refill_during_wait =
        rate_per_s * std::chrono::duration<double>(wait).count();
    // The tolerance keeps rounding errors of the sum from costing a token.
    if (tokens + refill_during_wait < 1 - 1e-6)
      return false;
    tokens -= 1;
    return true;
  }
};

struct BenchInstance {
  InstanceId id;
  AccountLimiter limiter;
  /** Lease messages sent in the measured time. */
  uint64_t sent = 0;
  /** Even split of the rates: one bucket for each client account. */
  std::vector<ReferenceBucket> split_buckets;
};

Endpoint AddressOf(size_t instance) {
  return {"10.0.0." + std::to_string(instance + 1), 8080};
}

VersionPtr VersionOf(const LimitsCase& limits_case) {
  Document document;
  document.version = 1;
  document.admission_wait =
      std::chrono::duration_cast<milliseconds>(kAdmissionWait);
  DataCentre data_centre;
  data_centre.id = DataCentreId("all");
  for (size_t i = 0; i < limits_case.instances; ++i)
    data_centre.entry_addresses.push_back(AddressOf(i));
  document.data_centres.push_back(data_centre);
  for (const BenchAccount& account : limits_case.accounts) {
    ClientAccount client;
    client.id = ClientAccountId(account.name);
    client.rate_per_s = static_cast<double>(account.rate_per_s);
    client.burst = account.burst;
    document.client_accounts.push_back(client);
  }
  return MakeVersion(document, "1", "");
}

class LimitsFleet {
 public:
  explicit LimitsFleet(const LimitsCase& limits_case)
      : case_(limits_case), random_(limits_case.seed) {}

  LimitsResult Run() {
    StartInstances();
    StartAccounts();
    const TimePoint end = start_ + case_.warm_up + case_.measured_time;
    // Runs on past the end until the last offered requests, which can wait for
    // kAdmissionWait, are admitted or refused.
    while (!events_.empty() &&
           events_.begin()->first < end + 2 * kAdmissionWait)
      RunNextEvent();
    return Summarise();
  }

 private:
  void ScheduleAt(TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  void RunNextEvent() {
    const auto first = events_.begin();
    now_ = first->first;
    const std::function<void()> event = std::move(first->second);
    events_.erase(first);
    event();
  }

  bool IsDead(size_t i) const {
    return case_.one_instance_dead && i + 1 == case_.instances;
  }

  bool IsMeasuring() const {
    return now_ >= start_ + case_.warm_up &&
           now_ < start_ + case_.warm_up + case_.measured_time;
  }

  void StartInstances() {
    const VersionPtr version = VersionOf(case_);
    instances_.resize(case_.instances);
    for (size_t i = 0; i < instances_.size(); ++i) {
      BenchInstance& instance = instances_[i];
      instance.id = InstanceId("i" + std::to_string(i));
      instance_index_[instance.id] = i;
      instance.limiter.next_lease_name = (i + 1) << 32;
      AdoptVersion(instance.limiter, *version, AddressOf(i), now_);
      ConfirmVersion(instance.limiter, 1, kShareOverlap, now_);
      for (const BenchAccount& account : case_.accounts) {
        const double n = static_cast<double>(case_.instances);
        // A bucket with a burst below 1 would never admit a request.
        const double burst =
            std::max(1.0, static_cast<double>(account.burst) / n);
        instance.split_buckets.push_back(
            {static_cast<double>(account.rate_per_s) / n, burst, burst, now_});
      }
      if (IsDead(i))
        continue;
      ScheduleAt(now_ + RandomDuration(kTickInterval),
                 [this, i] { TickInstance(i); });
      ScheduleAt(now_ + RandomDuration(kHeartbeatInterval),
                 [this, i] { SendHeartbeats(i); });
    }
  }

  void StartAccounts() {
    for (size_t a = 0; a < case_.accounts.size(); ++a) {
      const BenchAccount& account = case_.accounts[a];
      const auto rate = static_cast<double>(account.rate_per_s);
      const auto burst = static_cast<double>(account.burst);
      single_buckets_.push_back({rate, burst, burst, now_});
      limit_buckets_.push_back({rate, burst, burst, now_});
      result_.accounts.emplace_back();
      account_ids_.emplace_back(account.name);
      // Arrivals start after 2 s, since shares get no tokens in the first 1.1 s
      // (kLeaseMaxDuration and kLeaseMargin).
      ScheduleAt(now_ + std::chrono::seconds(2),
                 [this, a] { HandleArrival(a); });
    }
  }

  Duration RandomDuration(Duration limit) {
    return Duration(
        static_cast<int64_t>(random_() % static_cast<uint64_t>(limit.count())));
  }

  double RandomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  size_t ChooseInstance() {
    const size_t live = case_.instances - (case_.one_instance_dead ? 1 : 0);
    if (RandomFraction() < case_.share_on_one_instance) {
      return case_.shift_interval == Duration::max()
                 ? 0
                 : static_cast<size_t>((now_ - start_) / case_.shift_interval) %
                       live;
    }
    return random_() % live;
  }

  void HandleArrival(size_t a) {
    const BenchAccount& account = case_.accounts[a];
    const double rate = account.load * static_cast<double>(account.rate_per_s);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    ScheduleAt(now_ + Duration(static_cast<int64_t>(gap * 1e9)),
               [this, a] { HandleArrival(a); });
    OfferRequest(a, ChooseInstance());
  }

  void OfferRequest(size_t a, size_t i) {
    const bool single_bucket_admits =
        single_buckets_[a].Take(now_, Duration::zero());
    const bool split_admits =
        instances_[i].split_buckets[a].Take(now_, kAdmissionWait);
    const bool is_measured = IsMeasuring();
    if (is_measured) {
      AccountOutcome& outcome = result_.accounts[a];
      ++outcome.offered;
      outcome.single_bucket_admitted += single_bucket_admits ? 1 : 0;
      outcome.split_admitted += split_admits ? 1 : 0;
      outcome.split_wrongly_refused +=
          single_bucket_admits && !split_admits ? 1 : 0;
    }
    const TimePoint offered_at = now_;
    const auto on_decision = [=](std::optional<ErrorKind> error) {
      RecordDecision(a, is_measured, single_bucket_admits, offered_at, !error);
    };
    AccountActions actions;
    const AdmissionDecision decision =
        Admit(instances_[i].limiter, account_ids_[a], now_,
              now_ + std::chrono::seconds(10), on_decision, actions);
    if (decision.state != AdmissionDecision::State::kWaiting)
      RecordDecision(a, is_measured, single_bucket_admits, offered_at,
                     decision.state == AdmissionDecision::State::kAdmitted);
    RunActions(i, actions);
  }

  void RecordDecision(size_t a,
                      bool is_measured,
                      bool single_bucket_admits,
                      TimePoint offered_at,
                      bool admitted) {
    AccountOutcome& outcome = result_.accounts[a];
    // The limit has to hold in every window, so the warm-up is checked, too.
    if (admitted) {
      limit_buckets_[a].AdvanceTo(now_);
      limit_buckets_[a].tokens -= 1;
      if (limit_buckets_[a].tokens < -1e-6)
        ++outcome.over_limit;
    }
    if (!is_measured)
      return;
    outcome.admitted += admitted ? 1 : 0;
    outcome.wrongly_refused += single_bucket_admits && !admitted ? 1 : 0;
    if (admitted)
      waits_.push_back(now_ - offered_at);
  }

  void TickInstance(size_t i) {
    ScheduleAt(now_ + kTickInterval, [this, i] { TickInstance(i); });
    AccountActions actions;
    Tick(instances_[i].limiter, now_, actions);
    RunActions(i, actions);
  }

  void SendHeartbeats(size_t i) {
    ScheduleAt(now_ + kHeartbeatInterval, [this, i] { SendHeartbeats(i); });
    Heartbeat heartbeat;
    heartbeat.state = InstanceState::kServing;
    heartbeat.spare = ListSpareTokens(instances_[i].limiter, now_);
    // Not counted as sent: instances send heartbeats in any case, and only
    // lease messages are measured.
    for (size_t to = 0; to < instances_.size(); ++to) {
      if (to != i)
        SendMessage(i, to, heartbeat);
    }
  }

  void SendMessage(size_t from, size_t to, const PeerMessage& message) {
    if (IsDead(to))
      return;
    ScheduleAt(now_ + case_.message_delay, [this, from, to, message] {
      AccountActions actions;
      HandleMessage(instances_[to].limiter, instances_[from].id, message, now_,
                    actions);
      RunActions(to, actions);
    });
  }

  void RunActions(size_t i, const AccountActions& actions) {
    for (const OutgoingMessage& outgoing : actions.messages) {
      if (IsMeasuring())
        ++instances_[i].sent;
      SendMessage(i, instance_index_.at(outgoing.to), outgoing.message);
    }
    for (const auto& callback : actions.callbacks)
      callback();
  }

  LimitsResult Summarise() {
    const double seconds =
        std::chrono::duration<double>(case_.measured_time).count();
    uint64_t total = 0;
    uint64_t highest = 0;
    for (const BenchInstance& instance : instances_) {
      total += instance.sent;
      highest = std::max(highest, instance.sent);
    }
    result_.messages_per_s_mean = static_cast<double>(total) / seconds /
                                  static_cast<double>(instances_.size());
    result_.messages_per_s_max = static_cast<double>(highest) / seconds;
    std::sort(waits_.begin(), waits_.end());
    if (!waits_.empty()) {
      result_.wait_p50 = waits_[waits_.size() / 2];
      result_.wait_p99 = waits_[waits_.size() * 99 / 100];
      const auto first_wait =
          std::upper_bound(waits_.begin(), waits_.end(), Duration::zero());
      result_.waited_share = static_cast<double>(waits_.end() - first_wait) /
                             static_cast<double>(waits_.size());
    }
    return result_;
  }

  const LimitsCase& case_;
  std::mt19937_64 random_;
  const TimePoint start_{std::chrono::hours(1)};
  TimePoint now_ = start_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<BenchInstance> instances_;
  std::map<InstanceId, size_t> instance_index_;
  std::vector<ClientAccountId> account_ids_;
  std::vector<ReferenceBucket> single_buckets_;
  std::vector<ReferenceBucket> limit_buckets_;
  std::vector<Duration> waits_;
  LimitsResult result_;
};

}  // namespace

LimitsResult MeasureLimits(const LimitsCase& limits_case) {
  return LimitsFleet(limits_case).Run();
}

}  // namespace mangodoor
