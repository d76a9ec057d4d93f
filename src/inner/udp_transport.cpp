/** @file udp_transport.cpp UDP socket for authenticated datagrams. */
#include "sycamorelb/inner/udp_transport.h"

#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/inner/codec_func.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sycamorelb::inner {

namespace {

/** A socket address with its length. */
struct socket_address {
  sockaddr_storage Storage{};
  socklen_t Length = 0;
  auto raw() -> sockaddr * { return reinterpret_cast<sockaddr *>(&Storage); }
};

/** Parses "ip:port" or "[ipv6]:port". */
auto parseAddress(const std::string &Text) -> std::optional<socket_address> {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0) {
    return std::nullopt;
  }
  auto Port = std::uint16_t{0};
  const auto *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End) {
    return std::nullopt;
  }
  auto Address = socket_address{};
  if (Text[0] == '[' && Text[Colon - 1] == ']') {
    auto *In6 = reinterpret_cast<sockaddr_in6 *>(&Address.Storage);
    In6->sin6_family = AF_INET6;
    In6->sin6_port = htons(Port);
    Address.Length = sizeof *In6;
    auto Host = Text.substr(1, Colon - 2);
    return inet_pton(AF_INET6, Host.c_str(), &In6->sin6_addr) == 1
               ? std::optional{Address}
               : std::nullopt;
  }
  auto *In4 = reinterpret_cast<sockaddr_in *>(&Address.Storage);
  In4->sin_family = AF_INET;
  In4->sin_port = htons(Port);
  Address.Length = sizeof *In4;
  auto Host = Text.substr(0, Colon);
  return inet_pton(AF_INET, Host.c_str(), &In4->sin_addr) == 1
             ? std::optional{Address}
             : std::nullopt;
}

auto formatAddress(const socket_address &Address) -> std::string {
  auto Host = std::array<char, INET6_ADDRSTRLEN>{};
  if (Address.Storage.ss_family == AF_INET6) {
    const auto *In6 = reinterpret_cast<const sockaddr_in6 *>(&Address.Storage);
    inet_ntop(AF_INET6, &In6->sin6_addr, Host.data(), Host.size());
    return "[" + std::string(Host.data()) +
           "]:" + std::to_string(ntohs(In6->sin6_port));
  }
  const auto *In4 = reinterpret_cast<const sockaddr_in *>(&Address.Storage);
  inet_ntop(AF_INET, &In4->sin_addr, Host.data(), Host.size());
  return std::string(Host.data()) + ":" + std::to_string(ntohs(In4->sin_port));
}

auto makeError(error_code Code, const char *Step, const std::string &Peer,
               std::string Message) -> error {
  return {
      .Code = Code, .Step = Step, .Peer = Peer, .Message = std::move(Message)};
}

using counter = std::atomic<std::uint64_t>;

/** Counters that several threads update and read. */
struct atomic_counters {
  counter DatagramsIn{0};
  counter BytesIn{0};
  counter DatagramsOut{0};
  counter BytesOut{0};
  counter DroppedOversized{0};
  counter DroppedUnauthorized{0};
  counter DroppedMalformed{0};
  counter DroppedOutsideWindow{0};
  counter DroppedSend{0};
};

} // namespace

struct udp_transport::impl {
  int Socket = -1;
  int WakeEvent = -1;
  node_id Self;
  std::string Local;
  std::atomic<std::shared_ptr<const auth_keys>> Keys;
  atomic_counters Counters;

  impl() = default;
  impl(const impl &) = delete;
  auto operator=(const impl &) -> impl & = delete;
  ~impl() {
    for (auto Descriptor : {Socket, WakeEvent}) {
      if (Descriptor >= 0) {
        ::close(Descriptor);
      }
    }
  }

  /** Verifies, decodes and counts a datagram. */
  auto accept(std::string_view Bytes) -> std::optional<datagram> {
    if (Bytes.size() > MaxDatagramBytes) {
      ++Counters.DroppedOversized;
      return std::nullopt;
    }
    auto Payload = verifyDatagram(*Keys.load(), Bytes);
    if (!isOk(Payload)) {
      ++Counters.DroppedUnauthorized;
      return std::nullopt;
    }
    auto Decoded = decodeDatagram(valueOf(Payload));
    if (!isOk(Decoded)) {
      ++Counters.DroppedMalformed;
      return std::nullopt;
    }
    if (!isWithinAuthWindow(valueOf(Decoded).SentAt, wallNow())) {
      ++Counters.DroppedOutsideWindow;
      return std::nullopt;
    }
    ++Counters.DatagramsIn;
    Counters.BytesIn += Bytes.size();
    return std::move(valueOf(Decoded));
  }

  /** Reads one datagram without blocking.
   * @return false when the socket has none. */
  auto readOne(std::optional<received_datagram> &Received) -> bool {
    // The extra byte reveals datagrams that exceed the limit.
    auto Buffer = std::array<char, MaxDatagramBytes + 1>{};
    auto From = socket_address{};
    From.Length = sizeof From.Storage;
    auto Size = ::recvfrom(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                           From.raw(), &From.Length);
    if (Size < 0) {
      // Errors of earlier sends, such as ECONNREFUSED, are also reported here.
      return errno != EAGAIN && errno != EWOULDBLOCK;
    }
    auto Bytes = std::string_view(Buffer.data(), static_cast<size_t>(Size));
    if (auto Accepted = accept(Bytes)) {
      Received = received_datagram{.Address = formatAddress(From),
                                   .Datagram = std::move(*Accepted)};
    }
    return true;
  }
};

udp_transport::udp_transport(std::unique_ptr<impl> State)
    : Impl(std::move(State)) {}
udp_transport::~udp_transport() = default;

auto udp_transport::open(const std::string &Address, const node_id &Self,
                         const auth_keys &Keys)
    -> result<std::unique_ptr<udp_transport>> {
  if (auto Checked = checkKeys(Keys); !isOk(Checked)) {
    return errorOf(Checked);
  }
  auto Parsed = parseAddress(Address);
  if (!Parsed) {
    return makeError(error_code::InvalidArgument, "open UDP socket", Address,
                     "the address is not \"ip:port\"");
  }
  auto State = std::make_unique<impl>();
  State->Self = Self;
  State->Keys.store(std::make_shared<const auth_keys>(Keys));
  State->WakeEvent = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  State->Socket = ::socket(Parsed->Storage.ss_family,
                           SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (State->Socket < 0 || State->WakeEvent < 0 ||
      ::bind(State->Socket, Parsed->raw(), Parsed->Length) != 0) {
    return makeError(error_code::Unreachable, "bind UDP socket", Address,
                     std::strerror(errno));
  }
  auto Bound = socket_address{};
  Bound.Length = sizeof Bound.Storage;
  ::getsockname(State->Socket, Bound.raw(), &Bound.Length);
  State->Local = formatAddress(Bound);
  return std::unique_ptr<udp_transport>(new udp_transport(std::move(State)));
}

auto udp_transport::send(const std::string &Address, const datagram_body &Body)
    -> result<done> {
  auto Drop = [&](error Error) -> result<done> {
    ++Impl->Counters.DroppedSend;
    return Error;
  };
  auto Target = parseAddress(Address);
  if (!Target) {
    return Drop(makeError(error_code::InvalidArgument, "send datagram", Address,
                          "the address is not \"ip:port\""));
  }
  auto Payload =
      encodeDatagram({.From = Impl->Self, .SentAt = wallNow(), .Body = Body});
  if (!isOk(Payload)) {
    return Drop(errorOf(Payload));
  }
  auto Bytes = signDatagram(*Impl->Keys.load(), valueOf(Payload));
  if (::sendto(Impl->Socket, Bytes.data(), Bytes.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL, Target->raw(),
               Target->Length) < 0) {
    return Drop(makeError(error_code::Unreachable, "send datagram", Address,
                          std::strerror(errno)));
  }
  ++Impl->Counters.DatagramsOut;
  Impl->Counters.BytesOut += Bytes.size();
  return done{};
}

auto udp_transport::receive(millis Timeout)
    -> std::optional<received_datagram> {
  auto Deadline = steadyNow() + Timeout;
  auto Received = std::optional<received_datagram>{};
  for (;;) {
    // The deadline is checked after each datagram, so that a flood of invalid
    // datagrams does not delay the timers of the caller.
    if (Impl->readOne(Received)) {
      if (Received || steadyNow() >= Deadline) {
        return Received;
      }
      continue;
    }
    auto Remaining = std::chrono::ceil<millis>(Deadline - steadyNow()).count();
    if (Remaining <= 0) {
      return std::nullopt;
    }
    auto PollEntries = std::array<pollfd, 2>{
        pollfd{.fd = Impl->Socket, .events = POLLIN, .revents = 0},
        pollfd{.fd = Impl->WakeEvent, .events = POLLIN, .revents = 0}};
    ::poll(PollEntries.data(), PollEntries.size(), static_cast<int>(Remaining));
    if (PollEntries[1].revents != 0) {
      auto Value = std::uint64_t{0};
      (void)!::read(Impl->WakeEvent, &Value, sizeof Value);
      return std::nullopt;
    }
  }
}

void udp_transport::wake() {
  auto Value = std::uint64_t{1};
  (void)!::write(Impl->WakeEvent, &Value, sizeof Value);
}

auto udp_transport::setKeys(const auth_keys &Keys) -> result<done> {
  auto Checked = checkKeys(Keys);
  if (isOk(Checked)) {
    Impl->Keys.store(std::make_shared<const auth_keys>(Keys));
  }
  return Checked;
}

auto udp_transport::localAddress() const -> std::string { return Impl->Local; }

auto udp_transport::counters() const -> udp_counters {
  const auto &From = Impl->Counters;
  return {.DatagramsIn = From.DatagramsIn,
          .BytesIn = From.BytesIn,
          .DatagramsOut = From.DatagramsOut,
          .BytesOut = From.BytesOut,
          .DroppedOversized = From.DroppedOversized,
          .DroppedUnauthorized = From.DroppedUnauthorized,
          .DroppedMalformed = From.DroppedMalformed,
          .DroppedOutsideWindow = From.DroppedOutsideWindow,
          .DroppedSend = From.DroppedSend};
}

} // namespace sycamorelb::inner
