/** @file hash_func.h Hashes for ranking, partitioning and chaining. */
#pragma once

#include <cstdint>
#include <string_view>

namespace sycamorelb {

/** @return the seeded 64-bit XXH3 hash of Bytes; not cryptographic. */
auto hash64(std::string_view Bytes, std::uint64_t Seed = 0) -> std::uint64_t;

/**
 * Score for rendezvous hashing; the candidate with the highest score owns Key.
 * @return a score that is independent for each pair of key and candidate.
 */
auto rendezvousScore(std::string_view Key, std::string_view Candidate)
    -> std::uint64_t;

} // namespace sycamorelb
