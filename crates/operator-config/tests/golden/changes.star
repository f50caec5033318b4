# Every function of a file of changes, with every argument.
add("north", role = "parent", site = "n", tier = 3, capacity = 2.5, retiring = True, sources = ["origin", ("spare", 9)])
remove("gone")
move("hub", site = "centre", sources = ["origin"])
replace("old", "new", role = "parent", capacity = 3)
rerank("cache-1", sources = ["new", "origin"])
retire("old")
retire("south", retiring = False)
