#include "process/membership/rendezvous.h"

#include <utility>

namespace mangodoor {
namespace {

// FNV-1a, fixed here because std::hash may differ between builds, and all
// instances must agree on scores and ranks.
constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

// Ends a name, so that "ab" then "c" differs from "a" then "bc".
constexpr uint64_t kNameEnd = 0xff;

uint64_t AddByte(uint64_t hash, uint64_t byte) {
  return (hash ^ byte) * kFnvPrime;
}

uint64_t AddName(uint64_t hash, std::string_view text) {
  for (const char c : text)
    hash = AddByte(hash, static_cast<unsigned char>(c));
  return AddByte(hash, kNameEnd);
}

// Final mix of SplitMix64. FNV-1a alone leaves the high bits of similar
// strings similar, which would give one candidate many first ranks.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// The hash of the server is computed once for all addresses: at the target
// size a version has a million pairs of server and address.
uint64_t Weight(uint64_t server_hash, const Endpoint& address) {
  return Mix(AddByte(AddName(server_hash, address.address), address.port));
}

}  // namespace

uint64_t RendezvousScore(std::string_view key, std::string_view candidate) {
  return Mix(AddName(Mix(AddName(kFnvOffset, key)), candidate));
}

std::optional<int> RendezvousRank(const BackendServerId& server,
                                  const std::vector<Endpoint>& addresses,
                                  const Endpoint& own) {
  const uint64_t server_hash = AddName(kFnvOffset, server.value());
  const std::pair<uint64_t, Endpoint> own_key{Weight(server_hash, own), own};
  int rank = 0;
  bool listed = false;
  for (const Endpoint& address : addresses) {
    if (address == own)
      listed = true;
    else if (own_key < std::make_pair(Weight(server_hash, address), address))
      ++rank;
  }
  return listed ? std::optional<int>(rank) : std::nullopt;
}

int RankShare(int total, int rank, int count) {
  return total > rank ? (total - 1 - rank) / count + 1 : 0;
}

}  // namespace mangodoor
