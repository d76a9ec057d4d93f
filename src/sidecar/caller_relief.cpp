/** @file caller_relief.cpp Decides which connections of callers give way. */
#include "sidecar/caller_relief.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace sycamorelb::sidecar {

/** Slowest accepted body, in bytes per second over its whole time: 1 kbit/s,
 * below the slowest links of callers, which have a few kbit/s. */
static constexpr auto MinBodyBytesPerSecond = std::uint64_t{128};
/** Time after which the rate of a body is judged; slow starts and pauses of a
 * lossy link are shorter. */
static constexpr auto RateGrace = micros(15'000'000);
/** Silence, under memory pressure, after which a transfer counts as stalled:
 * a few retransmissions. */
static constexpr auto StallTime = micros(1'000'000);
/** Time for a whole body under memory pressure; also a body that arrives byte
 * by byte then frees its memory. */
static constexpr auto MaxTightBodyTime = micros(30'000'000);
/** Time for which a body waits for memory before it is refused: several times
 * the usual time of a call, and less than the patience of most callers. */
static constexpr auto MaxMemoryWait = micros(2'000'000);
/** Part of the memory that bodies leave to calls that begin and to answers. */
static constexpr auto AnswerShare = std::size_t{10};
/** Descriptors that the platform reserves for files. */
static constexpr auto FileReserve = std::size_t{200};
/** Share of the other descriptors that is kept for peers, the target, the
 * store, health checks and metrics. */
static constexpr auto InternalShare = 4;

/** Part of the descriptors that are kept for those that one of the four
 * listeners may use. The others are for connections to the target, to the store
 * and between nodes. */
static constexpr auto ListenerShare = std::size_t{8};
/** Fewest and most connections of such a listener: requests of the platform
 * come one at a time, mostly; many nodes may connect at once. */
static constexpr auto MinListenerConnections = std::size_t{4};
static constexpr auto MaxListenerConnections = std::size_t{64};

auto findExpired(const std::vector<caller_view> &Callers,
                 const caller_timeouts &Timeouts)
    -> std::vector<relief_decision> {
  auto Expired = std::vector<relief_decision>();
  for (auto Index = std::size_t{0}; Index < Callers.size(); ++Index) {
    const auto &Caller = Callers[Index];
    auto Seconds =
        static_cast<std::uint64_t>(Caller.StageAge.count()) / 1'000'000;
    const char *Cause = nullptr;
    auto Action = relief_action::Close;
    switch (Caller.Stage) {
    case caller_stage::Idle:
      Cause = Caller.StageAge > Timeouts.Idle ? "idle" : nullptr;
      break;
    case caller_stage::ReadingHead:
      Cause = Caller.StageAge > Timeouts.Head * 2 ? "slow head" : nullptr;
      break;
    case caller_stage::ReadingBody:
      if (!Caller.ReadsPaused && Caller.StageAge > RateGrace &&
          (Caller.BodyBytes < Seconds * MinBodyBytesPerSecond ||
           Caller.Silence > Timeouts.Idle)) {
        Cause = "slow body";
        Action = relief_action::Refuse;
      }
      break;
    case caller_stage::Writing:
      Cause = Caller.Silence > Timeouts.Idle ? "unread answer" : nullptr;
      break;
    case caller_stage::Running:
      break;
    }
    if (Cause != nullptr) {
      Expired.push_back({Index, Action, Cause});
    }
  }
  return Expired;
}

namespace {

/** Order in which callers get memory: bodies that move before stalled ones,
 * then the least that is missing. */
struct body_order {
  const std::vector<caller_view> &Callers;

  auto isStalled(const caller_view &Caller) const -> bool {
    return Caller.StageAge > MaxTightBodyTime ||
           (!Caller.ReadsPaused && Caller.Silence > StallTime);
  }
  auto operator()(std::size_t Left, std::size_t Right) const -> bool {
    const auto &First = Callers[Left];
    const auto &Second = Callers[Right];
    auto FirstStalled = isStalled(First);
    auto SecondStalled = isStalled(Second);
    if (FirstStalled != SecondStalled) {
      return SecondStalled;
    }
    if (FirstStalled && First.Silence != Second.Silence) {
      return First.Silence < Second.Silence;
    }
    return First.RemainingBytes < Second.RemainingBytes;
  }
};

auto indicesOf(const std::vector<caller_view> &Callers, caller_stage Stage)
    -> std::vector<std::size_t> {
  auto Indices = std::vector<std::size_t>();
  for (auto Index = std::size_t{0}; Index < Callers.size(); ++Index) {
    if (Callers[Index].Stage == Stage) {
      Indices.push_back(Index);
    }
  }
  return Indices;
}

/** Releases memory of the unread answers that are silent for the longest time.
 * @return the bytes that are released. */
auto closeSilentReaders(const std::vector<caller_view> &Callers,
                        micros MinSilence, std::size_t Bytes,
                        std::vector<relief_decision> &Decisions)
    -> std::size_t {
  auto Writing = indicesOf(Callers, caller_stage::Writing);
  std::sort(Writing.begin(), Writing.end(), [&](auto Left, auto Right) {
    return Callers[Left].Silence > Callers[Right].Silence;
  });
  auto Released = std::size_t{0};
  for (auto Index : Writing) {
    if (Released >= Bytes || Callers[Index].Silence <= MinSilence) {
      break;
    }
    Released += Callers[Index].HeldBytes;
    Decisions.push_back({Index, relief_action::Close, "unread answer"});
  }
  return Released;
}

} // namespace

auto relieveMemory(const std::vector<caller_view> &Callers,
                   const event::memory_budget &Budget)
    -> std::vector<relief_decision> {
  auto Decisions = std::vector<relief_decision>();
  auto Bodies = indicesOf(Callers, caller_stage::ReadingBody);
  auto IsTight = event::pressureOn(Budget) != event::memory_pressure::None;
  auto Order = body_order{Callers};
  std::sort(Bodies.begin(), Bodies.end(), Order);
  auto Usable = Budget.LimitBytes - Budget.LimitBytes / AnswerShare;
  auto Free = Usable - std::min(Usable, Budget.UsedBytes);
  if (IsTight) {
    // From the last in the order: stalled ones, then those that waited longest
    // enough for memory; each frees what it holds.
    for (auto Next = Bodies.rbegin(); Next != Bodies.rend(); ++Next) {
      const auto &Caller = Callers[*Next];
      auto Stalled = Order.isStalled(Caller);
      if (!Stalled && Caller.RemainingBytes <= Free) {
        break; // It can read on now.
      }
      if (Stalled || Caller.PausedFor > MaxMemoryWait) {
        Decisions.push_back({*Next, relief_action::Refuse,
                             Stalled ? "stalled body" : "no memory"});
        Free += Caller.HeldBytes;
        if (Free > Budget.LimitBytes / 2) {
          break;
        }
      }
    }
    // With nearly all memory used, also a caller that reads gives way: answers
    // that are under way fill the rest within milliseconds.
    auto IsFull = event::pressureOn(Budget) == event::memory_pressure::Full;
    if (IsFull || Decisions.empty()) {
      Free += closeSilentReaders(Callers, IsFull ? micros(-1) : StallTime,
                                 Budget.LimitBytes / 4, Decisions);
    }
  }
  // The others read on, in this order, if all that they miss has room.
  for (auto Index : Bodies) {
    const auto &Caller = Callers[Index];
    auto IsRefused =
        std::any_of(Decisions.begin(), Decisions.end(),
                    [&](const auto &Each) { return Each.Index == Index; });
    if (IsRefused || Order.isStalled(Caller)) {
      continue;
    }
    if (IsTight && Caller.RemainingBytes > Free) {
      break;
    }
    Free -= std::min(Free, Caller.RemainingBytes);
    if (Caller.ReadsPaused) {
      // Without pressure it reads on until there is pressure again.
      Decisions.push_back({Index, relief_action::Resume, "",
                           IsTight ? Caller.RemainingBytes : 0});
    }
  }
  // Heads and idle connections are small.
  for (auto Index = std::size_t{0}; Index < Callers.size(); ++Index) {
    const auto &Caller = Callers[Index];
    if (Caller.ReadsPaused && Caller.Stage != caller_stage::ReadingBody &&
        event::pressureOn(Budget) != event::memory_pressure::Full) {
      Decisions.push_back({Index, relief_action::Resume, ""});
    }
  }
  return Decisions;
}

auto chooseForNewCaller(const std::vector<caller_view> &Callers)
    -> std::size_t {
  // Stages in the order in which they give way: those without work first.
  auto Rank = [](const caller_view &Caller) {
    switch (Caller.Stage) {
    case caller_stage::Idle:
      return Caller.HasServed ? 3 : 0;
    case caller_stage::ReadingHead:
      return 0;
    case caller_stage::ReadingBody:
      return Caller.Silence > StallTime ? 1 : 4;
    case caller_stage::Writing:
      return Caller.Silence > StallTime ? 2 : 4;
    case caller_stage::Running:
      break;
    }
    return 4;
  };
  auto Chosen = Callers.size();
  for (auto Index = std::size_t{0}; Index < Callers.size(); ++Index) {
    const auto &Caller = Callers[Index];
    if (Rank(Caller) == 4) {
      continue;
    }
    if (Chosen == Callers.size() || Rank(Caller) < Rank(Callers[Chosen]) ||
        (Rank(Caller) == Rank(Callers[Chosen]) &&
         Caller.StageAge > Callers[Chosen].StageAge)) {
      Chosen = Index;
    }
  }
  return Chosen;
}

/** @return the descriptors that are not reserved for files. */
static auto socketsOf(std::size_t FileDescriptors) -> std::size_t {
  return FileDescriptors - std::min(FileDescriptors, FileReserve);
}

auto maxCallerConnections(std::size_t FileDescriptors) -> std::size_t {
  if (FileDescriptors == 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  auto Sockets = socketsOf(FileDescriptors);
  return std::max(std::size_t{1}, Sockets - Sockets / InternalShare);
}

auto maxListenerConnections(std::size_t FileDescriptors) -> std::size_t {
  if (FileDescriptors == 0) {
    return MaxListenerConnections;
  }
  auto Internal = socketsOf(FileDescriptors) / InternalShare;
  return std::clamp(Internal / ListenerShare, MinListenerConnections,
                    MaxListenerConnections);
}

auto acceptsPerEvent(std::size_t MaxConnections) -> std::size_t {
  return std::max(std::size_t{1}, MaxConnections / 2);
}

} // namespace sycamorelb::sidecar
