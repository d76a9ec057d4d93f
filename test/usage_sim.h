/** @file usage_sim.h Simulation of usage holders, the store and the platform,
 * with random delays and faults, in simulated time. Pure: no sockets. */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/usage/holder.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sycamorelb::sim {

/** A call to the platform, when a holder sent it. */
struct usage_act {
  steady_time At;
  int Node;
  process_id Process;
  std::uint64_t Token;
  std::int64_t Window;
  usage::customer_counts Counts;
};

/** Steps of the protocol at which a fault may strike. */
enum class usage_step : std::uint8_t {
  ListSent,
  AppendSent,
  AppendDone,
  AppendAnswered,
  SendDecided,
  SendDone,
  SendAnswered,
};

/** Rates and limits of a simulation. */
struct usage_options {
  bool FencingRequired = true;
  double FaultShare = 0; ///< Share of the steps at which a fault strikes.
  micros FaultsUntil{90'000'000};
};

/** Some nodes with the protocol of the usage holder. */
class usage_sim {
public:
  usage_sim(std::uint64_t Seed, usage_options Options);
  void run(micros Time);
  auto now() const -> steady_time { return Now; }

  void kill(int Node, micros RestartAfter);
  void pause(int Node, micros Time);
  void cutStore(int Node, micros Time);
  void cutPlatform(int Node, micros Time);
  void cutPeers(int Node, micros Time);
  void stopStore(micros Time) { StoreDownUntil = Now + Time; }
  void slowPlatform(micros Time) { PlatformSlowUntil = Now + Time; }
  void limitPlatform(micros Time) { PlatformLimitedUntil = Now + Time; }
  /** The platform has seen a token above all others. */
  void raiseToken() { MaxToken += 1; }
  /** The store loses its last records, and its era rises. */
  void rewind(std::size_t Records);
  void stepClock(int Node, millis Step);

  /** Called at each step with the acting node. */
  std::function<void(usage_step, int)> OnStep;
  std::vector<usage_act> Acts;
  std::set<std::uint64_t> FencedTokens; ///< Answered with 409.
  int ActsAfterFenced = 0; ///< Acts with a token whose 409 was delivered.
  int Appends = 0;
  int Lists = 0;
  std::map<std::int64_t, steady_time> AcceptedAt; ///< By window.
  auto wall() const -> std::int64_t;

  /** @return the broken promise, or "". */
  auto findViolation() const -> std::string;

private:
  struct node {
    usage::holder_state State;
    usage::usage_ledger Ledger;
    usage::clock_samples Clocks;
    std::uint64_t Generation = 0;
    bool Alive = true;
    steady_time PausedUntil{};
    steady_time StoreCutUntil{};
    steady_time PlatformCutUntil{};
    steady_time PeersCutUntil{};
    std::int64_t ClockError = 0;
  };
  using event = std::function<void()>;
  void at(steady_time Time, event Run);
  /** Runs at a process, after its pause, unless it was killed. */
  void atNode(int Node, steady_time Time, event Run);
  void startProcess(int Node);
  void tick(int Node);
  auto inputs(int Node) -> usage::holder_inputs;
  void execute(int Node, const usage::holder_actions &Actions);
  void list(int Node);
  void append(int Node, const usage::append_action &Action);
  void send(int Node, const usage::send_action &Action);
  void finishSend(int Node, const usage::send_action &Action);
  void announce(int Node, const usage::announce_action &Action);
  void noteStep(usage_step Step, int Node);
  void strike(int Node);
  auto areFaultsOver() const -> bool;
  auto delay() -> micros;
  auto below(std::uint32_t Bound) -> std::uint32_t {
    return randomBelow(Random, Bound);
  }
  auto at(int Node) -> node & { return Nodes[static_cast<std::size_t>(Node)]; }

  random_source Random;
  usage_options Options;
  steady_time Now{micros(1'000'000'000)};
  std::multimap<steady_time, event> Events;
  std::vector<node> Nodes;
  std::vector<usage::usage_record> Log;
  store_era Era{1};
  std::uint64_t MaxToken = 0; ///< Seen by the platform.
  steady_time StoreDownUntil{};
  steady_time PlatformSlowUntil{};
  steady_time PlatformLimitedUntil{};
  std::uint64_t NextProcess = 1;
};

} // namespace sycamorelb::sim
