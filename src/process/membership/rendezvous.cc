#include "process/membership/rendezvous.h"

#include <utility>

namespace mangodoor {
namespace {

// FNV-1a. std::hash can differ between builds, but all instances must agree on
// scores and ranks.
constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

// Terminates each name, so that "ab", "c" and "a", "bc" have different hashes.
constexpr uint64_t kNameEnd = 0xff;

uint64_t AddByte(uint64_t hash, uint64_t byte) {
  return (hash ^ byte) * kFnvPrime;
}

uint64_t AddName(uint64_t hash, std::string_view text) {
  for (const char c : text)
    hash = AddByte(hash, static_cast<unsigned char>(c));
  return AddByte(hash, kNameEnd);
}

// Finalizer of SplitMix64. With FNV-1a alone, similar strings have similar high
// bits, so that one candidate would win for many keys.
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// The server's hash is computed once for all addresses, since at the target
// size a version has a million pairs of backend server and address.
uint64_t AddressScore(uint64_t server_hash, const Endpoint& address) {
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
  const std::pair<uint64_t, Endpoint> own_key{AddressScore(server_hash, own),
                                              own};
  int rank = 0;
  bool listed = false;
  for (const Endpoint& address : addresses) {
    if (address == own)
      listed = true;
    else if (own_key <
             std::make_pair(AddressScore(server_hash, address), address))
      ++rank;
  }
  return listed ? std::optional<int>(rank) : std::nullopt;
}

int RankShare(int total, int rank, int count) {
  return total > rank ? (total - 1 - rank) / count + 1 : 0;
}

}  // namespace mangodoor
