/** @file stream.h Buffered TCP connections and listeners of an event loop. */
#pragma once

#include "sycamorelb/core/result_type.h"
#include "sycamorelb/event/loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorelb::event {

/** Why a connection ended. */
enum class close_reason : std::uint8_t {
  EndOfStream,   ///< The peer closed the connection normally.
  Reset,         ///< The connection was reset or lost.
  ConnectFailed, ///< The connection was not established.
};

/** IPv4 address and port. */
struct endpoint {
  std::string Host;       ///< Address in dotted decimal notation.
  std::uint16_t Port = 0; ///< TCP port.
  auto operator==(const endpoint &) const -> bool = default;
};

/** @return the endpoint parsed from "IP:PORT", or InvalidArgument. */
auto parseEndpoint(std::string_view Text) -> result<endpoint>;
/** @return the endpoint as "IP:PORT". */
auto formatEndpoint(const endpoint &Endpoint) -> std::string;

/**
 * Buffered TCP connection. Keep-alive probes detect peers that no longer
 * respond. Callbacks may close the stream.
 */
class stream : public std::enable_shared_from_this<stream> {
public:
  /** Called after received bytes were added to input(), a limited number at a
   * time. */
  std::function<void()> OnData;
  /** Called at most once, when the peer closed the connection or it failed.
   * Not called after close(). */
  std::function<void(close_reason)> OnClosed;
  /** Called once, when an outgoing connection is established. */
  std::function<void()> OnConnected;
  /** Called when queued output was written to the end after send() returned. */
  std::function<void()> OnOutputWritten;

  /** Takes ownership of an accepted socket. */
  static auto adopt(loop &Loop, int Descriptor) -> std::shared_ptr<stream>;
  /** Starts to connect. A failure is reported through OnClosed, never from
   * within this method. */
  static auto connect(loop &Loop, const endpoint &Peer, millis Timeout)
      -> std::shared_ptr<stream>;
  ~stream();
  stream(const stream &) = delete;
  auto operator=(const stream &) -> stream & = delete;

  /** @return the received bytes that have not been consumed. */
  auto input() const -> std::string_view;
  /** Removes bytes from the front of input(). */
  void consume(std::size_t Count);
  /** Makes room for Size bytes of input, so that a long message that is
   * received needs no further memory. Its first byte is then at an address 4
   * bytes before a multiple of 8: the content after a length of 4 bytes can be
   * decoded in place. */
  void reserveInput(std::size_t Size);
  /** Queues bytes and writes as many as the socket accepts. */
  void send(std::string_view Bytes);
  /** Like send(), but takes large buffers over without a copy. */
  void sendOwned(std::string Bytes);
  /** @return the number of queued bytes that are not written yet. */
  auto pendingOutput() const -> std::size_t;
  /** @return whether the connection is established and not closed. */
  auto isOpen() const -> bool;
  /** Excludes this connection from the traffic counts of the host's network
   * link, for a peer on the same host. */
  void excludeFromLinkTraffic();
  /** Stops or resumes reading, to bound the size of input(). */
  void pauseReading(bool Paused);
  /** Limits the received bytes that the kernel holds for this connection,
   * about. By default they grow to several megabytes. The peer then writes no
   * more than that in a round trip. */
  void limitUnread(std::size_t Bytes);
  /** Updates the charge of the bytes that wait in the kernel while reading has
   * stopped: the host counts them as memory of this process. */
  void chargeUnread();
  /** Makes reading stop while the memory budget is under pressure.
   * @param IsLarge whether this connection already holds much, so that it stops
   * before others. */
  void yieldToPressure(bool IsLarge);
  /** @return since when reading has stopped for memory, if it has. */
  auto heldBackSince() const -> std::optional<steady_time>;
  /** Reads on despite pressure, at least Bytes. */
  void readOn(std::size_t Bytes);
  /** @return when a byte was last received or sent. */
  auto lastActivityAt() const -> steady_time;
  /** @return the memory of the buffers. */
  auto heldBytes() const -> std::size_t;
  /** Closes at once; queued output is discarded. */
  void close();
  /** Closes once all output is written, or after a short timeout. */
  void closeAfterOutput();

private:
  struct implementation;
  explicit stream(std::unique_ptr<implementation> Impl);
  void startWatching(std::uint32_t Events);
  void handleReady(std::uint32_t Ready);
  void finishConnecting();
  void reportOutputWritten();
  void writeOutput();
  std::unique_ptr<implementation> Impl;
};

/** Listening socket. */
class listener {
public:
  using accept_callback = std::function<void(std::shared_ptr<stream>)>;

  /** Maximum number of connections accepted for one event. The others wait
   * until the input of these was handled. */
  std::size_t AcceptsPerEvent = 64;

  /** @return the listener, or Unreachable if the address can't be bound. */
  static auto open(loop &Loop, const endpoint &Address, accept_callback Accept)
      -> result<std::unique_ptr<listener>>;
  ~listener();
  listener(const listener &) = delete;
  auto operator=(const listener &) -> listener & = delete;

private:
  struct implementation;
  explicit listener(std::unique_ptr<implementation> Impl);
  std::unique_ptr<implementation> Impl;
};

} // namespace sycamorelb::event
