#ifndef CONNECTION_RESPONSE_FAULT_H_
#define CONNECTION_RESPONSE_FAULT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "version/ids.h"

namespace mangodoor {

/** Number of characters of a request id that are logged. */
constexpr size_t kMaxLoggedId = 64;

/** What was wrong with the bytes that a backend server sent. */
enum class ResponseFault {
  /** A response to an earlier request of the connection. */
  kExtraResponse,
  /** A response without the request id that the interface requires. */
  kNoRequestId,
  /** A field that decides about the response occurs more than once. */
  kRepeatedField,
  /** A response to a request that was not sent on the connection. */
  kOtherRequestId,
  /** Bytes arrived behind a complete response. */
  kBytesAfterResponse,
  /** Bytes arrived while no request was running on the connection. */
  kBytesWhileIdle,
  /** A head that is no HTTP, also because of its status. */
  kMalformedHead,
  kHeadTooLarge,
  kProtocolSwitched,
  /** Too many interim and extra responses in front of the awaited one. */
  kTooManyResponses,
  /** A transfer coding other than chunked, which the caller cannot undo. */
  kTransferCoding,
  /** A content encoding that the caller did not ask for. */
  kEncoded,
  /** A successful response without the server's signature. */
  kNotSigned,
  kMalformedBody,
  /**
   * A status that tells callers that the request did not run, without the field
   * by which a server states it.
   */
  kUnconfirmedRefusal,
  /**
   * A response to an earlier request that must not have a body. If the server
   * sent one all the same, its bytes would be taken for the next response.
   */
  kUnknownEnd,
};

constexpr size_t kResponseFaultCount =
    static_cast<size_t>(ResponseFault::kUnknownEnd) + 1;

/** Name of `fault` in logs and metrics. */
const char* Name(ResponseFault fault);

/** A faulty response, for the log of the request that was running. */
struct ResponseFaultRecord {
  BackendServerId server;
  ResponseFault fault = ResponseFault::kMalformedHead;
  /** Status of the faulty response; 0 if its head could not be read. */
  int status = 0;
  /** The request id of the faulty response; empty if it has none. */
  std::string response_id = {};
};

/** Faulty responses seen by the attempts of one request. */
struct ResponseFaults {
  std::vector<ResponseFaultRecord> records;
  /** Number of further faults, which have no record. */
  size_t not_recorded = 0;
};

/** Adds `record`, unless `faults` already has the maximum of records. */
void Add(ResponseFaults& faults, ResponseFaultRecord record);

/** The faults on one line: "i-1: extra_response 200 of r-7; i-1: ...". */
std::string Describe(const ResponseFaults& faults);

}  // namespace mangodoor

#endif  // CONNECTION_RESPONSE_FAULT_H_
