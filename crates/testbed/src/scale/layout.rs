//! The layout of a run: addresses, processes, links between routers, and the files that routers start from.
//!
//! Each router has a loopback address of its own for the entire run, so that the others reach it there again
//! after a restart. Links that are measured, or that a fault affects, go through a proxy; all others are
//! direct.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use super::{Failure, Fault, Form, Plan};
use crate::fault_proxy::{FaultProxy, ProxyEnds};
use crate::recording::Recording;

/// Port for links; both ports are below those that the system assigns.
const LINKS: u16 = 7_400;
/// Port of the discovery service's address for each router.
const JOURNAL: u16 = 7_401;
/// Number of links between the two sides of a cut.
const BRIDGES: usize = 8;
/// Routers of a site, where routers have locations; the planned average is 22.
pub const ROUTERS_PER_SITE: usize = 20;
/// Sites of a zone, and zones of a region; the planned averages are 4.8 and 4.
pub const PARTS_PER_LEVEL: usize = 4;
/// Caches in the endpoint list; without clients they get no requests.
const CACHES: usize = 8;

/// Addresses, processes, links and files of all routers of a run.
pub struct Layout {
    pub folder: PathBuf,
    site: String,
    /// The second octet of all addresses of this run.
    net: u8,
    with_locations: bool,
    pub forms: Vec<Form>,
    /// The routers of each process.
    pub processes: Vec<Vec<usize>>,
    /// Links as pairs of routers, the dialer first.
    pub dials: BTreeSet<(usize, usize)>,
    /// Proxies of those links that have one.
    pub proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// Routers whose links all have proxies.
    pub watched: Vec<usize>,
    /// The smaller side of a cut, or the routers that a fault affects at once.
    pub isolated: Vec<usize>,
}

pub fn name(n: usize) -> String {
    format!("r{n}")
}

impl Drop for Layout {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Layout {
    pub fn new(plan: &Plan) -> Result<Self, Failure> {
        let all = plan.real + plan.hollow;
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
        let forms: Vec<Form> =
            (0..all).map(|n| if n < plan.real { Form::Real } else { Form::Hollow }).collect();
        let mut processes: Vec<Vec<usize>> = (0..plan.real).map(|n| vec![n]).collect();
        let hollow: Vec<usize> = (plan.real..all).collect();
        processes.extend(hollow.chunks(plan.hollow_per_process.max(1)).map(<[usize]>::to_vec));
        let isolated: Vec<usize> = match plan.fault {
            Some(Fault::Rack | Fault::ZoneStart | Fault::ZoneCut) => {
                processes.last().cloned().unwrap_or_default()
            }
            Some(Fault::RegionsApart) => (0..all).filter(|n| n % 2 == 1).collect(),
            Some(Fault::SlowMember) => vec![0],
            _ => Vec::new(),
        };
        let cut = matches!(plan.fault, Some(Fault::ZoneCut | Fault::RegionsApart));
        let dials = match plan.places {
            true => {
                links_by_location(&mut random, all).into_iter().enumerate().flat_map(links_upwards).collect()
            }
            false => dials(all, plan.dials, if cut { &isolated } else { &[] }, &mut random),
        };
        let first = |form| forms.iter().position(|f| *f == form);
        let watched: Vec<usize> = [Form::Real, Form::Hollow].into_iter().filter_map(first).collect();
        // Concurrent runs must not share addresses, sites or folders.
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let run = std::process::id().wrapping_mul(8) + COUNT.fetch_add(1, Ordering::Relaxed);
        let (net, site) = (16 + (run % 200) as u8, format!("scale-{run}"));
        // The path is short because the address of a Unix socket has a length limit.
        let folder = std::env::temp_dir().join(format!("lhs-{run}"));
        std::fs::create_dir_all(&folder)?;
        let mut layout = Self {
            folder,
            site,
            net,
            with_locations: plan.places,
            forms,
            processes,
            dials,
            proxies: BTreeMap::new(),
            watched,
            isolated,
        };
        let record = Recording::default();
        for (from, to) in layout.dials.clone() {
            let seen = [from, to].iter().any(|n| layout.watched.contains(n));
            if seen || (cut && layout.crosses(from, to)) {
                let proxy =
                    FaultProxy::start(ProxyEnds { sites: [name(from), name(to)], record: record.clone() })?;
                proxy.set_target(layout.address(to));
                layout.proxies.insert((from, to), proxy);
            }
        }
        Ok(layout)
    }

    /// Whether two routers are on different sides of a cut.
    pub fn crosses(&self, from: usize, to: usize) -> bool {
        self.isolated.contains(&from) != self.isolated.contains(&to)
    }

    fn address_at(&self, n: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net, (n / 250) as u8, (n % 250 + 1) as u8);
        (ip, port).into()
    }

    /// Address of a router for links.
    pub fn address(&self, n: usize) -> SocketAddr {
        self.address_at(n, LINKS)
    }

    /// Addresses of the discovery service, one for each router.
    pub fn journals(&self) -> Vec<SocketAddr> {
        (0..self.forms.len()).map(|n| self.address_at(n, JOURNAL)).collect()
    }

    pub fn config(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{}.json", name(n)))
    }

    pub fn socket(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{}.sock", name(n)))
    }

    /// Writes the operator file of a router. The files differ only in locations, and in the addresses where
    /// routers listen and connect.
    pub fn write_operator(&self, n: usize) -> Result<(), Failure> {
        let cluster_settings = match self.with_locations {
            true => format!("place = \"{}\"", site_location(n / ROUTERS_PER_SITE)),
            false => String::new(),
        };
        let mut text = format!(
            "control(path = \"{}\")\nhierarchy(extended = True)\n\
             node(\"origin\", role = \"origin\", site = \"hub\", capacity = 20)\n\
             for hub in [\"south\", \"centre\"]:\n    \
             node(hub, role = \"parent\", site = hub, capacity = 30, sources = [\"origin\"])\n\
             for n in range({CACHES}):\n    \
             node(\"cache-%d\" % n, site = \"shop\", capacity = 8, sources = [(\"south\", 0), (\"origin\", 9)])\n\
             gateway(site = \"{}\", listen = \"{}\")\nfellows({cluster_settings})\naudit()\n",
            self.socket(n).display(),
            self.site,
            self.address(n)
        );
        for (_, to) in self.dials.iter().filter(|(from, _)| *from == n) {
            let to = self.proxies.get(&(n, *to)).map_or(self.address(*to), |proxy| proxy.address);
            text += &format!("link(\"{}\", connect = \"{to}\", connections = 1)\n", self.site);
        }
        std::fs::write(self.config(n).with_extension("star"), text)?;
        Ok(())
    }

    /// Writes the configuration of a router, with the events that it starts with.
    pub fn write_config(&self, n: usize, known: &str) -> Result<(), Failure> {
        let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        config["name"] = json!(name(n));
        config["listen"] = json!("127.0.0.1:0");
        config["journal"] = json!(self.address_at(n, JOURNAL).to_string());
        config["seed"] = json!(format!("{n:016x}"));
        config["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": 512});
        config["known"] = serde_json::from_str(known)?;
        std::fs::write(self.config(n), config.to_string())?;
        Ok(())
    }

    /// Writes a file with a change that makes a cache fill from one parent or the other, alternately by
    /// `number`.
    pub fn write_changes(&self, number: usize) -> Result<PathBuf, Failure> {
        let path = self.folder.join("changes.star");
        let cache = number % CACHES;
        let hub = if (number / CACHES).is_multiple_of(2) { "centre" } else { "south" };
        let text = format!("rerank(\"cache-{cache}\", sources = [(\"{hub}\", 0), (\"origin\", 9)])\n");
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// The endpoint list in the configurations of all routers.
pub fn list() -> Value {
    let line = |uid: &str, az: &str, model: &str, capacity: f64| {
        json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": az, "model": model, "pod_group": 0,
            "state": "Ready", "capacity_hint": capacity, "boot_ms": 0})
    };
    let mut targets = vec![line("origin", "hub", "store", 20.0)];
    targets.extend(["south", "centre"].map(|hub| line(hub, "hub", "hub-box", 30.0)));
    targets.extend((0..CACHES).map(|n| line(&format!("cache-{n}"), "shop", "box", 8.0)));
    json!({"hosts": {"rev": 1, "all": true, "targets": targets}})
}

/// Adds a link between two different routers, in both directions.
pub fn add_link(links: &mut [BTreeSet<usize>], a: usize, b: usize) {
    if a != b {
        links[a].insert(b);
        links[b].insert(a);
    }
}

/// The location of a site, by its number.
pub fn site_location(site: usize) -> String {
    let zone = site / PARTS_PER_LEVEL;
    format!("r{:02}/z{zone:03}/s{site:04}", zone / PARTS_PER_LEVEL)
}

/// Pairs with the higher-numbered ends of a router's links, so that each link is listed once.
fn links_upwards((a, others): (usize, BTreeSet<usize>)) -> impl Iterator<Item = (usize, usize)> {
    others.into_iter().filter(move |b| a < *b).map(move |b| (a, b))
}

/// The links of a fleet with locations, by router. Within a site each router is linked with the next one, and
/// every second one with the one opposite. Each site has links to the next site of its zone (two), the next
/// zone and the next region, and at each of these levels one to a random site.
pub fn links_by_location(random: &mut Pcg64Mcg, n: usize) -> Vec<BTreeSet<usize>> {
    let mut links = vec![BTreeSet::new(); n];
    let sites = n.div_ceil(ROUTERS_PER_SITE);
    let within = |site: usize, at: usize| {
        let first = site * ROUTERS_PER_SITE;
        first + at % (n - first).min(ROUTERS_PER_SITE)
    };
    for site in 0..sites {
        let size = (n - site * ROUTERS_PER_SITE).min(ROUTERS_PER_SITE);
        for at in 0..size {
            add_link(&mut links, within(site, at), within(site, at + 1));
            if at % 2 == 0 {
                add_link(&mut links, within(site, at), within(site, at + size / 2));
            }
        }
        let mut outer_links = 0;
        let mut link_to = |links: &mut Vec<BTreeSet<usize>>, other: usize| {
            outer_links += 1;
            add_link(links, within(site, outer_links), within(other, outer_links + ROUTERS_PER_SITE / 2));
        };
        for step in [1, PARTS_PER_LEVEL, PARTS_PER_LEVEL * PARTS_PER_LEVEL] {
            let (first, end) = match step {
                1 => (
                    site / PARTS_PER_LEVEL * PARTS_PER_LEVEL,
                    site / PARTS_PER_LEVEL * PARTS_PER_LEVEL + PARTS_PER_LEVEL,
                ),
                PARTS_PER_LEVEL => (site / 16 * 16, site / 16 * 16 + 16),
                _ => (0, sites),
            };
            let (first, end) = (first.min(sites), end.min(sites));
            let next = first + (site - first + step) % (end - first);
            link_to(&mut links, next);
            if step == 1 {
                link_to(&mut links, next);
            }
            link_to(&mut links, random.random_range(first..end));
        }
    }
    links
}

/// The links of a fleet without locations: each router dials the next one and random others; with a cut only
/// routers of its own side, and [`BRIDGES`] links lead across.
fn dials(all: usize, most: usize, isolated: &[usize], random: &mut Pcg64Mcg) -> BTreeSet<(usize, usize)> {
    let (inside, outside): (Vec<usize>, Vec<usize>) = (0..all).partition(|n| isolated.contains(n));
    let mut pairs = BTreeSet::new();
    let mut add =
        |from: usize, to: usize| from != to && !pairs.contains(&(to, from)) && pairs.insert((from, to));
    for side in [&inside, &outside] {
        for (at, from) in side.iter().enumerate() {
            let mut others = side.clone();
            others.shuffle(random);
            others.insert(0, side[(at + 1) % side.len()]);
            let mut left = most;
            for to in others {
                if left == 0 {
                    break;
                }
                left -= usize::from(add(*from, to));
            }
        }
    }
    if !inside.is_empty() && !outside.is_empty() {
        for _ in 0..BRIDGES {
            let pick = |side: &[usize], random: &mut Pcg64Mcg| side[random.random_range(0..side.len())];
            add(pick(&inside, random), pick(&outside, random));
        }
    }
    pairs
}
