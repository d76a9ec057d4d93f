/** @file connection.cpp Socket operations with deadlines. */
#include "proxy/connection.h"

#include "sycamorelb/core/clock_func.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace sycamorelb::proxy {

// Maximum bytes per read, which bounds the memory used per direction.
static constexpr auto ReadChunkBytes = std::size_t{32} * 1024;

auto statusName(io_status Status) -> const char * {
  switch (Status) {
  case io_status::Ok:
    return "ok";
  case io_status::Closed:
    return "connection closed by the peer";
  case io_status::Failed:
    return "connection broken";
  case io_status::TimedOut:
    return "timed out";
  case io_status::CallerLeft:
    return "caller left";
  case io_status::EarlyResponse:
    return "early answer";
  }
  return "unknown";
}

/** Waits until Fd reports one of Events or an error. */
static auto waitFor(int Fd, short Events, const wait_limits &Limits)
    -> io_status {
  // poll ignores negative descriptors.
  auto Polled = std::array<pollfd, 3>{{{Fd, Events, 0},
                                       {Limits.CallerFd, POLLRDHUP, 0},
                                       {Limits.ResponseFd, POLLIN, 0}}};
  for (;;) {
    auto Remaining = Limits.Deadline - steadyNow();
    auto Millis = std::clamp<std::int64_t>(
        std::chrono::ceil<millis>(Remaining).count(), 0, 60'000);
    auto Ready = ::poll(Polled.data(), Polled.size(), static_cast<int>(Millis));
    if (Ready < 0 && errno != EINTR) {
      return io_status::Failed;
    }
    if (Ready > 0 && Polled[0].revents != 0) {
      auto OnlyInput = (Polled[0].revents & Events & ~POLLIN) == 0;
      return Limits.StopOnInput && OnlyInput ? io_status::EarlyResponse
                                             : io_status::Ok;
    }
    if (Ready > 0 && Polled[1].revents != 0) {
      return io_status::CallerLeft;
    }
    if (Ready > 0 && Polled[2].revents != 0) {
      return io_status::EarlyResponse;
    }
    if (Ready == 0 && steadyNow() >= Limits.Deadline) {
      return io_status::TimedOut;
    }
  }
}

auto waitForEither(const std::array<int, 2> &Fds, const wait_limits &Limits,
                   std::size_t &ReadyIndex) -> io_status {
  auto Wait = Limits;
  Wait.ResponseFd = Fds[1];
  auto Status = waitFor(Fds[0], POLLIN, Wait);
  ReadyIndex = Status == io_status::EarlyResponse ? 1 : 0;
  return Status == io_status::EarlyResponse ? io_status::Ok : Status;
}

connection::~connection() {
  if (Fd >= 0) {
    ::close(Fd);
  }
}

auto connection::receiveAvailable() -> io_status {
  if (InputOffset > 0) {
    Buffer.erase(0, InputOffset);
    InputOffset = 0;
  }
  auto Used = Buffer.size();
  Buffer.resize(Used + ReadChunkBytes);
  auto Count = ::recv(Fd, Buffer.data() + Used, ReadChunkBytes, MSG_DONTWAIT);
  auto Error = errno;
  Buffer.resize(Used + static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
  if (Count > 0) {
    return io_status::Ok;
  }
  if (Count == 0) {
    return io_status::Closed;
  }
  return Error == EAGAIN || Error == EINTR ? io_status::TimedOut
                                           : io_status::Failed;
}

auto connection::receive(const wait_limits &Limits) -> io_status {
  for (;;) {
    if (auto Status = waitFor(Fd, POLLIN, Limits); Status != io_status::Ok) {
      return Status;
    }
    if (auto Status = receiveAvailable(); Status != io_status::TimedOut) {
      return Status;
    }
  }
}

auto connection::write(std::string_view First, std::string_view Second,
                       const wait_limits &Limits, std::uint64_t &Written)
    -> io_status {
  while (!First.empty() || !Second.empty()) {
    // sendmsg does not write through iov_base, although it is not const.
    auto Parts = std::array<iovec, 2>{
        {{const_cast<char *>(First.data()), First.size()},
         {const_cast<char *>(Second.data()), Second.size()}}};
    auto Message = msghdr();
    Message.msg_iov = Parts.data();
    Message.msg_iovlen = Parts.size();
    auto Count = ::sendmsg(Fd, &Message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Count >= 0) {
      auto Sent = static_cast<std::size_t>(Count);
      Written += Sent;
      auto FromFirst = std::min(Sent, First.size());
      First.remove_prefix(FromFirst);
      Second.remove_prefix(Sent - FromFirst);
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN) {
      return io_status::Failed;
    }
    auto Events =
        static_cast<short>(Limits.StopOnInput ? POLLOUT | POLLIN : POLLOUT);
    if (auto Status = waitFor(Fd, Events, Limits); Status != io_status::Ok) {
      return Status;
    }
  }
  return io_status::Ok;
}

void connection::consume(std::size_t Size) {
  InputOffset += Size;
  if (InputOffset == Buffer.size()) {
    Buffer.clear();
    InputOffset = 0;
  }
}

void connection::releaseBuffer() {
  if (input().empty()) {
    Buffer = std::string();
    InputOffset = 0;
  }
}

auto connection::isReusable() const -> bool {
  auto Polled = pollfd{Fd, POLLIN | POLLRDHUP, 0};
  return input().empty() && ::poll(&Polled, 1, 0) == 0;
}

void connection::resetOnClose() {
  auto Option = linger{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
}

void prepareSocket(int Fd) {
  auto One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  ::fcntl(Fd, F_SETFL, ::fcntl(Fd, F_GETFL) | O_NONBLOCK);
}

static auto parseAddress(const std::string &Text, sockaddr_in &Address)
    -> bool {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos) {
    return false;
  }
  auto Port = std::uint16_t{0};
  const auto *End = Text.data() + Text.size();
  auto [ParseEnd, Error] =
      std::from_chars(Text.data() + Colon + 1, End, Port); // NOLINT: in range.
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  return Error == std::errc() && ParseEnd == End &&
         ::inet_pton(AF_INET, Text.substr(0, Colon).c_str(),
                     &Address.sin_addr) == 1;
}

auto openSocket(const std::string &Address, const wait_limits &Limits, int &Fd)
    -> io_status {
  auto Peer = sockaddr_in();
  if (!parseAddress(Address, Peer)) {
    return io_status::Failed;
  }
  auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0) {
    return io_status::Failed;
  }
  prepareSocket(Socket);
  auto Status = io_status::Ok;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Peer), sizeof(Peer)) !=
      0) {
    Status = errno == EINPROGRESS ? waitFor(Socket, POLLOUT, Limits)
                                  : io_status::Failed;
    auto Error = 0;
    auto Size = socklen_t{sizeof(Error)};
    if (Status == io_status::Ok &&
        (::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
         Error != 0)) {
      Status = io_status::Failed;
    }
  }
  if (Status != io_status::Ok) {
    ::close(Socket);
    return Status;
  }
  Fd = Socket;
  return io_status::Ok;
}

} // namespace sycamorelb::proxy
