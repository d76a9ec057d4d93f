/** @file evidence.cpp Counting of calls, reports and their merge. */
#include "sycamorelb/moves/evidence_func.h"

#include "moves/report_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamorelb::moves {

static auto makeBucketEnds() -> std::array<std::int64_t, LatencyBuckets> {
  auto Ends = std::array<std::int64_t, LatencyBuckets>{};
  for (auto Index = std::size_t{0}; Index + 1 < LatencyBuckets; ++Index) {
    Ends[Index] = std::llround(100 * std::exp2(double(Index) / 4));
  }
  Ends.back() = std::numeric_limits<std::int64_t>::max();
  return Ends;
}

static const auto BucketEnds = makeBucketEnds();

auto windowAt(wall_ms Now) -> std::int64_t {
  return Now.Value / WindowLength.count();
}

auto latencyBucket(micros Latency) -> std::size_t {
  auto Found =
      std::lower_bound(BucketEnds.begin(), BucketEnds.end(), Latency.count());
  return std::size_t(Found - BucketEnds.begin());
}

auto bucketEnd(std::size_t Bucket) -> micros {
  return micros(BucketEnds[std::min(Bucket, LatencyBuckets - 1)]);
}

void addTally(tally &Sum, const tally &More) {
  Sum.Calls += More.Calls;
  Sum.Failures += More.Failures;
  Sum.Cancelled += More.Cancelled;
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    Sum.Latency[Index] += More.Latency[Index];
  }
}

static void addSample(tally &Tally, const call_sample &Sample,
                      std::size_t Bucket) {
  ++Tally.Calls;
  if (Sample.Outcome == call_outcome::Failed) {
    ++Tally.Failures;
  } else if (Sample.Outcome == call_outcome::Cancelled) {
    ++Tally.Cancelled;
  } else if (!Sample.Cold) {
    ++Tally.Latency[Bucket];
  }
}

static auto findOrAddRoute(local_evidence &Evidence, const route_id &Route)
    -> route_evidence & {
  auto Found = Evidence.Routes.find(Route);
  if (Found != Evidence.Routes.end()) {
    return Found->second;
  }
  if (Evidence.Routes.size() < MaxRoutes && Route.Value.size() <= MaxIdBytes) {
    return Evidence.Routes[Route];
  }
  return Evidence.Routes[route_id{OverflowRoute}];
}

static auto ringIndex(std::int64_t Window) -> std::size_t {
  return std::size_t(Window % WindowsKept + WindowsKept) % WindowsKept;
}

void recordCall(local_evidence &Evidence, const route_id &Route, move_side Side,
                const call_sample &Sample, wall_ms Now) {
  auto &RouteEvidence = findOrAddRoute(Evidence, Route);
  auto Bucket = latencyBucket(Sample.Latency);
  addSample(RouteEvidence.Total[std::size_t(Side)], Sample, Bucket);
  auto Window = windowAt(Now);
  auto &WindowSlot = RouteEvidence.Windows[ringIndex(Window)];
  if (WindowSlot.Window > Window) {
    return; // The wall clock was set back; only the totals count the call.
  }
  if (WindowSlot.Window < Window) {
    WindowSlot = window_tally{Window, {}};
  }
  addSample(WindowSlot.Tally[std::size_t(Side)], Sample, Bucket);
}

namespace {

/** Distributes tallies over reports of at most MaxReportBytes. */
struct report_packer {
  evidence_report Header;               ///< Report without routes.
  std::vector<evidence_report> Reports; ///< Reports built so far.
  std::size_t Used = 0; ///< Encoded size of the last report, at most.

  /** Adds one tally; Window is negative for the total. */
  void add(const route_id &Route, std::int64_t Window, std::size_t Side,
           const tally &Tally) {
    if (Tally.Calls == 0) {
      return;
    }
    auto Size = tallySize(Tally) + WindowOverhead;
    auto IsNewRoute = Reports.empty() || Reports.back().Routes.empty() ||
                      Reports.back().Routes.back().Route != Route;
    auto TotalSize = Size + (IsNewRoute ? routeSize(Route) : 0);
    if (Reports.empty() || Used + TotalSize > MaxReportBytes) {
      Reports.push_back(Header);
      Used = headerSize(Header);
      IsNewRoute = true;
      TotalSize = Size + routeSize(Route);
    }
    if (IsNewRoute) {
      Reports.back().Routes.push_back({Route, {}, {}});
    }
    Used += TotalSize;
    storeTally(Reports.back().Routes.back(), Window, Side, Tally);
  }

  static void storeTally(route_report &Report, std::int64_t Window,
                         std::size_t Side, const tally &Tally) {
    if (Window < 0) {
      Report.Total[Side] = Tally;
      return;
    }
    if (Report.Windows.empty() || Report.Windows.back().Window != Window) {
      Report.Windows.push_back({Window, {}});
    }
    Report.Windows.back().Tally[Side] = Tally;
  }
};

} // namespace

auto buildReports(local_evidence &Evidence, const node_id &Node,
                  incarnation Incarnation, wall_ms Now)
    -> std::vector<evidence_report> {
  if (Evidence.Routes.empty() || Evidence.Move.Value.size() > MaxIdBytes ||
      Node.Value.size() > MaxIdBytes) {
    return {};
  }
  auto Packer = report_packer{};
  Packer.Header = evidence_report{
      Evidence.Move, Node, Incarnation, ++Evidence.Sequence, {}};
  auto Current = windowAt(Now);
  for (const auto &[Route, RouteEvidence] : Evidence.Routes) {
    for (auto Side = std::size_t{0}; Side < 2; ++Side) {
      Packer.add(Route, -1, Side, RouteEvidence.Total[Side]);
    }
    for (auto Window = Current - WindowsKept + 1; Window < Current; ++Window) {
      const auto &WindowSlot = RouteEvidence.Windows[ringIndex(Window)];
      for (auto Side = std::size_t{0}; Side < 2; ++Side) {
        if (WindowSlot.Window == Window) {
          Packer.add(Route, Window, Side, WindowSlot.Tally[Side]);
        }
      }
    }
  }
  return std::move(Packer.Reports);
}

template <class Count>
static void raiseCounter(Count &Known, Count Seen, Count &Sum) {
  if (Seen > Known) {
    Sum += Seen - Known;
    Known = Seen;
  }
}

/** Raises the counters of a reporter to the received values, and the sums by
 * the same differences. */
static void raiseTally(tally &Known, const tally &Seen, tally &Sum) {
  raiseCounter(Known.Calls, Seen.Calls, Sum.Calls);
  raiseCounter(Known.Failures, Seen.Failures, Sum.Failures);
  raiseCounter(Known.Cancelled, Seen.Cancelled, Sum.Cancelled);
  for (auto Index = std::size_t{0}; Index < LatencyBuckets; ++Index) {
    raiseCounter(Known.Latency[Index], Seen.Latency[Index], Sum.Latency[Index]);
  }
}

/** Marks one version of a window as merged.
 * @return whether it was not merged before. */
static auto markMerged(reporter_route &Known, std::int64_t Window,
                       std::size_t Side) -> bool {
  if (Window > Known.LastWindow) {
    auto Shift = Window - Known.LastWindow;
    for (auto &Mask : Known.MergedMask) {
      Mask = Shift >= 64 ? 0 : Mask << Shift;
    }
    Known.LastWindow = Window;
  }
  auto Age = Known.LastWindow - Window;
  if (Age >= 64) {
    return false;
  }
  auto Bit = std::uint64_t{1} << Age;
  auto IsNew = (Known.MergedMask[Side] & Bit) == 0;
  Known.MergedMask[Side] |= Bit;
  return IsNew;
}

static auto mergeWindow(merged_evidence &Evidence, reporter_route &Known,
                        const route_id &Route, const window_tally &Window,
                        std::int64_t Current) -> bool {
  if (Window.Window <= Evidence.LastTestedWindow ||
      Window.Window > Current + 2 || Window.Window < Current - MaxWindowAge) {
    return false;
  }
  auto IsNew = false;
  for (auto Side = std::size_t{0}; Side < 2; ++Side) {
    const auto &Tally = Window.Tally[Side];
    if (Tally.Calls > 0 && markMerged(Known, Window.Window, Side)) {
      addTally(Evidence.Windows[Window.Window][Route][Side], Tally);
      IsNew = true;
    }
  }
  return IsNew;
}

static auto mergeRoute(merged_evidence &Evidence, reporter_state &Reporter,
                       const route_report &Report, std::int64_t Current)
    -> bool {
  if (!Reporter.Routes.contains(Report.Route) &&
      Reporter.Routes.size() > MaxRoutes) {
    return false;
  }
  auto &Known = Reporter.Routes[Report.Route];
  auto &Sum = Evidence.Totals[Report.Route];
  auto IsNew = false;
  for (auto Side = std::size_t{0}; Side < 2; ++Side) {
    auto Before = Known.Total[Side].Calls;
    raiseTally(Known.Total[Side], Report.Total[Side], Sum[Side]);
    IsNew = IsNew || Known.Total[Side].Calls != Before;
  }
  for (const auto &Window : Report.Windows) {
    IsNew =
        mergeWindow(Evidence, Known, Report.Route, Window, Current) || IsNew;
  }
  return IsNew;
}

auto mergeReport(merged_evidence &Evidence, const evidence_report &Report,
                 wall_ms Now) -> bool {
  if (Report.Move != Evidence.Move) {
    return false;
  }
  auto Found = Evidence.Reporters.find(Report.Node);
  if (Found == Evidence.Reporters.end()) {
    if (Evidence.Reporters.size() >= MaxReporters) {
      return false;
    }
    Found = Evidence.Reporters.emplace(Report.Node, reporter_state{}).first;
    Found->second.Incarnation = Report.Incarnation;
  }
  auto &Reporter = Found->second;
  if (Report.Incarnation < Reporter.Incarnation) {
    return false;
  }
  if (Report.Incarnation > Reporter.Incarnation) {
    // Counts of the earlier incarnation stay in the sums.
    Reporter = reporter_state{Report.Incarnation, {}};
  }
  auto IsNew = false;
  for (const auto &Route : Report.Routes) {
    IsNew = mergeRoute(Evidence, Reporter, Route, windowAt(Now)) || IsNew;
  }
  while (Evidence.Windows.size() > std::size_t(2 * MaxWindowAge)) {
    Evidence.Windows.erase(Evidence.Windows.begin());
  }
  return IsNew;
}

} // namespace sycamorelb::moves
