-- I2: the owner of a cold engine pauses past its lease, another router takes over, and the first one resumes.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=5}
advance("6s")
local owner = owner_of("engine-1")
expect(owner ~= "", "engine-1 has an owner")
send{count=600, chats=200, over="20s", run_time="2s"}
advance("2s")
pause(owner)
advance("8s")
local next_owner = owner_of("engine-1")
note("owner " .. owner .. ", then " .. next_owner)
expect(next_owner ~= "" and next_owner ~= owner, "another router took over after one lease term")
resume(owner)
advance("60s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed() .. "; refusals: " .. refusals())
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold() .. " running")
expect(unfinished() == 0, "requests that never ended: " .. unfinished())
