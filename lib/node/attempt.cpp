#include "attempt.h"

#include <chrono>

namespace dragonflystair::node {

support::json to_json(const attempt& item, support::time_point now) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(item.deadline - now);
    return {{"id", item.id},
            {"endpoint", item.endpoint},
            {"model", item.model},
            {"body", item.body},
            {"chat", item.chat},
            {"long_work", item.long_work},
            {"isolated", item.isolated},
            {"fingerprint", item.fingerprint},
            {"resume_from", item.resume_from},
            {"deadline_ms", left.count()}};
}

support::result<attempt> attempt_from_json(const support::json& value, support::time_point now) {
    try {
        attempt item;
        item.id = value.at("id").get<std::string>();
        item.endpoint = value.at("endpoint").get<std::string>();
        item.model = value.at("model").get<std::string>();
        item.body = value.at("body");
        item.chat = value.at("chat").get<bool>();
        item.long_work = value.at("long_work").get<bool>();
        item.isolated = value.at("isolated").get<bool>();
        item.fingerprint = value.at("fingerprint").get<std::uint64_t>();
        item.resume_from = value.at("resume_from").get<std::uint64_t>();
        item.deadline =
            now + std::chrono::milliseconds(value.at("deadline_ms").get<std::int64_t>());
        return item;
    } catch (const support::json::exception& fault) {
        return support::fail(support::error_kind::malformed, fault.what());
    }
}

policy::request to_policy_request(const attempt& item) {
    policy::request request;
    request.id = item.id;
    request.adapter = item.model;
    request.work = item.long_work ? policy::work_class::long_work : policy::work_class::short_work;
    request.deadline = item.deadline;
    request.fingerprint = item.fingerprint;
    request.isolated = item.isolated;
    return request;
}

} // namespace dragonflystair::node
