/** @file admission_control.cpp Admission control of the upstreams beside this
 * node. */
#include "node/admission_control.h"

#include "node/observed_outcome.h"
#include "node/route_table.h"
#include "sycamorelb/limits/limiter_func.h"
#include "sycamorelb/membership/name_func.h"
#include "sycamorelb/telemetry/log_func.h"

#include <condition_variable>
#include <nlohmann/json.hpp>

namespace sycamorelb::node {

using limits::ticket_id;
using membership::upstream_info;
using membership::upstream_state;
using proxy::admission_refusal;
using proxy::admission_request;
using proxy::admission_ticket;
using telemetry::metric;

/** Period at which a queued call checks its queue for work that would miss its
 * deadline. */
static constexpr auto QueuePollPeriod = millis(5);

/** State of a call that waits in the queue. */
struct waiter {
  enum class state { Waiting, Run, Refused };
  state State = state::Waiting;        ///< Current decision.
  limits::refuse_reason Reason{};      ///< Reason of a refusal.
  std::condition_variable_any Decided; ///< Signals a decision.
};

/** An upstream announced to this node. */
struct local_upstream {
  upstream_info Info;                    ///< As announced.
  std::string Instance;                  ///< Identifies its process.
  steady_time LeaseUntil{};              ///< End of the announcement's lease.
  limits::upstream_limiter Limiter;      ///< Limits and queue.
  std::map<ticket_id, waiter *> Waiting; ///< Queued calls.
};

using local_upstream_ptr = std::shared_ptr<local_upstream>;

/** A call that holds a slot. */
struct running_call {
  local_upstream_ptr Upstream; ///< Kept alive until the call ends.
  bool Cold = false;           ///< Whether the upstream was cold at the start.
};

static auto toPriority(proxy::call_priority Priority) -> limits::work_priority {
  switch (Priority) {
  case proxy::call_priority::NonIdempotent:
    return limits::work_priority::NonIdempotent;
  case proxy::call_priority::Idempotent:
    return limits::work_priority::Idempotent;
  case proxy::call_priority::Speculative:
    return limits::work_priority::Speculative;
  }
  return limits::work_priority::Speculative;
}

struct admission_control::implementation {
  node_context &Context;
  const brake_registry &Brakes;
  std::function<void(const finished_call &)> OnFinished;
  mutable ranked_mutex<lock_rank::AdmissionTable> Mutex; // Guards all below.
  std::vector<local_upstream_ptr> Upstreams;
  std::map<std::uint64_t, running_call> Running;
  std::uint64_t LastTicket = 0;

  implementation(node_context &NodeContext, const brake_registry &NodeBrakes,
                 std::function<void(const finished_call &)> FinishedHandler)
      : Context(NodeContext), Brakes(NodeBrakes),
        OnFinished(std::move(FinishedHandler)) {}

  auto findByAddress(const service_id &Service, const std::string &Address)
      -> local_upstream_ptr {
    for (const auto &Upstream : Upstreams) {
      if (Upstream->Info.Service == Service &&
          Upstream->Info.Address == Address) {
        return Upstream;
      }
    }
    return nullptr;
  }

  /** @return the upstream of the version with the most free slots. */
  auto findLeastLoaded(const service_id &Service, const version_id &Version,
                       steady_time Now) -> local_upstream_ptr {
    auto Best = local_upstream_ptr();
    auto MostFreeSlots = std::int64_t{0};
    for (const auto &Upstream : Upstreams) {
      if (Upstream->Info.Service != Service ||
          Upstream->Info.Version != Version) {
        continue;
      }
      const auto &Limiter = Upstream->Limiter;
      auto FreeSlots = std::int64_t{limits::currentLimit(Limiter, Now)} -
                       Limiter.Queue.InFlight;
      if (!Best || FreeSlots > MostFreeSlots) {
        Best = Upstream;
        MostFreeSlots = FreeSlots;
      }
    }
    return Best;
  }

  /** Updates the conditions under which new work is refused. */
  void refreshGate(local_upstream &Upstream) {
    auto Snapshot = Context.Store.current();
    auto Gate = limits::admission_gate();
    Gate.NodeDraining = Context.Draining;
    // An upstream whose lease expired has stopped or hangs, even if its last
    // calls still hold slots.
    Gate.UpstreamDraining = Upstream.Info.State == upstream_state::Draining ||
                            Upstream.LeaseUntil < steadyNow();
    Gate.ZoneOutOfService = !isZoneInService(*Snapshot, Context.Self.Zone);
    Gate.VersionBraked = Brakes.brakedVersions(*Snapshot, Upstream.Info.Service)
                             .contains(Upstream.Info.Version);
    if (Gate != Upstream.Limiter.Queue.Gate) {
      applyStep(Upstream, limits::setGate(Upstream.Limiter.Queue, Gate));
    }
  }

  /** Wakes the queued calls that a queue step admitted or refused. */
  static void applyStep(local_upstream &Upstream,
                        const limits::queue_step &Step) {
    for (auto Ticket : Step.Run) {
      notifyWaiter(Upstream, Ticket, waiter::state::Run, {});
    }
    refuseAll(Upstream, Step.Refuse);
  }

  static void refuseAll(local_upstream &Upstream,
                        const std::vector<limits::refused_ticket> &Refused) {
    for (const auto &Entry : Refused) {
      notifyWaiter(Upstream, Entry.Ticket, waiter::state::Refused,
                   Entry.Reason);
    }
  }

  static void notifyWaiter(local_upstream &Upstream, ticket_id Ticket,
                           waiter::state State, limits::refuse_reason Reason) {
    auto Found = Upstream.Waiting.find(Ticket);
    if (Found == Upstream.Waiting.end()) {
      return;
    }
    Found->second->State = State;
    Found->second->Reason = Reason;
    Found->second->Decided.notify_all();
    Upstream.Waiting.erase(Found);
  }

  auto refuse(const std::string &Reason) -> admission_refusal {
    Context.Metrics.increment(metric::Refusals, {{"reason", Reason}});
    return {Reason};
  }

  auto grant(const local_upstream_ptr &Upstream, steady_time Now)
      -> admission_ticket {
    limits::onStart(Upstream->Limiter, Now);
    auto Id = ++LastTicket;
    Running[Id] = {Upstream, limits::isCold(Upstream->Limiter)};
    auto Ticket = admission_ticket();
    Ticket.UpstreamAddress = Upstream->Info.Address;
    Ticket.Id = Id;
    return Ticket;
  }

  auto admit(const admission_request &Request, proxy::cancellation &Cancel)
      -> std::variant<admission_ticket, admission_refusal> {
    auto Lock = std::unique_lock(Mutex);
    auto Now = steadyNow();
    auto Upstream = findLeastLoaded(Request.Service, Request.Version, Now);
    if (!Upstream) {
      return refuse("no_upstream");
    }
    refreshGate(*Upstream);
    auto Offer =
        limits::onAdmit(Upstream->Limiter,
                        {toPriority(Request.Priority), Request.Deadline}, Now);
    refuseAll(*Upstream, Offer.Refuse);
    if (std::holds_alternative<limits::run_now>(Offer.Decision)) {
      return grant(Upstream, Now);
    }
    if (const auto *Refused = std::get_if<limits::refused>(&Offer.Decision)) {
      return refuse(limits::refuseReasonName(Refused->Reason));
    }
    return awaitAdmission(Lock, Upstream,
                          std::get<limits::queued>(Offer.Decision).Ticket,
                          Cancel);
  }

  /** Waits in the queue until the call is admitted, refused or cancelled. */
  template <class L>
  auto awaitAdmission(L &Lock, const local_upstream_ptr &Upstream,
                      ticket_id Ticket, proxy::cancellation &Cancel)
      -> std::variant<admission_ticket, admission_refusal> {
    auto Waiter = waiter();
    Upstream->Waiting[Ticket] = &Waiter;
    while (Waiter.State == waiter::state::Waiting) {
      if (Cancel.isCancelled() &&
          limits::cancel(Upstream->Limiter.Queue, Ticket)) {
        Upstream->Waiting.erase(Ticket);
        return refuse("caller_left");
      }
      Waiter.Decided.wait_for(Lock, QueuePollPeriod);
      if (Waiter.State == waiter::state::Waiting) {
        applyStep(*Upstream, limits::onTick(Upstream->Limiter, steadyNow()));
      }
    }
    if (Waiter.State == waiter::state::Refused) {
      return refuse(limits::refuseReasonName(Waiter.Reason));
    }
    return grant(Upstream, steadyNow());
  }

  void release(const admission_request &Request, const admission_ticket &Ticket,
               const proxy::call_outcome &Outcome) {
    auto Call = running_call();
    auto Observed = observedOutcome(Outcome);
    {
      auto Lock = std::lock_guard(Mutex);
      auto Found = Running.find(Ticket.Id);
      if (Found == Running.end()) {
        return;
      }
      Call = std::move(Found->second);
      Running.erase(Found);
      applyStep(*Call.Upstream,
                limits::onFinish(Call.Upstream->Limiter, Observed,
                                 Outcome.Latency, steadyNow()));
    }
    Context.Metrics.increment(metric::Attempts,
                              {{"role", "admission"},
                               {"route", Request.Route.Value},
                               {"outcome", outcomeName(Outcome.Kind)}});
    Context.Metrics.observe(metric::AttemptSeconds, {{"role", "admission"}},
                            Outcome.Latency);
    reportEvidence(Request, Call, Observed, Outcome.Latency);
  }

  /** Reports the call as evidence if the upstream worked on it. */
  void reportEvidence(const admission_request &Request,
                      const running_call &Call, limits::call_outcome Observed,
                      micros Latency) const {
    auto Sample = moves::call_sample();
    Sample.Latency = Latency;
    Sample.Cold = Call.Cold;
    switch (Observed) {
    case limits::call_outcome::Success:
      Sample.Outcome = moves::call_outcome::Succeeded;
      break;
    case limits::call_outcome::Failure:
    case limits::call_outcome::Timeout:
      Sample.Outcome = moves::call_outcome::Failed;
      break;
    case limits::call_outcome::Cancelled:
      Sample.Outcome = moves::call_outcome::Cancelled;
      break;
    case limits::call_outcome::Refused:
    case limits::call_outcome::Unreachable:
    case limits::call_outcome::NotStarted:
      return;
    }
    OnFinished({Request.Service, Request.Version, Request.Route, Sample});
  }

  void announce(const announcement &Announcement) {
    const auto &Info = Announcement.Info;
    auto Lock = std::lock_guard(Mutex);
    auto Now = steadyNow();
    auto Bounds = limits::capacity_bounds{Info.Slots, Info.Connections};
    auto Upstream = findByAddress(Info.Service, Info.Address);
    if (!Upstream) {
      Upstream = std::make_shared<local_upstream>();
      Upstream->Limiter = limits::makeLimiter(Bounds);
      Upstream->Info = Info;
      Upstream->Instance = Announcement.Instance;
      Upstreams.push_back(Upstream);
      telemetry::logLine(
          telemetry::log_level::Info, {"upstream.announce", Info.Address, ""},
          "upstream announced",
          {{"service", Info.Service.Value}, {"version", Info.Version.Value}});
    } else if (Upstream->Instance != Announcement.Instance ||
               Upstream->Info.Version != Info.Version) {
      limits::onRestart(Upstream->Limiter,
                        Upstream->Info.Version == Info.Version);
      Upstream->Instance = Announcement.Instance;
    }
    if (Upstream->Info.State == upstream_state::Draining &&
        Now < Upstream->LeaseUntil) {
      return; // A late announcement does not undo a withdrawal.
    }
    limits::onAnnounce(Upstream->Limiter, Bounds);
    Upstream->Info = Info;
    Upstream->Info.State = upstream_state::Cold;
    Upstream->LeaseUntil = Now + Context.Settings.Timing.AnnounceLease;
  }

  void withdraw(const service_id &Service, const std::string &Address) {
    auto Lock = std::lock_guard(Mutex);
    if (auto Upstream = findByAddress(Service, Address)) {
      Upstream->Info.State = upstream_state::Draining;
      refreshGate(*Upstream);
    }
  }

  void tick() {
    auto Lock = std::lock_guard(Mutex);
    auto Now = steadyNow();
    for (const auto &Upstream : Upstreams) {
      refreshGate(*Upstream);
      applyStep(*Upstream, limits::onTick(Upstream->Limiter, Now));
    }
    std::erase_if(Upstreams, [Now](const auto &Upstream) {
      return Upstream->LeaseUntil < Now &&
             limits::isIdle(Upstream->Limiter.Queue);
    });
  }

  /** @return the upstream record that gossip and the state dump publish. */
  static auto publishedInfo(const local_upstream &Upstream, steady_time Now)
      -> upstream_info {
    auto Info = Upstream.Info;
    Info.Limit = limits::currentLimit(Upstream.Limiter, Now);
    Info.InFlight = Upstream.Limiter.Queue.InFlight;
    if (Info.State != upstream_state::Draining) {
      Info.State = Upstream.LeaseUntil < Now          ? upstream_state::Draining
                   : limits::isCold(Upstream.Limiter) ? upstream_state::Cold
                                                      : upstream_state::Warm;
    }
    return Info;
  }

  auto upstreams() const -> std::vector<upstream_info> {
    auto Lock = std::lock_guard(Mutex);
    auto Now = steadyNow();
    auto Infos = std::vector<upstream_info>();
    for (const auto &Upstream : Upstreams) {
      Infos.push_back(publishedInfo(*Upstream, Now));
    }
    return Infos;
  }
};

admission_control::admission_control(
    node_context &Context, const brake_registry &Brakes,
    std::function<void(const finished_call &)> OnFinished)
    : Impl(std::make_unique<implementation>(Context, Brakes,
                                            std::move(OnFinished))) {}

admission_control::~admission_control() = default;

void admission_control::announce(const announcement &Announcement) {
  Impl->announce(Announcement);
}

void admission_control::withdraw(const service_id &Service,
                                 const std::string &Address) {
  Impl->withdraw(Service, Address);
}

void admission_control::tick() { Impl->tick(); }

auto admission_control::upstreams() const -> std::vector<upstream_info> {
  return Impl->upstreams();
}

auto admission_control::isIdle() const -> bool {
  auto Lock = std::lock_guard(Impl->Mutex);
  return Impl->Running.empty();
}

auto admission_control::admit(const admission_request &Request,
                              proxy::cancellation &Cancel)
    -> std::variant<admission_ticket, admission_refusal> {
  return Impl->admit(Request, Cancel);
}

void admission_control::release(const admission_request &Request,
                                const admission_ticket &Ticket,
                                const proxy::call_outcome &Outcome) {
  Impl->release(Request, Ticket, Outcome);
}

auto admission_control::dump() const -> nlohmann::json {
  auto List = nlohmann::json::array();
  auto Now = steadyNow();
  auto Lock = std::lock_guard(Impl->Mutex);
  for (const auto &Upstream : Impl->Upstreams) {
    auto Info = implementation::publishedInfo(*Upstream, Now);
    List.push_back({{"service", Info.Service.Value},
                    {"version", Info.Version.Value},
                    {"address", Info.Address},
                    {"state", membership::upstreamStateName(Info.State)},
                    {"slots", Info.Slots},
                    {"connections", Info.Connections},
                    {"limit", Info.Limit},
                    {"in_flight", Info.InFlight},
                    {"queued", Upstream->Limiter.Queue.Queued.size()},
                    {"service_time_us",
                     limits::expectedServiceTime(Upstream->Limiter).count()}});
  }
  return List;
}

} // namespace sycamorelb::node
