/** @file brake_board.cpp Registry of brakes on traffic moves. */
#include "node/brake_board.h"

namespace sycamorelb::node {

/** Maximum number of brakes. They include brakes on moves unknown to this node,
 * as gossip may arrive before the record that starts the move. */
static constexpr auto MaxBrakes = std::size_t{64};

/** Time after which a brake on an unknown move expires. */
static constexpr auto UnknownMoveRetention = millis(600'000);

brake_registry::brake_registry()
    : Brakes(std::make_shared<const brake_map>()) {}

auto brake_registry::add(const membership::brake_notice &Brake) -> bool {
  auto Lock = std::lock_guard(WriteMutex);
  auto Current = Brakes.load();
  if (Current->contains(Brake.Move) || Current->size() >= MaxBrakes) {
    return false;
  }
  auto Next = std::make_shared<brake_map>(*Current);
  Next->emplace(Brake.Move, Brake);
  Brakes = std::move(Next);
  return true;
}

auto brake_registry::reason(const move_id &Move) const
    -> std::optional<std::string> {
  auto Current = Brakes.load();
  auto Found = Current->find(Move);
  if (Found == Current->end()) {
    return std::nullopt;
  }
  return Found->second.Reason;
}

auto brake_registry::brakedVersions(const config::snapshot &Snapshot,
                                    const service_id &Service) const
    -> std::set<version_id> {
  auto Versions = std::set<version_id>();
  auto Running = Snapshot.RunningMoves.find(Service);
  if (Running != Snapshot.RunningMoves.end() &&
      Brakes.load()->contains(Running->second.Move.Id)) {
    Versions.insert(Running->second.Move.To);
  }
  return Versions;
}

void brake_registry::prune(const config::snapshot &Snapshot, wall_ms Now) {
  auto Lock = std::lock_guard(WriteMutex);
  auto Current = Brakes.load();
  auto Next = std::make_shared<brake_map>(*Current);
  std::erase_if(*Next, [&](const auto &Entry) {
    auto State = Snapshot.State.Moves.find(Entry.first);
    if (State == Snapshot.State.Moves.end()) {
      return Now.Value - Entry.second.IssuedAt.Value >
             UnknownMoveRetention.count();
    }
    return State->second.Phase != config::move_phase::Running;
  });
  if (Next->size() != Current->size()) {
    Brakes = std::move(Next);
  }
}

} // namespace sycamorelb::node
