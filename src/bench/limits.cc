#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench/lib/limits_fleet.h"

namespace mangodoor {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Deployment {
  const char* name;
  Duration message_delay;
};

constexpr Deployment kDeployments[] = {
    {"association", milliseconds(1)},
    {"crate-exchange", microseconds(500)},
};

/**
 * Eight client accounts, of which a few are large. Each sends `load` times its
 * rate.
 */
std::vector<BenchAccount> MakeAccounts(double load) {
  return {{"a800", 800, 100, load}, {"a600", 600, 80, load},
          {"a300", 300, 40, load},  {"a100", 100, 20, load},
          {"a60", 60, 15, load},    {"a40", 40, 12, load},
          {"a30", 30, 10, load},    {"a20", 20, 10, load}};
}

std::vector<LimitsCase> MakeCases(const Deployment& deployment) {
  std::vector<LimitsCase> cases;
  const auto add = [&](const std::string& name, double load,
                       double share_on_one_instance) {
    LimitsCase added;
    added.name = std::string(deployment.name) + " " + name;
    added.message_delay = deployment.message_delay;
    added.accounts = MakeAccounts(load);
    added.share_on_one_instance = share_on_one_instance;
    cases.push_back(added);
    return &cases.back();
  };
  for (const int percent : {50, 80, 95}) {
    const std::string load_text = std::to_string(percent) + "%";
    const double load = percent / 100.0;
    add("even " + load_text, load, 0);
    add("skewed " + load_text, load, 0.8);
    add("skew-moves " + load_text, load, 0.8)->shift_interval = seconds(5);
    add("even one-dead " + load_text, load, 0)->one_instance_dead = true;
    add("skewed one-dead " + load_text, load, 0.8)->one_instance_dead = true;
  }
  add("even one-sends-5x", 0.8, 0)->accounts[1].load = 5;
  add("skewed one-sends-5x", 0.8, 0.8)->accounts[1].load = 5;
  return cases;
}

double PerThousand(uint64_t part, uint64_t whole) {
  return whole == 0
             ? 0
             : 1000.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

json MakeRecord(const std::string& measure,
                const char* unit,
                double product,
                double baseline) {
  json ratio;
  if (baseline != 0)
    ratio = product / baseline;
  return {{"measure", measure},
          {"unit", unit},
          {"product", product},
          {"baseline", baseline},
          {"ratio", ratio}};
}

void PrintHeader() {
  std::printf("%-36s %9s %9s %9s %9s %6s %8s %8s %7s %7s %7s\n", "case",
              "wrongful", "split", "worst", "missed", "over", "msg/s", "most",
              "waited", "p50 ms", "p99 ms");
}

/**
 * Sums the outcomes of the client accounts that keep to their rates;
 * `over_limit` is summed over all client accounts.
 */
AccountOutcome SumAccounts(const LimitsCase& limits_case,
                           const LimitsResult& result) {
  AccountOutcome total;
  for (size_t i = 0; i < result.accounts.size(); ++i) {
    const AccountOutcome& outcome = result.accounts[i];
    total.over_limit += outcome.over_limit;
    if (limits_case.accounts[i].load > 1)
      continue;
    total.offered += outcome.offered;
    total.admitted += outcome.admitted;
    total.wrongly_refused += outcome.wrongly_refused;
    total.split_wrongly_refused += outcome.split_wrongly_refused;
    total.single_bucket_admitted += outcome.single_bucket_admitted;
  }
  return total;
}

/**
 * By how many requests per 1000 offered ones a single bucket admits more than
 * the fleet; 0 if it admits fewer.
 */
double MissedPerThousand(const AccountOutcome& total) {
  const uint64_t missed = total.single_bucket_admitted > total.admitted
                              ? total.single_bucket_admitted - total.admitted
                              : 0;
  return PerThousand(missed, total.offered);
}

/**
 * Wrongful refusals per 1000 requests of the worst client account that keeps to
 * its rate.
 */
double WorstWrongfulPerThousand(const LimitsCase& limits_case,
                                const LimitsResult& result) {
  double worst = 0;
  for (size_t i = 0; i < result.accounts.size(); ++i) {
    const AccountOutcome& outcome = result.accounts[i];
    if (limits_case.accounts[i].load <= 1)
      worst = std::max(worst,
                       PerThousand(outcome.wrongly_refused, outcome.offered));
  }
  return worst;
}

void MeasureCase(const LimitsCase& limits_case,
                 bool by_account,
                 json& records) {
  const LimitsResult result = MeasureLimits(limits_case);
  const AccountOutcome total = SumAccounts(limits_case, result);
  const double wrongful = PerThousand(total.wrongly_refused, total.offered);
  const double split = PerThousand(total.split_wrongly_refused, total.offered);
  std::printf(
      "%-36s %9.3f %9.3f %9.3f %9.3f %6llu %8.1f %8.1f %7.3f %7.2f %7.2f\n",
      limits_case.name.c_str(), wrongful, split,
      WorstWrongfulPerThousand(limits_case, result), MissedPerThousand(total),
      static_cast<unsigned long long>(total.over_limit),
      result.messages_per_s_mean, result.messages_per_s_max,
      result.waited_share, ToMilliseconds(result.wait_p50),
      ToMilliseconds(result.wait_p99));
  records.push_back(MakeRecord("wrongful refusals, " + limits_case.name,
                               "per 1000 requests", wrongful, split));
  records.push_back(
      MakeRecord("admissions over rate and burst, " + limits_case.name,
                 "requests", static_cast<double>(total.over_limit), 0));
  records.push_back(MakeRecord("lease messages, " + limits_case.name,
                               "per second and instance",
                               result.messages_per_s_mean, 0));
  for (size_t i = 0; i < result.accounts.size(); ++i) {
    const AccountOutcome& outcome = result.accounts[i];
    const BenchAccount& account = limits_case.accounts[i];
    if (account.load <= 1 && !by_account)
      continue;
    std::printf(
        "  %-8s offered %7llu admitted %7llu one bucket %7llu "
        "split %7llu wrongful %7.3f per 1000\n",
        account.name.c_str(), static_cast<unsigned long long>(outcome.offered),
        static_cast<unsigned long long>(outcome.admitted),
        static_cast<unsigned long long>(outcome.single_bucket_admitted),
        static_cast<unsigned long long>(outcome.split_admitted),
        PerThousand(outcome.wrongly_refused, outcome.offered));
    if (account.load > 1)
      records.push_back(
          MakeRecord("admitted of 5 times the rate against one "
                     "bucket, " +
                         limits_case.name,
                     "requests", static_cast<double>(outcome.admitted),
                     static_cast<double>(outcome.single_bucket_admitted)));
  }
}

void AppendRecords(const std::string& path, const json& records) {
  json list = json::array();
  std::ifstream in(path);
  if (in)
    list = json::parse(in);
  in.close();
  list.insert(list.end(), records.begin(), records.end());
  std::ofstream(path) << list.dump(2) << "\n";
}

int Run(const std::string& path, const std::string& filter, bool by_account) {
  json records = json::array();
  std::printf(
      "Wrongful refusals per 1000 requests offered: refused, although "
      "a single bucket\nfor the whole fleet admits them. split: with an even "
      "split of each rate. worst: of the client account with the most. "
      "missed: requests that a single bucket admits in addition.\n");
  PrintHeader();
  for (const Deployment& deployment : kDeployments) {
    for (const LimitsCase& limits_case : MakeCases(deployment)) {
      if (limits_case.name.find(filter) != std::string::npos)
        MeasureCase(limits_case, by_account, records);
    }
  }
  if (!path.empty())
    AppendRecords(path, records);
  return 0;
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Measures how a fleet enforces rates and bursts.",
                           ' ', MANGODOOR_VERSION);
    TCLAP::ValueArg<std::string> path("", "json",
                                      "JSON file to append records to", false,
                                      "", "file", command);
    TCLAP::ValueArg<std::string> filter(
        "", "filter", "Run only cases whose name contains this", false, "",
        "text", command);
    TCLAP::SwitchArg by_account("", "accounts", "Print each client account",
                                command);
    command.parse(argc, argv);
    return mangodoor::Run(path.getValue(), filter.getValue(),
                          by_account.getValue());
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
