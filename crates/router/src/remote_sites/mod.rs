//! The router as a gateway between sites; nothing here is used without a `gateway()` in the operator file.
//!
//! - [`links`]: the connections to gateways of other sites;
//! - [`requests`]: requests that cross sites, and their answers, in the terms of the gateway and of the router;
//! - [`serving`]: open requests, and the site that decides about them;
//! - [`commands`]: requests of the control socket;
//! - [`RemoteSites`]: the gateway with its links, and the endpoint list as this site publishes it.
//!
//! The gateway chooses sites. What other sites report never makes an endpoint usable that the own list has draining.

mod commands;
mod links;
mod requests;
mod serving;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};

use calloop::{LoopHandle, Readiness};
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{
    Action as GatewayAction, ConnectionId, Gateway, GatewaySetup, RemoteRequest, Reply, FIRST_REMOTE_TICKET,
};
use linnethook_gateway::routing::SiteId;
use linnethook_gateway::site_state::{Fact, FactKey, FactValue};
use linnethook_operator_config::config::GatewaySection;

use crate::clock::Clock;
use crate::config::Limits;
use crate::discovery::event::{EndpointEntry, EndpointUpdate, PurgeEvent};
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{Ms, Ticket};
use crate::upstream::RequestMessage;

use links::SiteLinks;

pub use commands::respond;
pub use requests::{answer_of, parse_remote_request, reply_of, CrossSiteRequest};

/// Whether a request came from another site.
pub fn is_remote(ticket: Ticket) -> bool {
    ticket >= FIRST_REMOTE_TICKET
}

/// What the gateway asks of the router.
#[derive(Debug)]
pub enum SiteEffect {
    /// A request is to be decided at this site.
    Decide(Ticket),
    /// The final answer to a request that went to another site.
    Answer(Ticket, Reply),
    /// A request from another site.
    Serve(RemoteRequest),
    /// Another site has cancelled its request.
    Cancel(Ticket),
    /// Another site has announced a drain or its end.
    EndpointChanged(String),
    /// Another site has announced a purge.
    Purge(PurgeEvent),
    /// The link to another router came up, or went down.
    PeerLink { name: String, start: u64, up: bool },
    /// Another router has gossiped an entry.
    PeerEntry { name: String, key: Vec<u8>, entry: Vec<u8> },
}

/// A line of the own endpoint list.
struct ListedEndpoint {
    entry: EndpointEntry,
    /// Whether the endpoint is at this site.
    at_this_site: bool,
}

/// The gateway with its links.
pub struct RemoteSites<W: EventHandler> {
    pub gateway: Gateway,
    links: SiteLinks<W>,
    /// Addresses to connect to, by the gateway's number for each.
    addresses: Vec<SocketAddr>,
    /// The sites that are home to some classes.
    classes: HashMap<String, SiteId>,
    /// The endpoints of the own list, by name.
    endpoints: BTreeMap<String, ListedEndpoint>,
    /// The share of requests rejected here, smoothed.
    rejected_ratio: f64,
}

/// Weight of one request in the smoothed share of rejected requests.
const REJECTED_WEIGHT: f64 = 0.02;
/// What the share of rejected requests counts for in the load that other sites are told.
const REJECTED_LOAD_FACTOR: f64 = 3.0;

impl<W: EventHandler> RemoteSites<W> {
    /// Listens for links where the operator file says so; connects are started by the gateway.
    ///
    /// # Errors
    ///
    /// An address that can't be listened at.
    pub fn new(
        now: Ms,
        node: &str,
        seed: u64,
        settings: &GatewaySection,
        limits: Limits,
        handle: LoopHandle<'static, W>,
    ) -> io::Result<Self> {
        let mut links = SiteLinks::new(limits, handle);
        let mut dials = Vec::new();
        for link in &settings.links {
            dials.extend((0..link.connections).map(|_| (link.to.clone(), link.connect)));
        }
        let setup = GatewaySetup {
            site: settings.site.clone(),
            other_sites: settings.sites.iter().map(|site| site.name.clone()).collect(),
            node: node.to_string(),
            // Greater with each start: a start takes longer than a microsecond.
            epoch: (now * 1_000.0) as u64,
            seed,
            dial_sites: dials.iter().map(|(site, _)| site.clone()).collect(),
            accepts_cluster_peers: settings.cluster.is_some(),
            config: settings.parameters,
        };
        if let Some(address) = settings.listen {
            let address = links.listen(address)?;
            log_line!("gateway of {}: links come in at {address}", settings.site);
        }
        let gateway = Gateway::new(now, setup);
        let classes = settings.sites.iter().flat_map(|site| {
            let number = gateway.site_id(&site.name);
            site.classes.iter().filter_map(move |class| Some((class.clone(), number?)))
        });
        let classes = classes.collect();
        let addresses = dials.into_iter().map(|(_, address)| address).collect();
        let endpoints = BTreeMap::new();
        Ok(Self { gateway, links, addresses, classes, endpoints, rejected_ratio: 0.0 })
    }

    /// Whether requests can go to other sites.
    pub fn forwards_requests(&self) -> bool {
        self.gateway.forwards_requests()
    }

    /// What the gateway needs to forward a request.
    pub fn forward_spec(&self, request: &CrossSiteRequest, message: &RequestMessage) -> ForwardRequest {
        let home = self.classes.get(&request.spec.class).copied();
        requests::forward_spec(request, message, home)
    }

    /// The next thing that the router is to do. What concerns links only is done here.
    pub fn next_effect(&mut self, clock: &Clock) -> Option<SiteEffect> {
        loop {
            let now = clock.now();
            match self.gateway.next_action()? {
                GatewayAction::Dial(n) => {
                    if let Some(address) = self.addresses.get(n).copied() {
                        self.links.dial(now, n, address, &mut self.gateway);
                    }
                }
                GatewayAction::Close(conn, _) => self.links.close(conn),
                GatewayAction::Write(conn) => self.links.write(now, conn, &mut self.gateway),
                GatewayAction::ServeLocally(ticket) => return Some(SiteEffect::Decide(ticket)),
                GatewayAction::Answer(ticket, reply) => return Some(SiteEffect::Answer(ticket, reply)),
                GatewayAction::ServeRemote(request) => return Some(SiteEffect::Serve(request)),
                GatewayAction::CancelServe(ticket) => return Some(SiteEffect::Cancel(ticket)),
                GatewayAction::RemoteFact(fact) => {
                    if let Some(effect) = announcement(fact) {
                        return Some(effect);
                    }
                }
                GatewayAction::PeerLink { name, start, up } => {
                    return Some(SiteEffect::PeerLink { name, start, up });
                }
                GatewayAction::PeerEntry { name, key, entry } => {
                    return Some(SiteEffect::PeerEntry { name, key, entry });
                }
                GatewayAction::Log(line) => log_line!("{line}"),
            }
        }
    }

    // ---- Links.

    /// Accepts links; false where no more can be accepted for now.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener) -> bool {
        self.links.accept(now, listener, &mut self.gateway)
    }

    /// Continues after a link became ready.
    pub fn on_link_ready(&mut self, now: Ms, conn: ConnectionId, readiness: Readiness) {
        self.links.ready(now, conn, readiness, &mut self.gateway);
    }

    /// Whether a link can be read without waiting for an event.
    pub fn has_readable_links(&self) -> bool {
        self.links.has_paused()
    }

    /// When [`Self::on_timer`] is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let connects = self.links.next_deadline().unwrap_or(f64::INFINITY);
        self.gateway.next_deadline(now).min(connects)
    }

    /// Does what is due; `open_ratio` is the share of the open requests that there may be.
    pub fn on_timer(&mut self, now: Ms, open_ratio: f64) {
        self.links.on_timer(now, &mut self.gateway);
        self.links.read_paused(now, &mut self.gateway);
        if self.gateway.next_deadline(now) <= now {
            self.report_load(now, open_ratio);
            self.gateway.on_timer(now);
        }
    }

    /// Counters of links, as they are printed.
    pub fn counters(&self) -> String {
        let SiteLinks { accepted, bytes_in, bytes_out, .. } = &self.links;
        let count = self.links.len();
        format!("links={count} links_accepted={accepted} link_bytes_in={bytes_in} link_bytes_out={bytes_out}")
    }

    // ---- The endpoint list.

    /// Announces an update of the own list to other sites, and marks endpoints as draining that these have announced as
    /// drained.
    pub fn on_endpoint_update(
        &mut self,
        now: Ms,
        update: &mut EndpointUpdate,
        is_at_this_site: impl Fn(&EndpointEntry) -> bool,
    ) {
        if update.is_complete {
            self.remove_unlisted(now, &update.entries);
        }
        for entry in &mut update.entries {
            let name = entry.uid.clone();
            let about = FactKey::Cache(name.clone());
            let known = self.endpoints.contains_key(&name);
            if entry.is_removed() {
                self.endpoints.remove(&name);
                self.gateway.publish_fact(now, about, FactValue::CacheRemoved);
                continue;
            }
            let listed = ListedEndpoint { entry: entry.clone(), at_this_site: is_at_this_site(entry) };
            let before = self.endpoints.insert(name.clone(), listed);
            let was_ready = before.is_none_or(|before| before.entry.is_ready());
            if !entry.is_ready() {
                self.gateway.publish_fact(now, about, FactValue::Cache { ready: false });
            } else if known && !was_ready {
                self.gateway.publish_fact(now, about, FactValue::Cache { ready: true });
            }
            if entry.is_ready() && self.gateway.is_cache_unavailable(&name) {
                entry.mark_draining();
            }
        }
        self.report_load(now, 0.0);
    }

    fn remove_unlisted(&mut self, now: Ms, targets: &[EndpointEntry]) {
        let listed: Vec<&str> = targets.iter().map(|entry| entry.uid.as_str()).collect();
        let names = self.endpoints.keys().filter(|name| !listed.contains(&name.as_str()));
        let removed: Vec<String> = names.cloned().collect();
        for name in removed {
            self.endpoints.remove(&name);
            self.gateway.publish_fact(now, FactKey::Cache(name), FactValue::CacheRemoved);
        }
    }

    /// The line of an endpoint of the own list with what other sites have announced of it.
    pub fn current_entry(&self, name: &str) -> Option<EndpointUpdate> {
        let mut entry = self.endpoints.get(name)?.entry.clone();
        if entry.is_ready() && self.gateway.is_cache_unavailable(name) {
            entry.mark_draining();
        }
        Some(EndpointUpdate { is_complete: false, entries: vec![entry] })
    }

    /// Announces a purge of the own journal.
    pub fn announce_purge(&mut self, now: Ms, purge: &PurgeEvent) {
        let about = match &purge.object {
            Some(name) => FactKey::Object(name.clone()),
            None => FactKey::Group(purge.group),
        };
        self.gateway.publish_fact(now, about, FactValue::Purged { stamp: purge.issued_at });
    }

    // ---- Load.

    /// Reports to the gateway how many endpoints are usable here, and the site's load: the share of the open requests that
    /// there may be, or that of rejected requests.
    pub fn report_load(&mut self, now: Ms, open_ratio: f64) {
        let is_usable = |(name, listed): &(&String, &ListedEndpoint)| {
            listed.at_this_site && listed.entry.is_ready() && !self.gateway.is_cache_unavailable(name)
        };
        let usable = self.endpoints.iter().filter(is_usable).count() as u32;
        let load = open_ratio.max(self.rejected_ratio * REJECTED_LOAD_FACTOR).min(1.0);
        self.gateway.report_local_load(now, usable, load);
    }

    /// Records how a request ended that was decided here.
    pub fn record_outcome(&mut self, now: Ms, request: &CrossSiteRequest, outcome: LocalOutcome) {
        let rejected = f64::from(u8::from(outcome.rejected));
        self.rejected_ratio += (rejected - self.rejected_ratio) * REJECTED_WEIGHT;
        // The outcomes of other sites' requests are judged there.
        if !outcome.remote {
            self.gateway.record_local_outcome(now, request.need(), outcome.failed);
        }
    }
}

/// How a request ended that was decided at this site.
#[derive(Debug, Clone, Copy)]
pub struct LocalOutcome {
    /// It came from another site.
    pub remote: bool,
    pub rejected: bool,
    /// It was not served.
    pub failed: bool,
}

/// What another site has announced, where that concerns the router.
fn announcement(fact: Fact) -> Option<SiteEffect> {
    let purge = |object, group, issued_at| SiteEffect::Purge(PurgeEvent { object, group, issued_at });
    match (fact.key, fact.value) {
        (FactKey::Cache(name), FactValue::Cache { .. } | FactValue::CacheRemoved) => {
            Some(SiteEffect::EndpointChanged(name))
        }
        (FactKey::Object(name), FactValue::Purged { stamp }) => Some(purge(Some(name), 0, stamp)),
        (FactKey::Group(group), FactValue::Purged { stamp }) => Some(purge(None, group, stamp)),
        _ => None,
    }
}
