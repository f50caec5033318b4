//! Benchmarks of the data structures, each next to a simple one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use criterion::{criterion_group, criterion_main, Criterion};
use linnethook_model::fair::Fair;
use linnethook_model::queue::Queue;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Takes the next event and adds another, with a constant number of events: the steady state of a simulation.
fn queues(c: &mut Criterion) {
    for there in [1_000u64, 100_000, 1_000_000] {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut queue = Queue::default();
        let mut heap = BinaryHeap::new();
        for n in 0..there {
            let at = chance.random_range(0..2_000_000);
            queue.add(at, n);
            heap.push(Reverse((at, n)));
        }
        c.bench_function(&format!("radix heap, {there} events"), |b| {
            b.iter(|| {
                let (now, event) = queue.take().expect("events");
                queue.add(now + chance.random_range(0..2_000_000), event);
            });
        });
        let mut number = there;
        c.bench_function(&format!("binary heap, {there} events"), |b| {
            b.iter(|| {
                let Reverse((now, _)) = heap.pop().expect("events");
                number += 1;
                heap.push(Reverse((now + chance.random_range(0..2_000_000), number)));
            });
        });
    }
}

/// A transfer begins when another completes, with a constant number of transfers.
fn links(c: &mut Criterion) {
    for there in [10u64, 1_000, 10_000] {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut fair = Fair::new(1_000.0, 1_000.0);
        (0..there).for_each(|n| fair.begin(0, n, chance.random_range(1.0..1e6)));
        c.bench_function(&format!("virtual time, {there} transfers"), |b| {
            b.iter(|| {
                let (at, transfer) = fair.next().expect("transfers");
                fair.end(at, transfer);
                fair.begin(at, transfer, chance.random_range(1.0..1e6));
            });
        });
        let mut plain: Vec<f64> = (0..there).map(|_| chance.random_range(1.0..1e6)).collect();
        c.bench_function(&format!("all of them at each change, {there} transfers"), |b| {
            b.iter(|| {
                let least = plain.iter().copied().fold(f64::INFINITY, f64::min);
                plain.iter_mut().for_each(|left| *left -= least);
                let n = plain.iter().position(|left| *left <= 0.0).expect("one has ended");
                plain[n] = chance.random_range(1.0..1e6);
            });
        });
    }
}

criterion_group!(benches, queues, links);
criterion_main!(benches);
