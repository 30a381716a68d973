#include "edge/internal/peer_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace geraniumspread::edge::detail {
namespace {

namespace json = boost::json;

json::object Parse(std::string_view bytes) {
  return json::parse(bytes).as_object();
}

}  // namespace

std::string EncodeDigest(const dispatch::PeerDigest& digest) {
  json::array loads;
  for (const dispatch::UpstreamLoad& load : digest.loads) {
    loads.push_back(json::array{load.upstream_hash, load.running, load.unread_tokens});
  }
  json::array addresses;
  for (const std::string& address : digest.known_addresses) {
    addresses.emplace_back(address);
  }
  return json::serialize(json::object{{"instance", digest.instance},
                                      {"incarnation", digest.incarnation},
                                      {"sequence", digest.sequence},
                                      {"address", digest.address},
                                      {"domain", digest.failure_domain},
                                      {"leaving", digest.leaving},
                                      {"revision", digest.published_revision},
                                      {"reads_store", digest.reads_store},
                                      {"loads", std::move(loads)},
                                      {"known", std::move(addresses)}});
}

std::optional<dispatch::PeerDigest> DecodeDigest(std::string_view bytes) {
  // The JSON accessors throw; a datagram that is not a digest is only dropped.
  try {
    const json::object object = Parse(bytes);
    dispatch::PeerDigest digest;
    digest.instance = object.at("instance").as_string();
    digest.incarnation = object.at("incarnation").to_number<std::uint64_t>();
    digest.sequence = object.at("sequence").to_number<std::uint64_t>();
    digest.address = object.at("address").as_string();
    digest.failure_domain = object.at("domain").as_string();
    digest.leaving = object.at("leaving").as_bool();
    digest.published_revision = object.at("revision").to_number<std::uint64_t>();
    digest.reads_store = object.at("reads_store").as_bool();
    for (const json::value& load : object.at("loads").as_array()) {
      const json::array& row = load.as_array();
      digest.loads.push_back({row.at(0).to_number<std::uint64_t>(),
                              row.at(1).to_number<std::uint32_t>(),
                              row.at(2).to_number<std::uint64_t>()});
    }
    for (const json::value& address : object.at("known").as_array()) {
      digest.known_addresses.emplace_back(address.as_string());
    }
    return digest;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeTransfer(const StateTransfer& transfer) {
  json::array items;
  for (const dispatch::PublishedItem& item : transfer.items) {
    items.push_back(json::array{item.key, item.value, item.revision, item.removed});
  }
  return json::serialize(json::object{{"revision", transfer.revision},
                                      {"complete", transfer.is_complete},
                                      {"items", std::move(items)}});
}

std::optional<StateTransfer> DecodeTransfer(std::string_view bytes) {
  try {
    const json::object object = Parse(bytes);
    StateTransfer transfer;
    transfer.revision = object.at("revision").to_number<std::uint64_t>();
    transfer.is_complete = object.at("complete").as_bool();
    for (const json::value& value : object.at("items").as_array()) {
      const json::array& row = value.as_array();
      transfer.items.push_back({std::string(row.at(0).as_string()),
                                std::string(row.at(1).as_string()),
                                row.at(2).to_number<std::uint64_t>(), row.at(3).as_bool()});
    }
    return transfer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace geraniumspread::edge::detail
