/** @file claim_writer.h Writes the claims of the partitions a node is writer
 * of. */
#pragma once

#include "sycamorelb/claims/claim_func.h"

#include <functional>
#include <memory>

namespace sycamorelb::claims {

/** The log service as the writer uses it; both functions block, and must end
 * within a timeout of their own (1 s is suggested). */
struct claim_log {
  /** Appends bytes to the stream of a partition. */
  std::function<append_result(std::uint32_t, const std::string &)> Append;
  /** Reads the stream of a partition from an offset, without waiting. */
  std::function<read_result(std::uint32_t, log_offset)> Read;
};

/** Times and bounds of the writer. */
struct claim_writer_options {
  millis GroupTime{20};                ///< Claims are collected this long.
  millis AppendInterval{50};           ///< At most one append in this time, for
                                       ///< each partition.
  millis TimeToLive = ClaimTimeToLive; ///< Of a claim.
  millis Margin = ClockMargin;         ///< Slack required of the retention.
  millis UnusedAfter{600'000};         ///< Idle partitions are dropped.
  /** Retention that the log promises. When it covers a time to live and the
   * margin, trimmed records are known to have expired; otherwise a writer that
   * cannot read from the beginning of the stream first waits for a full time to
   * live. */
  millis Retention{0};
  millis ReadRetry{100};              ///< Pause after a failed read.
  std::size_t MaxWaiting = 4096;      ///< Waiting callers of all partitions.
  std::size_t MaxEntries = MaxClaims; ///< Claims of one partition.
  std::function<steady_time()> SteadyNow; ///< Empty for the system's clock.
  std::function<wall_ms()> WallNow;       ///< Empty for the system's clock.
};

/** Counters of the writer. */
struct claim_writer_stats {
  std::uint64_t Appends = 0;   ///< Appends tried.
  std::uint64_t Unknown = 0;   ///< Appends with an unknown outcome.
  std::uint64_t Granted = 0;   ///< Claims granted.
  std::uint64_t Held = 0;      ///< Claims lost to another attempt.
  std::uint64_t Refused = 0;   ///< Claims refused.
  std::uint64_t Abandoned = 0; ///< Releases of claims found too late.
  std::size_t Partitions = 0;  ///< Partitions in memory.
  std::size_t Entries = 0;     ///< Claims in memory.
};

/** Owns one thread that appends, reads back and answers. */
class claim_writer {
public:
  claim_writer(claim_log Log, claim_writer_options Options);
  /** Refuses all waiting callers and ends the thread. */
  ~claim_writer();
  claim_writer(const claim_writer &) = delete;
  auto operator=(const claim_writer &) -> claim_writer & = delete;

  /**
   * Claims a key and waits for the answer, at most until Deadline. A granted
   * call must be started at once; a caller that was paused must compare the
   * time with its deadline again. An attempt is given to one writer only: a
   * writer releases attempts it has refused, so asking another writer needs a
   * new attempt number.
   */
  auto claim(const claim_key &Key, const claimant &Who, steady_time Deadline)
      -> claim_answer;

  /** Gets the answer of an asynchronous claim, once. */
  using answer_func = std::function<void(claim_answer)>;
  /** Like claim, without blocking; Answer runs on the writer's thread or on
   * the caller's when refused at once, and must not block. */
  void claimAsync(const claim_key &Key, const claimant &Who,
                  steady_time Deadline, answer_func Answer);

  /** Records that the holder's call certainly did not start. */
  void release(const claim_key &Key, const claimant &Who);

  /** Records the status of the holder's call. */
  void complete(const claim_key &Key, const claimant &Who,
                std::uint16_t Status);

  /** @return the counters. */
  auto stats() const -> claim_writer_stats;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::claims
