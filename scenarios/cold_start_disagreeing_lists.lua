-- I2: two routers of one domain don't see each other, and each of them takes itself for the owner of all engines there.
-- The runs are long, so all engines stay cold.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=4}
advance("6s")
hide("router-1", "router-4")
hide("router-4", "router-1")
cut("router-1", "router-4")
advance("3s")
send{count=120, chats=120, over="10s", run_time="30s", router="router-1"}
send{count=120, chats=120, over="10s", run_time="30s", router="router-4"}
advance("20s")
expect(running_peak_cold() <= 2, "cold overshoot while the lists differ: " .. running_peak_cold())
heal()
show_all()
advance("200s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
