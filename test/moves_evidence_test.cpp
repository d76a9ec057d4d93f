/** @file moves_evidence_test.cpp Counting of calls, reports and their merge. */
#include "sycamorelb/core/random_func.h"
#include "sycamorelb/moves/evidence_func.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::moves;

static constexpr auto StartMs = std::int64_t{1'700'000'000'000};

/** Counts random calls for 6 s and returns the reports of each second. */
static auto record(local_evidence &Local, const node_id &Node,
                   incarnation Incarnation, std::uint64_t Seed, int Routes,
                   std::map<route_id, tally_pair> &Expected)
    -> std::vector<evidence_report> {
  auto Random = random_source(Seed);
  auto Reports = std::vector<evidence_report>();
  for (auto Second = std::int64_t{0}; Second < 6; ++Second) {
    for (auto Call = 0U; Call < randomBelow(Random, 200); ++Call) {
      auto Route =
          route_id{std::to_string(randomBelow(Random, std::uint32_t(Routes)))};
      auto Side = randomBelow(Random, 2);
      auto Sample = call_sample{call_outcome(randomBelow(Random, 3)),
                                micros(randomBelow(Random, 9'000'000)), false};
      recordCall(Local, Route, move_side(Side), Sample,
                 {StartMs + Second * 1000 + randomBelow(Random, 1000)});
      ++Expected[Route][Side].Calls;
      Expected[Route][Side].Failures += Sample.Outcome == call_outcome::Failed;
    }
    auto Now = wall_ms{StartMs + (Second + 1) * 1000};
    for (auto &Report : buildReports(Local, Node, Incarnation, Now)) {
      Reports.push_back(std::move(Report));
    }
  }
  return Reports;
}

// Guards against counts that depend on loss, order or repetition of datagrams:
// once the last reports arrive the totals match the calls, and no window is
// counted twice.
Test(moves_evidence, merge_ignores_order_and_duplicates) {
  cr_assert(rc::check("merge", [] {
    auto Expected = std::map<route_id, tally_pair>();
    auto Reports = std::vector<evidence_report>();
    auto Last = std::vector<evidence_report>();
    for (auto Node = 0; Node < 2; ++Node) {
      auto Local = local_evidence{{"m"}, 0, {}};
      auto Seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
      auto Id = node_id{std::to_string(Node)};
      auto Own = record(Local, Id, incarnation{1}, Seed, 3, Expected);
      Reports.insert(Reports.end(), Own.begin(), Own.end());
      for (auto &Report :
           buildReports(Local, Id, incarnation{1}, wall_ms{StartMs + 6500})) {
        Last.push_back(Report);
      }
    }
    auto Random = random_source(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
    auto Shuffled = Reports;
    Shuffled.insert(Shuffled.end(), Reports.begin(), Reports.end());
    Shuffled.insert(Shuffled.end(), Last.begin(), Last.end());
    std::shuffle(Shuffled.begin(), Shuffled.end(), Random.Generator);
    auto Merged = merged_evidence{};
    Merged.Move = move_id{"m"};
    auto InOrder = Merged;
    for (const auto &Report : Shuffled) {
      mergeReport(Merged, Report, {StartMs + 7000});
    }
    for (const auto &Report : Reports) {
      mergeReport(InOrder, Report, {StartMs + 7000});
    }
    for (const auto &[Route, Pair] : Expected) {
      for (auto Side = 0U; Side < 2; ++Side) {
        RC_ASSERT(Merged.Totals[Route][Side].Calls == Pair[Side].Calls);
        RC_ASSERT(Merged.Totals[Route][Side].Failures == Pair[Side].Failures);
      }
    }
    RC_ASSERT(Merged.Windows == InOrder.Windows);
  }));
}

// Guards against counts that are lost or counted twice when a reporter
// restarts, and against late reports of its earlier incarnation.
Test(moves_evidence, a_restarted_reporter_adds_to_what_it_sent_before) {
  auto Merged = merged_evidence{};
  Merged.Move = move_id{"m"};
  auto Send = [&](std::uint64_t Generation, std::uint64_t Calls) {
    auto Report = evidence_report{{"m"}, {"n"}, {Generation}, 1, {}};
    Report.Routes.push_back({{"r"}, {}, {}});
    Report.Routes[0].Total[1].Calls = Calls;
    mergeReport(Merged, Report, {StartMs});
  };
  Send(1, 100);
  Send(2, 10);
  Send(1, 120);
  Send(2, 15);
  cr_assert(Merged.Totals[route_id{"r"}][1].Calls == 115);
}

// Guards against reports that exceed the size limit or lose counts when many
// routes are split over several reports.
Test(moves_evidence, reports_fit_a_datagram_and_round_trip) {
  cr_assert(rc::check("report codec", [] {
    auto Local = local_evidence{{std::string(128, 'm')}, 0, {}};
    auto Expected = std::map<route_id, tally_pair>();
    auto Routes = *rc::gen::inRange(1, 50);
    auto Reports = record(
        Local, node_id{std::string(128, 'n')}, incarnation{1ULL << 40},
        *rc::gen::inRange<std::uint64_t>(0, 1'000'000), Routes, Expected);
    RC_ASSERT(Local.Routes.size() <= MaxRoutes + 1);
    for (const auto &Report : Reports) {
      auto Bytes = encodeReport(Report);
      RC_ASSERT(Bytes.size() <= MaxReportBytes);
      auto Decoded = decodeReport(Bytes);
      RC_ASSERT(isOk(Decoded));
      RC_ASSERT(valueOf(Decoded) == Report);
    }
  }));
}

// Guards against reads past the end and values out of range: truncated reports
// and trailing bytes are rejected, and corrupt or random bytes never decode to
// inconsistent counts.
Test(moves_evidence, corrupt_reports_are_rejected) {
  cr_assert(rc::check("damaged reports", [] {
    auto Local = local_evidence{{"m"}, 0, {}};
    auto Expected = std::map<route_id, tally_pair>();
    auto Reports =
        record(Local, node_id{"n"}, incarnation{1},
               *rc::gen::inRange<std::uint64_t>(0, 1'000), 2, Expected);
    RC_PRE(!Reports.empty());
    auto Bytes = encodeReport(Reports.back());
    auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    RC_ASSERT(!isOk(decodeReport(std::string_view(Bytes).substr(0, At))));
    RC_ASSERT(!isOk(decodeReport(Bytes + '\0')));
    Bytes[At] = char(*rc::gen::inRange(0, 256));
    auto Decoded = decodeReport(Bytes);
    if (isOk(Decoded)) {
      for (const auto &Route : valueOf(Decoded).Routes) {
        RC_ASSERT(Route.Windows.size() <= std::size_t(WindowsKept));
        for (const auto &Tally : Route.Total) {
          RC_ASSERT(Tally.Failures + Tally.Cancelled <= Tally.Calls);
        }
      }
    }
    decodeReport(*rc::gen::arbitrary<std::string>());
  }));
}

// Guards against a bucket lookup that disagrees with the bucket bounds.
Test(moves_evidence, latency_buckets_agree_with_their_ends) {
  cr_assert(rc::check("buckets", [] {
    auto Latency = micros(*rc::gen::inRange<std::int64_t>(0, 10'000'000));
    auto Bucket = latencyBucket(Latency);
    RC_ASSERT(Latency <= bucketEnd(Bucket));
    RC_ASSERT((Bucket == 0 || Latency > bucketEnd(Bucket - 1)));
  }));
}
