#include "request/io/attempt_race.h"

#include <algorithm>
#include <boost/asio/spawn.hpp>
#include <utility>

#include "process/io/action_runner.h"
#include "process/servers/retry_table.h"
#include "process/tables.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;

// A hedge sent after a shorter delay costs more than the latency that it can
// save is worth.
constexpr std::chrono::milliseconds kMinHedgeDelay{1};

/** Releases a server that was chosen after its request had stopped waiting. */
void ReleaseUnused(const SessionContext& context, const ChosenServer& server) {
  context.actions.Run(ReleaseServer(context.tables.servers, server.server, {},
                                    context.clock.Now()));
}

/** True if the request may be sent to the same server in a later attempt. */
bool MayTryAgain(const BackendAttempt& attempt, const AttemptReport& report) {
  // The server can have turned cold, and may get the request a little later.
  if (report.end == AttemptReport::End::kServerWithdrawn)
    return true;
  // A reused connection that is lost was probably closed by the server while it
  // was idle.
  return report.end == AttemptReport::End::kConnectionLost &&
         attempt.connection_was_reused();
}

}  // namespace

AttemptRace::AttemptRace(const SessionContext& context,
                         CallerStream& stream,
                         const OutgoingRequest& request)
    : context_(context),
      strand_(stream.executor()),
      request_(request),
      watchdog_(stream.request_watchdog()) {}

void AttemptRace::WatchDeadline(std::function<void()> passed) {
  deadline_passed_ = std::move(passed);
  BeginRequest(context_.retry_table, request_.service, context_.clock.Now());
  hedge_delay_ = HedgeDelay(context_.tables.servers, request_.service);
  ArmWatchdog();
}

void AttemptRace::ArmWatchdog() {
  if (hedge_at_ && *hedge_at_ < request_.deadline) {
    watchdog_.Set(*hedge_at_, [this] {
      hedge_at_.reset();
      ArmWatchdog();
      StartHedge();
    });
    return;
  }
  watchdog_.Set(request_.deadline, [this] { deadline_passed_(); });
}

std::shared_ptr<AttemptRace::ChoiceChannel> AttemptRace::NewChannel() {
  // The context is copied, since the session may have ended when the choice
  // arrives.
  return std::make_shared<ChoiceChannel>(
      strand_, [context = context_](const Choice& late) {
        if (const auto* server = std::get_if<ChosenServer>(&late))
          ReleaseUnused(context, *server);
      });
}

ServerRequirements AttemptRace::Requirements() const {
  const Authorisation& authorisation = request_.authorisation;
  return {request_.service,
          authorisation.client_account ? authorisation.client_account->id
                                       : ClientAccountId(),
          request_.deadline,
          tried_servers_,
          request_.target_at,
          authorisation.route ? NameOf(*authorisation.route) : std::string(),
          authorisation.route ? Duration(authorisation.route->target_latency)
                              : Duration::zero(),
          request_.priority,
          request_.traits.idempotent};
}

AttemptRace::Choice AttemptRace::ChooseServer(YieldContext yield) {
  const TimePoint started_at = context_.clock.Now();
  Choice choice = WaitForServer(yield);
  server_wait_ = context_.clock.Now() - started_at;
  return choice;
}

AttemptRace::Choice AttemptRace::WaitForServer(YieldContext yield) {
  if (interrupted_)
    return ErrorKind::kDeadlineExceeded;
  auto channel = NewChannel();
  const ServerReply reply = AcquireServer(
      context_.tables.servers, Requirements(), context_.clock.Now(),
      context_.random(),
      [channel](Choice choice) { channel->Deliver(std::move(choice)); });
  context_.actions.Run(reply.actions);
  if (reply.state == ServerReply::State::kChosen)
    return reply.chosen;
  if (reply.state == ServerReply::State::kRefused)
    return reply.error;
  pending_choice_ = channel;
  const std::optional<Choice> choice = channel->Wait(yield);
  pending_choice_ = nullptr;
  if (choice)
    return *choice;
  channel->Abandon();
  CancelWait(context_.tables.servers, request_.service, reply.ticket);
  return ErrorKind::kDeadlineExceeded;
}

AttemptReport AttemptRace::Run(const ChosenServer& server,
                               AttemptHistory& history,
                               const std::function<void()>& on_sent,
                               YieldContext yield) {
  attempt_ = std::make_shared<BackendAttempt>(context_, strand_, request_,
                                              server, response_faults_);
  if (interrupted_)
    attempt_->Abort(*interrupted_);
  ArmHedge(history);
  const AttemptReport report = attempt_->Run(on_sent, yield);
  if (hedge_at_) {
    hedge_at_.reset();
    ArmWatchdog();
  }
  if (!MayTryAgain(*attempt_, report))
    tried_servers_.push_back(server.server);
  AddTrace(*attempt_, report, false);
  return JoinHedge(report, history, yield);
}

void AttemptRace::AddTrace(const BackendAttempt& attempt,
                           const AttemptReport& report,
                           bool hedge) {
  AttemptTrace trace;
  trace.server = attempt.server().server;
  trace.hedge = hedge;
  trace.placement = attempt.server().placement;
  trace.waited = hedge ? Duration::zero() : server_wait_;
  trace.took = attempt.latency();
  trace.end = report.end;
  trace.earlier_requests = attempt.earlier_requests();
  trace.status = attempt.status();
  traces_.push_back(std::move(trace));
}

void AttemptRace::ArmHedge(const AttemptHistory& history) {
  if (!hedge_delay_ || !MayHedge(request_.traits, history,
                                 request_.deadline - context_.clock.Now()))
    return;
  hedge_at_ =
      context_.clock.Now() + std::max<Duration>(*hedge_delay_, kMinHedgeDelay);
  ArmWatchdog();
}

void AttemptRace::StartHedge() {
  if (!attempt_ || hedge_ || interrupted_ ||
      !TakeRetry(context_.retry_table, request_.service, context_.clock.Now()))
    return;
  ServerRequirements requirements = Requirements();
  requirements.tried.push_back(attempt_->server().server);
  auto channel = NewChannel();
  const ServerReply reply = AcquireServer(
      context_.tables.servers, requirements, context_.clock.Now(),
      context_.random(),
      [channel](Choice choice) { channel->Deliver(std::move(choice)); });
  context_.actions.Run(reply.actions);
  if (reply.state == ServerReply::State::kWaiting) {
    // The hedge is given up: a waiting hedge would lengthen the queue further.
    channel->Abandon();
    CancelWait(context_.tables.servers, requirements.service, reply.ticket);
  }
  if (reply.state != ServerReply::State::kChosen)
    return;
  ++context_.tables.counters.hedges;
  hedge_ = std::make_shared<BackendAttempt>(context_, strand_, request_,
                                            reply.chosen, response_faults_);
  // JoinHedge and Abandon wait for the coroutine, so `this` outlives it.
  asio::spawn(strand_, [this](YieldContext yield) { RunHedge(yield); });
}

void AttemptRace::RunHedge(YieldContext yield) {
  AttemptReport report;
  try {
    report = hedge_->Run([] {}, yield);
  } catch (const std::exception&) {
    report = hedge_->report();
    report.end = AttemptReport::End::kConnectionLost;
  }
  if (report.end == AttemptReport::End::kResponse)
    attempt_->Abort(AttemptReport::End::kCancelled);
  hedge_report_ = report;
  hedge_ended_.NotifySoon(strand_);
}

AttemptReport AttemptRace::JoinHedge(const AttemptReport& report,
                                     AttemptHistory& history,
                                     YieldContext yield) {
  if (!hedge_)
    return report;
  if (report.end == AttemptReport::End::kResponse)
    hedge_->Abort(AttemptReport::End::kCancelled);
  while (!hedge_report_)
    hedge_ended_.Wait(yield);
  AddTrace(*hedge_, *hedge_report_, true);
  AttemptReport reported = report;
  AttemptReport other = *hedge_report_;
  if (other.end == AttemptReport::End::kResponse) {
    std::swap(reported, other);
    std::swap(attempt_, hedge_);
  }
  ++history.hedges;
  history = AddAttempt(history, other);
  tried_servers_.push_back(hedge_->server().server);
  hedge_->FinishUnused(other);
  hedge_ = nullptr;
  return reported;
}

void AttemptRace::Interrupt(AttemptReport::End end) {
  interrupted_ = end;
  if (pending_choice_)
    pending_choice_->Interrupt();
  if (attempt_)
    attempt_->Abort(end);
  if (hedge_)
    hedge_->Abort(end);
}

void AttemptRace::Release(const AttemptReport& report) {
  if (attempt_)
    attempt_->FinishUnused(report);
  attempt_ = nullptr;
}

void AttemptRace::Abandon(YieldContext yield) {
  Interrupt(AttemptReport::End::kCancelled);
  while (hedge_ && !hedge_report_)
    hedge_ended_.Wait(yield);
  for (auto* attempt : {&attempt_, &hedge_}) {
    if (*attempt && !(*attempt)->finished())
      (*attempt)->Finish(AttemptResult::End::kCancelled, false);
    *attempt = nullptr;
  }
}

}  // namespace mangodoor
