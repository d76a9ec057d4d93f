/** @file proxy_memory_test.cpp Tests that bodies are streamed and not held in
 * memory. */
#include "proxy_fixture.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sys/socket.h>
#include <xxhash.h>

using namespace sycamorelb;
using namespace sycamorelb::proxy_test;

static constexpr auto MaxGrowthKib = std::int64_t{8192};

/** @return a field of /proc/self/status in KiB. */
static auto memoryKib(const std::string &Field) -> std::int64_t {
  auto File = std::ifstream("/proc/self/status");
  auto Line = std::string();
  while (std::getline(File, Line)) {
    if (Line.starts_with(Field + ":")) {
      return std::stoll(Line.substr(Field.size() + 1));
    }
  }
  return 0;
}

// Guards against bodies that are held in memory: 200 MB pass through an entry
// node, an admission node and the stand-in, all in this process, which together
// may use no more than the 8 MB allowed to one node. The content must arrive
// unchanged.
Test(proxy_memory, large_upload_is_streamed) {
  auto Upstream = standin::upstream_server(quickUpstream());
  auto Mesh = mesh("127.0.0.1:" + std::to_string(valueOf(Upstream.start())));
  auto Piece = standin::answerBytes(1'000'000, 5);
  auto Client = raw_client(Mesh.CallerPort);
  auto *Hasher = XXH3_createState();
  XXH3_64bits_reset(Hasher);
  auto Before = memoryKib("VmRSS");
  Client.send(plainRequest("/x", "Content-Length: 200000000\r\n", "POST"));
  auto Peak = std::int64_t{0};
  for (auto Index = 0; Index < 200; ++Index) {
    cr_assert(Client.send(Piece));
    XXH3_64bits_update(Hasher, Piece.data(), Piece.size());
    Peak = std::max(Peak, memoryKib("VmRSS"));
  }
  auto Response = Client.readResponse();
  cr_assert_eq(headerOf(Response, "x-body-bytes"), "200000000");
  cr_assert_eq(headerOf(Response, "x-body-hash"),
               std::to_string(XXH3_64bits_digest(Hasher)));
  XXH3_freeState(Hasher);
  cr_log_info("upload of 200 MB: %ld KiB more", Peak - Before);
  cr_assert_lt(Peak - Before, MaxGrowthKib);
}

// Guards against a node that keeps reading from the caller while the upstream
// reads nothing: at some point the caller must be unable to send for a whole
// second.
Test(proxy_memory, slow_upstream_applies_backpressure_to_the_caller) {
  auto Fake = raw_server([](auto &Peer) {
    Peer.readUntil("\r\n\r\n");
    auto Polled = pollfd{Peer.Fd, POLLRDHUP, 0};
    ::poll(&Polled, 1, 20'000);
  });
  auto Mesh = mesh(Fake.address());
  auto Client = raw_client(Mesh.CallerPort);
  auto Before = memoryKib("VmRSS");
  Client.send(plainRequest("/x", "Content-Length: 500000000\r\n", "POST"));
  Client.limitSendTime(std::chrono::seconds(1));
  auto Piece = standin::answerBytes(100'000, 5);
  auto Sent = std::size_t{0};
  while (Sent < 500'000'000 && Client.send(Piece)) {
    Sent += Piece.size();
  }
  // The kernel's socket buffers hold a few megabytes per hop.
  cr_log_info("sent before the caller was held back: %zu bytes", Sent);
  cr_assert_lt(Sent, 100'000'000);
  cr_assert_lt(memoryKib("VmRSS") - Before, MaxGrowthKib);
}
