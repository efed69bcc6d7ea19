#include "libraries/http_stream/message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>

namespace borageloft::http_stream {

namespace {

constexpr std::array<std::string_view, 9> kConnectionFields = {"connection",
                                                               "keep-alive",
                                                               "proxy-connection",
                                                               "proxy-authenticate",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade"};

char ToLower(char character) {
  return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                              : character;
}

bool IsConnectionField(std::string_view name) {
  return std::any_of(kConnectionFields.begin(), kConnectionFields.end(),
                     [&](std::string_view other) { return EqualsIgnoreCase(name, other); }) ||
         EqualsIgnoreCase(name, "content-length") || EqualsIgnoreCase(name, "expect");
}

// Returns the connection options: the names listed in the Connection field. Fields with these
// names apply to this connection only, too.
std::vector<std::string> ConnectionOptions(const Fields& fields) {
  std::vector<std::string> names;
  for (const wire::Header& field : fields) {
    if (!EqualsIgnoreCase(field.name, "connection")) {
      continue;
    }
    std::string name;
    for (const char character : field.value + ",") {
      if (character == ',') {
        if (!name.empty()) {
          names.push_back(name);
        }
        name.clear();
      } else if (character != ' ' && character != '\t') {
        name += character;
      }
    }
  }
  return names;
}

void AppendFields(std::string& bytes, const Fields& fields) {
  for (const wire::Header& field : fields) {
    bytes += field.name;
    bytes += ": ";
    bytes += field.value;
    bytes += "\r\n";
  }
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

const std::string* FindField(const Fields& fields, std::string_view name) {
  const auto found = std::find_if(fields.begin(), fields.end(), [&](const wire::Header& field) {
    return EqualsIgnoreCase(field.name, name);
  });
  return found == fields.end() ? nullptr : &found->value;
}

std::size_t SizeOf(const Fields& fields) {
  std::size_t size = 0;
  for (const wire::Header& field : fields) {
    size += field.name.size() + field.value.size();
  }
  return size;
}

void RemoveField(Fields& fields, std::string_view name) {
  std::erase_if(fields,
                [&](const wire::Header& field) { return EqualsIgnoreCase(field.name, name); });
}

void SetField(Fields& fields, std::string_view name, std::string value) {
  RemoveField(fields, name);
  fields.push_back({std::string(name), std::move(value)});
}

void RemoveConnectionFields(Fields& fields) {
  const std::vector<std::string> named = ConnectionOptions(fields);
  std::erase_if(fields, [&](const wire::Header& field) {
    return IsConnectionField(field.name) ||
           std::any_of(named.begin(), named.end(),
                       [&](const std::string& name) { return EqualsIgnoreCase(field.name, name); });
  });
}

std::string SerializeRequest(const RequestMessage& request) {
  std::string bytes;
  bytes.reserve(512 + request.body.size());
  bytes += request.method;
  bytes += ' ';
  bytes += request.target;
  bytes += " HTTP/1.1\r\n";
  AppendFields(bytes, request.fields);
  const bool may_omit_length = request.method == "GET" || request.method == "HEAD";
  if (!request.body.empty() || !may_omit_length) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

std::string SerializeResponse(const ResponseMessage& response, Persistence persistence,
                              BodyUse body_use) {
  std::string bytes;
  bytes.reserve(512 + response.body.size());
  bytes += "HTTP/1.1 " + std::to_string(response.status) + ' ';
  bytes += ReasonPhrase(response.status);
  bytes += "\r\n";
  AppendFields(bytes, response.fields);
  const bool has_no_body = response.status == 204 || response.status == 304;
  if (!has_no_body) {
    bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  if (persistence == Persistence::kClose) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  if (body_use == BodyUse::kWrite && !has_no_body) {
    bytes += response.body;
  }
  return bytes;
}

std::string_view ReasonPhrase(unsigned status) {
  return http_status_str(static_cast<http_status>(status));
}

}  // namespace borageloft::http_stream
