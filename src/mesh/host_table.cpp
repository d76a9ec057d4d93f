/** @file host_table.cpp Merging of host records. */
#include "sycamorelb/mesh/host_table.h"

#include "sycamorelb/core/hash_func.h"

#include <tuple>

namespace sycamorelb::mesh {

auto isAbout(const target_notice &Notice, const target_record &Target) -> bool {
  return !Notice.Target.Value.empty() && Notice.Target == Target.Id &&
         Notice.StartedAtMs == Target.StartedAtMs;
}

auto isNewer(const host_record &Left, const host_record &Right) -> bool {
  return std::tie(Left.Incarnation, Left.Revision) >
         std::tie(Right.Incarnation, Right.Revision);
}

/** @return the contribution of a record to the digest. */
static auto recordDigest(const host_record &Record) -> std::uint64_t {
  return hash64(Record.Node.Value,
                Record.Incarnation * 0x9e3779b97f4a7c15ULL + Record.Revision);
}

auto host_table::merge(const host_record &Record) -> bool {
  auto [Found, IsNew] = Records.try_emplace(Record.Node, Record);
  if (!IsNew) {
    if (!isNewer(Record, Found->second)) {
      return false;
    }
    Digest ^= recordDigest(Found->second);
    if (Found->second.Incarnation < Record.Incarnation &&
        Found->second.Target.State != target_state::Absent) {
      PreviousRecords[Record.Node] = Found->second;
    }
    Found->second = Record;
  }
  Digest ^= recordDigest(Record);
  return true;
}

auto host_table::findPrevious(const node_id &Node) const
    -> const host_record * {
  auto Found = PreviousRecords.find(Node);
  return Found == PreviousRecords.end() ? nullptr : &Found->second;
}

void host_table::erase(const node_id &Node) {
  auto Found = Records.find(Node);
  if (Found != Records.end()) {
    Digest ^= recordDigest(Found->second);
    Records.erase(Found);
  }
}

auto host_table::find(const node_id &Node) const -> const host_record * {
  auto Found = Records.find(Node);
  return Found == Records.end() ? nullptr : &Found->second;
}

} // namespace sycamorelb::mesh
