#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "edge/tests/edge_fixture.h"

// The platform's store is restored from a backup and assigns revisions again.
namespace geraniumspread::edge {
namespace {

using namespace std::chrono_literals;
using dispatch::PublishedItem;
using dispatch::StorePosition;
using test::EdgeFixture;
using test::RawUpstream;
using test::Sealed;

struct Fixture : EdgeFixture {
  // Version of the configuration in force at the first instance.
  std::int64_t Version() {
    return boost::json::parse(this->Ask("/status")).as_object().at("config").as_int64();
  }

  void Read(Edge& instance, const std::string& version, StorePosition position) {
    instance.OnPublishedState({{"config", version, position.revision}}, position);
  }

  void Write(Edge& instance, const std::string& version, StorePosition position) {
    instance.OnPublishedChanges({{"config", version, position.revision}}, position);
  }
};

// Guards against a configuration that is skipped because its revision was assigned before
// the restore, and against one that the restore brings back.
BOOST_FIXTURE_TEST_CASE(ChangesAfterARestoreTakeEffect, Fixture) {
  this->Read(*this->edge, "3", {1, 10});
  this->Write(*this->edge, "5", {1, 12});
  this->Read(*this->edge, "3", {2, 10});
  BOOST_TEST(this->Version() == 5);
  this->Write(*this->edge, "7", {2, 11});
  BOOST_TEST(this->Version() == 7);
}

// Guards against an answer that was on its way during the restore.
BOOST_FIXTURE_TEST_CASE(AnAnswerFromBeforeTheRestoreIsIgnored, Fixture) {
  this->Read(*this->edge, "3", {2, 10});
  this->Write(*this->edge, "9", {1, 30});
  this->Read(*this->edge, "9", {1, 30});
  BOOST_TEST(this->Version() == 3);
}

// Guards against instances that wait until the revisions of the new era pass the old ones.
BOOST_FIXTURE_TEST_CASE(APeerDeliversTheStateAfterARestore, Fixture) {
  this->AddInstance("127.0.0.2");
  this->Read(*this->edge, "3", {1, 50});
  this->Read(*this->other_instances[0], "3", {1, 50});
  this->RunFor(500ms);
  this->Read(*this->other_instances[0], "4", {2, 10});
  this->RunFor(1s);
  BOOST_TEST(this->Version() == 4);
}

// Guards against an instance that started after the restore and serves by the
// configuration of the backup.
BOOST_FIXTURE_TEST_CASE(APeerDeliversWhatTheRestoreLost, Fixture) {
  this->AddInstance("127.0.0.2");
  this->Read(*this->other_instances[0], "3", {1, 10});
  this->Write(*this->other_instances[0], "5", {1, 12});
  this->Read(*this->other_instances[0], "3", {2, 10});
  this->Read(*this->edge, "3", {2, 10});
  BOOST_TEST(this->Version() == 3);
  this->RunFor(1s);
  BOOST_TEST(this->Version() == 5);
}

// Guards against dropping an upstream that registered after the backup and serves, and
// against keeping it if it doesn't register again.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatTheBackupLacksHasTimeToRegister, Fixture) {
  this->era = 1;
  this->Read(*this->edge, "3", {1, 1});
  this->AddUpstream({Sealed("whole")});
  this->Read(*this->edge, "3", {2, 1});
  BOOST_TEST(this->Call("/order/1").value().status == 200);
  this->RunFor(2600ms);
  BOOST_TEST(this->Call("/order/2").value().status == 503);
}

}  // namespace
}  // namespace geraniumspread::edge
