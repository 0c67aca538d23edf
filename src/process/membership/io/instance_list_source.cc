#include "process/membership/io/instance_list_source.h"

#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "process/io/http_get.h"
#include "version/io/json_text.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kAnswerTimeout(2000);

Instance DecodeInstance(const Json& json) {
  Instance instance;
  instance.id = InstanceId(json.at("id").get<std::string>());
  instance.data_centre =
      DataCentreId(json.at("data_centre").get<std::string>());
  instance.caller_endpoint =
      ParseEndpoint(json.at("caller").get<std::string>());
  instance.peer_endpoint = ParseEndpoint(json.at("peer").get<std::string>());
  const auto state = json.value("state", std::string("live"));
  if (state != "live" && state != "leaving")
    throw std::runtime_error("state \"" + state +
                             "\"; expected \"live\" or \"leaving\"");
  instance.leaving = state == "leaving";
  return instance;
}

std::optional<InstanceList> ToList(const HttpResult& result) {
  if (!result.error.empty() || result.response.result_int() != 200)
    return std::nullopt;
  try {
    return DecodeInstanceList(result.response.body());
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

}  // namespace

HttpInstanceListSource::HttpInstanceListSource(boost::asio::io_context& context,
                                               Endpoint service)
    : context_(context), service_(std::move(service)) {}

void HttpInstanceListSource::Read(Callback done) {
  SendGet(context_, service_, MakeGet(service_, "/instances"), kAnswerTimeout,
          [done = std::move(done)](const HttpResult& result) {
            done(ToList(result));
          });
}

InstanceList DecodeInstanceList(const std::string& text) {
  try {
    const std::optional<Json> parsed = ParseUntrustedJson(text);
    if (!parsed)
      throw std::runtime_error("not JSON, or nested too deeply");
    const Json& json = *parsed;
    InstanceList list;
    if (!json.at("revision").is_number_unsigned())
      throw std::runtime_error("revision is not an unsigned number");
    list.revision = json.at("revision").get<uint64_t>();
    std::set<InstanceId> ids;
    for (const Json& entry : json.at("instances")) {
      list.instances.push_back(DecodeInstance(entry));
      const InstanceId& id = list.instances.back().id;
      if (id.empty() || !ids.insert(id).second)
        throw std::runtime_error("id \"" + id.value() +
                                 "\" is empty or listed twice");
    }
    return list;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("instance list: ") + error.what());
  }
}

}  // namespace mangodoor
