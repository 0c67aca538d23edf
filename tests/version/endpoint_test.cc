#include "version/endpoint.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace mangodoor {
namespace {

// Guards against addresses that are accepted although no connection to them can
// be opened.
TEST(EndpointTest, RefusesWhatIsNotAnAddressAndPort) {
  const std::string zero_byte("10.0.0.1\0:80", 12);
  for (const std::string& text : {std::string("999.1.1.1:80"),
                                  std::string("1.2.3:80"),
                                  std::string("1.2.3.4.5:80"),
                                  std::string("1.2.3.256:80"),
                                  std::string("....:80"),
                                  std::string(":80"),
                                  std::string("[]:80"),
                                  std::string("[:80"),
                                  std::string("]:80"),
                                  std::string("[1.2.3.4]:80"),
                                  std::string("[::g]:80"),
                                  std::string("[:::]:80"),
                                  std::string("[::1:80"),
                                  std::string("::1:80"),
                                  std::string("1.2.3.4"),
                                  std::string("1.2.3.4:"),
                                  std::string("1.2.3.4:0"),
                                  std::string("1.2.3.4:65536"),
                                  std::string("1.2.3.4:99999999999"),
                                  std::string("1.2.3.4:-1"),
                                  std::string("1.2.3.4:+80"),
                                  std::string("1.2.3.4: 80"),
                                  std::string("1.2.3.4:8e1"),
                                  std::string(" 1.2.3.4:80"),
                                  std::string("1.2.3.4 :80"),
                                  std::string("localhost:80"),
                                  std::string("host.example:80"),
                                  std::string("http://1.2.3.4:80"),
                                  std::string("\xc3\x28:80"),
                                  zero_byte,
                                  std::string(1000000, '['),
                                  std::string(1000000, '1'),
                                  std::string()}) {
    SCOPED_TRACE(text.substr(0, 30));
    EXPECT_THROW(ParseEndpoint(text), std::invalid_argument);
  }
}

// Guards against valid addresses that are refused or read with another port.
TEST(EndpointTest, ReadsAddresses) {
  for (const char* text :
       {"10.128.0.9:8080", "127.0.0.1:1", "255.255.255.255:65535", "0.0.0.0:80",
        "[::1]:80", "[2001:db8::9]:443", "[::ffff:10.0.0.1]:80"}) {
    EXPECT_EQ(ToString(ParseEndpoint(text)), text);
  }
}

// Guards against messages as long as the text that they quote.
TEST(EndpointTest, ShortensTheTextInMessages) {
  try {
    ParseEndpoint(std::string(1000000, '['));
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_LT(std::string(error.what()).size(), 300U);
  }
}

}  // namespace
}  // namespace mangodoor
