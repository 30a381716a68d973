-- I6: a call with a ticket runs once, however often and through whichever router it is repeated.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=8}
advance("8s")
for round = 1, 5 do
  local t = ticket("router-" .. round)
  local calls = {}
  for router = 1, 8 do
    calls[router] = call{ticket=t, router="router-" .. router, body="order " .. round}
  end
  advance("100ms")
  for router = 1, 8 do call{ticket=t, router="router-" .. router, body="order " .. round} end
  advance("3s")
  local late = call{ticket=t, router="router-" .. (9 - round), body="order " .. round}
  local other = call{ticket=t, router="router-3", body="another order"}
  advance("3s")
  expect(ticket_runs(t) == 1, "the call ran " .. ticket_runs(t) .. " times")
  expect(answer(late) == "replayed", "a late repeat gets the answer again: " .. answer(late))
  expect(answer(other) == "ticket_body_mismatch", "another body is refused: " .. answer(other))
end
