#include "engine_part.h"

#include "dragonflystair/support/hash.h"

#include "fetch_adapter.h"
#include "token_text.h"

#include <algorithm>

namespace dragonflystair::stand_ins {

namespace {

constexpr std::uint64_t default_max_tokens = 16;

/// The prompt of a completion, or the contents of a chat's messages, one a line.
std::string prompt_of(const json& body, bool chat) {
    if (!chat) {
        return body.at("prompt").get<std::string>();
    }
    std::string prompt;
    for (const auto& message : body.at("messages")) {
        prompt += (prompt.empty() ? "" : "\n") + message.at("content").get<std::string>();
    }
    return prompt;
}

/// `priority` may be a number or true.
double priority_of(const json& body) {
    const auto found = body.value("priority", json(0));
    return found.is_boolean() ? double(found.get<bool>()) : found.get<double>();
}

json token_event(const generation& job) {
    const auto text = token_text(job.adapter, job.prompt, job.position);
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (job.position + 1 == job.end) {
        choice["finish_reason"] = "length";
    }
    if (job.chat) {
        choice["delta"]["content"] = text;
    } else {
        choice["text"] = text;
    }
    auto choices = json::array();
    choices.push_back(std::move(choice));
    return {{"id", job.request_id},
            {"object", job.chat ? "chat.completion.chunk" : "text_completion"},
            {"model", job.adapter},
            {"choices", std::move(choices)}};
}

} // namespace

engine_part::engine_part(asio::any_io_executor context, section& settings)
    : part(context, settings), model_(settings.text("model", "base")),
      slots_(settings.number("slots", 8)), batch_limit_(settings.number("batch_limit", 8)),
      token_time_(settings.duration("token_time", std::chrono::milliseconds{20})),
      prefill_time_(settings.duration("prefill_time", std::chrono::milliseconds{40})),
      checks_fencing_(settings.yes_or_no("checks_fencing", true)), start_(support::random_id()),
      load_ended_(std::move(context)) {
    on_control("slow", slow_);
    on_control("fail_loads", fail_loads_);
    on_control("lose_answers", lose_answers_);
    on_control("restart", [this](const json&) { restart(); });
    on_control("silent", [this](const json&) {
        for (auto* connection : other_connections()) {
            connection->silence();
        }
    });
}

awaitable<void> engine_part::handle(exchange& call) {
    if (call.is(http::verb::get, "/v1/state")) {
        co_await call.respond(http::status::ok, state());
    } else if (call.is(http::verb::post, "/v1/load_lora_adapter")) {
        co_await load(call);
    } else if (call.is(http::verb::post, "/v1/unload_lora_adapter")) {
        co_await unload(call);
    } else if (call.is(http::verb::post, "/v1/completions")) {
        co_await complete(call, false);
    } else if (call.is(http::verb::post, "/v1/chat/completions")) {
        co_await complete(call, true);
    } else if (call.is(http::verb::post, "/v1/cancel")) {
        co_await cancel(call);
    } else {
        co_await call.refuse(http::status::not_found, "no such path");
    }
}

awaitable<bool> engine_part::accept_fence(exchange& call, const json& order) {
    const auto fence = order.at("fence").get<std::uint64_t>();
    if (checks_fencing_ && fence < largest_fence_) {
        count("refused_stale_fence");
        co_await call.refuse(http::status::conflict, "stale fence");
        co_return false;
    }
    largest_fence_ = std::max(largest_fence_, fence);
    co_return true;
}

awaitable<void> engine_part::answer_order(exchange& call) {
    if (take_one(lose_answers_)) {
        call.drop();
    }
    co_await call.respond(http::status::ok, json::object());
}

awaitable<void> engine_part::load(exchange& call) {
    const auto order = call.body();
    const auto adapter = order.at("lora_name").get<std::string>();
    if (!co_await accept_fence(call, order)) {
        co_return;
    }
    if (take_one(fail_loads_)) {
        count("failed_loads");
        co_await call.refuse(http::status::service_unavailable, "load failed");
        co_return;
    }
    while (loading_.contains(adapter)) {
        co_await load_ended_.wait();
    }
    if (resident_.contains(adapter)) {
        co_await answer_order(call);
        co_return;
    }
    if (resident_.size() + loading_.size() >= slots_) {
        count("refused_no_slot");
        co_await call.refuse(http::status::insufficient_storage, "no free slot");
        co_return;
    }
    co_await fetch(call, adapter);
}

awaitable<void> engine_part::fetch(exchange& call, std::string adapter) {
    const auto start = start_;
    loading_.insert(adapter);
    const auto status = co_await fetch_adapter(store_, adapter);
    if (start_ != start) {
        co_return;
    }
    loading_.erase(adapter);
    load_ended_.notify_all();
    if (status != http::status::ok) {
        count("failed_loads");
        co_await call.refuse(http::status::service_unavailable, "store failed");
        co_return;
    }
    count("loads");
    resident_.insert(adapter);
    co_await answer_order(call);
}

awaitable<void> engine_part::unload(exchange& call) {
    const auto order = call.body();
    const auto adapter = order.at("lora_name").get<std::string>();
    if (!co_await accept_fence(call, order)) {
        co_return;
    }
    if (loading_.contains(adapter)) {
        co_await call.refuse(http::status::service_unavailable, "adapter is loading");
        co_return;
    }
    if (resident_.erase(adapter) != 0) {
        count("unloads");
    }
    for (auto* job : jobs_) {
        if (job->adapter == adapter) {
            count("streams_ended_by_unload");
            job->stop("adapter was unloaded");
        }
    }
    co_await answer_order(call);
}

awaitable<void> engine_part::complete(exchange& call, bool chat) {
    const auto body = call.body();
    generation job(context(), call);
    job.request_id = call.header("X-Request-Id");
    job.adapter = body.at("model").get<std::string>();
    job.prompt = prompt_of(body, chat);
    job.chat = chat;
    job.priority = priority_of(body);
    job.position = call.header_number("X-Resume-From", 0);
    job.end = body.value("max_tokens", default_max_tokens);
    if (!resident_.contains(job.adapter)) {
        count("refused_not_resident");
        co_await call.refuse(http::status::not_found, "adapter is not loaded");
        co_return;
    }
    count("streams");
    co_await call.begin_stream();
    jobs_.push_back(&job);
    const auto leave = [this](generation* done) { jobs_.remove(done); };
    {
        const std::unique_ptr<generation, decltype(leave)> registered(&job, leave);
        co_await generate(job);
    }
    fill_batch();
    co_await finish(job);
}

awaitable<void> engine_part::generate(generation& job) {
    fill_batch();
    while (!job.running && job.stopped.empty()) {
        co_await job.changed.wait();
    }
    co_await pause(job, prefill_time_);
    if (job.stopped.empty() && job.prompt.find("CRASH") != std::string::npos) {
        count("crashes");
        restart();
    }
    while (job.stopped.empty() && job.position < job.end) {
        co_await pause(job, token_time_);
        if (job.call.caller_gone()) {
            job.stopped = "caller has gone";
        }
        if (job.stopped.empty()) {
            co_await emit(job);
        }
    }
}

awaitable<void> engine_part::emit(generation& job) {
    const auto event = token_event(job).dump();
    count("tokens");
    co_await job.call.write(fmt::format("id: {}\ndata: {}\n\n", job.position, event));
    ++job.position;
}

awaitable<void> engine_part::finish(generation& job) {
    if (job.stopped.empty()) {
        co_await job.call.write("data: [DONE]\n\n");
    } else {
        const json fault{{"error", {{"message", job.stopped}, {"model", job.adapter}}}};
        co_await job.call.write(fmt::format("event: error\ndata: {}\n\n", fault.dump()));
    }
    co_await job.call.end_stream();
}

awaitable<void> engine_part::pause(generation& job, std::chrono::milliseconds time) {
    if (job.stopped.empty()) {
        const auto slowed = std::chrono::duration_cast<steady::duration>(time * slow_);
        co_await job.changed.wait_until(steady::now() + slowed);
    }
}

void engine_part::fill_batch() {
    while (running() < batch_limit_) {
        generation* chosen = nullptr;
        for (auto* job : jobs_) {
            const bool waits = !job->running && job->stopped.empty();
            if (waits && (chosen == nullptr || job->priority > chosen->priority)) {
                chosen = job;
            }
        }
        if (chosen == nullptr) {
            return;
        }
        chosen->running = true;
        if (chosen->call.caller_gone()) {
            chosen->stopped = "caller has gone";
        }
        chosen->changed.notify_all();
    }
}

std::size_t engine_part::running() const {
    return std::ranges::count_if(
        jobs_, [](const generation* job) { return job->running && job->stopped.empty(); });
}

awaitable<void> engine_part::cancel(exchange& call) {
    const auto request_id = call.body().at("request_id").get<std::string>();
    std::size_t cancelled = 0;
    for (auto* job : jobs_) {
        if (job->request_id == request_id && job->stopped.empty()) {
            job->stop("cancelled");
            ++cancelled;
        }
    }
    fill_batch();
    const json answer{{"cancelled", cancelled}};
    co_await call.respond(http::status::ok, answer);
}

void engine_part::restart() {
    count("restarts");
    start_ = support::random_id();
    largest_fence_ = 0;
    resident_.clear();
    loading_.clear();
    load_ended_.notify_all();
    for (auto* job : jobs_) {
        job->stop("engine restarted");
    }
    for (auto* connection : other_connections()) {
        connection->drop();
    }
}

json engine_part::state() const {
    std::map<std::string, std::size_t> active;
    for (const auto* job : jobs_) {
        if (job->stopped.empty()) {
            ++active[job->adapter];
        }
    }
    return {{"start", start_},       {"model", model_},
            {"slots", slots_},       {"batch_limit", batch_limit_},
            {"running", running()},  {"queued", jobs_.size() - running()},
            {"resident", resident_}, {"active", active}};
}

json engine_part::report() const {
    auto facts = part::report();
    facts["state"] = state();
    return facts;
}

} // namespace dragonflystair::stand_ins
