/** @file time_text.cpp Formatting and parsing of ISO-8601 UTC times. */
#include "sycamorelb/config/declaration_func.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace sycamorelb::config {

/** @return the number in the digits of Text at [Begin, Begin + Length). */
static auto parseDigits(std::string_view Text, std::size_t Begin,
                        std::size_t Length) -> std::optional<int> {
  auto Value = 0;
  for (auto Byte : Text.substr(Begin, Length)) {
    if (Byte < '0' || Byte > '9') {
      return std::nullopt;
    }
    Value = Value * 10 + (Byte - '0');
  }
  return Value;
}

auto formatTime(wall_ms Time) -> std::string {
  using namespace std::chrono;
  auto Point = sys_time<milliseconds>(milliseconds(Time.Value));
  auto Day = floor<days>(Point);
  auto Date = year_month_day(Day);
  auto TimeOfDay = hh_mm_ss(Point - Day);
  auto Text = std::array<char, 80>();
  auto Length = std::snprintf(
      Text.data(), Text.size(), "%04d-%02u-%02uT%02d:%02d:%02d",
      static_cast<int>(Date.year()), static_cast<unsigned>(Date.month()),
      static_cast<unsigned>(Date.day()),
      static_cast<int>(TimeOfDay.hours().count()),
      static_cast<int>(TimeOfDay.minutes().count()),
      static_cast<int>(TimeOfDay.seconds().count()));
  auto Result = std::string(Text.data(), static_cast<std::size_t>(Length));
  auto Millis = static_cast<int>(TimeOfDay.subseconds().count());
  if (Millis != 0) {
    std::snprintf(Text.data(), Text.size(), ".%03d", Millis);
    Result += Text.data();
  }
  return Result + "Z";
}

auto parseTime(std::string_view Text) -> std::optional<wall_ms> {
  using namespace std::chrono;
  // "YYYY-MM-DDThh:mm:ssZ" or "YYYY-MM-DDThh:mm:ss.mmmZ".
  auto WithMillis = Text.size() == 24 && Text[19] == '.';
  if ((Text.size() != 20 && !WithMillis) || Text.back() != 'Z' ||
      Text[4] != '-' || Text[7] != '-' || Text[10] != 'T' || Text[13] != ':' ||
      Text[16] != ':') {
    return std::nullopt;
  }
  auto Year = parseDigits(Text, 0, 4);
  auto Month = parseDigits(Text, 5, 2);
  auto Day = parseDigits(Text, 8, 2);
  auto Hour = parseDigits(Text, 11, 2);
  auto Minute = parseDigits(Text, 14, 2);
  auto Second = parseDigits(Text, 17, 2);
  auto Millis = WithMillis ? parseDigits(Text, 20, 3) : 0;
  if (!Year || !Month || !Day || !Hour || !Minute || !Second || !Millis) {
    return std::nullopt;
  }
  auto Date = year_month_day(year(*Year), month(static_cast<unsigned>(*Month)),
                             day(static_cast<unsigned>(*Day)));
  if (!Date.ok() || *Year < 1970 || *Hour > 23 || *Minute > 59 ||
      *Second > 59) {
    return std::nullopt;
  }
  auto Point = sys_days(Date) + hours(*Hour) + minutes(*Minute) +
               seconds(*Second) + milliseconds(*Millis);
  return wall_ms{Point.time_since_epoch().count()};
}

} // namespace sycamorelb::config
