/** @file hash_func.cpp Hash functions based on XXH3. */
#include "sycamorelb/core/hash_func.h"

#include <xxhash.h>

namespace sycamorelb {

auto hash64(std::string_view Bytes, std::uint64_t Seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

auto rendezvousScore(std::string_view Key, std::string_view Candidate)
    -> std::uint64_t {
  return hash64(Candidate, hash64(Key));
}

} // namespace sycamorelb
