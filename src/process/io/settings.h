#ifndef PROCESS_IO_SETTINGS_H_
#define PROCESS_IO_SETTINGS_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "process/io/log.h"
#include "process/membership/membership.h"
#include "version/fault.h"

namespace mangodoor {

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
