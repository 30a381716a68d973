-- I2: all engines cold, all routers dispatch: no cold engine gets more than its limit, summed over routers.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, seed=2}
send{count=600, chats=200, over="12s"}
advance("20s")
send{count=3000, chats=900, over="20s"}
advance("40s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(answered() > 3000, "the engines warmed up and answered")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
