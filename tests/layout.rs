//! Another layout: a list without weights, outcomes that tell only hits.

mod common;
use common::*;
use linnethook::interface::*;

/// The list says 1 of every server.
fn unweighted() -> Vec<Member> {
    everyone().into_iter().map(|member| Member { weight: 1.0, ..member }).collect()
}

fn layout(unweighted: bool) -> Settings {
    Settings { unweighted, tells: Tells::Hit, ..settings() }
}

/// How many objects of one owner are taken while none of them ends.
fn taken(world: &mut World, owner: CacheId, objects: &[u64]) -> usize {
    let sent = objects.iter().filter_map(|&object| world.ask(SAFE, object));
    sent.filter(|sent| sent.cache == owner).count()
}

/// A hit ends with so many requests in hand there.
fn hit(world: &mut World, object: u64, took: Ms, in_hand: f64) {
    let sent = world.ask(SAFE, object).expect("an attempt");
    world.tell(Event::Outcome(Outcome {
        attempt: sent.attempt,
        cache: sent.cache,
        status: Status::Ok,
        settled: true,
        took,
        waited: 0.0,
        note: Some(Note::Hit),
        load: Load { in_flight: Some(in_hand), ..Load::default() },
    }));
}

/// Weights that tell nothing would make every cache one transfer wide.
#[test]
fn a_list_without_weights_leaves_a_cache_its_usual_size() {
    let crowd = |unweighted_list: bool| {
        let mut world = World::with(layout(unweighted_list), unweighted());
        let objects = world.owned(CACHES[0]);
        taken(&mut world, CACHES[0], &objects)
    };
    let (told, untold) = (crowd(false), crowd(true));
    assert!(untold > 2 * told, "{untold} taken by a cache of unknown size, {told} by one of size 1");
}

#[test]
fn a_caches_size_is_learnt_from_how_its_transfers_slow_each_other() {
    let crowd = |took: Ms| {
        let mut world = World::with(layout(true), unweighted());
        let objects = world.owned(CACHES[0]);
        (0..60).for_each(|n| {
            world.pass(50.0);
            hit(&mut world, objects[n % objects.len()], took, 12.0);
        });
        world.pass(10_000.0);
        let objects = world.owned(CACHES[0]);
        taken(&mut world, CACHES[0], &objects)
    };
    // 100 ms of sending: twelve at full pace are twelve wide, twelve at a quarter of it three.
    let (wide, narrow) = (crowd(100.0), crowd(400.0));
    assert!(wide > narrow + 5, "{wide} taken by a wide cache, {narrow} by a narrow one");
}

/// Sizes that are told count as before, whatever the answers show.
#[test]
fn told_weights_are_not_learnt_over() {
    let crowd = |took: Ms| {
        let mut world = World::new(layout(false));
        let objects = world.owned(CACHES[0]);
        (0..60).for_each(|n| hit(&mut world, objects[n % objects.len()], took, 12.0));
        world.pass(10_000.0);
        let objects = world.owned(CACHES[0]);
        taken(&mut world, CACHES[0], &objects)
    };
    assert_eq!(crowd(100.0), crowd(290.0));
}
