-- I1: no engine carries more than 1.25 times the mean load, after a gentle start.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, seed=1}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=15000, chats=3000, over="30s"}
advance("30s")
local excess = load_excess("25s")
advance("5s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
note("requests above the bound in the last 25 s of load: " .. excess)
expect(answered() == sent(), "requests without an answer: " .. sent() - answered())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(excess <= 0, "an engine carried " .. excess .. " requests more than the bound")
