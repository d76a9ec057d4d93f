/** @file auth_func.cpp Authentication between nodes with shared keys. */
#include "sycamorelb/inner/auth_func.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <memory>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <set>
#include <stdexcept>

namespace sycamorelb::inner {

namespace {

/** First byte of each datagram; version of the header and payload format. */
constexpr char DatagramFormat = 1;
constexpr std::size_t MinSecretBytes = 16;

/** HMAC context of one thread. It is reused, because looking up the algorithm
 * costs more than hashing a short message. */
struct mac_context {
  EVP_MAC *Algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  EVP_MAC_CTX *Context = EVP_MAC_CTX_new(Algorithm);

  mac_context() {
    auto Digest = std::array<char, 7>{"SHA256"};
    auto Params =
        std::array<OSSL_PARAM, 2>{OSSL_PARAM_construct_utf8_string(
                                      OSSL_MAC_PARAM_DIGEST, Digest.data(), 0),
                                  OSSL_PARAM_construct_end()};
    if (EVP_MAC_CTX_set_params(Context, Params.data()) != 1) {
      throw std::runtime_error("OpenSSL offers no HMAC-SHA256");
    }
  }
  ~mac_context() {
    EVP_MAC_CTX_free(Context);
    EVP_MAC_free(Algorithm);
  }
  mac_context(const mac_context &) = delete;
  auto operator=(const mac_context &) -> mac_context & = delete;
};

auto asUnsigned(std::string_view Bytes) -> const unsigned char * {
  return reinterpret_cast<const unsigned char *>(Bytes.data());
}

auto toHex(const mac &Mac) -> std::string {
  constexpr auto Digits = std::string_view{"0123456789abcdef"};
  auto Text = std::string{};
  for (auto Byte : Mac) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

/** Parses a decimal number; the whole text must match. */
template <class T> auto parseNumber(std::string_view Text, T &Number) -> bool {
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Error == std::errc{} && End == Text.data() + Text.size();
}

/** @return the bytes of a request that its signature covers. Each part has a
 * length prefix, so that different requests never yield equal bytes. */
auto signedRequestBytes(std::string_view Time, std::string_view Method,
                        std::string_view Path, std::string_view AttemptId)
    -> std::string {
  auto Bytes = std::string{};
  Bytes.reserve(Time.size() + Method.size() + Path.size() + AttemptId.size() +
                16);
  for (auto Part : {Time, Method, Path, AttemptId}) {
    auto Length = static_cast<std::uint32_t>(Part.size());
    Bytes.append(reinterpret_cast<const char *>(&Length), sizeof Length);
    Bytes.append(Part);
  }
  return Bytes;
}

} // namespace

auto checkKeys(const auth_keys &Keys) -> result<done> {
  auto Ids = std::set<std::uint32_t>{};
  for (const auto &Key : Keys) {
    if (Key.Secret.size() < MinSecretBytes || !Ids.insert(Key.Id).second) {
      return error{.Code = error_code::InvalidArgument,
                   .Step = "check keys",
                   .Peer = {},
                   .Message = "key " + std::to_string(Key.Id) +
                              " is repeated or shorter than 16 bytes"};
    }
  }
  if (Keys.empty()) {
    return error{.Code = error_code::InvalidArgument,
                 .Step = "check keys",
                 .Peer = {},
                 .Message = "the key list is empty"};
  }
  return done{};
}

auto computeMac(const auth_key &Key, auth_purpose Purpose,
                std::string_view Data) -> mac {
  thread_local auto Thread = mac_context{};
  auto Label = static_cast<unsigned char>(Purpose);
  auto Full = std::array<unsigned char, 32>{};
  auto Length = std::size_t{0};
  if (EVP_MAC_init(Thread.Context, asUnsigned(Key.Secret), Key.Secret.size(),
                   nullptr) != 1 ||
      EVP_MAC_update(Thread.Context, &Label, 1) != 1 ||
      EVP_MAC_update(Thread.Context, asUnsigned(Data), Data.size()) != 1 ||
      EVP_MAC_final(Thread.Context, Full.data(), &Length, Full.size()) != 1) {
    throw std::runtime_error("HMAC-SHA256 failed");
  }
  auto Mac = mac{};
  std::copy_n(Full.begin(), Mac.size(), Mac.begin());
  return Mac;
}

auto verifyMac(const auth_keys &Keys, std::uint32_t KeyId, auth_purpose Purpose,
               std::string_view Data, std::string_view Mac) -> bool {
  auto Key = std::find_if(Keys.begin(), Keys.end(), [&](const auto &Candidate) {
    return Candidate.Id == KeyId;
  });
  if (Key == Keys.end() || Mac.size() != MacBytes) {
    return false;
  }
  auto Expected = computeMac(*Key, Purpose, Data);
  return CRYPTO_memcmp(Expected.data(), Mac.data(), MacBytes) == 0;
}

auto signDatagram(const auth_keys &Keys, std::string_view Payload)
    -> std::string {
  const auto &Key = Keys.front();
  auto Mac = computeMac(Key, auth_purpose::Datagram, Payload);
  auto Bytes = std::string{};
  Bytes.reserve(DatagramOverhead + Payload.size());
  Bytes += DatagramFormat;
  for (auto Shift = 0U; Shift < 32; Shift += 8) {
    Bytes += static_cast<char>(Key.Id >> Shift);
  }
  Bytes.append(reinterpret_cast<const char *>(Mac.data()), Mac.size());
  Bytes.append(Payload);
  return Bytes;
}

auto verifyDatagram(const auth_keys &Keys, std::string_view Bytes)
    -> result<std::string_view> {
  auto Failure = error{.Code = error_code::Unauthorized,
                       .Step = "verify datagram",
                       .Peer = {},
                       .Message = "invalid header, key id or MAC"};
  if (Bytes.size() < DatagramOverhead || Bytes[0] != DatagramFormat) {
    return Failure;
  }
  auto KeyId = std::uint32_t{0};
  for (auto Index = 0U; Index < 4; ++Index) {
    KeyId |= std::uint32_t{static_cast<std::uint8_t>(Bytes[1 + Index])}
             << (8 * Index);
  }
  auto Payload = Bytes.substr(DatagramOverhead);
  if (!verifyMac(Keys, KeyId, auth_purpose::Datagram, Payload,
                 Bytes.substr(5, MacBytes))) {
    return Failure;
  }
  return Payload;
}

auto isWithinAuthWindow(wall_ms SentAt, wall_ms Now) -> bool {
  auto Window = AuthWindow.count();
  // SentAt is untrusted; a subtraction from it could overflow.
  return SentAt.Value >= Now.Value - Window &&
         SentAt.Value <= Now.Value + Window;
}

auto makeRequestAuth(const auth_keys &Keys, std::string_view Method,
                     std::string_view Path, std::string_view AttemptId,
                     wall_ms Now) -> std::string {
  const auto &Key = Keys.front();
  auto Time = std::to_string(Now.Value);
  auto Mac = computeMac(Key, auth_purpose::Request,
                        signedRequestBytes(Time, Method, Path, AttemptId));
  return std::to_string(Key.Id) + "." + Time + "." + toHex(Mac);
}

auto checkRequestAuth(const auth_keys &Keys, std::string_view Header,
                      std::string_view Method, std::string_view Path,
                      std::string_view AttemptId, wall_ms Now) -> bool {
  auto First = Header.find('.');
  auto Second = Header.find('.', First == Header.npos ? First : First + 1);
  if (Second == Header.npos || Header.size() - Second - 1 != 2 * MacBytes) {
    return false;
  }
  auto KeyId = std::uint32_t{0};
  auto SentAt = wall_ms{};
  auto Time = Header.substr(First + 1, Second - First - 1);
  if (!parseNumber(Header.substr(0, First), KeyId) ||
      !parseNumber(Time, SentAt.Value) || !isWithinAuthWindow(SentAt, Now)) {
    return false;
  }
  auto Key = std::find_if(Keys.begin(), Keys.end(), [&](const auto &Candidate) {
    return Candidate.Id == KeyId;
  });
  if (Key == Keys.end()) {
    return false;
  }
  auto Expected =
      toHex(computeMac(*Key, auth_purpose::Request,
                       signedRequestBytes(Time, Method, Path, AttemptId)));
  return CRYPTO_memcmp(Expected.data(), Header.data() + Second + 1,
                       Expected.size()) == 0;
}

} // namespace sycamorelb::inner
