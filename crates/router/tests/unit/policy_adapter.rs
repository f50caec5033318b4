//! Unit tests of `src/policy_adapter/mod.rs`, a part of its module.

use super::*;

fn adapter() -> PolicyAdapter {
    let text = include_str!("../../../../examples/config.json");
    let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
    let settings = config["settings"].to_string();
    let settings = linnethook_settings::decode(settings.as_bytes()).expect("its settings");
    let mut adapter = PolicyAdapter::new(settings, 7);
    let host = |uid: &str, zone: &str, kind: &str| EndpointInfo {
        uid: uid.to_string(),
        zone: zone.to_string(),
        kind: kind.to_string(),
        cell: 0,
        weight: 8.0,
        started: 0.0,
        state: ListedState::Ready,
    };
    let hosts = vec![host("a", "shop", "box"), host("p", "hub", "hub-box"), host("o", "hub", "store")];
    adapter.handle(1000.0, PolicyInput::Endpoints { complete: true, endpoints: hosts });
    adapter
}

fn spec(class: &str, budget: Ms) -> RequestSpec {
    RequestSpec {
        class: class.to_string(),
        object: 7,
        part: 0,
        group: 0,
        size_kb: 100.0,
        repeat: false,
        budget,
    }
}

fn ended(attempt: AttemptKey, place: EndpointKey, end: AttemptEnd) -> PolicyInput {
    PolicyInput::AttemptEnded(AttemptReport {
        attempt,
        endpoint: place,
        end,
        elapsed: 50.0,
        source_wait: 0.0,
        cache_result: None,
        gauges: Vec::new(),
    })
}

fn sent(commands: &[PolicyCommand]) -> Option<(AttemptKey, EndpointKey, Ms, FillSpec)> {
    commands.iter().find_map(|command| match command {
        PolicyCommand::Send { attempt, endpoint, timeout, fill } => {
            Some((*attempt, *endpoint, *timeout, *fill))
        }
        _ => None,
    })
}

fn answers(commands: &[PolicyCommand]) -> Vec<FinalAnswer> {
    let answer = |command: &PolicyCommand| match command {
        PolicyCommand::Answer { answer, .. } => Some(*answer),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

#[test]
fn a_read_goes_to_its_owner_with_its_parent_as_source_and_is_served_once() {
    let mut adapter = adapter();
    let (attempt, place, timeout, fill) =
        sent(&adapter.on_request(1000.0, 1, &spec("video", 900.0))).expect("an attempt");
    assert_eq!((place, fill.source), (EndpointKey::of("a"), Some(EndpointKey::of("p"))));
    assert!(timeout > 0.0 && timeout <= 900.0);
    let commands = adapter.handle(1050.0, ended(attempt, place, AttemptEnd::Answered));
    assert_eq!(answers(&commands), [FinalAnswer::Served]);
    assert_eq!(adapter.open_requests(), 0);
    let again = adapter.handle(1060.0, ended(attempt, place, AttemptEnd::Answered));
    assert!(answers(&again).is_empty());
}

/// A time-out that passes the client's wait would leave it without its answer.
#[test]
fn no_attempt_outlasts_the_clients_wait() {
    let mut adapter = adapter();
    let (attempt, place, timeout, _) =
        sent(&adapter.on_request(1000.0, 1, &spec("booking", 700.0))).expect("an attempt");
    assert_eq!(place, EndpointKey::of("o"));
    assert!(timeout <= 700.0);
    let commands = adapter.handle(1700.0, ended(attempt, place, AttemptEnd::TimedOut));
    assert_eq!(answers(&commands), [FinalAnswer::Failed], "it may have run");
}

#[test]
fn a_write_that_never_ran_is_refused_and_one_that_left_is_not_answered() {
    let mut adapter = adapter();
    let (attempt, place, ..) =
        sent(&adapter.on_request(1000.0, 1, &spec("booking", 10.0))).expect("an attempt");
    let commands = adapter.handle(1009.0, ended(attempt, place, AttemptEnd::NotSent));
    assert!(matches!(answers(&commands)[..], [FinalAnswer::Rejected { .. }]));
    let (attempt, place, ..) =
        sent(&adapter.on_request(1010.0, 2, &spec("video", 900.0))).expect("an attempt");
    let commands = adapter.handle(1020.0, PolicyInput::RequestCancelled(2));
    assert!(commands.contains(&PolicyCommand::Cancel(attempt)) && answers(&commands).is_empty());
    assert!(answers(&adapter.handle(1020.0, ended(attempt, place, AttemptEnd::Cancelled))).is_empty());
}

/// A long day replaces its caches, objects and ids many times over: what is kept must not grow with them.
#[test]
fn the_state_does_not_grow_with_past_requests() {
    let mut adapter = adapter();
    let mut now = 1000.0;
    let mut ticket = 0;
    let mut sizes = Vec::new();
    for day in 0..3 {
        for n in 0..=400u32 {
            let host = |n: u32, state: ListedState| EndpointInfo {
                uid: format!("spare-{day}-{n}"),
                zone: "shop".to_string(),
                kind: "box".to_string(),
                cell: 0,
                weight: 8.0,
                started: now,
                state,
            };
            let state = if n < 400 { ListedState::Ready } else { ListedState::Removed };
            let hosts = vec![host(n, state), host(n.wrapping_sub(1), ListedState::Removed)];
            adapter.handle(now, PolicyInput::Endpoints { complete: false, endpoints: hosts });
            let expired = PolicyInput::Purged { object: Some(u64::from(n)), group: 0, stamp: now };
            adapter.handle(now, expired);
            for end in [AttemptEnd::Answered, AttemptEnd::Cancelled, AttemptEnd::ConnectionLost] {
                ticket += 1;
                let spec = RequestSpec { object: ticket * 77, ..spec("video", 900.0) };
                let mut commands = adapter.on_request(now, ticket, &spec);
                while let Some((attempt, place, ..)) = sent(&commands) {
                    now += 20.0;
                    if end == AttemptEnd::Cancelled {
                        adapter.handle(now, PolicyInput::RequestCancelled(ticket));
                    }
                    commands = adapter.handle(now, ended(attempt, place, end));
                }
            }
            adapter.on_timer(now);
        }
        assert_eq!(adapter.open_requests(), 0);
        // What has gone is forgotten some rotations later.
        for _ in 0..60 {
            now += 1000.0;
            adapter.on_timer(now);
        }
        // All that it holds, spelt out.
        sizes.push(format!("{adapter:?}").len());
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

/// All commands of a rough stretch; names begin with `name`. What `beside` does in between must not matter.
fn stretch(adapter: &mut PolicyAdapter, name: &str, mut beside: impl FnMut(Ms)) -> Vec<String> {
    let host = |uid: String, zone: &str, kind: &str| EndpointInfo {
        uid,
        zone: format!("{name}{zone}"),
        kind: format!("{name}{kind}"),
        cell: 0,
        weight: 8.0,
        started: 0.0,
        state: ListedState::Ready,
    };
    let mut hosts: Vec<EndpointInfo> = (0..5).map(|n| host(format!("c{n}"), "shop", "box")).collect();
    hosts.extend((0..2).map(|n| host(format!("p{n}"), "hub", "hub-box")));
    hosts.push(host("o".to_string(), "hub", "store"));
    adapter.handle(1000.0, PolicyInput::Endpoints { complete: true, endpoints: hosts });
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
        let spec = RequestSpec { object, size_kb, ..spec(&format!("{name}{class}"), 2_000.0) };
        let mut commands = adapter.on_request(now, ticket, &spec);
        if draw(9) == 0 {
            let stamp = now;
            commands
                .extend(adapter.handle(now, PolicyInput::Purged { object: Some(object), group: 0, stamp }));
        }
        commands.extend(adapter.on_timer(now));
        while let Some((attempt, place, ..)) = sent(&commands) {
            out.push((attempt, place));
            all.extend(commands.iter().map(|command| format!("{command:?}")));
            commands.clear();
            if draw(3) > 0 {
                let (attempt, place) = out.swap_remove(draw(out.len() as u64) as usize);
                let ends = [
                    AttemptEnd::Answered,
                    AttemptEnd::Answered,
                    AttemptEnd::ConnectionLost,
                    AttemptEnd::Rejected,
                    AttemptEnd::TimedOut,
                    AttemptEnd::Failed,
                ];
                commands = adapter.handle(now, ended(attempt, place, ends[draw(6) as usize]));
            }
        }
        all.extend(commands.iter().map(|command| format!("{command:?}")));
    }
    all
}

/// Nothing hangs on what one deployment calls its classes, zones and kinds, or on their order.
#[test]
fn other_names_and_another_order_decide_the_same_and_routers_beside_each_other_share_nothing() {
    let text = include_str!("../../../../examples/config.json");
    let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
    let adapter = |settings: &serde_json::Value| {
        let settings = linnethook_settings::decode(settings.to_string().as_bytes()).expect("its settings");
        PolicyAdapter::new(settings, 7)
    };
    let other = renamed(&config["settings"]);
    let alone = stretch(&mut adapter(&config["settings"]), "", |_| ());
    assert!(alone.len() > 1_000, "{}", alone.len());
    assert_eq!(alone, stretch(&mut adapter(&other), "x-", |_| ()));
    // Another one with other settings in the same process, in turn with it.
    let mut strict = other.clone();
    strict["allowed"]["max-attempts"] = 1.into();
    strict["family-info"]["bypass-allowed"] = false.into();
    let (mut beside, mut ticket) = (adapter(&strict), 0);
    let in_turn = stretch(&mut adapter(&config["settings"]), "", |now| {
        ticket += 1;
        beside.on_request(now, ticket, &spec("x-video", 900.0));
        beside.on_timer(now);
    });
    assert_eq!(alone, in_turn);
}

/// The caller keeps only the soonest time that it was told.
#[test]
fn every_tick_tells_when_the_next_one_is_due() {
    let mut adapter = adapter();
    let mut now = 1000.0;
    for _ in 0..20 {
        let wake = adapter.on_timer(now).into_iter().find_map(|command| match command {
            PolicyCommand::SetTimer(at) => Some(at),
            _ => None,
        });
        let wake = wake.expect("a time");
        assert!(wake > now);
        now = wake;
    }
}
