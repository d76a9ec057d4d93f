/** @file micro_upload.cpp Microbenchmark of one upload: it is received from a
 * caller, encoded for another node, and decoded there. */
#include "sycamorelb/http/server_connection.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <string>
#include <sys/socket.h>

using namespace sycamorelb;
using namespace sycamorelb::http;

namespace {

/** Receives one upload of Body bytes. @return the request. */
auto receiveUpload(const std::string &Wire) -> request {
  auto Loop = event::loop();
  int Ends[2] = {-1, -1};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends) != 0) {
    return {};
  }
  auto Received = request();
  auto Server = server_connection::create(
      event::stream::adopt(Loop, Ends[0]), server_options(),
      [&](const std::shared_ptr<server_connection> &, exchange_number,
          request Request) {
        Received = std::move(Request);
        Loop.stop();
      });
  auto Client = event::stream::adopt(Loop, Ends[1]);
  Client->send(Wire);
  Loop.run();
  return Received;
}

void upload(benchmark::State &State) {
  auto Size = static_cast<std::size_t>(State.range(0));
  auto Wire =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Size) +
      "\r\n\r\n" + std::string(Size, 'u');
  for (auto _ : State) {
    auto Forward = inner::forward_message();
    Forward.Request = receiveUpload(Wire);
    auto Frame = inner::encodeMeshMessage(std::move(Forward), steady_time());
    auto Decoded = inner::decodeMeshMessage(Frame, steady_time());
    benchmark::DoNotOptimize(Decoded);
  }
  State.SetBytesProcessed(static_cast<std::int64_t>(State.iterations()) *
                          State.range(0));
}
BENCHMARK(upload)->Arg(1 << 10)->Arg(64 << 10)->Arg(1 << 20)->Arg(16 << 20);

} // namespace
