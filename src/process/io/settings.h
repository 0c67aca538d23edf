#ifndef PROCESS_IO_SETTINGS_H_
#define PROCESS_IO_SETTINGS_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "process/accounts/usage_limiter.h"
#include "process/io/figure_reader.h"
#include "process/io/log.h"
#include "process/membership/membership.h"
#include "process/servers/retry_table.h"
#include "version/fault.h"

namespace mangodoor {

/** Settings of an instance that runs without an instance list. */
struct FleetSettings {
  /** Peer endpoints of instances to contact first, to find the others. */
  std::vector<Endpoint> seeds;
  /** Endpoint of the platform's store of published items. */
  Endpoint store;
  /** Endpoint to listen on for address queries of callers. */
  Endpoint directory;
  /** Endpoint to listen on for readiness checks of the platform. */
  Endpoint readiness;
  /** Fraction of a core that each worker thread can use. */
  double processor_share = 1;
  /** Requests that may be admitted beyond the rates of client accounts. */
  UsageTolerance tolerance;
  /** Limits the retries of the whole fleet, separately for each service. */
  RetryPolicy retries;
  /**
   * Maximum average number of probes per second to one backend server, over all
   * instances.
   */
  double probes_per_s = 10;
  /** Time from the stop signal until the platform kills the process. */
  std::chrono::milliseconds stop_grace{10000};
  /** How long a caller may cache the addresses it was given. */
  std::chrono::milliseconds address_keep{5000};
  /**
   * Whether requests with an API key are refused while the configuration may be
   * stale.
   */
  bool fenced_when_stale = true;
  /** Time without confirmation after which the configuration is stale. */
  std::chrono::milliseconds fence_after{3000};
};

/** The settings of an instance, from its settings file. */
struct Settings {
  /** Id, data centre and endpoints of this instance. */
  Instance self;
  Endpoint admin_endpoint;
  Endpoint configuration_service;
  Endpoint instance_list;
  /** Shared by all instances; authenticates them to each other. */
  std::string fleet_secret;
  int worker_threads = 2;
  /** Log lines below this level are not written. */
  LogLevel log_level = LogLevel::kInfo;
  /** Set if there is no instance list and no configuration service. */
  std::optional<FleetSettings> fleet;
  /** Values of `fleet` that could not be used. */
  std::vector<ReplacedSetting> replaced;
};

/** Thrown for invalid settings, with all of their faults. */
class SettingsError : public std::runtime_error {
 public:
  /** Each line of the message begins with `file`. */
  SettingsError(const std::string& file, std::vector<Fault> faults);

  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

/**
 * Decodes and checks settings. Throws a SettingsError that names `file`. A
 * figure of `fleet` that cannot be read is replaced by that of `in_use`.
 */
Settings DecodeSettings(const std::string& text,
                        const std::string& file,
                        const FleetSettings& in_use = {});

/**
 * Reads a settings file. Throws SettingsError, or std::runtime_error if the
 * file cannot be read.
 */
Settings LoadSettings(const std::string& path,
                      const FleetSettings& in_use = {});

}  // namespace mangodoor

#endif  // PROCESS_IO_SETTINGS_H_
