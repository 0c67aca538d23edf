#include "process/status/io/admin_pages.h"

#include "process/status/instance_status.h"
#include "process/status/io/metrics.h"
#include "process/status/io/status_codec.h"
#include "process/tables.h"

namespace mangodoor {
namespace {

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; charset=utf-8";
constexpr char kMetricsType[] = "text/plain; version=0.0.4; charset=utf-8";

}  // namespace

Page ReadinessPage(const Readiness& readiness) {
  if (readiness.ready)
    return {200, kTextType, "ready\n"};
  return {503, kTextType, "not ready: " + readiness.reason + "\n"};
}

Page RenderAdminPage(std::string_view target,
                     const Tables& tables,
                     const FleetTables* fleet,
                     const Clock& clock) {
  const std::string_view path = target.substr(0, target.find('?'));
  const TimePoint now = clock.Now();
  if (path == "/healthz")
    return {200, kTextType, "alive\n"};
  if (path == "/readyz")
    return ReadinessPage(ReadinessOf(tables, fleet, now));
  if (path == "/metrics")
    return {200, kMetricsType,
            MetricsText(tables.counters, CollectStatus(tables, fleet, now))};
  if (path == "/status")
    return {200, kJsonType, EncodeStatus(CollectStatus(tables, fleet, now))};
  if (path == "/audit")
    return {200, kJsonType, EncodeAudit(Records(tables.audit))};
  return {404, kTextType,
          "no such page; there are /healthz, /readyz, /metrics, /status and "
          "/audit\n"};
}

}  // namespace mangodoor
