#include "limits/scenario.h"

#include <algorithm>

#include "limits/fleet_model.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

const char* NameOf(CommandKind kind) {
  constexpr const char* kNames[] = {"load", "flood",   "flood all", "pause",
                                    "kill", "network", "rates",     "addresses",
                                    "hide", "cancel",  "nonsense"};
  return kNames[static_cast<int>(kind)];
}

void SetRates(Rules& rules, int amount) {
  constexpr int64_t kRates[] = {20, 60, 200, 0};
  constexpr int64_t kBursts[] = {1, 4, 8, 30};
  rules.rate_per_s = kRates[amount % 4];
  rules.burst = kBursts[amount / 4 % 4];
}

void ChangeRates(FleetModel& fleet, int amount) {
  Rules rules = fleet.rules();
  SetRates(rules, amount);
  fleet.Publish(rules, milliseconds(amount * 97 % 9000));
}

void ChangeAddresses(FleetModel& fleet, int amount) {
  Rules rules = fleet.rules();
  for (size_t node = 0; node < rules.listed.size(); ++node)
    rules.listed[node] = (amount >> node) % 2 == 0;
  fleet.Publish(rules, milliseconds(amount * 89 % 9000));
}

void ChangeNetwork(FleetModel& fleet, int amount) {
  constexpr int kDelays[] = {2, 1, 20, 150, 1200};
  constexpr int kPercents[] = {0, 0, 10, 50};
  fleet.SetNetwork({milliseconds(kDelays[amount % 5]),
                    kPercents[amount / 5 % 4], kPercents[amount / 20 % 4]});
}

void Apply(FleetModel& fleet, const Command& command) {
  const size_t node = static_cast<size_t>(command.node) % fleet.node_count();
  const size_t other =
      (node + 1 +
       static_cast<size_t>(command.amount) % (fleet.node_count() - 1)) %
      fleet.node_count();
  constexpr int kLoads[] = {0, 20, 100, 300};
  constexpr int kPauses[] = {30, 300, 600, 1500, 25000};
  constexpr int kDowntimes[] = {0, 50, 900, 1500};
  switch (command.kind) {
    case CommandKind::kLoad:
      return fleet.SetLoad(node, kLoads[command.amount % 4]);
    case CommandKind::kFlood:
      return fleet.SetLoad(node, 2000);
    case CommandKind::kFloodAll:
      for (size_t each = 0; each < fleet.node_count(); ++each)
        fleet.SetLoad(each, 1000);
      return;
    case CommandKind::kPause:
      return fleet.Pause(node, milliseconds(kPauses[command.amount % 5]));
    case CommandKind::kKill:
      return fleet.Kill(node, milliseconds(kDowntimes[command.amount % 4]));
    case CommandKind::kNetwork:
      return ChangeNetwork(fleet, command.amount);
    case CommandKind::kRates:
      return ChangeRates(fleet, command.amount);
    case CommandKind::kAddresses:
      return ChangeAddresses(fleet, command.amount);
    case CommandKind::kHide:
      return fleet.ToggleHidden(node, other);
    case CommandKind::kCancel:
      return fleet.CancelOneWaiting();
    case CommandKind::kNonsense:
      return fleet.SendNonsense(node, other);
    case CommandKind::kCount:
      return;
  }
}

rc::Gen<Command> AnyCommand() {
  // Loads come more often than each fault, or little is admitted. Long spans
  // of time let the overlap of two shares end.
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
      {1, CommandKind::kNonsense},
  });
  const auto time = rc::gen::weightedOneOf<int>({
      {6, rc::gen::inRange(0, 300)},
      {3, rc::gen::inRange(300, 2000)},
      {1, rc::gen::inRange(5000, 12000)},
  });
  return rc::gen::build<Command>(
      rc::gen::set(&Command::kind, kind),
      rc::gen::set(&Command::node, rc::gen::inRange(0, 6)),
      rc::gen::set(&Command::amount, rc::gen::inRange(0, 128)),
      rc::gen::set(&Command::milliseconds, time));
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << NameOf(command.kind) << "(node " << command.node << ", amount "
             << command.amount << ") then " << command.milliseconds << " ms";
}

std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  out << scenario.nodes << " nodes, seed " << scenario.seed << ", rates "
      << scenario.rates;
  for (const Command& command : scenario.commands)
    out << "\n  " << command;
  return out;
}

rc::Gen<Scenario> AnyScenario() {
  return rc::gen::build<Scenario>(
      rc::gen::set(&Scenario::nodes, rc::gen::inRange(2, 6)),
      rc::gen::set(&Scenario::seed, rc::gen::inRange(0, 1000000)),
      rc::gen::set(&Scenario::rates, rc::gen::inRange(0, 16)),
      rc::gen::set(&Scenario::commands,
                   rc::gen::container<std::vector<Command>>(40, AnyCommand())));
}

std::optional<std::string> Play(const Scenario& scenario,
                                const InjectedLimitFaults& faults) {
  Rules rules;
  SetRates(rules, scenario.rates);
  rules.listed.assign(static_cast<size_t>(scenario.nodes), true);
  FleetModel fleet(rules, static_cast<uint64_t>(scenario.seed), faults);
  fleet.Run(milliseconds(2000));
  for (const Command& command : scenario.commands) {
    Apply(fleet, command);
    fleet.Run(milliseconds(command.milliseconds));
  }
  fleet.Finish();
  return fleet.violation();
}

}  // namespace mangodoor
