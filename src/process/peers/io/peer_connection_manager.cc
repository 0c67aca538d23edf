#include "process/peers/io/peer_connection_manager.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <stdexcept>
#include <utility>

#include "process/io/log.h"
#include "process/peers/io/peer_codec.h"
#include "process/peers/io/peer_registry.h"
#include "process/peers/io/peer_sockets.h"

namespace mangodoor {
namespace {

namespace asio = boost::asio;

// Interval at which timed-out connections are closed and new ones are opened.
// It is shorter than the first reconnect delay, so that random delays still
// spread the attempts.
constexpr std::chrono::milliseconds kMaintenanceInterval(50);

// A longer message is sent in parts, so that others can overtake it and its
// receiver knows that the peer runs. On 10 Mbit/s a part takes 26 ms.
constexpr size_t kMaxPartBytes = 32 * 1024;

std::vector<SharedFrame> SplitFrame(const std::string& frame) {
  if (frame.size() <= kMaxPartBytes)
    return {std::make_shared<const std::string>(frame)};
  std::vector<SharedFrame> parts;
  for (size_t begin = 0; begin < frame.size(); begin += kMaxPartBytes) {
    const MessagePart part{frame.substr(begin, kMaxPartBytes),
                           begin + kMaxPartBytes >= frame.size()};
    parts.push_back(
        std::make_shared<const std::string>(EncodePeerMessage(part)));
  }
  return parts;
}

// Updates do not overtake each other, since a later one needs the ones before.
bool CanBeOvertaken(const PeerMessage& message, const std::string& frame) {
  return frame.size() > kMaxPartBytes ||
         std::holds_alternative<FeedUpdate>(message);
}

PeerSocketLimits ToSocketLimits(const PeerConnectionLimits& limits) {
  return {limits.max_queued_bytes, limits.max_unauthenticated,
          limits.handshake_timeout};
}

void Increment(std::atomic<uint64_t>& counter, uint64_t amount = 1) {
  counter.fetch_add(amount, std::memory_order_relaxed);
}

}  // namespace

class PeerConnectionManager::Impl {
 public:
  Impl(asio::io_context& context,
       PeerConnectionSettings settings,
       PeerConnectionCallbacks callbacks,
       const Clock& clock,
       Counters& counters)
      : settings_(std::move(settings)),
        callbacks_(std::move(callbacks)),
        clock_(clock),
        counters_(counters),
        strand_(context.get_executor()),
        timer_(strand_),
        sockets_(context,
                 ToSocketLimits(settings_.limits),
                 MakeSocketEvents()) {
    if (settings_.fleet_secret.empty())
      throw std::invalid_argument("the fleet secret is empty");
    registry_.self = settings_.self;
    registry_.delays = {settings_.limits.first_reconnect_delay,
                        settings_.limits.max_reconnect_delay};
  }

  void Start() {
    sockets_.Listen(settings_.self.peer_endpoint);
    asio::post(strand_, [this] { Maintain(); });
  }

  void SetPeers(const std::vector<Instance>& peers) {
    for (const LinkId link : SetTargets(registry_, peers, clock_.Now()))
      sockets_.Close(link);
    asio::post(strand_, [this] { ConnectToTargets(); });
  }

  void Stop() {
    {
      OrderedLock lock(registry_.mutex);
      registry_.stopped = true;
    }
    asio::post(strand_, [this] { timer_.cancel(); });
    sockets_.Stop();
  }

  void Send(const InstanceId& to, const PeerMessage& message) {
    if (FindLinkTo(registry_, to))
      SendAll({to}, message);
    else
      Increment(counters_.peer_messages_dropped);
  }

  void SendAll(const std::vector<InstanceId>& to, const PeerMessage& message) {
    const std::optional<std::string> frame = TryEncode(message);
    if (!frame)
      return Increment(counters_.peer_messages_dropped, to.size());
    std::vector<SharedFrame> parts;
    if (CanBeOvertaken(message, *frame))
      parts = SplitFrame(*frame);
    for (const InstanceId& peer : to) {
      const std::optional<LinkId> link = FindLinkTo(registry_, peer);
      if (!link)
        Increment(counters_.peer_messages_dropped);
      else if (parts.size() == 1 ||
               (parts.size() > 1 && AcceptsParts(registry_, *link)))
        SendInTurn(*link, parts);
      else
        SendFrame(*link, *frame);
    }
  }

  std::vector<InstanceId> ConnectedPeers() const {
    OrderedLock lock(registry_.mutex);
    std::vector<InstanceId> peers;
    for (const auto& [peer, link] : registry_.connected)
      peers.push_back(peer);
    return peers;
  }

 private:
  PeerSocketEvents MakeSocketEvents() {
    PeerSocketEvents events;
    events.opened = [this](LinkId link, PeerRole role) {
      HandleOpened(link, role);
    };
    events.received = [this](LinkId link, std::string_view frame) {
      HandleFrame(link, frame);
    };
    events.closed = [this](LinkId link) { HandleClosed(link); };
    events.dropped = [this](LinkId) {
      Increment(counters_.peer_messages_dropped);
    };
    return events;
  }

  MessageRate MaxMessageRate() const {
    return {settings_.limits.messages_per_s, settings_.limits.message_burst};
  }

  std::shared_ptr<PeerLink> MakeLink(PeerRole role) {
    auto state = std::make_shared<PeerLink>();
    state->opened_at = clock_.Now();
    state->last_received = state->opened_at;
    state->handshake = StartHandshake(role, settings_.self);
    state->bucket = MakeFullBucket(MaxMessageRate(), state->opened_at);
    return state;
  }

  void HandleOpened(LinkId link, PeerRole role) {
    if (role == PeerRole::kListener &&
        !AddLink(registry_, link, MakeLink(role)))
      return sockets_.Close(link);
    const std::shared_ptr<PeerLink> state = FindLink(registry_, link);
    if (state)
      SendOnLink(link, state->handshake.own);
  }

  static std::optional<std::string> TryEncode(const PeerMessage& message) {
    try {
      return EncodePeerMessage(message);
    } catch (const PeerMessageError& error) {
      Log(LogLevel::kWarning, "peer_message_not_sent",
          {{"reason", error.what()}});
      return std::nullopt;
    }
  }

  void SendOnLink(LinkId link, const PeerMessage& message) {
    if (std::optional<std::string> frame = TryEncode(message))
      SendFrame(link, std::move(*frame));
    else
      Increment(counters_.peer_messages_dropped);
  }

  void SendFrame(LinkId link, std::string frame) {
    const size_t size = frame.size();
    if (!sockets_.Send(link, std::move(frame)))
      return Increment(counters_.peer_messages_dropped);
    Increment(counters_.peer_messages_sent);
    Increment(counters_.peer_bytes_sent, size);
  }

  void SendInTurn(LinkId link, const std::vector<SharedFrame>& frames) {
    if (!sockets_.SendInTurn(link, frames))
      return Increment(counters_.peer_messages_dropped);
    Increment(counters_.peer_messages_sent);
    for (const SharedFrame& frame : frames)
      Increment(counters_.peer_bytes_sent, frame->size());
  }

  void HandleFrame(LinkId link, std::string_view frame) {
    const std::shared_ptr<PeerLink> state = FindLink(registry_, link);
    if (!state)
      return;
    Increment(counters_.peer_messages_received);
    Increment(counters_.peer_bytes_received, frame.size());
    try {
      if (!TakeMessageToken(state->bucket, MaxMessageRate(), clock_.Now()))
        throw PeerMessageError("the peer sends too many messages");
      const PeerMessage message = DecodePeerMessage(frame);
      if (state->handshake.authenticated)
        Deliver(*state, message);
      else
        Authenticate(link, *state, message);
    } catch (const PeerMessageError& error) {
      Log(LogLevel::kWarning, "peer_connection_closed",
          {{"peer", state->handshake.peer
                        ? state->handshake.peer->instance.value()
                        : std::string("not authenticated")},
           {"reason", error.what()}});
      Increment(counters_.peer_protocol_errors);
      RemoveAndClose(link);
    }
  }

  // The link is removed first, so that frames that are already in the receive
  // buffer of the closing connection are ignored.
  void RemoveAndClose(LinkId link) {
    HandleClosed(link);
    sockets_.Close(link);
  }

  void Deliver(PeerLink& state, const PeerMessage& message) {
    if (std::holds_alternative<Hello>(message) ||
        std::holds_alternative<Proof>(message))
      throw PeerMessageError("handshake message after authentication");
    {
      OrderedLock lock(registry_.mutex);
      state.last_received = clock_.Now();
    }
    const InstanceId& peer = state.handshake.peer->instance;
    const auto* part = std::get_if<MessagePart>(&message);
    if (!part)
      return callbacks_.received(peer, message);
    if (const auto whole = AddPart(state, *part))
      callbacks_.received(peer, *whole);
    else
      callbacks_.progressed(peer);
  }

  /** Returns the message of which this was the last part. */
  static std::optional<PeerMessage> AddPart(PeerLink& state,
                                            const MessagePart& part) {
    if (state.parts.size() + part.bytes.size() > kMaxPeerMessageBytes)
      throw PeerMessageError("the parts of a message are too long");
    state.parts += part.bytes;
    if (!part.last)
      return std::nullopt;
    PeerMessage message = DecodePeerMessage(std::exchange(state.parts, {}));
    if (std::holds_alternative<Hello>(message) ||
        std::holds_alternative<Proof>(message) ||
        std::holds_alternative<MessagePart>(message))
      throw PeerMessageError("a message of this type cannot have parts");
    return message;
  }

  void Authenticate(LinkId link, PeerLink& state, const PeerMessage& message) {
    const std::optional<Proof> proof =
        AdvanceHandshake(state.handshake, message, settings_.fleet_secret);
    if (proof)
      SendOnLink(link, *proof);
    if (!state.handshake.authenticated)
      return;
    sockets_.MarkAuthenticated(link);
    const Registration registration = RegisterPeer(registry_, link);
    if (!registration.in_use)
      return RemoveAndClose(link);
    if (registration.replaced)
      sockets_.Close(*registration.replaced);
    callbacks_.connected(state.handshake.peer->instance);
  }

  void HandleClosed(LinkId link) {
    const auto lost = RemoveLink(registry_, link, clock_.Now());
    if (lost)
      callbacks_.lost(*lost);
  }

  static void LogTimedOut(const TimedOutLink& timed_out) {
    Log(LogLevel::kWarning, "peer_timed_out",
        {{"peer", timed_out.peer ? timed_out.peer->value()
                                 : std::string("not authenticated")},
         {"silent_ms", Milliseconds(timed_out.silent_for)}});
  }

  void Maintain() {
    {
      OrderedLock lock(registry_.mutex);
      if (registry_.stopped)
        return;
    }
    for (const TimedOutLink& timed_out :
         FindTimedOutLinks(registry_, settings_.limits.handshake_timeout,
                           settings_.limits.silence_timeout, clock_.Now())) {
      LogTimedOut(timed_out);
      RemoveAndClose(timed_out.link);
    }
    ConnectToTargets();
    timer_.expires_after(kMaintenanceInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error)
        Maintain();
    });
  }

  void ConnectToTargets() {
    for (const Instance& instance : FindDueTargets(registry_, clock_.Now())) {
      const LinkId link = sockets_.ReserveLink();
      if (!AddLink(registry_, link, MakeLink(PeerRole::kDialler)))
        return;
      SetTargetLink(registry_, instance.id, link);
      sockets_.Dial(link, instance.peer_endpoint);
    }
  }

  const PeerConnectionSettings settings_;
  const PeerConnectionCallbacks callbacks_;
  const Clock& clock_;
  Counters& counters_;
  PeerRegistry registry_;
  asio::strand<asio::io_context::executor_type> strand_;
  asio::steady_timer timer_;
  PeerSockets sockets_;
};

PeerConnectionManager::PeerConnectionManager(asio::io_context& context,
                                             PeerConnectionSettings settings,
                                             PeerConnectionCallbacks callbacks,
                                             const Clock& clock,
                                             Counters& counters)
    : impl_(std::make_unique<Impl>(context,
                                   std::move(settings),
                                   std::move(callbacks),
                                   clock,
                                   counters)) {}

PeerConnectionManager::~PeerConnectionManager() = default;

void PeerConnectionManager::Start() {
  impl_->Start();
}

void PeerConnectionManager::SetPeers(const std::vector<Instance>& peers) {
  impl_->SetPeers(peers);
}

void PeerConnectionManager::Stop() {
  impl_->Stop();
}

void PeerConnectionManager::Send(const InstanceId& to,
                                 const PeerMessage& message) {
  impl_->Send(to, message);
}

void PeerConnectionManager::SendAll(const std::vector<InstanceId>& to,
                                    const PeerMessage& message) {
  impl_->SendAll(to, message);
}

std::vector<InstanceId> PeerConnectionManager::ConnectedPeers() const {
  return impl_->ConnectedPeers();
}

}  // namespace mangodoor
