/** @file random_func.h Seeded random number generator, passed explicitly to
 * decision logic. */
#pragma once

#include <cstdint>
#include <pcg_random.hpp>

namespace sycamorelb {

/** PCG32 generator; equal seeds give equal sequences. */
struct random_source {
  pcg32 Generator; ///< State of the generator.

  explicit random_source(std::uint64_t Seed) : Generator(Seed) {}
};

/** @return a number in [0, Bound); 0 when Bound is 0. */
inline auto randomBelow(random_source &Random, std::uint32_t Bound)
    -> std::uint32_t {
  return Bound == 0 ? 0 : Random.Generator(Bound);
}

/** @return a number in [0, 1). */
inline auto randomUnit(random_source &Random) -> double {
  return Random.Generator() / 4294967296.0;
}

} // namespace sycamorelb
