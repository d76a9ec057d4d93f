/** @file claim_replay.cpp Replay of claims and their expiry. */
#include "sycamorelb/claims/claim_func.h"

#include <algorithm>
#include <openssl/sha.h>

namespace sycamorelb::claims {

auto claimKey(const service_id &Service, std::string_view IdempotencyKey)
    -> claim_key {
  // The length keeps ("ab", "c") apart from ("a", "bc").
  auto Text = std::to_string(Service.Value.size()) + ":" + Service.Value;
  Text += IdempotencyKey;
  auto Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
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

/** @return whether claims before Start can still be in force elsewhere. */
static auto isUncertain(const claim_table &Table) -> bool {
  return Table.ExpiredBelow < Table.Start;
}

/** Removes entries of Order whose claim was released or claimed again, so that
 * Order stays in proportion to the claims in force. */
static void compactOrder(claim_table &Table) {
  constexpr auto Slack = std::size_t{1024};
  if (Table.Order.size() <= 2 * Table.Entries.size() + Slack) {
    return;
  }
  std::erase_if(Table.Order, [&Table](const auto &Item) {
    auto Found = Table.Entries.find(Item.second);
    return Found == Table.Entries.end() || Found->second.Last != Item.first;
  });
}

static void applyClaim(claim_table &Table, log_offset Offset,
                       const claim_record &Record) {
  auto Found = Table.Entries.find(Record.Key);
  if (Found == Table.Entries.end()) {
    if (Table.Entries.size() >= HardMaxClaims) {
      Table.Overflowed = true;
      return;
    }
    Table.Entries.emplace(
        Record.Key, claim_entry{Record.Who, Offset, 0, isUncertain(Table)});
  } else if (Found->second.Uncertain) {
    // This claim may be the winner for another reader.
    Found->second.Last = Offset;
  } else {
    return;
  }
  Table.Order.emplace_back(Offset, Record.Key);
  compactOrder(Table);
}

static void applyRecord(claim_table &Table, log_offset Offset,
                        const claim_record &Record) {
  if (Record.Action == claim_action::Claim) {
    applyClaim(Table, Offset, Record);
    return;
  }
  auto Found = Table.Entries.find(Record.Key);
  if (Found == Table.Entries.end() || Found->second.Uncertain ||
      Found->second.Holder != Record.Who || Found->second.Status != 0) {
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
  while (!Table.Order.empty() && Table.Order.front().first < Below) {
    auto Found = Table.Entries.find(Table.Order.front().second);
    if (Found != Table.Entries.end() && Found->second.Last < Below) {
      Table.Entries.erase(Found);
    }
    Table.Order.pop_front();
  }
}

void replayClaims(claim_table &Table, log_offset Offset,
                  const claim_batch &Batch) {
  if (Offset < Table.Next) {
    return;
  }
  // A batch cannot know that records after it have expired.
  expire(Table, std::min(Batch.ExpiredBelow, Offset));
  for (const auto &Record : Batch.Records) {
    applyRecord(Table, Offset, Record);
  }
  Table.Next = {Offset.Value + 1};
}

void skipRecord(claim_table &Table, log_offset Offset) {
  Table.Next = std::max(Table.Next, log_offset{Offset.Value + 1});
}

auto decide(const claim_table &Table, const claim_key &Key, const claimant &Who)
    -> claim_answer {
  if (Table.Overflowed) {
    return refused{"the table of the partition overflowed"};
  }
  auto Found = Table.Entries.find(Key);
  if (Found == Table.Entries.end()) {
    return refused{"the claim was released or has expired"};
  }
  const auto &Entry = Found->second;
  if (Entry.Uncertain || Entry.Holder != Who || Entry.Status != 0) {
    return held{Entry.Uncertain ? std::uint16_t{0} : Entry.Status};
  }
  return granted{};
}

} // namespace sycamorelb::claims
