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

/** An item that mangodoor does not use. */
struct IgnoredItem {};

/** A server's record was deleted, or does not describe a usable server. */
struct RemovedServer {
  BackendServerId id;
  /** Why the record cannot be used; empty if it was deleted. */
  std::vector<Fault> faults;
};

/** An operator's command for a data centre. */
struct DataCentreCommand {
  DataCentreId data_centre;
  /** True if the data centre is taken out of service. */
  bool out = false;
};

/** A configuration document that failed validation. */
struct InvalidDocument {
  std::vector<Fault> faults;
};

/** An item of the platform's store, decoded to mangodoor's own types. */
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
