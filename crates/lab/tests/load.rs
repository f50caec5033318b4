//! The open loop against a server that keeps everybody waiting: requests go out all the same, and what they waited is told.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::thread;

use linnethook_lab::load::Clients;
use linnethook_lab::sockets;
use linnethook_model::plan::{Fault, HierarchyPlan, Plan};

/// So many requests before the first is answered.
const KEPT: usize = 50;

fn frame(code: u8, stream: &[u8]) -> Vec<u8> {
    let payload = [code, 0];
    [&((payload.len() + 5) as u32).to_be_bytes()[..], &[66], stream, &payload].concat()
}

/// Answers nothing until it has had `KEPT` requests, then all at once: each tenth is refused. Then it leaves.
fn serve(mut stream: TcpStream) {
    let mut waiting = Vec::new();
    let mut head = [0; 9];
    while stream.read_exact(&mut head).is_ok() {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length - 5];
        if stream.read_exact(&mut payload).is_err() {
            return;
        }
        waiting.push(head[5..9].to_vec());
        if waiting.len() < KEPT {
            continue;
        }
        for (n, of) in waiting.drain(..).enumerate() {
            let code = if n % 10 == 9 { 2 } else { 1 };
            if stream.write_all(&frame(code, &of)).is_err() {
                return;
            }
        }
    }
}

#[test]
fn waiting_is_not_left_out_of_the_latencies() {
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
    let seen = clients.drive(&AtomicBool::new(false)).expect("driven");
    let sum = |list: &[u32]| list.iter().sum::<u32>() as usize;
    let ends = [&seen.in_time, &seen.late, &seen.rejected, &seen.failed].map(|list| sum(list));
    println!("{} asked, {ends:?}, {} repeats", sum(&seen.requests), sum(&seen.client_retries));
    assert_eq!(sum(&seen.requests), ends.iter().sum::<usize>(), "each has one end");
    assert!(sum(&seen.requests) > KEPT && sum(&seen.client_retries) >= 5);
    // At 100 a second the first of fifty has waited for half a second; most of those answered have waited long.
    let longest = seen.latencies_ms.iter().copied().fold(0.0, f32::max);
    let long = seen.latencies_ms.iter().filter(|took| **took > 100.0).count();
    assert!(
        longest > 300.0 && long * 2 > seen.latencies_ms.len(),
        "{longest} {long} of {}",
        seen.latencies_ms.len()
    );
    // What was never answered has failed.
    assert!(ends[3] > 0);
}

#[test]
fn what_there_is_not_on_sockets_is_an_error_before_anything_starts() {
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
        let wrong = sockets::check(&plan).expect_err(expected);
        assert!(wrong.contains(expected), "{wrong}");
    }
}
