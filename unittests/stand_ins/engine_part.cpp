#include "dragonflystair/support/hash.h"

#include "fetch_adapter.h"
#include "generation.h"
#include "make_part.h"
#include "token_text.h"

#include <algorithm>
#include <list>

namespace dragonflystair::stand_ins {

namespace {

constexpr std::uint64_t default_max_tokens = 16;

/// Returns the prompt of a completion, or the contents of a chat's messages joined by newlines.
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

/// Returns the field `priority`, which may be a number or a boolean; 0 if absent.
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

/// A model engine with continuous batching. Requests are queued while the batch is full. The
/// highest `priority` is admitted first; equal priorities are admitted in order of arrival.
class engine_part : public part {
public:
    engine_part(const asio::any_io_executor& context, section& settings)
        : part(context, settings), model_(settings.text("model", "base")),
          slots_(settings.number("slots", 8)), batch_limit_(settings.number("batch_limit", 8)),
          token_time_(settings.duration("token_time", std::chrono::milliseconds{20})),
          prefill_time_(settings.duration("prefill_time", std::chrono::milliseconds{40})),
          checks_fencing_(settings.yes_or_no("checks_fencing", true)), load_ended_(context) {
        on_control("slow", slow_);
        on_control("fail_loads", fail_loads_);
        on_control("lose_answers", lose_answers_);
        on_control("restart", [this](const json&) { restart(); });
        on_control("silent", [this](const json&) {
            std::ranges::for_each(other_connections(), &exchange::silence);
        });
    }

    void connect(const parts& all) override {
        if (const auto store = all.find("store"); store != all.end()) {
            store_ = store->second->address();
        }
    }

private:
    awaitable<json> handle(exchange& call) override {
        if (call.is(http::verb::get, "/v1/state")) {
            co_return state();
        }
        if (call.method() != http::verb::post) {
            refuse(http::status::not_found, "no such path");
        }
        const auto path = call.path();
        if (path == "/v1/completions" || path == "/v1/chat/completions") {
            co_return co_await complete(call, path == "/v1/chat/completions");
        }
        const auto order = call.body();
        if (path == "/v1/cancel") {
            co_return cancel(order);
        }
        json answer;
        if (path == "/v1/load_lora_adapter") {
            answer = co_await load(order);
        } else if (path == "/v1/unload_lora_adapter") {
            answer = unload(order);
        } else {
            refuse(http::status::not_found, "no such path");
        }
        if (consume_one(lose_answers_)) {
            call.drop();
        }
        co_return answer;
    }

    [[nodiscard]] json report() const override {
        auto facts = part::report();
        facts["state"] = state();
        return facts;
    }

    awaitable<json> load(const json& order) {
        const auto adapter = order.at("lora_name").get<std::string>();
        check_fence(order);
        if (consume_one(fail_loads_)) {
            refuse(http::status::service_unavailable, "load failed");
        }
        const auto start = start_;
        while (loading_.contains(adapter) && start_ == start) {
            co_await load_ended_.wait();
        }
        if (start_ != start) {
            refuse(http::status::service_unavailable, "engine restarted");
        }
        if (!resident_.contains(adapter)) {
            co_await fetch(adapter);
        }
        co_return json::object();
    }

    awaitable<void> fetch(std::string adapter) {
        if (store_.empty()) {
            refuse(http::status::service_unavailable, "no store");
        }
        if (resident_.size() + loading_.size() >= slots_) {
            refuse(http::status::insufficient_storage, "no free slot");
        }
        const auto start = start_;
        loading_.insert(adapter);
        const auto status = co_await fetch_adapter(store_, adapter);
        if (start_ != start) {
            refuse(http::status::service_unavailable, "engine restarted");
        }
        loading_.erase(adapter);
        load_ended_.notify_all();
        if (status != http::status::ok) {
            refuse(http::status::service_unavailable, "store failed");
        }
        count("loads");
        resident_.insert(adapter);
    }

    json unload(const json& order) {
        const auto adapter = order.at("lora_name").get<std::string>();
        check_fence(order);
        if (loading_.contains(adapter)) {
            refuse(http::status::service_unavailable, "adapter is loading");
        }
        if (resident_.erase(adapter) != 0) {
            count("unloads");
        }
        for (auto* job : jobs_) {
            if (job->adapter == adapter && job->stopped.empty()) {
                count("streams_ended_by_unload");
                job->stop("adapter was unloaded");
            }
        }
        return json::object();
    }

    /// Rejects an order whose fencing number is stale, unless the engine is set to ignore them.
    void check_fence(const json& order) {
        const auto fence = order.at("fence").get<std::uint64_t>();
        if (checks_fencing_ && fence < largest_fence_) {
            refuse(http::status::conflict, "stale fence");
        }
        largest_fence_ = std::max(largest_fence_, fence);
    }

    awaitable<json> complete(exchange& call, bool chat) {
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
            refuse(http::status::not_found, "adapter is not loaded");
        }
        count("streams");
        // Registered before the response head is written, because an unload or restart during that
        // write must stop this stream too.
        jobs_.push_back(&job);
        const auto unregister = [this](generation* done) { jobs_.remove(done); };
        {
            const std::unique_ptr<generation, decltype(unregister)> registered(&job, unregister);
            co_await call.begin_stream();
            co_await generate(job);
        }
        fill_batch();
        co_await finish(job);
        co_return nullptr;
    }

    awaitable<void> generate(generation& job) {
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
            if (job.call.caller_disconnected()) {
                job.stopped = "caller disconnected";
            }
            if (job.stopped.empty()) {
                co_await emit(job);
            }
        }
    }

    awaitable<void> emit(generation& job) {
        const auto event = token_event(job).dump();
        count("tokens");
        co_await job.call.write(fmt::format("id: {}\ndata: {}\n\n", job.position, event));
        ++job.position;
    }

    awaitable<void> finish(generation& job) {
        if (job.stopped.empty()) {
            co_await job.call.write("data: [DONE]\n\n");
        } else {
            const json fault{{"error", {{"message", job.stopped}, {"model", job.adapter}}}};
            co_await job.call.write(fmt::format("event: error\ndata: {}\n\n", fault.dump()));
        }
        co_await job.call.end_stream();
    }

    awaitable<void> pause(generation& job, std::chrono::milliseconds time) {
        if (job.stopped.empty()) {
            co_await job.changed.wait_until(steady::now() + scaled(time, slow_));
        }
    }

    json cancel(const json& order) {
        const auto request_id = order.at("request_id").get<std::string>();
        std::size_t cancelled = 0;
        for (auto* job : jobs_) {
            if (job->request_id == request_id && job->stopped.empty()) {
                job->stop("cancelled");
                ++cancelled;
            }
        }
        return {{"cancelled", cancelled}};
    }

    void fill_batch() {
        // `std::list::sort` is stable, so equal priorities stay in order of arrival.
        jobs_.sort([](const generation* left, const generation* right) {
            return left->priority > right->priority;
        });
        for (auto* job : jobs_) {
            if (job->running || !job->stopped.empty() || running() >= batch_limit_) {
                continue;
            }
            if (job->call.caller_disconnected()) {
                job->stop("caller disconnected");
                continue;
            }
            job->running = true;
            job->changed.notify_all();
        }
    }

    void restart() {
        count("restarts");
        start_ = support::random_id();
        largest_fence_ = 0;
        resident_.clear();
        loading_.clear();
        load_ended_.notify_all();
        for (auto* job : jobs_) {
            job->stop("engine restarted");
        }
        std::ranges::for_each(other_connections(), &exchange::drop);
    }

    [[nodiscard]] json state() const {
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

    [[nodiscard]] std::size_t running() const {
        return std::ranges::count_if(
            jobs_, [](const generation* job) { return job->running && job->stopped.empty(); });
    }

    std::string model_;
    std::uint64_t slots_;
    std::uint64_t batch_limit_;
    std::chrono::milliseconds token_time_;
    std::chrono::milliseconds prefill_time_;
    bool checks_fencing_;
    std::string store_;

    double slow_ = 1;
    std::uint64_t fail_loads_ = 0;
    std::uint64_t lose_answers_ = 0;

    std::string start_ = support::random_id();
    std::uint64_t largest_fence_ = 0;
    std::set<std::string> resident_;
    std::set<std::string> loading_;
    notifier load_ended_;
    std::list<generation*> jobs_;
};

} // namespace

std::shared_ptr<part> make_engine(const asio::any_io_executor& context, section& settings) {
    return std::make_shared<engine_part>(context, settings);
}

} // namespace dragonflystair::stand_ins
