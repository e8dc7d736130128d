#include "common/msgpack_depth.h"

#include <nlohmann/json.hpp>

namespace wagtailshore::common {
namespace {

using Json = nlohmann::json;

constexpr int kMaxDepth = 8;

// Counts nesting levels and stops the decoder at the limit. The method names
// are those of nlohmann::json_sax.
class DepthCounter final : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(size_t) override { return ++depth_ <= kMaxDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override {
    --depth_;
    return true;
  }
  bool start_array(size_t) override { return ++depth_ <= kMaxDepth; }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int depth_ = 0;
};

}  // namespace

bool NestsWithinLimit(std::string_view bytes) {
  DepthCounter counter;
  return Json::sax_parse(bytes, &counter, Json::input_format_t::msgpack);
}

}  // namespace wagtailshore::common
