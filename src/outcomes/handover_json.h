#ifndef OUTCOMES_HANDOVER_JSON_H_
#define OUTCOMES_HANDOVER_JSON_H_

#include <string>
#include <string_view>

#include "outcomes/tickets.h"

namespace geraniumspread::outcomes {

// Wire form of a TicketHandover:
//   {"v": 1, "from": {"router", "incarnation"}, "to": {...},
//    "incarnations": [{"router", "incarnation", "age_ns"}],
//    "tickets": [{"random", "router", "incarnation", "state": "finished|unknown", "digest",
//                 "expires_at_ms", "kept", "status", "content_type", "body"}]}
// Incarnations are decimal strings, since not every JSON reader keeps 64-bit numbers exact; content
// type and body are base64, since they may hold any bytes.
std::string HandoverToJson(const TicketHandover& handover);
// Fails with kTicketMalformed when any part is missing or has another form.
OutcomeResult<TicketHandover> HandoverFromJson(std::string_view text);

}  // namespace geraniumspread::outcomes

#endif  // OUTCOMES_HANDOVER_JSON_H_
