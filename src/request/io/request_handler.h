#ifndef REQUEST_IO_REQUEST_HANDLER_H_
#define REQUEST_IO_REQUEST_HANDLER_H_

#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>
#include <string>

#include "connection/io/caller_stream.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "connection/io/watchdog.h"
#include "request/attempt.h"
#include "request/io/attempt_race.h"
#include "request/io/body_reader.h"
#include "request/io/body_upload.h"
#include "request/io/outgoing_request.h"

namespace mangodoor {

/** What a connection keeps between its requests. */
struct CallerState {
  std::string address;
  /** The last key presented, with its digest. */
  std::string key;
  std::string key_digest;
  /** The connection is to end after the running request. */
  bool draining = false;
};

/** One request, from its header to its answer. Lives on its session. */
class RequestHandler {
 public:
  /** `parser` has the whole header of the request. */
  RequestHandler(const SessionContext& context,
                 CallerStream& stream,
                 CallerState& caller,
                 RequestParser& parser);
  ~RequestHandler();
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  /** Answers the request. False if the connection must end after it. */
  bool Run(YieldContext yield);

 private:
  bool RunChecked(YieldContext yield);
  bool IsAddressRequest() const;
  bool ServeAddresses(YieldContext yield);
  std::optional<ErrorKind> Prepare();
  std::optional<ErrorKind> Admit(YieldContext yield);
  std::optional<ErrorKind> AdmitByUsage(const ClientAccountId& account,
                                        YieldContext yield);
  bool AskLeader(const ClientAccountId& account, YieldContext yield);
  std::optional<ErrorKind> ReadBody(YieldContext yield);
  bool RunAttempts(YieldContext yield);
  bool Forward(YieldContext yield);
  bool RunAndTrace(YieldContext yield);
  void WriteTrace();
  void ObserveTimes() const;
  bool Fail(const ErrorPlan& plan, YieldContext yield);
  bool Answer(const std::string& response, YieldContext yield);
  bool CloseCaller();
  const std::string& KeyDigest();
  /** The connection ends after this answer. */
  bool Closing() const;
  void StopAttempt(const AttemptReport& report, YieldContext yield);
  void Interrupt(AttemptReport::End end);
  TimePoint Now() const { return context_.clock.Now(); }

  const SessionContext& context_;
  CallerStream& stream_;
  CallerState& caller_;
  RequestParser& parser_;
  RequestHeader header_;
  BodyUpload upload_;
  OutgoingRequest request_;
  AttemptHistory history_;
  RequestTrace trace_;
  AttemptRace race_;
  /** The rest of the body may be read so that the connection can go on. */
  bool may_drain_ = true;
  bool must_close_ = false;
  bool is_address_request_ = false;
  /** Set with an error: when the caller does best to come again. */
  std::optional<Duration> retry_after_;
  /** Set once the request must end early. */
  std::optional<AttemptReport::End> interrupted_;
  /** Wakes the wait for admission or for the body. */
  std::function<void()> interrupt_wait_;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_REQUEST_HANDLER_H_
