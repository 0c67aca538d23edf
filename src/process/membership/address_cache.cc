#include "process/membership/address_cache.h"

#include <utility>

namespace mangodoor {
namespace {

// As long as peers take to drop a dead instance from their answers.
constexpr std::chrono::seconds kAvoidTime{1};

bool IsAvoided(const AddressBook& book,
               const Endpoint& address,
               TimePoint now) {
  const auto found = book.avoid_until.find(address);
  return found != book.avoid_until.end() && now < found->second;
}

}  // namespace

bool MustAsk(const AddressBook& book, TimePoint now) {
  return book.addresses.empty() || now >= book.keep_until;
}

void TakeAnswer(AddressBook& book,
                std::vector<Endpoint> addresses,
                Duration keep,
                TimePoint now) {
  book.addresses = std::move(addresses);
  book.keep_until = now + keep;
}

void AvoidAddress(AddressBook& book, const Endpoint& address, TimePoint now) {
  book.avoid_until[address] = now + kAvoidTime;
}

std::optional<Endpoint> ChooseAddress(const AddressBook& book,
                                      size_t start,
                                      TimePoint now) {
  const size_t count = book.addresses.size();
  if (count == 0)
    return std::nullopt;
  for (size_t i = 0; i < count; ++i) {
    const Endpoint& address = book.addresses[(start + i) % count];
    if (!IsAvoided(book, address, now))
      return address;
  }
  return book.addresses[start % count];
}

}  // namespace mangodoor
