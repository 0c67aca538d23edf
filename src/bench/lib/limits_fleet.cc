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

/** One bucket in floating point, as a reference. */
struct ReferenceBucket {
  double rate_per_s = 0;
  double burst = 0;
  double tokens = 0;
  TimePoint at{};

  void AdvanceTo(TimePoint now) {
    tokens = std::min(
        burst,
        tokens + rate_per_s * std::chrono::duration<double>(now - at).count());
    at = now;
  }
  /** Takes a token if one is there now or within `wait`. */
  bool Take(TimePoint now, Duration wait) {
    AdvanceTo(now);
    const double coming =
        rate_per_s * std::chrono::duration<double>(wait).count();
    // Rounding errors of the sums must not count as a missing token.
    if (tokens + coming < 1 - 1e-6)
      return false;
    tokens -= 1;
    return true;
  }
};

struct BenchInstance {
  InstanceId id;
  AccountLimiter limiter;
  uint64_t sent = 0;
  /** Buckets of the even split, one for each client account. */
  std::vector<ReferenceBucket> split;
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
    const TimePoint end = start_ + case_.warm_up + case_.measured;
    // Requests offered in the end are decided within the wait.
    while (!events_.empty() &&
           events_.begin()->first < end + 2 * kAdmissionWait)
      RunNextEvent();
    return Summary();
  }

 private:
  void At(TimePoint time, std::function<void()> event) {
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
    return case_.one_dead && i + 1 == case_.instances;
  }

  bool Measuring() const {
    return now_ >= start_ + case_.warm_up &&
           now_ < start_ + case_.warm_up + case_.measured;
  }

  void StartInstances() {
    const VersionPtr version = VersionOf(case_);
    instances_.resize(case_.instances);
    for (size_t i = 0; i < instances_.size(); ++i) {
      BenchInstance& instance = instances_[i];
      instance.id = InstanceId("i" + std::to_string(i));
      index_[instance.id] = i;
      instance.limiter.next_lease_name = (i + 1) << 32;
      AdoptVersion(instance.limiter, *version, AddressOf(i), now_);
      ConfirmVersion(instance.limiter, 1, kShareOverlap, now_);
      for (const BenchAccount& account : case_.accounts) {
        const double n = static_cast<double>(case_.instances);
        // A split burst below one would admit nothing at all.
        const double burst =
            std::max(1.0, static_cast<double>(account.burst) / n);
        instance.split.push_back(
            {static_cast<double>(account.rate_per_s) / n, burst, burst, now_});
      }
      if (IsDead(i))
        continue;
      At(now_ + Uniform(kTickInterval), [this, i] { TickInstance(i); });
      At(now_ + Uniform(kHeartbeatInterval), [this, i] { Heartbeats(i); });
    }
  }

  void StartAccounts() {
    for (size_t a = 0; a < case_.accounts.size(); ++a) {
      const BenchAccount& account = case_.accounts[a];
      const auto rate = static_cast<double>(account.rate_per_s);
      const auto burst = static_cast<double>(account.burst);
      perfect_.push_back({rate, burst, burst, now_});
      bound_.push_back({rate, burst, burst, now_});
      result_.accounts.emplace_back();
      ids_.emplace_back(account.name);
      // Shares begin to mint after the first 1.1 s.
      At(now_ + std::chrono::seconds(2), [this, a] { Arrive(a); });
    }
  }

  Duration Uniform(Duration limit) {
    return Duration(
        static_cast<int64_t>(random_() % static_cast<uint64_t>(limit.count())));
  }

  double Fraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  size_t ChooseInstance() {
    const size_t live = case_.instances - (case_.one_dead ? 1 : 0);
    if (Fraction() < case_.on_one_instance) {
      return case_.shift_interval == Duration::max()
                 ? 0
                 : static_cast<size_t>((now_ - start_) / case_.shift_interval) %
                       live;
    }
    return random_() % live;
  }

  void Arrive(size_t a) {
    const BenchAccount& account = case_.accounts[a];
    const double rate = account.load * static_cast<double>(account.rate_per_s);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    At(now_ + Duration(static_cast<int64_t>(gap * 1e9)),
       [this, a] { Arrive(a); });
    Offer(a, ChooseInstance());
  }

  void Offer(size_t a, size_t i) {
    const bool perfect = perfect_[a].Take(now_, Duration::zero());
    const bool split = instances_[i].split[a].Take(now_, kAdmissionWait);
    const bool counts = Measuring();
    if (counts) {
      AccountOutcome& outcome = result_.accounts[a];
      ++outcome.offered;
      outcome.perfect_admitted += perfect ? 1 : 0;
      outcome.split_admitted += split ? 1 : 0;
      outcome.split_wrongly_refused += perfect && !split ? 1 : 0;
    }
    const TimePoint offered_at = now_;
    const auto decided = [=](std::optional<ErrorKind> error) {
      Decided(a, counts, perfect, offered_at, !error);
    };
    AccountActions actions;
    const AdmissionDecision decision =
        Admit(instances_[i].limiter, ids_[a], now_,
              now_ + std::chrono::seconds(10), decided, actions);
    if (decision.state != AdmissionDecision::State::kWaiting)
      Decided(a, counts, perfect, offered_at,
              decision.state == AdmissionDecision::State::kAdmitted);
    RunActions(i, actions);
  }

  void Decided(size_t a,
               bool counts,
               bool perfect,
               TimePoint offered_at,
               bool admitted) {
    AccountOutcome& outcome = result_.accounts[a];
    // Over is checked in all windows, also those of the start.
    if (admitted) {
      bound_[a].AdvanceTo(now_);
      bound_[a].tokens -= 1;
      if (bound_[a].tokens < -1e-6)
        ++outcome.over;
    }
    if (!counts)
      return;
    outcome.admitted += admitted ? 1 : 0;
    outcome.wrongly_refused += perfect && !admitted ? 1 : 0;
    if (admitted)
      waits_.push_back(now_ - offered_at);
  }

  void TickInstance(size_t i) {
    At(now_ + kTickInterval, [this, i] { TickInstance(i); });
    AccountActions actions;
    Tick(instances_[i].limiter, now_, actions);
    RunActions(i, actions);
  }

  void Heartbeats(size_t i) {
    At(now_ + kHeartbeatInterval, [this, i] { Heartbeats(i); });
    Heartbeat heartbeat;
    heartbeat.state = InstanceState::kServing;
    heartbeat.spare = SpareShares(instances_[i].limiter, now_);
    // Sent in any case; only lease messages are counted.
    for (size_t to = 0; to < instances_.size(); ++to) {
      if (to != i)
        Post(i, to, heartbeat);
    }
  }

  void Post(size_t from, size_t to, const PeerMessage& message) {
    if (IsDead(to))
      return;
    At(now_ + case_.message_delay, [this, from, to, message] {
      AccountActions actions;
      HandleMessage(instances_[to].limiter, instances_[from].id, message, now_,
                    actions);
      RunActions(to, actions);
    });
  }

  void RunActions(size_t i, const AccountActions& actions) {
    for (const OutgoingMessage& outgoing : actions.messages) {
      if (Measuring())
        ++instances_[i].sent;
      Post(i, index_.at(outgoing.to), outgoing.message);
    }
    for (const auto& callback : actions.callbacks)
      callback();
  }

  LimitsResult Summary() {
    const double seconds =
        std::chrono::duration<double>(case_.measured).count();
    uint64_t total = 0;
    uint64_t most = 0;
    for (const BenchInstance& instance : instances_) {
      total += instance.sent;
      most = std::max(most, instance.sent);
    }
    result_.messages_per_s_mean = static_cast<double>(total) / seconds /
                                  static_cast<double>(instances_.size());
    result_.messages_per_s_most = static_cast<double>(most) / seconds;
    std::sort(waits_.begin(), waits_.end());
    if (!waits_.empty()) {
      result_.wait_p50 = waits_[waits_.size() / 2];
      result_.wait_p99 = waits_[waits_.size() * 99 / 100];
      const auto first_wait =
          std::upper_bound(waits_.begin(), waits_.end(), Duration::zero());
      result_.waited_part = static_cast<double>(waits_.end() - first_wait) /
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
  std::map<InstanceId, size_t> index_;
  std::vector<ClientAccountId> ids_;
  std::vector<ReferenceBucket> perfect_;
  std::vector<ReferenceBucket> bound_;
  std::vector<Duration> waits_;
  LimitsResult result_;
};

}  // namespace

LimitsResult MeasureLimits(const LimitsCase& limits_case) {
  return LimitsFleet(limits_case).Run();
}

}  // namespace mangodoor
