/** @file log_service.h In-memory stand-in for the platform's log service. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sycamorelb::standin {

/** Faults that the stand-in simulates; all off by default. */
struct log_faults {
  millis Stall{0};            ///< Delay before each request is handled.
  bool LoseAnswers = false;   ///< Appends take effect, then the connection is
                              ///< closed without an answer.
  bool RefuseAppends = false; ///< Appends are answered 503, "taken": false.
  bool Down = false;          ///< Each request closes its connection.
  bool OldRecords = false;    ///< Reads also return up to 5 earlier records.
  std::uint64_t ExpireBefore = 0;     ///< Records at lower offsets expire.
  std::uint32_t AppendsPerSecond = 0; ///< Limit on appends; 0 for none.
};

/** Options of the stand-in. */
struct log_service_options {
  std::uint16_t Port = 0;   ///< Port; 0 for any free one.
  millis Retention{0};      ///< Age at which records expire; 0 for never.
  std::size_t Threads = 64; ///< Connections served at once.
};

/** Requests answered so far. */
struct log_service_counts {
  std::uint64_t Appends = 0; ///< Records stored.
  std::uint64_t Refused = 0; ///< Appends refused.
  std::uint64_t Reads = 0;   ///< Reads answered.
};

/**
 * The log service over HTTP on loopback, as described in section 3.4 of the
 * design page. POST /faults sets the faults, GET /stats returns the counts.
 */
class log_service {
public:
  explicit log_service(log_service_options Options);
  ~log_service();
  log_service(const log_service &) = delete;
  auto operator=(const log_service &) -> log_service & = delete;

  /** @return the port, or 0 if the server could not bind to it. */
  auto port() const -> std::uint16_t;

  /** Replaces the faults. */
  void setFaults(const log_faults &Faults);

  /** Appends a record directly, regardless of the faults.
   * @return the offset. */
  auto append(const std::string &Stream, const std::string &Bytes)
      -> std::uint64_t;

  /** @return the stored records of a stream. */
  auto records(const std::string &Stream) const -> std::vector<std::string>;

  /** @return the counts so far. */
  auto counts() const -> log_service_counts;

  /** Ends long polls and connections; also done by the destructor. */
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::standin
