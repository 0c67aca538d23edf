#ifndef TESTS_FLEET_HARNESS_LOOPBACK_NETWORK_H_
#define TESTS_FLEET_HARNESS_LOOPBACK_NETWORK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace mangodoor {

/**
 * A /16 of the loopback network. A listening socket reserves it for the
 * lifetime of this object, so that tests, soaks and benches that run side by
 * side never share an address.
 */
class LoopbackNetwork {
 public:
  /** Throws std::runtime_error if all networks are in use. */
  LoopbackNetwork();

  /** The address of host `index` of a group; both are 0 to 253. */
  std::string Host(int group, int index) const;

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor claim_acceptor_{io_};
  std::string prefix_;
};

}  // namespace mangodoor

#endif  // TESTS_FLEET_HARNESS_LOOPBACK_NETWORK_H_
