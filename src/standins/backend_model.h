#ifndef STANDINS_BACKEND_MODEL_H_
#define STANDINS_BACKEND_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "process/clock.h"

namespace mangodoor {

/** How the stand-in behaves. POST /standin/state changes it. */
struct Behaviour {
  std::string name;
  int slots = 3;
  /** Requests that can wait for a slot; the server sheds any further ones. */
  int queue = 100;
  int connection_limit = 220;
  /** Requests in flight allowed while cold. */
  int cold_concurrency = 1;
  /** Mean service time. */
  Duration latency{};
  /** "fixed", "exponential" or "lognormal". */
  std::string distribution = "fixed";
  TimePoint cold_until{};
  bool draining = false;
  bool fail_fast = false;
  bool hang = false;
};

struct BackendCounters {
  std::map<std::string, int> runs_by_id;
  int requests = 0;
  int runs = 0;
  int in_flight = 0;
  int highest_in_flight = 0;
  int connections = 0;
  int highest_connections = 0;
  int refused_connections = 0;
  int probes = 0;
  int keys_seen = 0;
  int cold_violations = 0;
  int shed = 0;
  int cancelled = 0;
  int requests_while_draining = 0;
};

inline nlohmann::json CountersJson(const BackendCounters& counters) {
  return {{"requests", counters.requests},
          {"runs", counters.runs},
          {"in_flight", counters.in_flight},
          {"highest_in_flight", counters.highest_in_flight},
          {"connections", counters.connections},
          {"highest_connections", counters.highest_connections},
          {"refused_connections", counters.refused_connections},
          {"probes", counters.probes},
          {"keys_seen", counters.keys_seen},
          {"cold_violations", counters.cold_violations},
          {"shed", counters.shed},
          {"cancelled", counters.cancelled},
          {"requests_while_draining", counters.requests_while_draining},
          {"runs_by_id", counters.runs_by_id}};
}

inline nlohmann::json StateJson(const Behaviour& behaviour, TimePoint now) {
  const Duration cold_left =
      std::max(behaviour.cold_until - now, Duration::zero());
  return {
      {"slots", behaviour.slots},
      {"queue", behaviour.queue},
      {"connection_limit", behaviour.connection_limit},
      {"cold_concurrency", behaviour.cold_concurrency},
      {"latency_ms",
       std::chrono::duration<double, std::milli>(behaviour.latency).count()},
      {"distribution", behaviour.distribution},
      {"cold_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(cold_left)
           .count()},
      {"draining", behaviour.draining},
      {"fail_fast", behaviour.fail_fast},
      {"hang", behaviour.hang}};
}

inline Duration FromMilliseconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value));
}

inline void SetState(Behaviour& behaviour,
                     const nlohmann::json& json,
                     TimePoint now) {
  behaviour.slots = json.value("slots", behaviour.slots);
  behaviour.queue = json.value("queue", behaviour.queue);
  behaviour.connection_limit =
      json.value("connection_limit", behaviour.connection_limit);
  behaviour.cold_concurrency =
      json.value("cold_concurrency", behaviour.cold_concurrency);
  behaviour.distribution = json.value("distribution", behaviour.distribution);
  behaviour.draining = json.value("draining", behaviour.draining);
  behaviour.fail_fast = json.value("fail_fast", behaviour.fail_fast);
  behaviour.hang = json.value("hang", behaviour.hang);
  if (json.contains("latency_ms"))
    behaviour.latency = FromMilliseconds(json["latency_ms"]);
  if (json.contains("cold_ms"))
    behaviour.cold_until = now + FromMilliseconds(json["cold_ms"]);
}

inline Duration SampleServiceTime(const Behaviour& behaviour,
                                  std::mt19937_64& random) {
  const double mean = std::chrono::duration<double>(behaviour.latency).count();
  double seconds = mean;
  if (mean > 0 && behaviour.distribution == "exponential") {
    seconds = std::exponential_distribution<>(1 / mean)(random);
  } else if (mean > 0 && behaviour.distribution == "lognormal") {
    // Sigma 1 puts the p99 at about six times the mean.
    constexpr double kSigma = 1;
    const double mu = std::log(mean) - kSigma * kSigma / 2;
    seconds = std::lognormal_distribution<>(mu, kSigma)(random);
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

inline bool IsCold(const Behaviour& behaviour, TimePoint now) {
  return now < behaviour.cold_until;
}

}  // namespace mangodoor

#endif  // STANDINS_BACKEND_MODEL_H_
