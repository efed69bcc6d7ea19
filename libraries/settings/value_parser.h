#ifndef BORAGELOFT_SETTINGS_VALUE_PARSER_H_
#define BORAGELOFT_SETTINGS_VALUE_PARSER_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/settings/endpoint.h"
#include "libraries/settings/ini_document.h"

namespace borageloft::settings {

/** @return @p text split at commas, with blanks around each part removed; empty parts dropped. */
std::vector<std::string> SplitList(std::string_view text);

/**
 * Reads typed values of one section. A fault is recorded with file, line, key and the allowed
 * range, and the default is returned, so that one pass finds every fault.
 */
class ValueParser {
 public:
  /**
   * @param section The section, or null when the file has none: then every value is the default.
   * @param file Name used in faults.
   * @param issues Receives the faults. Must outlive this object.
   */
  ValueParser(const IniSection* section, std::string file, std::vector<Issue>& issues);

  /** @return Whether the key is there. */
  bool Has(const std::string& key);

  /** @return The text, or @p fallback when the key is missing. */
  std::string Text(const std::string& key, const std::string& fallback);

  /** @return The text; a missing or empty value is a fault. */
  std::string RequiredText(const std::string& key);

  /** @return A name of letters, digits, '-', '_' and '.', at most 64 long; required. */
  std::string RequiredName(const std::string& key);

  /** @return A whole number within [minimum, maximum]. */
  std::int64_t Integer(const std::string& key, std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum);

  /** @return A share between 0 and 1, written as a percentage such as "5%" or as a
   * number such as "0.05". */
  double Share(const std::string& key, double fallback, double minimum, double maximum);

  /** @return A span of time, written with its unit: us, ms, s, min or h. */
  base::Duration Time(const std::string& key, base::Duration fallback, base::Duration minimum,
                      base::Duration maximum);

  /** @return Whether the value is "yes"; anything but "yes" and "no" is a fault. */
  bool YesNo(const std::string& key, bool fallback);

  /** @return One of @p choices. */
  std::string Choice(const std::string& key, const std::string& fallback,
                     const std::vector<std::string>& choices);

  /** @return The endpoint; a missing key gives @p fallback. */
  Endpoint Address(const std::string& key, const Endpoint& fallback);

  /** @return The comma-separated list. */
  std::vector<std::string> List(const std::string& key);

  /** Records a fault at @p key. */
  void AddIssue(const std::string& key, std::string message);

  /** Records every key that no call asked for as unknown. Call once, at the end. */
  void RefuseUnknownKeys();

 private:
  const IniEntry* Lookup(const std::string& key);

  const IniSection* section_;
  std::string file_;
  std::vector<Issue>& issues_;
  std::set<std::string> known_;
};

}  // namespace borageloft::settings

#endif  // BORAGELOFT_SETTINGS_VALUE_PARSER_H_
