#pragma once

#include <string_view>

namespace hawthorn::transport {

/// Status codes that are sent or checked for (RFC 9110).
namespace status {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kPaymentRequired = 402;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderFieldsTooLarge = 431;
inline constexpr int kInternalServerError = 500;
inline constexpr int kNotImplemented = 501;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr int kVersionNotSupported = 505;

}  // namespace status

/// Range of the status codes that a response may have.
inline constexpr int kMinStatus = 100;
inline constexpr int kMaxStatus = 599;

/// Whether the final response is still to come (1xx).
constexpr bool IsInterim(int code) { return code >= 100 && code < 200; }

/// Whether a status code reports success (2xx).
constexpr bool IsSuccess(int code) { return code >= 200 && code < 300; }

/// Reason phrases of the status codes that are sent (RFC 9110).
constexpr std::string_view StatusText(int code) {
  switch (code) {
    case status::kOk:
      return "OK";
    case status::kCreated:
      return "Created";
    case status::kBadRequest:
      return "Bad Request";
    case status::kUnauthorized:
      return "Unauthorized";
    case status::kPaymentRequired:
      return "Payment Required";
    case status::kNotFound:
      return "Not Found";
    case status::kMethodNotAllowed:
      return "Method Not Allowed";
    case status::kRequestTimeout:
      return "Request Timeout";
    case status::kConflict:
      return "Conflict";
    case status::kContentTooLarge:
      return "Content Too Large";
    case status::kMisdirectedRequest:
      return "Misdirected Request";
    case status::kTooManyRequests:
      return "Too Many Requests";
    case status::kHeaderFieldsTooLarge:
      return "Request Header Fields Too Large";
    case status::kInternalServerError:
      return "Internal Server Error";
    case status::kNotImplemented:
      return "Not Implemented";
    case status::kBadGateway:
      return "Bad Gateway";
    case status::kServiceUnavailable:
      return "Service Unavailable";
    case status::kGatewayTimeout:
      return "Gateway Timeout";
    case status::kVersionNotSupported:
      return "HTTP Version Not Supported";
    default:
      return "Error";
  }
}

}  // namespace hawthorn::transport
