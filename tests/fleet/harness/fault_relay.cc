#include "fleet/harness/fault_relay.h"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <thread>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kBufferSize = 16384;
constexpr std::chrono::milliseconds kDelay{120};

enum class Direction { kToTarget, kToCaller };

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/** Both sides of one forwarded connection. */
struct Link : std::enable_shared_from_this<Link> {
  Link(tcp::socket from, asio::io_context& context)
      : caller(std::move(from)), target(context) {}

  void Close() {
    boost::system::error_code ignored;
    caller.close(ignored);
    target.close(ignored);
  }

  void Reset() {
    // With a linger time of 0, closing sends a reset.
    boost::system::error_code ignored;
    caller.set_option(asio::socket_base::linger(true, 0), ignored);
    target.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  tcp::socket caller;
  tcp::socket target;
  std::array<char, kBufferSize> to_target;
  std::array<char, kBufferSize> to_caller;
};

}  // namespace

// All members are used on one thread, so no lock is needed.
struct FaultRelay::Impl {
  Impl(const Endpoint& listen, const Endpoint& to)
      : target(ToAsio(to)), acceptor(context, ToAsio(listen)) {
    Accept();
    thread = std::thread([this] { context.run(); });
  }

  void Accept() {
    acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket) {
          if (error)
            return;
          auto link = std::make_shared<Link>(std::move(socket), context);
          links.push_back(link);
          if (fault != LinkFault::kSilent)
            Connect(link);
          Accept();
        });
  }

  void Connect(const std::shared_ptr<Link>& link) {
    link->target.async_connect(target,
                               [this, link](boost::system::error_code error) {
                                 if (error)
                                   return link->Close();
                                 Copy(link, Direction::kToTarget);
                                 Copy(link, Direction::kToCaller);
                               });
  }

  // In a blocked direction, bytes already read are not forwarded and no more
  // are read.
  bool IsBlocked(Direction direction) const {
    return fault == LinkFault::kSilent ||
           (direction == Direction::kToTarget &&
            fault == LinkFault::kNoDataToTarget) ||
           (direction == Direction::kToCaller &&
            fault == LinkFault::kNoDataToCaller);
  }

  void Copy(const std::shared_ptr<Link>& link, Direction direction) {
    const bool to_target = direction == Direction::kToTarget;
    tcp::socket& from = to_target ? link->caller : link->target;
    auto& buffer = to_target ? link->to_target : link->to_caller;
    from.async_read_some(
        asio::buffer(buffer),
        [this, link, direction](boost::system::error_code error, size_t size) {
          if (IsBlocked(direction))
            return;
          if (error)
            return End(link, error);
          if (fault != LinkFault::kDelayed)
            return Write(link, direction, size);
          auto timer = std::make_shared<asio::steady_timer>(context, kDelay);
          timer->async_wait(
              [this, link, direction, size, timer](boost::system::error_code) {
                Write(link, direction, size);
              });
        });
  }

  // Passes a reset on as a reset, also one that a write is told of: a response
  // whose end is marked by the close of its connection would look complete
  // otherwise.
  static void End(const std::shared_ptr<Link>& link,
                  boost::system::error_code error) {
    if (error == asio::error::eof)
      link->Close();
    else
      link->Reset();
  }

  void Write(const std::shared_ptr<Link>& link,
             Direction direction,
             size_t size) {
    const bool to_target = direction == Direction::kToTarget;
    asio::async_write(
        to_target ? link->target : link->caller,
        asio::buffer(to_target ? link->to_target : link->to_caller, size),
        [this, link, direction](boost::system::error_code error, size_t) {
          if (error)
            return End(link, error);
          Copy(link, direction);
        });
  }

  void CloseAll() {
    for (const auto& link : links)
      link->Close();
    links.clear();
  }

  asio::io_context context;
  tcp::endpoint target;
  tcp::acceptor acceptor;
  LinkFault fault = LinkFault::kNone;
  // Owns the links: a blocked link has no pending operation that holds it.
  std::list<std::shared_ptr<Link>> links;
  std::thread thread;
};

FaultRelay::FaultRelay(const Endpoint& listen, const Endpoint& target)
    : impl_(std::make_unique<Impl>(listen, target)) {}

FaultRelay::~FaultRelay() {
  impl_->context.stop();
  impl_->thread.join();
}

void FaultRelay::Cut() {
  SetFault(LinkFault::kSilent);
}

void FaultRelay::Heal() {
  asio::post(impl_->context, [this] {
    impl_->CloseAll();
    impl_->fault = LinkFault::kNone;
  });
}

void FaultRelay::SetFault(LinkFault fault) {
  asio::post(impl_->context, [this, fault] { impl_->fault = fault; });
}

void FaultRelay::Reset() {
  asio::post(impl_->context, [this] {
    for (const auto& link : impl_->links)
      link->Reset();
    impl_->links.clear();
  });
}

}  // namespace mangodoor
