# All locations fill from one parent, and are to fill from another that holds nothing. The origin bears a little more than
# it gets. What reaches it, and what do clients see, from 12 to 1,000 caches?
title("A hub cache moves")
fleet(locations = 3, caches = 4, routers = 1, parents = 2, cache_copies = 150, parent_copies = 3000, origin_easy = 1, filled = 1,
      location_link = 4e7, cache_link = 2e7, origin_link = 1e11)
hierarchy(homes = 1, announce = 2000, warm = 30000, settle = 45000)
demand(rate = 120, seconds = 160, objects = 6000, skew = 0.7)
fault(at = 50, kind = "move", parent = 0, to = 1)
variant("by stages, shield")
variant("by stages", shielded = 0)
variant("plain flip, shield", staged = 0)
variant("plain flip", staged = 0, shielded = 0)
sweep("locations", [3, 12, 50, 250], also = ["rate", "origin_easy", "objects", "parent_copies"])
seeds(3)
