#include "version/io/json_reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "version/field_check.h"
#include "version/io/json_text.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;

constexpr char kEndpointAllowed[] = "IP:PORT or [IPV6]:PORT, port 1 to 65535";

std::string DescribeJson(const Json& json) {
  if (json.is_string())
    return Quoted(json.get_ref<const std::string&>());
  if (json.is_object())
    return "an object";
  if (json.is_array())
    return "a list";
  return json.dump();
}

void AddFault(ObjectReader& object,
              const char* field,
              std::string seen,
              std::string allowed) {
  object.faults.push_back(
      {object.path + "/" + field, std::move(seen), std::move(allowed)});
}

const Json* FindField(ObjectReader& object,
                      const char* field,
                      Presence presence,
                      const std::string& allowed) {
  if (!object.json)
    return nullptr;
  object.known.emplace_back(field);
  const auto found = object.json->find(field);
  if (found != object.json->end())
    return &*found;
  if (presence == Presence::kRequired)
    AddFault(object, field, "no value", allowed);
  return nullptr;
}

// Converts the address to its canonical form, so that duplicates are found.
std::optional<Endpoint> EndpointFrom(const Json& json) {
  if (!json.is_string())
    return std::nullopt;
  try {
    Endpoint endpoint = ParseEndpoint(json.get<std::string>());
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error)
      return std::nullopt;
    endpoint.address = address.to_string();
    return endpoint;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::optional<int64_t> IntegerFrom(const Json& json,
                                   const Range<int64_t>& range) {
  if (json.is_number_unsigned() &&
      json.get<uint64_t>() > static_cast<uint64_t>(range.highest))
    return std::nullopt;
  if (!json.is_number_integer())
    return std::nullopt;
  const auto value = json.get<int64_t>();
  if (value < range.lowest || value > range.highest)
    return std::nullopt;
  return value;
}

}  // namespace

ObjectReader OpenObject(const Json& json,
                        std::string path,
                        std::vector<Fault>& faults) {
  ObjectReader object{nullptr, std::move(path), faults, {}};
  if (json.is_object())
    object.json = &json;
  else
    faults.push_back({object.path, DescribeJson(json), "an object"});
  return object;
}

void RejectUnknownFields(ObjectReader& object) {
  if (!object.json)
    return;
  std::string names;
  for (const std::string& name : object.known)
    names += (names.empty() ? "" : ", ") + name;
  for (const auto& item : object.json->items()) {
    const auto& known = object.known;
    if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
      object.faults.push_back(
          {object.path + "/" + EscapePointerToken(item.key()),
           "an unknown field", "the fields " + names});
    }
  }
}

void ReadText(ObjectReader& object,
              const char* field,
              Presence presence,
              std::string& value,
              Secrecy secrecy) {
  const Json* json = FindField(object, field, presence, "a text");
  if (!json)
    return;
  if (json->is_string()) {
    value = json->get<std::string>();
    return;
  }
  AddFault(object, field,
           secrecy == Secrecy::kSecret ? "a value that is not a text"
                                       : DescribeJson(*json),
           "a text");
}

void ReadFlag(ObjectReader& object, const char* field, bool& value) {
  const Json* json = FindField(object, field, Presence::kOptional, "");
  if (!json)
    return;
  if (json->is_boolean())
    value = json->get<bool>();
  else
    AddFault(object, field, DescribeJson(*json), "true or false");
}

void ReadEndpoint(ObjectReader& object,
                  const char* field,
                  Presence presence,
                  Endpoint& value) {
  const Json* json = FindField(object, field, presence, kEndpointAllowed);
  if (json)
    value = DecodeEndpoint(*json, object.path + "/" + field, object.faults);
}

void ReadInteger(ObjectReader& object,
                 const char* field,
                 Presence presence,
                 const Range<int64_t>& range,
                 int64_t& value) {
  const Json* json = FindField(object, field, presence, DescribeRange(range));
  if (!json)
    return;
  if (const std::optional<int64_t> integer = IntegerFrom(*json, range))
    value = *integer;
  else
    AddFault(object, field, DescribeJson(*json), DescribeRange(range));
}

void ReadInteger(ObjectReader& object,
                 const char* field,
                 Presence presence,
                 const Range<int64_t>& range,
                 int& value) {
  int64_t wide = value;
  ReadInteger(object, field, presence, range, wide);
  value = static_cast<int>(wide);
}

void ReadNumber(ObjectReader& object,
                const char* field,
                Presence presence,
                const Range<double>& range,
                double& value) {
  const Json* json = FindField(object, field, presence, DescribeRange(range));
  if (!json)
    return;
  const double number = json->is_number() ? json->get<double>() : 0;
  if (json->is_number() && number >= range.lowest && number <= range.highest)
    value = number;
  else
    AddFault(object, field, DescribeJson(*json), DescribeRange(range));
}

void ReadMilliseconds(ObjectReader& object,
                      const char* field,
                      const Range<int64_t>& range,
                      std::chrono::milliseconds& value) {
  int64_t count = value.count();
  ReadInteger(object, field, Presence::kOptional, range, count);
  value = std::chrono::milliseconds(count);
}

const Json* ReadList(ObjectReader& object,
                     const char* field,
                     Presence presence) {
  const Json* json = FindField(object, field, presence, "a list");
  if (!json || json->is_array())
    return json;
  AddFault(object, field, DescribeJson(*json), "a list");
  return nullptr;
}

Endpoint DecodeEndpoint(const Json& json,
                        const std::string& path,
                        std::vector<Fault>& faults) {
  const std::optional<Endpoint> endpoint = EndpointFrom(json);
  if (!endpoint)
    faults.push_back({path, DescribeJson(json), kEndpointAllowed});
  return endpoint.value_or(Endpoint());
}

}  // namespace mangodoor
