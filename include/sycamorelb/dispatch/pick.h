/** @file pick.h Chooses the target of a call.
 *
 * Answers uneven load, slow and failing targets and zones of unequal size:
 * work goes where it is expected to be done first, and stays in its zone while
 * that costs no answer its time.
 */
#pragma once

#include "sycamorelb/core/random_func.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sycamorelb::dispatch {

/** Load of a target as its node told it with an answer or a refusal. */
struct load_report {
  std::uint32_t Running = 0;         ///< Calls that it ran.
  std::uint32_t Queued = 0;          ///< Calls that waited for a slot.
  std::uint32_t Slots = 0;           ///< Calls that it runs at once.
  micros MeanRun{0};                 ///< Mean time that a call holds a slot.
  std::uint32_t FailurePpm = 0;      ///< Share of calls that it failed lately.
  bool Cold = false;                 ///< Starts are limited to a rate.
  std::uint32_t LinkKbps = 0;        ///< Bandwidth of the host; 0 if unknown.
  std::uint32_t LinkBusyPpm = 0;     ///< Share of it in use lately.
  std::uint32_t BulkPpm = 1'000'000; ///< Share of large requests it bears.
  micros Wait{0};                    ///< Expected wait of one more call.
  micros StartGap{0}; ///< Mean time between starts while cold; 0 for none.
};

/** What an entry node believes of a target. */
struct target_view {
  load_report Load;                  ///< Last report.
  steady_time ReportedAt{};          ///< When it arrived.
  std::uint32_t Outstanding = 0;     ///< Own calls without outcome.
  std::uint32_t SinceReport = 0;     ///< Own calls sent since the report.
  std::uint32_t BulkOutstanding = 0; ///< Own large requests without outcome.
  std::uint32_t Silences = 0;        ///< Connections that went silent in a row.
  double Slowness = 1.0;             ///< Run time relative to the route's mean.
  steady_time AvoidUntil{};          ///< No calls before this time.
};

/** A target that may take a call. */
struct candidate {
  std::uint32_t Index = 0; ///< Position in the caller's list.
  bool SameZone = false;   ///< It is in the zone of this node.
  bool Local = false;      ///< It is beside this node.
  target_view View;        ///< What is believed of it.
};

/** What matters of a call. */
struct pick_request {
  micros MeanRun{0};     ///< Mean run time of its route.
  micros TimeOnTime{0};  ///< Time left for an answer on time; may be negative.
  micros TimeLeft{0};    ///< Time left at all.
  std::size_t Bytes = 0; ///< Size of the request.
};

/** @return the expected wait for a start at the target: for a slot, and for
 * its turn while starts are limited to a rate. */
auto predictedWait(const target_view &View, steady_time Now) -> micros;

/** @return the expected time for a request of Bytes to reach the target's host
 * over its link. */
auto predictedTransfer(const target_view &View, std::size_t Bytes) -> micros;

/** @return the share of failed calls, fading while nothing is reported. */
auto believedFailure(const target_view &View, steady_time Now) -> double;

/** Adapts the share of large requests that a host bears to the use of its
 * link, so that small calls do not wait behind them.
 * @param Busy share of the link in use since the last call.
 * @return the new share. */
auto adaptBulkShare(double Share, double Busy) -> double;

/** @return whether a request of this size counts as large. */
auto isBulk(std::size_t Bytes) -> bool;

/** @return how long a host gets no calls after so many connections to it went
 * silent in a row. */
auto avoidanceAfter(std::uint32_t Silences) -> micros;

/** Where a call goes. */
struct pick_result {
  std::uint32_t Index = 0; ///< Position of the chosen candidate.
  micros Wait{0};          ///< Its predicted wait.
};

/** @return the candidate with the least expected time to a good answer, or
 * nothing if no candidate can be expected to answer within TimeLeft. */
auto pickTarget(const std::vector<candidate> &Candidates,
                const pick_request &Request, steady_time Now,
                random_source &Random) -> std::optional<pick_result>;

/**
 * Time after which a refused caller should return: when room is expected, at
 * most what it would still wait for, spread so that not all return at once.
 * @param Wait least predicted wait of all targets.
 * @param TimeLeft time that the caller has left.
 */
auto retryAfter(micros Wait, micros TimeLeft, random_source &Random) -> micros;

} // namespace sycamorelb::dispatch
