//! Benchmarks of the data structures, each next to a simple one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use criterion::{criterion_group, criterion_main, Criterion};
use linnethook_model::fair_link::FairLink;
use linnethook_model::queue::Queue;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Takes the next event and adds another, with a constant number of events: the steady state of a simulation.
fn queues(c: &mut Criterion) {
    for size in [1_000u64, 100_000, 1_000_000] {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut queue = Queue::default();
        let mut heap = BinaryHeap::new();
        for n in 0..size {
            let at = rng.random_range(0..2_000_000);
            queue.add(at, n);
            heap.push(Reverse((at, n)));
        }
        c.bench_function(&format!("radix heap, {size} events"), |b| {
            b.iter(|| {
                let (now, event) = queue.take().expect("events");
                queue.add(now + rng.random_range(0..2_000_000), event);
            });
        });
        let mut number = size;
        c.bench_function(&format!("binary heap, {size} events"), |b| {
            b.iter(|| {
                let Reverse((now, _)) = heap.pop().expect("events");
                number += 1;
                heap.push(Reverse((now + rng.random_range(0..2_000_000), number)));
            });
        });
    }
}

/// A transfer begins when another completes, with a constant number of transfers.
fn links(c: &mut Criterion) {
    for size in [10u64, 1_000, 10_000] {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut link = FairLink::new(1_000.0, 1_000.0);
        (0..size).for_each(|n| link.begin(0, n, rng.random_range(1.0..1e6)));
        c.bench_function(&format!("virtual time, {size} transfers"), |b| {
            b.iter(|| {
                let (at, transfer) = link.next_completion().expect("transfers");
                link.end(at, transfer);
                link.begin(at, transfer, rng.random_range(1.0..1e6));
            });
        });
        let mut remaining_bytes: Vec<f64> = (0..size).map(|_| rng.random_range(1.0..1e6)).collect();
        c.bench_function(&format!("all of them at each change, {size} transfers"), |b| {
            b.iter(|| {
                let least = remaining_bytes.iter().copied().fold(f64::INFINITY, f64::min);
                remaining_bytes.iter_mut().for_each(|remaining| *remaining -= least);
                let n =
                    remaining_bytes.iter().position(|remaining| *remaining <= 0.0).expect("one has ended");
                remaining_bytes[n] = rng.random_range(1.0..1e6);
            });
        });
    }
}

criterion_group!(benches, queues, links);
criterion_main!(benches);
