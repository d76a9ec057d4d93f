/** @file text_table.cpp Tables of text with aligned columns. */
#include "cli/text_table.h"

#include <algorithm>

namespace sycamorelb::cli {

text_table::text_table(text_row Header) { Rows.push_back(std::move(Header)); }

void text_table::add(text_row Row) {
  Row.resize(Rows.front().size());
  Rows.push_back(std::move(Row));
}

auto text_table::render() const -> std::string {
  auto Widths = std::vector<std::size_t>(Rows.front().size());
  for (const auto &Row : Rows) {
    for (auto Column = std::size_t{0}; Column < Row.size(); ++Column) {
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
    }
  }
  auto Text = std::string();
  for (const auto &Row : Rows) {
    auto Line = std::string();
    for (auto Column = std::size_t{0}; Column < Row.size(); ++Column) {
      Line += Row[Column] +
              std::string(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

} // namespace sycamorelb::cli
