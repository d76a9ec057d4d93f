/** @file pick.cpp Load balancing. */
#include "sycamorelb/routing/pick_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace sycamorelb::routing {

namespace {

/// Maximum number of ids listed in a panic reason.
constexpr std::size_t MaxNamedIds = 5;
/// Weight of the failure ratio in the score; below 1 to keep the score finite.
constexpr double FailureWeight = 0.9;

/// Weight factor of a fully used cold upstream; above 0 so that some calls
/// still bring new load reports.
constexpr double MinColdWeightFactor = 0.05;

enum tier : std::uint8_t { OwnZone, OwnRegion, Elsewhere, TierCount };

/** A candidate with the values that the pick compares. */
struct weighted_candidate {
  std::size_t Index = 0;  ///< Into the candidates.
  tier Tier = OwnZone;    ///< Locality tier.
  double Limit = 1;       ///< Effective limit.
  double Weight = 1;      ///< Limit scaled by slow start and free capacity.
  double InFlight = 0;    ///< Larger of own and reported calls in flight.
  double Utilisation = 0; ///< Relative to the limit under slow start, 0 to 1.
  bool WarmingUp = false; ///< Cold, in slow start, or with few samples.
};

/** @return the weight of the load report: 1 when new, falling linearly to 0
 * over ReportLifetime. */
auto reportWeight(const upstream_stats &Stats, const pick_config &Config,
                  steady_time Now) -> double {
  if (!Stats.HasReport)
    return 0;
  auto Age = static_cast<double>((Now - Stats.ReportedAt).count());
  return std::clamp(
      1 - Age / static_cast<double>(Config.ReportLifetime.count()), 0.0, 1.0);
}

/** A report of being cold holds until the next report: letting it expire would
 * raise the load without any observation. */
auto isCold(const candidate &Candidate) -> bool {
  return Candidate.State == membership::upstream_state::Cold ||
         (Candidate.Stats != nullptr && Candidate.Stats->Report.Cold);
}

auto tierOf(const candidate &Candidate, const pick_origin &Origin) -> tier {
  if (Candidate.Zone == Origin.Zone)
    return OwnZone;
  return Candidate.Region == Origin.Region ? OwnRegion : Elsewhere;
}

auto makeEntry(std::size_t Index, const candidate &Candidate,
               const pick_request &Request, const pick_config &Config,
               steady_time Now) -> weighted_candidate {
  auto Entry = weighted_candidate{};
  Entry.Index = Index;
  Entry.Tier = tierOf(Candidate, Request.Origin);
  Entry.Limit = effectiveLimit(Candidate);
  auto SlowStart = slowStartWeight(Candidate, Config, Now);
  Entry.Weight = Entry.Limit * SlowStart;
  Entry.WarmingUp = SlowStart < 1 || isCold(Candidate);
  if (Candidate.Stats == nullptr) {
    Entry.WarmingUp = true;
    return Entry;
  }
  const auto &Stats = *Candidate.Stats;
  auto ReportWeight = reportWeight(Stats, Config, Now);
  Entry.InFlight = std::max(static_cast<double>(Stats.InFlight),
                            ReportWeight * Stats.Report.InFlight);
  // Relative to the limit under slow start, so that traffic also returns to the
  // own zone gradually.
  auto Utilisation =
      std::max(Stats.InFlight / Entry.Limit, ReportWeight * Stats.Utilisation);
  Entry.Utilisation = std::min(1.0, Utilisation / SlowStart);
  Entry.WarmingUp = Entry.WarmingUp || Stats.LatencyUs == 0 ||
                    Stats.EarnedLimit < std::min(2U, Candidate.Slots);
  // Many nodes share the few slots of a cold upstream and each sees only its
  // own calls; the reported utilisation includes those of the other nodes.
  if (Config.ColdAware && Entry.WarmingUp)
    Entry.Weight *= std::max(MinColdWeightFactor, 1 - Entry.Utilisation);
  return Entry;
}

void count(candidate_counts &Counts, ineligible_reason Reason) {
  ++Counts.Candidates;
  switch (Reason) {
  case ineligible_reason::None:
    ++Counts.Eligible;
    break;
  case ineligible_reason::OtherVersion:
    ++Counts.OtherVersion;
    break;
  case ineligible_reason::ZoneOutOfService:
    ++Counts.ZoneOutOfService;
    break;
  case ineligible_reason::MemberNotAlive:
    ++Counts.MemberNotAlive;
    break;
  case ineligible_reason::Draining:
    ++Counts.Draining;
    break;
  case ineligible_reason::Excluded:
    ++Counts.Excluded;
    break;
  case ineligible_reason::Ejected:
    ++Counts.Ejected;
    break;
  case ineligible_reason::Suspect:
    ++Counts.Suspect;
    break;
  }
}

/** @return the candidates for panic mode: those that are ineligible only
 * because they are ejected or suspected. */
auto panicEntries(std::span<const candidate> Candidates,
                  const pick_request &Request, const pick_config &Config,
                  steady_time Now) -> std::vector<weighted_candidate> {
  auto Entries = std::vector<weighted_candidate>{};
  for (auto Index = std::size_t{0}; Index < Candidates.size(); ++Index) {
    auto Reason = checkEligible(Candidates[Index], Request);
    if (Reason == ineligible_reason::Ejected ||
        Reason == ineligible_reason::Suspect)
      Entries.push_back(
          makeEntry(Index, Candidates[Index], Request, Config, Now));
  }
  // A refused connection is certain, unlike an ejection by failure rate or a
  // suspicion.
  auto IsUnreachable = [&](const weighted_candidate &Entry) {
    const auto *Stats = Candidates[Entry.Index].Stats;
    return Stats != nullptr && Stats->Outlier.Unreachable;
  };
  if (!std::ranges::all_of(Entries, IsUnreachable))
    std::erase_if(Entries, IsUnreachable);
  return Entries;
}

auto panicReason(std::span<const candidate> Candidates,
                 const std::vector<weighted_candidate> &Entries,
                 const candidate_counts &Counts) -> std::string {
  auto Text = "no healthy candidate (" + describe(Counts) + "), picked from ";
  for (auto Position = std::size_t{0};
       Position < Entries.size() && Position < MaxNamedIds; ++Position)
    Text += (Position == 0 ? "" : ", ") +
            Candidates[Entries[Position].Index].Id.Value;
  if (Entries.size() > MaxNamedIds)
    Text += ", ...";
  return Text;
}

/** Removes warming-up upstreams without a free slot unless all are: calls
 * beyond their limit would be refused or slow down the warm-up. */
void dropFullWarmingUp(std::vector<weighted_candidate> &Entries) {
  auto IsFull = [](const weighted_candidate &Entry) {
    return Entry.WarmingUp && Entry.InFlight >= Entry.Limit;
  };
  if (!std::ranges::all_of(Entries, IsFull))
    std::erase_if(Entries, IsFull);
}

auto pickTier(const std::vector<weighted_candidate> &Entries,
              const pick_config &Config, random_source &Random) -> tier {
  auto Loads = std::array<tier_load, TierCount>{};
  for (const auto &Entry : Entries) {
    auto &Load = Loads[Entry.Tier];
    Load.Capacity += Entry.Weight;
    Load.Utilisation += Entry.Weight * Entry.Utilisation;
  }
  for (auto &Load : Loads)
    if (Load.Capacity > 0)
      Load.Utilisation /= Load.Capacity;
  auto Shares = computeTierShares(Loads[OwnZone], Loads[OwnRegion],
                                  Loads[Elsewhere], Config);
  auto Draw = randomUnit(Random);
  if (Loads[OwnZone].Capacity > 0 && Draw < Shares.OwnZone)
    return OwnZone;
  if (Loads[OwnRegion].Capacity > 0 && Draw < Shares.OwnZone + Shares.OwnRegion)
    return OwnRegion;
  if (Loads[Elsewhere].Capacity > 0)
    return Elsewhere;
  // Rounding errors can leave the draw just above the last share.
  return Loads[OwnRegion].Capacity > 0 ? OwnRegion : OwnZone;
}

/** Draws a random entry of the tier by weight, leaving out Skipped.
 * @return index into Entries; Entries.size() if there is none. */
auto drawEntry(const std::vector<weighted_candidate> &Entries, tier Tier,
               std::size_t Skipped, random_source &Random) -> std::size_t {
  auto IsDrawable = [&](std::size_t Position) {
    return Entries[Position].Tier == Tier && Position != Skipped;
  };
  auto Total = 0.0;
  for (auto Position = std::size_t{0}; Position < Entries.size(); ++Position)
    Total += IsDrawable(Position) ? Entries[Position].Weight : 0;
  auto Draw = randomUnit(Random) * Total;
  auto Last = Entries.size();
  for (auto Position = std::size_t{0}; Position < Entries.size(); ++Position) {
    if (!IsDrawable(Position))
      continue;
    Last = Position;
    Draw -= Entries[Position].Weight;
    if (Draw < 0)
      break;
  }
  return Last;
}

auto meanLatency(std::span<const candidate> Candidates,
                 const std::vector<weighted_candidate> &Entries) -> double {
  auto Sum = 0.0;
  auto Known = 0;
  for (const auto &Entry : Entries) {
    const auto *Stats = Candidates[Entry.Index].Stats;
    if (Stats == nullptr || Stats->LatencyUs == 0)
      continue;
    Sum += Stats->LatencyUs;
    ++Known;
  }
  return Known == 0 ? 1 : Sum / Known;
}

/** @return the expected wait, (in flight + 1) * latency / weight, raised by the
 * failure ratio. */
auto score(const weighted_candidate &Entry, const upstream_stats *Stats,
           double MeanLatencyUs, const pick_config &Config, steady_time Now)
    -> double {
  auto Latency = MeanLatencyUs;
  auto Failures = 0.0;
  if (Stats != nullptr && Stats->LatencyUs > 0) {
    Latency = Stats->LatencyUs;
    Failures = Stats->FailureRatio;
    // A high latency decays to the mean while there are no samples; otherwise
    // the upstream would never be tried again.
    if (Latency > MeanLatencyUs) {
      auto Age = static_cast<double>((Now - Stats->LatencyAt).count());
      auto DecayTime = static_cast<double>(Config.LatencyDecayTime.count());
      Latency = MeanLatencyUs + (Latency - MeanLatencyUs) *
                                    std::exp(-std::max(Age, 0.0) / DecayTime);
    }
  }
  return (Entry.InFlight + 1) * Latency /
         (Entry.Weight * (1 - FailureWeight * Failures));
}

auto pickEntry(std::span<const candidate> Candidates,
               const std::vector<weighted_candidate> &Entries,
               const pick_config &Config, random_source &Random,
               steady_time Now) -> std::size_t {
  auto Tier = pickTier(Entries, Config, Random);
  auto First = drawEntry(Entries, Tier, Entries.size(), Random);
  // A warming-up upstream has a low weight and would lose every comparison of
  // scores. If drawn it is taken without one, as it needs calls to warm up.
  if (Entries[First].WarmingUp &&
      Entries[First].InFlight < Entries[First].Limit)
    return First;
  auto Second = drawEntry(Entries, Tier, First, Random);
  if (Second == Entries.size())
    return First;
  auto MeanLatencyUs = meanLatency(Candidates, Entries);
  auto ScoreOf = [&](std::size_t Position) {
    return score(Entries[Position], Candidates[Entries[Position].Index].Stats,
                 MeanLatencyUs, Config, Now);
  };
  return ScoreOf(Second) < ScoreOf(First) ? Second : First;
}

} // namespace

auto makeUpstreamId(const node_id &Node, const std::string &Address)
    -> upstream_id {
  return upstream_id{Node.Value + "/" + Address};
}

auto describe(const candidate_counts &Counts) -> std::string {
  auto Text = std::to_string(Counts.Candidates) + " candidates";
  auto Separator = ": ";
  auto Add = [&](std::uint32_t Number, const char *Name) {
    if (Number == 0)
      return;
    Text += Separator + std::to_string(Number) + " " + Name;
    Separator = ", ";
  };
  Add(Counts.Eligible, "eligible");
  Add(Counts.OtherVersion, "of another version");
  Add(Counts.ZoneOutOfService, "in a zone out of service");
  Add(Counts.MemberNotAlive, "on a node leaving or dead");
  Add(Counts.Draining, "draining");
  Add(Counts.Excluded, "already tried");
  Add(Counts.Ejected, "ejected");
  Add(Counts.Suspect, "on a suspected node");
  return Text;
}

auto checkEligible(const candidate &Candidate, const pick_request &Request)
    -> ineligible_reason {
  using membership::member_state;
  if (Candidate.Version != Request.Version)
    return ineligible_reason::OtherVersion;
  if (!Candidate.ZoneInService)
    return ineligible_reason::ZoneOutOfService;
  if (Candidate.Member == member_state::Leaving ||
      Candidate.Member == member_state::Dead)
    return ineligible_reason::MemberNotAlive;
  if (Candidate.State == membership::upstream_state::Draining)
    return ineligible_reason::Draining;
  if (std::ranges::find(Request.Excluded, Candidate.Id) !=
      Request.Excluded.end())
    return ineligible_reason::Excluded;
  if (Candidate.Stats != nullptr && Candidate.Stats->Outlier.Ejected)
    return ineligible_reason::Ejected;
  if (Candidate.Member == member_state::Suspect)
    return ineligible_reason::Suspect;
  return ineligible_reason::None;
}

auto effectiveLimit(const candidate &Candidate) -> double {
  if (Candidate.Stats == nullptr)
    return 1;
  const auto &Stats = *Candidate.Stats;
  auto Limit = std::min(Stats.EarnedLimit,
                        static_cast<double>(std::max(1U, Candidate.Slots)));
  if (Stats.Report.Limit > 0)
    Limit = std::min(Limit, static_cast<double>(Stats.Report.Limit));
  return std::max(1.0, Limit);
}

auto slowStartWeight(const candidate &Candidate, const pick_config &Config,
                     steady_time Now) -> double {
  auto Since = Candidate.ZoneInServiceSince;
  if (Candidate.Stats != nullptr)
    Since = std::max(Since, Candidate.Stats->Outlier.ReadmittedAt);
  if (Since == steady_time{})
    return 1;
  auto Elapsed = static_cast<double>((Now - Since).count());
  auto Progress = Elapsed / static_cast<double>(Config.SlowStart.count());
  return std::clamp(Progress, Config.SlowStartFloor, 1.0);
}

auto eligibleVersions(std::span<const candidate> Candidates)
    -> std::set<version_id> {
  auto Versions = std::set<version_id>{};
  auto Request = pick_request{};
  for (const auto &Candidate : Candidates) {
    if (Versions.contains(Candidate.Version))
      continue;
    Request.Version = Candidate.Version;
    auto Reason = checkEligible(Candidate, Request);
    // Ejected and suspected upstreams count, as a pick falls back to them.
    if (Reason == ineligible_reason::None ||
        Reason == ineligible_reason::Ejected ||
        Reason == ineligible_reason::Suspect)
      Versions.insert(Candidate.Version);
  }
  return Versions;
}

auto computeTierShares(const tier_load &OwnZone, const tier_load &OwnRegion,
                       const tier_load &Elsewhere, const pick_config &Config)
    -> tier_shares {
  auto SpillRatio = [&Config](const tier_load &Load) {
    auto Range = Config.SpillFull - Config.SpillFrom;
    return std::clamp((Load.Utilisation - Config.SpillFrom) / Range, 0.0, 1.0);
  };
  // The nearer tier keeps all traffic below SpillFrom and its share of the
  // capacity from SpillFull on, with linear interpolation in between.
  auto KeptShare = [&SpillRatio](const tier_load &Near,
                                 double FartherCapacity) {
    if (Near.Capacity <= 0)
      return 0.0;
    return 1 - SpillRatio(Near) * FartherCapacity /
                   (Near.Capacity + FartherCapacity);
  };
  auto Shares = tier_shares{};
  Shares.OwnZone = KeptShare(OwnZone, OwnRegion.Capacity + Elsewhere.Capacity);
  auto RemainingShare = 1 - Shares.OwnZone;
  Shares.OwnRegion = RemainingShare * KeptShare(OwnRegion, Elsewhere.Capacity);
  Shares.Elsewhere =
      Elsewhere.Capacity > 0 ? RemainingShare - Shares.OwnRegion : 0;
  return Shares;
}

auto pickUpstream(std::span<const candidate> Candidates,
                  const pick_request &Request, const pick_config &Config,
                  random_source &Random, steady_time Now) -> pick_result {
  auto Counts = candidate_counts{};
  auto Entries = std::vector<weighted_candidate>{};
  Entries.reserve(Candidates.size());
  for (auto Index = std::size_t{0}; Index < Candidates.size(); ++Index) {
    auto Reason = checkEligible(Candidates[Index], Request);
    count(Counts, Reason);
    if (Reason == ineligible_reason::None)
      Entries.push_back(
          makeEntry(Index, Candidates[Index], Request, Config, Now));
  }
  auto Result = picked_upstream{};
  if (Entries.empty()) {
    Entries = panicEntries(Candidates, Request, Config, Now);
    if (Entries.empty())
      return no_upstream{Counts};
    Result.Panic = true;
    Result.PanicReason = panicReason(Candidates, Entries, Counts);
  }
  if (Config.ColdAware)
    dropFullWarmingUp(Entries);
  auto Position = pickEntry(Candidates, Entries, Config, Random, Now);
  Result.Index = Entries[Position].Index;
  return Result;
}

} // namespace sycamorelb::routing
