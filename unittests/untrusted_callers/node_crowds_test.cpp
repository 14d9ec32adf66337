#include "crowd_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace {

using namespace dragonflystair;
using namespace dragonflystair::untrusted;

constexpr std::size_t legal_body_bytes = std::size_t{1024} * 1024;
constexpr std::size_t legal_text_bytes = std::size_t{16} * 1024 * 1024;

const std::string deployment = "[deployment]\nname = crowds\n[data_centre north]\nregion = n\n"
                               "[service register]\nkind = plain\ndata_centres = north\n"
                               "non_idempotent = POST /stamps\nstatus_lookup = /stamps/{key}\n";

/// Addresses of the node and of the stand-ins for its platform.
struct node_addresses {
    std::string callers;
    std::string operators;
    std::string peers;
    std::string log;
    std::string vms;
    std::string endpoint;
};

std::string platform_settings_of(const node_addresses& at) {
    return fmt::format("[log]\naddress = {}\n[vms]\naddress = {}\nlag = 10ms\n", at.log, at.vms) +
           fmt::format("[plain register-1]\naddress = {}\ndata_centre = north\n", at.endpoint) +
           "service = register\nrun_time = 5ms\n";
}

std::string settings_of(const node_addresses& at) {
    return "[node]\nname = node-1\ndata_centre = north\nregion = n\n" +
           fmt::format("caller_address = {}\npeer_address = {}\noperator_address = {}\n",
                       at.callers, at.peers, at.operators) +
           fmt::format("[platform]\nlog = {}\nvm_list = {}\n", at.log, at.vms) +
           "[secrets]\noperator_token = token\npeer_secret = secret\n" +
           fmt::format("[limits]\nmemory_mb = {}\ndescriptors = {}\n", memory_mb, descriptors);
}

/// `node`, whose crowds come to a path with a service, a path without one, the ready path, the path
/// at which operators publish and the listener of peers.
class node_crowds_test : public crowd_fixture {
    CPPUNIT_TEST_SUB_SUITE(node_crowds_test, crowd_fixture);
    CPPUNIT_TEST(requests_that_are_refused_anyway_are_answered_without_their_body);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        crowd_fixture::setUp();
        const auto unused = unused_addresses(6);
        at_ = {unused[0], unused[1], unused[2], unused[3], unused[4], unused[5]};
        platform_ = std::make_unique<observed_process>(
            std::vector<std::string>{DRAGONFLYSTAIR_STAND_INS}, platform_settings_of(at_));
        process_ = std::make_unique<observed_process>(
            std::vector<std::string>{DRAGONFLYSTAIR_PROGRAM, "node"}, settings_of(at_));
        wait_until("the node is not ready", [this] { return ready(); });
        const auto published = status_of(at_.operators, "POST", "/v1/publish?base=0",
                                         {{"Authorization", "Bearer token"}}, deployment);
        CPPUNIT_ASSERT_EQUAL(200, published);
        // It serves calls once it has read the VM list.
        wait_until("the node serves no call", [this] { return stamp("first") == 200; });
    }

    void tearDown() override {
        process_.reset();
        platform_.reset();
        crowd_fixture::tearDown();
    }

    /// Guards against bodies that are held although the head shows that they are not used.
    void requests_that_are_refused_anyway_are_answered_without_their_body() {
        CPPUNIT_ASSERT_EQUAL(std::string("401"), status_without_body(at_.operators, "/v1/publish"));
        CPPUNIT_ASSERT_EQUAL(std::string("404"), status_without_body(at_.callers, "/nowhere"));
        CPPUNIT_ASSERT_EQUAL(std::string("200"), status_without_body(at_.operators, "/healthz"));
    }

protected:
    const observed_process& process() const override { return *process_; }

    std::vector<crowd_target> targets() const override {
        return {{at_.callers, "/services/register/notes", legal_body_bytes},
                {at_.callers, "/nowhere", legal_body_bytes},
                {at_.operators, "/readyz", legal_text_bytes},
                {at_.operators, "/v1/publish", legal_text_bytes},
                {at_.peers, "/", legal_body_bytes, true}};
    }

    void check_ordinary_requests() const override {
        CPPUNIT_ASSERT_EQUAL(200, stamp("second"));
        CPPUNIT_ASSERT(ready());
    }

private:
    bool ready() const { return status_of(at_.operators, "GET", "/readyz", {}) == 200; }

    int stamp(const std::string& key) const {
        return status_of(at_.callers, "POST", "/services/register/stamps",
                         {{"Idempotency-Key", key}, {"X-Deadline-Ms", "9000"}}, "{}");
    }

    /// Sends a head that announces a body, and returns the status of the response.
    static std::string status_without_body(const std::string& address, const std::string& path) {
        boost::asio::ip::tcp::iostream stream;
        const auto colon = address.rfind(':');
        stream.connect(address.substr(0, colon), address.substr(colon + 1));
        stream << "POST " << path
               << " HTTP/1.1\r\nHost: desk\r\nContent-Length: " << legal_body_bytes << "\r\n\r\n"
               << std::flush;
        std::string version;
        std::string status;
        stream >> version >> status;
        return status;
    }

    node_addresses at_;
    std::unique_ptr<observed_process> platform_;
    std::unique_ptr<observed_process> process_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_crowds_test);

} // namespace
