#include "admin/routes.h"

#include <array>
#include <utility>

#include "json/text.h"

namespace lemonstair::admin {

namespace {

struct RouteEntry {
    std::string_view method, path;
    Route route;
};
constexpr std::array<RouteEntry, 4> routes{{{"GET", "/healthcheck", Route::health},
                                            {"GET", "/stats", Route::metrics},
                                            {"POST", "/healthcheck/fail", Route::drain},
                                            {"POST", "/healthcheck/ok", Route::resume}}};

std::string_view reason_phrase(int status) {
    constexpr std::array<std::pair<int, std::string_view>, 10> reasons{
        {{200, "OK"},
         {400, "Bad Request"},
         {404, "Not Found"},
         {405, "Method Not Allowed"},
         {408, "Request Timeout"},
         {411, "Length Required"},
         {413, "Content Too Large"},
         {431, "Request Header Fields Too Large"},
         {503, "Service Unavailable"},
         {505, "HTTP Version Not Supported"}}};
    for (const auto& [number, text] : reasons)
        if (number == status) return text;
    return "";
}

// `allow` is the method of the Allow header; empty: the response has no such header.
std::string response(int status, std::string_view body, std::string_view allow = {}) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason_phrase(status)).append("\r\nContent-Type: application/json\r\n");
    if (!allow.empty()) out.append("Allow: ").append(allow).append("\r\n");
    out.append("Content-Length: ").append(std::to_string(body.size()));
    return out.append("\r\nConnection: close\r\n\r\n").append(body);
}

// 200 where the node is in the requested state, 503 where it is not.
std::string state_response(bool as_requested, const AdminHandler& handler) {
    return response(as_requested ? 200 : 503, R"({"state":)" + json::quoted(handler.phase()) + "}");
}

}  // namespace

std::string respond(const http::Request& request, AdminHandler& handler) {
    if (request.error() != http::RequestError::none) {
        const int status = static_cast<int>(request.error());
        return response(status, R"({"error":)" + json::quoted(reason_phrase(status)) + "}");
    }
    std::string_view allow;  // the method of the requested path; empty while no route has that path
    for (const RouteEntry& entry : routes) {
        if (entry.path != request.path()) continue;
        allow = entry.method;
        if (entry.method != request.method()) continue;
        switch (entry.route) {
            case Route::health:
                return state_response(handler.ready(), handler);
            case Route::metrics:
                return response(200, handler.metrics_page());
            case Route::drain:
                return state_response(handler.drain(), handler);
            case Route::resume:
                return state_response(handler.resume(), handler);
        }
    }
    if (allow.empty()) return response(404, R"({"error":"no such path"})");
    return response(405, R"({"error":"method not allowed, use )" + std::string(allow) + R"("})", allow);
}

std::string request_timeout_response() {
    return response(408, R"({"error":"timed out before the request was complete"})");
}

}  // namespace lemonstair::admin
