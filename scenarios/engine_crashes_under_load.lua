-- I2: a warm engine dies with requests in flight and waiting, and is back, cold, at once or after a while.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=19}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=18000, chats=3000, over="40s"}
advance("10s")
crash_engine("engine-1", "50ms")
advance("5s")
crash_engine("engine-2", "200ms")
advance("5s")
crash_engine("engine-3", "2s")
advance("40s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(answered() >= 0.99 * sent(), "requests without an answer: " .. sent() - answered())
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
