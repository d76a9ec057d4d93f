/** @file config_loop.cpp Threads that keep the configuration up to date. */
#include "node/config_loop.h"

#include "node/checkpoint_writer.h"
#include "sycamorelb/config/checkpoint_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamorelb::node {

using config::chain_point;
using config::update_result;
using config::update_status;
using telemetry::log_level;
using telemetry::logLine;
using telemetry::metric;

/** Maximum number of records requested in one read of the log. */
static constexpr auto MaxReadRecords = std::size_t{256};
/** Timeout of one pull from a peer. */
static constexpr auto PullTimeout = millis(2000);
/** Bounds of the backoff after a failed read or pull. */
static constexpr auto BackoffBase = millis(100);
static constexpr auto BackoffCap = millis(5000);
/** Period at which idle threads re-evaluate the reader role and the offers of
 * peers. */
static constexpr auto IdlePeriod = millis(200);
/** Maximum size of the records in a notice; with envelope and authentication
 * the datagram stays below 1,200 bytes. */
static constexpr auto MaxNoticeBytes = std::size_t{900};

struct config_loop::implementation {
  node_context &Context;
  std::function<void(const chain_point &)> OnAdvance;
  checkpoint_writer Checkpoints;
  std::thread Reader;
  std::thread Puller;
  mutable std::mutex Mutex; // Guards all below; no other lock is taken inside.
  std::condition_variable Changed;
  std::map<node_id, config::peer_offer> Offers;
  std::map<node_id, std::string> Addresses;
  std::map<node_id, std::uint32_t> Failures;
  std::optional<steady_time> BehindSince;
  std::optional<steady_time> LastServedAt;
  steady_time NextDirectRead{};
  bool LogAvailable = false;
  random_source Random;

  implementation(node_context &NodeContext,
                 std::function<void(const chain_point &)> AdvanceHandler)
      : Context(NodeContext), OnAdvance(std::move(AdvanceHandler)),
        Checkpoints(NodeContext), Random(Context.Incarnation.Value) {}

  auto live() const { return Context.View.load()->Live; }

  // --- New records. --------------------------------------------------------

  /** Reports a new position to waiting threads, gossip and peers. */
  void announceAdvance(const chain_point &Before, const update_result &Update) {
    auto Point = Context.Store.point();
    {
      auto Lock = std::lock_guard(Mutex);
      updateBehind(Point);
    }
    Changed.notify_all();
    Checkpoints.onUpdate(Update, Point.Position);
    Context.Metrics.set(metric::ConfigPosition, {},
                        static_cast<double>(Point.Position.Value));
    OnAdvance(Point);
    notifyPeers(Before);
  }

  auto handleUpdate(const chain_point &Before, const update_result &Update,
                    const std::string &Peer) -> bool {
    if (Update.Kind == update_status::Advanced) {
      announceAdvance(Before, Update);
      return true;
    }
    if (Update.Kind != update_status::AlreadyApplied) {
      logLine(log_level::Warning, {"config.deliver", Peer, ""},
              "configuration records rejected", {{"reason", Update.Reason}});
    }
    return Update.Kind == update_status::AlreadyApplied;
  }

  void notifyPeers(const chain_point &Before) {
    auto Notice = inner::config_notice();
    auto Snapshot = Context.Store.current();
    const auto &State = Snapshot->State;
    Notice.Config = {State.Position, State.ChainHash};
    Notice.Version = State.Version;
    Notice.Base = {Before.Position, Before.Hash};
    auto Batch = Context.Store.recordsAfter(Before, MaxNoticeBytes);
    if (const auto *Found = std::get_if<config::record_batch>(&Batch)) {
      auto Bytes = std::size_t{0};
      for (const auto &Record : Found->Records) {
        Bytes += Record.Bytes.size() + 16;
      }
      if (Bytes <= MaxNoticeBytes && Found->End.Position == State.Position) {
        Notice.Records = Found->Records;
      }
    }
    auto View = Context.View.load();
    auto Targets = std::vector<node_id>();
    {
      auto Lock = std::lock_guard(Mutex);
      Targets = config::choosePeersToNotify(View->Live, Context.Self, Random);
    }
    for (const auto &Target : Targets) {
      Context.Udp->send(innerAddress(*View, Target), Notice);
    }
  }

  // --- Offers of peers. ------------------------------------------------------

  /** Updates BehindSince. The mutex must be held. */
  void updateBehind(const chain_point &Own) {
    auto Behind = false;
    for (const auto &[Id, Offer] : Offers) {
      Behind = Behind || Offer.Point.Position > Own.Position;
    }
    if (!Behind) {
      BehindSince.reset();
    } else if (!BehindSince) {
      BehindSince = steadyNow();
    }
  }

  auto findPeer(const node_id &Id) const -> std::optional<config::peer> {
    for (const auto &Peer : live()) {
      if (Peer.Id == Id) {
        return Peer;
      }
    }
    return std::nullopt;
  }

  void recordOffer(const node_id &From, const std::string &Address,
                   const chain_point &Point) {
    auto Own = Context.Store.point();
    auto Peer = findPeer(From).value_or(config::peer{From, {}, {}});
    auto Lock = std::lock_guard(Mutex);
    auto &Offer = Offers[From];
    Offer.Peer = Peer;
    Offer.Point = Point;
    Addresses[From] = Address;
    updateBehind(Own);
    if (BehindSince) {
      Changed.notify_all();
    }
  }

  // --- Pulling. --------------------------------------------------------------

  void pullLoop() {
    while (!Context.Stopping) {
      auto Choice = std::optional<config::pull_choice>();
      auto Address = std::string();
      {
        auto Lock = std::unique_lock(Mutex);
        pruneOffers();
        Choice = choosePullPeer();
        if (!Choice || Choice->Forked) {
          Changed.wait_for(Lock, IdlePeriod);
          continue;
        }
        Address = Addresses[Choice->From];
      }
      auto Before = Context.Store.point().Position;
      // A pull that brings nothing new counts as failed; otherwise the peer
      // would be asked again immediately while its last offer stands.
      auto Progressed =
          pull(Address) && Context.Store.point().Position > Before;
      updateBackoff(Choice->From, Progressed);
    }
  }

  /** The mutex must be held. */
  auto choosePullPeer() -> std::optional<config::pull_choice> {
    auto List = std::vector<config::peer_offer>();
    List.reserve(Offers.size());
    for (const auto &[Id, Offer] : Offers) {
      List.push_back(Offer);
    }
    auto Choice = config::choosePullPeer(Context.Store.point(), Context.Self,
                                         List, steadyNow(), Random);
    if (Choice && Choice->Forked) {
      logLine(
          log_level::Error, {"config.pull", Choice->From.Value, ""},
          "peer has a different configuration history at the same position");
      Offers.erase(Choice->From);
    }
    return Choice;
  }

  /** Removes offers of peers that are not live, once there are many. The mutex
   * must be held. */
  void pruneOffers() {
    if (Offers.size() <= live().size() * 2 + 16) {
      return;
    }
    std::erase_if(Offers,
                  [this](const auto &Entry) { return !findPeer(Entry.first); });
  }

  /** Updates the backoff of a peer after a pull. */
  void updateBackoff(const node_id &From, bool Progressed) {
    auto Lock = std::lock_guard(Mutex);
    auto &Count = Failures[From];
    Count = Progressed ? 0 : Count + 1;
    if (Progressed) {
      LastServedAt = steadyNow();
      return;
    }
    Offers[From].RetryAt =
        steadyNow() + BackoffBase +
        config::backoffDelay(Count, BackoffBase, BackoffCap, Random);
  }

  auto pull(const std::string &Address) -> bool {
    auto Before = Context.Store.point();
    auto Answer = Context.Rpc.fetchRecords(
        Address, {Before.Position, Before.Hash}, PullTimeout);
    if (!isOk(Answer)) {
      Context.Metrics.increment(metric::ConfigPulls, {{"result", "failed"}});
      telemetry::logError(log_level::Debug, errorOf(Answer));
      return false;
    }
    recordContact(Context);
    const auto &Fetched = valueOf(Answer);
    switch (Fetched.Outcome) {
    case inner::fetch_outcome::Records:
      Context.Metrics.increment(metric::ConfigPulls, {{"result", "records"}});
      return handleUpdate(
          Before,
          Context.Store.apply(config::record_batch{
              Fetched.Records,
              {Fetched.Config.Position, Fetched.Config.ChainHash}}),
          Address);
    case inner::fetch_outcome::TooOld:
      return pullState(Address);
    case inner::fetch_outcome::Fork:
      Context.Metrics.increment(metric::ConfigPulls, {{"result", "fork"}});
      return false;
    }
    return false;
  }

  auto pullState(const std::string &Address) -> bool {
    auto Before = Context.Store.point();
    auto Bytes = Context.Rpc.fetchState(Address, PullTimeout);
    auto Decoded = isOk(Bytes) ? config::decodeState(valueOf(Bytes))
                               : result<config::config_state>(errorOf(Bytes));
    if (!isOk(Decoded)) {
      Context.Metrics.increment(metric::ConfigPulls, {{"result", "failed"}});
      telemetry::logError(log_level::Info, errorOf(Decoded));
      return false;
    }
    Context.Metrics.increment(metric::ConfigPulls, {{"result", "state"}});
    return handleUpdate(Before,
                        Context.Store.installState(std::move(valueOf(Decoded))),
                        Address);
  }

  // --- Reading the log. ------------------------------------------------------

  void readLoop() {
    auto Attempt = std::uint32_t{0};
    while (!Context.Stopping) {
      auto IsReader = config::isReader(live(), Context.Self);
      if (!IsReader && !mayReadDirectly()) {
        auto Lock = std::unique_lock(Mutex);
        Changed.wait_for(Lock, IdlePeriod);
        continue;
      }
      if (readLog(IsReader ? Context.Settings.Log.ReadWait : millis(0))) {
        Attempt = 0;
        Checkpoints.writeIfDue(live());
        continue;
      }
      auto Lock = std::unique_lock(Mutex);
      auto Delay = BackoffBase + config::backoffDelay(Attempt++, BackoffBase,
                                                      BackoffCap, Random);
      Changed.wait_for(Lock, Delay);
    }
  }

  auto mayReadDirectly() -> bool {
    auto Peers = live().size();
    auto Lock = std::lock_guard(Mutex);
    auto Now = steadyNow();
    auto Input =
        config::direct_read_input{false, Peers == 0 ? 0 : Peers - 1,
                                  BehindSince, LastServedAt, NextDirectRead};
    if (!config::shouldReadLog(Input, Now)) {
      return false;
    }
    NextDirectRead = config::nextDirectRead(Now, Random);
    return true;
  }

  auto readLog(millis Wait) -> bool {
    auto Before = Context.Store.point();
    auto Result = Context.Log.read(ConfigStream, {Before.Position.Value + 1},
                                   MaxReadRecords, Wait);
    auto Answered = !std::holds_alternative<error>(Result);
    Context.Metrics.increment(metric::LogReads,
                              {{"result", Answered ? "ok" : "failed"}});
    updateLogAvailability(Answered);
    if (const auto *Batch = std::get_if<platform::read_batch>(&Result)) {
      if (!Batch->Records.empty()) {
        handleUpdate(Before, Context.Store.apply(Batch->Records), "log");
      }
    } else if (const auto *Expired =
                   std::get_if<platform::read_expired>(&Result)) {
      return restoreFromCheckpoint(*Expired);
    } else {
      telemetry::logError(log_level::Debug, std::get<error>(Result));
    }
    return Answered;
  }

  void updateLogAvailability(bool Answered) {
    if (Answered) {
      recordContact(Context);
    }
    auto Lock = std::lock_guard(Mutex);
    if (LogAvailable != Answered) {
      logLine(log_level::Info, {"log.read", Context.Settings.Log.Address, ""},
              Answered ? "log service responds"
                       : "log service does not respond");
    }
    LogAvailable = Answered;
  }

  /** Restores the state from the newest checkpoint, for when the records that
   * this node needs have expired. */
  auto restoreFromCheckpoint(const platform::read_expired &Expired) -> bool {
    auto Records = std::vector<config::raw_record>();
    auto From = Expired.First;
    while (From < Expired.Next && !Context.Stopping) {
      auto Result =
          Context.Log.read(ConfigStream, From, MaxReadRecords, millis(0));
      const auto *Batch = std::get_if<platform::read_batch>(&Result);
      if (Batch == nullptr || Batch->Records.empty()) {
        return false;
      }
      Records.insert(Records.end(), Batch->Records.begin(),
                     Batch->Records.end());
      From = {Records.back().Offset.Value + 1};
    }
    auto State = config::restoreFromLog(Records);
    if (!isOk(State)) {
      telemetry::logError(log_level::Warning, errorOf(State));
      return false;
    }
    auto Before = Context.Store.point();
    return handleUpdate(
        Before, Context.Store.installState(std::move(valueOf(State))), "log");
  }
};

config_loop::config_loop(node_context &Context,
                         std::function<void(const chain_point &)> OnAdvance)
    : Impl(std::make_unique<implementation>(Context, std::move(OnAdvance))) {}

config_loop::~config_loop() { stop(); }

void config_loop::start() {
  Impl->Reader = std::thread([this] { Impl->readLoop(); });
  Impl->Puller = std::thread([this] { Impl->pullLoop(); });
}

void config_loop::stop() {
  Impl->Context.Stopping = true;
  Impl->Context.Log.stop();
  Impl->Changed.notify_all();
  if (Impl->Reader.joinable()) {
    Impl->Reader.join();
  }
  if (Impl->Puller.joinable()) {
    Impl->Puller.join();
  }
}

void config_loop::onPeerPoint(const node_id &From, const std::string &Address,
                              const chain_point &Point) {
  Impl->recordOffer(From, Address, Point);
}

void config_loop::onNotice(const node_id &From, const std::string &Address,
                           const inner::config_notice &Notice) {
  auto Own = Impl->Context.Store.point();
  auto Point = chain_point{Notice.Config.Position, Notice.Config.ChainHash};
  if (!Notice.Records.empty() && Notice.Base.Position == Own.Position &&
      Notice.Base.ChainHash == Own.Hash) {
    Impl->handleUpdate(
        Own,
        Impl->Context.Store.apply(config::record_batch{Notice.Records, Point}),
        Address);
  }
  Impl->recordOffer(From, Address, Point);
}

auto config_loop::readLog(millis Wait) -> bool { return Impl->readLog(Wait); }

auto config_loop::waitFor(log_offset Position, steady_time Deadline) -> bool {
  auto Lock = std::unique_lock(Impl->Mutex);
  while (Impl->Context.Store.point().Position < Position) {
    auto Remaining = Deadline - steadyNow();
    if (Remaining <= micros(0) || Impl->Context.Stopping) {
      return false;
    }
    Impl->Changed.wait_for(Lock, Remaining);
  }
  return true;
}

auto config_loop::timeBehind() const -> micros {
  auto Lock = std::lock_guard(Impl->Mutex);
  return Impl->BehindSince ? steadyNow() - *Impl->BehindSince : micros(0);
}

auto config_loop::logAvailable() const -> bool {
  auto Lock = std::lock_guard(Impl->Mutex);
  return Impl->LogAvailable;
}

} // namespace sycamorelb::node
