//! The deployments of the trials: settings of routers, and the machines that they describe.

use linnethook::interface::{Ms, Settings};
use linnethook_settings::{decode, merge, SettingsError};
use serde_json::{json, Value};

/// A class of read requests: its share of the requests, and the mean transfer time of its responses.
#[derive(Debug, Clone, Copy)]
pub struct ReadClass {
    /// Index of the class in the settings.
    pub class: u16,
    /// Share of the requests.
    pub share: f64,
    /// Mean transfer time of a response.
    pub work: Ms,
}

/// A deployment: the settings of its routers, and the machines that they describe.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name in the results.
    pub name: &'static str,
    /// Settings of the routers, without their number and zone.
    pub settings: Settings,
    /// Locations with routers and caches; routers are spread evenly over them.
    pub locations: usize,
    /// Whether the settings contain the number of routers of each location.
    pub routers_by_zone_known: bool,
    /// Capacity of each cache of a location, in concurrent transfers.
    pub caches: Vec<f64>,
    /// Capacity of each parent, in concurrent transfers.
    pub parents: Vec<f64>,
    /// Classes of the requests.
    pub read_classes: Vec<ReadClass>,
    /// Number of objects that are requested repeatedly.
    pub objects: u64,
    /// Whether requests contain the size of the object.
    pub sizes_known: bool,
}

/// Deployments that differ in the cost of a request, in the outcome detail, and in the parameters of the
/// slow-start rule: the example configuration, the two of `deploy/sites` (with the lower ends of their
/// ranges, on fewer machines), the example with short-lived copies, and one with large objects on small
/// machines, of which a router's share is far less than one.
///
/// # Errors
///
/// Returns an error if the settings of a deployment cannot be read.
pub fn deployments() -> Result<Vec<Deployment>, SettingsError> {
    let config: Value =
        serde_json::from_str(include_str!("../../../../examples/config.json")).map_err(|error| {
            SettingsError { path: "examples/config.json".to_string(), message: error.to_string() }
        })?;
    let read = |changes: Value| {
        decode(merge(&config["settings"], &changes).to_string().as_bytes()).map(|decoded| decoded.settings)
    };
    let grade = |aim: u32, stretch: u32, deadline: u32| {
        let (effect, worth) = ("read_like", 1);
        json!({"objective": aim, "aim-stretch": stretch, "deadline": deadline,
            "effect": effect, "worth": worth})
    };
    let ferry = json!({
        "allowed": {"max-attempts": 3, "parallel-tries": true, "max-retry-after": 300},
        "grades": [grade(150, 2, 450)],
        "family-info": {"flow-kb-per-s": 3000, "max-age": [9000], "grace-for": [15000], "pass-on": [false],
            "old-copy-worth": [0.6], "class-parts": [false], "parent-floor": 0.07, "parent-warms-in": 20000,
            "parent-fall-multiple": 2, "notice-time": 500},
        "rules": {"fall": 2500, "fall-multiple": 3, "start-capacity": 0.2, "cold": 15000}});
    let orchard = json!({
        "allowed": {"max-attempts": 4, "may-cancel": false, "probes": false, "retry-after": false},
        "grades": [grade(1200, 2, 20000), grade(200, 1, 600), grade(400, 2, 2500)],
        "dcs": ["hub", "shop", "other"], "weight-source": "off",
        "family-info": {"flow-kb-per-s": 0, "max-age": [0, 0, 0], "grace-for": [0, 0, 0],
            "pass-on": [false, false, false], "peers-fill": "off", "tells": "hit",
            "parent-floor": 0.07, "parent-warms-in": 20000, "parent-fall-multiple": 2},
        "rules": {"fall": 2000, "fall-multiple": 3.5, "start-capacity": 0.2, "cold": 14000}});
    let short = json!({"family-info": {"max-age": [2000, 2000, 0], "grace-for": [4000, 4000, 0]}});
    let read_class = |class, share, work| ReadClass { class, share, work };
    Ok(vec![
        Deployment {
            name: "example",
            settings: read(json!({}))?,
            locations: 1,
            routers_by_zone_known: true,
            caches: vec![8.0; 4],
            parents: vec![5.0; 3],
            read_classes: vec![read_class(0, 0.3, 400.0), read_class(1, 0.7, 50.0)],
            objects: 3_000,
            sizes_known: true,
        },
        Deployment {
            name: "ferry-boards",
            settings: read(ferry)?,
            locations: 1,
            routers_by_zone_known: false,
            caches: vec![2.0, 2.5, 3.0],
            parents: vec![1.5; 3],
            read_classes: vec![read_class(0, 1.0, 35.0)],
            objects: 3_000,
            sizes_known: true,
        },
        Deployment {
            name: "orchard-charts",
            settings: read(orchard)?,
            locations: 2,
            routers_by_zone_known: true,
            caches: vec![3.0, 5.0, 7.0],
            parents: vec![4.0; 3],
            read_classes: vec![
                read_class(0, 0.2, 550.0),
                read_class(1, 0.5, 27.0),
                read_class(2, 0.3, 100.0),
            ],
            objects: 3_000,
            sizes_known: false,
        },
        Deployment {
            name: "short-lived copies",
            settings: read(short)?,
            locations: 1,
            routers_by_zone_known: true,
            caches: vec![8.0; 3],
            parents: vec![6.0; 3],
            read_classes: vec![read_class(0, 0.3, 400.0), read_class(1, 0.7, 100.0)],
            objects: 1_500,
            sizes_known: true,
        },
        Deployment {
            name: "large objects",
            settings: read(json!({"weight-source": "nominal"}))?,
            locations: 1,
            routers_by_zone_known: true,
            caches: vec![4.0; 6],
            parents: vec![5.0; 3],
            read_classes: vec![read_class(0, 0.8, 1_400.0), read_class(1, 0.2, 400.0)],
            objects: 3_000,
            sizes_known: true,
        },
    ])
}

impl Deployment {
    /// The mean transfer time of a response.
    pub fn work(&self) -> Ms {
        let shares: f64 = self.read_classes.iter().map(|read_class| read_class.share).sum();
        self.read_classes.iter().map(|read_class| read_class.share * read_class.work).sum::<f64>() / shares
    }

    pub(super) fn settings(&self, routers: usize, router: usize) -> Settings {
        let mut settings = self.settings.clone();
        settings.routers = routers as u32;
        settings.zone = self.zone(router);
        let routers_in_zone = |zone: u16| (0..routers).filter(|n| self.zone(*n) == zone).count() as u32;
        let zones = 0..=self.locations as u16;
        settings.routers_by_zone =
            if self.routers_by_zone_known { zones.map(routers_in_zone).collect() } else { Vec::new() };
        settings
    }

    /// The zone of a router; parents and the origin are in zone 0.
    pub(super) fn zone(&self, router: usize) -> u16 {
        (1 + router % self.locations) as u16
    }
}
