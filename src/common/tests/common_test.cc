#include <boost/test/unit_test.hpp>

#include "common/base64.h"
#include "common/common_types.h"
#include "common/hash.h"
#include "common/runtime_clock.h"
#include "common/secure_bytes.h"
#include "common/utf8.h"

namespace geraniumspread {
namespace {

// Guards against timers that fire while a test has paused the clock.
BOOST_AUTO_TEST_CASE(PausedClockMovesOnlyByAdvance) {
  const ScopedPausedClock paused;
  const TimePoint start = RuntimeClock::now();
  BOOST_TEST((RuntimeClock::now() == start));
  RuntimeClock::Advance(std::chrono::seconds(5));
  BOOST_TEST((RuntimeClock::now() - start == std::chrono::seconds(5)));
}

// Guards against routers of different builds that disagree on placement.
BOOST_AUTO_TEST_CASE(StableHashHasFixedValues) {
  BOOST_TEST(StableHash("") == 0x2d06800538d394c2ULL);
  BOOST_TEST(StableHash("chat-1") == StableHash("chat-1"));
  BOOST_TEST(StableHash("chat-1", 1) != StableHash("chat-1", 2));
  BOOST_TEST(MixHash(1, 2) != MixHash(2, 1));
}

// Guards against a MAC that peers with another library can't verify (RFC 4231, case 2).
BOOST_AUTO_TEST_CASE(HmacMatchesPublishedVector) {
  BOOST_TEST(HmacSha256Hex("Jefe", "what do ya want for nothing?") ==
             "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
  BOOST_TEST(ConstantTimeEquals("abc", "abc"));
  BOOST_TEST(!ConstantTimeEquals("abc", "abd"));
  BOOST_TEST(!ConstantTimeEquals("abc", "ab"));
}

// Guards against an unknown priority that is silently taken for another one.
BOOST_AUTO_TEST_CASE(PriorityClassRoundTrip) {
  for (int index = 0; index < kPriorityClassCount; ++index) {
    PriorityClass parsed{};
    BOOST_TEST(ParsePriorityClass(ToString(static_cast<PriorityClass>(index)), parsed));
    BOOST_TEST(static_cast<int>(parsed) == index);
  }
  PriorityClass untouched = PriorityClass::kBatch;
  BOOST_TEST(!ParsePriorityClass("urgent", untouched));
  BOOST_TEST((untouched == PriorityClass::kBatch));
}

// Guards against damaged text that is taken for bytes: published values and handed-over answers
// travel as base64.
BOOST_AUTO_TEST_CASE(Base64IsReadWholeOrNotAtAll) {
  for (const std::string& bytes : {std::string(), std::string("a"), std::string("ab"),
                                   std::string("abc"), std::string("\0\xff\x80", 3)}) {
    BOOST_TEST(DecodeBase64(EncodeBase64(bytes)).value_or("none") == bytes);
  }
  BOOST_TEST(EncodeBase64("abcd") == "YWJjZA==");
  for (const std::string_view damaged :
       {"YWJjZA=", "YW=jZA==", "YWJj\nA==", " YWJjZA=", "YW?jZA==", "===="}) {
    BOOST_TEST(!DecodeBase64(damaged).has_value(), damaged);
  }
}

BOOST_AUTO_TEST_CASE(InvalidUtf8IsFoundAndReplaced) {
  for (const std::string text : {"", "a", "\xc3\xa9", "\xf0\x9f\x98\x80", "\xef\xbf\xbd"}) {
    BOOST_TEST(IsUtf8(text), text);
    BOOST_TEST(ReplaceInvalidUtf8(text) == text);
  }
  for (const std::string byte : {"\x80", "\xc3", "\xe2\x82", "\xc0\xaf", "\xed\xa0\x80", "\xff"}) {
    BOOST_TEST(!IsUtf8("a" + byte));
    BOOST_TEST(!IsUtf8(byte + "z"));
    const std::string replaced = ReplaceInvalidUtf8("a" + byte + "z");
    BOOST_TEST(IsUtf8(replaced));
    BOOST_TEST(replaced.starts_with("a\xef\xbf\xbd"));
    BOOST_TEST(replaced.ends_with("\xef\xbf\xbdz"));
  }
}

}  // namespace
}  // namespace geraniumspread
