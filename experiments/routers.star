# The same fleet and load behind more and more routers that share nothing: each sees less of it.
# A cache dies, one is slow, one falls silent, and half of a location starts again at once.
title("Decisions as routers grow")
fleet(locations = 2, caches = 8, parents = 2, cache_able = 150, parent_able = 600, location_link = 3e7, cache_link = 2e7)
demand(rate = 900, seconds = 30, objects = 20000)
fault(at = 8, kind = "die", server = 0)
fault(at = 9, kind = "start", server = 0)
fault(at = 11, kind = "slow", server = 3, times = 8)
fault(at = 13, kind = "silent", server = 9)
fault(at = 17, kind = "heard", server = 9)
[fault(at = 20, kind = "die", server = n) for n in range(8, 16, 2)]
[fault(at = 20.05, kind = "start", server = n) for n in range(8, 16, 2)]
variant("shipped")
variant("least in flight", way = "least in flight")
variant("hash", way = "hash")
variant("bounded hash", way = "bounded hash")
sweep("routers", [2, 8, 32, 128, 500])
seeds(5)
