#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "settings/router_settings.h"

namespace geraniumspread::settings {
namespace {

constexpr std::string_view kValid = R"(
[instance]
id = "router-1"
failure_domain = "a"
[listen]
public_port = 8001
peer_port = 8101
control_port = 8201
[platform]
config_service = "127.0.0.1:9001"
instance_list = "[::1]:9002"
[fleet]
shared_key_file = "key"
)";

// A folder with a key file beside the settings file.
struct Folder {
  Folder() : path(std::filesystem::temp_directory_path() / "geranium_settings_test") {
    std::filesystem::create_directories(this->path);
    std::ofstream(this->path / "key") << "0123456789abcdef\n";
  }
  std::string File() const { return (this->path / "router.toml").string(); }
  std::filesystem::path path;
};

// Guards against a valid file that is refused or read wrongly.
BOOST_FIXTURE_TEST_CASE(ReadsValidFile, Folder) {
  const auto settings =
      ParseRouterSettings(std::string(kValid) + "[limits]\nread_timeout_ms = 250\n", this->File());
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings.value().instance.id == "router-1");
  BOOST_TEST(settings.value().listen.public_port == 8001);
  BOOST_TEST(settings.value().platform.instance_list.port == 9002);
  BOOST_TEST(settings.value().shared_key == "0123456789abcdef");
  BOOST_TEST((settings.value().limits.read_timeout == std::chrono::milliseconds(250)));
}

// Guards against problems that are reported one at a time or without key and reason.
BOOST_FIXTURE_TEST_CASE(ReportsEveryProblemWithFileKeyAndReason, Folder) {
  const auto settings = ParseRouterSettings(
      "[instance]\nid = 7\n[listen]\npublic_port = 70000\npeer_prot = 1\n[log]\nlevel = \"loud\"\n",
      this->File());
  BOOST_REQUIRE(!settings.has_value());
  const std::string text = ToString(settings.error());
  for (const std::string_view expected :
       {"instance.id: must be a text", "instance.failure_domain: is missing",
        "listen.public_port: must be a whole number from 0 to 65535",
        "listen.peer_prot: is not a known setting", "log.level: must be",
        "platform.config_service: is missing", "fleet.shared_key_file: is missing"}) {
    BOOST_TEST(text.find(this->File() + ": " + std::string(expected)) != std::string::npos,
               "missing: " << expected);
  }
}

// Guards against a syntax error without its place in the file.
BOOST_FIXTURE_TEST_CASE(ReportsSyntaxErrorWithLine, Folder) {
  const auto settings = ParseRouterSettings("[instance]\nid = \n", this->File());
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(ToString(settings.error()).find("line 2") != std::string::npos);
}

// Guards against a fleet that runs with a key that can be guessed.
BOOST_FIXTURE_TEST_CASE(RefusesShortKeyAndBadAddress, Folder) {
  std::ofstream(this->path / "key") << "short\n";
  std::string text(kValid);
  text.replace(text.find("127.0.0.1:9001"), 14, "localhost:9001");
  const auto settings = ParseRouterSettings(text, this->File());
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(ToString(settings.error()).find("at least 16 bytes") != std::string::npos);
  BOOST_TEST(ToString(settings.error()).find("is not an IP address") != std::string::npos);
}

}  // namespace
}  // namespace geraniumspread::settings
