/** @file proxy_registry_test.cpp Tests of the connection registry. */
#include "proxy/server_connection.h"
#include "sycamorelb/core/clock_func.h"

#include <array>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sycamorelb;
using namespace sycamorelb::proxy;

/** @return whether the other end of the connection still accepts data. */
static auto isOpen(int Fd) -> bool {
  auto Byte = std::array<char, 1>{'x'};
  return ::send(Fd, Byte.data(), 1, MSG_NOSIGNAL) == 1;
}

// Guards against a sweeper that closes a new connection before its first
// request. The deadline used to be set after the registration, so that in
// between the connection counted as expired and its caller got no response.
Test(proxy_registry, a_new_connection_is_not_closed_before_its_deadline) {
  auto Ends = std::array<int, 2>{};
  cr_assert(::socketpair(AF_UNIX, SOCK_STREAM, 0, Ends.data()) == 0);
  auto Registry = connection_registry();
  auto Now = steadyNow();
  auto *Connection = Registry.add(Ends[0], 8, Now + millis(5000));
  cr_assert(Connection != nullptr);
  Registry.shutdownExpired(Now);
  cr_assert(isOpen(Ends[1]));
  Registry.shutdownExpired(Now + millis(5001));
  cr_assert(!isOpen(Ends[1]));
  Registry.remove(*Connection);
  ::close(Ends[1]);
}
