/** @file fair_share.cpp Shares and floors of customers and kinds. */
#include "sycamorelb/dispatch/fair_share.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace sycamorelb::dispatch {

/** Classes with a name of their own, and those shared by all other names: a
 * deployment has some 70 customers, few of them large. */
static constexpr auto ExactClasses = std::size_t{64};
static constexpr auto HashClasses = std::size_t{16};
/** Time constant of the sums, in microseconds: floors hold over a second. */
static constexpr auto UseTimeConstant = 1e6;
/** Time between two computations of the levels, to bound the CPU time. */
static constexpr auto UpdateInterval = micros(20'000);
/** Idle time after which another name may take over a class. */
static constexpr auto ClassRetention = micros(10'000'000);
/** Share of all slot time below which a class doesn't count as active, so that
 * customers with a call now and then don't shrink the shares. */
static constexpr auto MinActiveShare = 0.005;
/** Use relative to the share at which the level rises; the first one leaves
 * room for the random variation of equal customers. */
static constexpr double LevelRatios[] = {1.25, 2, 4};
/** Service relative to that of all calls below which a class counts as starved.
 * The floor is 0.25; the sums follow with a delay. */
static constexpr auto StarvedRatio = 0.4;
/** Refused calls below which no class counts as starved: one refusal tells
 * little. */
static constexpr auto MinRefused = 1.5;

share_table::share_table() : Uses(ExactClasses + HashClasses) {}

auto share_table::decayedUse(std::uint32_t Class, steady_time Now)
    -> share_use & {
  auto &Use = Uses[Class];
  if (Now > Use.UpdatedAt) {
    auto Age = static_cast<double>((Now - Use.UpdatedAt).count());
    auto Factor = std::exp(-Age / UseTimeConstant);
    Use.SlotMicros *= Factor;
    Use.Started *= Factor;
    Use.Refused *= Factor;
    Use.UpdatedAt = Now;
  }
  return Use;
}

auto share_table::classOf(const std::string &Name, steady_time Now)
    -> std::uint32_t {
  auto Known = Names.find(Name);
  if (Known != Names.end()) {
    return Known->second;
  }
  if (Names.size() < ExactClasses) {
    auto Class = static_cast<std::uint32_t>(Names.size());
    Names.emplace(Name, Class);
    return Class;
  }
  auto Idle = std::find_if(Names.begin(), Names.end(), [&](const auto &Entry) {
    return Uses[Entry.second].LastCallAt + ClassRetention < Now;
  });
  if (Idle != Names.end()) {
    auto Class = Idle->second;
    Names.erase(Idle);
    Names.emplace(Name, Class);
    Uses[Class] = share_use();
    return Class;
  }
  return static_cast<std::uint32_t>(
      ExactClasses + std::hash<std::string>()(Name) % HashClasses);
}

void share_table::recordStart(std::uint32_t Class, micros Run,
                              steady_time Now) {
  auto &Use = decayedUse(Class, Now);
  Use.SlotMicros += static_cast<double>(Run.count());
  Use.Started += 1;
  Use.LastCallAt = Now;
}

void share_table::recordRefusal(std::uint32_t Class, steady_time Now) {
  auto &Use = decayedUse(Class, Now);
  Use.Refused += 1;
  Use.LastCallAt = Now;
}

/** @return the level of a use that is this multiple of the share. */
static auto levelOf(double Ratio) -> std::uint32_t {
  auto Level = 0U;
  for (auto Limit : LevelRatios) {
    Level += Ratio > Limit ? 1 : 0;
  }
  return Level;
}

void share_table::update(steady_time Now) {
  if (UpdatedAt != steady_time() && Now < UpdatedAt + UpdateInterval) {
    return;
  }
  UpdatedAt = Now;
  auto All = share_use();
  for (auto Class = 0U; Class < Uses.size(); ++Class) {
    const auto &Use = decayedUse(Class, Now);
    All.SlotMicros += Use.SlotMicros;
    All.Started += Use.Started;
    All.Refused += Use.Refused;
  }
  auto IsActive = [&All](const share_use &Use) {
    return Use.SlotMicros > All.SlotMicros * MinActiveShare;
  };
  auto Active = std::count_if(Uses.begin(), Uses.end(), IsActive);
  auto Share = All.SlotMicros / static_cast<double>(std::max<long>(1, Active));
  auto Served = All.Started / std::max(1e-9, All.Started + All.Refused);
  for (auto &Use : Uses) {
    Use.Level = IsActive(Use) ? levelOf(Use.SlotMicros / Share) : 0;
    auto OwnServed = Use.Started / std::max(1e-9, Use.Started + Use.Refused);
    Use.IsStarved =
        Use.Refused >= MinRefused && OwnServed < StarvedRatio * Served;
  }
}

auto shareOf(fair_share &Share, const customer_id &Customer,
             const route_id &Route, steady_time Now) -> call_share {
  auto Call = call_share();
  if (!Customer.Value.empty()) {
    Call.Customer = Share.Customers.classOf(Customer.Value, Now);
  }
  Call.Kind = Share.Kinds.classOf(Route.Value, Now);
  return Call;
}

void recordStart(fair_share &Share, const call_share &Call, micros Run,
                 steady_time Now) {
  if (Call.Customer) {
    Share.Customers.recordStart(*Call.Customer, Run, Now);
  }
  Share.Kinds.recordStart(Call.Kind, Run, Now);
}

void recordRefusal(fair_share &Share, const call_share &Call, steady_time Now) {
  if (Call.Customer) {
    Share.Customers.recordRefusal(*Call.Customer, Now);
  }
  Share.Kinds.recordRefusal(Call.Kind, Now);
}

auto standingOf(fair_share &Share, const call_share &Call, steady_time Now)
    -> call_standing {
  auto Standing = call_standing();
  if (Call.Customer) {
    Share.Customers.update(Now);
    const auto &Customer = Share.Customers.use(*Call.Customer);
    Standing = {Customer.Level, Customer.IsStarved};
  }
  if (Share.HasKindFloors) {
    Share.Kinds.update(Now);
    Standing.IsStarved =
        Standing.IsStarved || Share.Kinds.use(Call.Kind).IsStarved;
  }
  return Standing;
}

} // namespace sycamorelb::dispatch
