/** @file loop.cpp Event loop over epoll. */
#include "sycamorelb/event/loop.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <map>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace sycamorelb::event {

/** Longest wait of one iteration, so that pauses of the process are noticed. */
static constexpr auto MaxWaitMs = std::int64_t{1000};
/** Wait that shows in simulated time that all descriptors are idle: the kernel
 * may deliver bytes on loopback slightly after they were sent. */
static constexpr auto IdleWaitMs = std::int64_t{1};
/** Start of simulated time, so that times before it can be represented. */
static constexpr auto SimulationStart = steady_time(micros(1'000'000'000));
/** Maximum number of events fetched by one epoll_wait call. */
static constexpr auto MaxEventsPerWait = std::size_t{64};

auto bootTime() -> steady_time {
  auto Now = timespec();
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return steady_time(
      micros(std::int64_t{Now.tv_sec} * 1'000'000 + Now.tv_nsec / 1000));
}

struct loop::implementation {
  struct watched {
    std::uint64_t Generation;
    ready_callback Ready;
  };

  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  bool Stopping = false;
  bool Simulated = false;
  std::uint64_t NextTimer = 1;
  std::uint64_t NextGeneration = 1;
  steady_time Now = bootTime();
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  std::shared_ptr<memory_budget> Memory = std::make_shared<memory_budget>();
  int Lingering = 0;
  std::map<std::pair<steady_time, std::uint64_t>, callback> Timers;
  std::unordered_map<std::uint64_t, steady_time> TimerTimes;
  std::unordered_map<int, std::shared_ptr<watched>> Watched;
  std::vector<callback> Deferred;

  auto waitMs() const -> std::int64_t {
    if (!Deferred.empty()) {
      return 0;
    }
    if (Simulated) {
      return IdleWaitMs;
    }
    if (Timers.empty()) {
      return MaxWaitMs;
    }
    auto TimeLeft = (Timers.begin()->first.first - Now).count();
    // Rounded up to ms, so that the timer is due when the wait ends.
    return std::clamp<std::int64_t>((TimeLeft + 999) / 1000, 0, MaxWaitMs);
  }

  /** Sets Now. Simulated time only advances while the loop is idle. */
  void updateTime(bool IsIdle, steady_time Until) {
    if (!Simulated) {
      Now = bootTime();
    } else if (IsIdle) {
      auto Next = Timers.empty() ? Until : Timers.begin()->first.first;
      Now = std::max(Now, std::min(Next, Until));
    }
  }

  void runDueTimers() {
    while (!Timers.empty() && Timers.begin()->first.first <= Now) {
      auto Run = std::move(Timers.begin()->second);
      TimerTimes.erase(Timers.begin()->first.second);
      Timers.erase(Timers.begin());
      Run();
    }
  }

  void runDeferredCallbacks() {
    while (!Deferred.empty()) {
      auto Batch = std::move(Deferred);
      Deferred.clear();
      for (auto &Run : Batch) {
        Run();
      }
    }
  }

  void dispatch(const epoll_event &Event, std::uint64_t GenerationBound) {
    auto Found = Watched.find(Event.data.fd);
    // An earlier callback of this batch may have closed the descriptor and
    // opened another with the same number; the event is not for that one.
    if (Found == Watched.end() ||
        Found->second->Generation >= GenerationBound) {
      return;
    }
    auto Watch = Found->second;
    Watch->Ready(Event.events);
  }
};

loop::loop() : Impl(std::make_unique<implementation>()) {}

loop::~loop() {
  if (Impl->Epoll >= 0) {
    close(Impl->Epoll);
  }
}

auto loop::now() const -> steady_time { return Impl->Now; }

auto loop::clockTime() const -> steady_time {
  return Impl->Simulated ? Impl->Now : bootTime();
}

void loop::countTraffic(std::size_t Received, std::size_t Sent) {
  Impl->Received += Received;
  Impl->Sent += Sent;
}

auto loop::receivedBytes() const -> std::uint64_t { return Impl->Received; }

auto loop::memory() const -> const std::shared_ptr<memory_budget> & {
  return Impl->Memory;
}

void loop::countLingering(int Change) { Impl->Lingering += Change; }

auto loop::lingeringStreams() const -> int { return Impl->Lingering; }

auto loop::sentBytes() const -> std::uint64_t { return Impl->Sent; }

auto loop::addTimer(steady_time At, callback Run) -> timer_id {
  auto Id = Impl->NextTimer++;
  Impl->Timers.emplace(std::make_pair(At, Id), std::move(Run));
  Impl->TimerTimes.emplace(Id, At);
  return {Id};
}

void loop::cancelTimer(timer_id Id) {
  auto Found = Impl->TimerTimes.find(Id.Value);
  if (Found != Impl->TimerTimes.end()) {
    Impl->Timers.erase({Found->second, Id.Value});
    Impl->TimerTimes.erase(Found);
  }
}

void loop::defer(callback Run) { Impl->Deferred.push_back(std::move(Run)); }

void loop::watch(int Descriptor, std::uint32_t Events, ready_callback Ready) {
  auto Event = epoll_event();
  Event.events = Events;
  Event.data.fd = Descriptor;
  Impl->Watched[Descriptor] = std::make_shared<implementation::watched>(
      implementation::watched{Impl->NextGeneration++, std::move(Ready)});
  epoll_ctl(Impl->Epoll, EPOLL_CTL_ADD, Descriptor, &Event);
}

void loop::modifyWatch(int Descriptor, std::uint32_t Events) {
  auto Event = epoll_event();
  Event.events = Events;
  Event.data.fd = Descriptor;
  epoll_ctl(Impl->Epoll, EPOLL_CTL_MOD, Descriptor, &Event);
}

void loop::unwatch(int Descriptor) {
  if (Impl->Watched.erase(Descriptor) > 0) {
    epoll_ctl(Impl->Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
  }
}

void loop::simulateTime() {
  Impl->Simulated = true;
  Impl->Now = SimulationStart;
}

void loop::run() { runUntil(steady_time::max()); }

void loop::runUntil(steady_time Until) {
  auto Events = std::array<epoll_event, MaxEventsPerWait>();
  Impl->updateTime(false, Until);
  while (!Impl->Stopping && Impl->Now < Until) {
    auto Wait = Impl->waitMs();
    auto Count =
        epoll_wait(Impl->Epoll, Events.data(), static_cast<int>(Events.size()),
                   static_cast<int>(Wait));
    Impl->updateTime(Count <= 0 && Impl->Deferred.empty(), Until);
    Impl->runDueTimers();
    auto GenerationBound = Impl->NextGeneration;
    for (auto Index = 0; Index < Count; ++Index) {
      Impl->updateTime(false, Until);
      Impl->dispatch(Events.at(static_cast<std::size_t>(Index)),
                     GenerationBound);
    }
    Impl->updateTime(false, Until);
    Impl->runDeferredCallbacks();
  }
}

void loop::stop() { Impl->Stopping = true; }

} // namespace sycamorelb::event
