-- One fault twice: a domain is taken out again while it returns, and a second domain right after it.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, seed=23}
advance("8s")
send{count=400, chats=3000, over="10s"}
advance("10s")
send{count=1600, chats=3000, over="10s"}
advance("12s")
send{count=8000, chats=3000, over="80s"}
advance("5s")
take_out("a")
advance("10s")
expect(new_work_in("a", "after 3s") == 0, "new work in a: " .. new_work_in("a", "after 3s"))
bring_back("a")
advance("10s")
take_out("a")
advance("10s")
expect(new_work_in("a", "after 3s") == 0, "new work in a, second time: " .. new_work_in("a", "after 3s"))
take_out("b")
advance("10s")
expect(new_work_in("b", "after 3s") == 0, "new work in b: " .. new_work_in("b", "after 3s"))
bring_back("a")
bring_back("b")
advance("70s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(answered() == sent(), "requests without an answer: " .. sent() - answered())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect_versions_never_go_back()
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
