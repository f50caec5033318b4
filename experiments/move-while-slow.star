# A hub cache moves, and while children go over the origin takes eight times as long for ten seconds.
title("A hub cache moves while the origin is slow")
fleet(locations = 6, caches = 4, routers = 2, parents = 2, cache_copies = 150, parent_copies = 3000, origin_easy = 4, filled = 1,
      location_link = 4e7, cache_link = 2e7, origin_link = 1e11)
hierarchy(homes = 1, announce = 2000, warm = 30000, settle = 45000)
demand(rate = 400, seconds = 150, objects = 6000, skew = 0.7)
fault(at = 40, kind = "move", parent = 0, to = 1)
fault(at = 50, kind = "slow", server = 26, times = 8)
fault(at = 60, kind = "slow", server = 26, times = 1)
variant("by stages, shield")
variant("by stages", shielded = 0)
variant("plain flip", staged = 0, shielded = 0)
seeds(5)
judge()
