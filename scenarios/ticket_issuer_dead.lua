-- I6: the issuer dies before, during and after the run; no other router runs the call.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=9}
advance("8s")
local unused = ticket("router-1")
local running_call = ticket("router-1")
local finished = ticket("router-1")
call{ticket=finished, router="router-2"}
advance("2s")
call{ticket=running_call, router="router-2"}
advance("50ms")
kill_router("router-1")
for round = 1, 10 do
  for router = 2, 8 do
    call{ticket=unused, router="router-" .. router}
    call{ticket=running_call, router="router-" .. router}
    call{ticket=finished, router="router-" .. router}
  end
  advance("2s")
  if round == 4 then start_router("router-1") end
end
local last = {}
for index, t in ipairs{unused, running_call, finished} do last[index] = call{ticket=t, router="router-1"} end
advance("2s")
expect(ticket_runs(unused) == 0, "the unused ticket ran " .. ticket_runs(unused) .. " times")
expect(ticket_runs(running_call) <= 1, "the call that ran at the death ran " .. ticket_runs(running_call) .. " times")
expect(ticket_runs(finished) == 1, "the finished call ran " .. ticket_runs(finished) .. " times")
for index = 1, 3 do
  expect(answer(last[index]) == "outcome_unknown", "the new incarnation doesn't know: " .. answer(last[index]))
end
