/** @file id_type.h Strongly typed identifiers shared by all components. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace sycamorelb {

/**
 * Identifier that does not convert to an identifier of another kind.
 * @tparam Tag distinguishes the kinds of identifiers.
 * @tparam Rep representation, a string or an integer.
 */
template <class Tag, class Rep> struct strong_id {
  Rep Value{}; ///< Underlying value.

  // clang-tidy reports the code that the compiler generates for the comparison.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const strong_id &) const = default;
};

template <class Tag, class Rep>
auto operator<<(std::ostream &Out, const strong_id<Tag, Rep> &Id)
    -> std::ostream & {
  return Out << Id.Value;
}

using node_id = strong_id<struct node_tag, std::string>;
using zone_id = strong_id<struct zone_tag, std::string>;
using region_id = strong_id<struct region_tag, std::string>;
using customer_id = strong_id<struct customer_tag, std::string>;
using service_id = strong_id<struct service_tag, std::string>;
using version_id = strong_id<struct version_tag, std::string>;
using route_id = strong_id<struct route_tag, std::string>;
using move_id = strong_id<struct move_tag, std::string>;
using request_id = strong_id<struct request_tag, std::string>;

/** One process of a node: a random number drawn at its start, which no other
 * process has and which never changes. 0 if unknown. */
using process_id = strong_id<struct process_tag, std::uint64_t>;

/** Position of a record in a stream of the log service. */
using log_offset = strong_id<struct log_offset_tag, std::uint64_t>;
/** Era of the platform's store. It rises when the store comes back from an
 * older copy, which assigns offsets again; 0 if unknown. */
using store_era = strong_id<struct store_era_tag, std::uint64_t>;
/** Incarnation number of a node process: its start time in ms since the Unix
 * epoch, incremented to refute a suspicion. */
using incarnation = strong_id<struct incarnation_tag, std::uint64_t>;

} // namespace sycamorelb

template <class Tag, class Rep>
struct std::hash<sycamorelb::strong_id<Tag, Rep>> {
  auto operator()(const sycamorelb::strong_id<Tag, Rep> &Id) const noexcept
      -> std::size_t {
    return std::hash<Rep>{}(Id.Value);
  }
};
