-- I9: the service serves an old version for a while; nobody goes back, not even a restarted router.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=15}
advance("8s")
local old = publish{load_multiple=1.3}
advance("3s")
local version = publish{load_multiple=1.4}
advance("3s")
service_stale(old)
advance("30s")
expect(in_force_everywhere(version), "a stale service reverts nothing")
kill_router("router-2")
advance("3s")
start_router("router-2")
advance("5s")
expect(in_force_everywhere(version), "a restarted router takes the newer version from its peers")
service_up()
advance("5s")
version = publish{load_multiple=1.35}
advance("3s")
expect(in_force_everywhere(version), "the next change is in force after 3 s")
expect_versions_never_go_back()
