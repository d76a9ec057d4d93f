/** @file text_table.h Tables of text with aligned columns. */
#pragma once

#include <string>
#include <vector>

namespace sycamorelb::cli {

using text_row = std::vector<std::string>;

/** Table whose columns are as wide as their widest cell. */
class text_table {
public:
  explicit text_table(text_row Header);
  /** Adds a row; missing cells stay empty. */
  void add(text_row Row);
  /** @return the table, one line per row. */
  auto render() const -> std::string;

private:
  std::vector<text_row> Rows;
};

} // namespace sycamorelb::cli
