/** @file store_rewind.cpp Eras of the store: what its client does when the
 * store comes back from an older copy. */
#include "sidecar/store_feed_state.h"

#include <utility>

namespace sycamorelb::sidecar {

using platform::store_topic;

/** Longest delay before a node that is no reader lists the operator topic of a
 * new era. It spreads the listings, and is less than the time after which
 * gossip asks another node for the records. */
static constexpr auto RewoundListingJitterMicros = std::uint32_t{500'000};
void store_feed::append(store_topic Topic, const std::string &Key,
                        const std::string &Value,
                        const platform::store_page &Listing,
                        const append_handler &Handle) {
  append(Topic, Key, Value, Listing.End,
         [Handle, Era = Listing.Era](result<platform::append_ack> Ack) {
           if (isOk(Ack) && valueOf(Ack).Era != Era) {
             valueOf(Ack).Appended = false;
           }
           Handle(std::move(Ack));
         });
}

auto store_feed::era() const -> store_era { return Impl->State.StoreEra; }

auto store_feed::eraSeenAt() const -> steady_time {
  return Impl->State.StoreEraSeenAt;
}

void store_feed::noteEra(store_era Era) { Impl->noteEra(Era, false); }

void store_feed::implementation::noteEra(store_era Era, bool FromStore) {
  if (Era <= State.StoreEra || Closed) {
    return;
  }
  // The first answers that a process gets tell of no rewind.
  auto IsRewound = State.StoreEra.Value > 0 || State.Operator.end().Value > 0 ||
                   !State.Operator.records().empty();
  State.Log.write(log_class::State, IsRewound ? "store.rewound" : "store.era",
                  {{"from", static_cast<std::int64_t>(State.StoreEra.Value)},
                   {"to", static_cast<std::int64_t>(Era.Value)},
                   {"source", FromStore ? "store" : "peer"}});
  State.StoreEra = Era;
  State.StoreEraSeenAt = State.Loop.now();
  State.Operator.beginEra(Era);
  State.Loop.addTimer(State.Loop.now() + StoreRewriteTime,
                      [this, Era] { endRewriteTime(Era); });
  if (!IsRewound) {
    return;
  }
  if (CurrentGeneration > 0) {
    scheduleRewoundListing();
  }
  // The caller may be in the middle of handling an answer or a message.
  State.Loop.addTimer(State.Loop.now(), [this, FromStore] {
    if (!Closed) {
      Events.OnStoreRewound(FromStore);
    }
  });
}

void store_feed::implementation::scheduleRewoundListing() {
  auto Generation = ++CurrentGeneration;
  auto Delay =
      Events.CanUseZoneReader()
          ? micros(randomBelow(State.Random, RewoundListingJitterMicros))
          : micros(0);
  State.Loop.addTimer(State.Loop.now() + Delay, [this, Generation] {
    if (Generation != CurrentGeneration || Closed) {
      return;
    }
    if (auto Polling = std::exchange(PollConnection, nullptr)) {
      Polling->close();
    }
    State.MeshTopicListed ? listOperatorTopic(Generation)
                          : listMeshTopic(Generation);
  });
}

void store_feed::implementation::endRewriteTime(store_era Era) {
  if (Era != State.StoreEra || Closed) {
    return;
  }
  State.Operator.endRewriteTime();
  if (State.Operator.hasUnconfirmedRecords() && CurrentGeneration > 0) {
    scheduleRewoundListing();
  }
}

void store_feed::implementation::stampEra(platform::store_page &Page) const {
  // An answer without the header changes nothing in what is known of the era.
  if (Page.Era.Value == 0) {
    for (auto &Record : Page.Records) {
      Record.Era = State.StoreEra;
    }
  }
}

} // namespace sycamorelb::sidecar
