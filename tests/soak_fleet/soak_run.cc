#include "soak_fleet/soak_run.h"

#include <signal.h>

#include <algorithm>

#include "fleet/harness/test_fleet.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kStart(10);
// The users' bounds.
constexpr seconds kRecovery(15);
constexpr seconds kGrace(6);

constexpr milliseconds kThinkTime(20);
constexpr milliseconds kAskSpacing(200);
constexpr milliseconds kCallTimeout(3000);
constexpr seconds kKeepAddresses(2);
constexpr milliseconds kTick(20);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

PlatformPlan PlanFor(const SoakSize& size) {
  PlatformPlan plan;
  plan.instances = size.instances;
  plan.zones = size.zones;
  plan.servers_per_zone = size.servers_per_zone;
  plan.relays = true;
  return plan;
}

std::map<std::string, std::string> Fields(const std::string& id) {
  return {{"Host", PlatformFleet::kHost},
          {"X-Request-Id", id},
          {"X-Request-Deadline-Ms", "2000"},
          {"Authorization", std::string("Token ") + PlatformFleet::kKey}};
}

std::string VersionPrefix(uint64_t version) {
  return "/v" + std::to_string(version) + "/";
}

}  // namespace

SoakRun::SoakRun(uint64_t seed, const SoakSize& size)
    : size_(size),
      plan_(PlanSoak(seed, size)),
      fleet_(PlanFor(size)),
      lifetimes_(static_cast<size_t>(size.instances)) {}

SoakRun::~SoakRun() {
  StopThreads();
}

std::vector<std::string> SoakRun::Play() {
  SeenCall ready;
  ready.id = "ready";
  Record(ready);
  if (!fleet_.WaitUntilReady(kStart))
    return {"the fleet did not start"};
  StartThreads();
  PlayFaults();
  EndAll();
  if (!Recovers())
    broken_.emplace_back("the fleet did not recover");
  StopThreads();
  for (int i = 0; i < fleet_.servers(); ++i)
    CollectRuns(i);
  OrderedLock lock(mutex_);
  for (const std::string& broken : BrokenPromises(record_))
    broken_.push_back(broken);
  return broken_;
}

int SoakRun::answered() const {
  OrderedLock lock(mutex_);
  return static_cast<int>(
      std::count_if(record_.calls.begin(), record_.calls.end(),
                    [](const SeenCall& call) { return call.status == 200; }));
}

std::string SoakRun::summary() const {
  std::map<int, int> by_status;
  {
    OrderedLock lock(mutex_);
    for (const SeenCall& call : record_.calls)
      ++by_status[call.status];
  }
  std::string text = std::to_string(plan_.size()) + " faults; calls by status:";
  for (const auto& [status, count] : by_status)
    text += " " + std::to_string(status) + "=" + std::to_string(count);
  return text;
}

void SoakRun::StartThreads() {
  PublishVersion();
  for (int i = 0; i < size_.callers; ++i)
    threads_.emplace_back([this, i] { CallLoop(i); });
  for (int i = 0; i < size_.instances; ++i)
    threads_.emplace_back([this, i] { AskLoop(i); });
}

void SoakRun::StopThreads() {
  stop_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

void SoakRun::Record(const SeenCall& call) {
  OrderedLock lock(mutex_);
  record_.calls.push_back(call);
}

// Callers keep their connections, and the answer of the directory.
void SoakRun::CallLoop(int caller) {
  std::vector<Endpoint> addresses;
  std::map<Endpoint, std::unique_ptr<HttpConnection>> connections;
  TimePoint asked{};
  for (int number = 0; !stop_; ++number) {
    std::this_thread::sleep_for(kThinkTime);
    if (addresses.empty() || Now() - asked > kKeepAddresses) {
      const auto answer = fleet_.Lookup((caller + number) % size_.instances);
      if (!answer.empty())
        addresses = answer;
      asked = Now();
    }
    if (addresses.empty())
      continue;
    const Endpoint address =
        addresses[static_cast<size_t>(number) % addresses.size()];
    auto& connection = connections[address];
    if (!connection)
      connection = std::make_unique<HttpConnection>(fleet_.RouteTo(address));
    SeenCall call;
    call.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
    call.idempotent = number % 2 == 0;
    call.path = (call.idempotent ? "/work/" : "/order/") + call.id;
    for (int i = 0; i < size_.instances; ++i) {
      if (fleet_.caller(i) == address)
        call.instance = i;
    }
    call.sent = Now();
    const HttpReply reply = connection->Call(
        {call.idempotent ? "GET" : "POST", call.path, Fields(call.id), ""},
        kCallTimeout);
    call.ended = Now();
    call.status = reply.status;
    call.body = reply.body;
    if (reply.status == 0 || reply.closes)
      connection.reset();
    if (reply.status == 0)
      addresses.clear();
    Record(call);
  }
}

void SoakRun::AskLoop(int instance) {
  const auto index = static_cast<size_t>(instance);
  for (int number = 0; !stop_; ++number) {
    std::this_thread::sleep_for(kAskSpacing);
    SeenVersion seen;
    seen.instance = instance;
    seen.lifetime = lifetimes_[index];
    seen.version = current_version_;
    seen.asked = Now();
    SeenCall call;
    call.id = "v" + std::to_string(instance) + "-" + std::to_string(number);
    call.path = VersionPrefix(seen.version) + call.id;
    call.instance = instance;
    call.sent = seen.asked;
    const HttpReply reply =
        CallOnce(fleet_.caller(instance),
                 {"GET", call.path, Fields(call.id), ""}, kCallTimeout);
    call.ended = Now();
    call.status = reply.status;
    call.body = reply.body;
    Record(call);
    seen.answered = Now();
    seen.in_force = reply.status == 200;
    // Another answer, or none, says nothing about the version.
    if (seen.in_force || reply.status == 404) {
      OrderedLock lock(mutex_);
      record_.versions.push_back(seen);
    }
  }
}

void SoakRun::PlayFaults() {
  const TimePoint start = Now();
  auto next = plan_.begin();
  while (Now() - start < size_.length) {
    const Duration elapsed = Now() - start;
    for (; next != plan_.end() && next->at <= elapsed; ++next)
      Begin(*next);
    for (size_t i = 0; i < active_.size();) {
      const SoakFault& fault = active_[i].fault;
      if (fault.at + fault.lasts > elapsed) {
        ++i;
        continue;
      }
      const Active ended = active_[i];
      active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(i));
      Finish(ended.fault);
      OrderedLock lock(mutex_);
      for (const size_t trouble : ended.troubles)
        record_.troubles[trouble].to = Now();
    }
    WatchProcesses();
    std::this_thread::sleep_for(kTick);
  }
}

void SoakRun::EndAll() {
  for (const Active& active : std::exchange(active_, {})) {
    Finish(active.fault);
    OrderedLock lock(mutex_);
    for (const size_t trouble : active.troubles)
      record_.troubles[trouble].to = Now();
  }
  while (!stopping_.empty()) {
    WatchProcesses();
    std::this_thread::sleep_for(kTick);
  }
}

size_t SoakRun::AddTrouble(int instance) {
  OrderedLock lock(mutex_);
  record_.troubles.push_back({instance, Now(), TimePoint::max()});
  return record_.troubles.size() - 1;
}

void SoakRun::Begin(const SoakFault& fault) {
  active_.push_back({fault, {}});
  switch (fault.kind) {
    case SoakFaultKind::kNewVersion:
      return PublishVersion();
    case SoakFaultKind::kStoreMode:
    case SoakFaultKind::kStoreCompact:
      active_.back().troubles = {AddTrouble(Trouble::kAll)};
      return BeginOnStore(fault);
    case SoakFaultKind::kEvacuate: {
      fleet_.Evacuate(fault.target, true);
      OrderedLock lock(mutex_);
      record_.evacuations.push_back({fault.target, Now()});
      return;
    }
    case SoakFaultKind::kKillAllInstances:
      active_.back().troubles = {AddTrouble(Trouble::kAll)};
      for (int i = 0; i < size_.instances; ++i)
        fleet_.KillInstance(i);
      stopping_.clear();
      return;
    case SoakFaultKind::kKillInstance:
    case SoakFaultKind::kPauseInstance:
    case SoakFaultKind::kStopInstance:
    case SoakFaultKind::kCallerLink:
    case SoakFaultKind::kCallerReset:
    case SoakFaultKind::kStoreLink:
      active_.back().troubles = {AddTrouble(fault.target)};
      return BeginOnInstance(fault);
    default:
      return BeginOnServer(fault);
  }
}

void SoakRun::BeginOnInstance(const SoakFault& fault) {
  const int target = fault.target;
  switch (fault.kind) {
    case SoakFaultKind::kKillInstance:
      stopping_.erase(target);
      return fleet_.KillInstance(target);
    case SoakFaultKind::kPauseInstance:
      if (fleet_.HasInstance(target))
        fleet_.instance(target).Signal(SIGSTOP);
      return;
    case SoakFaultKind::kStopInstance:
      if (fleet_.HasInstance(target) && stopping_.count(target) == 0) {
        fleet_.instance(target).Signal(SIGTERM);
        stopping_[target] = Now();
      }
      return;
    case SoakFaultKind::kCallerLink:
      return fleet_.caller_relay(target).SetFault(fault.link);
    case SoakFaultKind::kCallerReset:
      return fleet_.caller_relay(target).Reset();
    default:
      return fleet_.store_relay(target).SetFault(fault.link);
  }
}

void SoakRun::BeginOnServer(const SoakFault& fault) {
  const int target = fault.target;
  switch (fault.kind) {
    case SoakFaultKind::kKillServer:
      CollectRuns(target);
      return fleet_.KillServer(target);
    case SoakFaultKind::kPauseServer:
      if (fleet_.HasServer(target))
        fleet_.server(target).Signal(SIGSTOP);
      return;
    case SoakFaultKind::kDrainServer:
      CollectRuns(target);
      if (fleet_.HasServer(target))
        fleet_.server(target).Signal(SIGTERM);
      return;
    case SoakFaultKind::kServerLink:
      return fleet_.server_relay(target).SetFault(fault.link);
    default:
      return fleet_.server_relay(target).Reset();
  }
}

void SoakRun::BeginOnStore(const SoakFault& fault) {
  if (fault.kind == SoakFaultKind::kStoreCompact)
    fleet_.CompactStore();
  else
    fleet_.SetStoreMode(fault.mode);
}

void SoakRun::Finish(const SoakFault& fault) {
  switch (fault.kind) {
    case SoakFaultKind::kKillInstance:
      return Restart(fault.target);
    case SoakFaultKind::kKillAllInstances:
      for (int i = 0; i < size_.instances; ++i)
        Restart(i);
      return;
    case SoakFaultKind::kPauseInstance:
      if (fleet_.HasInstance(fault.target))
        fleet_.instance(fault.target).Signal(SIGCONT);
      return;
    case SoakFaultKind::kCallerLink:
      return fleet_.caller_relay(fault.target).Heal();
    case SoakFaultKind::kStoreLink:
      return fleet_.store_relay(fault.target).Heal();
    case SoakFaultKind::kStoreMode:
      return fleet_.SetStoreMode("serves");
    case SoakFaultKind::kEvacuate: {
      {
        OrderedLock lock(mutex_);
        for (Evacuation& evacuation : record_.evacuations) {
          if (evacuation.zone == fault.target)
            evacuation.lifted = std::min(evacuation.lifted, Now());
        }
      }
      return fleet_.Evacuate(fault.target, false);
    }
    default:
      return FinishOnServer(fault);
  }
}

void SoakRun::FinishOnServer(const SoakFault& fault) {
  switch (fault.kind) {
    case SoakFaultKind::kPauseServer:
      if (fleet_.HasServer(fault.target))
        fleet_.server(fault.target).Signal(SIGCONT);
      return;
    case SoakFaultKind::kKillServer:
    case SoakFaultKind::kDrainServer:
      fleet_.KillServer(fault.target);
      return fleet_.StartServer(fault.target);
    case SoakFaultKind::kServerLink:
      return fleet_.server_relay(fault.target).Heal();
    default:
      return;
  }
}

void SoakRun::Restart(int instance) {
  if (fleet_.HasInstance(instance))
    return;
  ++lifetimes_[static_cast<size_t>(instance)];
  fleet_.StartInstance(instance);
}

void SoakRun::WatchProcesses() {
  for (int i = 0; i < size_.instances; ++i) {
    if (!fleet_.HasInstance(i))
      continue;
    if (stopping_.count(i) > 0) {
      WatchStop(i);
    } else if (fleet_.instance(i).WaitForExit(milliseconds(0))) {
      broken_.push_back("instance " + std::to_string(i) + " ended by itself");
      fleet_.KillInstance(i);
      Restart(i);
    }
  }
}

// A process that is paused while it stops may take longer.
void SoakRun::WatchStop(int instance) {
  const auto exit = fleet_.instance(instance).WaitForExit(milliseconds(0));
  const bool overdue = Now() - stopping_.at(instance) > kGrace;
  if (!exit && !overdue)
    return;
  const bool was_paused = std::any_of(
      plan_.begin(), plan_.end(), [instance](const SoakFault& fault) {
        return fault.kind == SoakFaultKind::kPauseInstance &&
               fault.target == instance;
      });
  if (!was_paused && (!exit || *exit != 0)) {
    broken_.push_back("instance " + std::to_string(instance) +
                      " did not stop in time, or not with 0");
  }
  stopping_.erase(instance);
  fleet_.KillInstance(instance);
  AddTrouble(instance);
  {
    OrderedLock lock(mutex_);
    record_.troubles.back().to = Now();
  }
  Restart(instance);
}

void SoakRun::PublishVersion() {
  const uint64_t version = fleet_.version + 1;
  fleet_.extra_prefix = VersionPrefix(version);
  {
    OrderedLock lock(mutex_);
    if (!record_.published.empty())
      record_.published.back().replaced = Now();
  }
  fleet_.Publish();
  OrderedLock lock(mutex_);
  record_.published.push_back({version, Now(), TimePoint::max()});
  current_version_ = version;
}

void SoakRun::CollectRuns(int server) {
  const auto counters = fleet_.ServerCounters(server);
  if (!counters.is_object())
    return;
  OrderedLock lock(mutex_);
  record_.keys_seen += counters["keys_seen"].get<int>();
  for (const auto& [id, count] : counters["runs"].items()) {
    record_.runs.insert(
        {id, {fleet_.zone_of_server(server), count.get<int>()}});
  }
}

bool SoakRun::Recovers() {
  return WaitFor(
      [this] {
        for (int i = 0; i < size_.instances; ++i) {
          const std::string id = "ready";
          if (!fleet_.IsReady(i) ||
              fleet_.Call(fleet_.caller(i), id).status != 200)
            return false;
        }
        return true;
      },
      kRecovery);
}

}  // namespace mangodoor
