#include "fleet/harness/loopback_network.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

namespace mangodoor {
namespace {

using boost::asio::ip::tcp;

constexpr int kFirstNetwork = 20;
constexpr int kNetworks = 200;

// Address in each network on which LoopbackNetwork listens to reserve it. It is
// the last one, which fleets do not use.
constexpr char kClaimHost[] = "255.254";
constexpr uint16_t kClaimPort = 7999;

/** Reserves an address by listening on it. Returns false if it is in use. */
bool Claim(tcp::acceptor& acceptor, const std::string& address) {
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address),
                               kClaimPort);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  // Programs that the test starts must not inherit the socket, or they would
  // keep the network reserved.
  fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(1, error);
  if (!error)
    return true;
  acceptor.close(error);
  return false;
}

}  // namespace

LoopbackNetwork::LoopbackNetwork() {
  // Starts at a network chosen by process id, so that most processes find their
  // first one free.
  for (int i = 0; i < kNetworks; ++i) {
    const int network = kFirstNetwork + (getpid() + i) % kNetworks;
    prefix_ = "127." + std::to_string(network) + ".";
    if (Claim(claim_acceptor_, prefix_ + kClaimHost))
      return;
  }
  throw std::runtime_error("all loopback networks for tests are in use");
}

std::string LoopbackNetwork::Host(int group, int index) const {
  return prefix_ + std::to_string(group) + "." + std::to_string(index + 1);
}

}  // namespace mangodoor
