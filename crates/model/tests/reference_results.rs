//! The data structures against simple ones, and against results that are known in closed form.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use linnethook_model::copies::Copies;
use linnethook_model::demand::{Demand, DemandConfig, FlashCrowd};
use linnethook_model::fair_link::FairLink;
use linnethook_model::queue::Queue;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use statrs::statistics::Statistics;

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Events are taken in the order of a binary heap; events at the same time in the order in which they
    /// were added.
    #[test]
    fn queue_orders_events_like_a_binary_heap(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut queue, mut heap, mut n) = (Queue::default(), BinaryHeap::new(), 0u64);
        for _ in 0..2_000 {
            if rng.random_range(0..5) < 3 {
                n += 1;
                let span = 1u64 << rng.random_range(0..40);
                let at = queue.now() + rng.random_range(0..span);
                queue.add(at, n);
                heap.push(Reverse((at, n)));
            } else {
                prop_assert_eq!(queue.take(), heap.pop().map(|Reverse(event)| event));
            }
            prop_assert_eq!(queue.len(), heap.len());
        }
        queue.add(0, 0);
        prop_assert!(queue.take().is_some_and(|(at, _)| at >= queue.now()), "time never goes back");
    }

    /// Transfers complete as on a link that updates every transfer at each change.
    #[test]
    fn link_shares_bandwidth_evenly(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (bandwidth, max_rate) = (10.0, 4.0);
        let mut link = FairLink::new(bandwidth, max_rate);
        let mut reference = Vec::<(u64, f64)>::new();
        let mut now = 0u64;
        for transfer in 0..200 {
            let gap = rng.random_range(1..3_000);
            let begins = now + gap;
            while let Some((at, completed)) = link.next_completion().filter(|(at, _)| *at <= begins) {
                let rate = (bandwidth / reference.len() as f64).min(max_rate);
                reference.iter_mut().for_each(|(_, remaining)| *remaining -= rate * (at - now) as f64);
                now = at;
                let n = reference.iter().position(|(known, _)| *known == completed);
                let n = n.expect("the transfer is in progress");
                let (_, remaining) = reference.remove(n);
                // Times are integers: a transfer may complete up to a microsecond late.
                prop_assert!(remaining.abs() <= max_rate + 1e-3, "{remaining}");
                prop_assert!(reference.iter().all(|(_, other)| *other >= remaining - max_rate - 1e-3));
                link.end(now, completed);
            }
            let rate = (bandwidth / reference.len().max(1) as f64).min(max_rate);
            reference.iter_mut().for_each(|(_, remaining)| *remaining -= rate * (begins - now) as f64);
            now = begins;
            let bytes = rng.random_range(1.0..20_000.0);
            link.begin(now, transfer, bytes);
            reference.push((transfer, bytes));
            prop_assert_eq!(link.len(), reference.len());
        }
    }

    /// Copies are evicted as from a list that is searched: the lowest rank first, then the least recently
    /// used.
    #[test]
    fn copies_are_evicted_by_rank_then_use(seed in any::<u64>()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut copies = Copies::new(20);
        let mut reference = Vec::<(u8, u64)>::new();
        for issued_at in 0..2_000u64 {
            let key = rng.random_range(0..60u64);
            let position = reference.iter().position(|(_, known)| *known == key);
            match rng.random_range(0..10) {
                0 => {
                    prop_assert_eq!(copies.remove(key), position.is_some());
                    position.map(|n| reference.remove(n));
                }
                1..=4 => {
                    prop_assert_eq!(copies.get(key).is_some(), position.is_some());
                    if let Some(copy) = position.map(|n| reference.remove(n)) {
                        reference.push(copy);
                    }
                }
                _ => {
                    let rank = rng.random_range(0..4);
                    position.map(|n| reference.remove(n));
                    let least = reference.iter().map(|(rank, _)| *rank).min();
                    let first = reference.iter().position(|(rank, _)| Some(*rank) == least);
                    let evicted = first.filter(|_| reference.len() >= 20).map(|n| reference.remove(n).1);
                    reference.push((rank, key));
                    prop_assert_eq!(copies.insert(key, rank, issued_at), evicted);
                }
            }
            prop_assert_eq!(copies.len(), reference.len());
        }
    }
}

/// The mean time of transfers on a shared link, at a load and with sizes drawn by `size`, relative to their
/// mean time alone.
fn slowdown(load: f64, mut size: impl FnMut(&mut Pcg64Mcg) -> f64, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut link = FairLink::new(1.0, 1.0);
    let mean = 1_000.0;
    let gaps = Exp::new(load / mean).expect("a positive rate");
    let mut started_at = std::collections::BTreeMap::new();
    let (mut durations, mut next, mut at) = (Vec::new(), 0u64, 0.0f64);
    while durations.len() < 600_000 {
        at += gaps.sample(&mut rng);
        let arrival = at as u64;
        while let Some((end, transfer)) = link.next_completion().filter(|(end, _)| *end <= arrival) {
            link.end(end, transfer);
            let since: u64 = started_at.remove(&transfer).expect("the transfer had begun");
            durations.push((end - since) as f64);
        }
        next += 1;
        started_at.insert(next, arrival);
        link.begin(arrival, next, size(&mut rng) * mean);
    }
    durations.iter().skip(10_000).mean() / mean
}

/// M/M/1 and M/G/1 with processor sharing: the mean time is the time alone divided by one minus the load, for
/// any distribution of sizes (Kleinrock 1967).
#[test]
fn shared_link_matches_queueing_theory() {
    let exponential = Exp::new(1.0).expect("a positive rate");
    for load in [0.3, 0.6, 0.8] {
        let expected = 1.0 / (1.0 - load);
        let markov = slowdown(load, |rng| exponential.sample(rng), 1);
        let even = slowdown(load, |_| 1.0, 2);
        let two = slowdown(load, |rng| if rng.random_range(0..10) == 0 { 5.5 } else { 0.5 }, 3);
        for (sizes, found) in [("exponential", markov), ("all alike", even), ("few large ones", two)] {
            println!("{sizes} at {load}: {:.4}", found / expected);
            assert!((found / expected - 1.0).abs() < 0.06, "{sizes} at {load}: {found}, expected {expected}");
        }
    }
}

/// The hit ratio of an LRU cache, by Che's approximation (Che, Tung and Wang 2002): with the time T in which
/// the expected number of different requested objects is the size of the cache, an object with request rate r
/// is cached with probability 1 - exp(-r T).
#[test]
fn hit_ratio_matches_ches_approximation() {
    let (objects, skew) = (10_000u64, 0.8);
    let config = DemandConfig { objects, skew, ..DemandConfig::default() };
    let demand = Demand::new(config, Vec::new()).expect("valid demand");
    let weights: Vec<f64> = (1..=objects).map(|n| (n as f64).powf(-skew)).collect();
    let sum: f64 = weights.iter().sum();
    for size in [100usize, 1_000, 3_000] {
        let expected_cached = |time: f64| weights.iter().map(|w| 1.0 - (-w / sum * time).exp()).sum::<f64>();
        let (mut low, mut high) = (0.0, 1e9);
        for _ in 0..100 {
            let middle = (low + high) / 2.0;
            *(if expected_cached(middle) < size as f64 { &mut low } else { &mut high }) = middle;
        }
        let expected: f64 = weights.iter().map(|w| w / sum * (1.0 - (-w / sum * low).exp())).sum();
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut copies = Copies::new(size);
        let (mut hits, mut requests) = (0u32, 0u32);
        for n in 0..400_000u64 {
            let object = demand.object(0, &mut rng);
            let hit = copies.get(object).is_some();
            if !hit {
                copies.insert(object, 0, n);
            }
            if n >= 100_000 {
                requests += 1;
                hits += u32::from(hit);
            }
        }
        let found = f64::from(hits) / f64::from(requests);
        assert!((found - expected).abs() < 0.01, "{size}: {found}, expected {expected}");
    }
}

/// Demand drifts and has flash crowds, and each object has a fixed size.
#[test]
fn demand_drifts_and_has_flash_crowds() {
    let config =
        DemandConfig { objects: 1_000, skew: 1.0, drift_period: 1_000_000, ..DemandConfig::default() };
    let flash_crowd = FlashCrowd { from: 500_000, to: 600_000, object: 77, share: 0.5 };
    let demand = Demand::new(config, vec![flash_crowd]).expect("valid demand");
    assert_eq!((demand.at_rank(0, 0), demand.at_rank(500_000, 0), demand.at_rank(1_000_000, 0)), (0, 500, 0));
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut share = |now: u64| (0..2_000).filter(|_| demand.object(now, &mut rng) == 77).count();
    assert!(share(100_000) < 60 && (900..1_150).contains(&share(550_000)));
    assert_eq!(demand.size::<Pcg64Mcg>(5), demand.size::<Pcg64Mcg>(5));
    let sizes: Vec<f64> = (0..20_000).map(|object| demand.size::<Pcg64Mcg>(object).ln()).collect();
    assert!(
        (sizes.iter().mean() - 100_000f64.ln()).abs() < 0.02 && (sizes.iter().std_dev() - 0.6).abs() < 0.02
    );
    assert!(Demand::new(DemandConfig { skew: f64::NAN, ..config }, Vec::new()).is_err());
}
