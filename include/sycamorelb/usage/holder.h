/** @file holder.h Decides which process sends the usage reports and what it may
 * send. Addresses holders that are killed, frozen, or cut off at any step,
 * calls that take effect late, and a store that comes back from an older copy.
 */
#pragma once

#include "sycamorelb/usage/count.h"
#include "sycamorelb/usage/window.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace sycamorelb::usage {

/** Settings of the protocol. */
struct holder_settings {
  node_id Node;                ///< Name of this host.
  process_id Process;          ///< This process.
  millis Window{5000};         ///< Length of a window.
  millis Late{10000};          ///< Time after its end at which a report is due.
  millis Lease{3000};          ///< Time between acts of different holders.
  bool FencingRequired = true; ///< The platform refuses lower tokens.
  double CallsPerSecond = 50;  ///< Limit on calls to the platform.
};

/** Record of the topic. It says what may be sent for Window, and that nothing
 * may be composed for Window and earlier ones. */
struct usage_record {
  node_id Node;             ///< Holder.
  process_id Process;       ///< Its process.
  std::uint64_t Token = 0;  ///< Its fencing token.
  store_era Era;            ///< Era of the listing that the append relied on.
  std::int64_t Window = -1; ///< Last window that is used up; -1 for none.
  bool HasCounts = false;   ///< Counts may be sent; otherwise nothing may.
  customer_counts Counts;   ///< Exact counts of Window.
  auto operator==(const usage_record &) const -> bool = default;
};

/** Asks for a listing of the topic. */
struct list_action {};
/** Asks for a conditional append. */
struct append_action {
  usage_record Record; ///< Record to append.
  log_offset At{0};    ///< The topic must end there.
};
/** Asks to send a report, if mayAct() still holds when it is sent. */
struct send_action {
  std::uint64_t Token = 0; ///< Fencing token.
  std::int64_t Window = 0; ///< Window.
  customer_counts Counts;  ///< Counts.
};
/** Asks to notify other nodes of the holder. */
struct announce_action {
  inner::usage_holder Holder; ///< What to send.
  bool ToAll = false;         ///< To all nodes, otherwise to candidates only.
};
using holder_action =
    std::variant<list_action, append_action, send_action, announce_action>;
using holder_actions = std::vector<holder_action>;

/** What a node knows when it decides. */
struct holder_inputs {
  steady_time Now{};           ///< Steady time, including pauses.
  std::int64_t TrueMillis = 0; ///< True time, Unix ms.
  /** Rank among the candidates; nothing if it is none. */
  std::optional<std::size_t> Rank;
  bool CanHold = true; ///< The node isn't leaving and its time is reliable.
};

/** Answer to list_action. */
struct list_answer {
  bool Ok = false;                    ///< The store answered.
  store_era Era;                      ///< Era of the answer.
  log_offset End{0};                  ///< End of the topic.
  std::optional<usage_record> Newest; ///< Newest record, if any.
};

/** Answer to append_action. */
struct append_answer {
  bool Appended = false; ///< The store says so; otherwise it may have been.
  store_era Era;         ///< Era of the answer.
  log_offset End{0};     ///< End of the topic, if Appended.
};

/** Answer of the platform. */
enum class send_outcome : std::uint8_t {
  Accepted, ///< 200.
  Fenced,   ///< 409: a higher token was seen.
  Unknown,  ///< 429, another status or no answer.
  NotSent,  ///< mayAct() didn't hold any more.
};

/** Stage of this node in the protocol. */
enum class holder_stage : std::uint8_t {
  Idle,     ///< Not the holder.
  Listing,  ///< Lists the topic before a take-over.
  Claiming, ///< Appends the record of a take-over.
  Holding,  ///< Holder.
};

/** A report that was recorded and isn't accepted yet. */
struct open_report {
  std::int64_t Window = 0;    ///< Window.
  customer_counts Counts;     ///< Counts as recorded.
  std::uint32_t Attempts = 0; ///< Calls to the platform so far.
};

/** An append whose effect isn't known. */
struct pending_append {
  usage_record Record;   ///< Record.
  log_offset At{0};      ///< Condition.
  steady_time SentAt{};  ///< Time of the last attempt.
  bool Answered = false; ///< An attempt failed; a listing must tell its effect.
};

/** Number of windows by result, for metrics. */
struct window_totals {
  std::uint64_t Sent = 0;      ///< Accepted in time.
  std::uint64_t Late = 0;      ///< Accepted after it was due.
  std::uint64_t Uncertain = 0; ///< Sent without an answer, then given up.
  std::uint64_t Missed = 0;    ///< Never sent by this holder.
};

/** State of the protocol at one process. */
struct holder_state {
  holder_settings Settings;                 ///< Settings.
  holder_stage Stage = holder_stage::Idle;  ///< Stage.
  std::optional<inner::usage_holder> Known; ///< Holder with the highest token.
  std::int64_t KnownWindow = -1; ///< Last window known to be recorded.
  std::uint64_t MaxCounter = 0;  ///< Highest counter of all tokens seen.
  store_era Era;                 ///< Newest era seen.
  steady_time EraSeenAt{};       ///< When it was first seen.
  steady_time FloorAt{};         ///< Composes only windows that begin later.
  std::optional<usage_record>
      Own;                       ///< Last acknowledged record of this process.
  log_offset End{0};             ///< End of the topic after Own.
  steady_time HeldFrom{};        ///< When the append of Own was sent.
  steady_time ActFrom{};         ///< No act before this time.
  steady_time ReentryAt{};       ///< No take-over before this time.
  steady_time ListedAt{};        ///< Answer to the listing of a take-over.
  steady_time ListRetryAt{};     ///< When to list again.
  steady_time NextSendAt{};      ///< No call before this time.
  steady_time LastTickAt{};      ///< Last call of stepHolder().
  bool ListInProgress = false;   ///< A listing has no answer yet.
  bool AppendInProgress = false; ///< An append has no answer yet.
  bool SendInProgress = false;   ///< A call has no answer yet.
  send_action Sending;           ///< That call.
  steady_time StartedAt{};       ///< First step.
  bool RewriteDue = false;       ///< Take over again at once, after a new era.
  bool HasActed = false;         ///< This process has sent a report.
  std::uint32_t Failures = 0;    ///< Calls in a row without success.
  std::optional<pending_append> Pending; ///< Append without known effect.
  std::vector<open_report> Open;         ///< Recorded, not accepted.
  window_totals Totals;                  ///< For metrics.
};

/** @return the fencing token of an era and counter. */
auto makeToken(store_era Era, std::uint64_t Counter) -> std::uint64_t;

/** Advances the protocol; call every few hundred ms and after each event. */
auto stepHolder(holder_state &State, const holder_inputs &Inputs,
                const usage_ledger &Ledger) -> holder_actions;

/** @return whether the holder may send a report at this time. */
auto mayAct(const holder_state &State, steady_time Now) -> bool;

/** Records the era of an answer of the store, or one that another node knows.
 */
void observeEra(holder_state &State, store_era Era,
                const holder_inputs &Inputs);

/** Records a notice of another node about the holder. */
void observeHolder(holder_state &State, const inner::usage_holder &Holder,
                   const holder_inputs &Inputs);

/** Handles the answer to list_action. */
auto handleListed(holder_state &State, const list_answer &Answer,
                  const holder_inputs &Inputs) -> holder_actions;

/** Handles the answer to append_action. */
auto handleAppended(holder_state &State, const append_answer &Answer,
                    const holder_inputs &Inputs) -> holder_actions;

/** Handles the answer to send_action. */
void handleSent(holder_state &State, send_outcome Outcome,
                const holder_inputs &Inputs);

} // namespace sycamorelb::usage
