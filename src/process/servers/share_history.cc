#include "process/servers/share_history.h"

#include <algorithm>

#include "process/membership/rendezvous.h"

namespace mangodoor {

void AddRank(ShareHistory& history, AddressRank address_rank, TimePoint now) {
  history.erase(std::remove_if(
                    history.begin(), history.end(),
                    [now](const AddressRank& old) { return old.until <= now; }),
                history.end());
  if (!history.empty()) {
    AddressRank& last = history.back();
    if (last.rank == address_rank.rank && last.count == address_rank.count)
      return;
    last.until = now + kVersionPropagationTime;
  }
  history.push_back(address_rank);
}

int SafeShare(const ShareHistory& history, int total, TimePoint now) {
  int share = total;
  for (const AddressRank& address_rank : history) {
    if (address_rank.until <= now)
      continue;
    const int part = address_rank.rank ? RankShare(total, *address_rank.rank,
                                                   address_rank.count)
                                       : 0;
    share = std::min(share, part);
  }
  return history.empty() ? 0 : share;
}

}  // namespace mangodoor
