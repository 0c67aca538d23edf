#ifndef PROCESS_STATUS_IO_ADMIN_PAGES_H_
#define PROCESS_STATUS_IO_ADMIN_PAGES_H_

#include <string>
#include <string_view>

#include "process/io/page_server.h"

namespace mangodoor {

class Clock;
struct Readiness;
struct Tables;

/** 200 if ready, otherwise 503 with the reason. */
Page ReadinessPage(const Readiness& readiness);

/** `target` is a path; what follows a '?' is ignored. */
Page RenderAdminPage(std::string_view target,
                     const Tables& tables,
                     const Clock& clock);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_ADMIN_PAGES_H_
