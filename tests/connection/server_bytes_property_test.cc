#include <gtest/gtest.h>
// Uses names of gtest.h.
#include <rapidcheck/gtest.h>

#include <iostream>
#include <mutex>

#include "connection/scenario_player.h"
#include "connection/server_bytes_gen.h"
#include "connection/transcript_oracle.h"

namespace mangodoor {
namespace {

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += "  " + line + "\n";
  return text;
}

/**
 * Prints the violations of the first scenario that has any. If they depend on
 * timing, a shrunk scenario may have none, and shrinking may outlast the test.
 */
void PrintFirst(const Scenario& scenario,
                const std::vector<std::string>& violations) {
  static std::once_flag once;
  std::call_once(once, [&] {
    std::cerr << "violations before shrinking:\n"
              << Join(violations) << "in " << scenario;
  });
}

void CheckScenario(const Scenario& scenario, Interface offered) {
  ScenarioPlayer player(scenario, offered);
  const Transcript transcript = player.Play();
  const std::vector<std::string> violations = FindViolations(transcript);
  if (!violations.empty()) {
    PrintFirst(scenario, violations);
    RC_FAIL("violations:\n" + Join(violations));
  }
  RC_ASSERT(Eventually([&player] { return player.IsIdle(); }));
  RC_CLASSIFY(ForwardedResponses(transcript) > 0, "forwarded a response");
  RC_CLASSIFY(player.counters().retries > 0, "retried");
  RC_CLASSIFY(player.counters().hedges > 0, "hedged");
}

// Guards against a response that is not the caller's own or not whole, a false
// "not run", and a repeated request, whatever bytes servers write
// (docs/design.md 1.2, I6, I7, I8).
RC_GTEST_PROP(ServerBytesProperty, CallersGetTheirOwnWholeResponses, ()) {
  CheckScenario(*GenScenario(), Interface::kWithIdsAndSignatures);
}

// The same where responses have no ids, so that a late response can only be
// told from the next one by its time.
RC_GTEST_PROP(ServerBytesProperty, CallersGetWholeResponsesWithoutIds, ()) {
  CheckScenario(*GenScenario(), Interface::kPlain);
}

// Guards against an early response that looks whole although its server has
// reset the connection: the error of the connection can be told to the write of
// an upload.
RC_GTEST_PROP(ServerBytesProperty, EarlyEndsBreakOffResponses, ()) {
  CheckScenario(*GenEarlyEndScenario(), Interface::kWithIdsAndSignatures);
}

RC_GTEST_PROP(ServerBytesProperty, EarlyEndsBreakOffResponsesWithoutIds, ()) {
  CheckScenario(*GenEarlyEndScenario(), Interface::kPlain);
}

// Guards against a property that holds because nothing is forwarded.
TEST(ServerBytesTest, SoundResponsesAreForwarded) {
  Scenario scenario;
  for (const auto method :
       {CallerRequest::Method::kGet, CallerRequest::Method::kPost,
        CallerRequest::Method::kHead, CallerRequest::Method::kGet}) {
    CallerRequest request;
    request.method = method;
    request.body_size = 3000;
    scenario.requests.push_back(request);
  }
  scenario.requests.back().is_pipelined = true;
  for (const Interface offered :
       {Interface::kPlain, Interface::kWithIdsAndSignatures}) {
    ScenarioPlayer player(scenario, offered, std::chrono::seconds(3));
    const Transcript transcript = player.Play();
    EXPECT_EQ(Join(FindViolations(transcript)), "");
    EXPECT_EQ(ForwardedResponses(transcript), 4);
  }
}

// Guards against an oracle that takes an unfinished response for a fault of the
// generated server: these servers have none, so each response has to arrive.
TEST(ServerBytesTest, SoundLongResponsesAreForwarded) {
  for (const int size : {64 * 1024, 64 * 1024 + 1, 70 * 1000, 80 * 1024 - 1}) {
    for (const BodyEnd body_end :
         {BodyEnd::kLength, BodyEnd::kChunked, BodyEnd::kUntilClose}) {
      Scenario scenario;
      scenario.requests.resize(1);
      ServerPiece piece;
      piece.body_size = size;
      piece.body_end = body_end;
      ServerTurn turn;
      turn.pieces = {piece};
      if (body_end == BodyEnd::kUntilClose)
        turn.end = ServerTurn::End::kClose;
      scenario.turns = {turn};
      ScenarioPlayer player(scenario, Interface::kWithIdsAndSignatures,
                            std::chrono::seconds(3));
      const Transcript transcript = player.Play();
      EXPECT_EQ(Join(FindViolations(transcript)), "") << size;
      EXPECT_EQ(ForwardedResponses(transcript), 1)
          << size << " " << static_cast<int>(body_end);
    }
  }
}

}  // namespace
}  // namespace mangodoor
