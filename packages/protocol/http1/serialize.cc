#include "protocol/http1/serialize.h"

#include <array>

#include "absl/strings/str_cat.h"
#include "common/strings.h"

namespace wagtailshore::http1 {
namespace {

struct Reason {
  int status;
  std::string_view text;
};

// Statuses that the system responds with or commonly forwards.
constexpr std::array kReasons = {
    Reason{200, "OK"},
    Reason{202, "Accepted"},
    Reason{204, "No Content"},
    Reason{400, "Bad Request"},
    Reason{401, "Unauthorized"},
    Reason{403, "Forbidden"},
    Reason{404, "Not Found"},
    Reason{408, "Request Timeout"},
    Reason{409, "Conflict"},
    Reason{413, "Content Too Large"},
    Reason{421, "Misdirected Request"},
    Reason{429, "Too Many Requests"},
    Reason{431, "Request Header Fields Too Large"},
    Reason{500, "Internal Server Error"},
    Reason{502, "Bad Gateway"},
    Reason{503, "Service Unavailable"},
    Reason{504, "Gateway Timeout"},
};

void AppendHeaders(std::string& out, const Headers& headers) {
  for (const Header& header : headers.all()) {
    common::StrAppend(&out, header.name, ": ", header.value, "\r\n");
  }
}

std::string FormatStatusLine(int status) {
  return common::StrCat("HTTP/1.1 ", status, " ", ReasonOf(status), "\r\n");
}

void AppendPersistence(std::string& out, Persistence persistence) {
  if (persistence == Persistence::kClose) {
    out += "Connection: close\r\n";
  }
}

}  // namespace

std::string_view ReasonOf(int status) {
  for (const Reason& reason : kReasons) {
    if (reason.status == status) {
      return reason.text;
    }
  }
  return "Status";
}

std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const Headers& headers,
                              size_t body_bytes) {
  std::string out = common::StrCat(method, " ", target, " HTTP/1.1\r\n");
  AppendHeaders(out, headers);
  if (body_bytes > 0 || method == "POST" || method == "PUT") {
    common::StrAppend(&out, "Content-Length: ", body_bytes, "\r\n");
  }
  out += "\r\n";
  return out;
}

std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          const Headers& headers,
                          std::string_view body) {
  std::string out = FormatRequestHead(method, target, headers, body.size());
  out += body;
  return out;
}

std::string FormatResponseHead(int status,
                               const Headers& headers,
                               size_t body_bytes,
                               Persistence persistence) {
  std::string out = FormatStatusLine(status);
  AppendHeaders(out, headers);
  AppendPersistence(out, persistence);
  common::StrAppend(&out, "Content-Length: ", body_bytes, "\r\n\r\n");
  return out;
}

std::string FormatResponse(int status,
                           const Headers& headers,
                           std::string_view body,
                           Persistence persistence) {
  std::string out =
      FormatResponseHead(status, headers, body.size(), persistence);
  out += body;
  return out;
}

std::string FormatStreamHead(int status,
                             const Headers& headers,
                             BodyFraming framing,
                             Persistence persistence) {
  std::string out = FormatStatusLine(status);
  AppendHeaders(out, headers);
  AppendPersistence(out, persistence);
  if (framing == BodyFraming::kChunked) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  out += "\r\n";
  return out;
}

std::string FormatChunk(std::string_view data) {
  return common::StrCat(absl::StrCat(absl::Hex(data.size())), "\r\n", data,
                        "\r\n");
}

}  // namespace wagtailshore::http1
