#include "connection/response_fault.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

// A server can send any number of faulty responses and ids of any length, but
// a log line must stay below 4 KiB.
constexpr size_t kMaxRecords = 6;

void AppendRecord(std::string& text, const ResponseFaultRecord& record) {
  if (!text.empty())
    text += "; ";
  text += record.server.value() + ": " + Name(record.fault);
  if (record.status != 0)
    text += " " + std::to_string(record.status);
  if (!record.response_id.empty())
    text += " of " + record.response_id;
}

}  // namespace

const char* Name(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kExtraResponse:
      return "extra_response";
    case ResponseFault::kNoRequestId:
      return "no_request_id";
    case ResponseFault::kRepeatedField:
      return "repeated_field";
    case ResponseFault::kOtherRequestId:
      return "other_request_id";
    case ResponseFault::kBytesAfterResponse:
      return "bytes_after_response";
    case ResponseFault::kBytesWhileIdle:
      return "bytes_while_idle";
    case ResponseFault::kMalformedHead:
      return "malformed_head";
    case ResponseFault::kHeadTooLarge:
      return "head_too_large";
    case ResponseFault::kProtocolSwitched:
      return "protocol_switched";
    case ResponseFault::kTooManyResponses:
      return "too_many_responses";
    case ResponseFault::kTransferCoding:
      return "transfer_coding";
    case ResponseFault::kEncoded:
      return "encoded";
    case ResponseFault::kNotSigned:
      return "not_signed";
    case ResponseFault::kMalformedBody:
      return "malformed_body";
    case ResponseFault::kUnconfirmedRefusal:
      return "unconfirmed_refusal";
    case ResponseFault::kUnknownEnd:
      return "unknown_end";
  }
  return "";
}

void Add(ResponseFaults& faults, ResponseFaultRecord record) {
  if (faults.records.size() >= kMaxRecords) {
    ++faults.not_recorded;
    return;
  }
  record.response_id.resize(std::min(record.response_id.size(), kMaxLoggedId));
  faults.records.push_back(std::move(record));
}

std::string Describe(const ResponseFaults& faults) {
  std::string text;
  for (const ResponseFaultRecord& record : faults.records)
    AppendRecord(text, record);
  if (faults.not_recorded > 0)
    text += "; and " + std::to_string(faults.not_recorded) + " more";
  return text;
}

}  // namespace mangodoor
