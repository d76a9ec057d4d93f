/** @file snapshot.cpp Construction of snapshots. */
#include "sycamorelb/config/snapshot_type.h"

#include <algorithm>
#include <numeric>

namespace sycamorelb::config {

auto makeSnapshot(config_state State) -> snapshot_ptr {
  auto Result = std::make_shared<snapshot>();
  Result->State = std::move(State);
  const auto &Routes = Result->State.Declared.Routes;
  auto &Order = Result->RoutesByPrefix;
  Order.resize(Routes.size());
  std::iota(Order.begin(), Order.end(), std::uint32_t{0});
  std::stable_sort(Order.begin(), Order.end(),
                   [&Routes](std::uint32_t Left, std::uint32_t Right) {
                     return Routes[Left].PathPrefix.size() >
                            Routes[Right].PathPrefix.size();
                   });
  for (const auto &[Id, Move] : Result->State.Moves) {
    if (Move.Phase == move_phase::Running) {
      Result->RunningMoves[Move.Move.Service] = Move;
    }
  }
  return Result;
}

} // namespace sycamorelb::config
