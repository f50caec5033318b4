//! Sends a fixed sequence of requests through a router, one after another, and stops it: for counting
//! instructions.
//!
//! Usage: `drive ROUTER_PROGRAM [REQUESTS]`. The program may be a script that starts the router under a
//! profiler: `exec valgrind --tool=callgrind --callgrind-out-file=/tmp/out.%p target/release/linnethook`.

use std::io;
use std::path::Path;

use linnethook_quickstart::Client;
use linnethook_testbed::cache_server::CacheServerConfig;
use linnethook_testbed::process_cluster::{router_program, ProcessCluster};

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let program = router_program(arguments.first().map(Path::new))?;
    let count = arguments.get(1).and_then(|count| count.parse().ok()).unwrap_or(5_000u32);
    let mut fleet = ProcessCluster::two_hubs(program, 3, CacheServerConfig::new)?;
    let address = fleet.start_router("n0", None, |_| {})?;
    let mut client = Client::connect(address)?;
    let mut served = 0;
    for n in 1..=count {
        let (id, object) = (format!("{n:016x}"), format!("{:016x}", u64::from(n % 500) * 0x9e37_79b9));
        let fields = [("c", "video"), ("i", &id), ("d", "3000"), ("o", &object), ("tag", "3"), ("m", "20")];
        client.ask(n, &fields, b"")?;
        served += u32::from(client.read()?.code == 1);
    }
    drop(client);
    fleet.stop_router("n0")?;
    println!("{served} of {count} served");
    Ok(())
}
