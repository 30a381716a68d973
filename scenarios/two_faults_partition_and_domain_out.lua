-- Two faults at once: domains b and c are cut off from each other and router-1 pauses while domain a is taken out.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=21}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=8000, chats=3000, over="40s"}
advance("5s")
cut("b", "c")
pause("router-1")
local version = take_out("a")
advance("6s")
resume("router-1")
advance("10s")
expect(new_work_in("a", "after 3s") == 0, "new work in the domain: " .. new_work_in("a", "after 3s"))
expect(in_force_everywhere(version), "the resumed router has the change")
heal()
advance("40s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect_versions_never_go_back()
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
