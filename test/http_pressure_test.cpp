/** @file http_pressure_test.cpp Tests of a caller's connection while the memory
 * budget is under pressure. */
#include "sycamorelb/http/server_connection.h"

#include <criterion/criterion.h>
#include <sys/socket.h>

using namespace sycamorelb;
using namespace sycamorelb::http;

static constexpr auto LimitBytes = std::size_t{1} << 20U;
/** With what the caller hasn't sent yet, enough for pressure on large bodies
 * only: the head is read. */
static constexpr auto OtherBytes = std::size_t{560} * 1024;
static constexpr auto BodyBytes = std::size_t{300} * 1024;
/** Memory that the buffers of a connection keep when they are empty. */
static constexpr auto MaxIdleBytes = std::size_t{4} * 1024;

namespace {

/** A caller that has sent an upload, while others hold most of the memory. */
struct upload_run {
  event::loop Loop;
  event::memory_charge Others{Loop.memory(), OtherBytes};
  std::shared_ptr<event::stream> Client;
  std::shared_ptr<server_connection> Server;
  std::size_t Received = 0;

  explicit upload_run(std::size_t SentBytes = BodyBytes,
                      std::size_t HeldByOthers = OtherBytes) {
    Others.resize(HeldByOthers);
    int Ends[2] = {-1, -1};
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, Ends), 0);
    Loop.memory()->LimitBytes = LimitBytes;
    auto Options = server_options();
    Options.Memory = Loop.memory();
    Server = server_connection::create(
        event::stream::adopt(Loop, Ends[0]), Options,
        [this](const std::shared_ptr<server_connection> &, exchange_number,
               const request &Request) { Received = Request.Body.size(); });
    Client = event::stream::adopt(Loop, Ends[1]);
    Client->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(BodyBytes) + "\r\n\r\n" +
                 std::string(SentBytes, 'u'));
    run();
  }

  void run() { Loop.runUntil(event::bootTime() + millis(200)); }
};

} // namespace

// Guards against bodies that are read on although there is no memory, and
// against a refused request that is passed on or keeps its memory.
Test(http_pressure, body_waits_and_is_refused_as_not_run) {
  auto Run = upload_run();
  cr_assert(Run.Server->progress().PausedSince.has_value());
  cr_assert_lt(Run.Server->progress().BodyBytes, BodyBytes);
  cr_assert_gt(Run.Server->progress().BodyBytes, 0U);
  Run.Server->refuseUnfinished([](const request &) {
    return response{503, "", {}, ""};
  });
  Run.run();
  cr_assert_eq(Run.Received, 0U);
  cr_assert_lt(Run.Server->progress().HeldBytes, MaxIdleBytes);
}

// Guards against a stalled caller that isn't told that its call was not run.
Test(http_pressure, stalled_body_is_answered) {
  auto Run = upload_run(BodyBytes - 1, 0);
  cr_assert_eq(Run.Server->progress().BodyBytes, BodyBytes - 1);
  Run.Server->refuseUnfinished([](const request &) {
    return response{503, "", {}, ""};
  });
  Run.run();
  cr_assert_eq(Run.Received, 0U);
  cr_assert(Run.Client->input().starts_with("HTTP/1.1 503"));
}

// Guards against bodies that stay paused, and against charges that remain.
Test(http_pressure, body_is_read_on_once_there_is_memory) {
  auto Run = upload_run();
  Run.Others = event::memory_charge();
  Run.Server->resumeReading(0);
  Run.run();
  cr_assert_eq(Run.Received, BodyBytes);
  Run.Server = nullptr;
  Run.Client = nullptr;
  cr_assert_eq(Run.Loop.memory()->UsedBytes, 0U);
}

// Guards against bodies of requests that ended but are kept without a charge:
// assigning an empty request keeps the buffer of the body.
Test(http_pressure, discarded_request_frees_its_body) {
  auto Budget = std::make_shared<event::memory_budget>();
  auto Request = request();
  Request.Body = std::string(BodyBytes, 'u');
  Request.Charge = event::memory_charge(Budget, BodyBytes);
  discard(Request);
  cr_assert_lt(Request.Body.capacity(), std::size_t{64});
  cr_assert_eq(Budget->UsedBytes, 0U);
}
