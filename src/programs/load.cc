#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstdint>
#include <iostream>

#include "process/io/command_line.h"
#include "process/io/text_file.h"
#include "process/load/io/load_caller.h"
#include "process/load/load_run_report.h"
#include "process/system_clock.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;

constexpr size_t kMaxBodyBytes = 128 * 1024 * 1024;
constexpr size_t kMaxKeyBytes = 8 * 1024;

/** How many requests are sent, and when. */
struct LoadPlan {
  uint64_t requests = 0;
  int callers = 1;
  /**
   * Time between the due times of successive requests; zero sends each request
   * as soon as possible.
   */
  Duration interval{};
};

struct LoadRun {
  asio::io_context context{1};
  SystemClock clock;
  LoadPlan plan;
  TimePoint start;
  uint64_t next_request = 0;
  LoadRunReport report;
};

// Sends requests until none is left. With a rate, the latency of a request that
// starts late counts from its due time, so that the time it waited behind slow
// responses is included.
void RunCaller(LoadRun& run, LoadCaller& caller, asio::yield_context yield) {
  while (run.next_request < run.plan.requests) {
    const auto number = static_cast<int64_t>(run.next_request++);
    TimePoint due = run.clock.Now();
    if (run.plan.interval > Duration::zero()) {
      due = run.start + number * run.plan.interval;
      // Waits for a duration because `due` is a time of `run.clock`, which, in
      // contrast to the timer's clock, also runs during suspend.
      asio::steady_timer timer(run.context, due - run.clock.Now());
      timer.async_wait(yield);
    }
    AddRequest(run.report, caller.SendRequest(due, yield));
  }
}

int Run(const LoadPlan& plan,
        const CallerOptions& options,
        bool allow_refusals) {
  LoadRun run;
  run.plan = plan;
  run.start = run.clock.Now();
  for (int i = 0; i < plan.callers; ++i) {
    asio::spawn(run.context, [&run, &options, i](asio::yield_context yield) {
      LoadCaller caller(run.context, run.clock, options,
                        static_cast<size_t>(i));
      RunCaller(run, caller, yield);
    });
  }
  run.context.run();
  std::cout << FormatReport(run.report, run.clock.Now() - run.start);
  const uint64_t succeeded =
      run.report.served + (allow_refusals ? run.report.refused : 0);
  return succeeded == run.report.requests ? kExitSuccess : kExitFailure;
}

struct Arguments {
  explicit Arguments(TCLAP::CmdLine& command)
      : bootstrap("a",
                  "address",
                  "Caller address of an instance to ask first for "
                  "addresses; can be given several times",
                  true,
                  "ip:port",
                  command),
        key("k", "key", "API key to send", false, "", "key", command),
        key_file("K",
                 "key-file",
                 "File that contains the API key",
                 false,
                 "",
                 "file",
                 command),
        method("m", "method", "HTTP method", false, "GET", "method", command),
        target("t", "target", "Path and query", false, "/", "path", command),
        body_file("b",
                  "body-file",
                  "File to send as the body",
                  false,
                  "",
                  "file",
                  command),
        callers("c",
                "callers",
                "Number of concurrent callers, each with its own "
                "connection",
                false,
                4,
                "number",
                command),
        requests("n",
                 "requests",
                 "Number of requests, without --rate",
                 false,
                 100,
                 "number",
                 command),
        rate("r",
             "rate",
             "Requests per second, over all callers",
             false,
             0,
             "number",
             command),
        duration("d",
                 "duration",
                 "Length of the run in seconds, with --rate",
                 false,
                 10,
                 "seconds",
                 command),
        time_limit("T",
                   "time-limit",
                   "Time limit of an attempt in ms",
                   false,
                   10000,
                   "ms",
                   command),
        attempts("A",
                 "attempts",
                 "Maximum attempts for one request",
                 false,
                 5,
                 "number",
                 command),
        allow_refusals("R",
                       "allow-refusals",
                       "Exit with 0 even if requests "
                       "were refused and did not run",
                       command) {}

  TCLAP::MultiArg<std::string> bootstrap;
  TCLAP::ValueArg<std::string> key;
  TCLAP::ValueArg<std::string> key_file;
  TCLAP::ValueArg<std::string> method;
  TCLAP::ValueArg<std::string> target;
  TCLAP::ValueArg<std::string> body_file;
  TCLAP::ValueArg<int> callers;
  TCLAP::ValueArg<int64_t> requests;
  TCLAP::ValueArg<double> rate;
  TCLAP::ValueArg<double> duration;
  TCLAP::ValueArg<int> time_limit;
  TCLAP::ValueArg<int> attempts;
  TCLAP::SwitchArg allow_refusals;
};

void RequireRange(const char* name, double value, double low, double high) {
  if (!(value >= low && value <= high)) {
    throw std::invalid_argument(
        std::string(name) + ": " + std::to_string(value) +
        "; allowed: " + std::to_string(low) + " to " + std::to_string(high));
  }
}

LoadPlan PlanFrom(Arguments& arguments) {
  constexpr double kMaxRequests = 1e9;
  RequireRange("--callers", arguments.callers.getValue(), 1, 10000);
  RequireRange("--requests", static_cast<double>(arguments.requests.getValue()),
               1, kMaxRequests);
  LoadPlan plan;
  plan.callers = arguments.callers.getValue();
  plan.requests = static_cast<uint64_t>(arguments.requests.getValue());
  if (!arguments.rate.isSet())
    return plan;
  const double rate = arguments.rate.getValue();
  RequireRange("--rate", rate, 0.001, 1e6);
  RequireRange("--duration", arguments.duration.getValue(), 0.001, 1e6);
  RequireRange("--rate times --duration", rate * arguments.duration.getValue(),
               1, kMaxRequests);
  plan.requests = static_cast<uint64_t>(rate * arguments.duration.getValue());
  plan.interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / rate));
  return plan;
}

// Removes the line break at the end of a key file, which is not part of the
// key.
std::string KeyFrom(Arguments& arguments) {
  if (!arguments.key_file.isSet())
    return arguments.key.getValue();
  std::string key = ReadTextFile(arguments.key_file.getValue(), kMaxKeyBytes);
  key.erase(key.find_last_not_of("\r\n") + 1);
  return key;
}

// Throws unless the text consists of printable ASCII characters without spaces:
// other characters could arrive altered or break the request header. `first` is
// the character that the text must begin with, or '\0' for any.
void RequirePrintable(const char* name, const std::string& text, char first) {
  const bool printable = std::all_of(
      text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
  if (!printable || (first != '\0' && text.front() != first)) {
    throw std::invalid_argument(std::string(name) +
                                ": allowed: printable characters without "
                                "spaces; a target begins with '/'");
  }
}

CallerOptions OptionsFrom(Arguments& arguments) {
  RequireRange("--time-limit", arguments.time_limit.getValue(), 1, 3600000);
  RequireRange("--attempts", arguments.attempts.getValue(), 1, 100);
  CallerOptions options;
  for (const std::string& address : arguments.bootstrap.getValue())
    options.bootstrap.push_back(ParseEndpoint(address));
  options.key = KeyFrom(arguments);
  RequirePrintable("--key", options.key, '\0');
  options.method = arguments.method.getValue();
  if (boost::beast::http::string_to_verb(options.method) ==
      boost::beast::http::verb::unknown)
    throw std::invalid_argument("--method: allowed: an HTTP method");
  options.target = arguments.target.getValue();
  RequirePrintable("--target", options.target, '/');
  if (arguments.body_file.isSet())
    options.body = ReadTextFile(arguments.body_file.getValue(), kMaxBodyBytes);
  options.time_limit =
      std::chrono::milliseconds(arguments.time_limit.getValue());
  options.max_attempts = arguments.attempts.getValue();
  return options;
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Sends requests as a caller does: asks which addresses to use, connects, "
      "sends an API key, and retries requests that did not run. Exit codes: 0 "
      "all requests served, 1 some were not, 2 wrong use, 3 a file cannot be "
      "read.",
      ' ', MANGODOOR_VERSION);
  mangodoor::Arguments arguments(command);
  if (const auto exit = mangodoor::ParseArguments(command, argc, argv))
    return *exit;
  try {
    const mangodoor::LoadPlan plan = mangodoor::PlanFrom(arguments);
    const mangodoor::CallerOptions options = mangodoor::OptionsFrom(arguments);
    return mangodoor::Run(plan, options, arguments.allow_refusals.getValue());
  } catch (const std::invalid_argument& error) {
    std::cerr << "error: " << error.what() << "\n";
    return mangodoor::kExitUsageError;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return mangodoor::kExitUnavailable;
  }
}
