//! The components of a router that the operator file enables.

use std::path::Path;

use calloop::LoopHandle;
use linnethook_operator_config::OperatorConfig;

use crate::buffers::BufferPool;
use crate::clock::Clock;
use crate::cluster::{ClusterAdapter, ClusterEffect};
use crate::config::{Config, Limits};
use crate::control::ControlServer;
use crate::descriptors::DescriptorReserve;
use crate::discovery::event::EndpointEntry;
use crate::event_handler::EventHandler;
use crate::hierarchy_adapter::{FillDecision, HierarchyAdapter, RequestProfile};
use crate::log::log_line;
use crate::operator_digest;
use crate::policy_adapter::{Ms, Ticket};
use crate::remote_sites::RemoteSites;
use crate::start_error::StartError;
use crate::turn::ReadyQueue;
use crate::upstream::AttemptOrder;

/// What the components are started with.
pub struct PartsSetup<'a, W: EventHandler> {
    /// The time of the start.
    pub now: Ms,
    /// The configuration of the router.
    pub config: &'a Config,
    /// The limits of the transport, with those of links.
    pub limits: Limits,
    /// The pool that buffers are taken from.
    pub buffers: &'a BufferPool,
    /// The descriptors that are reserved for essential operations.
    pub reserve: &'a DescriptorReserve,
    /// The connections that are ready.
    pub ready: &'a ReadyQueue,
    /// The event loop.
    pub handle: &'a LoopHandle<'static, W>,
}

/// The components that the operator file enables; each is `None` if the file has no section for it.
pub struct OperatorParts<W: EventHandler> {
    /// The hierarchy of caches.
    pub hierarchy: Option<HierarchyAdapter>,
    /// The control socket.
    pub control: Option<ControlServer<W>>,
    /// The links with other sites, and with the peers of the cluster.
    pub remote_sites: Option<RemoteSites<W>>,
    /// The cluster of routers. It requires `remote_sites`, whose links it shares.
    pub cluster: Option<ClusterAdapter>,
}

impl<W: EventHandler> Default for OperatorParts<W> {
    /// The components without an operator file: none.
    fn default() -> Self {
        Self { hierarchy: None, control: None, remote_sites: None, cluster: None }
    }
}

impl<W: EventHandler> OperatorParts<W> {
    /// Starts the components that the operator file enables.
    ///
    /// # Errors
    ///
    /// Invalid settings in the operator file, and system errors.
    pub fn start(setup: &PartsSetup<'_, W>, operator: &OperatorConfig) -> Result<Self, StartError> {
        let PartsSetup { now, config, limits, .. } = *setup;
        let name = &config.file.name;
        let mut parts = Self::default();
        if let Some(section) = &operator.hierarchy {
            let hierarchy = HierarchyAdapter::new(now, name, section).map_err(StartError::Hierarchy)?;
            parts.hierarchy = Some(hierarchy);
        }
        if let Some(section) = &operator.gateway {
            let handle = setup.handle.clone();
            let (seed, ready) = (config.seed, setup.ready);
            parts.remote_sites = Some(RemoteSites::new(now, name, seed, section, limits, ready, handle)?);
            if let Some(section) = &section.cluster {
                let digest = operator_digest::digest(operator);
                let cluster = ClusterAdapter::new(now, name, section, config.settings_digest(), digest);
                parts.cluster = Some(cluster);
                parts.hierarchy.iter_mut().for_each(HierarchyAdapter::enable_gossip);
            }
        }
        if let Some(path) = &operator.control_socket {
            parts.control = Some(listen_for_control(setup, path)?);
        }
        Ok(parts)
    }

    /// Applies the settings of a reloaded operator file that can change at runtime: the parameters of the
    /// cluster and the nodes of the hierarchy. Returns true if the hierarchy is enabled and has a section in
    /// the file, even if the nodes were rejected: a pending rollout may have changed the fill sources.
    pub fn reload(&mut self, now: Ms, path: &Path, operator: &OperatorConfig) -> bool {
        let has_reloaded_cluster = self.reload_cluster(path, operator);
        let has_reloaded_hierarchy = self.reload_hierarchy(now, path, operator);
        if !has_reloaded_cluster && !has_reloaded_hierarchy {
            log_line!(always "{}: reloaded; none of its settings can change at runtime", path.display());
        }
        has_reloaded_hierarchy
    }

    fn reload_cluster(&mut self, path: &Path, operator: &OperatorConfig) -> bool {
        let section = operator.gateway.as_ref().and_then(|gateway| gateway.cluster.as_ref());
        let (Some(cluster), Some(section)) = (&mut self.cluster, section) else { return false };
        cluster.reload(section, operator_digest::digest(operator));
        log_line!(always "{}: reloaded; the parameters of fellows() were applied", path.display());
        true
    }

    fn reload_hierarchy(&mut self, now: Ms, path: &Path, operator: &OperatorConfig) -> bool {
        let (Some(hierarchy), Some(section)) = (&mut self.hierarchy, &operator.hierarchy) else {
            return false;
        };
        match hierarchy.reload(now, &section.nodes) {
            Ok(changes) => {
                log_line!(always "{}: reloaded; {changes} changes of the hierarchy applied", path.display());
            }
            Err(reason) => log_line!(always "{}: the hierarchy was not changed: {reason}", path.display()),
        }
        true
    }

    // ---- Requests.

    /// Whether requests can be forwarded to other sites.
    pub fn forwards_requests(&self) -> bool {
        self.remote_sites.as_ref().is_some_and(RemoteSites::forwards_requests)
    }

    /// Decides on an attempt; returns `None` if its fill is queued.
    pub fn admit(
        &mut self,
        now: Ms,
        mut order: AttemptOrder,
        profile: RequestProfile,
    ) -> Option<FillDecision> {
        // A straggler starts no fills; it serves cached copies only.
        let may_fill = !profile.is_write && order.fill.source.is_some();
        let cluster = self.cluster.as_mut().filter(|_| may_fill);
        let excluded = cluster.and_then(|cluster| cluster.reject_as_straggler(now, profile.object));
        match (&mut self.hierarchy, excluded) {
            (Some(hierarchy), Some(retry_after)) if hierarchy.may_fill(&order) => {
                Some(hierarchy.admit_from_cache_only(now, order, profile, retry_after))
            }
            (Some(hierarchy), _) => hierarchy.admit(now, order, profile),
            (None, Some(_)) => {
                order.fill.restrict_to_cached_copies();
                Some(FillDecision::Send { order, fill_path: None })
            }
            (None, None) => Some(FillDecision::Send { order, fill_path: None }),
        }
    }

    /// Cancels the queued fills of a request, and returns their attempts.
    pub fn cancel_queued_fills(&mut self, ticket: Ticket) -> Vec<AttemptOrder> {
        let orders = self.hierarchy.as_mut().map(|hierarchy| hierarchy.cancel_request(ticket));
        orders.unwrap_or_default()
    }

    /// Removes and returns the Retry-After that the hierarchy has for a rejected request, in milliseconds.
    pub fn take_retry_after(&mut self, ticket: Ticket) -> Option<Ms> {
        self.hierarchy.as_mut().and_then(|hierarchy| hierarchy.take_retry_after(ticket))
    }

    // ---- The cluster.

    /// The next effect of the cluster that the router has to apply.
    pub fn next_cluster_effect(&mut self, clock: &Clock) -> Option<ClusterEffect> {
        let (Some(cluster), Some(remote_sites)) = (&mut self.cluster, &mut self.remote_sites) else {
            return None;
        };
        cluster.next_effect(clock, &mut remote_sites.gateway, self.hierarchy.as_mut())
    }

    /// Runs the cluster work that is due. `journal_position` is the position that this router's journal has
    /// reached, and `journal_valid_until` the time until which it is considered up to date. Returns the
    /// entries of the endpoint list that other routers' reports no longer override.
    pub fn on_cluster_timer(
        &mut self,
        now: Ms,
        journal_position: u64,
        journal_valid_until: Ms,
    ) -> Vec<EndpointEntry> {
        let Some(cluster) = &mut self.cluster else { return Vec::new() };
        cluster.on_timer(now, self.hierarchy.as_mut(), journal_position, journal_valid_until)
    }

    // ---- Timers.

    /// The earliest deadline of the components; `None` if there is none.
    pub fn next_deadline(&self, now: Ms) -> Option<Ms> {
        let deadlines = [
            self.hierarchy.as_ref().map(HierarchyAdapter::next_deadline),
            self.control.as_ref().and_then(ControlServer::next_deadline),
            self.remote_sites.as_ref().map(|remote_sites| remote_sites.next_deadline(now)),
            self.cluster.as_ref().map(|cluster| cluster.next_deadline(now)),
        ];
        deadlines.into_iter().flatten().reduce(Ms::min)
    }
}

fn listen_for_control<W: EventHandler>(
    setup: &PartsSetup<'_, W>,
    path: &str,
) -> Result<ControlServer<W>, StartError> {
    let handle = setup.handle.clone();
    ControlServer::listen(setup.limits, setup.buffers, setup.reserve, handle, Path::new(path))
        .map_err(|source| StartError::ControlSocket { path: path.to_string(), source })
}
