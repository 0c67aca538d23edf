#include "request/response_owner.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using Kind = ResponseOwner::Kind;

class ResponseOwnerTest : public testing::Test {
 protected:
  ResponseOwnerTest() {
    Add(sent_, "earlier", true);
    Add(sent_, "", false);
    Add(sent_, "this", false);
  }

  Kind KindOf(std::optional<std::string_view> response_id,
              std::string_view request_id) {
    return OwnerOf(response_id, {request_id, false}, sent_).kind;
  }

  SentRequests sent_;
};

// Guards against a response that is given to another request than its own.
TEST_F(ResponseOwnerTest, IdDecides) {
  EXPECT_EQ(KindOf("this", "this"), Kind::kThisRequest);
  EXPECT_EQ(KindOf("earlier", "this"), Kind::kEarlierRequest);
  EXPECT_EQ(KindOf("never", "this"), Kind::kOtherRequest);
  EXPECT_EQ(KindOf(std::nullopt, "this"), Kind::kNotStated);
  EXPECT_EQ(KindOf("", "this"), Kind::kNotStated);
}

// Guards against a request without an id that gets the response to another one.
TEST_F(ResponseOwnerTest, RequestWithoutIdTakesNoResponseWithId) {
  EXPECT_EQ(KindOf(std::nullopt, ""), Kind::kThisRequest);
  EXPECT_EQ(KindOf("earlier", ""), Kind::kEarlierRequest);
  EXPECT_EQ(KindOf("never", ""), Kind::kOtherRequest);
}

// Guards against reading the body of a response by the method of another
// request.
TEST_F(ResponseOwnerTest, MethodIsThatOfTheOwner) {
  EXPECT_TRUE(OwnerOf("earlier", {"this", false}, sent_).is_head);
  EXPECT_FALSE(OwnerOf("this", {"this", false}, sent_).is_head);
  EXPECT_TRUE(OwnerOf("now", {"now", true}, sent_).is_head);
}

// Guards against a connection that has carried more ids than it remembers.
TEST(SentRequestsTest, IsFullAtItsLimit) {
  SentRequests sent;
  for (size_t i = 0; i < kMaxRequestsPerConnection; ++i) {
    EXPECT_FALSE(IsFull(sent));
    Add(sent, std::to_string(i), false);
  }
  EXPECT_TRUE(IsFull(sent));
  EXPECT_NE(Find(sent, "0"), nullptr);
}

}  // namespace
}  // namespace mangodoor
