#include <tclap/CmdLine.h>

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>

#include "standins/http_standin.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Longest wait that a read can ask for with "Prefer: wait=N" (RFC 7240).
constexpr int kMaxWaitSeconds = 60;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    throw std::runtime_error(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

/**
 * The ETag of a document: its version in quotes, or "0" if it has none. The
 * document is not validated.
 */
std::string EtagOf(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false, true);
  const bool has_version = json.is_object() && json.contains("version") &&
                           json["version"].is_number_unsigned();
  return "\"" + (has_version ? json["version"].dump() : "0") + "\"";
}

/** N of "Prefer: wait=N", at most kMaxWaitSeconds; 0 if it is missing. */
int RequestedWaitSeconds(const StandinRequest& request) {
  const std::string prefer(request[http::field::prefer]);
  const std::string name = "wait=";
  const size_t position = prefer.find(name);
  if (position == std::string::npos)
    return 0;
  return std::min(kMaxWaitSeconds,
                  std::atoi(prefer.c_str() + position + name.size()));
}

/**
 * kStale: reads do not see newly published documents. kDown: connections are
 * closed without a response.
 */
enum class Mode { kOk, kStale, kDown };

/**
 * A stand-in for the configuration service. It has one document, which tests
 * can replace.
 */
class Configuration {
 public:
  Configuration(asio::io_context& context, std::string document)
      : context_(context),
        published_(std::move(document)),
        served_(published_) {}

  std::optional<StandinResponse> Handle(const StandinRequest& request,
                                        const asio::yield_context& yield) {
    const std::string target(request.target());
    const bool put = request.method() == http::verb::put;
    if (target == "/document" && request.method() == http::verb::get)
      return Read(request, yield);
    if (target == "/standin/document" && put)
      return Publish(request.body());
    if (target == "/standin/mode" && put)
      return SetMode(request.body());
    if (target == "/standin/calls")
      return MakeStandinResponse(http::status::ok, CountersText());
    return MakeStandinResponse(http::status::not_found);
  }

 private:
  std::optional<StandinResponse> Read(const StandinRequest& request,
                                      const asio::yield_context& yield) {
    ++reads_;
    const std::string known_etag(request[http::field::if_none_match]);
    if (mode_ != Mode::kDown && known_etag == EtagOf(served_))
      WaitForChange(RequestedWaitSeconds(request), yield);
    if (mode_ == Mode::kDown)
      return std::nullopt;
    const std::string etag = EtagOf(served_);
    StandinResponse response =
        known_etag == etag ? MakeStandinResponse(http::status::not_modified)
                           : MakeStandinResponse(http::status::ok, served_);
    response.set(http::field::etag, etag);
    return response;
  }

  // Returns early if a document is published or the mode is set.
  void WaitForChange(int seconds, const asio::yield_context& yield) {
    if (seconds <= 0)
      return;
    asio::steady_timer timer(context_, std::chrono::seconds(seconds));
    waiting_reads_.insert(&timer);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    waiting_reads_.erase(&timer);
  }

  void EndWaits() {
    for (asio::steady_timer* timer : waiting_reads_)
      timer->cancel();
  }

  StandinResponse Publish(const std::string& document) {
    published_ = document;
    if (mode_ != Mode::kStale)
      served_ = published_;
    EndWaits();
    return MakeStandinResponse(http::status::ok);
  }

  StandinResponse SetMode(const std::string& name) {
    if (name != "ok" && name != "stale" && name != "down")
      return MakeStandinResponse(http::status::bad_request,
                                 "expected ok, stale or down\n");
    mode_ = name == "ok"      ? Mode::kOk
            : name == "stale" ? Mode::kStale
                              : Mode::kDown;
    if (mode_ != Mode::kStale)
      served_ = published_;
    EndWaits();
    return MakeStandinResponse(http::status::ok);
  }

  std::string CountersText() const {
    return nlohmann::json{{"calls", reads_}, {"waiting", waiting_reads_.size()}}
               .dump() +
           "\n";
  }

  asio::io_context& context_;
  /** The document that was published last. */
  std::string published_;
  /** The document that reads return; can be older in mode kStale. */
  std::string served_;
  Mode mode_ = Mode::kOk;
  std::set<asio::steady_timer*> waiting_reads_;
  /** Number of reads of the document, including those that wait. */
  uint64_t reads_ = 0;
};

int Run(const std::string& listen, const std::string& path) {
  std::unique_ptr<Configuration> configuration;
  HttpStandin standin(
      ParseEndpoint(listen),
      [&](const StandinRequest& request, const asio::yield_context& yield) {
        return configuration->Handle(request, yield);
      });
  configuration =
      std::make_unique<Configuration>(standin.context(), ReadFile(path));
  standin.Run();
  return 0;
}

}  // namespace
}  // namespace mangodoor

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Stand-in for the configuration service.", ' ',
                           MANGODOOR_VERSION);
    TCLAP::ValueArg<std::string> listen("l", "listen", "Address", true, "",
                                        "ip:port", command);
    TCLAP::ValueArg<std::string> document("d", "document", "First document",
                                          true, "", "file", command);
    command.parse(argc, argv);
    return mangodoor::Run(listen.getValue(), document.getValue());
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
