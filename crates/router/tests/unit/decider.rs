//! Unit tests of `src/decider.rs`, a part of its module.

use super::*;

fn decider() -> Decider {
    let text = include_str!("../../../../examples/config.json");
    let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
    let settings = config["settings"].to_string();
    let told = linnethook_settings::decode(settings.as_bytes()).expect("its settings");
    let mut decider = Decider::new(told, 7);
    let host = |uid: &str, zone: &str, kind: &str| Host {
        uid: uid.to_string(),
        zone: zone.to_string(),
        kind: kind.to_string(),
        cell: 0,
        weight: 8.0,
        started: 0.0,
        state: HostState::Ready,
    };
    let hosts = vec![host("a", "shop", "box"), host("p", "hub", "hub-box"), host("o", "hub", "store")];
    decider.report(1000.0, News::Hosts { complete: true, hosts });
    decider
}

fn wish(class: &str, budget: Ms) -> Wish {
    Wish { class: class.to_string(), object: 7, part: 0, group: 0, size_kb: 100.0, repeat: false, budget }
}

fn ended(attempt: Attempt, place: Place, end: End) -> News {
    News::Ended(Ending { attempt, place, end, took: 50.0, waited: 0.0, how: None, gauges: Vec::new() })
}

fn sent(orders: &[Order]) -> Option<(Attempt, Place, Ms, Filling)> {
    orders.iter().find_map(|order| match order {
        Order::Send { attempt, place, timeout, filling } => Some((*attempt, *place, *timeout, *filling)),
        _ => None,
    })
}

fn answers(orders: &[Order]) -> Vec<Final> {
    let answer = |order: &Order| match order {
        Order::Answer { answer, .. } => Some(*answer),
        _ => None,
    };
    orders.iter().filter_map(answer).collect()
}

#[test]
fn a_read_goes_to_its_owner_with_its_parent_as_source_and_is_served_once() {
    let mut decider = decider();
    let (attempt, place, timeout, filling) =
        sent(&decider.pick(1000.0, 1, &wish("video", 900.0))).expect("an attempt");
    assert_eq!((place, filling.source), (Place::of("a"), Some(Place::of("p"))));
    assert!(timeout > 0.0 && timeout <= 900.0);
    let orders = decider.report(1050.0, ended(attempt, place, End::Answered));
    assert_eq!(answers(&orders), [Final::Served]);
    assert_eq!(decider.owed(), 0);
    let again = decider.report(1060.0, ended(attempt, place, End::Answered));
    assert!(answers(&again).is_empty());
}

/// A time-out that passes the client's wait would leave it without its answer.
#[test]
fn no_attempt_outlasts_the_clients_wait() {
    let mut decider = decider();
    let (attempt, place, timeout, _) =
        sent(&decider.pick(1000.0, 1, &wish("booking", 700.0))).expect("an attempt");
    assert_eq!(place, Place::of("o"));
    assert!(timeout <= 700.0);
    let orders = decider.report(1700.0, ended(attempt, place, End::TimedOut));
    assert_eq!(answers(&orders), [Final::Failed], "it may have run");
}

#[test]
fn a_write_that_never_ran_is_refused_and_one_that_left_is_not_answered() {
    let mut decider = decider();
    let (attempt, place, ..) = sent(&decider.pick(1000.0, 1, &wish("booking", 10.0))).expect("an attempt");
    let orders = decider.report(1009.0, ended(attempt, place, End::Unreached));
    assert!(matches!(answers(&orders)[..], [Final::Refused { .. }]));
    let (attempt, place, ..) = sent(&decider.pick(1010.0, 2, &wish("video", 900.0))).expect("an attempt");
    let orders = decider.report(1020.0, News::Left(2));
    assert!(orders.contains(&Order::Cancel(attempt)) && answers(&orders).is_empty());
    assert!(answers(&decider.report(1020.0, ended(attempt, place, End::Cancelled))).is_empty());
}

/// A long day replaces its caches, objects and ids many times over: what is kept must not grow with them.
#[test]
fn what_is_kept_does_not_grow_with_what_has_gone() {
    let mut decider = decider();
    let mut now = 1000.0;
    let mut ticket = 0;
    let mut sizes = Vec::new();
    for day in 0..3 {
        for n in 0..=400u32 {
            let host = |n: u32, state: HostState| Host {
                uid: format!("spare-{day}-{n}"),
                zone: "shop".to_string(),
                kind: "box".to_string(),
                cell: 0,
                weight: 8.0,
                started: now,
                state,
            };
            let state = if n < 400 { HostState::Ready } else { HostState::Gone };
            let hosts = vec![host(n, state), host(n.wrapping_sub(1), HostState::Gone)];
            decider.report(now, News::Hosts { complete: false, hosts });
            let expired = News::Expired { object: Some(u64::from(n)), group: 0, stamp: now };
            decider.report(now, expired);
            for end in [End::Answered, End::Cancelled, End::Broken] {
                ticket += 1;
                let wish = Wish { object: ticket * 77, ..wish("video", 900.0) };
                let mut orders = decider.pick(now, ticket, &wish);
                while let Some((attempt, place, ..)) = sent(&orders) {
                    now += 20.0;
                    if end == End::Cancelled {
                        decider.report(now, News::Left(ticket));
                    }
                    orders = decider.report(now, ended(attempt, place, end));
                }
            }
            decider.tick(now);
        }
        assert_eq!(decider.owed(), 0);
        // What has gone is forgotten some rotations later.
        for _ in 0..60 {
            now += 1000.0;
            decider.tick(now);
        }
        // All that it holds, spelt out.
        sizes.push(format!("{decider:?}").len());
    }
    assert!(sizes[2] < sizes[0] * 11 / 10, "{sizes:?}");
}

/// The example's settings with the order of classes, zones and kinds turned round, and other names for them.
fn renamed(settings: &serde_json::Value) -> serde_json::Value {
    let mut other = settings.clone();
    let turned = |list: &serde_json::Value| {
        let list = list.as_array().expect("a list");
        serde_json::Value::Array(list.iter().rev().cloned().collect())
    };
    let named = |name: &serde_json::Value| serde_json::json!(format!("x-{}", name.as_str().expect("a name")));
    for list in ["dcs", "kinds"] {
        other[list] = turned(&settings[list]);
        other[list].as_array_mut().expect("a list").iter_mut().for_each(|name| *name = named(name));
    }
    other["grades"] = turned(&settings["grades"]);
    for class in other["grades"].as_array_mut().expect("classes") {
        class["name"] = named(&class["name"]);
    }
    for list in ["class-parts", "grace-for", "max-age", "old-copy-worth", "pass-on", "seats-by-zone"] {
        other["family-info"][list] = turned(&settings["family-info"][list]);
    }
    let last = |list: &str| settings[list].as_array().expect("a list").len() as u64 - 1;
    let index = |value: &serde_json::Value, list: &str| last(list) - value.as_u64().expect("a number");
    other["locality"] = index(&settings["locality"], "dcs").into();
    for kind in ["second-tier-kind", "store-kind"] {
        other["family-info"][kind] = index(&settings["family-info"][kind], "kinds").into();
    }
    other
}

/// All orders of a rough stretch; names begin with `name`. What `beside` does in between must not matter.
fn stretch(decider: &mut Decider, name: &str, mut beside: impl FnMut(Ms)) -> Vec<String> {
    let host = |uid: String, zone: &str, kind: &str| Host {
        uid,
        zone: format!("{name}{zone}"),
        kind: format!("{name}{kind}"),
        cell: 0,
        weight: 8.0,
        started: 0.0,
        state: HostState::Ready,
    };
    let mut hosts: Vec<Host> = (0..5).map(|n| host(format!("c{n}"), "shop", "box")).collect();
    hosts.extend((0..2).map(|n| host(format!("p{n}"), "hub", "hub-box")));
    hosts.push(host("o".to_string(), "hub", "store"));
    decider.report(1000.0, News::Hosts { complete: true, hosts });
    let mut chance: u64 = 7;
    let mut draw = |most: u64| {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (chance >> 33) % most
    };
    let (mut all, mut out, mut now) = (Vec::new(), Vec::new(), 1000.0);
    for ticket in 1..=600 {
        now += 3.0;
        beside(now);
        let class = ["video", "page", "booking"][draw(3) as usize];
        let object = draw(60);
        let size_kb = 20.0 + draw(900) as f64;
        let wish = Wish { object, size_kb, ..wish(&format!("{name}{class}"), 2_000.0) };
        let mut orders = decider.pick(now, ticket, &wish);
        if draw(9) == 0 {
            let stamp = now;
            orders.extend(decider.report(now, News::Expired { object: Some(object), group: 0, stamp }));
        }
        orders.extend(decider.tick(now));
        while let Some((attempt, place, ..)) = sent(&orders) {
            out.push((attempt, place));
            all.extend(orders.iter().map(|order| format!("{order:?}")));
            orders.clear();
            if draw(3) > 0 {
                let (attempt, place) = out.swap_remove(draw(out.len() as u64) as usize);
                let ends = [End::Answered, End::Answered, End::Broken, End::Full, End::TimedOut, End::Failed];
                orders = decider.report(now, ended(attempt, place, ends[draw(6) as usize]));
            }
        }
        all.extend(orders.iter().map(|order| format!("{order:?}")));
    }
    all
}

/// Nothing hangs on what one deployment calls its classes, zones and kinds, or on their order.
#[test]
fn other_names_and_another_order_decide_the_same_and_routers_beside_each_other_share_nothing() {
    let text = include_str!("../../../../examples/config.json");
    let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
    let decider = |settings: &serde_json::Value| {
        let told = linnethook_settings::decode(settings.to_string().as_bytes()).expect("its settings");
        Decider::new(told, 7)
    };
    let other = renamed(&config["settings"]);
    let alone = stretch(&mut decider(&config["settings"]), "", |_| ());
    assert!(alone.len() > 1_000, "{}", alone.len());
    assert_eq!(alone, stretch(&mut decider(&other), "x-", |_| ()));
    // Another one with other settings in the same process, in turn with it.
    let mut strict = other.clone();
    strict["allowed"]["max-attempts"] = 1.into();
    strict["family-info"]["bypass-allowed"] = false.into();
    let (mut beside, mut ticket) = (decider(&strict), 0);
    let in_turn = stretch(&mut decider(&config["settings"]), "", |now| {
        ticket += 1;
        beside.pick(now, ticket, &wish("x-video", 900.0));
        beside.tick(now);
    });
    assert_eq!(alone, in_turn);
}

/// The caller keeps only the soonest time that it was told.
#[test]
fn every_tick_tells_when_the_next_one_is_due() {
    let mut decider = decider();
    let mut now = 1000.0;
    for _ in 0..20 {
        let wake = decider.tick(now).into_iter().find_map(|order| match order {
            Order::WakeAt(at) => Some(at),
            _ => None,
        });
        let wake = wake.expect("a time");
        assert!(wake > now);
        now = wake;
    }
}
