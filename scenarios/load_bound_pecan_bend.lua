-- I1: no engine carries more than 1.25 times the mean load, under even load and while a few chats surge. The capacity
-- is far above the load, so that only the bound limits it.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=64, seed=1}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=2400, chats=3000, over="15s"}
advance("17s")
send{count=15000, chats=3000, over="30s"}
advance("20s")
local even = load_excess("15s")
send{count=1000, chats=5, over="10s"}
advance("10s")
local surge = load_excess("8s")
advance("10s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
note("requests above the bound: " .. even .. " under even load, " .. surge .. " in a surge")
expect(answered() == sent(), "requests without an answer: " .. sent() - answered())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(even <= 0, "an engine carried " .. even .. " requests more than the bound under even load")
expect(surge <= 0, "an engine carried " .. surge .. " requests more than the bound in a surge")
