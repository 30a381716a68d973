-- A flapping engine never gets more than its cold limit, and the fleet goes on.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=17}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=9000, chats=3000, over="60s"}
for flap = 1, 10 do
  crash_engine("engine-4", "1s")
  advance("5s")
end
advance("40s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(answered() >= 0.99 * sent(), "requests without an answer: " .. sent() - answered())
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
