#ifndef PROCESS_IO_FLEET_PROCESS_H_
#define PROCESS_IO_FLEET_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "process/io/page_server.h"
#include "process/registry/decoded_item.h"
#include "process/registry/platform_store.h"
#include "request/http_profile.h"

namespace mangodoor {

struct Settings;

/** A caller that asks which addresses to use. */
struct AddressQuery {
  /** The host that it is going to call. */
  std::string host;
  /** IP number of the caller. */
  std::string caller;
};

/** The answer to an address query. */
struct AddressAnswer {
  std::vector<Endpoint> addresses;
  std::chrono::milliseconds time_to_live{};
};

/** What a platform's own manner of speaking brings. */
struct PlatformInterface {
  std::function<std::unique_ptr<PlatformStore>(boost::asio::io_context&,
                                               const Endpoint&)>
      open_store;
  ItemDecoder decode;
  HttpProfile http_profile;
  /** The page that answers a caller; `ask` decides on the addresses. */
  std::function<Page(const PageRequest&,
                     const std::function<AddressAnswer(const AddressQuery&)>&)>
      directory_page;
  /** The page that says whether this instance takes callers. */
  std::function<Page(const PageRequest&, bool ready)> readiness_page;
};

/**
 * Runs an instance of a fleet without an instance list until a planned stop
 * has finished. SIGHUP makes it read `settings_path` again. Returns the exit
 * status. Throws if it cannot listen.
 */
int RunFleetInstance(const Settings& settings,
                     const std::string& settings_path,
                     const PlatformInterface& platform);

}  // namespace mangodoor

#endif  // PROCESS_IO_FLEET_PROCESS_H_
