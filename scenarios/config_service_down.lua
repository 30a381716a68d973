-- I9: the service is down for long; the fleet keeps the configuration, also through a restart, and gets the next one.
fleet{routers=8, domains={"a","b","c"}, engines=12, cold_limit=2, capacity=16, seed=14}
advance("8s")
local version = publish{load_multiple=1.3}
advance("3s")
service_down()
advance("60s")
expect(in_force_everywhere(version), "the configuration stays in force while the service is down")
kill_router("router-5")
advance("5s")
start_router("router-5")
advance("5s")
expect(in_force_everywhere(version), "a restarted router gets the configuration from its peers")
service_up()
advance("10s")
version = publish{load_multiple=1.4}
advance("3s")
expect(in_force_everywhere(version), "a change after the outage is in force after 3 s")
expect_versions_never_go_back()
