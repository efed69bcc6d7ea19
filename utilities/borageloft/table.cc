#include "utilities/borageloft/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace borageloft::command_line {

namespace {

std::string CellText(const Json::Value& value) {
  if (value.isNull()) {
    return "-";
  }
  if (value.isDouble() && !value.isInt64() && !value.isUInt64()) {
    return fmt::format("{:.3f}", value.asDouble());
  }
  return value.isConvertibleTo(Json::stringValue) ? value.asString() : "?";
}

}  // namespace

std::string FormatTable(const std::vector<Column>& columns, const Json::Value& rows) {
  std::vector<std::size_t> widths;
  for (const Column& column : columns) {
    std::size_t width = column.title.size();
    for (const Json::Value& row : rows) {
      width = std::max(width, CellText(row[column.member]).size());
    }
    widths.push_back(width);
  }
  const auto append_line = [&](std::string& text, const auto& cell_of) {
    std::string line;
    for (std::size_t i = 0; i < columns.size(); ++i) {
      line += fmt::format("{:<{}}  ", cell_of(columns[i]), widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  };
  std::string text;
  append_line(text, [](const Column& column) { return column.title; });
  for (const Json::Value& row : rows) {
    append_line(text, [&](const Column& column) { return CellText(row[column.member]); });
  }
  return text;
}

void PrintRows(OutputFormat format, const std::vector<Column>& columns, const Json::Value& rows) {
  if (format == OutputFormat::kJson) {
    PrintJson(rows);
    return;
  }
  fmt::print("{}", FormatTable(columns, rows));
}

void PrintJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  fmt::print("{}\n", Json::writeString(builder, value));
}

}  // namespace borageloft::command_line
