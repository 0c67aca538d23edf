#include "process/status/io/admin_server.h"

#include "process/status/io/admin_pages.h"

namespace mangodoor {

AdminServer::AdminServer(const Tables& tables,
                         const Clock& clock,
                         boost::asio::io_context& context,
                         const Endpoint& endpoint,
                         std::optional<FleetTables> fleet)
    : server_(context,
              endpoint,
              [&tables, &clock, fleet](const PageRequest& request) {
                return RenderAdminPage(request.target, tables,
                                       fleet ? &*fleet : nullptr, clock);
              }) {}

}  // namespace mangodoor
