//! Open-loop load against a server that delays all answers: requests are sent all the same, and latencies
//! include the wait.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::thread;

use linnethook_lab::load::Clients;
use linnethook_lab::sockets;
use linnethook_model::plan::{Fault, HierarchyPlan, Plan};

/// The number of requests after which the server answers.
const DELAYED_REQUESTS: usize = 50;

fn frame(code: u8, stream: &[u8]) -> Vec<u8> {
    let payload = [code, 0];
    [&((payload.len() + 5) as u32).to_be_bytes()[..], &[66], stream, &payload].concat()
}

/// Answers in batches of `DELAYED_REQUESTS` requests, of which every tenth is rejected.
fn serve(mut stream: TcpStream) {
    let mut pending = Vec::new();
    let mut head = [0; 9];
    while stream.read_exact(&mut head).is_ok() {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length - 5];
        if stream.read_exact(&mut payload).is_err() {
            return;
        }
        pending.push(head[5..9].to_vec());
        if pending.len() < DELAYED_REQUESTS {
            continue;
        }
        for (n, of) in pending.drain(..).enumerate() {
            let code = if n % 10 == 9 { 2 } else { 1 };
            if stream.write_all(&frame(code, &of)).is_err() {
                return;
            }
        }
    }
}

#[test]
fn latencies_include_the_wait_for_delayed_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        listener.incoming().flatten().for_each(|stream| _ = thread::spawn(|| serve(stream)))
    });
    let plan = Plan {
        rate: 100.0,
        seconds: 1.5,
        client_timeout: 2_000.0,
        max_client_retries: 1,
        retry_pause: 20.0,
        ..Plan::default()
    };
    let clients = Clients {
        plan: &plan,
        routers: &[("n0".to_string(), address)],
        connections: 1,
        record: Default::default(),
        numbers: Default::default(),
    };
    let statistics = clients.drive(&AtomicBool::new(false)).expect("driven");
    let sum = |list: &[u32]| list.iter().sum::<u32>() as usize;
    let ends = [&statistics.in_time, &statistics.late, &statistics.rejected, &statistics.failed]
        .map(|list| sum(list));
    println!("{} requests, {ends:?}, {} retries", sum(&statistics.requests), sum(&statistics.client_retries));
    assert_eq!(sum(&statistics.requests), ends.iter().sum::<usize>(), "each request ends once");
    assert!(sum(&statistics.requests) > DELAYED_REQUESTS && sum(&statistics.client_retries) >= 5);
    // At 100 requests a second, the first of fifty waits for half a second, and most answered ones for over
    // 100 ms.
    let longest = statistics.latencies_ms.iter().copied().fold(0.0, f32::max);
    let long = statistics.latencies_ms.iter().filter(|latency| **latency > 100.0).count();
    assert!(
        longest > 300.0 && long * 2 > statistics.latencies_ms.len(),
        "{longest} {long} of {}",
        statistics.latencies_ms.len()
    );
    // Requests without an answer have failed.
    assert!(ends[3] > 0);
}

#[test]
fn unsupported_plans_are_rejected_before_anything_starts() {
    let good = Plan { locations: 1, faults: vec![(1.0, Fault::Crash(0))], ..Plan::default() };
    assert_eq!(sockets::check(&good), Ok(()));
    let fault = |fault| Plan { faults: vec![(1.0, fault)], ..good.clone() };
    for (plan, expected) in [
        (Plan { locations: 2, ..good.clone() }, "one location"),
        (Plan { parts: 2, ..good.clone() }, "one part"),
        (Plan { hierarchy: Some(HierarchyPlan::default()), ..good.clone() }, "no hierarchy"),
        (Plan { cache_throughput: 1.0, ..good.clone() }, "no cold starts"),
        (fault(Fault::Partition(0, true)), "cut 0"),
        (fault(Fault::Slow(0, 3.0)), "slow 0, times 3"),
    ] {
        let error = sockets::check(&plan).expect_err(expected);
        assert!(error.contains(expected), "{error}");
    }
}
