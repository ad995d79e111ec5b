#include "table.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace ctl {
namespace {

using nlohmann::json;

constexpr double kDecimals = 10;

std::string Cell(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  if (value.is_number_float()) {
    const json rounded =
        std::round(value.get<double>() * kDecimals) / kDecimals;
    return rounded.dump();
  }
  return value.dump();
}

void AppendPadded(std::string& line, const std::string& text, size_t width) {
  line += text;
  line.append(width + 2 - std::min(width, text.size()), ' ');
}

// The keys of all rows, `name` and `id` first.
std::vector<std::string> Columns(const json& rows) {
  std::vector<std::string> columns;
  const auto add = [&columns](const std::string& key) {
    if (std::find(columns.begin(), columns.end(), key) == columns.end()) {
      columns.push_back(key);
    }
  };
  for (const char* const key : {"name", "id"}) {
    if (!rows.empty() && rows.front().contains(key)) {
      add(key);
    }
  }
  for (const json& row : rows) {
    for (const auto& [key, cell] : row.items()) {
      add(key);
    }
  }
  return columns;
}

std::string FormatRows(const json& rows) {
  if (rows.empty()) {
    return "(none)\n";
  }
  const std::vector<std::string> columns = Columns(rows);
  std::map<std::string, std::size_t> widths;
  for (const std::string& column : columns) {
    widths[column] = column.size();
    for (const json& row : rows) {
      const std::size_t size =
          row.contains(column) ? Cell(row[column]).size() : 1;
      widths[column] = std::max(widths[column], size);
    }
  }
  std::string text;
  for (const std::string& column : columns) {
    AppendPadded(text, column, widths[column]);
  }
  text += '\n';
  for (const json& row : rows) {
    for (const std::string& column : columns) {
      AppendPadded(text, row.contains(column) ? Cell(row[column]) : "-",
                   widths[column]);
    }
    text += '\n';
  }
  return text;
}

bool IsTable(const json& value) {
  return value.is_array() &&
         std::all_of(value.begin(), value.end(),
                     [](const json& row) { return row.is_object(); });
}

std::string FormatMembers(const json& value) {
  std::size_t width = 0;
  for (const auto& [key, member] : value.items()) {
    width = std::max(width, key.size());
  }
  std::string text;
  for (const auto& [key, member] : value.items()) {
    if (IsTable(member)) {
      text += key + ":\n" + FormatRows(member);
      continue;
    }
    if (member.is_object()) {
      text += key + ":\n" + FormatMembers(member);
      continue;
    }
    AppendPadded(text, key, width);
    text += Cell(member) + '\n';
  }
  return text;
}

}  // namespace

std::string FormatTable(const json& value) {
  if (IsTable(value)) {
    return FormatRows(value);
  }
  return value.is_object() ? FormatMembers(value) : Cell(value) + "\n";
}

}  // namespace ctl
