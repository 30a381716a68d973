-- I2: one router's list lacks its domain peers for seconds while it can't hear them; it must not take itself for a majority.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=24}
advance("6s")
for _, peer in ipairs{"router-4", "router-7"} do
  hide("router-1", peer)
  cut("router-1", peer)
end
send{count=120, chats=120, over="15s", run_time="40s", router="router-1"}
send{count=120, chats=120, over="15s", run_time="40s", router="router-4"}
advance("18s")
expect(running_peak_cold() <= 2, "cold overshoot while the list is wrong: " .. running_peak_cold())
heal()
show_all()
advance("240s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
