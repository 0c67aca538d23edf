#include "version/planned_change.h"

#include <algorithm>

namespace mangodoor {
namespace {

bool Contains(const std::vector<PlannedChange>& changes,
              const PlannedChange& change) {
  return std::find(changes.begin(), changes.end(), change) != changes.end();
}

void SetInService(Document& document, const std::string& id, bool in_service) {
  for (DataCentre& data_centre : document.data_centres) {
    if (data_centre.id.value() == id)
      data_centre.in_service = in_service;
  }
}

void SetMode(Document& document, const std::string& id, ServerMode mode) {
  for (Service& service : document.services) {
    for (BackendServer& server : service.servers) {
      if (server.id.value() == id)
        server.mode = mode;
    }
  }
}

void WithdrawKey(Document& document, const std::string& digest) {
  auto& keys = document.keys;
  keys.erase(
      std::remove_if(keys.begin(), keys.end(),
                     [&](const ApiKey& key) { return key.digest == digest; }),
      keys.end());
}

void ApplyChange(Document& document, const PlannedChange& change) {
  switch (change.kind) {
    case ChangeKind::kDataCentreOut:
      return SetInService(document, change.target, false);
    case ChangeKind::kDataCentreIn:
      return SetInService(document, change.target, true);
    case ChangeKind::kServerDrain:
      return SetMode(document, change.target, ServerMode::kDraining);
    case ChangeKind::kServerActive:
      return SetMode(document, change.target, ServerMode::kActive);
    case ChangeKind::kKeyWithdraw:
      return WithdrawKey(document, change.target);
  }
}

}  // namespace

bool operator==(const PlannedChange& a, const PlannedChange& b) {
  return a.at == b.at && a.kind == b.kind && a.target == b.target;
}

std::vector<PlannedChange> ChangesInForce(
    const Document& document,
    const std::vector<PlannedChange>& applied,
    WallTime now) {
  std::vector<PlannedChange> changes;
  for (const PlannedChange& change : document.planned_changes) {
    if (change.at <= now || Contains(applied, change))
      changes.push_back(change);
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const PlannedChange& a, const PlannedChange& b) {
                     return a.at < b.at;
                   });
  return changes;
}

Document ApplyPlannedChanges(Document document,
                             const std::vector<PlannedChange>& changes) {
  for (const PlannedChange& change : changes)
    ApplyChange(document, change);
  return document;
}

std::optional<WallTime> NextPlannedChange(
    const Document& document,
    const std::vector<PlannedChange>& applied) {
  std::optional<WallTime> next;
  for (const PlannedChange& change : document.planned_changes) {
    if (!Contains(applied, change) && (!next || change.at < *next))
      next = change.at;
  }
  return next;
}

VersionPtr WithPlannedChanges(const VersionPtr& approved,
                              const std::vector<PlannedChange>& changes) {
  if (changes.empty())
    return approved;
  return MakeVersion(ApplyPlannedChanges(approved->document, changes),
                     approved->digest, approved->text);
}

}  // namespace mangodoor
