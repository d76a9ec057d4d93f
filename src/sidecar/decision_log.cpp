/** @file decision_log.cpp Rate-limited structured log. */
#include "sidecar/decision_log.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <unistd.h>

namespace sycamorelb::sidecar {

/** Maximum time that a line is buffered. */
static constexpr auto FlushInterval = micros(250'000);
/** Size of the buffer at which it is written at once. */
static constexpr auto FlushBytes = std::size_t{16} * 1024;
/** Size of the buffer above which new lines are dropped. */
static constexpr auto MaxBufferedBytes = std::size_t{256} * 1024;
/** Maximum size of a text value; longer ones are truncated. */
static constexpr auto MaxTextBytes = std::size_t{200};
/** Maximum number of lines of one event per BudgetWindow, by log_class. */
static constexpr auto LinesPerSecond =
    std::array<std::uint32_t, 3>{20, 100, 200};
/** Time window of the line limit of an event. */
static constexpr auto BudgetWindow = micros(1'000'000);

struct decision_log::implementation {
  struct budget {
    steady_time Since{};
    std::uint32_t Lines = 0;
    std::uint32_t Dropped = 0;
  };

  event::loop &Loop;
  std::string Node;
  std::string Buffer;
  bool FlushScheduled = false;
  std::uint64_t Suppressed = 0;
  std::map<std::string, budget, std::less<>> Budgets;

  void appendText(std::string_view Text) {
    Buffer += '"';
    for (auto Byte : Text.substr(0, MaxTextBytes)) {
      auto Code = static_cast<unsigned char>(Byte);
      if (Byte == '"' || Byte == '\\') {
        Buffer += '\\';
        Buffer += Byte;
      } else {
        // Bytes outside ASCII may be truncated or malformed UTF-8.
        Buffer += Code < 0x20 || Code > 0x7e ? '?' : Byte;
      }
    }
    Buffer += '"';
  }

  void appendField(const log_field &Field) {
    Buffer += ',';
    appendText(Field.Name);
    Buffer += ':';
    if (const auto *Text = std::get_if<std::string_view>(&Field.Value)) {
      appendText(*Text);
    } else {
      Buffer += std::to_string(std::get<std::int64_t>(Field.Value));
    }
  }

  void appendLine(std::string_view Event,
                  std::initializer_list<log_field> Fields) {
    auto Wall = timespec();
    clock_gettime(CLOCK_REALTIME, &Wall);
    auto Head = std::array<char, 64>();
    std::snprintf(Head.data(), Head.size(), "{\"ts\":%lld.%03ld,\"node\":",
                  static_cast<long long>(Wall.tv_sec),
                  Wall.tv_nsec / 1'000'000);
    Buffer += Head.data();
    appendText(Node);
    Buffer += ",\"event\":";
    appendText(Event);
    for (const auto &Field : Fields) {
      appendField(Field);
    }
    Buffer += "}\n";
  }

  /** Counts a line against the limit of its event. @return whether it may be
   * written. */
  auto takeBudget(log_class Class, std::string_view Event) -> bool {
    auto Found = Budgets.find(Event);
    if (Found == Budgets.end()) {
      Found = Budgets.emplace(std::string(Event), budget()).first;
    }
    auto &Budget = Found->second;
    if (Loop.now() - Budget.Since >= BudgetWindow) {
      auto Dropped = Budget.Dropped;
      Budget = {Loop.now(), 0, 0};
      if (Dropped > 0) {
        appendLine("log.suppressed",
                   {{"kind", Event}, {"lines", std::int64_t{Dropped}}});
      }
    }
    auto Limit = LinesPerSecond.at(static_cast<std::size_t>(Class));
    if (Budget.Lines >= Limit || Buffer.size() > MaxBufferedBytes) {
      ++Budget.Dropped;
      ++Suppressed;
      return false;
    }
    ++Budget.Lines;
    return true;
  }
};

decision_log::decision_log(event::loop &Loop, const node_id &Node)
    : Impl(std::make_unique<implementation>(
          implementation{Loop, Node.Value, "", false, 0, {}})) {}

decision_log::~decision_log() { flush(); }

void decision_log::write(log_class Class, std::string_view Event,
                         std::initializer_list<log_field> Fields) {
  if (!Impl->takeBudget(Class, Event)) {
    return;
  }
  Impl->appendLine(Event, Fields);
  if (Impl->Buffer.size() >= FlushBytes) {
    return flush();
  }
  if (!Impl->FlushScheduled) {
    Impl->FlushScheduled = true;
    Impl->Loop.addTimer(Impl->Loop.now() + FlushInterval, [this] {
      Impl->FlushScheduled = false;
      flush();
    });
  }
}

void decision_log::flush() {
  if (Impl->Buffer.empty()) {
    return;
  }
  // Unwritten bytes stay in the buffer; takeBudget() drops lines rather than
  // wait for a slow reader.
  auto Written =
      ::write(STDOUT_FILENO, Impl->Buffer.data(), Impl->Buffer.size());
  auto Count = Written < 0 ? std::size_t{0} : static_cast<std::size_t>(Written);
  Impl->Buffer.erase(0, Count);
}

auto decision_log::suppressed() const -> std::uint64_t {
  return Impl->Suppressed;
}

} // namespace sycamorelb::sidecar
