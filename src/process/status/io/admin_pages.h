#ifndef PROCESS_STATUS_IO_ADMIN_PAGES_H_
#define PROCESS_STATUS_IO_ADMIN_PAGES_H_

#include <string>
#include <string_view>

namespace mangodoor {

class Clock;
struct Readiness;
struct Tables;

/** What the admin endpoint answers to GET of one target. */
struct AdminPage {
  int http_status = 200;
  const char* content_type = "text/plain";
  std::string body;
};

/** 200 if ready, otherwise 503 with the reason. */
AdminPage ReadinessPage(const Readiness& readiness);

/** `target` is a path; what follows a '?' is ignored. */
AdminPage RenderAdminPage(std::string_view target,
                          const Tables& tables,
                          const Clock& clock);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_ADMIN_PAGES_H_
