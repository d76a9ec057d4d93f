/** @file stream.cpp Non-blocking TCP sockets. */
#include "sycamorelb/event/stream.h"
#include "event/socket_address.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace sycamorelb::event {

/** Maximum number of bytes read by one system call. */
static constexpr auto ReadChunkBytes = std::size_t{64} * 1024;
/** Maximum number of bytes read for one event. A peer that writes faster than
 * this process reads must not keep it from looking at what it has read. */
static constexpr auto MaxReadBytesPerEvent = 2 * ReadChunkBytes;
/** Consumed bytes above which they are erased from the input buffer. */
static constexpr auto CompactThresholdBytes = std::size_t{16} * 1024;
/** Memory that an empty buffer keeps: most connections are idle mostly, and a
 * host has hundreds. */
static constexpr auto MaxIdleBufferBytes = std::size_t{4} * 1024;
/** Smallest output that is taken over instead of copied: below, one system
 * call for it and the bytes before it is worth more than the copy. */
static constexpr auto MinOwnedBytes = std::size_t{64} * 1024;
/** Seconds of silence before a keep-alive probe, and between probes. */
static constexpr auto KeepAliveProbeSeconds = 1;
/** Unanswered probes after which a connection is lost. */
static constexpr auto KeepAliveProbeCount = 2;
/** Time after which a connection with unacknowledged bytes is lost. */
static constexpr auto UnacknowledgedTimeoutMs = 2500;
/** Time to write the remaining output of a closing connection. */
static constexpr auto LingerTimeout = millis(5000);

static void setOption(int Descriptor, int Level, int Name, int Value) {
  setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

static void setConnectionOptions(int Descriptor) {
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveProbeSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveProbeSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
}

struct stream::implementation {
  implementation(loop &Loop, int Descriptor, bool Connecting)
      : Loop(Loop), Descriptor(Descriptor), Connecting(Connecting) {}

  loop &Loop;
  int Descriptor;
  bool Connecting;
  bool Paused = false;
  bool ClosingAfterOutput = false;
  bool CountsAsLinkTraffic = true;
  /** A write failed. The kernel reports the error of a connection only once, so
   * a read afterwards sees the end of the stream instead of the reset. */
  bool WriteFailed = false;
  std::uint32_t Events = 0;
  std::string InputBuffer;
  std::size_t InputOffset = 0;
  std::string OutputBuffer;
  std::size_t OutputOffset = 0;
  std::deque<std::string> OutputQueue; // Follows OutputBuffer.
  std::size_t QueuedBytes = 0;         // Size of OutputQueue.
  memory_charge InputCharge{Loop.memory(), 0};
  memory_charge OutputCharge{Loop.memory(), 0};
  bool YieldsToPressure = false;
  bool IsLarge = false;
  std::optional<steady_time> HeldBackSince;
  std::size_t UnreadBytes = 0;  // In the kernel, while reading has stopped.
  std::size_t GrantedBytes = 0; // Read also under pressure.
  steady_time LastActivityAt = Loop.now();
  timer_id Timer{0};

  void updateCharges() {
    InputCharge.resize(InputBuffer.capacity() + UnreadBytes);
    OutputCharge.resize(OutputBuffer.capacity() + QueuedBytes);
  }

  /** @return whether other connections need the memory more. */
  auto mustHoldBack() const -> bool {
    if (!YieldsToPressure || GrantedBytes > 0) {
      return false;
    }
    auto Pressure = pressureOn(*Loop.memory());
    return Pressure == memory_pressure::Full ||
           (Pressure == memory_pressure::Large && IsLarge);
  }

  auto hasOutput() const -> bool {
    return OutputOffset < OutputBuffer.size() || !OutputQueue.empty();
  }

  auto wantedEvents() const -> std::uint32_t {
    auto Wanted = std::uint32_t{Paused || HeldBackSince ? 0U : EPOLLIN};
    if (Connecting || hasOutput()) {
      Wanted |= EPOLLOUT;
    }
    return Wanted;
  }

  void updateEvents() {
    if (Descriptor >= 0 && Events != wantedEvents()) {
      Events = wantedEvents();
      Loop.modifyWatch(Descriptor, Events);
    }
  }

  /** Empties a buffer, and frees its memory if it is large. */
  static void release(std::string &Buffer) {
    Buffer.clear();
    if (Buffer.capacity() > MaxIdleBufferBytes) {
      Buffer.shrink_to_fit();
    }
  }

  void closeDescriptor() {
    Loop.cancelTimer(Timer);
    if (std::exchange(ClosingAfterOutput, false)) {
      Loop.countLingering(-1);
    }
    if (Descriptor >= 0) {
      Loop.unwatch(Descriptor);
      ::close(Descriptor);
      Descriptor = -1;
      UnreadBytes = 0;
      updateCharges();
    }
  }

  /** Adds small output to the last buffer, unless that is a large one that was
   * taken over: it would be copied to grow. */
  void appendOutput(std::string_view Bytes) {
    auto &Last = OutputQueue.empty() ? OutputBuffer : OutputQueue.back();
    if (Last.size() >= MinOwnedBytes) {
      OutputQueue.emplace_back(Bytes);
      QueuedBytes += Bytes.size();
      return;
    }
    Last.append(Bytes);
    QueuedBytes += OutputQueue.empty() ? 0 : Bytes.size();
  }

  /** Writes queued output. @return false if the connection failed. */
  auto flush() -> bool {
    while (hasOutput()) {
      if (OutputOffset >= OutputBuffer.size()) {
        OutputBuffer = std::move(OutputQueue.front());
        OutputQueue.pop_front();
        QueuedBytes -= OutputBuffer.size();
        OutputOffset = 0;
        continue;
      }
      auto Sent = ::send(Descriptor, OutputBuffer.data() + OutputOffset,
                         OutputBuffer.size() - OutputOffset, MSG_NOSIGNAL);
      if (Sent < 0) {
        WriteFailed = errno != EAGAIN && errno != EINTR;
        return !WriteFailed;
      }
      OutputOffset += static_cast<std::size_t>(Sent);
      LastActivityAt = Loop.now();
      if (CountsAsLinkTraffic) {
        Loop.countTraffic(0, static_cast<std::size_t>(Sent));
      }
    }
    OutputOffset = 0;
    release(OutputBuffer);
    updateCharges();
    return true;
  }

  /** Reads the available bytes, or MaxReadBytesPerEvent of them; the event is
   * reported again for the rest. @return the reason if the connection ended. */
  auto receiveAvailable() -> std::optional<close_reason> {
    static thread_local auto Buffer = std::array<char, ReadChunkBytes>();
    for (auto Total = std::size_t{0}; Total < MaxReadBytesPerEvent;) {
      auto Got = ::recv(Descriptor, Buffer.data(), Buffer.size(), 0);
      if (Got > 0) {
        InputBuffer.append(Buffer.data(), static_cast<std::size_t>(Got));
        Total += static_cast<std::size_t>(Got);
        GrantedBytes -= std::min(GrantedBytes, static_cast<std::size_t>(Got));
        LastActivityAt = Loop.now();
        if (CountsAsLinkTraffic) {
          Loop.countTraffic(static_cast<std::size_t>(Got), 0);
        }
        if (static_cast<std::size_t>(Got) < Buffer.size()) {
          return std::nullopt;
        }
      } else if (Got == 0) {
        return close_reason::EndOfStream;
      } else if (errno != EINTR) {
        return errno == EAGAIN ? std::nullopt
                               : std::optional(close_reason::Reset);
      }
    }
    return std::nullopt;
  }
};

stream::stream(std::unique_ptr<implementation> Impl) : Impl(std::move(Impl)) {}

stream::~stream() { Impl->closeDescriptor(); }

/** Closes a connection, then calls OnClosed once. */
static void closeAndReport(stream &Stream, close_reason Reason) {
  auto Callback = std::move(Stream.OnClosed);
  Stream.close();
  if (Callback) {
    Callback(Reason);
  }
}

void stream::finishConnecting() {
  auto Error = 0;
  auto Size = socklen_t{sizeof(Error)};
  getsockopt(Impl->Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size);
  if (Error != 0) {
    return closeAndReport(*this, close_reason::ConnectFailed);
  }
  Impl->Loop.cancelTimer(Impl->Timer);
  Impl->Connecting = false;
  if (!Impl->flush()) {
    return closeAndReport(*this, close_reason::Reset);
  }
  Impl->updateEvents();
  if (auto Callback = std::move(OnConnected)) {
    Callback();
  }
  reportOutputWritten();
}

void stream::reportOutputWritten() {
  if (Impl->Descriptor >= 0 && pendingOutput() == 0 && OnOutputWritten) {
    // Copied, since the callback may replace it.
    auto Callback = OnOutputWritten;
    Callback();
  }
}

void stream::handleReady(std::uint32_t Ready) {
  auto Self = shared_from_this();
  if (Impl->Connecting) {
    return finishConnecting();
  }
  auto HadOutput = pendingOutput() > 0;
  if ((Ready & EPOLLOUT) != 0U && !Impl->flush()) {
    return closeAndReport(*this, close_reason::Reset);
  }
  if (HadOutput) {
    reportOutputWritten();
  }
  if (Impl->ClosingAfterOutput && !Impl->hasOutput()) {
    return close();
  }
  Impl->updateEvents();
  auto Broken = (Ready & (EPOLLHUP | EPOLLERR)) != 0U;
  if ((Impl->Paused || Impl->HeldBackSince) && Broken) {
    return closeAndReport(*this, close_reason::Reset);
  }
  if (Impl->Paused || ((Ready & EPOLLIN) == 0U && !Broken)) {
    return;
  }
  if (Impl->HeldBackSince || (!Broken && Impl->mustHoldBack())) {
    Impl->HeldBackSince = Impl->HeldBackSince.value_or(Impl->Loop.now());
    chargeUnread();
    return Impl->updateEvents();
  }
  auto SizeBefore = Impl->InputBuffer.size();
  auto End = Impl->receiveAvailable();
  if (End && Impl->WriteFailed) {
    End = close_reason::Reset;
  }
  Impl->updateCharges();
  if (Impl->InputBuffer.size() > SizeBefore && OnData) {
    // Copied, since the callback may replace OnData.
    auto Callback = OnData;
    Callback();
  }
  if (End && Impl->Descriptor >= 0) {
    closeAndReport(*this, *End);
  }
}

void stream::startWatching(std::uint32_t Events) {
  auto Weak = weak_from_this();
  Impl->Events = Events;
  Impl->Loop.watch(Impl->Descriptor, Events, [Weak](std::uint32_t Ready) {
    if (auto Self = Weak.lock()) {
      Self->handleReady(Ready);
    }
  });
}

auto stream::adopt(loop &Loop, int Descriptor) -> std::shared_ptr<stream> {
  setConnectionOptions(Descriptor);
  auto Stream = std::shared_ptr<stream>(
      new stream(std::make_unique<implementation>(Loop, Descriptor, false)));
  Stream->startWatching(EPOLLIN);
  return Stream;
}

auto stream::connect(loop &Loop, const endpoint &Peer, millis Timeout)
    -> std::shared_ptr<stream> {
  auto Descriptor = ::socket(
      AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  auto Stream = std::shared_ptr<stream>(
      new stream(std::make_unique<implementation>(Loop, Descriptor, true)));
  auto Weak = Stream->weak_from_this();
  auto Fail = [Weak] {
    if (auto Self = Weak.lock()) {
      closeAndReport(*Self, close_reason::ConnectFailed);
    }
  };
  if (Descriptor < 0) {
    Loop.defer(Fail);
    return Stream;
  }
  setConnectionOptions(Descriptor);
  auto Address = socketAddress(Peer);
  auto Status = ::connect(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS) {
    Loop.defer(Fail);
    return Stream;
  }
  Stream->startWatching(EPOLLOUT);
  Stream->Impl->Timer = Loop.addTimer(Loop.now() + Timeout, Fail);
  return Stream;
}

auto stream::input() const -> std::string_view {
  return std::string_view(Impl->InputBuffer).substr(Impl->InputOffset);
}

void stream::consume(std::size_t Count) {
  Impl->InputOffset += Count;
  if (Impl->InputOffset >= Impl->InputBuffer.size()) {
    Impl->InputOffset = 0;
    implementation::release(Impl->InputBuffer);
  } else if (Impl->InputOffset > CompactThresholdBytes) {
    // Also frees the memory of a large message that was followed by others.
    Impl->InputBuffer = std::string(input());
    Impl->InputOffset = 0;
  }
  Impl->updateCharges();
}

void stream::reserveInput(std::size_t Size) {
  static constexpr auto Padding = std::size_t{4};
  auto Aligned = Impl->InputOffset % 8 == Padding;
  if (Aligned && Impl->InputBuffer.capacity() >= Impl->InputOffset + Size) {
    return;
  }
  auto Buffer = std::string();
  Buffer.reserve(Padding + Size);
  Buffer.append(Padding, '\0').append(input());
  Impl->InputBuffer = std::move(Buffer);
  Impl->InputOffset = Padding;
  Impl->updateCharges();
}

void stream::send(std::string_view Bytes) {
  if (Impl->Descriptor < 0) {
    return;
  }
  Impl->appendOutput(Bytes);
  writeOutput();
}

void stream::sendOwned(std::string Bytes) {
  if (Bytes.size() < MinOwnedBytes) {
    return send(Bytes);
  }
  if (Impl->Descriptor < 0) {
    return;
  }
  Impl->QueuedBytes += Bytes.size();
  Impl->OutputQueue.push_back(std::move(Bytes));
  writeOutput();
}

void stream::writeOutput() {
  Impl->updateCharges();
  if (Impl->Connecting) {
    return;
  }
  if (!Impl->flush()) {
    // Deferred, since callers do not expect callbacks from within send().
    auto Weak = weak_from_this();
    Impl->Loop.defer([Weak] {
      auto Self = Weak.lock();
      if (Self && Self->Impl->Descriptor >= 0) {
        closeAndReport(*Self, close_reason::Reset);
      }
    });
    return;
  }
  Impl->updateEvents();
}

auto stream::pendingOutput() const -> std::size_t {
  return Impl->OutputBuffer.size() - Impl->OutputOffset + Impl->QueuedBytes;
}

auto stream::isOpen() const -> bool {
  return Impl->Descriptor >= 0 && !Impl->Connecting;
}

void stream::excludeFromLinkTraffic() { Impl->CountsAsLinkTraffic = false; }

void stream::pauseReading(bool Paused) {
  if (std::exchange(Impl->Paused, Paused) != Paused) {
    chargeUnread();
  }
  if (!Impl->Connecting) {
    Impl->updateEvents();
  }
}

void stream::yieldToPressure(bool IsLarge) {
  Impl->YieldsToPressure = true;
  Impl->IsLarge = IsLarge;
  if (!IsLarge) {
    Impl->GrantedBytes = 0;
  }
}

void stream::limitUnread(std::size_t Bytes) {
  if (Impl->Descriptor >= 0) {
    setOption(Impl->Descriptor, SOL_SOCKET, SO_RCVBUF, static_cast<int>(Bytes));
  }
}

void stream::chargeUnread() {
  auto Unread = 0;
  if ((Impl->HeldBackSince || Impl->Paused) && Impl->Descriptor >= 0) {
    ::ioctl(Impl->Descriptor, FIONREAD, &Unread);
  }
  Impl->UnreadBytes = static_cast<std::size_t>(std::max(0, Unread));
  Impl->updateCharges();
}

auto stream::heldBackSince() const -> std::optional<steady_time> {
  return Impl->HeldBackSince;
}

void stream::readOn(std::size_t Bytes) {
  Impl->GrantedBytes = std::max(Impl->GrantedBytes, Bytes);
  Impl->HeldBackSince = std::nullopt;
  chargeUnread();
  // Waiting for memory is no silence of the peer.
  Impl->LastActivityAt = Impl->Loop.now();
  if (!Impl->Connecting) {
    Impl->updateEvents();
  }
}

auto stream::lastActivityAt() const -> steady_time {
  return Impl->LastActivityAt;
}

auto stream::heldBytes() const -> std::size_t {
  return Impl->InputCharge.bytes() + Impl->OutputCharge.bytes();
}

void stream::close() {
  OnClosed = nullptr;
  Impl->closeDescriptor();
}

void stream::closeAfterOutput() {
  OnClosed = nullptr;
  OnData = nullptr;
  OnOutputWritten = nullptr;
  if (Impl->Descriptor < 0 || pendingOutput() == 0) {
    return Impl->closeDescriptor();
  }
  Impl->ClosingAfterOutput = true;
  Impl->Loop.countLingering(1);
  // The timer keeps the stream alive until its output is written.
  auto Self = shared_from_this();
  Impl->Timer = Impl->Loop.addTimer(Impl->Loop.now() + LingerTimeout,
                                    [Self] { Self->close(); });
}

} // namespace sycamorelb::event
