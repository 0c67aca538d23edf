#include "soak_fleet/soak_caller.h"

#include <array>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRequestTimeout(3000);
constexpr seconds kAddressLifetime(2);
// Time in which bytes that follow a last response arrive.
constexpr milliseconds kCloseTimeout(100);
// A larger body has no end; the caller closes the connection.
constexpr uint64_t kMaxResponseBody = 1024 * 1024;
// Every third caller uses its open connections as long as they last.
constexpr int kLoyalCallers = 3;

// Small and larger than the buffers of an instance.
constexpr std::array<size_t, 11> kResponseSizes{
    0, 40, 900, 0, 5000, 40000, 90000, 300000, 65537, 70000, 80000};
constexpr std::array<size_t, 4> kRequestSizes{10, 3000, 20000, 100000};

struct RequestKind {
  const char* method;
  bool has_body;
  bool chunked;
};
constexpr std::array<RequestKind, 7> kRequestKinds{{
    {"GET", false, false},
    {"POST", false, false},
    {"HEAD", false, false},
    {"POST", true, false},
    {"GET", false, false},
    {"POST", true, true},
    {"GET", false, false},
}};

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string MakeRequestBody(const std::string& id, size_t size) {
  std::string body;
  while (body.size() < size)
    body += id + ";";
  return body;
}

}  // namespace

void SetResponse(ObservedRequest& request, const ClientResponse& response) {
  const auto field = [&response](const char* name) {
    const auto found = response.fields.find(name);
    return found == response.fields.end() ? std::string() : found->second;
  };
  request.ended_at = Now();
  request.status = response.status;
  request.response_id = field("X-Request-Id");
  request.signature = field("X-Server-Signature");
  request.body = DigestOf(response.body);
  request.malformed = response.malformed;
}

SoakCaller::SoakCaller(const PlatformFleet& fleet,
                       int number,
                       SoakObserver observer)
    : fleet_(fleet), number_(number), observer_(std::move(observer)) {}

void SoakCaller::SendNext() {
  CheckIdleConnections();
  LookUp();
  const Endpoint* chosen = ChooseAddress();
  if (!chosen)
    return;
  const Endpoint address = *chosen;
  ObservedRequest request = NextRequest(address);
  const auto index = static_cast<size_t>(request_count_++);
  const RequestKind& kind = kRequestKinds.at(index % kRequestKinds.size());
  ClientRequest message{request.method, request.path,
                        PlatformFleet::FieldsOf(request.id), ""};
  if (kind.has_body) {
    message.body = MakeRequestBody(
        request.id, kRequestSizes.at(index / 7 % kRequestSizes.size()));
  }
  message.chunked = kind.chunked;
  message.max_response_body = kMaxResponseBody;
  request.sent_body_hash = DigestOf(message.body).hash;
  Connection& connection = connections_[address];
  if (!connection.http)
    connection.http = std::make_unique<HttpConnection>(fleet_.RouteTo(address));
  connection.last_id = request.id;
  request.sent_at = Now();
  const ClientResponse response =
      connection.http->Call(message, kRequestTimeout);
  SetResponse(request, response);
  observer_.on_request(request);
  if (response.status != 0 && response.closes) {
    ReportStray(connection,
                connection.http->ReadUnexpectedUntilClose(kCloseTimeout).bytes);
  }
  if (response.status == 0 || response.closes)
    connections_.erase(address);
  if (response.status == 0)
    addresses_.clear();
}

void SoakCaller::Finish() {
  for (const auto& [address, connection] : connections_) {
    ReportStray(connection,
                connection.http->ReadUnexpectedUntilClose(kCloseTimeout).bytes);
  }
  connections_.clear();
}

void SoakCaller::LookUp() {
  if (!addresses_.empty() && Now() - looked_up_at_ <= kAddressLifetime)
    return;
  const auto found =
      fleet_.Lookup((number_ + request_count_) % fleet_.instances());
  if (!found.empty())
    addresses_ = found;
  looked_up_at_ = Now();
}

void SoakCaller::CheckIdleConnections() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    const UnexpectedBytes unexpected = it->second.http->ReadUnexpected();
    ReportStray(it->second, unexpected.bytes);
    const bool usable = unexpected.bytes.empty() && !unexpected.closed;
    it = usable ? std::next(it) : connections_.erase(it);
  }
}

const Endpoint* SoakCaller::ChooseAddress() const {
  const auto number = static_cast<size_t>(request_count_);
  if (number_ % kLoyalCallers == 0 && !connections_.empty()) {
    auto it = connections_.begin();
    std::advance(it, number % connections_.size());
    return &it->first;
  }
  return addresses_.empty() ? nullptr : &addresses_[number % addresses_.size()];
}

ObservedRequest SoakCaller::NextRequest(const Endpoint& address) const {
  const auto index = static_cast<size_t>(request_count_);
  ObservedRequest request;
  request.id =
      "c" + std::to_string(number_) + "-" + std::to_string(request_count_);
  request.method = kRequestKinds.at(index % kRequestKinds.size()).method;
  request.idempotent = request.method != "POST";
  const RequestedBody body{kResponseSizes.at(index % kResponseSizes.size()),
                           index / 8 % 2 == 1};
  request.path =
      TargetFor((request.idempotent ? "/work/" : "/order/") + request.id, body);
  for (int i = 0; i < fleet_.instances(); ++i) {
    if (fleet_.caller_endpoint(i) == address)
      request.instance = i;
  }
  return request;
}

void SoakCaller::ReportStray(const Connection& connection,
                             const std::string& bytes) {
  if (!bytes.empty())
    observer_.on_stray_bytes({connection.last_id, bytes});
}

}  // namespace mangodoor
