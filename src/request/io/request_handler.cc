#include "request/io/request_handler.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "process/accounts/token_source.h"
#include "process/io/action_runner.h"
#include "process/servers/retry_table.h"
#include "process/tables.h"
#include "request/deadline.h"
#include "request/io/request_log.h"
#include "version/io/digest.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view kAddressesPath = "/.well-known/mangodoor/addresses";
constexpr int kStatusOk = 200;
constexpr unsigned kHttp10 = 10;

// A request that is refused before its body was read is answered after this
// time at the latest. If the body was received by then, the connection can be
// used again.
constexpr std::chrono::seconds kMaxRefusalDelay{1};

std::string_view View(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

RequestHandler::RequestHandler(const SessionContext& context,
                               CallerStream& stream,
                               CallerState& caller,
                               RequestParser& parser)
    : context_(context),
      stream_(stream),
      caller_(caller),
      parser_(parser),
      header_(std::move(parser.get().base())),
      upload_(context, stream, parser),
      race_(context, stream, request_) {
  request_.caller_gone = [&stream] { return stream.HasHungUp(); };
}

RequestHandler::~RequestHandler() {
  stream_.StopWatchingForHangUp();
  stream_.request_watchdog().Clear();
}

bool RequestHandler::Run(YieldContext yield) {
  trace_.began = Now();
  const bool keep_open = RunAndCatchErrors(yield);
  RecordTrace();
  return keep_open;
}

// Address requests are frequent and reach no backend server, so they are not
// recorded.
void RequestHandler::RecordTrace() {
  if (is_address_request_)
    return;
  ObserveDurations();
  if (!context_.request_log)
    return;
  trace_.id = request_.id;
  trace_.caller = caller_.address + ":" + std::to_string(caller_.port);
  trace_.host = request_.host;
  trace_.service = request_.service;
  if (const Route* route = request_.authorisation.route)
    trace_.path_prefix = route->path_prefix;
  if (const ClientAccount* account = request_.authorisation.client_account)
    trace_.client_account = account->id;
  if (request_.version)
    trace_.version = request_.version->document.version;
  if (request_.deadline != TimePoint())
    trace_.deadline = request_.deadline - trace_.began;
  if (request_.target_at != TimePoint::max())
    trace_.target = request_.target_at - trace_.began;
  trace_.attempts = race_.traces();
  trace_.response_faults = race_.response_faults();
  context_.request_log->Write(trace_);
}

void RequestHandler::ObserveDurations() const {
  Counters& counters = context_.tables.counters;
  Observe(counters.request_times, Now() - trace_.began);
  for (const AttemptTrace& attempt : race_.traces()) {
    Observe(counters.server_waits, attempt.waited);
    Observe(counters.attempt_times, attempt.took);
  }
}

bool RequestHandler::RunAndCatchErrors(YieldContext yield) {
  try {
    return CheckAndRun(yield);
  } catch (const std::exception&) {
    // Memory ran out, or a message could not be built. Other connections are
    // not affected. The cleanup below waits for coroutines, which is not
    // allowed within a catch block.
    ++context_.tables.counters
          .errors[static_cast<size_t>(ErrorKind::kInternal)];
  }
  race_.Interrupt(AttemptReport::End::kCancelled);
  upload_.Stop(yield);
  race_.Abandon(yield);
  stream_.Reset();
  return false;
}

bool RequestHandler::CheckAndRun(YieldContext yield) {
  ++context_.tables.counters.requests;
  if (auto error = CheckRequestHeader(header_, context_.http_profile)) {
    // After some of these errors, the start of the next request is uncertain.
    must_close_ = true;
    may_skip_body_ = false;
    return SendError(PlanError(*error, history_), yield);
  }
  is_address_request_ = IsAddressRequest();
  if (is_address_request_)
    return ServeAddresses(yield);
  if (auto error = PrepareRequest())
    return SendError(PlanError(*error, history_), yield);
  race_.WatchDeadline([this] { Interrupt(AttemptReport::End::kDeadline); });
  if (auto error = Admit(yield)) {
    ErrorPlan plan = PlanError(*error, history_);
    plan.retry_after = retry_after_;
    return SendError(plan, yield);
  }
  trace_.admission = Now() - trace_.began;
  if (auto error = ReadBody(yield))
    return SendError(PlanError(*error, history_), yield);
  return RunAttempts(yield);
}

bool RequestHandler::IsAddressRequest() const {
  const std::string_view target = View(header_.target());
  return header_.method() == http::verb::get &&
         target.substr(0, target.find('?')) == kAddressesPath;
}

bool RequestHandler::ServeAddresses(YieldContext yield) {
  const VersionPtr version = VersionInForce(context_.tables.versions);
  if (!version)
    return SendError(PlanError(ErrorKind::kConfigurationMissing, history_),
                     yield);
  std::optional<ClientAccountId> account;
  const auto key = version->keys_by_digest.find(KeyDigest());
  if (key != version->keys_by_digest.end())
    account = key->second->client_account;
  nlohmann::json body{{"addresses", nlohmann::json::array()},
                      {"keep_ms", version->document.address_keep.count()}};
  for (const Endpoint& endpoint :
       ChooseAddresses(context_.tables.membership, *version, account, Now()))
    body["addresses"].push_back(ToString(endpoint));
  if (upload_.BufferBody(yield))
    return SendError(PlanError(ErrorKind::kMalformedRequest, history_), yield);
  ++context_.tables.counters.answered;
  return SendResponse(MakeResponse(kStatusOk,
                                   "Content-Type: application/json\r\n"
                                   "Cache-Control: no-store\r\n",
                                   body.dump(), ClosesAfterResponse(), false),
                      yield);
}

// Hashing a key costs about as much as parsing the rest of the header, and most
// connections present the same key with each request, so the last digest is
// kept.
const std::string& RequestHandler::KeyDigest() {
  const std::string_view key = PresentedKey(header_, context_.http_profile);
  if (key != caller_.key || caller_.key_digest.empty()) {
    caller_.key = std::string(key);
    caller_.key_digest = key.empty() ? "" : Sha256Hex(key);
  }
  return caller_.key_digest;
}

std::optional<ErrorKind> RequestHandler::PrepareRequest() {
  request_.host = std::string(View(header_[http::field::host]));
  request_.path = std::string(View(header_.target()));
  if (!context_.http_profile.request_id.empty())
    request_.id = std::string(View(header_[context_.http_profile.request_id]));
  request_.version = VersionInForce(context_.tables.versions);
  if (!request_.version)
    return ErrorKind::kConfigurationMissing;
  request_.key_digest = KeyDigest();
  request_.authorisation = Authorise(*request_.version, request_.host,
                                     request_.path, request_.key_digest);
  if (request_.authorisation.error)
    return request_.authorisation.error;
  const Route& route = *request_.authorisation.route;
  if (!route.open && !MayServeKeyedRequests(context_.tables.versions, Now()))
    return ErrorKind::kConfigurationStale;
  const auto requested_limit = header_[context_.http_profile.time_limit];
  request_.deadline = DeadlineFor(
      route,
      requested_limit.empty() ? std::nullopt
                              : ParseMilliseconds(View(requested_limit)),
      Now());
  if (route.target_latency > std::chrono::milliseconds::zero())
    request_.target_at = Now() + route.target_latency;
  request_.priority = PriorityOf(request_.authorisation);
  request_.service = PickService(route, context_.random());
  request_.traits.max_attempts = route.max_attempts;
  request_.traits.idempotent =
      IsIdempotent(View(header_.method_string()), route);
  request_.is_head = header_.method() == http::verb::head;
  if (MayBeCutByStop())
    return ErrorKind::kStopping;
  return std::nullopt;
}

// At the end of a planned stop, a running request is cut without an answer.
// While new callers are accepted, a request that may be repeated is worth the
// risk: nearly all end long before their deadline.
bool RequestHandler::MayBeCutByStop() const {
  return request_.deadline > context_.tables.membership.requests_end.load() &&
         (caller_.draining || !request_.traits.idempotent);
}

std::optional<ErrorKind> RequestHandler::Admit(YieldContext yield) {
  const ClientAccount* account = request_.authorisation.client_account;
  if (!account)
    return std::nullopt;
  const TimePoint now = Now();
  if (request_.version->document.limit_policy == LimitPolicy::kSharedUsage)
    return AdmitByUsage(account->id, yield);
  // A token that arrives after the wait was interrupted is lost: it cannot be
  // returned.
  auto channel = std::make_shared<OneShotChannel<std::optional<ErrorKind>>>(
      stream_.executor(), nullptr);
  const AdmissionReply reply = RequestAdmission(
      context_.tables.accounts, account->id, now, request_.deadline,
      [channel](std::optional<ErrorKind> error) { channel->Deliver(error); });
  context_.actions.Run(reply.actions);
  if (reply.state == AdmissionReply::State::kAdmitted)
    return std::nullopt;
  if (reply.state == AdmissionReply::State::kRefused)
    return reply.error;
  interrupt_wait_ = [channel] { channel->Interrupt(); };
  const auto decision = channel->Wait(yield);
  interrupt_wait_ = nullptr;
  if (decision)
    return *decision;
  channel->Abandon();
  CancelAdmission(context_.tables.accounts, account->id, reply.ticket);
  return ErrorKind::kDeadlineExceeded;
}

std::optional<ErrorKind> RequestHandler::AdmitByUsage(
    const ClientAccountId& account,
    YieldContext yield) {
  UsageTable& usage = context_.tables.usage;
  UsageDecision decision;
  {
    OrderedLock lock(usage.mutex);
    decision = AdmitUsage(usage.limiter, account, Now());
  }
  if (decision.state == UsageDecision::State::kAskLeader) {
    const bool lent = context_.token_source && AskLeader(account, yield);
    decision.state =
        lent ? UsageDecision::State::kAdmitted : UsageDecision::State::kRefused;
    OrderedLock lock(usage.mutex);
    FinishTokenRequest(usage.limiter, account, lent);
  }
  if (interrupted_)
    return ErrorKind::kDeadlineExceeded;
  if (decision.state == UsageDecision::State::kAdmitted)
    return std::nullopt;
  retry_after_ = decision.retry_after;
  return ErrorKind::kRateExceeded;
}

bool RequestHandler::AskLeader(const ClientAccountId& account,
                               YieldContext yield) {
  // A token that arrives after the wait was interrupted is lost: it cannot be
  // returned.
  auto channel =
      std::make_shared<OneShotChannel<bool>>(stream_.executor(), nullptr);
  context_.token_source->RequestToken(
      account, [channel](bool lent) { channel->Deliver(lent); });
  interrupt_wait_ = [channel] { channel->Interrupt(); };
  const std::optional<bool> lent = channel->Wait(yield);
  interrupt_wait_ = nullptr;
  channel->Abandon();
  return lent.value_or(false);
}

std::optional<ErrorKind> RequestHandler::ReadBody(YieldContext yield) {
  may_skip_body_ = false;
  if (ExpectsContinue(header_) && !upload_.complete() &&
      header_.version() != kHttp10 && stream_.buffer().size() == 0 &&
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n",
                    context_.limits.body_progress, yield))
    return ErrorKind::kRequestTimeout;
  interrupt_wait_ = [this] { stream_.InterruptReads(); };
  const auto error = upload_.BufferBody(yield);
  interrupt_wait_ = nullptr;
  if (interrupted_)
    return ErrorKind::kDeadlineExceeded;
  if (error)
    return error;
  request_.body = upload_.EncodeBuffered();
  request_.body_complete = upload_.complete();
  const Framing framing = upload_.framing();
  request_.traits.has_body = framing.kind != Framing::Kind::kNone;
  request_.head = ForwardedRequestHead(header_, framing, caller_.address,
                                       context_.http_profile);
  return std::nullopt;
}

bool RequestHandler::RunAttempts(YieldContext yield) {
  if (upload_.complete())
    WatchForHangUp();
  const auto start_upload = [this] {
    upload_.Start(race_.attempt(), [this] { WatchForHangUp(); });
  };
  for (;;) {
    const AttemptRace::Choice choice = race_.ChooseServer(yield);
    if (const auto* error = std::get_if<ErrorKind>(&choice)) {
      if (interrupted_ == AttemptReport::End::kCallerGone)
        return CloseCaller();
      return SendError(PlanError(*error, history_), yield);
    }
    const AttemptReport report = race_.Run(std::get<ChosenServer>(choice),
                                           history_, start_upload, yield);
    history_ = AddAttempt(history_, report);
    const Duration remaining = request_.deadline - Now();
    AttemptDecision decision =
        DecideAfterAttempt(request_.traits, history_, report, remaining, true);
    if (decision.spends_budget &&
        !TakeRetry(context_.retry_table, request_.service, Now()))
      decision = DecideAfterAttempt(request_.traits, history_, report,
                                    remaining, false);
    if (decision.step == AttemptDecision::Step::kForward)
      return ForwardResponse(yield);
    StopAttempt(report, yield);
    if (decision.step == AttemptDecision::Step::kCloseCaller)
      return CloseCaller();
    if (decision.step == AttemptDecision::Step::kError)
      return SendError({decision.error, decision.outcome, std::nullopt}, yield);
    ++context_.tables.counters.retries;
  }
}

void RequestHandler::StopAttempt(const AttemptReport& report,
                                 YieldContext yield) {
  // The upload may be waiting for the server to read more.
  if (!upload_.complete())
    race_.attempt()->Abort(AttemptReport::End::kCancelled);
  upload_.Stop(yield);
  race_.Release(report);
}

// The deadline applies until the whole response was received: a server that
// never ends its response must not keep the caller waiting. What was received
// by then is delivered also later.
bool RequestHandler::ForwardResponse(YieldContext yield) {
  const RelayOptions options{header_.version() == kHttp10, request_.is_head,
                             ClosesAfterResponse()};
  std::string rest;
  // A caller that does not read must not hold up the end of the response.
  interrupt_wait_ = [this] { stream_.Reset(); };
  const RelayEnd end =
      RelayResponse(*race_.attempt(), stream_, context_, options, rest, yield);
  interrupt_wait_ = nullptr;
  race_.StopWatchingDeadline();
  trace_.status = race_.attempt()->status();
  FinishExchange(end, yield);
  if (end != RelayEnd::kReceived)
    return BreakOffResponse(end);
  if (stream_.Write(rest, context_.limits.body_progress, yield))
    return CloseCaller();
  ++context_.tables.counters.answered;
  return upload_.complete() && !options.close;
}

// Before the end of the response is written, so that the server can serve other
// requests while the caller reads.
void RequestHandler::FinishExchange(RelayEnd end, YieldContext yield) {
  const std::shared_ptr<BackendAttempt> attempt = race_.attempt();
  // A server that has answered early may never read the rest of the body.
  const bool exchange_complete =
      end == RelayEnd::kReceived && upload_.complete() && !upload_.streaming();
  if (!exchange_complete)
    attempt->Abort(AttemptReport::End::kCancelled);
  upload_.Stop(yield);
  attempt->Finish(ResultOfRelay(end), exchange_complete);
}

AttemptResult::End RequestHandler::ResultOfRelay(RelayEnd end) const {
  switch (end) {
    case RelayEnd::kReceived:
      return ResultOf(race_.attempt()->report(), race_.attempt()->status());
    case RelayEnd::kCallerGone:
      return AttemptResult::End::kCancelled;
    case RelayEnd::kServerFailed:
      break;
  }
  if (interrupted_ == AttemptReport::End::kDeadline)
    return AttemptResult::End::kTimeout;
  return interrupted_ ? AttemptResult::End::kCancelled
                      : AttemptResult::End::kReset;
}

// A reset shows the caller that the response is not complete, whatever its
// framing.
bool RequestHandler::BreakOffResponse(RelayEnd end) {
  const bool late = interrupted_ == AttemptReport::End::kDeadline;
  if (!late && (end == RelayEnd::kCallerGone || interrupted_))
    return CloseCaller();
  trace_.error = late ? ErrorKind::kBackendTimeout : ErrorKind::kBackendBroken;
  trace_.outcome = Outcome::kUnknown;
  ++context_.tables.counters.errors[static_cast<size_t>(*trace_.error)];
  stream_.Reset();
  return false;
}

// Only once the whole body was received: until then, its reader notices that
// the caller has left.
void RequestHandler::WatchForHangUp() {
  stream_.WatchForHangUp(
      [this] { Interrupt(AttemptReport::End::kCallerGone); });
}

bool RequestHandler::CloseCaller() {
  ++context_.tables.counters.cancelled;
  stream_.Close();
  return false;
}

// A caller of HTTP/1.0 may get a body whose end is marked by the close.
bool RequestHandler::ClosesAfterResponse() const {
  return must_close_ || !parser_.keep_alive() || caller_.draining ||
         header_.version() == kHttp10 ||
         OwnState(context_.tables.membership) == InstanceState::kLeaving;
}

bool RequestHandler::SendError(const ErrorPlan& plan, YieldContext yield) {
  race_.StopWatchingDeadline();
  trace_.error = plan.error;
  trace_.outcome = plan.outcome;
  trace_.status = StatusOf(plan, context_.http_profile);
  ++context_.tables.counters.errors[static_cast<size_t>(plan.error)];
  const bool skip_body = may_skip_body_ && !ExpectsContinue(header_);
  const bool body_read =
      upload_.complete() ||
      (skip_body && !upload_.BufferBody(yield, Now() + kMaxRefusalDelay));
  const bool close = ClosesAfterResponse() || !body_read || !upload_.complete();
  const bool head_only = header_.method() == http::verb::head;
  return SendResponse(
             ErrorResponse(plan, close, head_only, context_.http_profile),
             yield) &&
         !close;
}

bool RequestHandler::SendResponse(const std::string& response,
                                  YieldContext yield) {
  return !stream_.Write(response, context_.limits.body_progress, yield) &&
         !ClosesAfterResponse() && upload_.complete();
}

// The first reason counts: the reset at the deadline also ends the read that
// watches for the hang-up of the caller.
void RequestHandler::Interrupt(AttemptReport::End end) {
  if (!interrupted_)
    interrupted_ = end;
  race_.Interrupt(end);
  if (interrupt_wait_)
    interrupt_wait_();
}

}  // namespace mangodoor
