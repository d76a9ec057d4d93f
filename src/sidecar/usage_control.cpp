/** @file usage_control.cpp Counts calls by customer and reports them to the
 * platform. */
#include "sidecar/usage_control.h"

#include "platform/usage_api.h"
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/http/client_connection.h"
#include "sycamorelb/mesh/duty_func.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;
using platform::store_topic;
using usage::send_outcome;

/** Number of nodes that may take over. */
static constexpr auto Candidates = std::size_t{3};
/** Key of the rendezvous hash. */
static constexpr auto HashKey = "usage";
/** Interval of the steps of a candidate; delays of the protocol are multiples
 * of 500 ms. */
static constexpr auto CandidateInterval = micros(250'000);
/** Time to connect to the platform, and to wait for its answer. A call that
 * takes longer is repeated. */
static constexpr auto ConnectTimeout = millis(500);
static constexpr auto AnswerTimeout = micros(1'500'000);
/** Largest answer that is read. */
static constexpr auto MaxAnswerBytes = std::size_t{64} * 1024;

/** @return the time of day in Unix ms. With simulated time it advances with
 * that. */
static auto timeOfDay(const event::loop &Loop) -> std::int64_t {
  return wallNow().Value +
         (Loop.clockTime() - event::bootTime()).count() / 1000;
}

struct usage_control::implementation {
  node_state &State;
  gossip &Gossip;
  store_feed &Store;
  usage::holder_state Holder;
  usage::usage_counter Counter;
  usage::usage_ledger Ledger;
  usage::clock_samples Clocks;
  std::int64_t OffsetMillis = 0; // True time minus steady time.
  event::timer_id StepTimer{0};
  std::shared_ptr<http::client_connection> Call; // To the platform.
  std::uint64_t CallNumber = 0;
  bool IsCallWritten = false;
  event::timer_id CallTimer{0};
  usage::holder_stage LoggedStage = usage::holder_stage::Idle;

  auto isConfigured() const -> bool {
    const auto &Usage = State.Settings.Usage;
    return Usage.Window > millis(0) && Usage.Address.Port != 0;
  }
  /** @return whether the configuration has customers. */
  auto hasCustomers() const -> bool;
  /** @return the newest era in an answer of the store. */
  auto storeEra() const -> store_era;
  auto trueMillisAt(steady_time Time) const -> std::int64_t {
    return OffsetMillis + Time.time_since_epoch().count() / 1000;
  }
  auto windowAt(steady_time Time) const -> std::int64_t {
    return usage::windowAt(trueMillisAt(Time), State.Settings.Usage.Window);
  }
  void updateTrueTime();
  auto liveHosts() const -> std::size_t;
  auto selectCandidates() const -> std::vector<node_id>;
  auto inputs() const -> usage::holder_inputs;
  void step();
  void scheduleStep();
  void sendCounts();
  void execute(const usage::holder_actions &Actions);
  void list();
  void append(const usage::append_action &Action);
  void send(const usage::send_action &Action);
  /** Sends the request on an established connection. */
  void writeReport(const usage::send_action &Action, std::uint64_t Number);
  void finishSend(std::uint64_t Number, const usage::send_action &Action,
                  send_outcome Outcome, const std::string &Reason);
  void announce(const usage::announce_action &Action);
  void logStage();
  void copyTotals();
};

usage_control::usage_control(node_state &State, gossip &Gossip,
                             store_feed &Store)
    : Impl(std::make_unique<implementation>(
          implementation{State, Gossip, Store, {}, {}, {}, {}, 0, {}, {}})) {}

usage_control::~usage_control() = default;

auto usage_control::implementation::hasCustomers() const -> bool {
  return State.Routes != nullptr && State.Routes->customers().hasCustomers();
}

auto usage_control::implementation::storeEra() const -> store_era {
  return Store.era();
}

void usage_control::implementation::updateTrueTime() {
  auto Now = State.Loop.now();
  usage::recordClock(Clocks, State.Own.Node, timeOfDay(State.Loop), Now);
  usage::dropOldSamples(Clocks, Now);
  OffsetMillis =
      usage::trueTime(Clocks, Now) - Now.time_since_epoch().count() / 1000;
}

auto usage_control::implementation::liveHosts() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(State.Hosts.records().begin(), State.Hosts.records().end(),
                    [](const auto &Entry) { return !Entry.second.Leaving; }));
}

auto usage_control::implementation::selectCandidates() const
    -> std::vector<node_id> {
  return mesh::chooseDutyHosts(State.Hosts, HashKey, Candidates);
}

auto usage_control::implementation::inputs() const -> usage::holder_inputs {
  auto Now = State.Loop.now();
  auto Inputs = usage::holder_inputs{Now, trueMillisAt(Now), {}, true};
  auto Nodes = selectCandidates();
  auto Own = std::find(Nodes.begin(), Nodes.end(), State.Own.Node);
  if (Own != Nodes.end()) {
    Inputs.Rank = static_cast<std::size_t>(Own - Nodes.begin());
  }
  Inputs.CanHold = !State.Own.Leaving && hasCustomers() &&
                   usage::hasEnoughSamples(Clocks, liveHosts());
  return Inputs;
}

void usage_control::start() {
  auto &Self = *Impl;
  const auto &Usage = Self.State.Settings.Usage;
  if (!Self.isConfigured()) {
    return;
  }
  Self.Holder.Settings = {Self.State.Own.Node, Self.State.Own.Process,
                          Usage.Window,        Usage.Late,
                          Usage.Lease,         Usage.FencingRequired,
                          Usage.CallsPerSecond};
  Self.step();
}

void usage_control::implementation::scheduleStep() {
  auto Now = State.Loop.now();
  auto Wait = micros(
      usage::timeToNextCounts(trueMillisAt(Now), State.Settings.Usage.Window));
  if (inputs().Rank || Holder.Stage != usage::holder_stage::Idle) {
    Wait = std::min(Wait, CandidateInterval);
  }
  State.Loop.cancelTimer(StepTimer);
  StepTimer = State.Loop.addTimer(Now + Wait, [this] { step(); });
}

void usage_control::implementation::step() {
  updateTrueTime();
  if (hasCustomers()) {
    sendCounts();
    auto Inputs = inputs();
    usage::observeEra(Holder, storeEra(), Inputs);
    execute(usage::stepHolder(Holder, Inputs, Ledger));
    logStage();
    copyTotals();
  }
  scheduleStep();
}

void usage_control::implementation::logStage() {
  auto IsHolder = Holder.Stage == usage::holder_stage::Holding;
  auto WasHolder = LoggedStage == usage::holder_stage::Holding;
  if (IsHolder != WasHolder) {
    State.Log.write(log_class::State,
                    IsHolder ? "usage.held" : "usage.released",
                    {{"token", static_cast<std::int64_t>(Holder.Own->Token)},
                     {"era", static_cast<std::int64_t>(Holder.Era.Value)},
                     {"window", Holder.Own->Window},
                     {"holder", Holder.Known ? Holder.Known->Node.Value : ""}});
  }
  LoggedStage = Holder.Stage;
}

void usage_control::implementation::copyTotals() {
  auto &Windows = State.Counters.UsageWindows;
  Windows["sent"] = Holder.Totals.Sent;
  Windows["late"] = Holder.Totals.Late;
  Windows["uncertain"] = Holder.Totals.Uncertain;
  Windows["missed"] = Holder.Totals.Missed;
}

void usage_control::implementation::sendCounts() {
  auto Now = State.Loop.now();
  auto Due =
      usage::takeDueCounts(Counter, trueMillisAt(Now),
                           State.Settings.Usage.Window, State.Own.Leaving);
  if (Due.empty()) {
    return;
  }
  auto Messages = std::vector<usage_counts>();
  for (const auto &[Window, IsOver] : Due) {
    Messages.push_back({State.Own.Node, State.Own.Process, Window,
                        Counter.Windows[Window].Counts, IsOver});
    usage::recordCounts(Ledger, Messages.back(), windowAt(Now));
  }
  auto Receivers = std::vector<node_id>();
  if (Holder.Known) {
    Receivers.push_back(Holder.Known->Node);
  }
  for (const auto &Node : selectCandidates()) {
    if (Receivers.size() < 2 && (Receivers.empty() || Receivers[0] != Node)) {
      Receivers.push_back(Node);
    }
  }
  for (const auto &Node : Receivers) {
    if (Node != State.Own.Node) {
      Gossip.sendUsage(Node, Messages);
    }
  }
}

void usage_control::implementation::execute(
    const usage::holder_actions &Actions) {
  for (const auto &Action : Actions) {
    if (std::holds_alternative<usage::list_action>(Action)) {
      list();
    } else if (const auto *Append =
                   std::get_if<usage::append_action>(&Action)) {
      append(*Append);
    } else if (const auto *Send = std::get_if<usage::send_action>(&Action)) {
      send(*Send);
    } else {
      announce(std::get<usage::announce_action>(Action));
    }
  }
}

void usage_control::implementation::list() {
  Store.list(store_topic::Usage, [this](result<platform::store_page> Page) {
    auto Answer = usage::list_answer();
    auto IsMalformed = false;
    // A topic without records doesn't exist, which the store tells by a status.
    auto IsMissing =
        !isOk(Page) && (errorOf(Page).Code == error_code::NotFound ||
                        errorOf(Page).Code == error_code::Internal);
    if (isOk(Page)) {
      Answer.End = valueOf(Page).End;
      Answer.Newest =
          platform::findUsageRecord(valueOf(Page).Records, IsMalformed);
    }
    if (IsMalformed) {
      ++State.Counters.BadInput["store"];
    }
    Answer.Ok = (isOk(Page) || IsMissing) && !IsMalformed;
    Answer.Era = isOk(Page) ? valueOf(Page).Era : storeEra();
    execute(usage::handleListed(Holder, Answer, inputs()));
    step();
  });
}

void usage_control::implementation::append(const usage::append_action &Action) {
  Store.append(store_topic::Usage, platform::usageRecordKey(),
               platform::encodeUsageRecord(Action.Record), Action.At,
               [this](result<platform::append_ack> Ack) {
                 auto Answer = usage::append_answer();
                 Answer.Era = storeEra();
                 if (isOk(Ack)) {
                   Answer.Era = valueOf(Ack).Era;
                   Answer.Appended = valueOf(Ack).Appended;
                   Answer.End = valueOf(Ack).End;
                 }
                 execute(usage::handleAppended(Holder, Answer, inputs()));
                 step();
               });
}

void usage_control::implementation::send(const usage::send_action &Action) {
  auto Number = ++CallNumber;
  IsCallWritten = false;
  auto Options = http::client_options();
  Options.ConnectTimeout = ConnectTimeout;
  Options.MaxBodyBytes = MaxAnswerBytes;
  // Whether the report may be sent is decided when its bytes can leave at once.
  Options.OnConnected = [this, Action, Number] { writeReport(Action, Number); };
  Call = http::client_connection::open(State.Loop, State.Settings.Usage.Address,
                                       Options);
  CallTimer = State.Loop.addTimer(
      State.Loop.now() + AnswerTimeout, [this, Number, Action] {
        finishSend(Number, Action,
                   IsCallWritten ? send_outcome::Unknown
                                 : send_outcome::NotSent,
                   IsCallWritten ? "timeout" : "not connected");
      });
}

void usage_control::implementation::writeReport(
    const usage::send_action &Action, std::uint64_t Number) {
  if (Number != CallNumber) {
    return;
  }
  if (!usage::mayAct(Holder, State.Loop.clockTime()) ||
      Holder.Own->Token != Action.Token) {
    // Not from within a callback of the connection, which this closes.
    return State.Loop.defer([this, Number, Action] {
      finishSend(Number, Action, send_outcome::NotSent, "no longer held");
    });
  }
  IsCallWritten = true;
  Call->exchange(
      platform::usageRequest(State.Own.Node, Action),
      [this, Number, Action](http::exchange_result Result) {
        const auto *Response = std::get_if<http::response>(&Result);
        auto Reason = Response == nullptr
                          ? std::get<http::exchange_failure>(Result).Reason
                          : std::to_string(Response->Status);
        finishSend(Number, Action,
                   Response == nullptr
                       ? send_outcome::Unknown
                       : platform::decodeUsageAnswer(Response->Status),
                   Reason);
      });
}

void usage_control::implementation::finishSend(std::uint64_t Number,
                                               const usage::send_action &Action,
                                               send_outcome Outcome,
                                               const std::string &Reason) {
  if (Number != CallNumber) {
    return;
  }
  ++CallNumber;
  State.Loop.cancelTimer(CallTimer);
  if (auto Connection = std::exchange(Call, nullptr)) {
    Connection->close();
  }
  State.Log.write(
      Outcome == send_outcome::Accepted ? log_class::Routine : log_class::State,
      "usage.sent",
      {{"window", Action.Window},
       {"token", static_cast<std::int64_t>(Action.Token)},
       {"customers", static_cast<std::int64_t>(Action.Counts.size())},
       {"answer", Reason}});
  usage::handleSent(Holder, Outcome, inputs());
  step();
}

void usage_control::implementation::announce(
    const usage::announce_action &Action) {
  if (Action.ToAll) {
    return Gossip.broadcastState();
  }
  for (const auto &Node : selectCandidates()) {
    if (Node != State.Own.Node) {
      Gossip.sendUsage(Node, {});
    }
  }
}

void usage_control::countStart(const customer_id &Customer) {
  if (Impl->isConfigured()) {
    usage::countStart(Impl->Counter, Customer,
                      Impl->windowAt(Impl->State.Loop.now()));
  }
}

void usage_control::removeStart(const customer_id &Customer,
                                steady_time StartedAt) {
  if (Impl->isConfigured()) {
    usage::removeStart(Impl->Counter, Customer, Impl->windowAt(StartedAt));
  }
}

void usage_control::handleMessage(const gossip_message &Message) {
  auto &Self = *Impl;
  if (!Self.isConfigured()) {
    return;
  }
  auto Now = Self.State.Loop.now();
  usage::recordClock(Self.Clocks, Message.Sender.Node, Message.WallMillis, Now);
  if (Message.UsageHolder) {
    usage::observeHolder(Self.Holder, *Message.UsageHolder, Self.inputs());
  }
  for (const auto &Counts : Message.Usage) {
    usage::recordCounts(Self.Ledger, Counts, Self.windowAt(Now));
  }
}

void usage_control::addToMessage(gossip_message &Message) const {
  if (Impl->isConfigured()) {
    Message.WallMillis = timeOfDay(Impl->State.Loop);
    Message.UsageHolder = Impl->Holder.Known;
  }
}

auto usage_control::holder() const -> const usage::holder_state & {
  return Impl->Holder;
}

} // namespace sycamorelb::sidecar
