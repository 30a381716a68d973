#include <cstdlib>
#include <filesystem>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "geranium_ctl/files.h"
#include "geranium_ctl/run.h"

namespace geraniumspread::ctl {
namespace {

namespace fs = std::filesystem;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

const std::string kSheet = std::string(GS_EXAMPLES_DIR) + "/crestline/sheet.csv";

struct Outcome {
  ExitCode code = ExitCode::kSuccess;
  std::string out;
  std::string errors;
};

// Flags keep their values between runs in one process, so each run sets all
// that it depends on.
Outcome RunWith(const std::vector<std::string>& arguments) {
  std::vector<const char*> pointers;
  pointers.reserve(arguments.size());
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  std::ostringstream out;
  std::ostringstream errors;
  const ExitCode code = Run(pointers, out, errors);
  return {code, out.str(), errors.str()};
}

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (fs::temp_directory_path() / "geranium_ctl_test_XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    this->path = pattern;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { fs::remove_all(this->path); }

  std::string File(const std::string& name) const { return (this->path / name).string(); }

 private:
  fs::path path;
};

std::string EditedSheet(std::string_view from, std::string_view to) {
  std::string text = ReadFile(kSheet, 1'000'000);
  return text.replace(text.find(from), from.size(), to);
}

// Answers one request on a loopback port with a fixed body.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string body)
      : acceptor(this->context, {boost::asio::ip::address_v4::loopback(), 0}),
        worker([this, answer = std::move(body)] { this->Serve(answer); }) {}
  OneAnswerServer(const OneAnswerServer&) = delete;
  OneAnswerServer& operator=(const OneAnswerServer&) = delete;
  ~OneAnswerServer() { this->worker.join(); }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
  }

 private:
  void Serve(const std::string& body) {
    tcp::socket socket = this->acceptor.accept();
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::read(socket, buffer, request);
    const bool is_status = request.target() == "/status";
    http::response<http::string_body> response(
        is_status ? http::status::ok : http::status::not_found, 11, body);
    response.prepare_payload();
    http::write(socket, response);
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::thread worker;
};

std::string StatusBody(int version, std::string_view alarms) {
  return R"({"state":"serving","configuration":{"version":)" + std::to_string(version) +
         R"(,"digest":"abc","serving":true,"alarms":[)" + std::string(alarms) + "]}}";
}

// Guards against a bad call that ends with success or with several messages.
BOOST_AUTO_TEST_CASE(BadCallsGiveOneErrorAndACode) {
  struct Call {
    std::vector<std::string> arguments;
    ExitCode code;
  };
  const std::vector<Call> calls = {
      {{}, ExitCode::kUsage},
      {{"inspect"}, ExitCode::kUsage},
      {{"check"}, ExitCode::kUsage},
      {{"check", kSheet, "--colour"}, ExitCode::kUsage},
      {{"check", kSheet, "--output"}, ExitCode::kUsage},
      {{"check", kSheet, "--flagfile=x"}, ExitCode::kUsage},
      {{"check", "no-such-file.csv"}, ExitCode::kUnavailable},
      {{"check", kSheet, "--against", "no-such-folder"}, ExitCode::kUnavailable},
      {{"compile", kSheet, "--version", "-1", "--out", "x"}, ExitCode::kUsage},
      {{"compile", kSheet, "--version", "0", "--out", "x"}, ExitCode::kUsage},
      {{"explain", kSheet, "--workspace", "nobody", "--chat", "1"}, ExitCode::kUsage},
      {{"status", "--routers", "127.0.0.1"}, ExitCode::kUsage},
      {{"status", "--routers", "127.0.0.1:99999"}, ExitCode::kUsage},
  };
  for (const Call& call : calls) {
    const Outcome outcome = RunWith(call.arguments);
    BOOST_TEST_CONTEXT(outcome.errors) {
      BOOST_TEST((outcome.code == call.code));
      BOOST_TEST(outcome.out.empty());
      BOOST_TEST(outcome.errors.find('\n') == outcome.errors.size() - 1);
    }
  }
}

// Guards against a compiled folder that the routers or a later diff can't read, and
// against a version that goes backwards.
BOOST_AUTO_TEST_CASE(CompiledFolderReadsBack) {
  const TemporaryFolder folder;
  const std::string compiled = folder.File("compiled");
  const std::vector<std::string> compile = {"compile", kSheet, "--version=7", "--out", compiled};
  BOOST_TEST((RunWith(compile).code == ExitCode::kSuccess));
  const std::string manifest = ReadFile(compiled + "/manifest", 1'000'000);
  BOOST_TEST((RunWith(compile).code == ExitCode::kSuccess));
  BOOST_TEST(ReadFile(compiled + "/manifest", 1'000'000) == manifest);
  BOOST_TEST(ReadConfiguration(compiled).version == 7U);
  BOOST_TEST(
      (RunWith({"compile", kSheet, "--version=6", "--out", compiled}).code == ExitCode::kUsage));
  BOOST_TEST((RunWith({"diff", kSheet, "--against", compiled}).code == ExitCode::kSuccess));

  WriteFile(folder.File("out.csv"), EditedSheet("georgia,in", "georgia,out"));
  const Outcome diff = RunWith({"diff", folder.File("out.csv"), "--against", compiled});
  BOOST_TEST((diff.code == ExitCode::kFound));
  BOOST_TEST(diff.out.find("failure_domain georgia-a: state from \"in\" to \"out\"") == 0U);

  WriteFile(compiled + "/manifest", manifest + "\n");
  BOOST_TEST((RunWith({"diff", kSheet, "--against", compiled}).code == ExitCode::kInvalid));
}

// Guards against a sheet with errors that is compiled, and errors without a place.
BOOST_AUTO_TEST_CASE(SheetErrorsStopTheCompiler) {
  const TemporaryFolder folder;
  WriteFile(folder.File("bad.csv"), EditedSheet("georgia,in", "georgia,perhaps"));
  const Outcome check = RunWith({"check", folder.File("bad.csv"), "--output=json", "--against="});
  BOOST_TEST((check.code == ExitCode::kInvalid));
  const auto finding = boost::json::parse(check.out).at("findings").at(0);
  BOOST_TEST(finding.at("row").as_int64() == 2);
  BOOST_TEST(finding.at("column").as_string() == "state");
  const std::string out = folder.File("out");
  BOOST_TEST((RunWith({"compile", folder.File("bad.csv"), "--version=1", "--out", out}).code ==
              ExitCode::kInvalid));
  BOOST_TEST(!fs::exists(out));
}

// Guards against an explanation that leaves out a limit or a domain.
BOOST_AUTO_TEST_CASE(ExplanationNamesPoolAndDomains) {
  const Outcome outcome = RunWith(
      {"explain", kSheet, "--workspace", "altamaha-survey", "--chat", "c-1", "--output=json"});
  BOOST_TEST((outcome.code == ExitCode::kSuccess));
  const auto report = boost::json::parse(outcome.out);
  BOOST_TEST(report.at("workspace").at("concurrency_limit").as_int64() == 64);
  BOOST_TEST(report.at("placement").at("pools").at(0).at("pool").as_string() == "wording");
  BOOST_TEST(report.at("placement").at("domains_in_service").as_array().size() == 3U);
}

// Guards against disagreement, alarms and silent routers that go unnoticed.
BOOST_AUTO_TEST_CASE(StatusComparesRouters) {
  const auto status_of = [](const std::vector<std::string>& bodies) {
    std::vector<std::unique_ptr<OneAnswerServer>> servers;
    std::string routers = "--routers=";
    for (const std::string& body : bodies) {
      servers.push_back(std::make_unique<OneAnswerServer>(body));
      routers += servers.back()->Address() + ",";
    }
    return RunWith({"status", routers, "--output=text", "--timeout_ms=60000"});
  };
  BOOST_TEST((status_of({StatusBody(7, ""), StatusBody(7, "")}).code == ExitCode::kSuccess));
  const Outcome differing = status_of({StatusBody(7, ""), StatusBody(8, "")});
  BOOST_TEST((differing.code == ExitCode::kFound));
  BOOST_TEST(differing.out.find("disagreement: 1 router(s)") != std::string::npos);
  const std::string alarm =
      R"({"kind":"rejected","version":9,"digest":"d","message":"m","count":1})";
  BOOST_TEST((status_of({StatusBody(7, alarm)}).code == ExitCode::kFound));
  BOOST_TEST((status_of({StatusBody(7, ""), "[]"}).code == ExitCode::kUnavailable));
}

}  // namespace
}  // namespace geraniumspread::ctl
