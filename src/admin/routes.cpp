#include "admin/routes.h"

#include <array>
#include <utility>

#include "json/text.h"

namespace lemonstair::admin {

namespace {

struct Row {
    std::string_view method, path;
    Route call;
};
constexpr std::array<Row, 4> calls{{{"GET", "/healthcheck", Route::health},
                                    {"GET", "/stats", Route::figures},
                                    {"POST", "/healthcheck/fail", Route::drain},
                                    {"POST", "/healthcheck/ok", Route::take_again}}};

std::string_view reason(int status) {
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

std::string written(int status, std::string_view body, std::string_view allow = {}) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason(status)).append("\r\nContent-Type: application/json\r\n");
    if (!allow.empty()) out.append("Allow: ").append(allow).append("\r\n");
    out.append("Content-Length: ").append(std::to_string(body.size()));
    return out.append("\r\nConnection: close\r\n\r\n").append(body);
}

std::string state(bool yes, const AdminHandler& node) {
    return written(yes ? 200 : 503, R"({"state":)" + json::quoted(node.phase()) + "}");
}

}  // namespace

std::string answer(const http::Request& request, AdminHandler& node) {
    if (request.fault() != http::Fault::none) {
        const int status = static_cast<int>(request.fault());
        return written(status, R"({"error":)" + json::quoted(reason(status)) + "}");
    }
    std::string_view allow;
    for (const Row& row : calls) {
        if (row.path != request.path()) continue;
        allow = row.method;
        if (row.method != request.method()) continue;
        switch (row.call) {
            case Route::health:
                return state(node.ready(), node);
            case Route::figures:
                return written(200, node.figures());
            case Route::drain:
                return state(node.drain(), node);
            case Route::take_again:
                return state(node.take_again(), node);
        }
    }
    if (allow.empty()) return written(404, R"({"error":"no such call"})");
    return written(405, R"({"error":"not called so"})", allow);
}

std::string answer_to_half() { return written(408, R"({"error":"the call was not said whole"})"); }

}  // namespace lemonstair::admin
