# The design with single mechanisms off, on days drawn from seeds; copies are fresh for twenty seconds and may be served for
# twenty more.
title("The design with single mechanisms off")
fleet(locations = 2, caches = 8, routers = 4, cache_copies = 300, parent_copies = 3000, cache_able = 150, parent_able = 600,
      origin_bears = 400, report_every = 250, fresh = 20000, stale = 20000, location_link = 3e7)
demand(rate = 500, seconds = 40, bookings = 0.05, objects = 20000)
bad_day(troubles = 6, from_second = 8, to_second = 28)
variant("as it is")
variant("no fills from beside", siblings = 0)
variant("no joining", joins = 0)
variant("never past the caches", direct = 0)
variant("not told how", told = 0)
variant("one attempt", attempts = 1)
variant("no load reports", report_every = 0)
variant("no stale answers", stale = 0)
variant("hash", way = "hash")
seeds(24)
judge()
