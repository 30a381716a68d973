-- I6: the issuer pauses between accepting a call and dispatching it, past the ticket's expiry.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, ticket_expiry="10s", seed=10}
advance("8s")
local t = ticket("router-1")
local first = call{ticket=t, router="router-1"}
advance("1ms")
pause("router-1")
advance("12s")
local during = call{ticket=t, router="router-2"}
resume("router-1")
advance("4s")
local after = call{ticket=t, router="router-3"}
advance("4s")
note("first: " .. answer(first) .. ", during: " .. answer(during) .. ", after: " .. answer(after))
expect(ticket_runs(t) == 0, "the call ran after its ticket had expired")
expect(answer(first) ~= "answered", "the caller isn't told that the call ran")
expect(answer(after) == "ticket_expired", "a repeat is refused: " .. answer(after))
