/** @file sidecar_start_search_test.cpp Searches all orders of the messages of
 * two starts of a target: late, repeated, lost and reordered, with health
 * checks, restarts of the node, and start times of a clock that was set back.
 */
#include "sidecar/target_watch.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace sycamorelb;
using namespace sycamorelb::sidecar;
using mesh::target_state;

namespace {

/** What differs between the searches. */
struct search_case {
  bool IsSameId;       ///< The second start has the id of the first one.
  bool IsClockSetBack; ///< The second start has the earlier start time.
  bool TellsStartTime; ///< Leaves tell the start time.
  bool IsFirstProcess; ///< The first process of the node lacks no leaves.
};

/** A step of a search, and those before it. */
struct search_step {
  std::shared_ptr<const search_step> Before;
  std::string Name;
};

/** State of the target at the address. */
enum class phase : std::uint8_t {
  FirstReady,
  FirstLeaving,
  Between,
  SecondReady,
  SecondLeaving,
  Ended,
};

/** The health check that is in progress. */
enum class check_state : std::uint8_t { None, Sent, Healthy, Failed };

/** The target, its node, and the messages between them. A message that was sent
 * may arrive at any later time, any number of times. */
struct world {
  phase Phase = phase::FirstReady;
  bool FirstLeft = false;     ///< The first start said that it leaves.
  std::set<int> Acknowledged; ///< Starts whose leaving was acknowledged.
  int Restarts = 0;           ///< Of the node.
  target_watch Watch;         ///< State of the node.
  check_state CheckState = check_state::None;
  target_check Check;
  mesh::target_id Answering; ///< Target that answered the check.
  std::vector<mesh::target_record> Published; ///< Records of all processes.
  std::shared_ptr<const search_step> Trace;   ///< Steps that led here.
};

constexpr auto MaxRestarts = 1;

auto targetOf(const search_case &Case, int Start) -> mesh::target_record {
  auto Target = mesh::target_record();
  Target.Id = {Start == 2 && !Case.IsSameId ? "b" : "a"};
  Target.StartedAtMs = Start == 1 ? 50 : (Case.IsClockSetBack ? 20 : 80);
  Target.State = target_state::Ready;
  return Target;
}

auto heartbeatOf(const search_case &Case, int Start, std::uint64_t Sequence,
                 target_state State = target_state::Ready) -> target_heartbeat {
  auto Heartbeat = target_heartbeat{targetOf(Case, Start), Sequence, {}};
  Heartbeat.Target.State = State;
  return Heartbeat;
}

void recordStep(world &World, std::string Name) {
  World.Trace = std::make_shared<const search_step>(
      search_step{World.Trace, std::move(Name)});
}

auto formatTrace(const world &World) -> std::string {
  auto Names = std::vector<std::string>();
  for (const auto *Step = World.Trace.get(); Step != nullptr;
       Step = Step->Before.get()) {
    Names.push_back(Step->Name);
  }
  auto Text = std::string();
  for (auto Name = Names.rbegin(); Name != Names.rend(); ++Name) {
    Text += ' ';
    Text += *Name;
  }
  return Text;
}

/** @return the start that runs, or 0. */
auto runningStart(const world &World) -> int {
  switch (World.Phase) {
  case phase::FirstReady:
  case phase::FirstLeaving:
    return 1;
  case phase::SecondReady:
  case phase::SecondLeaving:
    return 2;
  default:
    return 0;
  }
}

auto isHealthy(const world &World) -> bool {
  return World.Phase == phase::FirstReady || World.Phase == phase::SecondReady;
}

/** @return whether calls are sent to the target with this id. */
auto isUsed(const target_watch &Watch, const mesh::target_id &Id) -> bool {
  return Watch.Known.State == target_state::Ready && !Watch.IsLost &&
         Watch.Known.Id == Id;
}

/** Sends a health check if one is needed, as the node does. */
void sendCheck(world &World) {
  if (World.CheckState == check_state::None &&
      !World.Watch.Unverified.empty()) {
    World.CheckState = check_state::Sent;
    World.Check = beginCheck(World.Watch);
  }
}

/** The target answers the check, or doesn't. A healthy one may be full. */
void answerCheck(const search_case &Case, world &World, bool IsFull) {
  auto Start = runningStart(World);
  World.CheckState =
      isHealthy(World) && !IsFull ? check_state::Healthy : check_state::Failed;
  World.Answering = Start == 0 ? mesh::target_id() : targetOf(Case, Start).Id;
}

void deliverAnswer(world &World) {
  auto Answer = std::exchange(World.CheckState, check_state::None);
  auto WasSuperseded = isSuperseded(World.Watch, World.Check);
  if (Answer == check_state::Healthy) {
    applyHealthyAnswer(World.Watch, World.Check, World.Answering);
  }
  if (WasSuperseded) {
    sendCheck(World);
  }
}

void deliverHeartbeat(world &World, const target_heartbeat &Heartbeat) {
  applyHeartbeat(World.Watch, Heartbeat);
  sendCheck(World);
}

/** Records what the node tells its peers. */
void publish(world &World) {
  const auto &Known = World.Watch.Known;
  auto &Published = World.Published;
  if (Known.State != target_state::Absent &&
      std::find(Published.begin(), Published.end(), Known) == Published.end()) {
    Published.push_back(Known);
    std::sort(Published.begin(), Published.end(),
              [](const auto &Left, const auto &Right) {
                return std::tie(Left.Id.Value, Left.StartedAtMs, Left.State) <
                       std::tie(Right.Id.Value, Right.StartedAtMs, Right.State);
              });
  }
}

void addToKey(std::string &Key, const mesh::target_record &Target) {
  Key += Target.Id.Value;
  Key += static_cast<char>(Target.StartedAtMs);
  Key += static_cast<char>(Target.State);
}

/** @return a text that is equal for worlds that behave equally. */
auto keyOf(const world &World) -> std::string {
  const auto &Watch = World.Watch;
  auto Key = std::string();
  Key.reserve(96);
  auto Add = [&Key](auto Value) { Key += static_cast<char>(Value); };
  Add(World.Phase);
  Add(World.FirstLeft);
  Add(World.Restarts);
  Add(World.Acknowledged.contains(1));
  Add(World.Acknowledged.contains(2));
  Add(World.CheckState);
  Add(World.CheckState != check_state::None &&
      isSuperseded(Watch, World.Check));
  if (World.CheckState == check_state::Healthy) {
    Key += World.Answering.Value;
  }
  Add('|');
  Add(Watch.Sequence);
  Add(Watch.IsLost);
  Add(Watch.MayLackLeaves);
  addToKey(Key, Watch.Known);
  auto Ended = std::set<std::pair<std::string, std::int64_t>>();
  for (const auto &Start : Watch.Ended) {
    Ended.emplace(Start.Id.Value, Start.StartedAtMs.value_or(1));
  }
  for (const auto &[Id, StartedAtMs] : Ended) {
    Key += Id;
    Add(StartedAtMs);
  }
  Add('|');
  for (const auto &Heartbeat : Watch.Unverified) {
    addToKey(Key, Heartbeat.Target);
    Add(Heartbeat.Sequence);
  }
  Add('|');
  for (const auto &Record : World.Published) {
    addToKey(Key, Record);
  }
  return Key;
}

/** Adds what the target can do next. */
void addTargetSteps(const search_case &Case, const world &World,
                    std::vector<world> &Next) {
  auto Add = [&](phase Phase, const char *Step) {
    auto Changed = World;
    Changed.Phase = Phase;
    Changed.FirstLeft = World.FirstLeft || Phase == phase::FirstLeaving;
    recordStep(Changed, Step);
    Next.push_back(std::move(Changed));
  };
  switch (World.Phase) {
  case phase::FirstReady:
    Add(phase::FirstLeaving, "first-leaves");
    Add(phase::Between, "first-crashes");
    break;
  case phase::FirstLeaving:
    Add(phase::Between, "first-exits");
    break;
  case phase::Between:
    Add(phase::SecondReady, "second-starts");
    break;
  case phase::SecondReady:
    Add(phase::SecondLeaving, "second-leaves");
    break;
  case phase::SecondLeaving:
    Add(phase::Ended, "second-exits");
    break;
  case phase::Ended:
    break;
  }
  if (World.CheckState == check_state::Sent) {
    for (auto IsFull : {false, true}) {
      auto Answered = World;
      answerCheck(Case, Answered, IsFull);
      recordStep(Answered, IsFull ? "check-fails" : "check-is-answered");
      Next.push_back(std::move(Answered));
    }
  }
}

/** Adds the messages of one start that can arrive next. */
void addMessages(const search_case &Case, const world &World, int Start,
                 bool HasLeft, std::vector<world> &Next) {
  auto Name = std::to_string(Start);
  for (auto Sequence : {std::uint64_t{1}, std::uint64_t{2}}) {
    auto Arrived = World;
    deliverHeartbeat(Arrived, heartbeatOf(Case, Start, Sequence));
    recordStep(Arrived, "ready-" + Name + "." + std::to_string(Sequence));
    Next.push_back(std::move(Arrived));
  }
  if (!HasLeft) {
    return;
  }
  auto Draining = World;
  deliverHeartbeat(Draining,
                   heartbeatOf(Case, Start, 3, target_state::Draining));
  Draining.Acknowledged.insert(Start);
  recordStep(Draining, "draining-" + Name);
  Next.push_back(std::move(Draining));
  auto Left = World;
  auto Target = targetOf(Case, Start);
  applyLeave(Left.Watch, Target.Id,
             Case.TellsStartTime ? std::optional(Target.StartedAtMs)
                                 : std::nullopt);
  sendCheck(Left);
  Left.Acknowledged.insert(Start);
  recordStep(Left, "leave-" + Name);
  Next.push_back(std::move(Left));
}

/** Adds what the node can do next. */
void addNodeSteps(const search_case &Case, const world &World,
                  std::vector<world> &Next) {
  if (World.CheckState == check_state::Healthy ||
      World.CheckState == check_state::Failed) {
    auto Answered = World;
    deliverAnswer(Answered);
    recordStep(Answered, "answer-arrives");
    Next.push_back(std::move(Answered));
  }
  auto Running = runningStart(World);
  const auto &Known = World.Watch.Known;
  if (Known.State == target_state::Ready && !World.Watch.IsLost &&
      (Running == 0 || targetOf(Case, Running).Id != Known.Id)) {
    auto Lost = World;
    markLost(Lost.Watch);
    recordStep(Lost, "calls-fail");
    Next.push_back(std::move(Lost));
  }
  if (World.Restarts < MaxRestarts) {
    auto Restarted = World;
    ++Restarted.Restarts;
    Restarted.Watch = target_watch();
    Restarted.CheckState = check_state::None;
    recordStep(Restarted, "node-restarts");
    Next.push_back(std::move(Restarted));
  }
  if (World.Restarts > 0) {
    for (const auto &Record : World.Published) {
      auto Told = World;
      applyPreviousTarget(Told.Watch, Record);
      sendCheck(Told);
      recordStep(Told, "peer-tells-" + Record.Id.Value +
                           std::to_string(Record.StartedAtMs) + "." +
                           std::to_string(static_cast<int>(Record.State)));
      Next.push_back(std::move(Told));
    }
  }
}

auto nextWorlds(const search_case &Case, const world &World)
    -> std::vector<world> {
  auto Next = std::vector<world>();
  addTargetSteps(Case, World, Next);
  addMessages(Case, World, 1, World.FirstLeft, Next);
  if (World.Phase >= phase::SecondReady) {
    addMessages(Case, World, 2, World.Phase >= phase::SecondLeaving, Next);
  }
  addNodeSteps(Case, World, Next);
  return Next;
}

/** @return whether a target whose leaving was acknowledged gets calls. */
auto isUsedAfterLeave(const search_case &Case, const world &World) -> bool {
  auto Start = runningStart(World);
  return World.Acknowledged.contains(Start) &&
         isUsed(World.Watch, targetOf(Case, Start).Id);
}

/** @return whether a healthy target gets calls after two more heartbeats, with
 * nothing late or lost from now on. */
auto isUsedInTime(const search_case &Case, world World) -> bool {
  auto Start = runningStart(World);
  auto FinishChecks = [&] {
    while (World.CheckState != check_state::None) {
      if (World.CheckState == check_state::Sent) {
        answerCheck(Case, World, false);
      }
      deliverAnswer(World);
    }
  };
  FinishChecks();
  for (auto Sequence : {std::uint64_t{10}, std::uint64_t{11}}) {
    deliverHeartbeat(World, heartbeatOf(Case, Start, Sequence));
    FinishChecks();
  }
  return isUsed(World.Watch, targetOf(Case, Start).Id);
}

/** Searches all worlds of a case.
 * @return their number. */
auto searchAll(const search_case &Case) -> std::size_t {
  auto First = world();
  First.Watch.MayLackLeaves = !Case.IsFirstProcess;
  auto Seen = std::unordered_set<std::string>{keyOf(First)};
  auto Open = std::deque<world>{First};
  while (!Open.empty()) {
    auto World = std::move(Open.front());
    Open.pop_front();
    cr_assert_not(isUsedAfterLeave(Case, World), "used after its leave:%s",
                  formatTrace(World).c_str());
    cr_assert(!isHealthy(World) || isUsedInTime(Case, World),
              "healthy and not used:%s", formatTrace(World).c_str());
    for (auto &Next : nextWorlds(Case, World)) {
      publish(Next);
      if (Seen.insert(keyOf(Next)).second) {
        Open.push_back(std::move(Next));
      }
    }
  }
  return Seen.size();
}

} // namespace

/** Searches with each order of the start times, and in a node that lacks no
 * leaves before its restart, or may lack some. */
static void searchStarts(bool IsSameId, bool TellsStartTime) {
  for (auto IsClockSetBack : {false, true}) {
    for (auto IsFirstProcess : {false, true}) {
      auto Worlds =
          searchAll({IsSameId, IsClockSetBack, TellsStartTime, IsFirstProcess});
      cr_log_info("%zu worlds", Worlds);
      cr_assert_gt(Worlds, 10'000U);
    }
  }
}

// These guard against a target that gets calls after its leaving was
// acknowledged, and against a healthy one that never gets any.

// The leaves of two targets tell which start they are about.
Test(sidecar_start_search, leaves_of_two_targets) { searchStarts(false, true); }

// The leaves of two targets don't tell that.
Test(sidecar_start_search, leaves_without_start_time_of_two_targets) {
  searchStarts(false, false);
}

// A target starts again under its id.
Test(sidecar_start_search, leaves_of_two_starts_with_one_id) {
  searchStarts(true, true);
}

// The same, and its leaves don't tell which start they are about.
Test(sidecar_start_search, leaves_without_start_time_of_one_id) {
  searchStarts(true, false);
}
