-- I2: a warm engine under load turns cold without a sign except its load report. Reports are read every 250 ms, so
-- arrivals later than 500 ms after the turn must respect the cold limit.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, seed=18}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=15000, chats=3000, over="60s"}
advance("10s")
for engine = 1, 10 do
  cold_engine("engine-" .. engine)
  advance("4s")
end
advance("30s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold("500ms") <= 2, "cold overshoot: " .. running_peak_cold("500ms") .. " running")
expect(answered() == sent(), "requests without an answer: " .. sent() - answered())
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
