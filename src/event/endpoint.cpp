/** @file endpoint.cpp Text and system form of TCP endpoints. */
#include "event/socket_address.h"

#include <arpa/inet.h>
#include <charconv>

namespace sycamorelb::event {

auto parseEndpoint(std::string_view Text) -> result<endpoint> {
  auto Colon = Text.rfind(':');
  auto Endpoint = endpoint();
  auto Address = in_addr();
  if (Colon != std::string_view::npos) {
    Endpoint.Host = std::string(Text.substr(0, Colon));
    auto Digits = Text.substr(Colon + 1);
    auto Parsed = std::from_chars(Digits.data(), Digits.data() + Digits.size(),
                                  Endpoint.Port);
    if (Parsed.ec == std::errc() && Endpoint.Port != 0 &&
        Parsed.ptr == Digits.data() + Digits.size() &&
        inet_pton(AF_INET, Endpoint.Host.c_str(), &Address) == 1) {
      return Endpoint;
    }
  }
  return error{error_code::InvalidArgument, "parse_endpoint", "",
               "\"" + std::string(Text) + "\" is not IP:PORT"};
}

auto formatEndpoint(const endpoint &Endpoint) -> std::string {
  return Endpoint.Host + ":" + std::to_string(Endpoint.Port);
}

auto socketAddress(const endpoint &Endpoint) -> sockaddr_in {
  auto Address = sockaddr_in();
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Endpoint.Port);
  inet_pton(AF_INET, Endpoint.Host.c_str(), &Address.sin_addr);
  return Address;
}

} // namespace sycamorelb::event
