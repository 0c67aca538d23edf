#include <tclap/CmdLine.h>

#include <iostream>

#include "process/io/blocking_get.h"
#include "process/io/command_line.h"
#include "process/status/io/status_codec.h"
#include "process/status/io/status_text.h"

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kTimeLimit{5};
constexpr int kStatusOk = 200;

struct Options {
  Endpoint admin;
  bool audit = false;
  bool json = false;
};

std::string Format(const Options& options, const std::string& body) {
  if (options.json)
    return body;
  return options.audit ? FormatAudit(DecodeAudit(body))
                       : FormatStatus(DecodeStatus(body));
}

int Run(const Options& options) {
  const char* target = options.audit ? "/audit" : "/status";
  HttpGetResponse response;
  try {
    response = BlockingGet(options.admin, target, kTimeLimit);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return kExitUnavailable;
  }
  try {
    if (response.http_status != kStatusOk) {
      throw std::runtime_error(
          "status " + std::to_string(response.http_status) + ", expected 200");
    }
    std::cout << Format(options, response.body);
    return kExitSuccess;
  } catch (const std::exception& error) {
    std::cerr << "error: " << ToString(options.admin) << target << ": "
              << error.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Shows the current view of an instance. Exit codes: 0 shown, 1 the "
      "answer is not a status, 2 wrong use, 3 the instance cannot be reached.",
      ' ', MANGODOOR_VERSION);
  TCLAP::ValueArg<std::string> admin("a", "admin",
                                     "Admin endpoint of the instance", true, "",
                                     "ip:port", command);
  TCLAP::SwitchArg audit("u", "audit", "Show the audit trail", command);
  TCLAP::SwitchArg json("j", "json", "Print the response body unchanged",
                        command);
  if (const auto exit = mangodoor::ParseArguments(command, argc, argv))
    return *exit;
  mangodoor::Options options;
  options.audit = audit.getValue();
  options.json = json.getValue();
  try {
    options.admin = mangodoor::ParseEndpoint(admin.getValue());
  } catch (const std::invalid_argument& error) {
    std::cerr << "error: --admin: " << error.what() << "\n";
    return mangodoor::kExitUsageError;
  }
  return mangodoor::Run(options);
}
