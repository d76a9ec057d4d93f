/** @file kept_outcomes.cpp Keeps the outcomes of calls, and the numbers of
 * calls that must not run any more, for calls that arrive again or are resumed.
 */
#include "sidecar/admission_state.h"
#include "sidecar/message_intake.h"

#include <algorithm>
#include <utility>

namespace sycamorelb::sidecar {

using namespace inner;

/** Time for which an outcome is kept for an entry node that resumes the call on
 * a new connection. */
static constexpr auto OutcomeRetention = micros(2'500'000);

/** Maximum number of outcomes kept. */
static constexpr auto MaxKeptOutcomes = std::size_t{512};

/** Maximum size of their bodies, in bytes: a target that answers many calls
 * with large bodies must not exhaust the memory of the host. */
static constexpr auto MaxKeptOutcomeBytes = std::size_t{16} * 1024 * 1024;

/** Share of the memory budget that they may take, if that is less. */
static constexpr auto KeptOutcomeShare = std::size_t{8};

/** Time for which the key of an ended call is kept, so that a delayed copy of
 * it does not run. No copy arrives later, as a connection with unacknowledged
 * data is closed sooner. */
static constexpr auto EndedKeyRetention = micros(60'000'000);

/** Time by which the process must be older than a call to know its outcome, if
 * it isn't known which process the call was sent to; covers the transit time of
 * the call. */
static constexpr auto UptimeMargin = micros(1'000'000);

/** @return the maximum size of the bodies of kept outcomes. */
static auto maxKeptOutcomeBytes(const event::memory_budget &Budget)
    -> std::size_t {
  return Budget.LimitBytes == 0
             ? MaxKeptOutcomeBytes
             : std::min(MaxKeptOutcomeBytes,
                        Budget.LimitBytes / KeptOutcomeShare);
}

void admission::implementation::rememberEndedKey(const call_key &Key) {
  EndedKeys.insert(Key);
  EndedKeyTimes.emplace_back(State.Loop.now(), Key);
}

void admission::implementation::dropOldOutcomes() {
  while (!KeptOutcomes.empty() &&
         (KeptOutcomes.size() > MaxKeptOutcomes ||
          KeptOutcomeBytes > maxKeptOutcomeBytes(*State.Loop.memory()) ||
          KeptOutcomes.front().first + OutcomeRetention < State.Loop.now())) {
    auto Found = Calls.find(KeptOutcomes.front().second);
    if (Found != Calls.end()) {
      auto Key = Found->second->Key;
      KeptOutcomeBytes -= Found->second->Outcome.Response.Body.size();
      Serials.erase(Key);
      Calls.erase(Found);
      rememberEndedKey(Key);
    }
    KeptOutcomes.pop_front();
  }
  while (!EndedKeyTimes.empty() &&
         EndedKeyTimes.front().first + EndedKeyRetention < State.Loop.now()) {
    EndedKeys.erase(EndedKeyTimes.front().second);
    EndedKeyTimes.pop_front();
  }
}

void admission::dropOldOutcomes() { Impl->dropOldOutcomes(); }

void admission::implementation::keepOutcome(admitted_call &Call,
                                            reply_message Outcome) {
  KeptOutcomeBytes += Outcome.Response.Body.size();
  Call.Outcome = std::move(Outcome);
  dropOldOutcomes();
}

auto admission::implementation::makeRoomForReply(std::size_t Bytes) -> bool {
  const auto &Memory = *State.Loop.memory();
  if (Bytes < LargeMessageBytes) {
    return true;
  }
  for (const auto &[EndedAt, Serial] : KeptOutcomes) {
    if (event::hasRoom(Memory, Bytes)) {
      break;
    }
    auto Found = Calls.find(Serial);
    if (Found != Calls.end() &&
        Found->second->Outcome.Response.Body.size() >= LargeMessageBytes) {
      KeptOutcomeBytes -= Found->second->Outcome.Response.Body.size();
      dropAnswer(Found->second->Outcome);
    }
  }
  return event::hasRoom(Memory, Bytes);
}

void admission::implementation::replaceReply(admitted_call &Call,
                                             reply_handler Reply,
                                             source_connection Source) {
  if (Call.Stage == call_stage::Done) {
    // It may give way itself.
    makeRoomForReply(Call.Outcome.Response.Body.size());
    return Reply(Call.Outcome);
  }
  Call.Reply = std::move(Reply);
  Call.Source = Source;
}

auto admission::implementation::answerKnownCall(const call_key &Key,
                                                reply_handler &Reply,
                                                source_connection Source)
    -> bool {
  if (auto Known = findCall(Key)) {
    replaceReply(*Known, std::move(Reply), Source);
    return true;
  }
  if (!EndedKeys.contains(Key)) {
    return false;
  }
  auto Outcome = reply_message();
  Outcome.Call = Key.Call;
  Outcome.Outcome = reply_outcome::Unknown;
  Outcome.Reason = "ended long ago";
  Reply(Outcome);
  return true;
}

void admission::resume(const call_key &Key, const resume_message &Resume,
                       reply_handler Reply, source_connection Source) {
  Impl->dropOldOutcomes();
  if (auto Known = Impl->findCall(Key)) {
    return Impl->replaceReply(*Known, std::move(Reply), Source);
  }
  auto Outcome = reply_message();
  Outcome.Call = Key.Call;
  Outcome.Load = Impl->load();
  Outcome.Reason = "did not arrive";
  auto &State = Impl->State;
  auto Uptime = State.Loop.now() - State.StartedAt;
  auto IsForOther = Resume.Process == process_id()
                        ? Uptime < Resume.Age + UptimeMargin
                        : Resume.Process != State.Own.Process;
  if (IsForOther) {
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "node restarted since";
  } else if (Impl->EndedKeys.contains(Key)) {
    Outcome.Outcome = reply_outcome::Unknown;
    Outcome.Reason = "ended long ago";
  } else {
    Impl->rememberEndedKey(Key);
  }
  State.Log.write(
      log_class::Decision, "admission.resume",
      {{"call", static_cast<std::int64_t>(Key.Call.Value)},
       {"origin", Key.Node.Value},
       {"process", static_cast<std::int64_t>(Key.Process.Value)},
       {"reason", Outcome.Reason},
       {"age_us", Resume.Age.count()},
       {"uptime_us", Uptime.count()},
       {"sent_to", static_cast<std::int64_t>(Resume.Process.Value)}});
  Reply(Outcome);
}

} // namespace sycamorelb::sidecar
