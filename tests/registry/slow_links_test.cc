#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "registry/store_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// The users' limit from the store's confirmation to the last instance.
constexpr Duration kApplyBound = milliseconds(2500);

constexpr double kBytesPerMbit = 1e6 / 8;

// A data centre of the users' grown fleet. 0.7 MB are decoded in 33 ms on a
// free core; the machines have half and a tenth of one.
constexpr int kInstances = 27;
constexpr int kLargeMachines = 2;
constexpr SimMachine kLargeMachine{200 * kBytesPerMbit, nanoseconds(100)};
constexpr SimMachine kSmallMachine{10 * kBytesPerMbit, nanoseconds(470)};

constexpr size_t kPageSize = 1000;
constexpr size_t kDocumentBytes = 700 * 1024;
constexpr Duration kStep = milliseconds(100);
constexpr std::string_view kVersionPrefix = "version ";
constexpr char kDocumentKey[] = "op/config";

/** A document of random bytes by `seed`, with a line that has the version. */
std::string MakeDocument(int version, unsigned seed = 1) {
  std::mt19937 random(seed);
  std::string text(kDocumentBytes, '\0');
  for (char& c : text)
    c = static_cast<char>(random());
  const std::string line =
      std::string(kVersionPrefix) + std::to_string(version) + "\n";
  return text.insert(text.size() / 2, line);
}

RegistrySim MakeDataCentre() {
  RegistrySim sim(1, kInstances, kPageSize);
  sim.pushing_hubs = kLargeMachines;
  for (int i = 0; i < kInstances; ++i)
    sim.instance(i).machine =
        i < kLargeMachines ? kLargeMachine : kSmallMachine;
  sim.store().Put(kDocumentKey, MakeDocument(0));
  sim.RunFor(seconds(10));
  return sim;
}

/** The version of the document that an instance has in force; -1 if none. */
int VersionInForce(RegistrySim& sim, int index) {
  const auto& applied = sim.instance(index).applied;
  const auto document = applied.find(kDocumentKey);
  if (document == applied.end())
    return -1;
  const size_t begin = document->second.find(kVersionPrefix);
  return std::stoi(document->second.substr(begin + kVersionPrefix.size()));
}

/** The lowest version that an instance has in force. */
int LowestVersionInForce(RegistrySim& sim) {
  int lowest = VersionInForce(sim, 0);
  for (int i = 1; i < sim.size(); ++i)
    lowest = std::min(lowest, VersionInForce(sim, i));
  return lowest;
}

// Guards against changes of one line that are late since the whole document
// travels over slow links with each of them.
TEST(SlowLinksTest, SmallChangesOfALargeDocumentAreInForceInTime) {
  constexpr Duration kInterval = milliseconds(800);
  constexpr int kChanges = 25;
  RegistrySim sim = MakeDataCentre();
  ASSERT_EQ(LowestVersionInForce(sim), 0);
  std::vector<TimePoint> written{sim.now()};
  for (int version = 1; version <= kChanges; ++version) {
    sim.store().Put(kDocumentKey, MakeDocument(version));
    written.push_back(sim.now());
    while (sim.now() - written.back() < kInterval) {
      sim.RunFor(kStep);
      const auto due = std::find_if(
          written.rbegin(), written.rend(),
          [&](TimePoint at) { return sim.now() - at >= kApplyBound; });
      ASSERT_GE(LowestVersionInForce(sim), written.rend() - due - 1);
    }
  }
}

// Guards against an update that is sent again while it is on its way, and
// against hubs with a slow link that have to send it to many instances.
TEST(SlowLinksTest, LargeUpdateIsSentOnceAndInForceInTime) {
  RegistrySim sim = MakeDataCentre();
  std::vector<size_t> bytes_before;
  bytes_before.reserve(static_cast<size_t>(sim.size()));
  for (int i = 0; i < sim.size(); ++i)
    bytes_before.push_back(sim.instance(i).update_bytes);
  constexpr unsigned kOtherSeed = 2;
  const std::string document = MakeDocument(1, kOtherSeed);
  sim.store().Put(kDocumentKey, document);
  sim.RunFor(kApplyBound);
  EXPECT_EQ(LowestVersionInForce(sim), 1);
  sim.RunFor(seconds(5));
  for (int i = 0; i < sim.size(); ++i) {
    const size_t received =
        sim.instance(i).update_bytes - bytes_before[static_cast<size_t>(i)];
    EXPECT_LT(received, document.size() * 3 / 2) << "instance " << i;
  }
}

}  // namespace
}  // namespace mangodoor
