//! The router as a gateway between sites. This module is used only if the operator file has a `gateway()`.
//!
//! - [`links`]: the connections to gateways of other sites;
//! - [`requests`]: conversion of requests and answers between the types of the gateway and of the router;
//! - [`serving`]: the choice of a site for open requests, and the replies to other sites;
//! - [`commands`]: requests of the control socket;
//! - [`RemoteSites`]: the gateway with its links, and the endpoint list that this site publishes.
//!
//! The gateway chooses sites. Reports of other sites never make an endpoint usable that is draining in the
//! local endpoint list.

mod commands;
mod links;
mod requests;
mod serving;

use std::collections::{BTreeMap, HashMap};
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
use crate::start_error::StartError;
use crate::turn::ReadyQueue;
use crate::upstream::RequestMessage;

use links::SiteLinks;

pub use commands::respond;
pub use requests::{answer_of, parse_remote_request, reply_of, CrossSiteRequest};

/// Whether a request came from another site.
pub fn is_remote(ticket: Ticket) -> bool {
    ticket >= FIRST_REMOTE_TICKET
}

/// What the gateway requires the router to do.
#[derive(Debug)]
pub enum SiteEffect {
    /// Let the policy of this site decide about a request.
    Decide(Ticket),
    /// Give a request that was submitted to the gateway its final answer.
    Answer(Ticket, Reply),
    /// Serve a request from another site.
    Serve(RemoteRequest),
    /// Cancel a request that another site has cancelled.
    Cancel(Ticket),
    /// Begin no attempt for a request of another site whose connection was lost, until its sender is heard again.
    Suspend(Ticket),
    /// Begin no further attempt for such a request: its sender was not heard in time.
    StopRetries(Ticket),
    /// Another site has published that an endpoint is draining, ready again or removed.
    EndpointChanged(String),
    /// Another site has published a purge.
    Purge(PurgeEvent),
    /// The link to another router of this site is up or down.
    PeerLink { name: String, start: u64, up: bool },
    /// Another router of this site has sent a gossip entry.
    PeerEntry { name: String, key: Vec<u8>, entry: Vec<u8> },
}

/// An entry of the local endpoint list.
struct ListedEndpoint {
    entry: EndpointEntry,
    /// Whether the endpoint is at this site.
    at_this_site: bool,
}

/// The gateway with its links.
pub struct RemoteSites<W: EventHandler> {
    pub gateway: Gateway,
    links: SiteLinks<W>,
    /// The addresses to dial, by dialer index of the gateway.
    addresses: Vec<SocketAddr>,
    /// The sites that request classes are bound to, by class.
    home_sites: HashMap<String, SiteId>,
    /// The entries of the local endpoint list, by name.
    endpoints: BTreeMap<String, ListedEndpoint>,
    /// The smoothed ratio of requests that were rejected here.
    rejected_ratio: f64,
}

/// Weight of one request in the smoothed ratio of rejected requests.
const REJECTED_WEIGHT: f64 = 0.02;
/// Factor of the ratio of rejected requests in the load that is reported to other sites.
const REJECTED_LOAD_FACTOR: f64 = 3.0;

impl<W: EventHandler> RemoteSites<W> {
    /// Creates the gateway and listens for links if the operator file has a `listen` address. Outgoing
    /// connections are requested by the gateway.
    ///
    /// # Errors
    ///
    /// [`StartError::Listen`] if the system can't listen on the address.
    pub fn new(
        now: Ms,
        node: &str,
        seed: u64,
        settings: &GatewaySection,
        limits: Limits,
        ready: &ReadyQueue,
        handle: LoopHandle<'static, W>,
    ) -> Result<Self, StartError> {
        let mut links = SiteLinks::new(limits, ready, handle);
        let mut dial_targets = Vec::new();
        for link in &settings.links {
            dial_targets.extend((0..link.connections).map(|_| (link.to.clone(), link.connect)));
        }
        let setup = GatewaySetup {
            site: settings.site.clone(),
            other_sites: settings.sites.iter().map(|site| site.name.clone()).collect(),
            node: node.to_string(),
            // Greater with each start, since a start takes longer than a microsecond.
            epoch: (now * 1_000.0) as u64,
            seed,
            dial_sites: dial_targets.iter().map(|(site, _)| site.clone()).collect(),
            accepts_cluster_peers: settings.cluster.is_some(),
            config: settings.parameters,
        };
        if let Some(address) = settings.listen {
            let setting = "`listen` of gateway() in the operator file";
            let address =
                links.listen(address).map_err(|source| StartError::Listen { setting, address, source })?;
            log_line!("gateway of {}: listening for links at {address}", settings.site);
        }
        let gateway = Gateway::new(now, setup);
        let home_sites = settings.sites.iter().flat_map(|site| {
            let id = gateway.site_id(&site.name);
            site.classes.iter().filter_map(move |class| Some((class.clone(), id?)))
        });
        let home_sites = home_sites.collect();
        let addresses = dial_targets.into_iter().map(|(_, address)| address).collect();
        let endpoints = BTreeMap::new();
        Ok(Self { gateway, links, addresses, home_sites, endpoints, rejected_ratio: 0.0 })
    }

    /// Whether there are other sites to forward requests to.
    pub fn forwards_requests(&self) -> bool {
        self.gateway.forwards_requests()
    }

    /// Converts a request to the form that the gateway forwards.
    pub fn forward_spec(&self, request: &CrossSiteRequest, message: &RequestMessage) -> ForwardRequest {
        let home = self.home_sites.get(&request.spec.class).copied();
        requests::forward_spec(request, message, home)
    }

    /// Takes the next effect that the router has to carry out. Actions that concern only links are carried
    /// out here.
    pub fn next_effect(&mut self, clock: &Clock) -> Option<SiteEffect> {
        loop {
            let now = clock.now();
            match self.gateway.next_action()? {
                GatewayAction::Dial(dialer) => {
                    if let Some(address) = self.addresses.get(dialer).copied() {
                        self.links.dial(now, dialer, address, &mut self.gateway);
                    }
                }
                GatewayAction::Close(conn, _) => self.links.close(conn),
                GatewayAction::Write(conn) => self.links.write(now, conn, &mut self.gateway),
                GatewayAction::ServeLocally(ticket) => return Some(SiteEffect::Decide(ticket)),
                GatewayAction::Answer(ticket, reply) => return Some(SiteEffect::Answer(ticket, reply)),
                GatewayAction::ServeRemote(request) => return Some(SiteEffect::Serve(request)),
                GatewayAction::CancelServe(ticket) => return Some(SiteEffect::Cancel(ticket)),
                GatewayAction::SuspendServe(ticket) => return Some(SiteEffect::Suspend(ticket)),
                GatewayAction::StopRetries(ticket) => return Some(SiteEffect::StopRetries(ticket)),
                GatewayAction::RemoteFact(fact) => {
                    if let Some(effect) = effect_of_fact(fact) {
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

    /// Accepts links. Returns false if no more can be accepted for now.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener) -> bool {
        self.links.accept(now, listener, &mut self.gateway)
    }

    /// Marks a link as ready.
    pub fn mark_link_ready(&mut self, conn: ConnectionId, readiness: Readiness) {
        self.links.mark_ready(conn, readiness);
    }

    /// Marks all links as ready, whether or not they were reported.
    pub fn mark_all_links_ready(&mut self) {
        self.links.mark_all_ready();
    }

    /// Reads or writes a link that is ready.
    pub fn serve_link(&mut self, now: Ms, conn: ConnectionId, readiness: Readiness) {
        self.links.serve(now, conn, readiness, &mut self.gateway);
    }

    /// When [`Self::on_timer`] is due.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let connects = self.links.next_deadline().unwrap_or(f64::INFINITY);
        self.gateway.next_deadline(now).min(connects)
    }

    /// Runs timers that are due. `open_ratio` is the number of open requests divided by its limit.
    pub fn on_timer(&mut self, now: Ms, open_ratio: f64) {
        self.links.on_timer(now, &mut self.gateway);
        if self.gateway.next_deadline(now) <= now {
            self.report_load(now, open_ratio);
            self.gateway.on_timer(now);
        }
    }

    /// The counters of links in the form in which they are logged.
    pub fn counters(&self) -> String {
        let SiteLinks { accepted, bytes_in, bytes_out, .. } = &self.links;
        let count = self.links.len();
        format!("links={count} links_accepted={accepted} link_bytes_in={bytes_in} link_bytes_out={bytes_out}")
    }

    // ---- The endpoint list.

    /// Publishes an update of the local endpoint list to other sites. Endpoints in the update that another
    /// site has published as unavailable are marked as draining.
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
            let key = FactKey::Cache(name.clone());
            let is_known = self.endpoints.contains_key(&name);
            if entry.is_removed() {
                self.endpoints.remove(&name);
                self.gateway.publish_fact(now, key, FactValue::CacheRemoved);
                continue;
            }
            let listed = ListedEndpoint { entry: entry.clone(), at_this_site: is_at_this_site(entry) };
            let previous = self.endpoints.insert(name.clone(), listed);
            let was_ready = previous.is_none_or(|previous| previous.entry.is_ready());
            if !entry.is_ready() {
                self.gateway.publish_fact(now, key, FactValue::Cache { ready: false });
            } else if is_known && !was_ready {
                self.gateway.publish_fact(now, key, FactValue::Cache { ready: true });
            }
            if entry.is_ready() && self.gateway.is_cache_unavailable(&name) {
                entry.mark_draining();
            }
        }
        self.report_load(now, 0.0);
    }

    fn remove_unlisted(&mut self, now: Ms, entries: &[EndpointEntry]) {
        let listed: Vec<&str> = entries.iter().map(|entry| entry.uid.as_str()).collect();
        let names = self.endpoints.keys().filter(|name| !listed.contains(&name.as_str()));
        let removed: Vec<String> = names.cloned().collect();
        for name in removed {
            self.endpoints.remove(&name);
            self.gateway.publish_fact(now, FactKey::Cache(name), FactValue::CacheRemoved);
        }
    }

    /// The entry of an endpoint in the local list, marked as draining if another site has published it as
    /// unavailable.
    pub fn current_entry(&self, name: &str) -> Option<EndpointUpdate> {
        let mut entry = self.endpoints.get(name)?.entry.clone();
        if entry.is_ready() && self.gateway.is_cache_unavailable(name) {
            entry.mark_draining();
        }
        Some(EndpointUpdate { is_complete: false, entries: vec![entry] })
    }

    /// Publishes a purge from the local journal to other sites.
    pub fn publish_purge(&mut self, now: Ms, purge: &PurgeEvent) {
        let key = match &purge.object {
            Some(name) => FactKey::Object(name.clone()),
            None => FactKey::Group(purge.group),
        };
        self.gateway.publish_fact(now, key, FactValue::Purged { stamp: purge.issued_at });
    }

    // ---- Load.

    /// Reports the number of usable endpoints and the load of this site to the gateway. The load is the
    /// larger of `open_ratio`, the number of open requests divided by its limit, and the scaled ratio of
    /// rejected requests.
    pub fn report_load(&mut self, now: Ms, open_ratio: f64) {
        let is_usable = |(name, listed): &(&String, &ListedEndpoint)| {
            listed.at_this_site && listed.entry.is_ready() && !self.gateway.is_cache_unavailable(name)
        };
        let usable = self.endpoints.iter().filter(is_usable).count() as u32;
        let load = open_ratio.max(self.rejected_ratio * REJECTED_LOAD_FACTOR).min(1.0);
        self.gateway.report_local_load(now, usable, load);
    }

    /// Records the outcome of a request that was decided at this site.
    pub fn record_outcome(&mut self, now: Ms, request: &CrossSiteRequest, outcome: LocalOutcome) {
        let rejected = f64::from(u8::from(outcome.rejected));
        self.rejected_ratio += (rejected - self.rejected_ratio) * REJECTED_WEIGHT;
        // The outcome of another site's request is recorded at that site.
        if !outcome.remote {
            self.gateway.record_local_outcome(now, request.kind(), outcome.failed);
        }
    }
}

/// The outcome of a request that was decided at this site.
#[derive(Debug, Clone, Copy)]
pub struct LocalOutcome {
    /// Whether the request came from another site.
    pub remote: bool,
    /// Whether the request was rejected.
    pub rejected: bool,
    /// Whether the request was not served.
    pub failed: bool,
}

/// The effect of a fact from another site; `None` if it does not concern the router.
fn effect_of_fact(fact: Fact) -> Option<SiteEffect> {
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
