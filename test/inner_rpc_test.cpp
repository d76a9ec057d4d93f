/** @file inner_rpc_test.cpp Tests of the RPC between nodes over loopback. */
#include "sycamorelb/core/clock_func.h"
#include "sycamorelb/inner/rpc_client.h"
#include "sycamorelb/inner/rpc_server.h"

#include <arpa/inet.h>
#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sycamorelb;
using namespace sycamorelb::inner;

namespace {

const auto OldKey = auth_key{.Id = 1, .Secret = "0123456789abcdef-old"};
const auto NewKey = auth_key{.Id = 2, .Secret = "0123456789abcdef-new"};

auto makeHandlers() -> peer_handlers {
  auto Handlers = peer_handlers{};
  Handlers.FetchRecords = [](const membership::config_mark &Mark) {
    auto Fetched = fetched_records{.Config = {.Position = {9}, .ChainHash = 7}};
    if (Mark.Position.Value == 0) {
      Fetched.Outcome = fetch_outcome::TooOld;
      return Fetched;
    }
    for (auto Offset = Mark.Position.Value; Offset < 9; ++Offset) {
      Fetched.Records.push_back(
          {.Offset = {Offset}, .Bytes = std::string(200'000, 'r')});
    }
    return Fetched;
  };
  Handlers.FetchState = []() -> result<std::string> {
    return std::string(1'000'000, 's') + "end";
  };
  Handlers.ExchangeMembers = [](auto Exchange) { return Exchange; };
  Handlers.Claim = [](const auto &Batch) {
    auto Verdicts = std::vector<claim_verdict>{};
    for (const auto &Claim : Batch) {
      Verdicts.push_back({.Result = claim_result::Held,
                          .HeldByNode = Claim.Node,
                          .HeldByIncarnation = Claim.Incarnation,
                          .HeldByAttempt = Claim.AttemptId});
    }
    return Verdicts;
  };
  return Handlers;
}

/** A server and a client, each on its own event loop. */
struct client_server_fixture {
  rpc_loop ServerLoop;
  rpc_loop ClientLoop;
  std::string Address;
  std::unique_ptr<rpc_client> Client;

  client_server_fixture(const peer_handlers &Handlers,
                        const auth_keys &ServerKeys,
                        const auth_keys &ClientKeys) {
    auto Port = servePeers(
        ServerLoop,
        {.Address = "127.0.0.1:0", .Self = {"server"}, .Keys = ServerKeys},
        Handlers);
    cr_assert(isOk(Port));
    Address = "127.0.0.1:" + std::to_string(valueOf(Port));
    Client = std::make_unique<rpc_client>(
        ClientLoop, rpc_client_options{.Self = {"client"}, .Keys = ClientKeys});
  }
};

/** A listening TCP socket that never accepts a connection. */
struct unresponsive_peer {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  std::string Address;

  unresponsive_peer() {
    auto Bound = sockaddr_in{};
    Bound.sin_family = AF_INET;
    Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto Length = socklen_t{sizeof Bound};
    auto *Raw = reinterpret_cast<sockaddr *>(&Bound);
    cr_assert(::bind(Socket, Raw, Length) == 0 && ::listen(Socket, 8) == 0);
    ::getsockname(Socket, Raw, &Length);
    Address = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
  }
  ~unresponsive_peer() { ::close(Socket); }
};

} // namespace

// Guards against fields lost on the wire, record lists that exceed the message
// limit, and a state that is reassembled wrongly from its chunks.
Test(inner_rpc, all_methods_work) {
  auto Evidence = std::string{};
  auto Released = std::string{};
  auto Handlers = makeHandlers();
  Handlers.Evidence = [&](const node_id &From, const std::string &Bytes) {
    Evidence = From.Value + "/" + Bytes;
  };
  Handlers.ReleaseClaim = [&](const claim_request &Claim) {
    Released = Claim.AttemptId;
  };
  auto Fixture = client_server_fixture(Handlers, {OldKey}, {OldKey});
  auto &Client = *Fixture.Client;
  auto Wait = millis{5000};

  auto Fetched = Client.fetchRecords(Fixture.Address, {.Position = {5}}, Wait);
  cr_assert(isOk(Fetched));
  cr_assert_eq(valueOf(Fetched).Records.size(), 2,
               "the server sends at most 512 KiB");
  cr_assert_eq(valueOf(Fetched).Records[1].Offset.Value, 6);
  cr_assert_eq(valueOf(Fetched).Config.ChainHash, 7);
  auto TooOld = Client.fetchRecords(Fixture.Address, {}, Wait);
  cr_assert(isOk(TooOld) && valueOf(TooOld).Outcome == fetch_outcome::TooOld);
  auto State = Client.fetchState(Fixture.Address, Wait);
  cr_assert(isOk(State) &&
            valueOf(State) == std::string(1'000'000, 's') + "end");

  auto Exchange = membership::member_exchange{};
  Exchange.Digest.emplace().fill(3);
  Exchange.Updates.emplace_back().Member.Id.Value = "m";
  Exchange.Updates[0].Member.Revision = 4;
  auto Answer = Client.exchangeMembers(Fixture.Address, Exchange, Wait);
  cr_assert(isOk(Answer) && valueOf(Answer) == Exchange);

  auto Claim =
      claim_request{.Node = {"n"}, .Incarnation = {8}, .AttemptId = "a"};
  auto Verdicts = Client.claim(Fixture.Address, {Claim, Claim}, Wait);
  cr_assert(isOk(Verdicts) && valueOf(Verdicts).size() == 2);
  cr_assert_eq(valueOf(Verdicts)[1].HeldByIncarnation.Value, 8);
  cr_assert(isOk(Client.releaseClaim(Fixture.Address, Claim, Wait)));
  cr_assert(isOk(Client.sendEvidence(Fixture.Address, "bytes", Wait)));
  cr_assert_eq(Released, "a");
  cr_assert_eq(Evidence, "client/bytes");
  cr_assert_eq(Client.openConnections(), 1);
}

// Guards against a handshake that accepts a wrong key on either side, and
// against one that fails in the middle of a key rotation.
Test(inner_rpc, handshake_requires_a_shared_key) {
  auto Forged = auth_key{.Id = OldKey.Id, .Secret = "another-secret-of-it"};
  auto Fetch = [](const auth_keys &Server, const auth_keys &Client) {
    auto Fixture = client_server_fixture(makeHandlers(), Server, Client);
    return Fixture.Client->fetchState(Fixture.Address, millis{5000});
  };
  for (const auto &Keys : {auth_keys{Forged}, auth_keys{NewKey}}) {
    auto Refused = Fetch({OldKey}, Keys);
    cr_assert(!isOk(Refused));
    cr_assert_eq(errorOf(Refused).Code, error_code::Unauthorized);
  }
  // The server proves its key, but the client signs with a key that the server
  // does not hold.
  auto WrongClientKey = Fetch({OldKey}, {NewKey, OldKey});
  cr_assert(!isOk(WrongClientKey));
  cr_assert_eq(errorOf(WrongClientKey).Code, error_code::Unauthorized);
  cr_assert(isOk(Fetch({OldKey, NewKey}, {NewKey, OldKey})));
}

// Guards against a call to an unresponsive peer that exceeds its timeout, and
// against a client that keeps the connection.
Test(inner_rpc, call_to_unresponsive_peer_ends_at_its_timeout) {
  auto Peer = unresponsive_peer{};
  auto Loop = rpc_loop{};
  auto Client = rpc_client(Loop, {.Self = {"client"}, .Keys = {OldKey}});
  auto Begin = steadyNow();
  auto Result = Client.fetchState(Peer.Address, millis{200});
  auto Elapsed = steadyNow() - Begin;
  cr_assert(!isOk(Result));
  cr_assert_eq(errorOf(Result).Code, error_code::Unreachable,
               "the request was never sent");
  cr_assert(Elapsed >= millis{200} && Elapsed < millis{5000});
  cr_assert_eq(Client.openConnections(), 0);
}

// Guards against a slow handler that blocks the event loop, and against a
// timeout of a sent request that is reported as Unreachable.
Test(inner_rpc, slow_claim_times_out_without_blocking_other_calls) {
  auto Release = std::promise<void>{};
  auto Released = Release.get_future().share();
  auto Handlers = makeHandlers();
  Handlers.Claim = [Released](const auto &Batch) {
    Released.wait();
    return std::vector<claim_verdict>(Batch.size());
  };
  auto Fixture = client_server_fixture(Handlers, {OldKey}, {OldKey});
  // The handler returns after both calls, so the second one fails if the loop
  // is blocked.
  auto Slow =
      Fixture.Client->claim(Fixture.Address, {claim_request{}}, millis{300});
  auto Concurrent = Fixture.Client->fetchRecords(
      Fixture.Address, {.Position = {9}}, millis{5000});
  Release.set_value();
  cr_assert(isOk(Concurrent));
  cr_assert(!isOk(Slow));
  cr_assert_eq(errorOf(Slow).Code, error_code::Timeout);
}

// Guards against more than four concurrent state transfers.
Test(inner_rpc, excess_state_transfers_are_rejected_as_overloaded) {
  auto Release = std::promise<void>{};
  auto Released = Release.get_future().share();
  auto Handlers = makeHandlers();
  Handlers.FetchState = [Released]() -> result<std::string> {
    Released.wait();
    return std::string("state");
  };
  auto Fixture = client_server_fixture(Handlers, {OldKey}, {OldKey});
  auto Refused = std::atomic<int>{0};
  auto Served = std::atomic<int>{0};
  auto Threads = std::vector<std::thread>{};
  for (auto Index = 0; Index < 6; ++Index) {
    Threads.emplace_back([&]() {
      auto Result = Fixture.Client->fetchState(Fixture.Address, millis{20'000});
      if (isOk(Result)) {
        ++Served;
      } else if (errorOf(Result).Code == error_code::Overloaded &&
                 ++Refused == 2) {
        Release.set_value();
      }
    });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  cr_assert_eq(Refused.load(), 2);
  cr_assert_eq(Served.load(), 4);
}

// Guards against clients that hold connections open without authentication.
Test(inner_rpc, connection_without_handshake_is_closed) {
  auto Loop = rpc_loop({.HandshakeTimeout = millis{1}});
  auto Port = servePeers(
      Loop, {.Address = "127.0.0.1:0", .Self = {"server"}, .Keys = {OldKey}},
      {});
  cr_assert(isOk(Port));
  auto Target = sockaddr_in{};
  Target.sin_family = AF_INET;
  Target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Target.sin_port = htons(valueOf(Port));
  auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  cr_assert(::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                      sizeof Target) == 0);
  // The read ends when the server closes the connection.
  auto Byte = char{0};
  cr_assert_eq(::read(Socket, &Byte, 1), 0);
  ::close(Socket);
}

// Guards against a pooled connection to a restarted peer that makes all later
// calls fail, and against a pool that grows without limit.
Test(inner_rpc, client_reconnects_to_restarted_peer_and_bounds_its_pool) {
  auto ClientLoop = rpc_loop{};
  auto Client = rpc_client(
      ClientLoop, {.Self = {"client"}, .Keys = {OldKey}, .MaxConnections = 2});
  auto Serve = [](rpc_loop &Loop, const std::string &Address) {
    auto Port = servePeers(
        Loop, {.Address = Address, .Self = {"server"}, .Keys = {OldKey}},
        makeHandlers());
    cr_assert(isOk(Port));
    return "127.0.0.1:" + std::to_string(valueOf(Port));
  };
  auto Fetch = [&](const std::string &Address) {
    return isOk(Client.fetchRecords(Address, {}, millis{5000}));
  };
  auto First = std::make_unique<rpc_loop>();
  auto Address = Serve(*First, "127.0.0.1:0");
  cr_assert(Fetch(Address));
  First.reset();
  First = std::make_unique<rpc_loop>();
  Serve(*First, Address);
  // The first call may still use the connection that is being closed.
  cr_assert(Fetch(Address) || Fetch(Address));
  for (auto Index = 0; Index < 3; ++Index) {
    cr_assert(Fetch(Serve(*First, "127.0.0.1:0")));
    cr_assert_leq(Client.openConnections(), 2);
  }
}
