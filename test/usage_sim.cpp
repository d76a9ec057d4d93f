/** @file usage_sim.cpp Simulation of usage holders. */
#include "usage_sim.h"

#include "sycamorelb/core/hash_func.h"

#include <algorithm>

namespace sycamorelb::sim {

using namespace usage;

static constexpr auto NodeCount = 4;
static constexpr auto CandidateCount = 3;
static constexpr auto TickInterval = micros(100'000);
static constexpr auto StoreTimeout = micros(2'500'000);
static constexpr auto PlatformTimeout = micros(1'500'000);
static constexpr auto StartTime = steady_time(micros(1'000'000'000));
static constexpr auto StartWall = std::int64_t{1'767'225'600'123};

usage_sim::usage_sim(std::uint64_t Seed, usage_options Options)
    : Random(Seed), Options(Options), Nodes(NodeCount) {
  for (auto Node = 0; Node < NodeCount; ++Node) {
    startProcess(Node);
  }
}

auto usage_sim::wall() const -> std::int64_t {
  return StartWall + Now.time_since_epoch().count() / 1000;
}

void usage_sim::at(steady_time Time, event Run) {
  Events.emplace(Time, std::move(Run));
}

void usage_sim::atNode(int Node, steady_time Time, event Run) {
  auto Generation = at(Node).Generation;
  at(Time, [this, Node, Generation, Run = std::move(Run)] {
    auto &Entry = at(Node);
    if (Entry.Generation != Generation || !Entry.Alive) {
      return;
    }
    if (Entry.PausedUntil > Now) {
      return atNode(Node, Entry.PausedUntil, Run);
    }
    Run();
  });
}

void usage_sim::startProcess(int Node) {
  auto &Entry = at(Node);
  ++Entry.Generation;
  Entry.Alive = true;
  Entry.State = holder_state();
  Entry.Ledger = usage_ledger();
  Entry.Clocks = clock_samples();
  Entry.PausedUntil = steady_time();
  auto &Settings = Entry.State.Settings;
  Settings.Node = {"node-" + std::to_string(Node)};
  Settings.Process = {hash64("process", NextProcess++)};
  Settings.FencingRequired = Options.FencingRequired;
  atNode(Node, Now + micros(below(100'000)), [this, Node] { tick(Node); });
}

void usage_sim::run(micros Time) {
  auto Until = Now + Time;
  while (!Events.empty() && Events.begin()->first <= Until) {
    Now = std::max(Now, Events.begin()->first);
    auto Run = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    Run();
  }
  Now = Until;
}

auto usage_sim::inputs(int Node) -> holder_inputs {
  auto Inputs = holder_inputs{Now, trueTime(at(Node).Clocks, Now), {}, true};
  if (Node < CandidateCount) {
    Inputs.Rank = static_cast<std::size_t>(Node);
  }
  return Inputs;
}

void usage_sim::tick(int Node) {
  auto &Entry = at(Node);
  for (auto Other = 0; Other < NodeCount; ++Other) {
    recordClock(Entry.Clocks, at(Other).State.Settings.Node,
                wall() + at(Other).ClockError, Now);
  }
  // Each node knows other counts, which also change, so that counts that are
  // composed twice differ.
  auto Current = windowAt(wall(), Entry.State.Settings.Window);
  for (auto Window = Current - 3; Window <= Current; ++Window) {
    recordCounts(
        Entry.Ledger,
        {Entry.State.Settings.Node,
         Entry.State.Settings.Process,
         Window,
         {{{"customer"},
           static_cast<std::uint32_t>(Now.time_since_epoch().count() / 1000)}},
         false},
        Current);
  }
  execute(Node, stepHolder(Entry.State, inputs(Node), Entry.Ledger));
  atNode(Node, Now + TickInterval, [this, Node] { tick(Node); });
}

void usage_sim::execute(int Node, const holder_actions &Actions) {
  for (const auto &Action : Actions) {
    if (std::holds_alternative<list_action>(Action)) {
      list(Node);
    } else if (const auto *Append = std::get_if<append_action>(&Action)) {
      append(Node, *Append);
    } else if (const auto *Send = std::get_if<send_action>(&Action)) {
      send(Node, *Send);
    } else {
      announce(Node, std::get<announce_action>(Action));
    }
  }
}

auto usage_sim::delay() -> micros {
  // Few calls are slow, some of them longer than their timeout.
  auto IsSlow = Options.FaultShare > 0 && !areFaultsOver() && below(20) == 0;
  return micros(1000 + below(IsSlow ? 5'000'000 : 20'000));
}

void usage_sim::list(int Node) {
  ++Lists;
  auto Done = std::make_shared<bool>(false);
  auto Finish = [this, Node, Done](const list_answer &Answer) {
    if (!std::exchange(*Done, true)) {
      auto &State = at(Node).State;
      execute(Node, handleListed(State, Answer, inputs(Node)));
    }
  };
  atNode(Node, Now + StoreTimeout, [Finish] { Finish({}); });
  noteStep(usage_step::ListSent, Node);
  at(Now + delay(), [this, Node, Finish] {
    if (StoreDownUntil > Now || at(Node).StoreCutUntil > Now) {
      return;
    }
    auto Answer = list_answer{true, Era, {Log.size()}, {}};
    if (!Log.empty()) {
      Answer.Newest = Log.back();
    }
    atNode(Node, Now + delay(), [Finish, Answer] { Finish(Answer); });
  });
}

void usage_sim::append(int Node, const append_action &Action) {
  ++Appends;
  auto Done = std::make_shared<bool>(false);
  auto Finish = [this, Node, Done](const append_answer &Answer) {
    if (!std::exchange(*Done, true)) {
      auto &State = at(Node).State;
      execute(Node, handleAppended(State, Answer, inputs(Node)));
      noteStep(usage_step::AppendAnswered, Node);
    }
  };
  atNode(Node, Now + StoreTimeout, [Finish] { Finish({}); });
  at(Now + delay(), [this, Node, Finish, Action] {
    if (StoreDownUntil > Now || at(Node).StoreCutUntil > Now) {
      return;
    }
    auto Answer = append_answer{Log.size() == Action.At.Value, Era, {}};
    if (Answer.Appended) {
      Log.push_back(Action.Record);
    }
    Answer.End = {Log.size()};
    noteStep(usage_step::AppendDone, Node);
    if (at(Node).StoreCutUntil <= Now) {
      atNode(Node, Now + delay(), [Finish, Answer] { Finish(Answer); });
    }
  });
  noteStep(usage_step::AppendSent, Node);
}

void usage_sim::send(int Node, const send_action &Action) {
  atNode(Node, Now + micros(below(5000)),
         [this, Node, Action] { finishSend(Node, Action); });
  noteStep(usage_step::SendDecided, Node);
}

void usage_sim::finishSend(int Node, const send_action &Action) {
  auto &State = at(Node).State;
  if (!mayAct(State, Now) || State.Own->Token != Action.Token) {
    return handleSent(State, send_outcome::NotSent, inputs(Node));
  }
  Acts.push_back({Now, Node, State.Settings.Process, Action.Token,
                  Action.Window, Action.Counts});
  ActsAfterFenced += FencedTokens.contains(Action.Token) ? 1 : 0;
  auto Done = std::make_shared<bool>(false);
  auto Finish = [this, Node, Action, Done](send_outcome Outcome) {
    if (!std::exchange(*Done, true)) {
      if (Outcome == send_outcome::Fenced) {
        FencedTokens.insert(Action.Token);
      }
      handleSent(at(Node).State, Outcome, inputs(Node));
      noteStep(usage_step::SendAnswered, Node);
    }
  };
  atNode(Node, Now + PlatformTimeout,
         [Finish] { Finish(send_outcome::Unknown); });
  auto Slow = PlatformSlowUntil > Now ? micros(below(8'000'000)) : micros(0);
  at(Now + delay() + Slow, [this, Node, Finish, Action] {
    if (at(Node).PlatformCutUntil > Now) {
      return;
    }
    auto Outcome = send_outcome::Accepted;
    if (PlatformLimitedUntil > Now) {
      Outcome = send_outcome::Unknown;
    } else if (Action.Token < MaxToken && Options.FencingRequired) {
      Outcome = send_outcome::Fenced;
    } else {
      MaxToken = std::max(MaxToken, Action.Token);
      AcceptedAt.try_emplace(Action.Window, Now);
    }
    noteStep(usage_step::SendDone, Node);
    atNode(Node, Now + delay(), [Finish, Outcome] { Finish(Outcome); });
  });
}

void usage_sim::announce(int Node, const announce_action &Action) {
  for (auto Other = 0; Other < NodeCount; ++Other) {
    if (Other == Node || at(Node).PeersCutUntil > Now ||
        at(Other).PeersCutUntil > Now ||
        (!Action.ToAll && Other >= CandidateCount)) {
      continue;
    }
    atNode(Other, Now + delay(), [this, Other, Action] {
      observeHolder(at(Other).State, Action.Holder, inputs(Other));
    });
  }
}

void usage_sim::kill(int Node, micros RestartAfter) {
  at(Node).Alive = false;
  ++at(Node).Generation;
  at(Now + RestartAfter, [this, Node] {
    if (!at(Node).Alive) {
      startProcess(Node);
    }
  });
}

void usage_sim::pause(int Node, micros Time) {
  at(Node).PausedUntil = Now + Time;
}

void usage_sim::cutStore(int Node, micros Time) {
  at(Node).StoreCutUntil = Now + Time;
}

void usage_sim::cutPlatform(int Node, micros Time) {
  at(Node).PlatformCutUntil = Now + Time;
}

void usage_sim::cutPeers(int Node, micros Time) {
  at(Node).PeersCutUntil = Now + Time;
}

void usage_sim::rewind(std::size_t Records) {
  Log.resize(Log.size() - std::min(Records, Log.size()));
  ++Era.Value;
}

void usage_sim::stepClock(int Node, millis Step) {
  at(Node).ClockError = Step.count();
}

auto usage_sim::areFaultsOver() const -> bool {
  return Now > StartTime + Options.FaultsUntil;
}

void usage_sim::noteStep(usage_step Step, int Node) {
  if (OnStep) {
    OnStep(Step, Node);
  }
  if (!areFaultsOver() && randomUnit(Random) < Options.FaultShare) {
    strike(Node);
  }
}

void usage_sim::strike(int Node) {
  auto Time = micros(100'000 + below(9'000'000));
  switch (below(13)) {
  case 0:
    return kill(Node, Time);
  case 1:
  case 2:
    return pause(Node, Time);
  case 3:
    return cutStore(Node, Time);
  case 4:
    return cutPlatform(Node, Time);
  case 5:
    return cutPeers(Node, Time);
  case 6:
    return stopStore(Time);
  case 7:
    return slowPlatform(Time);
  case 8:
    return limitPlatform(Time);
  case 9:
    return stepClock(Node,
                     millis(static_cast<std::int64_t>(below(8000)) - 4000));
  case 10: // Twice in a row.
    rewind(1 + below(3));
    at(Now + micros(below(3'000'000)), [this] { rewind(1 + below(3)); });
    return;
  case 11: // While the holder is dead.
    kill(Node, Time);
    [[fallthrough]];
  default:
    return rewind(below(4));
  }
}

auto usage_sim::findViolation() const -> std::string {
  auto Lease = micros(holder_settings().Lease);
  auto CountsOf = std::map<std::int64_t, customer_counts>();
  auto OwnerOf = std::map<std::uint64_t, process_id>();
  auto LastActOf = std::map<process_id, steady_time>();
  const usage_act *Last = nullptr;
  for (const auto &Act : Acts) {
    auto Where = " at " + std::to_string(Act.At.time_since_epoch().count());
    if (CountsOf.try_emplace(Act.Window, Act.Counts).first->second !=
        Act.Counts) {
      return "(a) two counts for window" + Where;
    }
    if (OwnerOf.try_emplace(Act.Token, Act.Process).first->second !=
        Act.Process) {
      return "(b) two holders with one token" + Where;
    }
    auto IsChange = Last != nullptr && Last->Process != Act.Process;
    auto Returns = IsChange && LastActOf.contains(Act.Process);
    if (Returns && Act.At - Last->At < Lease) {
      return "(c) holders alternate" + Where;
    }
    if (!Options.FencingRequired && Last != nullptr &&
        Act.Token < Last->Token) {
      return "(d) lower token after a higher one" + Where;
    }
    if (!Options.FencingRequired && IsChange && Act.At - Last->At < Lease) {
      return "(d) new holder acts within the lease" + Where;
    }
    LastActOf[Act.Process] = Act.At;
    Last = &Act;
  }
  return ActsAfterFenced > 0 ? "(c) token used after 409" : "";
}

} // namespace sycamorelb::sim
