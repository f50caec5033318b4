title("Half of the caches start again at once")
# Half of the caches start again at once, while more is asked for than the links to the hub carry.
fleet(locations = 2, caches = 8, routers = 2, cache_link = 5e6, location_link = 5e6, cache_able = 40, parent_able = 320)
demand(rate = 320, seconds = 24)
[fault(at = 12, kind = "die", server = n) for n in range(0, 16, 2)]
[fault(at = 12.05, kind = "start", server = n) for n in range(0, 16, 2)]
variant("shipped")
variant("random", way = "random")
variant("least in flight", way = "least in flight")
variant("hash", way = "hash")
variant("bounded hash", way = "bounded hash")
seeds(5)
