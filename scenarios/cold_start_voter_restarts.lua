-- I2: the voter between two routers that don't hear each other restarts and forgets its promises.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=25}
advance("6s")
hide("router-1", "router-4")
hide("router-4", "router-1")
cut("router-1", "router-4")
send{count=200, chats=120, over="20s", run_time="40s", router="router-1"}
send{count=200, chats=120, over="20s", run_time="40s", router="router-4"}
for restart = 1, 5 do
  advance("3700ms")
  kill_router("router-7")
  start_router("router-7")
end
advance("10s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
