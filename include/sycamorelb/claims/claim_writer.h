/** @file claim_writer.h Writes the claims of the partitions that a node is the
 * writer of. */
#pragma once

#include "sycamorelb/claims/claim_func.h"

#include <functional>
#include <memory>

namespace sycamorelb::claims {

/** Access to the log service. Both functions block and must have a timeout of
 * their own, about 1 s. */
struct claim_log {
  /** Appends bytes to the stream of a partition. */
  std::function<append_result(std::uint32_t, const std::string &)> Append;
  /** Reads the stream of a partition from an offset, without waiting. */
  std::function<read_result(std::uint32_t, log_offset)> Read;
};

/** Delays and limits of the writer. */
struct claim_writer_options {
  millis BatchDelay{20};     ///< Time to collect claims for one batch.
  millis AppendInterval{50}; ///< Shortest time between appends, for
                             ///< each partition.
  millis TimeToLive = ClaimTimeToLive; ///< Time to live of a claim.
  millis RetentionMargin =
      ClockMargin;             ///< Retention beyond TimeToLive required.
  millis IdleTimeout{600'000}; ///< Idle partitions are removed from memory.
  /** Retention that the log guarantees. If it covers TimeToLive and
   * RetentionMargin, trimmed claims have expired. Otherwise a writer that can't
   * read the stream from its beginning first waits for a full TimeToLive. */
  millis Retention{0};
  millis ReadRetryDelay{100};    ///< Delay after a failed read.
  std::size_t MaxWaiting = 4096; ///< Limit of waiting callers, all partitions.
  std::size_t MaxEntries = MaxClaims; ///< Limit of claims in one partition.
  std::function<steady_time()>
      SteadyNow; ///< Monotonic clock; empty for the system clock.
  std::function<wall_ms()> WallNow; ///< Wall clock; empty for the system clock.
};

/** Counters of the writer. */
struct claim_writer_stats {
  std::uint64_t Appends = 0; ///< Appends sent to the log.
  std::uint64_t Unknown = 0; ///< Appends with an unknown outcome.
  std::uint64_t Granted = 0; ///< Claims granted.
  std::uint64_t Held = 0;    ///< Claims whose key another attempt holds.
  std::uint64_t Refused = 0; ///< Claims refused.
  std::uint64_t Abandoned =
      0; ///< Releases of granted claims that no caller used.
  std::size_t Partitions = 0; ///< Partitions in memory.
  std::size_t Entries = 0;    ///< Claims in memory.
};

/** Owns a thread that appends claims, reads them back and answers callers. */
class claim_writer {
public:
  claim_writer(claim_log Log, claim_writer_options Options);
  /** Refuses all waiting callers and joins the thread. */
  ~claim_writer();
  claim_writer(const claim_writer &) = delete;
  auto operator=(const claim_writer &) -> claim_writer & = delete;

  /**
   * Claims a key and waits for the answer, at most until Deadline. A granted
   * call must be started at once; a caller that was suspended must check its
   * deadline again. An attempt must use one writer only: a writer releases the
   * attempts that it refused, so a claim at another writer needs a new attempt
   * number.
   */
  auto claim(const claim_key &Key, const claimant &Claimant,
             steady_time Deadline) -> claim_answer;

  /** Called once with the answer of an asynchronous claim. */
  using answer_func = std::function<void(claim_answer)>;
  /** Like claim, but doesn't block. Answer must not block either; it runs on
   * the thread of the writer, or on that of the caller if refused at once. */
  void claimAsync(const claim_key &Key, const claimant &Claimant,
                  steady_time Deadline, answer_func Answer);

  /** Records that the call of the holder was certainly not executed. */
  void release(const claim_key &Key, const claimant &Claimant);

  /** Records the status of the call of the holder. */
  void complete(const claim_key &Key, const claimant &Claimant,
                std::uint16_t Status);

  /** @return the counters. */
  auto stats() const -> claim_writer_stats;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::claims
