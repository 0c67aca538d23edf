#include "process/servers/fair_queue.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

double WeightedLoad(const AccountQueue& account) {
  return static_cast<double>(account.waiters.size()) / account.weight;
}

void RemoveAccount(FairQueue& queue, const ClientAccountId& account) {
  queue.accounts.erase(account);
  queue.round.erase(std::find(queue.round.begin(), queue.round.end(), account));
}

Waiter TakeNewest(FairQueue& queue, const ClientAccountId& id) {
  AccountQueue& account = queue.accounts.at(id);
  Waiter newest = std::move(account.waiters.back());
  account.waiters.pop_back();
  --queue.size;
  if (account.waiters.empty())
    RemoveAccount(queue, id);
  return newest;
}

/** The account with the most waiting requests relative to its weight. */
ClientAccountId MostLoaded(const FairQueue& queue) {
  const ClientAccountId* most = &queue.round.front();
  for (const ClientAccountId& id : queue.round) {
    if (WeightedLoad(queue.accounts.at(id)) >
        WeightedLoad(queue.accounts.at(*most)))
      most = &id;
  }
  return *most;
}

void Append(FairQueue& queue, Waiter waiter, int weight) {
  const ClientAccountId& id = waiter.requirements.client_account;
  AccountQueue& account = queue.accounts[id];
  account.weight = std::max(1, weight);
  if (account.waiters.empty())
    queue.round.push_back(id);
  account.waiters.push_back(std::move(waiter));
  ++queue.size;
}

double WeightedLoadWithOneMore(const FairQueue& queue,
                               const ClientAccountId& id,
                               int weight) {
  const auto found = queue.accounts.find(id);
  const size_t waiting =
      found == queue.accounts.end() ? 0 : found->second.waiters.size();
  return static_cast<double>(waiting + 1) / std::max(1, weight);
}

void MoveToEnd(FairQueue& queue) {
  queue.round.push_back(queue.round.front());
  queue.round.pop_front();
}

void RemoveServed(FairQueue& queue, AccountQueue& account) {
  --account.deficit;
  account.waiters.pop_front();
  --queue.size;
  if (account.waiters.empty()) {
    const ClientAccountId id = queue.round.front();
    RemoveAccount(queue, id);
  } else if (account.deficit <= 0) {
    MoveToEnd(queue);
  }
}

}  // namespace

PushResult Push(FairQueue& queue, Waiter waiter, int weight, size_t limit) {
  PushResult result;
  if (queue.size >= limit) {
    if (queue.round.empty())
      return result;
    const ClientAccountId most = MostLoaded(queue);
    if (WeightedLoadWithOneMore(queue, waiter.requirements.client_account,
                                weight) >=
        WeightedLoad(queue.accounts.at(most)))
      return result;
    result.displaced = TakeNewest(queue, most);
  }
  Append(queue, std::move(waiter), weight);
  result.queued = true;
  return result;
}

bool ServeNext(FairQueue& queue, const std::function<bool(Waiter&)>& serve) {
  const size_t accounts = queue.round.size();
  for (size_t i = 0; i < accounts; ++i) {
    AccountQueue& account = queue.accounts.at(queue.round.front());
    if (account.deficit <= 0)
      account.deficit += account.weight;
    if (serve(account.waiters.front())) {
      RemoveServed(queue, account);
      return true;
    }
    MoveToEnd(queue);
  }
  return false;
}

std::vector<Waiter> RemoveIf(FairQueue& queue,
                             const std::function<bool(const Waiter&)>& drop) {
  std::vector<Waiter> removed;
  const std::deque<ClientAccountId> round = queue.round;
  for (const ClientAccountId& id : round) {
    std::deque<Waiter>& waiters = queue.accounts.at(id).waiters;
    auto kept = std::stable_partition(
        waiters.begin(), waiters.end(),
        [&drop](const Waiter& waiter) { return !drop(waiter); });
    std::move(kept, waiters.end(), std::back_inserter(removed));
    waiters.erase(kept, waiters.end());
    if (waiters.empty())
      RemoveAccount(queue, id);
  }
  queue.size -= removed.size();
  return removed;
}

void ForEach(const FairQueue& queue,
             const std::function<void(const Waiter&)>& visit) {
  for (const auto& [id, account] : queue.accounts) {
    for (const Waiter& waiter : account.waiters)
      visit(waiter);
  }
}

}  // namespace mangodoor
