#ifndef PROCESS_STATUS_IO_ADMIN_PAGES_H_
#define PROCESS_STATUS_IO_ADMIN_PAGES_H_

#include <string>
#include <string_view>

#include "process/io/page_server.h"

namespace mangodoor {

class Clock;
struct FleetTables;
struct Readiness;
struct Tables;

/** The response to /readyz: 200 if ready, otherwise 503 with the reason. */
Page ReadinessPage(const Readiness& readiness);

/**
 * Renders the page at the path `target`; a query after '?' is ignored. `fleet`
 * is null in a fleet with an instance list.
 */
Page RenderAdminPage(std::string_view target,
                     const Tables& tables,
                     const FleetTables* fleet,
                     const Clock& clock);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_ADMIN_PAGES_H_
