# The fleet doubles within a minute: as many caches again come up one after the other, cold, while a crowd grows.
title("A fleet that doubles within a minute")
fleet(locations = 4, caches = 16, spare = 8, routers = 4, cache_copies = 200, cache_able = 60, parent_able = 800,
      location_link = 4e7)
demand(rate = 1200, seconds = 90, objects = 40000)
[fault(at = 15 + 1.8 * n, kind = "start", server = 16 * (n % 4) + 8 + n // 4) for n in range(32)]
fault(at = 20, kind = "rate", times = 1.5)
variant("shipped")
variant("least in flight", way = "least in flight")
variant("hash", way = "hash")
seeds(5)
judge()
