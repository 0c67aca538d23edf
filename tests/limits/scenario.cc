#include "limits/scenario.h"

#include <algorithm>

#include "limits/fleet_model.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

const char* NameOf(CommandKind kind) {
  constexpr const char* kNames[] = {
      "load", "flood",   "flood all",       "pause",
      "kill", "network", "rates",           "addresses",
      "hide", "cancel",  "invalid messages"};
  return kNames[static_cast<int>(kind)];
}

void SetRates(ModelConfig& config, int amount) {
  constexpr int64_t kRates[] = {20, 60, 200, 0};
  constexpr int64_t kBursts[] = {1, 4, 8, 30};
  config.rate_per_s = kRates[amount % 4];
  config.burst = kBursts[amount / 4 % 4];
}

void ChangeRates(FleetModel& fleet, int amount) {
  ModelConfig config = fleet.config();
  SetRates(config, amount);
  fleet.Publish(config, milliseconds(amount * 97 % 9000));
}

void ChangeAddresses(FleetModel& fleet, int amount) {
  ModelConfig config = fleet.config();
  for (size_t instance = 0; instance < config.listed.size(); ++instance)
    config.listed[instance] = (amount >> instance) % 2 == 0;
  fleet.Publish(config, milliseconds(amount * 89 % 9000));
}

void ChangeNetwork(FleetModel& fleet, int amount) {
  constexpr int kDelays[] = {2, 1, 20, 150, 1200};
  constexpr int kPercents[] = {0, 0, 10, 50};
  fleet.SetNetwork({milliseconds(kDelays[amount % 5]),
                    kPercents[amount / 5 % 4], kPercents[amount / 20 % 4]});
}

void Apply(FleetModel& fleet, const Command& command) {
  const size_t instance =
      static_cast<size_t>(command.instance) % fleet.instance_count();
  const size_t other =
      (instance + 1 +
       static_cast<size_t>(command.amount) % (fleet.instance_count() - 1)) %
      fleet.instance_count();
  constexpr int kLoads[] = {0, 20, 100, 300};
  constexpr int kPauses[] = {30, 300, 600, 1500, 25000};
  constexpr int kDowntimes[] = {0, 50, 900, 1500};
  switch (command.kind) {
    case CommandKind::kLoad:
      return fleet.SetLoad(instance, kLoads[command.amount % 4]);
    case CommandKind::kFlood:
      return fleet.SetLoad(instance, 2000);
    case CommandKind::kFloodAll:
      for (size_t each = 0; each < fleet.instance_count(); ++each)
        fleet.SetLoad(each, 1000);
      return;
    case CommandKind::kPause:
      return fleet.Pause(instance, milliseconds(kPauses[command.amount % 5]));
    case CommandKind::kKill:
      return fleet.Kill(instance, milliseconds(kDowntimes[command.amount % 4]));
    case CommandKind::kNetwork:
      return ChangeNetwork(fleet, command.amount);
    case CommandKind::kRates:
      return ChangeRates(fleet, command.amount);
    case CommandKind::kAddresses:
      return ChangeAddresses(fleet, command.amount);
    case CommandKind::kHide:
      return fleet.ToggleHidden(instance, other);
    case CommandKind::kCancel:
      return fleet.CancelOneWaiting();
    case CommandKind::kInvalidMessages:
      return fleet.SendInvalidMessages(instance, other);
    case CommandKind::kCount:
      return;
  }
}

rc::Gen<Command> AnyCommand() {
  // Changes of load are more frequent than each fault, because otherwise few
  // requests would be admitted. Some times between events are long, so that the
  // overlap of two shares (kShareOverlap) can end.
  const auto kind = rc::gen::weightedElement<CommandKind>({
      {6, CommandKind::kLoad},
      {4, CommandKind::kFlood},
      {2, CommandKind::kFloodAll},
      {2, CommandKind::kPause},
      {2, CommandKind::kKill},
      {2, CommandKind::kNetwork},
      {1, CommandKind::kRates},
      {2, CommandKind::kAddresses},
      {1, CommandKind::kHide},
      {1, CommandKind::kCancel},
      {1, CommandKind::kInvalidMessages},
  });
  const auto time = rc::gen::weightedOneOf<int>({
      {6, rc::gen::inRange(0, 300)},
      {3, rc::gen::inRange(300, 2000)},
      {1, rc::gen::inRange(5000, 12000)},
  });
  return rc::gen::build<Command>(
      rc::gen::set(&Command::kind, kind),
      rc::gen::set(&Command::instance, rc::gen::inRange(0, 6)),
      rc::gen::set(&Command::amount, rc::gen::inRange(0, 128)),
      rc::gen::set(&Command::milliseconds, time));
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << NameOf(command.kind) << "(instance " << command.instance
             << ", amount " << command.amount << ") then "
             << command.milliseconds << " ms";
}

std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  out << scenario.instances << " instances, seed " << scenario.seed
      << ", rates " << scenario.rates;
  for (const Command& command : scenario.commands)
    out << "\n  " << command;
  return out;
}

rc::Gen<Scenario> AnyScenario() {
  return rc::gen::build<Scenario>(
      rc::gen::set(&Scenario::instances, rc::gen::inRange(2, 6)),
      rc::gen::set(&Scenario::seed, rc::gen::inRange(0, 1000000)),
      rc::gen::set(&Scenario::rates, rc::gen::inRange(0, 16)),
      rc::gen::set(&Scenario::commands,
                   rc::gen::container<std::vector<Command>>(40, AnyCommand())));
}

std::optional<std::string> Play(const Scenario& scenario,
                                const InjectedLimitFaults& faults) {
  ModelConfig config;
  SetRates(config, scenario.rates);
  config.listed.assign(static_cast<size_t>(scenario.instances), true);
  FleetModel fleet(config, static_cast<uint64_t>(scenario.seed), faults);
  fleet.Run(milliseconds(2000));
  for (const Command& command : scenario.commands) {
    Apply(fleet, command);
    fleet.Run(milliseconds(command.milliseconds));
  }
  fleet.Finish();
  return fleet.violation();
}

}  // namespace mangodoor
