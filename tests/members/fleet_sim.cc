#include "members/fleet_sim.h"

#include <algorithm>

namespace mangodoor {

FleetSim::FleetSim(int data_centres, int instances_each, int seeds) {
  for (int d = 0; d < data_centres; ++d) {
    for (int i = 0; i < instances_each; ++i) {
      Member member;
      member.peer_endpoint = {
          "10." + std::to_string(d) + ".0." + std::to_string(i + 1), 8000};
      member.caller_endpoint = {member.peer_endpoint.address, 8001};
      member.data_centre = DataCentreId("dc" + std::to_string(d));
      member.id = IdOfEndpoint(member.peer_endpoint);
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
}

void FleetSim::Kill(int index) {
  SimInstance& instance = instances_.at(IdOf(index));
  instance.table.reset();
  instance.wanted_links.clear();
  // The end of a process closes its connections.
  UpdateLinks();
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

bool FleetSim::Reachable(const InstanceId& a, const InstanceId& b) const {
  const auto found = instances_.find(b);
  return found != instances_.end() && found->second.table &&
         instances_.at(a).table && isolated_.count(a) == 0 &&
         isolated_.count(b) == 0;
}

void FleetSim::UpdateLinks() {
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
  for (auto& [id, instance] : instances_) {
    for (const InstanceId& peer : instance.wanted_links) {
      if (!Reachable(id, peer))
        continue;
      if (!links_.insert(std::minmax(id, peer)).second)
        continue;
      OpenLink(*instance.table, peer, now_);
      OpenLink(*instances_.at(peer).table, id, now_);
    }
  }
}

void FleetSim::Deliver() {
  std::deque<SimMessage> messages;
  messages.swap(messages_);
  for (const SimMessage& sim_message : messages) {
    if (!Reachable(sim_message.from, sim_message.to))
      continue;
    FleetTable& table = *instances_.at(sim_message.to).table;
    RecordMessageFrom(table, sim_message.from, now_);
    if (const auto* update = std::get_if<MemberUpdate>(&sim_message.message))
      HandleMemberUpdate(table, sim_message.from, *update, now_);
  }
}

void FleetSim::CountSent(SimInstance& from, const OutgoingMessage& message) {
  const auto* update = std::get_if<MemberUpdate>(&message.message);
  if (!update)
    return;
  from.states_sent += update->members.size();
  if (instances_.at(message.to).member.data_centre != from.member.data_centre)
    remote_states_sent_ += update->members.size();
}

void FleetSim::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kFleetTick;
    for (auto& [id, instance] : instances_) {
      if (!instance.table)
        continue;
      const FleetActions actions = TickFleet(*instance.table, now_);
      for (const InstanceId& gone : actions.gone)
        false_removals_ += Reachable(id, gone) ? 1 : 0;
      instance.wanted_links.clear();
      for (const Instance& link : actions.links)
        instance.wanted_links.insert(link.id);
      for (const OutgoingMessage& message : actions.messages) {
        CountSent(instance, message);
        messages_.push_back({id, message.to, message.message});
      }
      for (const InstanceId& peer : actions.heartbeats)
        messages_.push_back({id, peer, FleetHeartbeat()});
    }
    UpdateLinks();
    Deliver();
  }
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
