#ifndef ROUTER_INTERNAL_LEASE_MESSAGES_H_
#define ROUTER_INTERNAL_LEASE_MESSAGES_H_

#include <cstdint>
#include <string>

#include "fleet/peer_messages.h"
#include "ownership/ownership_types.h"

// Conversion between the lease messages of the ownership module and their form
// on the control channel.
namespace geraniumspread::router::detail {

// Keys of 64 bits are written in hexadecimal. A text that is no key gives 0, which names nothing.
std::string ToHex(std::uint64_t value);
std::uint64_t FromHex(const std::string& text);

fleet::LeaseRequest ToWire(const ownership::LeaseRequest& request);
fleet::LeaseReply ToWire(const ownership::LeaseReply& reply);
fleet::LeaseRelease ToWire(const ownership::LeaseRelease& release);

ownership::LeaseRequest FromWire(const fleet::LeaseRequest& request, std::uint64_t incarnation);
ownership::LeaseReply FromWire(const fleet::LeaseReply& reply);
ownership::LeaseRelease FromWire(const fleet::LeaseRelease& release, std::uint64_t incarnation);

}  // namespace geraniumspread::router::detail

#endif  // ROUTER_INTERNAL_LEASE_MESSAGES_H_
