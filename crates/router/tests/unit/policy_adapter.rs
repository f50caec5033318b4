//! Unit tests of `src/policy_adapter/mod.rs`, included there as the module `tests`.

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

fn ended(attempt: AttemptKey, endpoint: EndpointKey, end: AttemptEnd) -> PolicyInput {
    PolicyInput::AttemptEnded(AttemptReport {
        attempt,
        endpoint,
        end,
        elapsed: 50.0,
        source_wait: 0.0,
        cache_result: None,
        gauges: Vec::new(),
    })
}

fn sent(commands: &[PolicyCommand]) -> Option<(AttemptKey, EndpointKey, Ms, FillSpec)> {
    commands.iter().find_map(|command| match command {
        PolicyCommand::Send { attempt, endpoint, timeout, fill, .. } => {
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
fn a_read_goes_to_its_owner_with_its_parent_as_source_and_is_answered_once() {
    let mut adapter = adapter();
    let (attempt, endpoint, timeout, fill) =
        sent(&adapter.on_request(1000.0, 1, &spec("video", 900.0))).expect("an attempt");
    assert_eq!((endpoint, fill.source), (EndpointKey::of("a"), Some(EndpointKey::of("p"))));
    assert!(timeout > 0.0 && timeout <= 900.0);
    let commands = adapter.handle(1050.0, ended(attempt, endpoint, AttemptEnd::Answered));
    assert_eq!(answers(&commands), [FinalAnswer::Served]);
    assert_eq!(adapter.open_requests(), 0);
    let again = adapter.handle(1060.0, ended(attempt, endpoint, AttemptEnd::Answered));
    assert!(answers(&again).is_empty());
}

/// A timeout longer than the client's wait would leave the client without an answer.
#[test]
fn no_attempt_outlasts_the_wait_of_its_client() {
    let mut adapter = adapter();
    let (attempt, endpoint, timeout, _) =
        sent(&adapter.on_request(1000.0, 1, &spec("booking", 700.0))).expect("an attempt");
    assert_eq!(endpoint, EndpointKey::of("o"));
    assert!(timeout <= 700.0);
    let commands = adapter.handle(1700.0, ended(attempt, endpoint, AttemptEnd::TimedOut));
    assert_eq!(answers(&commands), [FinalAnswer::Failed], "it may have been executed");
}

#[test]
fn an_unsent_write_is_rejected_and_a_cancelled_request_is_not_answered() {
    let mut adapter = adapter();
    let (attempt, endpoint, ..) =
        sent(&adapter.on_request(1000.0, 1, &spec("booking", 10.0))).expect("an attempt");
    let commands = adapter.handle(1009.0, ended(attempt, endpoint, AttemptEnd::NotSent));
    assert!(matches!(answers(&commands)[..], [FinalAnswer::Rejected { .. }]));
    let (attempt, endpoint, ..) =
        sent(&adapter.on_request(1010.0, 2, &spec("video", 900.0))).expect("an attempt");
    let commands = adapter.handle(1020.0, PolicyInput::RequestCancelled(2));
    assert!(commands.contains(&PolicyCommand::Cancel(attempt)) && answers(&commands).is_empty());
    assert!(answers(&adapter.handle(1020.0, ended(attempt, endpoint, AttemptEnd::Cancelled))).is_empty());
}

/// Endpoints, objects and ids are replaced many times in a long run: the stored state must not grow with
/// them.
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
                while let Some((attempt, endpoint, ..)) = sent(&commands) {
                    now += 20.0;
                    if end == AttemptEnd::Cancelled {
                        adapter.handle(now, PolicyInput::RequestCancelled(ticket));
                    }
                    commands = adapter.handle(now, ended(attempt, endpoint, end));
                }
            }
            adapter.on_timer(now);
        }
        assert_eq!(adapter.open_requests(), 0);
        // Removed entries expire after some rotations.
        for _ in 0..60 {
            now += 1000.0;
            adapter.on_timer(now);
        }
        // The size of the debug output measures the complete state.
        sizes.push(format!("{adapter:?}").len());
    }
    assert!(sizes[2] < sizes[0] * 11 / 10, "{sizes:?}");
}

/// The example's settings with the classes, zones and kinds renamed and in reverse order.
fn renamed(settings: &serde_json::Value) -> serde_json::Value {
    let mut other = settings.clone();
    let reversed = |list: &serde_json::Value| {
        let list = list.as_array().expect("a list");
        serde_json::Value::Array(list.iter().rev().cloned().collect())
    };
    let named = |name: &serde_json::Value| serde_json::json!(format!("x-{}", name.as_str().expect("a name")));
    for list in ["dcs", "kinds"] {
        other[list] = reversed(&settings[list]);
        other[list].as_array_mut().expect("a list").iter_mut().for_each(|name| *name = named(name));
    }
    other["grades"] = reversed(&settings["grades"]);
    for class in other["grades"].as_array_mut().expect("classes") {
        class["name"] = named(&class["name"]);
    }
    for list in ["class-parts", "grace-for", "max-age", "old-copy-worth", "pass-on", "seats-by-zone"] {
        other["family-info"][list] = reversed(&settings["family-info"][list]);
    }
    let last = |list: &str| settings[list].as_array().expect("a list").len() as u64 - 1;
    let index = |value: &serde_json::Value, list: &str| last(list) - value.as_u64().expect("a number");
    other["locality"] = index(&settings["locality"], "dcs").into();
    for kind in ["second-tier-kind", "store-kind"] {
        other["family-info"][kind] = index(&settings["family-info"][kind], "kinds").into();
    }
    other
}

/// Runs a random sequence of requests, purges and attempt outcomes; returns all commands. The names of zones,
/// roles and classes begin with `prefix`. `before_request` is called before each request.
fn run_random_sequence(
    adapter: &mut PolicyAdapter,
    prefix: &str,
    mut before_request: impl FnMut(Ms),
) -> Vec<String> {
    let host = |uid: String, zone: &str, kind: &str| EndpointInfo {
        uid,
        zone: format!("{prefix}{zone}"),
        kind: format!("{prefix}{kind}"),
        cell: 0,
        weight: 8.0,
        started: 0.0,
        state: ListedState::Ready,
    };
    let mut hosts: Vec<EndpointInfo> = (0..5).map(|n| host(format!("c{n}"), "shop", "box")).collect();
    hosts.extend((0..2).map(|n| host(format!("p{n}"), "hub", "hub-box")));
    hosts.push(host("o".to_string(), "hub", "store"));
    adapter.handle(1000.0, PolicyInput::Endpoints { complete: true, endpoints: hosts });
    let mut random_state: u64 = 7;
    let mut draw = |limit: u64| {
        random_state = random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (random_state >> 33) % limit
    };
    let (mut all, mut out, mut now) = (Vec::new(), Vec::new(), 1000.0);
    for ticket in 1..=600 {
        now += 3.0;
        before_request(now);
        let class = ["video", "page", "booking"][draw(3) as usize];
        let object = draw(60);
        let size_kb = 20.0 + draw(900) as f64;
        let spec = RequestSpec { object, size_kb, ..spec(&format!("{prefix}{class}"), 2_000.0) };
        let mut commands = adapter.on_request(now, ticket, &spec);
        if draw(9) == 0 {
            let stamp = now;
            commands
                .extend(adapter.handle(now, PolicyInput::Purged { object: Some(object), group: 0, stamp }));
        }
        commands.extend(adapter.on_timer(now));
        while let Some((attempt, endpoint, ..)) = sent(&commands) {
            out.push((attempt, endpoint));
            all.extend(commands.iter().map(|command| format!("{command:?}")));
            commands.clear();
            if draw(3) > 0 {
                let (attempt, endpoint) = out.swap_remove(draw(out.len() as u64) as usize);
                let ends = [
                    AttemptEnd::Answered,
                    AttemptEnd::Answered,
                    AttemptEnd::ConnectionLost,
                    AttemptEnd::Rejected,
                    AttemptEnd::TimedOut,
                    AttemptEnd::Failed,
                ];
                commands = adapter.handle(now, ended(attempt, endpoint, ends[draw(6) as usize]));
            }
        }
        all.extend(commands.iter().map(|command| format!("{command:?}")));
    }
    all
}

/// Decisions must not depend on the names of classes, zones and kinds or on their order, nor on another
/// router in the same process.
#[test]
fn decisions_are_independent_of_names_their_order_and_other_routers_in_the_process() {
    let text = include_str!("../../../../examples/config.json");
    let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
    let adapter = |settings: &serde_json::Value| {
        let settings = linnethook_settings::decode(settings.to_string().as_bytes()).expect("its settings");
        PolicyAdapter::new(settings, 7)
    };
    let other = renamed(&config["settings"]);
    let alone = run_random_sequence(&mut adapter(&config["settings"]), "", |_| ());
    assert!(alone.len() > 1_000, "{}", alone.len());
    assert_eq!(alone, run_random_sequence(&mut adapter(&other), "x-", |_| ()));
    // Another adapter with other settings runs interleaved with it.
    let mut strict = other.clone();
    strict["allowed"]["max-attempts"] = 1.into();
    strict["family-info"]["bypass-allowed"] = false.into();
    let (mut other_adapter, mut ticket) = (adapter(&strict), 0);
    let interleaved = run_random_sequence(&mut adapter(&config["settings"]), "", |now| {
        ticket += 1;
        other_adapter.on_request(now, ticket, &spec("x-video", 900.0));
        other_adapter.on_timer(now);
    });
    assert_eq!(alone, interleaved);
}

/// The caller stores only the earliest timer, so each run of the timers must report the next one.
#[test]
fn each_run_of_timers_reports_the_next_timer() {
    let mut adapter = adapter();
    let mut now = 1000.0;
    for _ in 0..20 {
        let next_timer = adapter.on_timer(now).into_iter().find_map(|command| match command {
            PolicyCommand::SetTimer(at) => Some(at),
            _ => None,
        });
        let next_timer = next_timer.expect("a time");
        assert!(next_timer > now);
        now = next_timer;
    }
}
