#include "members/fleet_sim.h"

#include <algorithm>
#include <utility>

#include "process/fleet/capacity_grant.h"

namespace mangodoor {

FleetSim::FleetSim(int data_centres, int instances_each, int seeds)
    : FleetSim(
          std::vector<SimDataCentre>(static_cast<size_t>(data_centres),
                                     SimDataCentre{std::vector<int>(
                                         static_cast<size_t>(instances_each),
                                         Member().millicores)}),
          seeds) {}

FleetSim::FleetSim(const std::vector<SimDataCentre>& data_centres, int seeds) {
  for (size_t d = 0; d < data_centres.size(); ++d) {
    const std::vector<int>& millicores = data_centres[d].millicores;
    for (size_t i = 0; i < millicores.size(); ++i) {
      Member member;
      member.peer_endpoint = {
          "10." + std::to_string(d) + ".0." + std::to_string(i + 1), 8000};
      member.caller_endpoint = {member.peer_endpoint.address, 8001};
      member.data_centre = DataCentreId("dc" + std::to_string(d));
      member.id = IdOfEndpoint(member.peer_endpoint);
      member.millicores = millicores[i];
      ids_.push_back(member.id);
      instances_[member.id].member = member;
      // Each seed is in a different data centre; there are at most as many
      // seeds as data centres.
      if (i == 0 && static_cast<int>(seeds_.size()) < seeds)
        seeds_.push_back(member.peer_endpoint);
    }
  }
}

InstanceId FleetSim::IdOf(int index) const {
  return ids_.at(static_cast<size_t>(index));
}

void FleetSim::Start(int index) {
  Kill(index);
  SimInstance& instance = instances_.at(IdOf(index));
  instance.member.incarnation = next_incarnation_++;
  instance.table = std::make_unique<FleetTable>();
  instance.table->member_list = MakeMemberList(instance.member);
  instance.table->seeds = seeds_;
  instance.usage = UsageLimiter();
  instance.next_tick = now_;
  instance.requests = 0;
}

void FleetSim::Kill(int index) {
  SimInstance& instance = instances_.at(IdOf(index));
  paused_.erase(IdOf(index));
  instance.table.reset();
  instance.wanted_links.clear();
  // The end of a process closes its connections.
  UpdateLinks();
  const InstanceId id = IdOf(index);
  messages_.erase(std::remove_if(messages_.begin(), messages_.end(),
                                 [&id](const SimMessage& message) {
                                   return message.from == id ||
                                          message.to == id;
                                 }),
                  messages_.end());
}

void FleetSim::Leave(int index) {
  BeginLeaving(*instances_.at(IdOf(index)).table, now_);
}

bool FleetSim::IsRunning(int index) const {
  return instances_.at(IdOf(index)).table != nullptr;
}

void FleetSim::SetIsolated(int index, bool isolated) {
  if (isolated)
    isolated_.insert(IdOf(index));
  else
    isolated_.erase(IdOf(index));
}

void FleetSim::SetGroup(int index, int group) {
  groups_[IdOf(index)] = group;
}

void FleetSim::SetCut(int a, int b, bool cut) {
  const std::pair<InstanceId, InstanceId> path = std::minmax(IdOf(a), IdOf(b));
  if (cut)
    cuts_.insert(path);
  else
    cuts_.erase(path);
}

void FleetSim::SetPaused(int index, bool paused) {
  if (paused)
    paused_.insert(IdOf(index));
  else if (paused_.erase(IdOf(index)) > 0)
    instances_.at(IdOf(index)).next_tick = NextTick();
}

bool FleetSim::IsPaused(int index) const {
  return paused_.count(IdOf(index)) > 0;
}

void FleetSim::SetTiming(const SimTiming& timing, uint64_t seed) {
  timing_ = timing;
  random_.seed(seed);
}

Duration FleetSim::RandomUpTo(Duration max) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, max.count())(random_));
}

// Processes that started or were continued together do not tick together.
TimePoint FleetSim::NextTick() {
  return timing_.step < kFleetTick ? now_ + RandomUpTo(kFleetTick)
                                   : now_ + kFleetTick;
}

void FleetSim::SetRequestRate(int index, double requests_per_s) {
  instances_.at(IdOf(index)).requests_per_s = requests_per_s;
}

int FleetSim::GroupOf(const InstanceId& id) const {
  const auto found = groups_.find(id);
  return found == groups_.end() ? 0 : found->second;
}

bool FleetSim::Reachable(const InstanceId& a, const InstanceId& b) const {
  const auto found = instances_.find(b);
  return found != instances_.end() && found->second.table &&
         instances_.at(a).table && isolated_.count(a) == 0 &&
         isolated_.count(b) == 0 && GroupOf(a) == GroupOf(b) &&
         cuts_.count(std::minmax(a, b)) == 0;
}

void FleetSim::UpdateLinks() {
  CloseLinks();
  OpenLinks();
}

void FleetSim::CloseLinks() {
  for (auto link = links_.begin(); link != links_.end();) {
    const auto& [a, b] = *link;
    const bool wanted = instances_.at(a).wanted_links.count(b) > 0 ||
                        instances_.at(b).wanted_links.count(a) > 0;
    if (wanted && Reachable(a, b)) {
      ++link;
      continue;
    }
    for (const auto& [end, other] : {std::pair(a, b), std::pair(b, a)}) {
      if (instances_.at(end).table)
        CloseLink(*instances_.at(end).table, other);
    }
    link = links_.erase(link);
  }
}

void FleetSim::OpenLinks() {
  const auto was_connecting = std::exchange(connecting_, {});
  for (auto& [id, instance] : instances_) {
    for (const InstanceId& peer : instance.wanted_links) {
      const std::pair<InstanceId, InstanceId> link = std::minmax(id, peer);
      if (links_.count(link) > 0 || !Reachable(id, peer))
        continue;
      const auto earlier = was_connecting.find(link);
      const TimePoint since =
          earlier == was_connecting.end() ? now_ : earlier->second;
      if (now_ - since < timing_.connect_time) {
        connecting_[link] = since;
        continue;
      }
      links_.insert(link);
      OpenLink(*instance.table, peer, now_);
      OpenLink(*instances_.at(peer).table, id, now_);
    }
  }
}

void FleetSim::Send(const InstanceId& from,
                    const InstanceId& to,
                    PeerMessage message) {
  TimePoint deliver_at = now_;
  if (timing_.max_message_delay > Duration::zero()) {
    TimePoint& last = last_delivery_[{from, to}];
    deliver_at =
        std::max(deliver_at + RandomUpTo(timing_.max_message_delay), last);
    last = deliver_at;
  }
  messages_.push_back({from, to, std::move(message), deliver_at});
}

void FleetSim::SendHeartbeats(const InstanceId& id,
                              SimInstance& instance,
                              const std::vector<InstanceId>& due) {
  const FleetViewPtr view = ViewFleet(*instance.table);
  const bool is_leader = view->rank == 0;
  std::vector<InstanceId> local_peers;
  std::vector<InstanceId> remote_peers;
  for (const InstanceId& peer : due)
    (view->local_peers.count(peer) > 0 ? local_peers : remote_peers)
        .push_back(peer);
  SendHeartbeat(id, instance, local_peers,
                is_leader ? UsageScope::kFleet : UsageScope::kInstance, true);
  SendHeartbeat(id, instance, remote_peers, UsageScope::kDataCentre, is_leader);
}

void FleetSim::SendHeartbeat(const InstanceId& id,
                             SimInstance& instance,
                             const std::vector<InstanceId>& to,
                             UsageScope scope,
                             bool includes_rates) {
  if (to.empty())
    return;
  FleetHeartbeat heartbeat;
  if (scope != UsageScope::kDataCentre)
    FillGrant(*instance.table, heartbeat, now_);
  if (includes_rates) {
    heartbeat.scope = scope;
    FillRequestRates(*instance.table, heartbeat, now_);
    FillUsage(instance.usage, heartbeat, now_);
  }
  for (const InstanceId& peer : to)
    Send(id, peer, heartbeat);
}

void FleetSim::Deliver() {
  std::deque<SimMessage> messages;
  messages.swap(messages_);
  for (SimMessage& sim_message : messages) {
    if (sim_message.deliver_at > now_ || paused_.count(sim_message.to) > 0)
      messages_.push_back(std::move(sim_message));
    else if (Reachable(sim_message.from, sim_message.to))
      Handle(sim_message);
  }
}

void FleetSim::Handle(const SimMessage& sim_message) {
  SimInstance& instance = instances_.at(sim_message.to);
  RecordMessageFrom(*instance.table, sim_message.from, now_);
  if (const auto* update = std::get_if<MemberUpdate>(&sim_message.message))
    HandleMemberUpdate(*instance.table, sim_message.from, *update, now_);
  else if (const auto* heartbeat =
               std::get_if<FleetHeartbeat>(&sim_message.message))
    HandleHeartbeat(instance, sim_message.from, *heartbeat);
}

// Does what FleetProcess::HandleHeartbeat does for rates and usage.
void FleetSim::HandleHeartbeat(SimInstance& instance,
                               const InstanceId& from,
                               const FleetHeartbeat& heartbeat) {
  const FleetViewPtr view = ViewFleet(*instance.table);
  RecordPeerRequestRates(*instance.table, from, heartbeat, now_);
  RecordGrant(*instance.table, from, heartbeat, now_);
  const auto sender =
      std::find_if(view->live.begin(), view->live.end(),
                   [&](const Member& member) { return member.id == from; });
  if (sender == view->live.end())
    return;
  RecordPeerUsage(instance.usage, from, sender->data_centre,
                  sender->data_centre == view->self.data_centre, heartbeat,
                  now_);
}

void FleetSim::CountSent(SimInstance& from, const OutgoingMessage& message) {
  const auto* update = std::get_if<MemberUpdate>(&message.message);
  if (!update)
    return;
  from.states_sent += update->members.size();
  if (instances_.at(message.to).member.data_centre != from.member.data_centre)
    remote_states_sent_ += update->members.size();
}

void FleetSim::Tick(const InstanceId& id, SimInstance& instance) {
  const FleetActions actions = TickFleet(*instance.table, now_);
  instance.requests += instance.requests_per_s * Seconds(kFleetTick);
  CountRequests(*instance.table, static_cast<uint64_t>(instance.requests),
                now_);
  for (const InstanceId& gone : actions.gone)
    false_removals_ += Reachable(id, gone) ? 1 : 0;
  instance.wanted_links.clear();
  for (const Instance& link : actions.links)
    instance.wanted_links.insert(link.id);
  for (const OutgoingMessage& message : actions.messages) {
    CountSent(instance, message);
    Send(id, message.to, message.message);
  }
  const FleetViewPtr view = ViewFleet(*instance.table);
  RecordInstanceCount(instance.usage.instances,
                      InstancesSharingLimits(*instance.table), now_);
  SetLeader(instance.usage, view->rank == 0, now_);
  SendHeartbeats(id, instance, actions.heartbeats);
}

void FleetSim::TickIfDue(const InstanceId& id, SimInstance& instance) {
  if (!instance.table || paused_.count(id) > 0 || now_ < instance.next_tick)
    return;
  const bool is_first_tick = !instance.table->last_tick;
  Tick(id, instance);
  instance.next_tick = is_first_tick ? NextTick() : now_ + kFleetTick;
  instance.ticked_at = now_;
}

void FleetSim::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += timing_.step;
    for (auto& [id, instance] : instances_)
      TickIfDue(id, instance);
    UpdateLinks();
    Deliver();
  }
}

bool FleetSim::HasJustTicked(int index) const {
  return instances_.at(IdOf(index)).ticked_at == now_;
}

const Member& FleetSim::MemberAt(int index) const {
  return instances_.at(IdOf(index)).member;
}

FleetTable& FleetSim::TableAt(int index) const {
  return *instances_.at(IdOf(index)).table;
}

std::set<std::string> FleetSim::LiveAt(int index) const {
  std::set<std::string> live;
  for (const Member& member :
       ViewFleet(*instances_.at(IdOf(index)).table)->live)
    live.insert(member.id.value());
  return live;
}

std::set<std::string> FleetSim::Running() const {
  std::set<std::string> running;
  for (const auto& [id, instance] : instances_) {
    if (instance.table)
      running.insert(id.value());
  }
  return running;
}

size_t FleetSim::LinksAt(int index) const {
  return instances_.at(IdOf(index)).table->links.size();
}

size_t FleetSim::StatesSentBy(int index) const {
  return instances_.at(IdOf(index)).states_sent;
}

}  // namespace mangodoor
