#include <tclap/CmdLine.h>

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

#include "standins/http_standin.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

/** Serves the platform's instance list. A new list takes effect after a lag. */
class InstanceListService {
 public:
  InstanceListService(asio::io_context& context,
                      std::string list,
                      std::chrono::milliseconds lag)
      : context_(context), served_(std::move(list)), lag_(lag) {}

  std::optional<StandinResponse> Handle(const StandinRequest& request) {
    if (request.target() != "/instances")
      return MakeStandinResponse(http::status::not_found);
    if (request.method() == http::verb::get)
      return MakeStandinResponse(http::status::ok, served_);
    if (request.method() != http::verb::put)
      return MakeStandinResponse(http::status::method_not_allowed);
    ServeLater(request.body());
    return MakeStandinResponse(http::status::ok);
  }

 private:
  void ServeLater(const std::string& list) {
    auto timer = std::make_shared<asio::steady_timer>(context_, lag_);
    timer->async_wait(
        [this, timer, list](const boost::system::error_code& error) {
          if (!error)
            served_ = list;
        });
  }

  asio::io_context& context_;
  std::string served_;
  std::chrono::milliseconds lag_;
};

int Run(const std::string& listen,
        const std::string& path,
        std::chrono::milliseconds lag) {
  std::unique_ptr<InstanceListService> service;
  HttpStandin standin(ParseEndpoint(listen), [&](const StandinRequest& request,
                                                 const asio::yield_context&) {
    return service->Handle(request);
  });
  service = std::make_unique<InstanceListService>(standin.context(),
                                                  ReadFile(path), lag);
  standin.Run();
  return 0;
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Stand-in for the list of instances.", ' ',
                           MANGODOOR_VERSION);
    TCLAP::ValueArg<std::string> listen("l", "listen", "Address", true, "",
                                        "ip:port", command);
    TCLAP::ValueArg<std::string> list("d", "instances", "First list", true, "",
                                      "file", command);
    TCLAP::ValueArg<int> lag("g", "lag-ms", "Delay before a new list is served",
                             false, 0, "ms", command);
    command.parse(argc, argv);
    return mangodoor::Run(listen.getValue(), list.getValue(),
                          std::chrono::milliseconds(lag.getValue()));
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
