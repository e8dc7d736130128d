#ifndef PROTOCOL_HTTP1_STATUS_H_
#define PROTOCOL_HTTP1_STATUS_H_

// HTTP statuses that the system sends or handles.
namespace wagtailshore::http1 {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kMultipleChoices = 300;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kInternalError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

// Whether a number is an HTTP status: 100 to 599. Others say nothing about the
// request.
constexpr bool IsStatus(int status) {
  return status >= 100 && status <= 599;
}

}  // namespace wagtailshore::http1

#endif  // PROTOCOL_HTTP1_STATUS_H_
