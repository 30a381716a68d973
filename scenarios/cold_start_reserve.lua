-- I2: inside a domain, a router without a majority uses its reserve; the lease holders leave that part unused.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=6, capacity=16, seed=27}
advance("10s")
cut("router-1", "router-4")
cut("router-1", "router-7")
send{count=160, chats=160, over="6s", run_time="60s", router="router-1"}
send{count=160, chats=160, over="6s", run_time="60s", router="router-4"}
advance("20s")
note("most at a cold engine: " .. running_peak_cold())
expect(running_peak_cold() <= 6, "cold overshoot: " .. running_peak_cold() .. " running")
heal()
advance("10s")
expect(running_peak_cold() <= 6, "cold overshoot after healing: " .. running_peak_cold() .. " running")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
