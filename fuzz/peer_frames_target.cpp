#include "crash_frames.h"
#include "peer_frame.h"
#include "peer_frames.h"
#include "placement_frames.h"
#include "quota_frames.h"
#include "targets.h"

#include <chrono>

namespace dragonflystair::fuzz {

namespace {

constexpr std::size_t max_frame_bytes = std::size_t{64} * 1024;

void decode_everywhere(const support::json& frame) {
    using namespace gateway;
    const support::time_point now{std::chrono::hours{1}};
    decode_status(frame);
    decode_loads(frame);
    decode_demand(frame);
    decode_residency(frame);
    decode_records_request(frame);
    was_just_read(frame);
    decode_records(frame);
    decode_forwarded_notice(frame);
    decode_limit(frame, now);
    decode_permit_requests(frame, now);
    decode_permit_answer(frame);
    decode_placement_request(frame, now);
    decode_placement_answer(frame);
    decode_placement_end(frame);
    decode_call_number(frame);
    decode_quota_request(frame);
    is_touch_report(frame);
    decode_touch_report(frame);
    decode_quota_grant(frame);
    decode_crash_notice(frame);
}

} // namespace

void run_peer_frames(std::string_view input) {
    net::frame_reader reader(max_frame_bytes);
    reader.feed(input);
    support::json frame;
    while (reader.next(frame) == net::frame_reader::read_status::frame) {
        require(frame.is_object() && frame.at("type").is_string(), "a frame has a type");
        decode_everywhere(frame);
    }
}

} // namespace dragonflystair::fuzz
