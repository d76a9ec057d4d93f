/** @file stop_signal.cpp Delivers process signals as event loop callbacks. */
#include "sidecar/stop_signal.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace sycamorelb::sidecar {

// Global, because a signal handler receives no context pointer.
static auto SignalPipe = std::array<int, 2>{-1, -1};

extern "C" {
static void forwardSignal(int Signal) {
  auto Byte = static_cast<char>(Signal);
  // If the pipe is full, signals are pending already and this one can be
  // dropped.
  [[maybe_unused]] auto Ignored = ::write(SignalPipe[1], &Byte, 1);
}
}

static void installHandler(int Signal) {
  struct sigaction Action = {};
  Action.sa_handler = forwardSignal;
  Action.sa_flags = SA_RESTART;
  sigaction(Signal, &Action, nullptr);
}

signal_events::signal_events(event::loop &Loop, std::function<void()> OnStop,
                             std::function<void()> OnReload)
    : Loop(Loop) {
  [[maybe_unused]] auto Status =
      ::pipe2(SignalPipe.data(), O_NONBLOCK | O_CLOEXEC);
  std::signal(SIGPIPE, SIG_IGN);
  Loop.watch(SignalPipe[0], EPOLLIN,
             [OnStop = std::move(OnStop),
              OnReload = std::move(OnReload)](std::uint32_t) {
               auto Byte = char{0};
               while (::read(SignalPipe[0], &Byte, 1) == 1) {
                 Byte == SIGHUP ? OnReload() : OnStop();
               }
             });
  for (auto Signal : {SIGTERM, SIGINT, SIGHUP}) {
    installHandler(Signal);
  }
}

signal_events::~signal_events() {
  Loop.unwatch(SignalPipe[0]);
  ::close(SignalPipe[0]);
  ::close(SignalPipe[1]);
}

} // namespace sycamorelb::sidecar
