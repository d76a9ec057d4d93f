/** @file fair_share.h Use of a target by customer and by kind of call.
 *
 * A burst of one customer must not crowd out the others, and no customer or
 * kind of call (route) may be served less than a quarter as often as all calls.
 */
#pragma once

#include "sycamorelb/core/id_type.h"
#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace sycamorelb::dispatch {

/** Recent use by one customer or kind, or by several that share a class. Sums
 * lose their weight within about a second. */
struct share_use {
  double SlotMicros = 0;    ///< Slot time of its calls.
  double Started = 0;       ///< Calls that started.
  double Refused = 0;       ///< Calls that were refused for lack of capacity.
  steady_time UpdatedAt{};  ///< When the sums were computed.
  steady_time LastCallAt{}; ///< When its last call started or was refused.
  std::uint32_t Level = 0;  ///< How far it is above its share; 0: not above.
  bool IsStarved = false;   ///< It is served too rarely.
};

/** Position of a call by what its customer and kind have used. */
struct call_standing {
  /** How far its customer is above its share; 0: not above. */
  std::uint32_t Level = 0;
  /** Its customer or kind is served too rarely. */
  bool IsStarved = false;
  auto operator==(const call_standing &) const -> bool = default;
};

/** Classes of customers or of kinds: the first ones exactly, others by hash, so
 * that made-up names need no more memory. */
class share_table {
public:
  share_table();
  /** @return the class of a name, which gets its own one if one is free. */
  auto classOf(const std::string &Name, steady_time Now) -> std::uint32_t;
  void recordStart(std::uint32_t Class, micros Run, steady_time Now);
  void recordRefusal(std::uint32_t Class, steady_time Now);
  /** Computes the levels and starvation of all classes, unless they are recent.
   */
  void update(steady_time Now);
  auto use(std::uint32_t Class) const -> const share_use & {
    return Uses[Class];
  }

private:
  auto decayedUse(std::uint32_t Class, steady_time Now) -> share_use &;

  std::unordered_map<std::string, std::uint32_t> Names; // Exact classes.
  std::vector<share_use> Uses; // Exact classes, then those by hash.
  steady_time UpdatedAt{};
};

/** Classes of one call. */
struct call_share {
  /** Class of its customer; nothing without one. Calls that targets make have
   * none, and must not count as those of one large customer. */
  std::optional<std::uint32_t> Customer;
  std::uint32_t Kind = 0; ///< Class of its route.
};

/** Use of a target by customers and kinds. */
struct fair_share {
  share_table Customers;      ///< By customer.
  share_table Kinds;          ///< By route.
  bool HasKindFloors = false; ///< Kinds that are starved go first.
};

auto shareOf(fair_share &Share, const customer_id &Customer,
             const route_id &Route, steady_time Now) -> call_share;
void recordStart(fair_share &Share, const call_share &Call, micros Run,
                 steady_time Now);
/** Records a call that was refused because it would start too late. */
void recordRefusal(fair_share &Share, const call_share &Call, steady_time Now);
auto standingOf(fair_share &Share, const call_share &Call, steady_time Now)
    -> call_standing;

} // namespace sycamorelb::dispatch
