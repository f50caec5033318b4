# The operator file of this deployment. Nothing of it is switched on: `run` in balancer.toml names no operator file, for the platform
# gives no control socket, and its caches know no other sources than the listed parents. docs/operators/ tells what can stand here.
log(format = "text", lines_per_second = 20)
