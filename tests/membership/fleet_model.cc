#include "membership/fleet_model.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 5;
constexpr Duration kListLag = seconds(2);
constexpr Duration kReadLatency = milliseconds(5);

VersionPtr MakeModelVersion(uint64_t version, const std::string& digest) {
  Document document;
  document.version = version;
  return MakeVersion(document, digest, "");
}

std::string DigestOf(uint64_t version) {
  return "digest-" + std::to_string(version);
}

// Differs for each version, as the digest is one of the whole text, which
// states the version.
std::string ConflictingDigestOf(uint64_t version) {
  return "conflict-" + std::to_string(version);
}

// A relayed read counts only from a peer with the same version and digest. It
// counts later too, if the instance then takes the document that the peer held.
void RecordRelayedReads(ModelInstance& instance) {
  const VersionPtr held = VersionInForce(instance.versions);
  if (!held)
    return;
  for (const auto& [peer, relayed] : instance.relayed_reads) {
    if (relayed.version == held->document.version &&
        relayed.digest == held->digest)
      instance.read_at = std::max(instance.read_at, relayed.read_at);
  }
}

}  // namespace

FleetModel::FleetModel(unsigned seed, PropagationOptions options)
    : options_(options), random_(seed) {
  instances_.resize(kSlots);
  for (int slot = 0; slot < kSlots; ++slot)
    StartInstance(slot);
  published_lists_.front().first = TimePoint{};
}

void FleetModel::StartInstance(int slot) {
  auto instance = std::make_unique<ModelInstance>();
  instance->self.id = InstanceId("s" + std::to_string(slot) + "-" +
                                 std::to_string(instances_started_++));
  instance->self.data_centre = DataCentreId(slot < 3 ? "dc-1" : "dc-2");
  instance->membership.self = instance->self;
  instance->versions.options = options_;
  instance->ticked_at = clock_.Now();
  instance->service = ServiceMode::kOk;
  // The service can give a new instance an old document.
  if (published_version_ > 1 && Random() < 0.5) {
    instance->service = ServiceMode::kStale;
    instance->stale_version = published_version_ - 1;
  }
  instances_[slot] = std::move(instance);
  PublishList();
}

void FleetModel::PublishList() {
  InstanceList list;
  list.revision = published_lists_.size() + 1;
  for (const auto& instance : instances_) {
    if (instance)
      list.instances.push_back(instance->self);
  }
  published_lists_.emplace_back(clock_.Now(), list);
}

void FleetModel::Apply(const Step& step) {
  const int slot = step.slot % kSlots;
  ModelInstance& instance = *instances_[slot];
  switch (step.kind) {
    case Step::Kind::kAdvance:
      return Advance(milliseconds(step.duration_ms));
    case Step::Kind::kPublish:
      ++published_version_;
      return;
    case Step::Kind::kSetService:
      instance.service = static_cast<ServiceMode>(step.choice % 4);
      instance.stale_version = published_version_;
      return;
    case Step::Kind::kPartition:
      partition_ = static_cast<unsigned>(step.choice);
      return;
    case Step::Kind::kHeal:
      partition_ = 0;
      return;
    case Step::Kind::kPause:
      instance.paused_until = clock_.Now() + milliseconds(step.duration_ms);
      return;
    case Step::Kind::kReplace:
      return StartInstance(slot);
    case Step::Kind::kSetNetwork:
      network_fault_level_ = step.choice % 4;
      return;
  }
}

void FleetModel::EndFaults() {
  partition_ = 0;
  network_fault_level_ = 0;
  ++published_version_;
  for (const auto& instance : instances_) {
    instance->paused_until = TimePoint{};
    instance->service = ServiceMode::kDown;
  }
  instances_[random_() % kSlots]->service = ServiceMode::kOk;
}

void FleetModel::Advance(Duration duration) {
  const TimePoint end = clock_.Now() + duration;
  while (clock_.Now() < end && violation_.empty()) {
    clock_.Advance(milliseconds(25));
    Tick();
  }
}

void FleetModel::Tick() {
  Deliver();
  FinishReads();
  for (const auto& instance : instances_) {
    if (!IsPaused(*instance))
      TickInstance(*instance);
  }
}

void FleetModel::TickInstance(ModelInstance& instance) {
  const TimePoint now = clock_.Now();
  // A request can arrive before the first tick after a pause.
  CheckInstance(instance);
  if (now - instance.ticked_at > kPauseThreshold && options_.fence_when_stale &&
      MayServeKeyedRequests(instance.versions, now))
    RecordViolation(instance, "serves keyed requests right after a pause");
  instance.ticked_at = now;
  const PropagationActions actions =
      TickPropagation(instance.versions, instance.membership,
                      {now, Connected(instance), {}, {}, Random()});
  if (actions.entered_service)
    CheckJoin(instance);
  if (actions.start_poll)
    StartRead(instance, ReadKind::kPoll, actions.known_version);
  if (actions.start_read)
    StartRead(instance, ReadKind::kRead, actions.known_version);
  if (actions.read_list) {
    FinishListRead(instance.membership);
    for (const auto& [since, list] : published_lists_) {
      if (since + kListLag <= now)
        AdoptList(instance.membership, list);
    }
  }
  SendAll(instance, actions.messages);
  CheckInstance(instance);
}

void FleetModel::SendAll(ModelInstance& from,
                         const std::vector<OutgoingMessage>& out) {
  // Indexed by network_fault_level_.
  constexpr double kLossProbability[] = {0, 0.05, 0.3, 0.1};
  constexpr double kDuplicationProbability[] = {0, 0.05, 0.1, 0.3};
  constexpr double kDelayProbability[] = {0, 0.1, 0.2, 0.5};
  for (const OutgoingMessage& outgoing : out) {
    InFlightMessage in_flight{
        from.self.id,
        outgoing.to,
        outgoing.message,
        clock_.Now(),
        clock_.Now() + milliseconds(1),
        from.read_at,
        OwnState(from.membership) != InstanceState::kJoining};
    const int copies =
        Random() < kDuplicationProbability[network_fault_level_] ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Random() < kLossProbability[network_fault_level_])
        continue;
      if (Random() < kDelayProbability[network_fault_level_])
        in_flight.due += milliseconds(static_cast<int>(Random() * 6000));
      in_flight_.push_back(in_flight);
    }
  }
}

void FleetModel::Deliver() {
  std::vector<InFlightMessage> later;
  std::vector<InFlightMessage> arriving;
  for (InFlightMessage& in_flight : in_flight_) {
    ModelInstance* to = Find(in_flight.to);
    if (!to)
      continue;
    if (IsCut(in_flight.from, in_flight.to)) {
      // Some of the messages that a partition delays arrive after it.
      if (Random() < 0.9)
        later.push_back(std::move(in_flight));
    } else {
      const bool waits = in_flight.due > clock_.Now() || IsPaused(*to);
      (waits ? later : arriving).push_back(std::move(in_flight));
    }
  }
  in_flight_ = std::move(later);
  if (network_fault_level_ > 0)
    std::shuffle(arriving.begin(), arriving.end(), random_);
  for (const InFlightMessage& in_flight : arriving) {
    if (ModelInstance* to = Find(in_flight.to))
      Receive(*to, in_flight);
  }
}

void FleetModel::Receive(ModelInstance& to, const InFlightMessage& in_flight) {
  const TimePoint now = clock_.Now();
  if (const auto* heartbeat = std::get_if<Heartbeat>(&in_flight.message)) {
    TimePoint& heard = to.heard_sent_at[in_flight.from];
    heard = std::max(heard, in_flight.sent_at);
    if (in_flight.sender_serving) {
      TimePoint& serving = to.heard_serving_at[in_flight.from];
      serving = std::max(serving, in_flight.sent_at);
    }
    RelayedRead& relayed = to.relayed_reads[in_flight.from];
    if (in_flight.sent_at >= relayed.sent_at)
      relayed = {in_flight.sent_at, in_flight.sender_read_at,
                 heartbeat->version, heartbeat->digest};
    to.half_fleet_heard_at =
        std::max(to.half_fleet_heard_at, HalfFleetHeardAt(to));
  }
  if (const auto* document = std::get_if<DocumentText>(&in_flight.message)) {
    AcceptPeerDocument(to.versions, in_flight.from,
                       MakeModelVersion(document->version, document->digest),
                       clock_.WallNow());
  } else {
    SendAll(to, HandlePropagationMessage(to.versions, to.membership,
                                         in_flight.from, in_flight.message, now)
                    .messages);
  }
  CheckInstance(to);
}

void FleetModel::StartRead(ModelInstance& instance,
                           ReadKind kind,
                           uint64_t known) {
  FinishedRead read;
  read.kind = kind;
  read.started = clock_.Now();
  read.known_version = known;
  const Duration wait =
      kind == ReadKind::kPoll ? Duration(kLongPollWait) : Duration();
  pending_reads_.push_back(
      {instance.self.id, read, clock_.Now() + kReadLatency + wait});
}

void FleetModel::FinishReads() {
  std::vector<PendingRead> waiting;
  std::vector<PendingRead> ended;
  for (PendingRead& pending_read : pending_reads_) {
    ModelInstance* reader = Find(pending_read.reader);
    if (!reader)
      continue;
    const VersionPtr served = ServedVersion(*reader);
    const bool changed =
        !served || served->document.version != pending_read.read.known_version;
    const bool waits =
        IsPaused(*reader) ||
        (clock_.Now() < pending_read.due &&
         !(changed && pending_read.read.kind == ReadKind::kPoll));
    (waits ? waiting : ended).push_back(pending_read);
  }
  pending_reads_ = std::move(waiting);
  for (const PendingRead& pending_read : ended)
    FinishRead(*Find(pending_read.reader), pending_read.read);
}

void FleetModel::FinishRead(ModelInstance& instance, FinishedRead read) {
  const VersionPtr served = ServedVersion(instance);
  read.answered = served != nullptr;
  if (served) {
    read.service_version = served->document.version;
    read.service_digest = served->digest;
    read.not_modified =
        read.known_version == read.service_version && read.known_version > 0;
    if (!read.not_modified)
      AdoptVersionIfNewer(instance.versions, served, clock_.WallNow());
    const VersionPtr held = VersionInForce(instance.versions);
    // A service with an older version than the instance, or another document of
    // the same version, confirms nothing. A response without a document states
    // only the version.
    if (read.service_version == held->document.version &&
        (read.not_modified || read.service_digest == held->digest))
      instance.read_at = clock_.Now();
  }
  FinishDocumentRead(instance.versions, instance.membership, read, clock_.Now(),
                     Random());
  CheckInstance(instance);
}

VersionPtr FleetModel::ServedVersion(const ModelInstance& instance) const {
  switch (instance.service) {
    case ServiceMode::kOk:
      return MakeModelVersion(published_version_, DigestOf(published_version_));
    case ServiceMode::kDown:
      return nullptr;
    case ServiceMode::kStale:
      return MakeModelVersion(instance.stale_version,
                              DigestOf(instance.stale_version));
    case ServiceMode::kConflict:
      return MakeModelVersion(published_version_,
                              ConflictingDigestOf(published_version_));
  }
  return nullptr;
}

std::vector<InstanceId> FleetModel::Connected(
    const ModelInstance& instance) const {
  std::set<InstanceId> peers;
  const auto lists = [](const ModelInstance& a, const InstanceId& b) {
    const auto& listed = a.membership.list.instances;
    return std::any_of(listed.begin(), listed.end(),
                       [&](const Instance& i) { return i.id == b; });
  };
  for (const auto& other : instances_) {
    if (other.get() != &instance &&
        (lists(instance, other->self.id) || lists(*other, instance.self.id)))
      peers.insert(other->self.id);
  }
  return {peers.begin(), peers.end()};
}

bool FleetModel::IsCut(const InstanceId& a, const InstanceId& b) const {
  const auto side = [&](const InstanceId& id) {
    return (partition_ >> (id.value()[1] - '0')) & 1;
  };
  return side(a) != side(b);
}

bool FleetModel::IsPaused(const ModelInstance& instance) const {
  return clock_.Now() < instance.paused_until;
}

ModelInstance* FleetModel::Find(const InstanceId& id) {
  for (const auto& instance : instances_) {
    if (instance->self.id == id)
      return instance.get();
  }
  return nullptr;
}

// Computed from the actual send times and the list that the instance holds.
TimePoint FleetModel::HalfFleetHeardAt(const ModelInstance& instance) const {
  const auto& listed = instance.membership.list.instances;
  if (listed.empty())
    return TimePoint{};
  std::vector<TimePoint> heard{clock_.Now()};
  size_t fleet_size = 1;
  for (const Instance& other : listed) {
    if (other.id == instance.self.id)
      continue;
    ++fleet_size;
    const auto found = instance.heard_sent_at.find(other.id);
    heard.push_back(found == instance.heard_sent_at.end() ? TimePoint{}
                                                          : found->second);
  }
  std::sort(heard.rbegin(), heard.rend());
  return heard[(fleet_size + 1) / 2 - 1];
}

void FleetModel::CheckInstance(ModelInstance& instance) {
  const TimePoint now = clock_.Now();
  RecordRelayedReads(instance);
  instance.half_fleet_heard_at =
      std::max(instance.half_fleet_heard_at, HalfFleetHeardAt(instance));
  const VersionPtr held = VersionInForce(instance.versions);
  if (!held)
    return;
  if (held->document.version < instance.seen_version)
    RecordViolation(instance, "goes back a version");
  if (held->document.version == instance.seen_version &&
      held->digest != instance.seen_digest)
    RecordViolation(instance, "replaces a version by one with another digest");
  instance.seen_version = held->document.version;
  instance.seen_digest = held->digest;
  if (MayServeKeyedRequests(instance.versions, now) &&
      now - std::max(instance.read_at, instance.half_fleet_heard_at) >
          seconds(3))
    RecordViolation(
        instance,
        "serves keyed requests without read or half of the fleet for 3 s");
}

void FleetModel::CheckJoin(const ModelInstance& instance) {
  const TimePoint now = clock_.Now();
  bool serving_peer = false;
  for (const auto& [peer, sent_at] : instance.heard_serving_at)
    serving_peer = serving_peer || now - sent_at <= kReachableFor;
  const bool half_fleet_heard =
      now - HalfFleetHeardAt(instance) <= kReachableFor;
  if (!serving_peer && !half_fleet_heard)
    RecordViolation(instance,
                    "goes into service with only a copy from the service");
}

void FleetModel::CheckSettled() {
  for (const auto& instance : instances_) {
    const VersionPtr held = VersionInForce(instance->versions);
    if (!held || held->document.version != published_version_)
      RecordViolation(*instance, "has not reached the newest version");
    if (OwnState(instance->membership) != InstanceState::kServing)
      RecordViolation(*instance, "is not in service");
    if (!MayServeKeyedRequests(instance->versions, clock_.Now()))
      RecordViolation(*instance, "is fenced");
  }
}

void FleetModel::RecordViolation(const ModelInstance& instance,
                                 const std::string& what) {
  if (violation_.empty())
    violation_ = instance.self.id.value() + " " + what;
}

double FleetModel::Random() {
  return std::uniform_real_distribution<double>()(random_);
}

}  // namespace mangodoor
