#ifndef PROTOCOL_HTTP1_HEADERS_H_
#define PROTOCOL_HTTP1_HEADERS_H_

#include <string>
#include <string_view>
#include <vector>

namespace wagtailshore::http1 {

struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

// Header fields in the order of the message. Names are case-insensitive.
class Headers {
 public:
  void Add(std::string_view name, std::string_view value);
  // Replaces all fields of that name with a single one.
  void Set(std::string_view name, std::string_view value);
  void Remove(std::string_view name);

  // Returns the value of the first field of that name, or null.
  const std::string* Find(std::string_view name) const;
  size_t Count(std::string_view name) const;
  // Whether a field `name`, a comma-separated list, contains `token`. Tokens
  // are case-insensitive.
  bool HasToken(std::string_view name, std::string_view token) const;

  // Removes the fields that apply to a single connection only, including those
  // that the Connection field lists.
  void RemoveHopByHop();

  const std::vector<Header>& all() const { return fields_; }
  // Memory that the fields take, in bytes.
  size_t memory_bytes() const;

 private:
  std::vector<Header> fields_;
};

// Compares two strings, ignoring the case of ASCII letters.
bool EqualsIgnoreCase(std::string_view left, std::string_view right);

}  // namespace wagtailshore::http1

#endif  // PROTOCOL_HTTP1_HEADERS_H_
