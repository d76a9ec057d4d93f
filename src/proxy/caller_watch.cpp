/** @file caller_watch.cpp Notices callers that leave. */
#include "proxy/caller_watch.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace sycamorelb::proxy {

caller_watch::caller_watch()
    : Epoll(::epoll_create1(EPOLL_CLOEXEC)), Wake(::eventfd(0, EFD_CLOEXEC)) {
  auto Event = epoll_event{EPOLLIN, {.u64 = 0}};
  ::epoll_ctl(Epoll, EPOLL_CTL_ADD, Wake, &Event);
  Thread = std::thread([this] { run(); });
}

caller_watch::~caller_watch() {
  ::eventfd_write(Wake, 1);
  Thread.join();
  ::close(Wake);
  ::close(Epoll);
}

auto caller_watch::watch(int Fd, std::shared_ptr<cancellation> Cancel)
    -> std::uint64_t {
  auto Id = std::uint64_t{0};
  {
    auto Lock = std::lock_guard(Mutex);
    Id = NextId++;
    Watched.emplace(Id, std::move(Cancel));
  }
  auto Event = epoll_event{EPOLLRDHUP | EPOLLONESHOT, {.u64 = Id}};
  ::epoll_ctl(Epoll, EPOLL_CTL_ADD, Fd, &Event);
  return Id;
}

void caller_watch::unwatch(int Fd, std::uint64_t Id) {
  ::epoll_ctl(Epoll, EPOLL_CTL_DEL, Fd, nullptr);
  auto Lock = std::lock_guard(Mutex);
  Watched.erase(Id);
}

void caller_watch::run() {
  auto Events = std::array<epoll_event, 64>();
  for (;;) {
    auto Count = ::epoll_wait(Epoll, Events.data(), Events.size(), -1);
    for (auto Index = 0; Index < Count; ++Index) {
      auto Id = Events[static_cast<std::size_t>(Index)].data.u64;
      if (Id == 0) {
        return;
      }
      auto Cancel = std::shared_ptr<cancellation>();
      {
        auto Lock = std::lock_guard(Mutex);
        if (auto Found = Watched.find(Id); Found != Watched.end()) {
          Cancel = Found->second;
        }
      }
      // A watch that has just ended is cancelled without effect, since its
      // call has unsubscribed.
      if (Cancel != nullptr) {
        Cancel->cancel();
      }
    }
  }
}

} // namespace sycamorelb::proxy
