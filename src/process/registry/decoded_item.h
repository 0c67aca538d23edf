#ifndef PROCESS_REGISTRY_DECODED_ITEM_H_
#define PROCESS_REGISTRY_DECODED_ITEM_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "process/registry/platform_store.h"
#include "process/servers/server_record.h"
#include "version/fault.h"
#include "version/version.h"

namespace mangodoor {

/** The item is none that this product uses. */
struct IgnoredItem {};

/** A server's record is gone, or does not name a server that can be used. */
struct RemovedServer {
  BackendServerId id;
  /** Why a record that is there cannot be used; empty for a deletion. */
  std::vector<Fault> faults;
};

/** An operator's order on a data centre. */
struct DataCentreCommand {
  DataCentreId data_centre;
  /** Taken out of service. */
  bool out = false;
};

/** A configuration that cannot come into force. */
struct InvalidDocument {
  std::vector<Fault> faults;
};

/** What an item of the platform's store says in the product's terms. */
using DecodedItem = std::variant<IgnoredItem,
                                 ServerRecord,
                                 RemovedServer,
                                 DataCentreCommand,
                                 VersionPtr,
                                 InvalidDocument>;

/** Decodes an item or its deletion. Never throws. */
using ItemDecoder = std::function<DecodedItem(const StoreItem&, WallTime)>;

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_DECODED_ITEM_H_
