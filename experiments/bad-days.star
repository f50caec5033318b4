# Days drawn from seeds: overlapping troubles of all kinds, judged by the rules that hold on sockets.
title("Bad days")
fleet(cache_able = 120, parent_able = 400, origin_bears = 400, report_every = 250)
demand(rate = 200, seconds = 30, parts = 2, bookings = 0.05)
bad_day(troubles = 6, from_second = 5, to_second = 20)
variant("shipped")
variant("hash", way = "hash")
seeds(50)
judge()
