#include "common/secure_bytes.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <span>
#include <stdexcept>
#include <vector>

namespace geraniumspread {
namespace {

const unsigned char* AsBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

std::string ToHex(std::span<const unsigned char> bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xfU]);
  }
  return hex;
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
  return ToHex({digest.data(), length});
}

std::string HmacSha256Hex(std::string_view key, std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), AsBytes(bytes), bytes.size(),
       digest.data(), &length);
  return ToHex({digest.data(), length});
}

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomHex(std::size_t byte_count) {
  std::vector<unsigned char> bytes(byte_count);
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the operating system gave no random bytes");
  }
  return ToHex(bytes);
}

}  // namespace geraniumspread
