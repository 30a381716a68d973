-- I2: the runs are long, so the engine stays cold for seconds. The owner's view of an engine is cut off and the engine turns cold; without reports for 3 s it counts as cold.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=28}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=600, chats=300, over="40s", run_time="6s"}
advance("12s")
for router = 1, 8 do cut("router-" .. router, "engine-1") end
advance("2s")
cold_engine("engine-1")
advance("40s")
heal()
advance("60s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold("2s") <= 2, "cold overshoot: " .. running_peak_cold("2s") .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
