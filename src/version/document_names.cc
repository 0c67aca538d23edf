#include "version/document_names.h"

namespace mangodoor {
namespace {

constexpr size_t kShortDigestLength = 8;

}  // namespace

const char* Name(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kDataCentreOut:
      return "data_centre_out";
    case ChangeKind::kDataCentreIn:
      return "data_centre_in";
    case ChangeKind::kServerDrain:
      return "server_drain";
    case ChangeKind::kServerActive:
      return "server_active";
    case ChangeKind::kKeyWithdraw:
      return "key_withdraw";
  }
  return "";
}

std::optional<ChangeKind> ParseChangeKind(const std::string& name) {
  for (const ChangeKind kind :
       {ChangeKind::kDataCentreOut, ChangeKind::kDataCentreIn,
        ChangeKind::kServerDrain, ChangeKind::kServerActive,
        ChangeKind::kKeyWithdraw}) {
    if (name == Name(kind))
      return kind;
  }
  return std::nullopt;
}

const char* Name(ServerMode mode) {
  return mode == ServerMode::kDraining ? "draining" : "active";
}

std::optional<ServerMode> ParseServerMode(const std::string& name) {
  for (const ServerMode mode : {ServerMode::kActive, ServerMode::kDraining}) {
    if (name == Name(mode))
      return mode;
  }
  return std::nullopt;
}

const char* Name(LimitPolicy policy) {
  return policy == LimitPolicy::kSharedUsage ? "shared_usage"
                                             : "entry_addresses";
}

std::optional<LimitPolicy> ParseLimitPolicy(const std::string& name) {
  for (const LimitPolicy policy :
       {LimitPolicy::kEntryAddresses, LimitPolicy::kSharedUsage}) {
    if (name == Name(policy))
      return policy;
  }
  return std::nullopt;
}

const char* Name(RetryRule rule) {
  switch (rule) {
    case RetryRule::kByMethod:
      return "by method";
    case RetryRule::kAlways:
      return "always";
    case RetryRule::kNever:
      return "never";
  }
  return "";
}

std::string ShortDigest(const std::string& digest) {
  return digest.substr(0, kShortDigestLength) + "…";
}

}  // namespace mangodoor
