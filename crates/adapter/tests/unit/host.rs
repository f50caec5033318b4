//! Execution of records by the host.

use linnethook::interface::{EndpointId, EndpointPhase};

use super::*;

fn start(settings: &str) -> Result<Reply, HostError> {
    let settings = settings.as_bytes().to_vec();
    Host::default().execute(0.0, vec![Record::StartInstance { instance: 3, seed: 7, settings }])
}

#[test]
fn invalid_settings_are_reported_with_their_path_and_unknown_keys_are_ignored() {
    let error = |settings: &str| start(settings).err().map_or(String::new(), |error| error.to_string());
    assert!(error(r#"{"weight-source": "heavy"}"#)
        .starts_with("settings of instance 3: weight-source: unknown variant `heavy`"));
    assert!(error(r#"{"family-info": {"parent-floor": 7}}"#)
        .starts_with("settings of instance 3: family-info.parent-floor: 7, expected from 0 to 1"));
    assert!(error(r#"{"allowed": {"max-attempts": "six"}}"#)
        .starts_with("settings of instance 3: allowed.max-attempts: invalid type"));
    assert_eq!(error("{}") + &error(r#"{"colour": "red", "weight-source": "off"}"#), "");
}

/// Lists whose weights are all 0 or all 1 are accepted, and so are messages from other instances, which no
/// router sends.
#[test]
fn lists_without_weights_and_messages_from_other_instances_are_accepted() {
    let mut host = Host::default();
    let settings = br#"{"weight-source": "off", "resolution": 2}"#.to_vec();
    let endpoints = |weight: f64| {
        let endpoint = |id| Endpoint {
            id: EndpointId(id),
            cell: 0,
            zone: 0,
            role: 0,
            weight,
            started_at: 0.0,
            phase: EndpointPhase::Ready,
        };
        (1..4).map(endpoint).collect()
    };
    let records = vec![
        Record::StartInstance { instance: 3, seed: 7, settings },
        Record::DefineList { list: 0, endpoints: endpoints(0.0) },
        Record::UpdateEndpoints { instance: 3, update: EndpointUpdate::Snapshot, list: 0 },
        Record::DefineList { list: 1, endpoints: endpoints(1.0) },
        Record::UpdateEndpoints { instance: 3, update: EndpointUpdate::Snapshot, list: 1 },
        Record::PeerMessage { instance: 3 },
        Record::PeerMessage { instance: 4 },
    ];
    let executed = host.execute(1.0, records);
    assert!(executed.is_ok() && host.instances.len() == 1);
}
