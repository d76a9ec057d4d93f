/** @file listener.cpp Listening TCP sockets. */
#include "event/socket_address.h"

#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace sycamorelb::event {

/** Maximum number of connections that wait to be accepted. */
static constexpr auto ListenBacklog = 512;
/** Time without accepting while no descriptor is free. */
static constexpr auto AcceptPause = micros(100'000);

struct listener::implementation {
  implementation(loop &Loop, int Descriptor, accept_callback Accept)
      : Loop(Loop), Descriptor(Descriptor), Accept(std::move(Accept)) {}

  loop &Loop;
  int Descriptor;
  accept_callback Accept;

  timer_id Timer{0};

  /** Stops for a moment: the waiting connections would be reported at once
   * again, although none can be accepted. */
  void pauseAccepting() {
    Loop.modifyWatch(Descriptor, 0);
    Timer = Loop.addTimer(Loop.now() + AcceptPause,
                          [this] { Loop.modifyWatch(Descriptor, EPOLLIN); });
  }

  void acceptReady(std::size_t Most) {
    for (auto Count = std::size_t{0}; Count < Most; ++Count) {
      auto Accepted =
          ::accept4(Descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Accepted < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
          pauseAccepting();
        }
        return;
      }
      Accept(stream::adopt(Loop, Accepted));
    }
  }
};

listener::listener(std::unique_ptr<implementation> Impl)
    : Impl(std::move(Impl)) {}

listener::~listener() {
  Impl->Loop.cancelTimer(Impl->Timer);
  Impl->Loop.unwatch(Impl->Descriptor);
  ::close(Impl->Descriptor);
}

auto listener::open(loop &Loop, const endpoint &Address, accept_callback Accept)
    -> result<std::unique_ptr<listener>> {
  auto Descriptor = ::socket(
      AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
  auto BindAddress = socketAddress(Address);
  auto Reuse = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  if (Descriptor < 0 ||
      ::bind(Descriptor, reinterpret_cast<sockaddr *>(&BindAddress),
             sizeof(BindAddress)) < 0 ||
      ::listen(Descriptor, ListenBacklog) < 0) {
    auto Cause = std::string(std::strerror(errno)); // NOLINT: one thread.
    if (Descriptor >= 0) {
      ::close(Descriptor);
    }
    return error{error_code::Unreachable, "listen", formatEndpoint(Address),
                 Cause};
  }
  auto Listener = std::unique_ptr<listener>(new listener(
      std::make_unique<implementation>(Loop, Descriptor, std::move(Accept))));
  auto *Self = Listener.get();
  Loop.watch(Descriptor, EPOLLIN, [Self](std::uint32_t) {
    Self->Impl->acceptReady(Self->AcceptsPerEvent);
  });
  return Listener;
}

} // namespace sycamorelb::event
