#include "protocol/http1/headers.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "common/strings.h"

namespace wagtailshore::http1 {
namespace {

// The fields of RFC 9110, section 7.6.1, those that older peers still send, and
// Content-Length, which is set anew for each connection.
constexpr std::array<std::string_view, 9> kHopByHop = {
    "Connection",       "Keep-Alive",
    "Proxy-Connection", "TE",
    "Trailer",          "Transfer-Encoding",
    "Upgrade",          "Proxy-Authorization",
    "Content-Length"};

std::vector<std::string> SplitList(std::string_view list) {
  std::vector<std::string> tokens;
  for (const absl::string_view part :
       absl::StrSplit(common::AsAbsl(list), ',')) {
    const absl::string_view token = absl::StripAsciiWhitespace(part);
    if (!token.empty()) {
      tokens.emplace_back(token.data(), token.size());
    }
  }
  return tokens;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(common::AsAbsl(left), common::AsAbsl(right));
}

void Headers::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

void Headers::Set(std::string_view name, std::string_view value) {
  Remove(name);
  Add(name, value);
}

void Headers::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const Header& header) {
    return EqualsIgnoreCase(header.name, name);
  });
}

const std::string* Headers::Find(std::string_view name) const {
  const auto found =
      std::find_if(fields_.begin(), fields_.end(), [name](const Header& field) {
        return EqualsIgnoreCase(field.name, name);
      });
  return found == fields_.end() ? nullptr : &found->value;
}

size_t Headers::Count(std::string_view name) const {
  return std::count_if(fields_.begin(), fields_.end(),
                       [name](const Header& field) {
                         return EqualsIgnoreCase(field.name, name);
                       });
}

bool Headers::HasToken(std::string_view name, std::string_view token) const {
  for (const Header& field : fields_) {
    if (!EqualsIgnoreCase(field.name, name)) {
      continue;
    }
    for (const std::string& listed : SplitList(field.value)) {
      if (EqualsIgnoreCase(listed, token)) {
        return true;
      }
    }
  }
  return false;
}

void Headers::RemoveHopByHop() {
  std::vector<std::string> connection_fields;
  for (const Header& field : fields_) {
    if (EqualsIgnoreCase(field.name, "Connection")) {
      for (std::string& token : SplitList(field.value)) {
        connection_fields.push_back(std::move(token));
      }
    }
  }
  for (const std::string& name : connection_fields) {
    Remove(name);
  }
  for (const std::string_view name : kHopByHop) {
    Remove(name);
  }
}

size_t Headers::memory_bytes() const {
  size_t bytes = fields_.capacity() * sizeof(Header);
  for (const Header& field : fields_) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

}  // namespace wagtailshore::http1
