-- I1: no engine carries more than 1.25 times the mean load, with 12 engines behind 8 routers.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=1}
advance("8s")
send{count=9000, chats=3000, over="30s"}
advance("35s")
note("answered " .. answered() .. " of " .. sent() .. ", refused " .. refused() .. ", failed " .. failed())
for engine = 1, 12 do
  note("engine-" .. engine .. " peak " .. running_peak("engine-" .. engine))
end
expect(answered() == sent(), "every request of a healthy fleet gets its answer")
expect(load_excess("20s") <= 0, "an engine carried more than the bound: " .. load_excess("20s"))
expect(running_peak_cold() <= 2, "cold overshoot: " .. running_peak_cold())
