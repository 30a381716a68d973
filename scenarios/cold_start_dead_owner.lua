-- I2: the owner dies and its requests run on at the cold engines; the next owner counts them.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, seed=26}
advance("6s")
send{count=100, chats=100, over="4s", run_time="30s"}
advance("5s")
local owner = owner_of("engine-1")
kill_router(owner)
send{count=100, chats=100, over="10s", run_time="30s"}
advance("15s")
start_router(owner)
advance("150s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
