/** @file gossip_loop.cpp Threads that run the membership protocol. */
#include "node/gossip_loop.h"

#include "sycamorelb/membership/exchange_func.h"
#include "sycamorelb/membership/name_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <condition_variable>
#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

namespace sycamorelb::node {

using membership::effects;
using telemetry::log_level;
using telemetry::logLine;

/** Maximum wait for a datagram, and so the longest period of the membership
 * timers. */
static constexpr auto TickPeriod = millis(100);
/** Minimum time between two rebuilds of the view: a rebuild copies all members,
 * and gossip may change many of them in a row. */
static constexpr auto RebuildPeriod = millis(50);
/** Timeout of one full exchange with a peer. */
static constexpr auto ExchangeTimeout = millis(2000);
/** Maximum number of queued exchanges. Further ones are dropped; membership
 * requests them again later. */
static constexpr auto MaxQueuedExchanges = std::size_t{8};

struct gossip_loop::implementation {
  node_context &Context;
  gossip_handlers Handlers;
  std::thread Receiver;
  std::thread Exchanger;
  std::mutex QueueMutex; // Leaf lock; held only to push and pop.
  std::condition_variable QueueChanged;
  std::deque<membership::exchange_target> Queue;
  // State of the view; guarded by Context.MemberMutex.
  std::uint64_t Generation = 1;
  bool ViewOutdated = false;
  steady_time LastRebuild{};

  implementation(node_context &NodeContext, gossip_handlers GossipHandlers)
      : Context(NodeContext), Handlers(std::move(GossipHandlers)) {}

  /** Calls Change with the locked member table and applies its effects. */
  template <class F> void updateTable(F Change) {
    auto Effects = effects();
    {
      auto Lock = std::lock_guard(Context.MemberMutex);
      Effects = Change(Context.Members);
      ViewOutdated = ViewOutdated || !Effects.Changes.empty();
    }
    applyEffects(Effects);
  }

  void rebuildView() {
    auto Lock = std::lock_guard(Context.MemberMutex);
    auto Now = steadyNow();
    if (!ViewOutdated || Now - LastRebuild < RebuildPeriod) {
      return;
    }
    auto Subset = routing::subset_config();
    Subset.Size = Context.Settings.Proxy.SubsetSize;
    Context.View = buildMeshView(Context.Members, Subset, ++Generation);
    ViewOutdated = false;
    LastRebuild = Now;
  }

  void applyEffects(const effects &Effects) {
    for (const auto &Outgoing : Effects.Messages) {
      Context.Udp->send(Outgoing.Address, Outgoing.Message);
    }
    for (const auto &Change : Effects.Changes) {
      logChange(Change);
    }
    for (const auto &Brake : Effects.NewBrakes) {
      Handlers.OnBrake(Brake);
    }
    queueExchanges(Effects.Exchanges);
  }

  void queueExchanges(const std::vector<membership::exchange_target> &Targets) {
    if (Targets.empty()) {
      return;
    }
    auto Lock = std::lock_guard(QueueMutex);
    for (const auto &Target : Targets) {
      if (Queue.size() < MaxQueuedExchanges) {
        Queue.push_back(Target);
      }
    }
    QueueChanged.notify_one();
  }

  static void logChange(const membership::member_change &Change) {
    if (Change.Before == Change.After && !Change.NewIncarnation) {
      return;
    }
    logLine(log_level::Info, {"membership.change", Change.Id.Value, ""},
            "member changed state",
            {{"state", membership::stateName(Change.After)},
             {"new_incarnation", Change.NewIncarnation}});
  }

  void receiveLoop() {
    while (!Context.Stopping) {
      auto Received = Context.Udp->receive(TickPeriod);
      if (Received) {
        recordContact(Context);
        handle(*Received);
      }
      updateTable(
          [](auto &Table) { return membership::onTick(Table, instantNow()); });
      rebuildView();
    }
  }

  void handle(const inner::received_datagram &Received) {
    const auto &From = Received.Datagram.From;
    const auto &Body = Received.Datagram.Body;
    if (const auto *Message = std::get_if<membership::message>(&Body)) {
      updateTable([&](auto &Table) {
        return membership::onMessage(Table, *Message, Received.Address,
                                     instantNow());
      });
      Handlers.OnPeerPoint(
          From, Received.Address,
          {Message->Config.Position, Message->Config.ChainHash});
    } else if (const auto *Notice = std::get_if<inner::config_notice>(&Body)) {
      Handlers.OnNotice(From, Received.Address, *Notice);
    } else if (const auto *Report =
                   std::get_if<inner::evidence_report>(&Body)) {
      Handlers.OnEvidence(From, Report->Bytes);
    }
  }

  void exchangeLoop() {
    while (!Context.Stopping) {
      auto Target = membership::exchange_target();
      {
        auto Lock = std::unique_lock(QueueMutex);
        QueueChanged.wait_for(Lock, TickPeriod);
        if (Queue.empty()) {
          continue;
        }
        Target = Queue.front();
        Queue.pop_front();
      }
      exchangeWith(Target);
    }
  }

  void exchangeWith(const membership::exchange_target &Target) {
    auto Request = membership::member_exchange();
    {
      auto Lock = std::lock_guard(Context.MemberMutex);
      Request = membership::beginExchange(Context.Members);
    }
    auto Answer =
        Context.Rpc.exchangeMembers(Target.Address, Request, ExchangeTimeout);
    if (!isOk(Answer)) {
      telemetry::logError(log_level::Debug, errorOf(Answer));
      return;
    }
    recordContact(Context);
    auto Result = membership::exchange_result();
    updateTable([&](auto &Table) {
      Result = membership::finishExchange(Table, valueOf(Answer), instantNow());
      return Result.Effects;
    });
    if (Result.FollowUp) {
      Context.Rpc.exchangeMembers(Target.Address, *Result.FollowUp,
                                  ExchangeTimeout);
    }
  }
};

gossip_loop::gossip_loop(node_context &Context, gossip_handlers Handlers)
    : Impl(std::make_unique<implementation>(Context, std::move(Handlers))) {}

gossip_loop::~gossip_loop() { stop(); }

void gossip_loop::start() {
  Impl->Receiver = std::thread([this] { Impl->receiveLoop(); });
  Impl->Exchanger = std::thread([this] { Impl->exchangeLoop(); });
}

void gossip_loop::stop() {
  Impl->Context.Stopping = true;
  if (Impl->Context.Udp) {
    Impl->Context.Udp->wake();
  }
  Impl->QueueChanged.notify_all();
  if (Impl->Receiver.joinable()) {
    Impl->Receiver.join();
  }
  if (Impl->Exchanger.joinable()) {
    Impl->Exchanger.join();
  }
}

void gossip_loop::setOwnUpstreams(
    std::vector<membership::upstream_info> Upstreams) {
  auto Lock = std::lock_guard(Impl->Context.MemberMutex);
  auto RevisionRaised =
      membership::setOwnUpstreams(Impl->Context.Members, std::move(Upstreams));
  if (!isOk(RevisionRaised)) {
    telemetry::logError(log_level::Error, errorOf(RevisionRaised));
  } else if (valueOf(RevisionRaised)) {
    Impl->ViewOutdated = true;
  }
}

void gossip_loop::setOwnPoint(const config::chain_point &Point) {
  auto Lock = std::lock_guard(Impl->Context.MemberMutex);
  membership::setOwnConfig(Impl->Context.Members, {Point.Position, Point.Hash});
}

void gossip_loop::raiseBrake(const membership::brake_notice &Brake) {
  Impl->updateTable([&](auto &Table) {
    return membership::raiseBrake(Table, Brake, instantNow());
  });
}

void gossip_loop::beginLeaving() {
  Impl->updateTable([](auto &Table) {
    return membership::beginLeaving(Table, instantNow());
  });
}

void gossip_loop::finishLeaving() {
  Impl->updateTable([](auto &Table) {
    return membership::finishLeaving(Table, instantNow());
  });
}

auto gossip_loop::answerExchange(const membership::member_exchange &Request)
    -> membership::member_exchange {
  auto Answer = membership::member_exchange();
  Impl->updateTable([&](auto &Table) {
    auto Result = membership::answerExchange(Table, Request, instantNow());
    Answer = std::move(Result.Answer);
    return std::move(Result.Effects);
  });
  return Answer;
}

} // namespace sycamorelb::node
