#ifndef TESTS_CONNECTION_SCENARIO_PLAYER_H_
#define TESTS_CONNECTION_SCENARIO_PLAYER_H_

#include <memory>
#include <vector>

#include "connection/data_path_fixture.h"
#include "connection/transcript.h"

namespace mangodoor {

/** What the interface of the data path offers in a scenario. */
enum class Interface { kPlain, kWithIdsAndSignatures };

/** Time limit of the requests of a scenario. */
constexpr std::chrono::milliseconds kScenarioTimeLimit{150};

class GeneratedServers;

/** Plays one scenario with a data path of its own and two servers. */
class ScenarioPlayer : public DataPathTest {
 public:
  ScenarioPlayer(const Scenario& scenario,
                 Interface offered,
                 std::chrono::milliseconds time_limit = kScenarioTimeLimit);
  ~ScenarioPlayer() override;

  /** Plays the scenario and ends the servers. Called once. */
  Transcript Play();

  /** True if no caller is connected and no request is running. */
  bool IsIdle() const;

  const Counters& counters() const { return tables_.counters; }

 private:
  void TestBody() override {}

  size_t PlayConnection(size_t first);
  size_t SendBatch(TestConnection& connection,
                   size_t first,
                   CallerConnectionRecord& record);
  bool ReadResponses(TestConnection& connection,
                     size_t first,
                     size_t last,
                     size_t& parsed);

  Scenario scenario_;
  std::vector<CallerConnectionRecord> callers_;
  std::shared_ptr<GeneratedServers> state_;
  std::vector<std::unique_ptr<FakeServer>> fake_servers_;
};

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_SCENARIO_PLAYER_H_
