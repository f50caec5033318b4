//! Measures the throughput of one link, compared with a plain copy of the same bytes through the same proxy
//! on loopback; also the overhead of its frames, the processor time of a request, and the memory of an open
//! stream.
//!
//! Usage: `link-speed [MEGABYTES]`; the default of 400 takes some seconds.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{Action, Gateway, GatewayConfig, GatewaySetup, RemoteRequest, Reply};
use linnethook_testbed::fault_proxy::{FaultProxy, ProxyEnds, TO_DIALER};
use linnethook_testbed::recording::{now, Recording};

/// The length of a part, in bytes.
const PART_BYTES: usize = 64 << 10;
const MAX_OPEN_REQUESTS: u64 = 32;

/// Creates the gateway of a site; limits that would throttle the measurement are raised.
fn new_gateway(site: &str, other: &str, dials: bool) -> Gateway {
    let mut rules = GatewayConfig::default();
    (
        rules.concurrency_window.initial,
        rules.concurrency_window.max_expected_bytes,
        rules.routing.initial_share,
    ) = (256.0, 1e9, 1.0);
    let setup = GatewaySetup {
        site: site.to_string(),
        other_sites: vec![other.to_string()],
        node: "g".to_string(),
        epoch: 1,
        seed: 1,
        dial_sites: if dials { vec![other.to_string()] } else { Vec::new() },
        accepts_cluster_peers: false,
        config: rules,
    };
    let mut gateway = Gateway::new(now(), setup);
    gateway.report_local_load(now(), u32::from(!dials), 0.0);
    gateway
}

/// Runs the gateway of one end of the link on a socket until the connection ends or `is_finished` returns
/// true; `handle_action` executes the actions of the gateway.
fn run_gateway(
    stream: &TcpStream,
    gateway: &mut Gateway,
    mut handle_action: impl FnMut(&mut Gateway, Action) -> io::Result<()>,
    mut is_finished: impl FnMut(&mut Gateway) -> bool,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(1)))?;
    gateway.connection_opened(now(), 1, None);
    let mut block = vec![0; 64 << 10];
    let mut out = BytesMut::new();
    let (mut input, mut output) = (stream, stream);
    while !is_finished(gateway) {
        if gateway.next_deadline(now()) <= now() {
            gateway.on_timer(now());
        }
        while let Some(action) = gateway.next_action() {
            handle_action(gateway, action)?;
        }
        loop {
            out.clear();
            gateway.take_output(1, 64 << 10, &mut out);
            if out.is_empty() {
                break;
            }
            output.write_all(&out)?;
            gateway.mark_written(1, out.len());
        }
        match input.read(&mut block) {
            Ok(0) => return Ok(()),
            Ok(n) => gateway.receive(now(), 1, &block[..n]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Starts a proxy without faults, and a listener for the connections that it forwards.
fn start_proxy() -> io::Result<(FaultProxy, TcpListener)> {
    let sites = ["north".to_string(), "south".to_string()];
    let proxy = FaultProxy::start(ProxyEnds { sites, record: Recording::default() })?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    proxy.set_target(listener.local_addr()?);
    Ok((proxy, listener))
}

/// Processor time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<f64> =
        text.rsplit(')').next().unwrap_or_default().split(' ').filter_map(|f| f.parse().ok()).collect();
    // User and system time, in hundredths of a second.
    fields.get(10..12).map_or(0.0, |times| times.iter().sum::<f64>() / 100.0)
}

/// Copies bytes through the proxy without a gateway; returns the throughput in bytes per second.
fn measure_plain_copy(bytes: usize) -> io::Result<f64> {
    let (proxy, listener) = start_proxy()?;
    let sender = thread::spawn(move || -> io::Result<()> {
        let (mut stream, _) = listener.accept()?;
        let block = vec![7; PART_BYTES];
        for _ in 0..bytes / PART_BYTES {
            stream.write_all(&block)?;
        }
        Ok(())
    });
    let mut stream = TcpStream::connect(proxy.address)?;
    let started = Instant::now();
    let mut block = vec![0; PART_BYTES];
    let mut received = 0;
    while received < bytes / PART_BYTES * PART_BYTES {
        received += stream.read(&mut block)?;
    }
    let elapsed_seconds = started.elapsed().as_secs_f64();
    sender.join().map_err(|_| io::Error::other("the thread of the sender panicked"))??;
    Ok(received as f64 / elapsed_seconds)
}

/// Serves parts on the first connection until it ends.
fn serve_parts(listener: &TcpListener) -> io::Result<()> {
    let (stream, _) = listener.accept()?;
    let mut gateway = new_gateway("south", "north", false);
    let body = Bytes::from(vec![7; PART_BYTES]);
    let handle_action = |gateway: &mut Gateway, action| {
        if let Action::ServeRemote(RemoteRequest { ticket, .. }) = action {
            gateway.complete_remote_request(
                now(),
                ticket,
                Reply::Served { fields: Vec::new(), body: body.clone(), version: None },
            );
        }
        Ok(())
    };
    let _ = run_gateway(&stream, &mut gateway, handle_action, |_| false);
    Ok(())
}

/// A request for one part.
fn part_request(object: u64, at: f64) -> ForwardRequest {
    ForwardRequest {
        object,
        write: false,
        not_idempotent: false,
        parallel_attempts: false,
        home_site: None,
        priority: Priority::LaterPart,
        latency_objective: 10_000.0,
        deadline: at + 20_000.0,
        passed_sites: Vec::new(),
        fields: vec![("o".to_string(), object.to_string())],
        body: Bytes::new(),
    }
}

/// Requests bytes in parts over a link through the proxy; returns the throughput in bytes per second, and the
/// bytes on the wire in excess of the bodies, as a share of the bodies.
fn measure_link(bytes: usize) -> io::Result<(f64, f64)> {
    let (proxy, listener) = start_proxy()?;
    let server = thread::spawn(move || serve_parts(&listener));
    let stream = TcpStream::connect(proxy.address)?;
    let mut gateway = new_gateway("north", "south", false);
    gateway.report_local_load(now(), 0, 0.0);
    let parts = (bytes / PART_BYTES) as u64;
    let (mut requested, mut answered) = (0u64, 0u64);
    let mut started = None;
    let check = |action: &Action| match action {
        Action::Answer(_, Reply::Served { body, .. }) if body.len() == PART_BYTES => Ok(()),
        Action::Answer(_, other) => Err(io::Error::other(format!("{other:?}"))),
        _ => Ok(()),
    };
    // Received answers, counted by one closure and read by the other.
    let answer_count = std::cell::Cell::new(0u64);
    let is_finished = |gateway: &mut Gateway| {
        let at = now();
        if gateway.route_views(at)[0].remote_sites.is_empty() {
            return false;
        }
        started.get_or_insert_with(Instant::now);
        answered = answer_count.get();
        while requested < parts && requested - answered < MAX_OPEN_REQUESTS {
            requested += 1;
            gateway.submit_request(at, requested, part_request(requested, at));
        }
        answered >= parts
    };
    let handle_action = |_: &mut Gateway, action: Action| {
        answer_count.set(answer_count.get() + u64::from(matches!(action, Action::Answer(..))));
        check(&action)
    };
    run_gateway(&stream, &mut gateway, handle_action, is_finished)?;
    let elapsed_seconds = started.map_or(0.0, |started| started.elapsed().as_secs_f64());
    let passed = proxy.passed();
    let overhead = passed.bytes[TO_DIALER] as f64 / (parts as f64 * PART_BYTES as f64) - 1.0;
    drop((stream, proxy));
    let _ = server.join();
    Ok((parts as f64 * PART_BYTES as f64 / elapsed_seconds, overhead))
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

/// Memory of an open stream that waits for its answer, at the requesting side, in bytes.
fn memory_per_stream() -> f64 {
    use linnethook_gateway::codec::ForwardedRequest;
    use linnethook_gateway::session::{Session, SessionConfig};
    let mut sessions: Vec<Session> = (0..400).map(|_| Session::new(0.0, SessionConfig::default())).collect();
    let before = resident_bytes();
    let mut into = BytesMut::new();
    for session in &mut sessions {
        for ticket in 0..250 {
            let head = vec![("o".to_string(), "7f3a9c21e0b4d655".to_string())];
            let open = ForwardedRequest {
                token: None,
                remaining_ms: 1,
                priority: 1,
                passed_sites: Vec::new(),
                resume_from: None,
                fields: head,
                body: Bytes::new(),
            };
            session.send_request(ticket, open);
        }
        into.clear();
        session.take_output(1 << 20, &mut into);
    }
    (resident_bytes() - before) / (400.0 * 250.0)
}

fn main() -> io::Result<()> {
    let megabytes: usize = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(400);
    let bytes = megabytes << 20;
    println!("an open stream takes {:.0} bytes at the requesting side", memory_per_stream());
    for round in 1..=3 {
        let plain = measure_plain_copy(bytes)?;
        let before = processor_seconds();
        let (link, overhead) = measure_link(bytes)?;
        let cpu = (processor_seconds() - before) / (bytes / PART_BYTES) as f64;
        println!(
            "round {round}: plain copy {:.0} MB/s, the link {:.0} MB/s ({:.2} of it); {:.3}% more bytes; \
             {:.0} us of processor \
             time for a part of 64 KB, with the proxy and both ends",
            plain / 1e6,
            link / 1e6,
            link / plain,
            overhead * 100.0,
            cpu * 1e6
        );
    }
    Ok(())
}
