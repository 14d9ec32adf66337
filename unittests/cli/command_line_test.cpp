#include "dragonflystair/cli/command_line.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace {

using namespace dragonflystair;
using cli::command_result;
using cli::exit_code;

/// Temporary file that is removed at the end of its scope.
class scratch_file {
public:
    explicit scratch_file(const std::string& text) {
        const int handle = mkstemp(path_.data());
        CPPUNIT_ASSERT_MESSAGE("mkstemp must succeed", handle >= 0);
        close(handle);
        std::ofstream(path_) << text;
    }
    ~scratch_file() { unlink(path_.c_str()); }
    scratch_file(const scratch_file&) = delete;
    scratch_file& operator=(const scratch_file&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_ = "/tmp/dragonflystair-test-XXXXXX";
};

class command_line_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(command_line_test);
    CPPUNIT_TEST(wrong_command_line_gives_usage);
    CPPUNIT_TEST(help_and_version_are_output);
    CPPUNIT_TEST(check_reports_each_finding_with_file_and_line);
    CPPUNIT_TEST(check_distinguishes_settings_from_deployment_text);
    CPPUNIT_TEST(check_exits_by_severity_and_difference);
    CPPUNIT_TEST(check_against_node_reads_the_text_in_force);
    CPPUNIT_TEST(check_against_another_form_is_a_usage_error);
    CPPUNIT_TEST(node_with_findings_does_not_start);
    CPPUNIT_TEST(publish_sends_text_base_author_and_token);
    CPPUNIT_TEST(publish_refusals_exit_with_one);
    CPPUNIT_TEST(publish_without_valid_options_sends_nothing);
    CPPUNIT_TEST(status_prints_aligned_table);
    CPPUNIT_TEST(history_lists_conflicts);
    CPPUNIT_TEST(resolve_requests_percent_encoded_model);
    CPPUNIT_TEST(failed_call_exits_with_three);
    CPPUNIT_TEST_SUITE_END();

    const std::string address_ = "127.0.0.1:7002";

public:
    void setUp() override {
        sent_.clear();
        response_ = {200, "", "{}"};
        started_ = false;
    }

    void wrong_command_line_gives_usage() {
        for (const auto& words : {std::vector<std::string>{},
                                  {"chek", "a.ini"},
                                  {"check"},
                                  {"check", "a", "b"},
                                  {"node"},
                                  {"publish", "a.ini"},
                                  {"status", "--operator"},
                                  {"status", "--what"}}) {
            const auto result = run(words);
            CPPUNIT_ASSERT(result.code == exit_code::usage);
            CPPUNIT_ASSERT(result.errors.starts_with("Usage:\n  dragonflystair node"));
            CPPUNIT_ASSERT(result.errors.ends_with("dragonflystair --help\n"));
        }
    }

    void help_and_version_are_output() {
        const auto help = run({"--help"});
        CPPUNIT_ASSERT(help.code == exit_code::success);
        CPPUNIT_ASSERT(help.output.find("Examples:") != std::string::npos);
        CPPUNIT_ASSERT(run({"--version"}).output.starts_with("dragonflystair "));
    }

    void check_reports_each_finding_with_file_and_line() {
        const scratch_file file("[deployment]\nname = a b\n[data_centre lahore]\n");
        const auto result = run({"check", file.path()});
        CPPUNIT_ASSERT(result.code == exit_code::refused);
        CPPUNIT_ASSERT(result.output.starts_with(file.path() + ":2: error: name = 'a b'"));
        CPPUNIT_ASSERT(result.output.find(file.path() + ":3: error: missing key 'region'") !=
                       std::string::npos);
        CPPUNIT_ASSERT(run({"check", "/nonexistent/file"}).code == exit_code::refused);
    }

    void check_distinguishes_settings_from_deployment_text() {
        const scratch_file text("[deployment]\nname = a\n");
        CPPUNIT_ASSERT(run({"check", text.path()}).code == exit_code::success);
        const scratch_file settings("[node]\nname = a\n");
        CPPUNIT_ASSERT(run({"check", settings.path()}).output.find("'caller_address'") !=
                       std::string::npos);
    }

    /// Guards against a script that publishes in spite of errors, or that stops for nothing.
    void check_exits_by_severity_and_difference() {
        const scratch_file sound(R"({"version":1,"services":[{"name":"s"}],"routes":[
            {"host":"h","path-prefix":"/","kind":"safe","service":"s"}]})");
        const scratch_file changed(R"({"version":2,"services":[{"name":"s","max-conns":8}],
            "routes":[{"host":"h","path-prefix":"/","kind":"safe","service":"s"}]})");
        const scratch_file warned(R"({"version":3,"services":[{"name":"s"}]})");
        const scratch_file broken(R"({"services":[{"name":"s"}]})");
        const scratch_file unreadable("{");
        const auto against = [&](const scratch_file& file, const scratch_file& in_force) {
            return run({"check", file.path(), "--against", in_force.path()});
        };
        CPPUNIT_ASSERT(run({"check", sound.path()}).code == exit_code::success);
        CPPUNIT_ASSERT(run({"check", warned.path()}).code == exit_code::warnings);
        CPPUNIT_ASSERT(run({"check", broken.path()}).code == exit_code::refused);
        CPPUNIT_ASSERT(against(sound, sound).code == exit_code::success);
        CPPUNIT_ASSERT(against(warned, sound).code == exit_code::warnings);
        const auto different = against(changed, sound);
        CPPUNIT_ASSERT(different.code == exit_code::different);
        CPPUNIT_ASSERT_EQUAL(std::string("changed: service 's': connections from 0 to 8\n"),
                             different.output);
        const auto incomparable = against(warned, unreadable);
        CPPUNIT_ASSERT(incomparable.code == exit_code::refused);
        CPPUNIT_ASSERT(incomparable.output.starts_with(warned.path() + ":services[0].name: w"));
        CPPUNIT_ASSERT(incomparable.output.find(unreadable.path() + ":0: error: cannot be read") !=
                       std::string::npos);
        CPPUNIT_ASSERT(run({"check", sound.path(), "--against", "/nonexistent/file"}).code ==
                       exit_code::refused);
    }

    void check_against_node_reads_the_text_in_force() {
        const scratch_file text("[deployment]\nname = a\ntransit_limit = 2\n");
        const std::vector<std::string> words{"check", text.path(), "--against", address_};
        response_.body = "[deployment]\nname = a\ntransit_limit = 2\n";
        const auto warned = run(words);
        CPPUNIT_ASSERT(warned.code == exit_code::warnings);
        CPPUNIT_ASSERT_EQUAL(std::string("GET /v1/text"),
                             sent_.at(0).method + " " + sent_.at(0).target);
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"), header("Authorization"));
        response_.body = "";
        CPPUNIT_ASSERT_EQUAL(warned.output + "added: [deployment]\n", run(words).output);
        response_ = {401, "", ""};
        CPPUNIT_ASSERT(run(words).code == exit_code::refused);
        failure_ = support::error_kind::unavailable;
        const auto failed = run(words);
        CPPUNIT_ASSERT(failed.code == exit_code::unreachable);
        CPPUNIT_ASSERT_EQUAL(warned.output, failed.output);
    }

    void check_against_another_form_is_a_usage_error() {
        const scratch_file json(R"({"version":1})");
        const scratch_file text("[deployment]\nname = a\n");
        const scratch_file settings("[node]\nname = a\n");
        for (const auto& [file, in_force] : {std::pair(json.path(), text.path()),
                                             {text.path(), json.path()},
                                             {json.path(), address_},
                                             {settings.path(), settings.path()}}) {
            CPPUNIT_ASSERT(run({"check", file, "--against", in_force}).code == exit_code::usage);
        }
        CPPUNIT_ASSERT(sent_.empty());
    }

    void node_with_findings_does_not_start() {
        const scratch_file settings("[node]\nname = a\n");
        CPPUNIT_ASSERT(run({"node", "--settings", settings.path()}).code == exit_code::refused);
        CPPUNIT_ASSERT(!started_);
    }

    void publish_sends_text_base_author_and_token() {
        response_.body = R"({"revision":8192,"in_force":["lahore"],"missing":["multan"]})";
        const auto result = publish("4096");
        CPPUNIT_ASSERT(result.code == exit_code::success);
        CPPUNIT_ASSERT_EQUAL(std::string("Revision     8192\nIn force in  lahore\n"
                                         "Missing      multan\n"),
                             result.output);
        const auto& request = sent_.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("POST /v1/publish?base=4096"),
                             request.method + " " + request.target);
        CPPUNIT_ASSERT_EQUAL(std::string("the text\n"), request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"), header("Authorization"));
        CPPUNIT_ASSERT_EQUAL(std::string("amina"), header("X-Author"));
    }

    void publish_refusals_exit_with_one() {
        response_ = {400, "", R"({"findings":[{"line":7,"message":"bad"}]})"};
        auto result = publish("0");
        CPPUNIT_ASSERT(result.code == exit_code::refused);
        CPPUNIT_ASSERT(result.output.ends_with(":7: error: bad\n"));

        response_ = {409, "", R"({"conflicts":["service a","adapter a/b"],"revision":9})"};
        result = publish("0");
        CPPUNIT_ASSERT(result.code == exit_code::refused);
        CPPUNIT_ASSERT(result.errors.find("service a, adapter a/b") != std::string::npos);
        CPPUNIT_ASSERT(result.errors.find("--base 9") != std::string::npos);

        response_ = {401, "", ""};
        CPPUNIT_ASSERT(publish("0").code == exit_code::refused);

        response_ = {503, "2", R"({"detail":"the log is down"})"};
        CPPUNIT_ASSERT_EQUAL(
            std::string("error: refused with status 503: the log is down, retry after 2 s\n"),
            publish("0").errors);
    }

    void publish_without_valid_options_sends_nothing() {
        CPPUNIT_ASSERT(publish("-1").code == exit_code::usage);
        CPPUNIT_ASSERT(publish("last").code == exit_code::usage);
        token_.reset();
        CPPUNIT_ASSERT(publish("0").code == exit_code::usage);
        token_ = "two words";
        CPPUNIT_ASSERT(publish("0").code == exit_code::usage);
        token_ = "secret";
        CPPUNIT_ASSERT(run({"status", "--operator", "localhost:1"}).code == exit_code::usage);
        CPPUNIT_ASSERT(sent_.empty());
        const scratch_file token("from-file\n");
        run({"status", "--operator", address_, "--token-file", token.path()});
        CPPUNIT_ASSERT_EQUAL(std::string("Bearer from-file"), header("Authorization"));
    }

    void status_prints_aligned_table() {
        response_.body =
            R"({"node":"entry-1","revision":4096,"ready":true,"lifecycle":"serving",)"
            R"("peers":[{"node":"entry-20","data_centre":"multan","revision":0}],)"
            R"("endpoints":[{"id":"w1","service":"assistant","data_centre":"lahore",)"
            R"("state":"live","owner":"entry-1","resident":["a@1","b@2"],"running":3}]})";
        CPPUNIT_ASSERT_EQUAL(
            std::string("NODE     REVISION  READY  LIFECYCLE\n"
                        "entry-1  4096      yes    serving\n"
                        "\n"
                        "PEER      DATA CENTRE  REVISION\n"
                        "entry-20  multan       0\n"
                        "\n"
                        "ENDPOINT  SERVICE    DATA CENTRE  STATE  OWNER    RUNNING  QUEUED  "
                        "RESIDENT\n"
                        "w1        assistant  lahore       live   entry-1  3        -       a@1, "
                        "b@2\n"),
            run({"status", "--operator", address_}).output);
        response_.body = "not JSON";
        CPPUNIT_ASSERT(run({"status", "--operator", address_}).code == exit_code::unreachable);
    }

    void history_lists_conflicts() {
        response_.body =
            R"({"changes":[{"revision":1,"base":0,"author":"a","sections":["s"],"conflicts":[]},)"
            R"({"revision":2,"base":0,"author":"b","sections":["s"],"conflicts":["s"]}]})";
        CPPUNIT_ASSERT_EQUAL(std::string("REVISION  BASE  AUTHOR  RESULT    CONFLICTS  SECTIONS\n"
                                         "1         0     a       accepted  -          s\n"
                                         "2         0     b       conflict  s          s\n"),
                             run({"history", "--operator", address_}).output);
    }

    void resolve_requests_percent_encoded_model() {
        response_.body = R"({"addresses":[{"address":"10.0.0.1:7000","data_centre":"lahore"}],)"
                         R"("lifetime_seconds":10})";
        const auto result = run({"resolve", "assistant", "pleats@4&x", "--node", address_});
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/resolve?model=assistant/pleats@4%26x"),
                             sent_.at(0).target);
        CPPUNIT_ASSERT_EQUAL(std::string("ADDRESS        DATA CENTRE\n"
                                         "10.0.0.1:7000  lahore\n"
                                         "\nThe answer may be kept for 10 s.\n"),
                             result.output);
        run({"resolve", "register", "--node", address_});
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/resolve?model=register"), sent_.at(1).target);
    }

    /// Guards against reporting a publication as refused when the response was lost and the
    /// publication may be in force.
    void failed_call_exits_with_three() {
        failure_ = support::error_kind::unavailable;
        auto result = publish("0");
        CPPUNIT_ASSERT(result.code == exit_code::unreachable);
        CPPUNIT_ASSERT(result.errors.find("cannot be reached") != std::string::npos);
        failure_ = support::error_kind::unknown;
        result = publish("0");
        CPPUNIT_ASSERT(result.code == exit_code::unreachable);
        CPPUNIT_ASSERT(result.errors.find("may have taken effect") != std::string::npos);
    }

private:
    command_result run(const std::vector<std::string>& words) {
        cli::environment env;
        env.call = [this](const cli::remote_request& request) {
            sent_.push_back(request);
            return reply();
        };
        env.run_node = [this](const config::settings&) {
            started_ = true;
            return 0;
        };
        env.variable = [this](const std::string& name) {
            return name == "DRAGONFLYSTAIR_TOKEN" ? token_ : std::nullopt;
        };
        return cli::run(words, env);
    }

    support::async_result<cli::remote_response> reply() const {
        if (failure_) {
            return support::error{*failure_, "no answer", {}};
        }
        return response_;
    }

    command_result publish(const std::string& base) {
        const scratch_file text("the text\n");
        return run(
            {"publish", text.path(), "--base", base, "--operator", address_, "--author", "amina"});
    }

    std::string header(const std::string& name) {
        for (const auto& [key, value] : sent_.back().headers) {
            if (key == name) {
                return value;
            }
        }
        return "";
    }

    std::vector<cli::remote_request> sent_;
    cli::remote_response response_;
    std::optional<support::error_kind> failure_;
    std::optional<std::string> token_ = "secret";
    bool started_ = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_line_test);

} // namespace
