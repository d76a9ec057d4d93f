/** @file claim_replay.cpp Replay and expiry of claims. */
#include "sycamorelb/claims/claim_func.h"

#include <algorithm>
#include <openssl/sha.h>

namespace sycamorelb::claims {

auto claimKey(const service_id &Service, std::string_view IdempotencyKey)
    -> claim_key {
  // The length prefix distinguishes ("ab", "c") from ("a", "bc").
  auto Input = std::to_string(Service.Value.size()) + ":" + Service.Value;
  Input += IdempotencyKey;
  auto Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  SHA256(reinterpret_cast<const unsigned char *>(Input.data()), Input.size(),
         Digest.data());
  auto Key = claim_key{};
  std::copy_n(Digest.begin(), Key.Bytes.size(), Key.Bytes.begin());
  return Key;
}

auto partitionOf(const claim_key &Key) -> std::uint32_t {
  return Key.Bytes.back() % Partitions;
}

auto streamName(std::uint32_t Partition) -> std::string {
  return "claims-" + std::to_string(Partition);
}

auto emptyTable(log_offset Start) -> claim_table {
  auto Table = claim_table{};
  Table.Start = Start;
  Table.Next = Start;
  return Table;
}

/** @return whether claims before Start may still be valid for other readers. */
static auto isUncertain(const claim_table &Table) -> bool {
  return Table.ExpiredBelow < Table.Start;
}

/** Removes items of ExpiryQueue whose key was released or claimed again, so
 * that its size is bounded by the number of claims in the table. */
static void compactExpiryQueue(claim_table &Table) {
  constexpr auto Slack = std::size_t{1024};
  if (Table.ExpiryQueue.size() <= 2 * Table.Entries.size() + Slack) {
    return;
  }
  std::erase_if(Table.ExpiryQueue, [&Table](const auto &Item) {
    auto Found = Table.Entries.find(Item.second);
    return Found == Table.Entries.end() ||
           Found->second.LastOffset != Item.first;
  });
}

static void applyClaim(claim_table &Table, log_offset Offset,
                       const claim_record &Record) {
  auto Found = Table.Entries.find(Record.Key);
  if (Found == Table.Entries.end()) {
    if (Table.Entries.size() >= MaxTableClaims) {
      Table.Overflowed = true;
      return;
    }
    Table.Entries.emplace(Record.Key, claim_entry{Record.Claimant, Offset, 0,
                                                  isUncertain(Table)});
  } else if (Found->second.Uncertain) {
    // Another reader may regard this claim as the winner.
    Found->second.LastOffset = Offset;
  } else {
    return;
  }
  Table.ExpiryQueue.emplace_back(Offset, Record.Key);
  compactExpiryQueue(Table);
}

static void applyRecord(claim_table &Table, log_offset Offset,
                        const claim_record &Record) {
  if (Record.Action == claim_action::Claim) {
    applyClaim(Table, Offset, Record);
    return;
  }
  auto Found = Table.Entries.find(Record.Key);
  if (Found == Table.Entries.end() || Found->second.Uncertain ||
      Found->second.Holder != Record.Claimant || Found->second.Status != 0) {
    return;
  }
  if (Record.Action == claim_action::Release) {
    Table.Entries.erase(Found);
  } else {
    Found->second.Status = Record.Status;
  }
}

void expire(claim_table &Table, log_offset Below) {
  if (Below <= Table.ExpiredBelow) {
    return;
  }
  Table.ExpiredBelow = Below;
  while (!Table.ExpiryQueue.empty() &&
         Table.ExpiryQueue.front().first < Below) {
    auto Found = Table.Entries.find(Table.ExpiryQueue.front().second);
    if (Found != Table.Entries.end() && Found->second.LastOffset < Below) {
      Table.Entries.erase(Found);
    }
    Table.ExpiryQueue.pop_front();
  }
}

void replayClaims(claim_table &Table, log_offset Offset,
                  const claim_batch &Batch) {
  if (Offset < Table.Next) {
    return;
  }
  // A batch can't expire itself or later records.
  expire(Table, std::min(Batch.ExpiredBelow, Offset));
  for (const auto &Record : Batch.Records) {
    applyRecord(Table, Offset, Record);
  }
  Table.Next = {Offset.Value + 1};
}

void skipCorruptRecord(claim_table &Table, log_offset Offset) {
  Table.Next = std::max(Table.Next, log_offset{Offset.Value + 1});
}

auto decide(const claim_table &Table, const claim_key &Key,
            const claimant &Claimant) -> claim_answer {
  if (Table.Overflowed) {
    return refused{"the table of the partition overflowed"};
  }
  auto Found = Table.Entries.find(Key);
  if (Found == Table.Entries.end()) {
    return refused{"the claim was released or has expired"};
  }
  const auto &Entry = Found->second;
  if (Entry.Uncertain || Entry.Holder != Claimant || Entry.Status != 0) {
    return held{Entry.Uncertain ? std::uint16_t{0} : Entry.Status};
  }
  return granted{};
}

} // namespace sycamorelb::claims
