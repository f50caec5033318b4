//! One router: its state, and the dispatch between its components.
//!
//! - [`readiness`]: what the event loop reports of sockets;
//! - [`turns`]: the steps of a turn of the event loop, and the service of ready connections.
//!
//! The router makes no routing decisions. It passes events of its sockets, of the journal and of the control
//! socket to the responsible components, and manages their startup and shutdown.

mod readiness;
mod turns;

use std::path::{Path, PathBuf};
use std::time::Duration;

use calloop::signals::Signal;
use calloop::LoopHandle;
use linnethook_operator_config::OperatorConfig;

use crate::buffers::BufferPool;
use crate::clock::Clock;
use crate::cluster;
use crate::config::{Config, Limits};
use crate::control::{ControlRequest, ControlResponse};
use crate::counters::{CounterReport, Counters, DiscoveryCounts};
use crate::descriptors::DescriptorReserve;
use crate::discovery::event::WatchEvent;
use crate::discovery::DiscoveryClient;
use crate::hierarchy_control;
use crate::log::log_line;
use crate::operator_parts::{OperatorParts, PartsSetup};
use crate::operator_reload::OperatorFile;
use crate::policy_adapter::{Ms, PolicyAdapter};
use crate::proxy::{Proxy, ProxySetup};
use crate::reload::PendingReload;
use crate::remote_sites::RemoteSites;
use crate::run_phase::{RunPhase, ShutdownTimes};
use crate::shadow_policy::{ShadowReport, ShadowSetup};
use crate::start_error::StartError;
use crate::start_retry;
use crate::turn::{ReadyQueue, TurnClock, TurnDurations, TurnWork};

/// The maximum time between two runs of the timers.
const MAX_TIMER_INTERVAL_MS: Ms = 1_000.0;

/// A router.
pub struct Router {
    clock: Clock,
    /// The path of the configuration file named by `LB_CONFIG`, which is read again at each SIGHUP.
    config_path: PathBuf,
    limits: Limits,
    reserve: DescriptorReserve,
    handle: LoopHandle<'static, Self>,
    proxy: Proxy<Self>,
    discovery: DiscoveryClient<Self>,
    /// `None` without an operator file.
    operator_file: Option<OperatorFile>,
    run_phase: RunPhase,
    turn: TurnClock,
    ready: ReadyQueue,
    turn_durations: TurnDurations,
    reloads: u64,
    /// The reload that is repeated, since the file could not be read.
    pending_reload: Option<PendingReload>,
    shadow_report: Option<ShadowReport>,
}

impl Router {
    /// Starts a router: it applies the endpoint list of its configuration, and then starts to listen.
    ///
    /// # Errors
    ///
    /// Invalid settings of the operator file, and errors of the system.
    pub fn new(
        config_path: &Path,
        config: Config,
        operator: Option<(PathBuf, OperatorConfig)>,
        handle: &LoopHandle<'static, Self>,
    ) -> Result<Self, StartError> {
        let (operator_file, operator) = operator.unzip();
        let has_gateway = operator.as_ref().is_some_and(|operator| operator.gateway.is_some());
        let limits = if has_gateway { config.limits.with_links() } else { config.limits };
        let reserve = DescriptorReserve::new(limits.descriptors.reserved)?;
        let buffers = BufferPool::new(
            limits.buffers.block_bytes,
            limits.buffers.max_free_blocks,
            limits.buffers.max_blocks_in_use,
        );
        let ready = ReadyQueue::new(limits.turn);
        // Errors in the shadow policy's settings are reported before any component starts.
        let shadow = operator.as_ref().and_then(|operator| operator.shadow_policy.as_ref());
        let shadow = shadow.map(|section| ShadowSetup::new(&config, section)).transpose()?;
        let clock = Clock::new();
        let parts = match &operator {
            Some(operator) => {
                let (now, config, buffers, reserve) = (clock.now(), &config, &buffers, &reserve);
                let setup = PartsSetup { now, config, limits, buffers, reserve, ready: &ready, handle };
                OperatorParts::start(&setup, operator)?
            }
            None => OperatorParts::default(),
        };
        let mut policy = PolicyAdapter::new(config.settings, config.seed);
        let shadow_report = shadow.map(|ShadowSetup { settings, log_interval }| {
            policy.start_shadow(settings, config.seed);
            ShadowReport::new(clock.now(), log_interval)
        });
        let setup = ProxySetup { clock, limits, buffers: &buffers, reserve: &reserve, ready: &ready, handle };
        let proxy = Proxy::new(&setup, policy, parts);
        let known = config.file.initial_events;
        let journal = config.file.journal_address;
        let discovery =
            DiscoveryClient::new(limits, &buffers, &reserve, handle.clone(), journal, known.position);
        let mut router = Self {
            clock,
            config_path: config_path.to_path_buf(),
            limits,
            reserve,
            handle: handle.clone(),
            proxy,
            discovery,
            operator_file: operator_file.map(OperatorFile::new),
            run_phase: RunPhase::serving(ShutdownTimes::new(&limits)),
            turn: TurnClock::new(clock.now()),
            ready,
            turn_durations: TurnDurations::new(limits.turn.max_duration_ms)?,
            reloads: 0,
            pending_reload: None,
            shadow_report,
        };
        router.on_watch_events(known.events);
        router.on_cluster_timer();
        // Clients are accepted only once the endpoint list is known.
        let address = config.file.listen_address;
        let bound = start_retry::retry(|| router.proxy.listen(address), start_retry::is_momentary);
        let address = bound.map_err(|source| StartError::Listen {
            setting: "`listen` in the configuration file",
            address,
            source,
        })?;
        log_line!("{} listens on {address}", config.file.name);
        Ok(router)
    }

    // ---- The journal.

    /// Applies watch events in the order of the journal.
    fn on_watch_events(&mut self, events: Vec<WatchEvent>) {
        let now = self.clock.now();
        for event in events {
            self.proxy.on_watch_event(now, event);
        }
    }

    // ---- The control socket.

    /// Executes a request of the control socket and returns the response.
    fn respond(&mut self, request: ControlRequest) -> ControlResponse {
        match request {
            ControlRequest::GatewayStatus
            | ControlRequest::GatewayRoutes
            | ControlRequest::DrainSite { .. } => self.proxy.respond_for_remote_sites(request),
            ControlRequest::ShowFleet
            | ControlRequest::StartQuery(_)
            | ControlRequest::FetchQueryResult(_)
            | ControlRequest::SetFloor(_)
            | ControlRequest::ListAuditRecords => self.respond_for_cluster(request),
            request => {
                hierarchy_control::reply(self.proxy.parts.hierarchy.as_mut(), self.clock.now(), request)
            }
        }
    }

    fn respond_for_cluster(&mut self, request: ControlRequest) -> ControlResponse {
        let reply = cluster::reply(self.proxy.parts.cluster.as_mut(), self.clock.now(), request);
        if reply.run_timer {
            self.on_cluster_timer();
        }
        reply.response
    }

    // ---- Timers.

    /// Handles all deadlines that have passed.
    pub fn on_timer(&mut self) {
        self.measure(TurnWork::Timers, Self::handle_deadlines);
    }

    fn handle_deadlines(&mut self) {
        let now = self.clock.now();
        self.proxy.on_upstream_timer(now);
        self.proxy.on_policy_timer(now);
        self.proxy.on_hierarchy_timer(now);
        if let Some(control) = &mut self.proxy.parts.control {
            control.on_timer(now);
        }
        if self.proxy.on_remote_sites_timer() {
            self.on_cluster_timer();
            self.proxy.process_outcomes();
        }
        self.log_shadow_report(now);
        self.continue_reload();
        self.discovery.on_timer(now);
        self.proxy.on_client_timer(now);
    }

    fn on_cluster_timer(&mut self) {
        let now = self.clock.now();
        let (position, silence) = (self.discovery.position(), self.discovery.silence_allowed_until());
        for entry in self.proxy.parts.on_cluster_timer(now, position, silence) {
            self.proxy.apply_cluster_entry(entry);
        }
        self.proxy.run_cluster();
    }

    fn log_shadow_report(&mut self, now: Ms) {
        if !self.shadow_report.as_mut().is_some_and(|report| report.take_due(now)) {
            return;
        }
        if let Some(counts) = self.proxy.shadow_counts() {
            log_line!("{counts}");
        }
    }

    /// The time until the next deadline; zero if connections that are ready were not served yet.
    pub fn time_to_deadline(&self) -> Duration {
        if !self.ready.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let reload = self.pending_reload.map(|reload| reload.next_try());
        let optional = [self.run_phase.next_deadline(now), self.proxy.parts.next_deadline(now), reload];
        let required = self.discovery.next_deadline().min(self.proxy.next_deadline());
        let next = optional.into_iter().flatten().fold(required, Ms::min);
        Duration::from_secs_f64((next - now).clamp(0.0, MAX_TIMER_INTERVAL_MS) / 1000.0)
    }

    // ---- Signals.

    /// Handles a signal: SIGUSR1 prints the counters, SIGHUP reads the configuration again, and all others
    /// begin the graceful shutdown.
    pub fn on_signal(&mut self, signal: Signal) {
        self.measure(TurnWork::Commands, |router| match signal {
            Signal::SIGUSR1 => router.print_counters(),
            Signal::SIGHUP => router.reload(),
            _ => router.begin_drain(),
        });
    }

    /// Reads the configuration again. Only the address of the journal can change at runtime. A file that
    /// can't be read changes nothing.
    fn reload(&mut self) {
        self.reloads += 1;
        self.pending_reload = Some(PendingReload::new(self.clock.now(), self.operator_file.is_some()));
        self.continue_reload();
    }

    /// Reads what is still to be read again. What can't be read for a moment is tried again later.
    fn continue_reload(&mut self) {
        let now = self.clock.now();
        let Some(mut reload) = self.pending_reload.take_if(|reload| reload.is_due(now)) else { return };
        if reload.reads_config {
            reload.reads_config = self.reload_config(reload.is_first_try());
        }
        if let Some(file) = self.operator_file.as_mut().filter(|_| reload.reads_operator_file) {
            let is_started = file.start_evaluation(&self.handle, &self.reserve, reload.is_first_try());
            reload.reads_operator_file = !is_started;
        }
        self.pending_reload = reload.after_try(now);
    }

    /// Reads the configuration; returns whether that is to be tried again. Only the first error is logged.
    fn reload_config(&mut self, is_first_try: bool) -> bool {
        match self.reserve.run_with_all(|| Config::read(&self.config_path)) {
            Ok(config) => {
                log_line!(
                    always "configuration {}: reloaded: the journal is at {}",
                    self.config_path.display(), config.file.journal_address
                );
                self.discovery.set_address(self.clock.now(), config.file.journal_address);
                false
            }
            Err(error) => {
                if is_first_try {
                    log_line!(always "configuration not reloaded: {error}");
                }
                error.may_be_momentary()
            }
        }
    }

    /// Applies the settings of the operator file that may change at runtime.
    fn reload_operator_file(&mut self, operator: &OperatorConfig) {
        let now = self.clock.now();
        let Some(file) = &self.operator_file else { return };
        if self.proxy.parts.reload(now, file.path(), operator) {
            self.proxy.report_fill_sources();
        }
    }

    /// Logs all counters.
    pub fn print_counters(&self) {
        let discovery = DiscoveryCounts {
            position: self.discovery.position(),
            bytes_in: self.discovery.bytes_in,
            bytes_out: self.discovery.bytes_out,
        };
        let counters = Counters {
            reloads: self.reloads,
            failed_polls: self.discovery.failed_polls,
            ..self.proxy.counters()
        };
        let report = CounterReport {
            counters,
            discovery,
            gauges: self.proxy.gauges(),
            turns: self.turn_durations.report(),
            links: self.proxy.parts.remote_sites.as_ref().map(RemoteSites::counters),
            cluster: self.proxy.parts.cluster.as_ref(),
            shadow: self.proxy.shadow_counts(),
        };
        log_line!(always "{report}");
    }

    // ---- Shutdown.

    /// Begins the graceful shutdown: open requests are finished, and clients are told to send no new ones.
    fn begin_drain(&mut self) {
        if !self.run_phase.is_serving() {
            return;
        }
        log_line!("shutting down with {} open requests", self.proxy.gauges().open_requests);
        let now = self.clock.now();
        self.run_phase.begin_drain(now);
        let events = self.proxy.begin_client_drain(now);
        if let Some(cluster) = &mut self.proxy.parts.cluster {
            cluster.leave(self.clock.now());
        }
        self.proxy.run_cluster();
        self.proxy.stop_remote_sites();
        self.proxy.on_client_events(events);
        self.proxy.process_outcomes();
    }

    /// Whether the drain is over: everything is answered and no new requests are expected, or its maximum
    /// duration has passed.
    pub fn is_drained(&self) -> bool {
        self.run_phase.is_draining() && self.run_phase.is_drained(self.clock.now(), self.proxy.open_work())
    }

    /// Answers all open requests, and begins to close clients' connections once their answers are written.
    pub fn begin_close(&mut self) {
        self.proxy.fail_open_requests();
        let now = self.clock.now();
        self.run_phase.begin_close(now);
        self.proxy.begin_close(now);
    }

    /// Whether all clients' connections are closed after their last answers, or the time for that has passed.
    pub fn is_closed(&mut self) -> bool {
        if !self.run_phase.is_closing() {
            return false;
        }
        let now = self.clock.now();
        let has_no_clients = self.proxy.close_finished_clients(now);
        has_no_clients || self.run_phase.is_close_over(now)
    }

    /// Closes the remaining connections of clients.
    pub fn close_clients(&mut self) {
        self.proxy.close_clients();
    }

    /// Whether the router is a member of a cluster, whose other members are notified of the shutdown.
    pub fn has_cluster(&self) -> bool {
        self.proxy.parts.cluster.is_some()
    }

    /// Closes the audit log, and sends its last record to the other routers.
    pub fn end_audit_log(&mut self) {
        let now = self.clock.now();
        if let Some(cluster) = &mut self.proxy.parts.cluster {
            cluster.end_audit_log(now);
        }
        self.proxy.run_cluster();
    }
}
