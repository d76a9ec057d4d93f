/** @file record_codec.cpp Encoding of log records as JSON. */
#include "sycamorelb/config/record_type.h"

#include "config/base64_func.h"
#include "config/declaration_json.h"
#include "config/json_read.h"
#include "config/json_text.h"
#include "sycamorelb/config/checkpoint_func.h"

#include <utility>

namespace sycamorelb::config {

using nlohmann::json;

/** Maximum length of a checkpoint id and of a name in a record. */
static constexpr std::size_t MaxIdBytes = 128;
/** Maximum number of parts of a checkpoint. */
static constexpr std::uint32_t MaxParts = 4096;

static auto bodyToJson(const apply_record &Body) -> json {
  // Only makeApply and decodeRecord create patches, so the text is valid JSON.
  return {{"type", "apply"},
          {"base", Body.Base.Value},
          {"patch", json::parse(Body.Patch, nullptr, false)}};
}

static auto bodyToJson(const zone_record &Body) -> json {
  return {{"type", "zone"},
          {"zone", Body.Zone.Value},
          {"in_service", Body.InService}};
}

static auto bodyToJson(const move_start_record &Body) -> json {
  return {{"type", "move_start"}, {"move", moveToJson(Body.Move)}};
}

static auto bodyToJson(const move_step_record &Body) -> json {
  return {{"type", "move_step"},
          {"move", Body.Move.Value},
          {"step", Body.Step},
          {"share_ppm", Body.Share.Value}};
}

static auto bodyToJson(const move_verdict_record &Body) -> json {
  return {{"type", "move_verdict"},
          {"move", Body.Move.Value},
          {"verdict", Body.Phase == move_phase::Done ? "done" : "taken_back"},
          {"reason", Body.Reason}};
}

static auto bodyToJson(const checkpoint_part &Body) -> json {
  return {{"type", "checkpoint"},
          {"id", Body.Id},
          {"index", Body.Index},
          {"count", Body.Count},
          {"position", Body.Position.Value},
          {"hash", Body.Hash},
          {"data", encodeBase64(Body.Data)}};
}

auto encodeRecord(const record &Record) -> std::string {
  auto Root = std::visit([](const auto &Body) { return bodyToJson(Body); },
                         Record.Body);
  Root["at_ms"] = Record.At.Value;
  if (!std::holds_alternative<checkpoint_part>(Record.Body)) {
    Root["request"] = Record.Request.Value;
  }
  return Root.dump(-1, ' ', false, json::error_handler_t::replace);
}

static auto corrupt(const std::string &Message) -> error {
  return {error_code::Corrupt, "decode record", "", Message};
}

static auto readPart(json_reader &Reader) -> checkpoint_part {
  auto Part = checkpoint_part();
  Part.Id = Reader.text("id", MaxIdBytes);
  Part.Count = static_cast<std::uint32_t>(Reader.number("count", MaxParts));
  Part.Index = static_cast<std::uint32_t>(Reader.number("index", MaxParts));
  Part.Position = {Reader.number("position")};
  Part.Hash = Reader.number("hash");
  auto Data = decodeBase64(Reader.text("data", MaxPartBytes));
  if (Part.Index >= Part.Count) {
    Reader.markInvalid("index");
  }
  if (Data) {
    Part.Data = std::move(*Data);
  } else {
    Reader.markInvalid("data");
  }
  return Part;
}

static auto readVerdict(json_reader &Reader) -> move_verdict_record {
  auto Body = move_verdict_record();
  Body.Move = {Reader.text("move", MaxIdBytes)};
  auto Verdict = Reader.text("verdict", MaxIdBytes);
  Body.Phase = Verdict == "done" ? move_phase::Done : move_phase::TakenBack;
  if (Verdict != "done" && Verdict != "taken_back") {
    Reader.markInvalid("verdict");
  }
  Body.Reason = Reader.text("reason", MaxReasonBytes);
  return Body;
}

static auto readStep(json_reader &Reader) -> move_step_record {
  auto Body = move_step_record();
  Body.Move = {Reader.text("move", MaxIdBytes)};
  Body.Step = static_cast<std::uint32_t>(
      Reader.number("step", std::numeric_limits<std::uint32_t>::max()));
  Body.Share = {
      static_cast<std::uint32_t>(Reader.number("share_ppm", FullShare.Value))};
  return Body;
}

static auto readStart(json_reader &Reader) -> move_start_record {
  const auto *Move = Reader.any("move");
  if (Move == nullptr || !checkMoveJson(*Move).empty()) {
    Reader.markInvalid("move");
    return {};
  }
  return {moveFromJson(*Move)};
}

static auto readApply(json_reader &Reader) -> apply_record {
  auto Base = Reader.number("base");
  const auto *Patch = Reader.any("patch");
  if (Patch == nullptr || !Patch->is_array()) {
    Reader.markInvalid("patch");
    return {};
  }
  return {{Base}, Patch->dump()};
}

/** Sets Record.Body.
 * @return whether the type is known. */
static auto readBody(const std::string &Type, json_reader &Reader,
                     record &Record) -> bool {
  if (Type == "apply") {
    Record.Body = readApply(Reader);
  } else if (Type == "zone") {
    auto Zone = zone_id{Reader.text("zone", MaxIdBytes)};
    Record.Body = zone_record{std::move(Zone), Reader.boolean("in_service")};
  } else if (Type == "move_start") {
    Record.Body = readStart(Reader);
  } else if (Type == "move_step") {
    Record.Body = readStep(Reader);
  } else if (Type == "move_verdict") {
    Record.Body = readVerdict(Reader);
  } else if (Type == "checkpoint") {
    Record.Body = readPart(Reader);
  } else {
    return false;
  }
  return true;
}

auto decodeRecord(std::string_view Bytes) -> result<record> {
  if (Bytes.size() > MaxRecordBytes) {
    return corrupt("longer than " + std::to_string(MaxRecordBytes) + " bytes");
  }
  auto Document = json_document();
  if (parseJson(Bytes, Document) || !Document.Duplicates.empty()) {
    return corrupt("not JSON with unique keys");
  }
  auto Reader = json_reader(Document.Root);
  auto Record = record();
  auto Type = Reader.text("type", MaxIdBytes);
  Record.At = {Reader.integer("at_ms")};
  if (Type != "checkpoint") {
    Record.Request = {Reader.text("request", MaxRequestIdBytes)};
    if (Record.Request.Value.empty()) {
      Reader.markInvalid("request");
    }
  }
  if (!Reader.invalidMember() && !readBody(Type, Reader, Record)) {
    return corrupt("unknown record type");
  }
  if (Reader.invalidMember()) {
    return corrupt("member \"" + *Reader.invalidMember() +
                   "\" is missing or invalid");
  }
  return Record;
}

auto decodeRequestId(std::string_view Bytes) -> std::optional<request_id> {
  if (Bytes.size() > MaxRecordBytes) {
    return std::nullopt;
  }
  auto Document = json_document();
  if (parseJson(Bytes, Document) || !Document.Duplicates.empty()) {
    return std::nullopt;
  }
  auto Reader = json_reader(Document.Root);
  auto Id = request_id{Reader.text("request", MaxRequestIdBytes)};
  if (Id.Value.empty()) {
    return std::nullopt;
  }
  return Id;
}

auto makeApply(const config_state &Current, const declaration &Target,
               const request_id &Request, wall_ms At) -> record {
  auto Patch = json::diff(declarationToJson(Current.Declared),
                          declarationToJson(Target));
  auto Text = Patch.dump(-1, ' ', false, json::error_handler_t::replace);
  return {Request, At, apply_record{Current.Version, std::move(Text)}};
}

} // namespace sycamorelb::config
