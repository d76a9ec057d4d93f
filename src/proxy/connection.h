/** @file connection.h A TCP connection with an input buffer and deadlines. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorelb::proxy {

/** Result of waiting for a connection. */
enum class io_status : std::uint8_t {
  Ok,         ///< Bytes were moved, or the wait succeeded.
  Closed,     ///< The peer closed the connection in order.
  Failed,     ///< The connection is broken.
  TimedOut,   ///< The deadline passed.
  CallerLeft, ///< The watched caller connection was closed.
  Early,      ///< The answer arrived before the request was sent in full.
};

/** @return the name of a status for outcomes and logs. */
auto statusName(io_status Status) -> const char *;

/** The conditions that end a wait besides the one waited for. */
struct wait_limits {
  steady_time Deadline{};   ///< Latest end of the wait.
  int CallerFd = -1;        ///< Its end ends the wait; -1 for none.
  int AnswerFd = -1;        ///< Its input ends the wait; -1 for none.
  bool StopOnInput = false; ///< Writing: input ends the wait.
};

/** Owns a socket; all waits are bounded. */
class connection {
public:
  explicit connection(int Fd) : Fd(Fd) {}
  ~connection();
  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;

  /** Waits for input and appends it to the buffer. Closed, Failed, TimedOut and
   * CallerLeft leave the buffer unchanged. */
  auto fill(const wait_limits &Limits) -> io_status;

  /** Appends what has already arrived; TimedOut when nothing has. */
  auto fillNow() -> io_status;

  /** Writes all of First and then Second. Written counts the bytes that the
   * kernel took, also on failure. */
  auto write(std::string_view First, std::string_view Second,
             const wait_limits &Limits, std::uint64_t &Written) -> io_status;

  /** @return the buffered input. */
  auto input() const -> std::string_view {
    return std::string_view(Buffer).substr(Start);
  }
  /** Removes Size bytes from the front of the buffered input. */
  void consume(std::size_t Size);
  /** Frees the buffer if it is empty. */
  void releaseBuffer();

  /** @return whether the connection is open and nothing is unread. */
  auto isQuiet() const -> bool;

  /** Makes the close send a reset, so that the peer cannot take a truncated
   * message for a whole one. */
  void resetOnClose();

  /** @return the descriptor. */
  auto fd() const -> int { return Fd; }

private:
  int Fd;
  std::string Buffer;    // Input that is not decoded yet, from Start.
  std::size_t Start = 0; // Bytes already consumed.
};

/**
 * Waits for input on one of two connections; -1 stands for none.
 * @param Which receives the index of a connection with input.
 */
auto waitForEither(const std::array<int, 2> &Fds, const wait_limits &Limits,
                   std::size_t &Which) -> io_status;

/** Sets TCP_NODELAY and non-blocking mode. */
void prepareSocket(int Fd);

/**
 * Opens a connection to "ip:port".
 * @param Fd receives the descriptor when the status is Ok.
 * @return Failed when the address is invalid or refuses.
 */
auto openSocket(const std::string &Address, const wait_limits &Limits, int &Fd)
    -> io_status;

} // namespace sycamorelb::proxy
