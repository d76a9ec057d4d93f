/** @file pick.h Chooses the target of a call.
 *
 * Balances uneven load, slow and failing targets and zones of unequal size: a
 * call goes to the target that is expected to answer first, and stays in its
 * zone unless the wait there would make the answer late.
 */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorelb::dispatch {

/** Load of a target, reported by its node with each answer or refusal. */
struct load_report {
  std::uint32_t Running = 0;         ///< Calls that were running.
  std::uint32_t Queued = 0;          ///< Calls that waited for a slot.
  std::uint32_t Slots = 0;           ///< Calls that it can run concurrently.
  micros MeanRun{0};                 ///< Mean time that a call holds a slot.
  std::uint32_t FailurePpm = 0;      ///< Recent share of failed calls.
  bool Cold = false;                 ///< It has just started.
  std::uint32_t LinkKbps = 0;        ///< Bandwidth of the host; 0 if unknown.
  std::uint32_t LinkBusyPpm = 0;     ///< Recent share of it in use.
  std::uint32_t BulkPpm = 1'000'000; ///< Share of large requests it accepts.
  micros Wait{0};                    ///< Expected wait of one more call.
  /** Mean time between starts while they are rate-limited, because the target
   * is cold or names a limit; 0 if they are not. */
  micros StartGap{0};
  /** Learned limit on its concurrent calls; 0 if none is learned. */
  std::uint32_t Concurrency = 0;
  /** Work time on the target's host now, in percent of what is usual there; 0
   * if unknown. MeanRun is the usual one. */
  std::uint32_t WorkPercent = 0;
};

/** State of a target as an entry node estimates it. */
struct target_view {
  load_report Load;                    ///< Last report.
  steady_time ReportedAt{};            ///< When it arrived.
  std::uint32_t Outstanding = 0;       ///< Own calls in flight.
  std::uint32_t SinceReport = 0;       ///< Own calls sent since the report.
  std::uint32_t BulkOutstanding = 0;   ///< Own large requests in flight.
  std::uint32_t SilentConnections = 0; ///< Consecutive ones that went silent.
  double RelativeRunTime = 1.0; ///< Run time relative to the route's mean.
  double UsualOccupancy = 0;    ///< Mean of the calls in recent reports.
  steady_time AvoidUntil{};     ///< No calls before this time.
};

/** A target that is eligible for a call. */
struct candidate {
  std::uint32_t Index = 0; ///< Position in the caller's list.
  bool SameZone = false;   ///< It is in the zone of this node.
  bool Local = false;      ///< It is beside this node.
  target_view View;        ///< Its estimated state.
};

/** Properties of a call that affect the choice. */
struct pick_request {
  micros MeanRun{0};         ///< Mean run time of its route.
  micros TimeToObjective{0}; ///< Time until the objective; may be negative.
  micros TimeLeft{0};        ///< Time within which an answer must arrive.
  std::size_t Bytes = 0;     ///< Size of the request.
};

/** Takes over a report of a target. */
void applyReport(target_view &View, const load_report &Load, steady_time Now);

/** @return whether the target reports how long work takes at the moment. */
auto reportsWork(const target_view &View) -> bool;

/** @return the expected wait until the call starts at the target: for a free
 * slot and, while starts are rate-limited, for the rate limit. */
auto predictedWait(const target_view &View, steady_time Now) -> micros;

/** @return the expected time for a request of Bytes to reach the target's host
 * over its link. */
auto predictedTransferTime(const target_view &View, std::size_t Bytes)
    -> micros;

/** @return the estimated share of failed calls, which decays with the age of
 * the last report. */
auto estimatedFailureShare(const target_view &View, steady_time Now) -> double;

/** Adapts the share of large requests that a host accepts to the utilization
 * of its link, so that small calls don't wait behind large ones.
 * @param Utilization share of the link in use since the last adaptation.
 * @return the new share. */
auto adaptBulkShare(double Share, double Utilization) -> double;

/** @return whether a request of this size counts as large. */
auto isBulk(std::size_t Bytes) -> bool;

/** @return how long a host gets no calls after this number of consecutive
 * connections to it went silent. */
auto avoidancePeriod(std::uint32_t SilentConnections) -> micros;

/** Target chosen for a call. */
struct pick_result {
  std::uint32_t Index = 0; ///< Position of the chosen candidate.
  micros Wait{0};          ///< Its predicted wait.
};

/** @return the candidate with the lowest score, an estimate of the time to a
 * successful answer, or nothing if no candidate is expected to answer within
 * TimeLeft. */
auto pickTarget(const std::vector<candidate> &Candidates,
                const pick_request &Request, steady_time Now,
                random_source &Random) -> std::optional<pick_result>;

/**
 * @return the delay after which a refused caller should retry: the predicted
 * wait with random jitter against synchronized retries, at most a fixed share
 * of the time left.
 * @param Wait shortest predicted wait of all targets.
 * @param TimeLeft time that the caller has left.
 */
auto retryAfter(micros Wait, micros TimeLeft, random_source &Random) -> micros;

} // namespace sycamorelb::dispatch
