#include "request/request_trace.h"

#include <array>
#include <cstdio>

namespace mangodoor {
namespace {

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void AppendAttempt(std::string& out, const AttemptTrace& attempt) {
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(),
                "%s%s: waited %.1f ms, took %.1f ms, %s",
                attempt.hedge ? "hedge " : "", attempt.server.value().c_str(),
                Milliseconds(attempt.waited), Milliseconds(attempt.took),
                EndName(attempt.end));
  out += text.data();
  if (attempt.status != 0)
    out += " " + std::to_string(attempt.status);
  if (attempt.earlier_requests > 0)
    out += ", after " + std::to_string(attempt.earlier_requests) +
           " requests on its connection";
  if (!attempt.placement.known)
    return;
  std::snprintf(text.data(), text.size(), ", slowness %.2f%s known for %.1f ms",
                attempt.placement.slowness,
                attempt.placement.near_full ? ", nearly full," : "",
                Milliseconds(attempt.placement.age));
  out += text.data();
  if (attempt.placement.doubted) {
    std::snprintf(text.data(), text.size(), ", trial of %.1f ms expected",
                  Milliseconds(*attempt.placement.doubted));
    out += text.data();
  }
}

}  // namespace

const char* EndName(AttemptReport::End end) {
  using End = AttemptReport::End;
  switch (end) {
    case End::kResponse:
      return "response";
    case End::kUnavailable:
      return "unavailable";
    case End::kRefusedByServer:
      return "refused_by_server";
    case End::kServerWithdrawn:
      return "server_withdrawn";
    case End::kRequestRejected:
      return "request_rejected";
    case End::kNoConnection:
      return "no_connection";
    case End::kConnectionLost:
      return "connection_lost";
    case End::kBadResponse:
      return "bad_response";
    case End::kDeadline:
      return "deadline";
    case End::kCallerGone:
      return "caller_gone";
    case End::kCallerFault:
      return "caller_fault";
    case End::kCancelled:
      return "cancelled";
  }
  return "";
}

std::string Describe(const std::vector<AttemptTrace>& attempts) {
  std::string text;
  for (const AttemptTrace& attempt : attempts) {
    if (!text.empty())
      text += "; ";
    AppendAttempt(text, attempt);
  }
  return text;
}

}  // namespace mangodoor
