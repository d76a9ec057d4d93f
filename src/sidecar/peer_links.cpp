/** @file peer_links.cpp Connections between nodes. */
#include "sidecar/peer_links.h"

#include "sidecar/caller_relief.h"
#include "sidecar/message_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Time to establish a connection; several round trips between zones. */
static constexpr auto ConnectTimeout = millis(400);
/** Silence of a host with awaited replies after which a ping is sent. */
static constexpr auto SilenceBeforePing = micros(400'000);
/** Time without a pong after which the connection counts as broken. */
static constexpr auto PongTimeout = micros(900'000);
/** Interval of the silence checks while replies are awaited. */
static constexpr auto SilenceCheckInterval = micros(150'000);
/** Delay before reconnecting after a failed attempt; doubles with each failure.
 */
static constexpr auto InitialReconnectDelay = micros(200'000);
static constexpr auto MaxReconnectDelay = micros(3'000'000);

/** Received bytes of a node that wait in the kernel, at most: what a link of
 * 1 Gbit/s transfers in 1.5 ms. */
static constexpr auto MaxUnreadBytes = std::size_t{192} * 1024;
/** Time in which a connection must tell which node has opened it. */
static constexpr auto IntroductionTimeout = micros(5'000'000);
/** Largest message that tells it, in bytes; host records are smaller. */
static constexpr auto MaxIntroductionBytes = std::size_t{16} * 1024;

/** Largest body of a call or reply, in bytes, that is compressed. */
static constexpr auto MaxCompressedBody = std::size_t{4096};

/** @return the kind of a message, for the traffic counters. */
static auto kindOf(const mesh_message &Message) -> std::string_view {
  if (const auto *Gossip = std::get_if<gossip_message>(&Message)) {
    if (!Gossip->Records.empty()) {
      return "configuration";
    }
    if (!Gossip->Hosts.empty() || !Gossip->Summary.empty()) {
      return "hosts";
    }
    if (!Gossip->Usage.empty()) {
      return "usage";
    }
    return Gossip->Evidence.empty() ? "gossip" : "evidence";
  }
  if (std::holds_alternative<forward_message>(Message)) {
    return "call";
  }
  return std::holds_alternative<reply_message>(Message) ? "reply" : "control";
}

/** @return whether compression is worth its processor time: bytes within a zone
 * are cheap, and large bodies of callers are mostly compressed already. */
static auto isWorthCompressing(const mesh_message &Message) -> bool {
  if (const auto *Forward = std::get_if<forward_message>(&Message)) {
    return Forward->Request.Body.size() <= MaxCompressedBody;
  }
  if (const auto *Reply = std::get_if<reply_message>(&Message)) {
    return Reply->Response.Body.size() <= MaxCompressedBody;
  }
  // The first message of a connection stays readable for any build.
  return !std::holds_alternative<opened_message>(Message);
}

/** Encodes a message for a host and counts its bytes.
 * @param Compression dictionary of the messages that the host reads. */
static auto encodeFor(node_state &State, const zone_id &Zone,
                      std::uint32_t Compression, const mesh_message &Message)
    -> std::string {
  auto Bytes = encodeMeshMessage(Message, State.Loop.now());
  if (Zone != State.Own.Zone && Compression == State.Own.Compression &&
      Compression != 0 && isWorthCompressing(Message)) {
    Bytes = State.Compressor.compress(Bytes);
  }
  auto &Traffic =
      State.Counters.PeerTraffic[{kindOf(Message), Zone == State.Own.Zone}];
  ++Traffic.Messages;
  Traffic.Bytes += Bytes.size();
  return Bytes;
}

void sendOnSession(node_state &State, const peer_session &Session,
                   const mesh_message &Message) {
  Session.Stream->sendOwned(
      encodeFor(State, Session.Peer.Zone, Session.Peer.Compression, Message));
}

auto transitDelay(peer_session &Session, steady_time SentAt, steady_time Now)
    -> micros {
  auto Offset = Now - SentAt;
  if (!Session.MinClockOffset || Offset < *Session.MinClockOffset) {
    Session.MinClockOffset = Offset;
  }
  return Offset - *Session.MinClockOffset;
}

/** @return whether the node at the other end has told which one it is. */
static auto isIntroduced(const peer_session &Session) -> bool {
  return !Session.Peer.Node.Value.empty();
}

/** Counts and logs why a connection ends. */
static void recordBadMessage(node_state &State, const node_id &Peer,
                             read_end End) {
  auto IsMalformed = End == read_end::Malformed;
  ++(IsMalformed ? State.Counters.BadInput["peer"]
                 : State.Counters.CallersClosed["peer: no memory"]);
  State.Log.write(log_class::State,
                  IsMalformed ? "peer.malformed" : "peer.no_memory",
                  {{"peer", Peer.Value}});
}

namespace {

/** A connection that this node opens, and its retry state. */
struct outbound_link {
  std::shared_ptr<event::stream> Stream; ///< Null while not connected.
  message_intake Intake;                 ///< Of large messages on Stream.
  zone_id Zone;                          ///< Zone of the host.
  process_id Process;                    ///< At the other end, once it told.
  std::uint32_t Compression = 0;         ///< Of messages that it reads.
  steady_time LastReceivedAt{};          ///< When data last arrived.
  steady_time AwaitingSince{};           ///< Since when replies are awaited.
  steady_time PingedAt{};                ///< Unanswered ping; zero for none.
  steady_time RetryNotBefore{};     ///< No connection attempts before this.
  std::uint32_t AwaitedReplies = 0; ///< Number of awaited replies.
  std::uint32_t ConsecutiveFailures = 0; ///< Failed attempts in a row.
};

} // namespace

struct peer_links::implementation {
  node_state &State;
  peer_events Events;
  std::unique_ptr<event::listener> Listener;
  std::map<node_id, outbound_link> Links;
  std::set<std::shared_ptr<peer_session>> Sessions;
  std::uint32_t TotalAwaitedReplies = 0;
  bool CheckScheduled = false;

  void accept(std::shared_ptr<event::stream> Stream);
  /** Closes the oldest connection of an unknown node if there are as many of
   * them as allowed. */
  void makeRoomForStranger();
  void closeStranger(const std::shared_ptr<peer_session> &Session,
                     const char *Cause);
  void receiveOnSession(const std::shared_ptr<peer_session> &Session);
  void handleOnSession(const std::shared_ptr<peer_session> &Session,
                       decoded_mesh_message Decoded);
  void beginSession(peer_session &Session, const mesh::host_record &Peer);
  void endSession(const std::shared_ptr<peer_session> &Session);
  auto openLink(const node_id &Node, outbound_link &Link) -> bool;
  void receiveOnLink(const node_id &Node);
  void endLink(const node_id &Node, bool Established, const char *Reason);
  void scheduleSilenceCheck();
  void checkSilence();
};

peer_links::peer_links(node_state &State, peer_events Events)
    : Impl(std::make_unique<implementation>(
          implementation{State, std::move(Events), {}, {}, {}, 0, false})) {}

peer_links::~peer_links() = default;

auto peer_links::listen() -> result<done> {
  auto *Self = Impl.get();
  auto Opened =
      event::listener::open(Impl->State.Loop, Impl->State.Settings.PeerAddress,
                            [Self](std::shared_ptr<event::stream> Stream) {
                              Self->accept(std::move(Stream));
                            });
  if (!isOk(Opened)) {
    return errorOf(Opened);
  }
  Impl->Listener = std::move(valueOf(Opened));
  Impl->Listener->AcceptsPerEvent = acceptsPerEvent(
      maxListenerConnections(Impl->State.Settings.FileDescriptors));
  return done();
}

void peer_links::implementation::accept(std::shared_ptr<event::stream> Stream) {
  makeRoomForStranger();
  auto Session = std::make_shared<peer_session>();
  Session->Stream = std::move(Stream);
  Session->Stream->limitUnread(MaxUnreadBytes);
  Session->AcceptedAt = State.Loop.now();
  auto Weak = std::weak_ptr<peer_session>(Session);
  Sessions.insert(Session);
  Session->Stream->OnData = [this, Weak] {
    if (auto Self = Weak.lock()) {
      receiveOnSession(Self);
    }
  };
  Session->Stream->OnClosed = [this, Weak](event::close_reason) {
    if (auto Self = Weak.lock()) {
      endSession(Self);
    }
  };
  State.Loop.addTimer(Session->AcceptedAt + IntroductionTimeout, [this, Weak] {
    auto Self = Weak.lock();
    if (Self && !isIntroduced(*Self)) {
      closeStranger(Self, "peer: no introduction");
    }
  });
}

void peer_links::implementation::makeRoomForStranger() {
  auto Count = std::size_t{0};
  auto Oldest = std::shared_ptr<peer_session>();
  for (const auto &Session : Sessions) {
    if (!isIntroduced(*Session)) {
      ++Count;
      if (!Oldest || Session->AcceptedAt < Oldest->AcceptedAt) {
        Oldest = Session;
      }
    }
  }
  if (Oldest &&
      Count >= maxListenerConnections(State.Settings.FileDescriptors)) {
    closeStranger(Oldest, "peer: no descriptor");
  }
}

void peer_links::implementation::closeStranger(
    const std::shared_ptr<peer_session> &Session, const char *Cause) {
  ++State.Counters.CallersClosed[Cause];
  Session->Stream->close();
  endSession(Session);
}

void peer_links::implementation::receiveOnSession(
    const std::shared_ptr<peer_session> &Session) {
  if (!isIntroduced(*Session) &&
      messageSize(Session->Stream->input()).value_or(0) >
          MaxIntroductionBytes) {
    return closeStranger(Session, "peer: no introduction");
  }
  auto Refuse = call_refusal{true, [&](call_number Call) {
                               if (isIntroduced(*Session)) {
                                 Events.OnCallWithoutMemory(Session, Call);
                               }
                             }};
  auto End = readMessages(State, *Session->Stream, Session->Intake, Refuse,
                          [&](decoded_mesh_message Decoded) {
                            handleOnSession(Session, std::move(Decoded));
                            return Session->Stream->isOpen();
                          });
  if (End != read_end::Open) {
    recordBadMessage(State, Session->Peer.Node, End);
    Session->Stream->close();
    endSession(Session);
  }
}

void peer_links::implementation::handleOnSession(
    const std::shared_ptr<peer_session> &Session,
    decoded_mesh_message Decoded) {
  auto &Message = Decoded.Message;
  if (auto *Opened = std::get_if<opened_message>(&Message)) {
    beginSession(*Session, Opened->Sender);
    // Tells the peer which process gets its calls.
    sendOnSession(State, *Session, opened_message{State.Own});
  }
  auto Delay = transitDelay(*Session, Decoded.SentAt, State.Loop.now());
  if (auto *Forward = std::get_if<forward_message>(&Message)) {
    Forward->TimeToStartOnTime -= Delay;
    Forward->TimeToLatestStart -= Delay;
    Forward->TimeLeft -= Delay;
  } else if (auto *Update = std::get_if<gossip_message>(&Message)) {
    if (Update->StoreAge) {
      *Update->StoreAge += Delay;
    }
  }
  if (std::holds_alternative<ping_message>(Message)) {
    sendOnSession(State, *Session, pong_message());
  } else if (isIntroduced(*Session)) {
    Events.OnSessionMessage(Session, std::move(Message));
  }
}

void peer_links::implementation::beginSession(peer_session &Session,
                                              const mesh::host_record &Peer) {
  Session.Peer = Peer;
  // A previous connection from the same process has already measured the clock
  // offset.
  for (const auto &Other : Sessions) {
    if (Other->Peer.Node == Peer.Node && Other->MinClockOffset &&
        Other->Peer.Process == Peer.Process) {
      Session.MinClockOffset = Other->MinClockOffset;
    }
  }
}

void peer_links::implementation::endSession(
    const std::shared_ptr<peer_session> &Session) {
  // Notify first: the erased element may be the last owner of the session.
  if (Sessions.contains(Session)) {
    Events.OnSessionLost(Session);
    Sessions.erase(Session);
  }
}

auto peer_links::implementation::openLink(const node_id &Node,
                                          outbound_link &Link) -> bool {
  const auto *Host = State.Hosts.find(Node);
  auto Now = State.Loop.now();
  if (Host == nullptr || Link.RetryNotBefore > Now) {
    return false;
  }
  Link.Stream = event::stream::connect(State.Loop, Host->Peer, ConnectTimeout);
  Link.Stream->limitUnread(MaxUnreadBytes);
  Link.Process = process_id();
  Link.Intake = message_intake();
  Link.LastReceivedAt = Now;
  Link.PingedAt = steady_time();
  auto Established = std::make_shared<bool>(false);
  Link.Stream->OnConnected = [this, Node, Established] {
    *Established = true;
    Links[Node].ConsecutiveFailures = 0;
    Links[Node].LastReceivedAt = State.Loop.now();
  };
  Link.Stream->OnData = [this, Node] { receiveOnLink(Node); };
  Link.Stream->OnClosed = [this, Node, Established](event::close_reason) {
    endLink(Node, *Established, "closed");
  };
  Link.Zone = Host->Zone;
  Link.Compression = Host->Compression;
  Link.Stream->send(encodeFor(State, Link.Zone, 0, opened_message{State.Own}));
  return true;
}

void peer_links::implementation::receiveOnLink(const node_id &Node) {
  auto &Link = Links[Node];
  auto Stream = Link.Stream;
  Link.LastReceivedAt = State.Loop.now();
  Link.PingedAt = steady_time();
  auto Refuse = call_refusal{false, [&](call_number Call) {
                               Events.OnReplyWithoutMemory(Node, Call);
                             }};
  auto End = readMessages(
      State, *Stream, Link.Intake, Refuse, [&](decoded_mesh_message Decoded) {
        if (const auto *Opened =
                std::get_if<opened_message>(&Decoded.Message)) {
          Links[Node].Process = Opened->Sender.Process;
        }
        Events.OnLinkMessage(Node, std::move(Decoded.Message));
        return Links[Node].Stream == Stream;
      });
  if (End != read_end::Open && Links[Node].Stream == Stream) {
    recordBadMessage(State, Node, End);
    Stream->close();
    endLink(Node, true, End == read_end::Malformed ? "malformed" : "no memory");
  }
}

void peer_links::implementation::endLink(const node_id &Node, bool Established,
                                         const char *Reason) {
  auto &Link = Links[Node];
  Link.Stream = nullptr;
  // An established connection that was lost is reopened without a delay; only
  // failed attempts cause one.
  if (!Established) {
    auto Delay = micros(InitialReconnectDelay *
                        (1LL << std::min(Link.ConsecutiveFailures, 4U)));
    Link.RetryNotBefore = State.Loop.now() + std::min(Delay, MaxReconnectDelay);
    ++Link.ConsecutiveFailures;
  }
  ++State.Counters.LinksLost;
  State.Log.write(log_class::State, "link.lost",
                  {{"peer", Node.Value},
                   {"reason", Established ? Reason : "connect failed"},
                   {"failures", std::int64_t{Link.ConsecutiveFailures}},
                   {"awaited", std::int64_t{Link.AwaitedReplies}}});
  Events.OnLinkLost(Node, Established, Link.Process);
}

auto peer_links::send(const node_id &Node, const mesh_message &Message)
    -> bool {
  auto &Link = Impl->Links[Node];
  if (!Link.Stream && !Impl->openLink(Node, Link)) {
    return false;
  }
  Link.Stream->sendOwned(
      encodeFor(Impl->State, Link.Zone, Link.Compression, Message));
  return true;
}

void peer_links::adjustAwaitedReplies(const node_id &Node, int Change) {
  auto &Link = Impl->Links[Node];
  if (Change > 0) {
    if (Link.AwaitedReplies == 0) {
      Link.AwaitingSince = Impl->State.Loop.now();
    }
    ++Link.AwaitedReplies;
    ++Impl->TotalAwaitedReplies;
    Impl->scheduleSilenceCheck();
  } else if (Link.AwaitedReplies > 0) {
    --Link.AwaitedReplies;
    --Impl->TotalAwaitedReplies;
  }
}

void peer_links::implementation::scheduleSilenceCheck() {
  if (CheckScheduled || TotalAwaitedReplies == 0) {
    return;
  }
  CheckScheduled = true;
  State.Loop.addTimer(State.Loop.now() + SilenceCheckInterval, [this] {
    CheckScheduled = false;
    checkSilence();
    scheduleSilenceCheck();
  });
}

void peer_links::implementation::checkSilence() {
  auto Now = State.Loop.now();
  auto Silent = std::vector<node_id>();
  for (auto &[Node, Link] : Links) {
    if (Link.AwaitedReplies == 0 || !Link.Stream || !Link.Stream->isOpen()) {
      continue;
    }
    if (Link.PingedAt != steady_time()) {
      if (Now - Link.PingedAt > PongTimeout) {
        Silent.push_back(Node);
      }
    } else if (Now - std::max(Link.LastReceivedAt, Link.AwaitingSince) >
               SilenceBeforePing) {
      Link.PingedAt = Now;
      Link.Stream->send(
          encodeFor(State, Link.Zone, Link.Compression, ping_message()));
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
