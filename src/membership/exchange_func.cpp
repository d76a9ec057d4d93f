/** @file exchange_func.cpp Anti-entropy exchange of member tables. */
#include "sycamorelb/membership/exchange_func.h"

#include "membership/gossip.h"
#include "sycamorelb/core/hash_func.h"

#include <algorithm>

namespace sycamorelb::membership {

namespace {

using digest = std::array<std::uint64_t, DigestBuckets>;

auto bucketOf(const node_id &Id) -> std::size_t {
  return hash64(Id.Value) % DigestBuckets;
}

/** @return one hash per bucket over the members that are not dead. Tombstones
 * are left out, because nodes delete them at different times. */
auto digestOf(const member_table &Table) -> digest {
  auto Digest = digest{};
  for (const auto &[Id, Entry] : Table.Entries) {
    const auto &Member = Entry.Member;
    if (Member.State != member_state::Dead) {
      auto Key = Id.Value + '\0' + std::to_string(Member.Incarnation.Value) +
                 ':' + std::to_string(static_cast<int>(Member.State)) + ':' +
                 std::to_string(Member.Revision);
      Digest.at(bucketOf(Id)) ^= hash64(Key);
    }
  }
  return Digest;
}

auto updateOf(const member_entry &Entry, instant Now) -> member_update {
  auto Update = member_update{.Member = Entry.Member};
  if (Entry.Member.State == member_state::Dead) {
    Update.DeadFor =
        std::max(millis{0},
                 std::chrono::duration_cast<millis>(Now.Steady - Entry.DeadAt));
  }
  return Update;
}

auto updatesInDifferingBuckets(const member_table &Table,
                               const digest &OwnDigest,
                               const digest &PeerDigest, instant Now)
    -> std::vector<member_update> {
  auto Updates = std::vector<member_update>{};
  for (const auto &[Id, Entry] : Table.Entries) {
    auto Bucket = bucketOf(Id);
    if (OwnDigest.at(Bucket) != PeerDigest.at(Bucket)) {
      Updates.push_back(updateOf(Entry, Now));
    }
  }
  return Updates;
}

} // namespace

auto beginExchange(const member_table &Table) -> member_exchange {
  return {.Digest = digestOf(Table), .Updates = {}};
}

auto answerExchange(member_table &Table, const member_exchange &Request,
                    instant Now) -> exchange_answer {
  auto Answer = exchange_answer{};
  if (!isParticipating(Table)) {
    return Answer;
  }
  if (Request.Digest) {
    Answer.Answer.Digest = digestOf(Table);
    Answer.Answer.Updates = updatesInDifferingBuckets(
        Table, *Answer.Answer.Digest, *Request.Digest, Now);
  }
  for (const auto &Update : Request.Updates) {
    mergeMember(Table, Update, Now, Answer.Effects);
  }
  flushUrgent(Table, Now, Answer.Effects);
  return Answer;
}

auto finishExchange(member_table &Table, const member_exchange &Answer,
                    instant Now) -> exchange_result {
  auto Result = exchange_result{};
  if (!isParticipating(Table)) {
    return Result;
  }
  auto OwnDigest = digestOf(Table);
  for (const auto &Update : Answer.Updates) {
    mergeMember(Table, Update, Now, Result.Effects);
  }
  auto PeerRecords = std::map<node_id, member>{};
  for (const auto &Update : Answer.Updates) {
    PeerRecords[Update.Member.Id] = Update.Member;
  }
  auto FollowUp = member_exchange{};
  for (auto &Update : updatesInDifferingBuckets(
           Table, OwnDigest, Answer.Digest.value_or(OwnDigest), Now)) {
    auto Known = PeerRecords.find(Update.Member.Id);
    if (Known == PeerRecords.end() ||
        mergeRecords(Known->second, Update.Member) != Known->second) {
      FollowUp.Updates.push_back(std::move(Update));
    }
  }
  if (!FollowUp.Updates.empty()) {
    Result.FollowUp = std::move(FollowUp);
  }
  flushUrgent(Table, Now, Result.Effects);
  return Result;
}

} // namespace sycamorelb::membership
