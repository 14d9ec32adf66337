#include "attempt.h"

#include <chrono>

namespace dragonflystair::node {

support::json to_json(const attempt& source, support::time_point now) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(source.deadline - now);
    return {{"id", source.id},
            {"endpoint", source.endpoint},
            {"model", source.model},
            {"body", source.body},
            {"chat", source.chat},
            {"long_work", source.long_work},
            {"isolated", source.isolated},
            {"fingerprint", source.fingerprint},
            {"resume_from", source.resume_from},
            {"deadline_ms", remaining.count()}};
}

support::result<attempt> attempt_from_json(const support::json& value, support::time_point now) {
    try {
        attempt decoded;
        decoded.id = value.at("id").get<std::string>();
        decoded.endpoint = value.at("endpoint").get<std::string>();
        decoded.model = value.at("model").get<std::string>();
        decoded.body = value.at("body");
        decoded.chat = value.at("chat").get<bool>();
        decoded.long_work = value.at("long_work").get<bool>();
        decoded.isolated = value.at("isolated").get<bool>();
        decoded.fingerprint = value.at("fingerprint").get<std::uint64_t>();
        decoded.resume_from = value.at("resume_from").get<std::uint64_t>();
        decoded.deadline =
            now + std::chrono::milliseconds(value.at("deadline_ms").get<std::int64_t>());
        return decoded;
    } catch (const support::json::exception& fault) {
        return support::fail(support::error_kind::malformed, fault.what());
    }
}

policy::request to_policy_request(const attempt& source) {
    policy::request request;
    request.id = source.id;
    request.adapter = source.model;
    request.work =
        source.long_work ? policy::work_class::long_work : policy::work_class::short_work;
    request.deadline = source.deadline;
    request.fingerprint = source.fingerprint;
    request.isolated = source.isolated;
    return request;
}

} // namespace dragonflystair::node
