#include "process/servers/share_history.h"

#include <algorithm>

#include "process/membership/rendezvous.h"

namespace mangodoor {

void AddPlace(ShareHistory& history, SharePlace place, TimePoint now) {
  history.erase(
      std::remove_if(history.begin(), history.end(),
                     [now](const SharePlace& old) { return old.until <= now; }),
      history.end());
  if (!history.empty()) {
    SharePlace& last = history.back();
    if (last.rank == place.rank && last.count == place.count)
      return;
    last.until = now + kVersionPropagationTime;
  }
  history.push_back(place);
}

int SafeShare(const ShareHistory& history, int total, TimePoint now) {
  int share = total;
  for (const SharePlace& place : history) {
    if (place.until <= now)
      continue;
    const int part =
        place.rank ? RankShare(total, *place.rank, place.count) : 0;
    share = std::min(share, part);
  }
  return history.empty() ? 0 : share;
}

}  // namespace mangodoor
