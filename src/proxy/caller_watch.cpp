/** @file caller_watch.cpp Detection of callers that disconnect. */
#include "proxy/caller_watch.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace sycamorelb::proxy {

caller_watch::caller_watch()
    : EpollFd(::epoll_create1(EPOLL_CLOEXEC)),
      StopEventFd(::eventfd(0, EFD_CLOEXEC)) {
  auto Event = epoll_event{EPOLLIN, {.u64 = 0}};
  ::epoll_ctl(EpollFd, EPOLL_CTL_ADD, StopEventFd, &Event);
  Thread = std::thread([this] { run(); });
}

caller_watch::~caller_watch() {
  ::eventfd_write(StopEventFd, 1);
  Thread.join();
  ::close(StopEventFd);
  ::close(EpollFd);
}

auto caller_watch::watch(int Fd, std::shared_ptr<cancellation> Cancel)
    -> std::uint64_t {
  auto Id = std::uint64_t{0};
  {
    auto Lock = std::lock_guard(Mutex);
    Id = NextId++;
    Cancellations.emplace(Id, std::move(Cancel));
  }
  auto Event = epoll_event{EPOLLRDHUP | EPOLLONESHOT, {.u64 = Id}};
  ::epoll_ctl(EpollFd, EPOLL_CTL_ADD, Fd, &Event);
  return Id;
}

void caller_watch::unwatch(int Fd, std::uint64_t Id) {
  ::epoll_ctl(EpollFd, EPOLL_CTL_DEL, Fd, nullptr);
  auto Lock = std::lock_guard(Mutex);
  Cancellations.erase(Id);
}

void caller_watch::run() {
  auto Events = std::array<epoll_event, 64>();
  for (;;) {
    auto Count = ::epoll_wait(EpollFd, Events.data(), Events.size(), -1);
    for (auto Index = 0; Index < Count; ++Index) {
      auto Id = Events[static_cast<std::size_t>(Index)].data.u64;
      if (Id == 0) {
        return;
      }
      auto Cancel = std::shared_ptr<cancellation>();
      {
        auto Lock = std::lock_guard(Mutex);
        if (auto Found = Cancellations.find(Id); Found != Cancellations.end()) {
          Cancel = Found->second;
        }
      }
      // Cancelling a watch that has just ended has no effect, since its call
      // has already unsubscribed.
      if (Cancel != nullptr) {
        Cancel->cancel();
      }
    }
  }
}

} // namespace sycamorelb::proxy
