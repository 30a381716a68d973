-- I2: owners of cold engines pause past their lease with requests on their way, others take over, the first ones resume.
-- The links are slow, so that answers of voters wait for the resuming router too.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=5}
delay("a", "a", "300ms")
advance("8s")
for round = 1, 4 do
  send{count=80, chats=80, over="6s", run_time="15s"}
  advance(round * 300 .. "ms")
  local owner = owner_of("engine-1")
  expect(owner ~= "", "engine-1 has an owner")
  pause(owner)
  advance("6s")
  local next_owner = owner_of("engine-1")
  note("owner " .. owner .. ", then " .. next_owner)
  expect(next_owner ~= "" and next_owner ~= owner, "another router took over after one lease term")
  resume(owner)
  advance("6s")
end
advance("150s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
