# One location, small enough for loopback: the same day on sockets and in the model.
#     linnethook-lab load experiments/small-day.star --out small-day.jsonl
title("A small day, on sockets and in the model")
fleet(locations = 1, caches = 4, parents = 2, routers = 2, cache_copies = 150, parent_copies = 600, origin_takes = 10,
      origin_easy = 100000, near = 1, far = 1, flow = 5e7, cache_link = 1e10, location_link = 1e10, origin_link = 1e10)
demand(rate = 200, seconds = 40, objects = 2000, skew = 0.9, size = 1000, spread = 0, aim = 400, again = 2)
fault(at = 12, kind = "die", server = 1)
fault(at = 16, kind = "start", server = 1)
fault(at = 22, kind = "silent", server = 2)
fault(at = 26, kind = "heard", server = 2)
fault(at = 30, kind = "slow", server = 6, times = 60)
fault(at = 34, kind = "slow", server = 6, times = 1)
variant("shipped")
seed(1)
