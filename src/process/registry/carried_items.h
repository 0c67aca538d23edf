#ifndef PROCESS_REGISTRY_CARRIED_ITEMS_H_
#define PROCESS_REGISTRY_CARRIED_ITEMS_H_

#include <map>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/registry/store_replica.h"

namespace mangodoor {

// A store that is restored from an older copy has lost what it acknowledged
// since. Operators and backend servers write it again, but not at once. Until
// then, what was acknowledged still binds: a server that was draining gets no
// work, a data centre that was taken out stays out.

/** An item, or its deletion, that the restored store lacks. */
struct CarriedItem {
  StoreItem item;
  /** From then on, the restored store is believed. */
  TimePoint until{};
};

/** A carried item, as another instance is told of it. */
struct CarriedNotice {
  StoreItem item;
  /** Time until CarriedItem::until. */
  Duration left{};
};

/** By key. */
using CarriedItems = std::map<std::string, CarriedItem>;

/**
 * True if the item with this key is renewed by its owner all the time, and
 * lapses without it.
 */
using LapsesAlone = bool (*)(const std::string& key);

/** A replica before and after it was replaced by that of a restored store. */
struct Restoration {
  const StoreReplica& before;
  const StoreReplica& after;
  /** The items that differ. */
  std::vector<StoreItem> changed_items;
};

/** What is in force after a restoration. */
struct CarryResult {
  /** Changes that are in force at once. */
  std::vector<StoreItem> changed_items;
  /**
   * False if this instance does not know the history far enough back to tell
   * what the store has lost. It then keeps all that could be lost for a moment,
   * in which peers tell it what they carry.
   */
  bool complete = true;
};

/** Keeps what the restored store lacks in `carried`. */
CarryResult CarryOver(CarriedItems& carried,
                      const Restoration& restoration,
                      LapsesAlone lapses_alone,
                      TimePoint now);

/**
 * Drops the items that the restored store has got again or deleted, and adds
 * those that no other change puts into force to `changed_items`.
 */
void DropWritten(CarriedItems& carried,
                 const std::vector<StoreItem>& written,
                 std::vector<StoreItem>& changed_items);

std::vector<CarriedNotice> NoticesOf(const CarriedItems& carried,
                                     TimePoint now);

/** What a peer carries. */
struct PeerNotices {
  const std::vector<CarriedNotice>& notices;
  /** The revision that the peer's copy has reached. */
  StoreRevision up_to;
};

/** Adds what a peer carries. Returns the changes that it brings into force. */
std::vector<StoreItem> AddCarried(CarriedItems& carried,
                                  const PeerNotices& peer,
                                  const StoreReplica& replica,
                                  TimePoint now);

/**
 * Drops the items whose time has passed. Returns what the store has in their
 * place.
 */
std::vector<StoreItem> TakeExpired(CarriedItems& carried,
                                   const StoreReplica& replica,
                                   TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_CARRIED_ITEMS_H_
