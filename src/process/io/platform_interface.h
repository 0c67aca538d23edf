#ifndef PROCESS_IO_PLATFORM_INTERFACE_H_
#define PROCESS_IO_PLATFORM_INTERFACE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process/io/page_server.h"
#include "process/registry/carried_items.h"
#include "process/registry/decoded_item.h"
#include "process/registry/platform_store.h"
#include "request/http_profile.h"
#include "version/endpoint.h"

namespace mangodoor {

/** A query by a caller for the addresses to use. */
struct AddressQuery {
  /** Host name that the caller wants to send requests to; can be empty. */
  std::string host;
  /** IP address of the caller. */
  std::string caller;
};

/** The answer to an address query. */
struct AddressAnswer {
  std::vector<Endpoint> addresses;
  /** How long the caller may cache the addresses. */
  std::chrono::milliseconds time_to_live{};
};

/** The platform-specific parts of an instance. */
struct PlatformInterface {
  std::function<std::unique_ptr<PlatformStore>(boost::asio::io_context&,
                                               const Endpoint&)>
      open_store;
  ItemDecoder decode;
  LapsesAlone lapses_alone = nullptr;
  HttpProfile http_profile;
  /** Answers an address query, with the addresses from the passed function. */
  std::function<Page(const PageRequest&,
                     const std::function<AddressAnswer(const AddressQuery&)>&)>
      directory_page;
  /** Makes the page that says whether to send callers to this instance. */
  std::function<Page(const PageRequest&, bool ready)> readiness_page;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_PLATFORM_INTERFACE_H_
