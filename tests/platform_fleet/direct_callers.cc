#include "platform_fleet/direct_callers.h"

#include <memory>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kThinkTime(100);
constexpr milliseconds kReconnectInterval(5);
constexpr milliseconds kTimeLimit(500);

// Separates the parts of a request id: instance, caller and number.
constexpr char kSeparator = '-';

}  // namespace

DirectCallers::DirectCallers(const PlatformFleet& fleet,
                             const std::vector<int>& instances,
                             int callers_per_instance)
    : fleet_(fleet) {
  for (const int instance : instances) {
    for (int caller = 0; caller < callers_per_instance; ++caller)
      threads_.emplace_back(
          [this, instance, caller] { Run(instance, caller); });
  }
}

DirectCallers::~DirectCallers() {
  Stop();
}

void DirectCallers::Stop() {
  stop_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

int DirectCallers::InstanceOf(const std::string& request_id) {
  return std::stoi(request_id.substr(0, request_id.find(kSeparator)));
}

void DirectCallers::Run(int instance, int caller) {
  const Endpoint address = fleet_.caller_endpoint(instance);
  std::unique_ptr<HttpConnection> connection;
  for (int number = 0; !stop_; ++number) {
    if (!connection)
      connection = std::make_unique<HttpConnection>(address);
    const std::string id = std::to_string(instance) + kSeparator +
                           std::to_string(caller) + kSeparator +
                           std::to_string(number);
    const ClientResponse response = connection->Call(
        {"GET", "/work/x", PlatformFleet::FieldsOf(id, kTimeLimit), ""});
    if (response.status == 0 || response.closes)
      connection.reset();
    answered_ += response.status == 200 ? 1 : 0;
    std::this_thread::sleep_for(response.status == 0 ? kReconnectInterval
                                                     : kThinkTime);
  }
}

}  // namespace mangodoor
