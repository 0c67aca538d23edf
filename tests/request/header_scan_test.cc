#include "request/header_scan.h"

#include <gtest/gtest.h>
#include <string>

namespace mangodoor {
namespace {

using State = HeaderScan::State;

State Scan(const std::string& bytes) {
  HeaderScan scan;
  ScanHeader(scan, bytes, kMaxRequestHeader);
  return scan.state;
}

// Guards against headers that two servers parse differently.
TEST(HeaderScanTest, RefusesAmbiguousHeaders) {
  const std::string line = "GET / HTTP/1.1\r\n";
  EXPECT_EQ(Scan(line + "Host: a\r\n\r\n"), State::kComplete);
  EXPECT_EQ(Scan(line + "Host: a\r\n"), State::kIncomplete);
  for (const char* fields :
       {"Host: a\r\n folded\r\n\r\n", "Host : a\r\n\r\n", "Host: a\n\r\n",
        "Host: a\rb\r\n\r\n", ": a\r\n\r\n", "Host\r\n\r\n",
        "Ho\tst: a\r\n\r\n", "Host: a\x01\r\n\r\n"})
    EXPECT_EQ(Scan(line + fields), State::kMalformed) << fields;
  EXPECT_EQ(Scan("GET /\t HTTP/1.1\r\n\r\n"), State::kMalformed);
}

// Guards against an endless header that fills the memory.
TEST(HeaderScanTest, RefusesTooLarge) {
  EXPECT_EQ(Scan("GET /" + std::string(kMaxRequestHeader, 'a')),
            State::kTooLarge);
  EXPECT_EQ(Scan("GET / HTTP/1.1\r\nA: " + std::string(kMaxRequestHeader, 'a') +
                 "\r\n\r\n"),
            State::kTooLarge);
}

// Guards against a result that depends on how the bytes are split into reads.
TEST(HeaderScanTest, ByteByByteScanHasSameResult) {
  const std::string header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  HeaderScan scan;
  for (size_t size = 1; size < header.size(); ++size) {
    ScanHeader(scan, header.substr(0, size), kMaxRequestHeader);
    ASSERT_EQ(scan.state, State::kIncomplete) << size;
  }
  ScanHeader(scan, header + "body", kMaxRequestHeader);
  EXPECT_EQ(scan.state, State::kComplete);
  EXPECT_EQ(scan.size, header.size());
}

}  // namespace
}  // namespace mangodoor
