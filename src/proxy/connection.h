/** @file connection.h TCP connection with an input buffer and deadlines. */
#pragma once

#include "sycamorelb/core/unit_type.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorelb::proxy {

/** Result of an operation on a connection. */
enum class io_status : std::uint8_t {
  Ok,            ///< Bytes were transferred, or the awaited event occurred.
  Closed,        ///< The peer closed the connection normally.
  Failed,        ///< The connection was refused, reset or failed otherwise.
  TimedOut,      ///< The deadline passed.
  CallerLeft,    ///< The caller closed its connection.
  EarlyResponse, ///< The response arrived before the whole request was sent.
};

/** @return the text of a status for outcomes and logs. */
auto statusName(io_status Status) -> const char *;

/** Conditions that end a wait early. */
struct wait_limits {
  steady_time Deadline{}; ///< Time at which the wait ends.
  int CallerFd = -1;      ///< A close by this peer ends the wait; -1 for none.
  int ResponseFd = -1;    ///< Input on it ends the wait; -1 for none.
  bool StopOnInput = false; ///< For writes: input ends the wait.
};

/** Owns a socket; every wait has a deadline. */
class connection {
public:
  explicit connection(int Fd) : Fd(Fd) {}
  ~connection();
  connection(const connection &) = delete;
  auto operator=(const connection &) -> connection & = delete;

  /** Waits for input and appends it to the buffer. Every status but Ok leaves
   * the buffered input unchanged. */
  auto receive(const wait_limits &Limits) -> io_status;

  /** Appends input that has already arrived; TimedOut if there is none. */
  auto receiveAvailable() -> io_status;

  /** Writes First and then Second. Written is increased by the bytes that the
   * kernel accepted, also on failure. */
  auto write(std::string_view First, std::string_view Second,
             const wait_limits &Limits, std::uint64_t &Written) -> io_status;

  /** @return the buffered input. */
  auto input() const -> std::string_view {
    return std::string_view(Buffer).substr(InputOffset);
  }
  /** Removes Size bytes from the front of the buffered input. */
  void consume(std::size_t Size);
  /** Frees the buffer if it is empty. */
  void releaseBuffer();

  /** @return whether the connection is open and has no unread input. */
  auto isReusable() const -> bool;

  /** Makes close send a TCP reset, so that the peer cannot mistake a truncated
   * message for a complete one. */
  void resetOnClose();

  /** @return the descriptor. */
  auto fd() const -> int { return Fd; }

private:
  int Fd;
  std::string Buffer; // Received bytes; those from InputOffset on are unread.
  std::size_t InputOffset = 0; // Bytes of Buffer that were consumed.
};

/**
 * Waits for input on one of two descriptors; -1 for none.
 * @param ReadyIndex receives the index of the descriptor with input.
 */
auto waitForEither(const std::array<int, 2> &Fds, const wait_limits &Limits,
                   std::size_t &ReadyIndex) -> io_status;

/** Sets TCP_NODELAY and non-blocking mode. */
void prepareSocket(int Fd);

/**
 * Opens a connection to "ip:port".
 * @param Fd receives the descriptor when the status is Ok.
 * @return Failed if the address is invalid or refuses the connection.
 */
auto openSocket(const std::string &Address, const wait_limits &Limits, int &Fd)
    -> io_status;

} // namespace sycamorelb::proxy
