-- I9: only one router reaches the configuration service; the others get each change from peers.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=13}
advance("8s")
for router = 1, 7 do cut("router-" .. router, "platform") end
advance("15s")
for change = 1, 10 do
  local version = publish{load_multiple=math.floor(120 + change) / 100}
  advance("3s")
  expect(in_force_everywhere(version), "version " .. version .. " isn't in force after 3 s")
  note("in force after " .. seconds_to_force(version) .. " s")
end
expect_versions_never_go_back()
