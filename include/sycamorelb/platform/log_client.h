/** @file log_client.h Client of the platform's log service. */
#pragma once

#include "sycamorelb/config/state_type.h"
#include "sycamorelb/core/result_type.h"
#include "sycamorelb/core/unit_type.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sycamorelb::platform {

/** The record was appended. */
struct append_done {
  log_offset Offset; ///< Offset of the record.
};
/** The record was definitely not appended. */
struct append_refused {
  error Error; ///< Reason.
};
/** It is unknown whether the record was appended. */
struct append_unknown {
  error Error; ///< Reason.
};
using append_result = std::variant<append_done, append_refused, append_unknown>;

/** Records read from a stream. */
struct read_batch {
  log_offset First;                        ///< Oldest offset kept.
  log_offset Next;                         ///< Offset after the last record.
  std::vector<config::raw_record> Records; ///< In ascending order, from the
                                           ///< requested offset on.
};
/** The requested records have expired. */
struct read_expired {
  log_offset First; ///< Oldest offset kept.
  log_offset Next;  ///< Offset after the last record.
};
using read_result = std::variant<read_batch, read_expired, error>;

/** Address, timeouts and limits of the log service client. */
struct log_client_settings {
  std::string Host = "127.0.0.1"; ///< IP address of the log service.
  std::uint16_t Port = 0;         ///< Its port.
  millis ConnectTimeout{1000};    ///< Timeout of a new connection.
  millis ReadMargin{2000};        ///< Time a read may exceed its long poll.
  std::size_t MaxResponseBytes = 16 << 20; ///< Longer responses are rejected.
};

/**
 * Client of the log service. Thread-safe. Concurrent requests use separate
 * connections, so a long poll does not delay an append.
 */
class log_client {
public:
  explicit log_client(log_client_settings Settings);
  ~log_client();
  log_client(const log_client &) = delete;
  auto operator=(const log_client &) -> log_client & = delete;

  /**
   * Appends one record.
   * @param Timeout timeout of the whole request.
   * @return refused only if the stream name is invalid, if the connection was
   * refused, or if the response says "taken": false; unknown after any other
   * failure.
   */
  auto append(const std::string &Stream, std::string_view Bytes, millis Timeout)
      -> append_result;

  /**
   * Reads records.
   * @param From first offset to read, at least 1.
   * @param Max maximum number of records.
   * @param Wait long-poll time: how long the service waits for a first record.
   * @return the records, expired, or an error: Unreachable, Timeout,
   * Overloaded, Corrupt, Internal for other HTTP statuses, or InvalidArgument.
   */
  auto read(const std::string &Stream, log_offset From, std::size_t Max,
            millis Wait) -> read_result;

  /** Aborts the requests in progress and rejects further ones. */
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::platform
