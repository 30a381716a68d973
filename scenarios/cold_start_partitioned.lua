-- I2: the fleet is partitioned, between the domains and inside one, while all engines are cold.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=6}
advance("5s")
cut("a", "b")
cut("a", "c")
cut("b", "c")
cut("router-1", "router-4")
cut("router-1", "router-7")
send{count=900, chats=300, over="20s", run_time="1s"}
advance("25s")
expect(running_peak_cold() <= 2, "cold overshoot during the partition: " .. running_peak_cold())
local during = answered()
heal()
send{count=600, chats=300, over="10s"}
advance("30s")
note("answered during the partition: " .. during)
expect(during > 300, "each part serves what it can")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
