-- I7: a leaving engine gets no new work after 3 s and finishes what runs there.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=7}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=6000, chats=3000, over="30s"}
advance("10400ms")
leave_engine("engine-5")
advance("15s")
note("runs at the leaving engine: " .. new_work_at("engine-5") .. ", after 3 s: " .. new_work_at("engine-5", "after 3s"))
expect(new_work_at("engine-5", "after 3s") == 0, "new work at the leaving engine")
expect(running("engine-5") == 0, "its requests have ended")
return_engine("engine-5")
advance("20s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(answered() == sent(), "requests without an answer: " .. sent() - answered())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
