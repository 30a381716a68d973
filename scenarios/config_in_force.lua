-- I9: each change is in force everywhere within 3 s, in both layouts.
local function publish_often(routers, engines, seed)
  fleet{routers=routers, domains={"a","b","c"}, engines=engines, seed=seed}
  advance("8s")
  local slowest = 0
  for change = 1, 20 do
    local version = publish{load_multiple=math.floor(120 + change) / 100}
    advance("3s")
    expect(in_force_everywhere(version), routers .. " routers: version " .. version .. " isn't in force after 3 s")
    slowest = math.max(slowest, seconds_to_force(version))
  end
  note(routers .. " routers: slowest change in force after " .. slowest .. " s")
  expect_versions_never_go_back()
end
publish_often(8, 12, 11)
publish_often(6, 20, 12)
