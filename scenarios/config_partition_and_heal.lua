-- I9: a domain is cut off from the service and the other domains; after healing it has the newest version in 3 s.
fleet{routers=6, domains={"a","b","c"}, engines=20, cold_limit=2, capacity=16, seed=16}
advance("8s")
for round = 1, 3 do
  cut("a", "b")
  cut("a", "c")
  cut("a", "platform")
  advance("2s")
  local version = publish{load_multiple=math.floor(130 + round) / 100}
  advance("20s")
  expect(not in_force_everywhere(version), "the cut-off domain can't have the change")
  heal()
  advance("3s")
  expect(in_force_everywhere(version), "round " .. round .. ": the change isn't in force 3 s after healing")
  advance("10s")
end
expect_versions_never_go_back()
