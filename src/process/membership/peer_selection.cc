#include "process/membership/peer_selection.h"

#include <algorithm>
#include <map>
#include <set>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// With three on each side, the ring stays connected if up to two consecutive
// instances fail.
constexpr size_t kNeighboursEachSide = 3;
constexpr size_t kLinksPerDataCentre = 2;

using Ring = std::vector<Instance>;
using Rings = std::map<DataCentreId, Ring>;

// Ordered by hash, since instances with similar names are likely to share a
// rack and to fail together.
Rings MakeRings(const std::vector<Instance>& instances) {
  Rings rings;
  for (const Instance& instance : instances)
    rings[instance.data_centre].push_back(instance);
  for (auto& [data_centre, ring] : rings) {
    std::sort(ring.begin(), ring.end(),
              [](const Instance& a, const Instance& b) {
                const auto score_a = RendezvousScore("ring", a.id.value());
                const auto score_b = RendezvousScore("ring", b.id.value());
                return score_a != score_b ? score_a < score_b : a.id < b.id;
              });
  }
  return rings;
}

size_t IndexOf(const Ring& ring, const InstanceId& id) {
  const auto found = std::find_if(
      ring.begin(), ring.end(), [&](const Instance& i) { return i.id == id; });
  return static_cast<size_t>(found - ring.begin());
}

std::set<size_t> RingNeighbours(size_t size, size_t index) {
  std::set<size_t> neighbours;
  for (size_t step = 1; step <= kNeighboursEachSide; ++step) {
    neighbours.insert((index + step) % size);
    neighbours.insert((index + size - step % size) % size);
  }
  neighbours.erase(index);
  return neighbours;
}

// Indexes in the smaller ring that the instance at `index` of the larger ring
// links to.
std::set<size_t> LinksToSmaller(size_t larger_size,
                                size_t smaller_size,
                                size_t index) {
  std::set<size_t> links;
  const size_t first = index * smaller_size / larger_size;
  for (size_t i = 0; i < std::min(kLinksPerDataCentre, smaller_size); ++i)
    links.insert((first + i) % smaller_size);
  return links;
}

// Each instance of the larger data centre gets two links to the smaller one,
// whose instances compute the same links from their end.
std::set<size_t> LinksToDataCentre(const Ring& own,
                                   const Ring& other,
                                   size_t index) {
  const bool own_is_larger =
      own.size() != other.size()
          ? own.size() > other.size()
          : own.front().data_centre < other.front().data_centre;
  if (own_is_larger)
    return LinksToSmaller(own.size(), other.size(), index);
  std::set<size_t> links;
  for (size_t i = 0; i < other.size(); ++i) {
    if (LinksToSmaller(other.size(), own.size(), i).count(index) > 0)
      links.insert(i);
  }
  return links;
}

std::vector<Instance> WithSelf(const Instance& self,
                               const std::vector<Instance>& listed) {
  std::vector<Instance> all{self};
  for (const Instance& instance : listed) {
    if (instance.id != self.id)
      all.push_back(instance);
  }
  return all;
}

}  // namespace

std::vector<Instance> SelectPeers(const Instance& self,
                                  const std::vector<Instance>& listed) {
  const std::vector<Instance> all = WithSelf(self, listed);
  if (all.size() <= kFullMeshLimit)
    return {all.begin() + 1, all.end()};
  const Rings rings = MakeRings(all);
  const Ring& own = rings.at(self.data_centre);
  const size_t index = IndexOf(own, self.id);
  std::vector<Instance> selected;
  for (const auto& [data_centre, ring] : rings) {
    const auto links = data_centre == self.data_centre
                           ? RingNeighbours(ring.size(), index)
                           : LinksToDataCentre(own, ring, index);
    for (const size_t link : links)
      selected.push_back(ring[link]);
  }
  return selected;
}

}  // namespace mangodoor
