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

/** The log service took the record. */
struct append_done {
  log_offset Offset; ///< Offset of the record.
};
/** The record was certainly not taken. */
struct append_refused {
  error Error; ///< Why.
};
/** The record may or may not have been taken. */
struct append_unknown {
  error Error; ///< Why.
};
using append_result = std::variant<append_done, append_refused, append_unknown>;

/** Records read from a stream. */
struct read_batch {
  log_offset First;                        ///< Oldest offset kept.
  log_offset Next;                         ///< Offset after the last record.
  std::vector<config::raw_record> Records; ///< Ascending, none before the
                                           ///< offset asked for.
};
/** The records asked for have expired. */
struct read_expired {
  log_offset First; ///< Oldest offset kept.
  log_offset Next;  ///< Offset after the last record.
};
using read_result = std::variant<read_batch, read_expired, error>;

/** Where the log service is and how long to wait for it. */
struct log_client_settings {
  std::string Host = "127.0.0.1"; ///< IP address of the log service.
  std::uint16_t Port = 0;         ///< Its port.
  millis ConnectTimeout{1000};    ///< For a new connection.
  millis ReadMargin{2000};        ///< Time a read may take beyond its wait.
  std::size_t MaxResponseBytes = 16 << 20; ///< Longer responses are dropped.
};

/**
 * Client of the log service. Thread safe; concurrent requests use separate
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
   * @param Timeout bound on the whole request.
   * @return refused only after a refused connection or an answer that says
   * "taken": false; unknown after any other failure.
   */
  auto append(const std::string &Stream, std::string_view Bytes, millis Timeout)
      -> append_result;

  /**
   * Reads records.
   * @param From first offset wanted, at least 1.
   * @param Max largest number of records.
   * @param Wait time that the service waits for a first record.
   * @return the records, expired, or an Unreachable, Timeout, Overloaded or
   * Corrupt error.
   */
  auto read(const std::string &Stream, log_offset From, std::size_t Max,
            millis Wait) -> read_result;

  /** Ends the requests in progress and refuses further ones. */
  void stop();

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace sycamorelb::platform
