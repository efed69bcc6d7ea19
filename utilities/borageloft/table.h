#ifndef BORAGELOFT_UTILITIES_BORAGELOFT_TABLE_H_
#define BORAGELOFT_UTILITIES_BORAGELOFT_TABLE_H_

#include <json/json.h>

#include <string>
#include <vector>

namespace borageloft::command_line {

/** How a command prints its result. */
enum class OutputFormat { kTable, kJson };

/** One column of a table. */
struct Column {
  std::string title;
  std::string member;  // Member of each row's JSON object.
};

/** @return @p rows, a JSON array of objects, as a table with aligned columns. */
std::string FormatTable(const std::vector<Column>& columns, const Json::Value& rows);

/** Prints rows in the chosen format on standard output. */
void PrintRows(OutputFormat format, const std::vector<Column>& columns, const Json::Value& rows);

/** Prints a JSON value on standard output. */
void PrintJson(const Json::Value& value);

}  // namespace borageloft::command_line

#endif  // BORAGELOFT_UTILITIES_BORAGELOFT_TABLE_H_
