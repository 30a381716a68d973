-- I2: routers of one domain that disagree about the member list and don't hear each other directly.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=4}
hide("router-1", "router-4")
hide("router-1", "router-7")
hide("router-4", "router-1")
cut("router-1", "router-4")
send{count=900, chats=300, over="15s"}
advance("20s")
heal()
show_all()
send{count=900, chats=300, over="15s"}
advance("30s")
hide("router-7", "router-1")
hide("router-7", "router-4")
cold_engine("engine-1")
advance("2s")
send{count=900, chats=300, over="15s"}
advance("30s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold("500ms") <= 2, "cold overshoot: " .. running_peak_cold("500ms") .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
