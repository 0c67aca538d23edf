#include "process/membership/peer_selection.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace mangodoor {
namespace {

std::vector<Instance> MakeFleet(const std::vector<int>& sizes) {
  std::vector<Instance> fleet;
  for (size_t dc = 0; dc < sizes.size(); ++dc) {
    for (int i = 0; i < sizes[dc]; ++i) {
      Instance instance;
      instance.data_centre = DataCentreId("dc-" + std::to_string(dc));
      instance.id =
          InstanceId("i" + std::to_string(dc) + "-" + std::to_string(i));
      fleet.push_back(instance);
    }
  }
  return fleet;
}

using Links = std::map<InstanceId, std::set<InstanceId>>;

Links AllLinks(const std::vector<Instance>& fleet) {
  Links links;
  for (const Instance& self : fleet) {
    for (const Instance& peer : SelectPeers(self, fleet))
      links[self.id].insert(peer.id);
  }
  return links;
}

size_t CountReached(const Links& links, const InstanceId& from) {
  std::set<InstanceId> reached{from};
  std::vector<InstanceId> pending{from};
  while (!pending.empty()) {
    const InstanceId id = pending.back();
    pending.pop_back();
    const auto found = links.find(id);
    if (found == links.end())
      continue;
    for (const InstanceId& next : found->second) {
      if (reached.insert(next).second)
        pending.push_back(next);
    }
  }
  return reached.size();
}

// Guards against a part of a large fleet that new versions do not reach.
RC_GTEST_PROP(PeerSelectionProperty, LinksAreSymmetricAndConnected, ()) {
  const auto sizes = *rc::gen::nonEmpty(rc::gen::resize(
      20, rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40))));
  const std::vector<Instance> fleet = MakeFleet(sizes);
  const Links links = AllLinks(fleet);
  for (const auto& [id, peers] : links) {
    for (const InstanceId& peer : peers)
      RC_ASSERT(links.at(peer).count(id) == 1);
  }
  RC_ASSERT(CountReached(links, fleet.front().id) == fleet.size());
}

// Guards against a small fleet that is not fully connected.
TEST(PeerSelectionTest, SmallFleetIsFullyMeshed) {
  const std::vector<Instance> fleet = MakeFleet({10, 10, 5});
  for (const Instance& self : fleet)
    EXPECT_EQ(SelectPeers(self, fleet).size(), 24u);
}

// Guards against a number of links for each instance that grows with the fleet.
// At the target size of 18 data centres, an instance has 6 links in its own
// data centre and 2 to each other one.
TEST(PeerSelectionTest, LinksPerInstanceAreBoundedInALargeFleet) {
  const std::vector<Instance> fleet = MakeFleet(std::vector<int>(18, 22));
  for (const auto& [id, peers] : AllLinks(fleet))
    EXPECT_EQ(peers.size(), 6u + 2 * 17) << id;
}

}  // namespace
}  // namespace mangodoor
