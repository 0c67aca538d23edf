#include "process/io/cold_server_log.h"

#include "process/io/log.h"

namespace mangodoor {
namespace {

// Enough for the servers of a data centre that become cold together. At about
// 350 bytes a line, an instance writes at most 35 kB a second.
constexpr int kLinesPerSecond = 100;

void LogBegan(const ColdPhaseBegan& began, int lines_not_logged) {
  Log(LogLevel::kInfo, "server_cold",
      {{"server", began.server.value()},
       {"service", began.service.value()},
       {"data_centre", began.data_centre.value()},
       {"own_data_centre", began.own_data_centre},
       {"told_by", Name(began.cause)},
       {"remaining_ms", Milliseconds(began.remaining)},
       {"share", Rounded(began.share)},
       {"rate_per_s", Rounded(began.rate_per_s)},
       {"instances", began.counts.instances},
       {"advertised", began.counts.advertised_instances},
       {"all_instances", began.counts.all_instances},
       {"is_advertised", began.counts.is_advertised},
       {"granted", Rounded(began.counts.granted)},
       {"outstanding", began.outstanding},
       {"lines_not_logged", lines_not_logged}});
}

void LogEnded(const ColdPhaseEnded& ended, int lines_not_logged) {
  Log(LogLevel::kInfo, "server_warm",
      {{"server", ended.server.value()},
       {"service", ended.service.value()},
       {"reason", Name(ended.cause)},
       {"lasted_ms", Milliseconds(ended.lasted)},
       {"requests", ended.requests},
       {"most_in_one_second", ended.most_in_one_second},
       {"lines_not_logged", lines_not_logged}});
}

}  // namespace

ColdServerLog::ColdServerLog(const Clock& clock)
    : limiter_(clock, kLinesPerSecond) {}

void ColdServerLog::Write(const std::vector<ColdPhaseEvent>& events) {
  for (const ColdPhaseEvent& event : events)
    WriteOne(event);
}

void ColdServerLog::WriteOne(const ColdPhaseEvent& event) {
  const LineLimiter::Admission admission = limiter_.Admit();
  if (!admission.admitted)
    return;
  if (const auto* began = std::get_if<ColdPhaseBegan>(&event))
    LogBegan(*began, admission.dropped);
  else if (const auto* ended = std::get_if<ColdPhaseEnded>(&event))
    LogEnded(*ended, admission.dropped);
}

}  // namespace mangodoor
