/** @file inner_frame_test.cpp Tests of the compression of messages between
 * nodes. */
#include "sidecar/message_sample.h"
#include "sycamorelb/inner/frame_compression.h"
#include "sycamorelb/inner/mesh_message_type.h"

#include <criterion/criterion.h>
#include <cstring>
#include <rapidcheck.h>

using namespace sycamorelb;
using namespace sycamorelb::inner;

static constexpr auto Now = steady_time(micros(5'000'000));

static auto makeCall() -> std::string {
  auto Forward = forward_message();
  Forward.Call = {4711};
  Forward.Service = {"huvo11a"};
  Forward.Version = {"v2"};
  Forward.Route = {"r-gmf2ben"};
  Forward.CallerService = {"xano55b"};
  Forward.Request.Method = "GET";
  Forward.Request.Target = "/lepu270/2f";
  Forward.Request.Headers = {{"Host", "jepu9.example"},
                             {"Request-Id", "9c41d07be2a35f68"},
                             {"Deadline-Milliseconds", "1200"}};
  Forward.TimeLeft = micros(1'200'000);
  return encodeMeshMessage(Forward, Now);
}

// Guards against messages that change on the way, whatever they contain.
Test(inner_frame, any_message_is_restored) {
  cr_assert(rc::check("messages", [] {
    auto Sender = frame_compressor(sidecar::sampleMessages());
    auto Receiver = frame_compressor(sidecar::sampleMessages());
    for (auto Count = *rc::gen::inRange(1, 4); Count > 0; --Count) {
      auto Message = *rc::gen::element<std::string>(
          makeCall(), std::string(50'000, 'a'), std::string("x"));
      Message += *rc::gen::string<std::string>();
      auto Frame = Sender.compress(Message);
      RC_ASSERT(Frame.size() <= Message.size());
      if (Frame == Message) {
        continue;
      }
      RC_ASSERT(isCompressedFrame(Frame));
      for (auto Size : {std::size_t{0}, std::size_t{7}, Frame.size() - 1}) {
        auto Partial = Receiver.expand(Frame.substr(0, Size));
        RC_ASSERT(isOk(Partial));
        RC_ASSERT(!valueOf(Partial).has_value());
      }
      auto Restored = Receiver.expand(Frame + "next");
      RC_ASSERT(isOk(Restored));
      RC_ASSERT(valueOf(Restored)->Message == Message);
      RC_ASSERT(valueOf(Restored)->EncodedBytes == Frame.size());
    }
  }));
}

// Guards against a dictionary that no longer resembles the calls.
Test(inner_frame, a_call_takes_half) {
  auto Compressor = frame_compressor(sidecar::sampleMessages());
  auto Call = makeCall();
  auto Frame = Compressor.compress(Call);
  cr_assert_leq(2 * Frame.size(), Call.size(), "%zu of %zu bytes", Frame.size(),
                Call.size());
}

// Guards against crashes, and against memory for sizes that are false.
Test(inner_frame, corrupted_frames_are_rejected_or_incomplete) {
  auto Compressor = frame_compressor(sidecar::sampleMessages());
  const auto Frame = Compressor.compress(makeCall());
  cr_assert(rc::check("corrupted", [&] {
    auto Bytes = Frame;
    for (auto Changes = *rc::gen::inRange(1, 6); Changes > 0; --Changes) {
      auto Index = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[Index] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    auto Expanded = Compressor.expand(Bytes);
    if (isOk(Expanded) && valueOf(Expanded)) {
      decodeMeshMessage(valueOf(Expanded)->Message, Now);
    }
  }));
  for (auto Size : {std::uint32_t{0}, std::uint32_t{1}, std::uint32_t{1} << 24U,
                    ~std::uint32_t{0}}) {
    auto Bytes = Frame;
    std::memcpy(Bytes.data() + 4, &Size, sizeof(Size));
    cr_assert_not(isOk(Compressor.expand(Bytes)), "%u", Size);
  }
  // It still works after all that.
  cr_assert_eq(valueOf(Compressor.expand(Frame))->Message, makeCall());
}

// Guards against texts that differ between processes of one build.
Test(inner_frame, dictionary_is_the_same_everywhere) {
  cr_assert_eq(frame_compressor(sidecar::sampleMessages()).dictionaryId(),
               frame_compressor(sidecar::sampleMessages()).dictionaryId());
  cr_assert_neq(frame_compressor("").dictionaryId(), 0U);
}
