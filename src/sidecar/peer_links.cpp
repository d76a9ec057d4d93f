/** @file peer_links.cpp Connections to other nodes. */
#include "sidecar/peer_links.h"

#include <algorithm>
#include <map>
#include <set>

namespace sycamorelb::sidecar {

using namespace inner;

/** Time to establish a connection; several round trips between zones. */
static constexpr auto ConnectTimeout = millis(400);
/** Silence of a host that owes an answer, before it is asked for a pong. */
static constexpr auto SilenceBeforePing = micros(400'000);
/** Time to answer a ping before the connection counts as broken. */
static constexpr auto PongTimeout = micros(900'000);
/** Interval of the checks for silence while answers are awaited. */
static constexpr auto CheckInterval = micros(150'000);
/** Pause before a failed host is connected to again, doubled each time. */
static constexpr auto FirstPause = micros(200'000);
static constexpr auto LongestPause = micros(3'000'000);

void sendOn(const peer_session &Session, const mesh_message &Message,
            steady_time Now) {
  Session.Stream->send(encodeMeshMessage(Message, Now));
}

auto transitDelay(peer_session &Session, steady_time SentAt, steady_time Now)
    -> micros {
  auto Offset = Now - SentAt;
  if (!Session.LeastOffset || Offset < *Session.LeastOffset) {
    Session.LeastOffset = Offset;
  }
  return Offset - *Session.LeastOffset;
}

/** Takes whole messages off a stream.
 * @return false if the bytes can't be decoded. */
template <class Handler>
static auto readMessages(event::stream &Stream, steady_time Now,
                         const Handler &Handle) -> bool {
  for (;;) {
    auto Decoded = decodeMeshMessage(Stream.input(), Now);
    if (!isOk(Decoded)) {
      return false;
    }
    if (!valueOf(Decoded)) {
      return true;
    }
    Stream.consume(valueOf(Decoded)->EncodedBytes);
    if (!Handle(std::move(*valueOf(Decoded)))) {
      return true;
    }
  }
}

namespace {

/** Connection that this node opened. */
struct outbound_link {
  std::shared_ptr<event::stream> Stream; ///< Null while there is none.
  steady_time HeardAt{};                 ///< Last bytes from the host.
  steady_time AwaitedAt{};               ///< Since when an answer is awaited.
  steady_time PingedAt{};     ///< Last ping without pong; zero for none.
  steady_time RetryAt{};      ///< No connection attempts before this.
  std::uint32_t Awaited = 0;  ///< Answers awaited.
  std::uint32_t Failures = 0; ///< Attempts that failed in a row.
};

} // namespace

struct peer_links::implementation {
  node_state &State;
  peer_events Events;
  std::unique_ptr<event::listener> Listener;
  std::map<node_id, outbound_link> Links;
  std::set<std::shared_ptr<peer_session>> Sessions;
  std::uint32_t TotalAwaited = 0;
  bool CheckPlanned = false;

  void accept(std::shared_ptr<event::stream> Stream);
  void handleSession(const std::shared_ptr<peer_session> &Session);
  void beginSession(peer_session &Session, const mesh::host_record &Peer);
  void endSession(const std::shared_ptr<peer_session> &Session);
  auto open(const node_id &Node, outbound_link &Link) -> bool;
  void handleLink(const node_id &Node);
  void endLink(const node_id &Node, bool Established, const char *Reason);
  void planCheck();
  void checkSilence();
};

peer_links::peer_links(node_state &State, peer_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, std::move(Events), {}, {}, {}, 0, false})) {}

peer_links::~peer_links() = default;

auto peer_links::listen() -> result<done> {
  auto *State = Impl.get();
  auto Opened =
      event::listener::open(Impl->State.Loop, Impl->State.Settings.Peer,
                            [State](std::shared_ptr<event::stream> Stream) {
                              State->accept(std::move(Stream));
                            });
  if (!isOk(Opened)) {
    return errorOf(Opened);
  }
  Impl->Listener = std::move(valueOf(Opened));
  return done();
}

void peer_links::implementation::accept(std::shared_ptr<event::stream> Stream) {
  auto Session =
      std::make_shared<peer_session>(peer_session{std::move(Stream), {}, {}});
  auto Weak = std::weak_ptr<peer_session>(Session);
  Sessions.insert(Session);
  Session->Stream->OnData = [this, Weak] {
    if (auto Self = Weak.lock()) {
      handleSession(Self);
    }
  };
  Session->Stream->OnClosed = [this, Weak](event::close_reason) {
    if (auto Self = Weak.lock()) {
      endSession(Self);
    }
  };
}

void peer_links::implementation::handleSession(
    const std::shared_ptr<peer_session> &Session) {
  auto Valid = readMessages(
      *Session->Stream, State.Loop.now(), [&](decoded_mesh_message Decoded) {
        auto &Message = Decoded.Message;
        if (auto *Opened = std::get_if<opened_message>(&Message)) {
          beginSession(*Session, Opened->Sender);
        }
        auto Delay = transitDelay(*Session, Decoded.SentAt, State.Loop.now());
        if (auto *Forward = std::get_if<forward_message>(&Message)) {
          Forward->TimeToStartOnTime -= Delay;
          Forward->TimeToLatestStart -= Delay;
          Forward->TimeLeft -= Delay;
        }
        if (std::holds_alternative<ping_message>(Message)) {
          sendOn(*Session, pong_message(), State.Loop.now());
        } else if (!Session->Peer.Node.Value.empty()) {
          Events.OnSessionMessage(Session, std::move(Message));
        }
        return Session->Stream->isOpen();
      });
  if (!Valid) {
    ++State.Counters.BadInput["peer"];
    State.Log.write(log_class::State, "peer.malformed",
                    {{"peer", Session->Peer.Node.Value}});
    Session->Stream->close();
    endSession(Session);
  }
}

void peer_links::implementation::beginSession(peer_session &Session,
                                              const mesh::host_record &Peer) {
  Session.Peer = Peer;
  // An earlier connection of the same process knows the clocks already.
  for (const auto &Other : Sessions) {
    if (Other->Peer.Node == Peer.Node && Other->LeastOffset &&
        Other->Peer.Incarnation == Peer.Incarnation) {
      Session.LeastOffset = Other->LeastOffset;
    }
  }
}

void peer_links::implementation::endSession(
    const std::shared_ptr<peer_session> &Session) {
  // Told first: the erased element may be the last owner.
  if (Sessions.contains(Session)) {
    Events.OnSessionLost(Session);
    Sessions.erase(Session);
  }
}

auto peer_links::implementation::open(const node_id &Node, outbound_link &Link)
    -> bool {
  const auto *Host = State.Hosts.find(Node);
  auto Now = State.Loop.now();
  if (Host == nullptr || Link.RetryAt > Now) {
    return false;
  }
  Link.Stream = event::stream::connect(State.Loop, Host->Peer, ConnectTimeout);
  Link.HeardAt = Now;
  Link.PingedAt = steady_time();
  auto Established = std::make_shared<bool>(false);
  Link.Stream->OnConnected = [this, Node, Established] {
    *Established = true;
    Links[Node].Failures = 0;
    Links[Node].HeardAt = State.Loop.now();
  };
  Link.Stream->OnData = [this, Node] { handleLink(Node); };
  Link.Stream->OnClosed = [this, Node, Established](event::close_reason) {
    endLink(Node, *Established, "closed");
  };
  Link.Stream->send(encodeMeshMessage(opened_message{State.Own}, Now));
  return true;
}

void peer_links::implementation::handleLink(const node_id &Node) {
  auto &Link = Links[Node];
  auto Stream = Link.Stream;
  Link.HeardAt = State.Loop.now();
  Link.PingedAt = steady_time();
  auto Valid = readMessages(
      *Stream, State.Loop.now(), [&](decoded_mesh_message Decoded) {
        Events.OnLinkMessage(Node, std::move(Decoded.Message));
        return Links[Node].Stream == Stream;
      });
  if (!Valid) {
    ++State.Counters.BadInput["peer"];
    Stream->close();
    endLink(Node, true, "malformed");
  }
}

void peer_links::implementation::endLink(const node_id &Node, bool Established,
                                         const char *Reason) {
  auto &Link = Links[Node];
  Link.Stream = nullptr;
  // A link that had worked is tried again at once; the next failure waits.
  if (!Established) {
    auto Pause = micros(FirstPause * (1LL << std::min(Link.Failures, 4U)));
    Link.RetryAt = State.Loop.now() + std::min(Pause, LongestPause);
    ++Link.Failures;
  }
  ++State.Counters.LinksLost;
  State.Log.write(log_class::State, "link.lost",
                  {{"peer", Node.Value},
                   {"reason", Established ? Reason : "connect failed"},
                   {"failures", std::int64_t{Link.Failures}},
                   {"awaited", std::int64_t{Link.Awaited}}});
  Events.OnLinkLost(Node, Established);
}

auto peer_links::send(const node_id &Node, const mesh_message &Message)
    -> bool {
  auto &Link = Impl->Links[Node];
  if (!Link.Stream && !Impl->open(Node, Link)) {
    return false;
  }
  Link.Stream->send(encodeMeshMessage(Message, Impl->State.Loop.now()));
  return true;
}

void peer_links::noteAwaited(const node_id &Node, int Change) {
  auto &Link = Impl->Links[Node];
  if (Change > 0) {
    if (Link.Awaited == 0) {
      Link.AwaitedAt = Impl->State.Loop.now();
    }
    ++Link.Awaited;
    ++Impl->TotalAwaited;
    Impl->planCheck();
  } else if (Link.Awaited > 0) {
    --Link.Awaited;
    --Impl->TotalAwaited;
  }
}

void peer_links::implementation::planCheck() {
  if (CheckPlanned || TotalAwaited == 0) {
    return;
  }
  CheckPlanned = true;
  State.Loop.addTimer(State.Loop.now() + CheckInterval, [this] {
    CheckPlanned = false;
    checkSilence();
    planCheck();
  });
}

void peer_links::implementation::checkSilence() {
  auto Now = State.Loop.now();
  auto Silent = std::vector<node_id>();
  for (auto &[Node, Link] : Links) {
    if (Link.Awaited == 0 || !Link.Stream || !Link.Stream->isOpen()) {
      continue;
    }
    if (Link.PingedAt != steady_time()) {
      if (Now - Link.PingedAt > PongTimeout) {
        Silent.push_back(Node);
      }
    } else if (Now - std::max(Link.HeardAt, Link.AwaitedAt) >
               SilenceBeforePing) {
      Link.PingedAt = Now;
      Link.Stream->send(encodeMeshMessage(ping_message(), Now));
    }
  }
  for (const auto &Node : Silent) {
    Links[Node].Stream->close();
    endLink(Node, true, "silent");
  }
}

void peer_links::close() {
  Impl->Listener = nullptr;
  for (auto &[Node, Link] : Impl->Links) {
    if (Link.Stream) {
      Link.Stream->close();
    }
  }
  for (const auto &Session : Impl->Sessions) {
    Session->Stream->close();
  }
}

} // namespace sycamorelb::sidecar
