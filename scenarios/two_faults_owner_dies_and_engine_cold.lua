-- Two faults at once: an owner dies while one of its engines turns cold and the service is down.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=20}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=8000, chats=3000, over="40s"}
advance("10s")
local owner = owner_of("engine-1")
service_down()
cold_engine("engine-1")
kill_router(owner)
advance("5s")
expect(owner_of("engine-1") ~= "", "the engine has an owner again after the lease term")
advance("15s")
start_router(owner)
advance("40s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold("500ms") <= 2, "cold overshoot: " .. running_peak_cold("500ms") .. " running")
expect(answered() >= 0.97 * sent(), "requests without an answer: " .. sent() - answered())
expect_versions_never_go_back()
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
