#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>
#include <string_view>

namespace dragonflystair::net {

/// Collects the deviations of all cases, so that one run shows each of them.
class case_report {
public:
    template <class T> void expect(std::string_view subject, const T& expected, const T& actual) {
        if (expected != actual) {
            text_ << '\n' << subject << ": expected " << expected << ", was " << actual;
        }
    }

    void assert_none() const { CPPUNIT_ASSERT_MESSAGE(text_.str(), text_.str().empty()); }

private:
    std::ostringstream text_;
};

} // namespace dragonflystair::net
