#ifndef TESTS_LIMITS_SCENARIO_H_
#define TESTS_LIMITS_SCENARIO_H_

#include <rapidcheck.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "process/accounts/injected_limit_faults.h"

namespace mangodoor {

enum class CommandKind {
  kLoad,
  kFlood,
  kFloodAll,
  kPause,
  kKill,
  kNetwork,
  kRates,
  kAddresses,
  kHide,
  kCancel,
  kInvalidMessages,
  kCount,
};

/** An event in the fleet, and the time until the next one. */
struct Command {
  CommandKind kind = CommandKind::kLoad;
  int instance = 0;
  /**
   * Selects the load, duration, rates, addresses, network or other instance of
   * the event.
   */
  int amount = 0;
  int milliseconds = 0;
};

std::ostream& operator<<(std::ostream& out, const Command& command);

struct Scenario {
  int instances = 3;
  int seed = 0;
  /** Selects the first rate and burst. */
  int rates = 0;
  std::vector<Command> commands;
};

std::ostream& operator<<(std::ostream& out, const Scenario& scenario);

rc::Gen<Scenario> AnyScenario();

/** Plays a scenario; returns the first violated property, if any. */
std::optional<std::string> Play(const Scenario& scenario,
                                const InjectedLimitFaults& faults);

}  // namespace mangodoor

#endif  // TESTS_LIMITS_SCENARIO_H_
