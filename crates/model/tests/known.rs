//! The data structures against simple ones, and against results that are known in closed form.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use linnethook_model::copies::Copies;
use linnethook_model::demand::{Crowd, Demand, DemandRule};
use linnethook_model::fair::Fair;
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
    fn the_queue_is_a_heap(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (mut queue, mut heap, mut n) = (Queue::default(), BinaryHeap::new(), 0u64);
        for _ in 0..2_000 {
            if chance.random_range(0..5) < 3 {
                n += 1;
                let span = 1u64 << chance.random_range(0..40);
                let at = queue.now() + chance.random_range(0..span);
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
    fn the_link_is_shared_evenly(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (carries, most) = (10.0, 4.0);
        let mut fair = Fair::new(carries, most);
        let mut plain = Vec::<(u64, f64)>::new();
        let mut now = 0u64;
        for transfer in 0..200 {
            let gap = chance.random_range(1..3_000);
            let begins = now + gap;
            while let Some((at, ended)) = fair.next().filter(|(at, _)| *at <= begins) {
                let pace = (carries / plain.len() as f64).min(most);
                plain.iter_mut().for_each(|(_, left)| *left -= pace * (at - now) as f64);
                now = at;
                let n = plain.iter().position(|(known, _)| *known == ended).expect("it is under way");
                let (_, left) = plain.remove(n);
                // Times are integers: a transfer may complete up to a microsecond late.
                prop_assert!(left.abs() <= most + 1e-3, "{left}");
                prop_assert!(plain.iter().all(|(_, other)| *other >= left - most - 1e-3));
                fair.end(now, ended);
            }
            let pace = (carries / plain.len().max(1) as f64).min(most);
            plain.iter_mut().for_each(|(_, left)| *left -= pace * (begins - now) as f64);
            now = begins;
            let bytes = chance.random_range(1.0..20_000.0);
            fair.begin(now, transfer, bytes);
            plain.push((transfer, bytes));
            prop_assert_eq!(fair.len(), plain.len());
        }
    }

    /// Copies are evicted as from a list that is searched: the lowest rank first, then the least recently
    /// used.
    #[test]
    fn copies_go_in_their_order(seed in any::<u64>()) {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut copies = Copies::new(20);
        let mut plain = Vec::<(u8, u64)>::new();
        for made in 0..2_000u64 {
            let key = chance.random_range(0..60u64);
            let held = plain.iter().position(|(_, known)| *known == key);
            match chance.random_range(0..10) {
                0 => {
                    prop_assert_eq!(copies.drop_copy(key), held.is_some());
                    held.map(|n| plain.remove(n));
                }
                1..=4 => {
                    prop_assert_eq!(copies.get(key).is_some(), held.is_some());
                    if let Some(copy) = held.map(|n| plain.remove(n)) {
                        plain.push(copy);
                    }
                }
                _ => {
                    let rank = chance.random_range(0..4);
                    held.map(|n| plain.remove(n));
                    let least = plain.iter().map(|(rank, _)| *rank).min();
                    let first = plain.iter().position(|(rank, _)| Some(*rank) == least);
                    let gone = first.filter(|_| plain.len() >= 20).map(|n| plain.remove(n).1);
                    plain.push((rank, key));
                    prop_assert_eq!(copies.keep(key, rank, made), gone);
                }
            }
            prop_assert_eq!(copies.len(), plain.len());
        }
    }
}

/// The mean time of transfers on a shared link, at a load and with sizes drawn by `size`, relative to their
/// mean time alone.
fn slowdown(load: f64, mut size: impl FnMut(&mut Pcg64Mcg) -> f64, seed: u64) -> f64 {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut fair = Fair::new(1.0, 1.0);
    let mean = 1_000.0;
    let gaps = Exp::new(load / mean).expect("a rate");
    let mut begun = std::collections::BTreeMap::new();
    let (mut took, mut next, mut at) = (Vec::new(), 0u64, 0.0f64);
    while took.len() < 600_000 {
        at += gaps.sample(&mut chance);
        let arrival = at as u64;
        while let Some((end, transfer)) = fair.next().filter(|(end, _)| *end <= arrival) {
            fair.end(end, transfer);
            let since: u64 = begun.remove(&transfer).expect("it had begun");
            took.push((end - since) as f64);
        }
        next += 1;
        begun.insert(next, arrival);
        fair.begin(arrival, next, size(&mut chance) * mean);
    }
    took.iter().skip(10_000).mean() / mean
}

/// M/M/1 and M/G/1 with processor sharing: the mean time is the time alone divided by one minus the load, for
/// any distribution of sizes (Kleinrock 1967).
#[test]
fn a_shared_link_is_as_queueing_theory_has_it() {
    let exponential = Exp::new(1.0).expect("a rate");
    for load in [0.3, 0.6, 0.8] {
        let expected = 1.0 / (1.0 - load);
        let markov = slowdown(load, |chance| exponential.sample(chance), 1);
        let even = slowdown(load, |_| 1.0, 2);
        let two = slowdown(load, |chance| if chance.random_range(0..10) == 0 { 5.5 } else { 0.5 }, 3);
        for (what, found) in [("exponential", markov), ("all alike", even), ("few large ones", two)] {
            println!("{what} at {load}: {:.4}", found / expected);
            assert!((found / expected - 1.0).abs() < 0.06, "{what} at {load}: {found}, expected {expected}");
        }
    }
}

/// The hit ratio of an LRU cache, by Che's approximation (Che, Tung and Wang 2002): with the time T in which
/// the expected number of different requested objects is the size of the cache, an object with request rate r
/// is cached with probability 1 - exp(-r T).
#[test]
fn hits_are_as_ches_approximation_has_them() {
    let (objects, skew) = (10_000u64, 0.8);
    let rule = DemandRule { objects, skew, ..DemandRule::default() };
    let demand = Demand::new(rule, Vec::new()).expect("a rule");
    let weights: Vec<f64> = (1..=objects).map(|n| (n as f64).powf(-skew)).collect();
    let sum: f64 = weights.iter().sum();
    for size in [100usize, 1_000, 3_000] {
        let held = |time: f64| weights.iter().map(|w| 1.0 - (-w / sum * time).exp()).sum::<f64>();
        let (mut low, mut high) = (0.0, 1e9);
        for _ in 0..100 {
            let middle = (low + high) / 2.0;
            *(if held(middle) < size as f64 { &mut low } else { &mut high }) = middle;
        }
        let expected: f64 = weights.iter().map(|w| w / sum * (1.0 - (-w / sum * low).exp())).sum();
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut copies = Copies::new(size);
        let (mut hits, mut asked) = (0u32, 0u32);
        for n in 0..400_000u64 {
            let object = demand.object(0, &mut chance);
            let hit = copies.get(object).is_some();
            if !hit {
                copies.keep(object, 0, n);
            }
            if n >= 100_000 {
                asked += 1;
                hits += u32::from(hit);
            }
        }
        let found = f64::from(hits) / f64::from(asked);
        assert!((found - expected).abs() < 0.01, "{size}: {found}, expected {expected}");
    }
}

/// Demand drifts and has flash crowds, and each object has a fixed size.
#[test]
fn demand_moves() {
    let rule = DemandRule { objects: 1_000, skew: 1.0, drift: 1_000_000, ..DemandRule::default() };
    let crowd = Crowd { from: 500_000, to: 600_000, object: 77, part: 0.5 };
    let demand = Demand::new(rule, vec![crowd]).expect("a rule");
    assert_eq!((demand.at_rank(0, 0), demand.at_rank(500_000, 0), demand.at_rank(1_000_000, 0)), (0, 500, 0));
    let mut chance = Pcg64Mcg::seed_from_u64(1);
    let mut share = |now: u64| (0..2_000).filter(|_| demand.object(now, &mut chance) == 77).count();
    assert!(share(100_000) < 60 && (900..1_150).contains(&share(550_000)));
    assert_eq!(demand.size::<Pcg64Mcg>(5), demand.size::<Pcg64Mcg>(5));
    let sizes: Vec<f64> = (0..20_000).map(|object| demand.size::<Pcg64Mcg>(object).ln()).collect();
    assert!(
        (sizes.iter().mean() - 100_000f64.ln()).abs() < 0.02 && (sizes.iter().std_dev() - 0.6).abs() < 0.02
    );
    assert!(Demand::new(DemandRule { skew: f64::NAN, ..rule }, Vec::new()).is_err());
}
