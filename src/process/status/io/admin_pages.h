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

/** 200 if ready, otherwise 503 with the reason. */
Page ReadinessPage(const Readiness& readiness);

/**
 * `target` is a path; what follows a '?' is ignored. `fleet` is null where the
 * instances are on a list.
 */
Page RenderAdminPage(std::string_view target,
                     const Tables& tables,
                     const FleetTables* fleet,
                     const Clock& clock);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_ADMIN_PAGES_H_
