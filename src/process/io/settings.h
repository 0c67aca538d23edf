#ifndef PROCESS_IO_SETTINGS_H_
#define PROCESS_IO_SETTINGS_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "process/accounts/usage_limiter.h"
#include "process/io/log.h"
#include "process/membership/membership.h"
#include "process/servers/attempt_table.h"
#include "version/fault.h"

namespace mangodoor {

/** How an instance finds the fleet and the platform without a list. */
struct FleetSettings {
  /** Peer endpoints of instances that may know the others. */
  std::vector<Endpoint> seeds;
  /** The platform's store of published items. */
  Endpoint store;
  /** Where callers ask which addresses to use. */
  Endpoint directory;
  /** Where the platform asks whether this instance is ready. */
  Endpoint readiness;
  /** Part of a core that each worker thread may use. */
  double processor_share = 1;
  /** What may be admitted beyond the rates of client accounts. */
  UsageTolerance tolerance;
  /** Repeats that the fleet may make, as a part of its requests. */
  RetryPolicy retries;
  /** Probes that one server bears, from all instances. */
  double probes_per_s = 10;
  /** Time from the signal to stop until the process is killed. */
  std::chrono::milliseconds stop_grace{10000};
  /** How long a caller may keep the answer to "which address". */
  std::chrono::milliseconds address_keep{5000};
  /** False: keyed requests run although the configuration may be stale. */
  bool fenced_when_stale = true;
  /** Without a sign for this long that it is current, it may be stale. */
  std::chrono::milliseconds fence_after{3000};
};

/** What an instance is told when it starts. */
struct Settings {
  /** Id, data centre and endpoints of this instance. */
  Instance self;
  Endpoint admin_endpoint;
  Endpoint configuration_service;
  Endpoint instance_list;
  /** Shared by all instances; authenticates them to each other. */
  std::string fleet_secret;
  int worker_threads = 2;
  /** Log lines below this level are left out. */
  LogLevel log_level = LogLevel::kInfo;
  /** Set if there is no instance list and no configuration service. */
  std::optional<FleetSettings> fleet;
};

/** Settings that an instance cannot start with, with all of their faults. */
class SettingsError : public std::runtime_error {
 public:
  /** Each line of the message begins with `file`. */
  SettingsError(const std::string& file, std::vector<Fault> faults);

  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

/** Decodes and checks settings. Throws SettingsError, which names `file`. */
Settings DecodeSettings(const std::string& text, const std::string& file);

/**
 * Reads a settings file. Throws SettingsError, or std::runtime_error if the
 * file cannot be read.
 */
Settings LoadSettings(const std::string& path);

}  // namespace mangodoor

#endif  // PROCESS_IO_SETTINGS_H_
