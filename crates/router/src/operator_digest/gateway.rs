//! The input of the digest for the `gateway()` section and its sites.

use linnethook_gateway::gateway::GatewayConfig;
use linnethook_gateway::heartbeat::HeartbeatConfig;
use linnethook_operator_config::config::SiteConfig;

use super::{record, Verbatim};

pub(super) fn site_config(site: &SiteConfig) -> Verbatim {
    record("SiteSpec", &[("name", &site.name), ("classes", &site.classes)])
}

pub(super) fn gateway_config(config: &GatewayConfig) -> Verbatim {
    record(
        "Rules",
        &[
            ("session", &session_config(config)),
            ("retry", &reconnect_config(config)),
            ("routes", &routing_config(config)),
            ("window", &window_config(config)),
            ("home", &local_capacity_config(config)),
            ("across", &forwarding_config(config)),
            ("horizon", &ledger_config(config)),
            ("peers", &peer_config(config)),
        ],
    )
}

pub(super) fn session_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.session;
    let streams = &config.flow_control;
    let streams = record(
        "Bounds",
        &[
            ("streams", &streams.max_streams),
            ("stream_window", &streams.stream_window_bytes),
            ("link_window", &streams.link_window_bytes),
            ("turn", &streams.max_turn_bytes),
            ("patience", &streams.max_skipped_turns),
        ],
    );
    record(
        "SessionRule",
        &[
            ("streams", &streams),
            ("pulse", &heartbeat_config(&config.heartbeat)),
            ("frame", &config.max_frame_bytes),
            ("crowded", &config.high_water_output_bytes),
            ("backlog", &config.max_output_bytes),
            ("greeting", &config.hello_timeout),
            ("called_off", &config.max_cancelled_streams),
        ],
    )
}

pub(super) fn heartbeat_config(config: &HeartbeatConfig) -> Verbatim {
    record(
        "PulseRule",
        &[
            ("every", &config.interval),
            ("gaps", &config.max_samples),
            ("least_spread", &config.min_deviation),
            ("phi", &config.phi_threshold),
            ("least", &config.min_silence),
            ("most", &config.max_silence),
            ("slow", &config.slow_ratio),
            ("flaps", &config.flap_threshold),
            ("flap_span", &config.flap_window),
        ],
    )
}

pub(super) fn reconnect_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.reconnect;
    record(
        "RetryRule",
        &[
            ("first", &config.initial_delay),
            ("longer", &config.delay_multiplier),
            ("longest", &config.max_delay),
            ("well", &config.reset_after),
        ],
    )
}

pub(super) fn routing_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.routing;
    record(
        "RouteRule",
        &[
            ("first", &config.initial_share),
            ("rise", &config.ramp_duration),
            ("rise_writes", &config.write_ramp_duration),
            ("half", &config.share_half_life),
            ("flapping", &config.flapping_share),
            ("full", &config.full_utilization),
            ("room", &config.reopen_utilization),
            ("bad", &config.max_failure_ratio),
            ("good", &config.reopen_failure_ratio),
            ("weight", &config.sample_weight),
            ("seen", &config.min_samples),
            ("repeats", &config.retries_per_request),
            ("saved", &config.max_saved_retries),
            ("hops", &config.max_hops),
        ],
    )
}

pub(super) fn window_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.concurrency_window;
    record(
        "WindowRule",
        &[
            ("first", &config.initial),
            ("least", &config.min),
            ("most", &config.max),
            ("bear", &config.max_late_ratio),
            ("weight", &config.sample_weight),
            ("cut", &config.decrease_factor),
            ("pause", &config.decrease_interval),
            ("shares", &config.priority_shares),
            ("bytes", &config.max_expected_bytes),
        ],
    )
}

pub(super) fn local_capacity_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.local_capacity;
    record(
        "HomeRule",
        &[
            ("bad", &config.max_failure_ratio),
            ("weight", &config.sample_weight),
            ("seen", &config.min_samples),
            ("good", &config.recovery_successes),
            ("every", &config.probe_interval),
            ("span", &config.sample_lifetime),
        ],
    )
}

pub(super) fn forwarding_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.forwarding;
    record(
        "AcrossRule",
        &[
            ("attempts", &config.max_attempts),
            ("guests", &config.max_remote_requests),
            ("least", &config.min_retry_time),
            ("tries", &config.max_retries),
            ("wait", &config.max_wait),
            ("waiting", &config.max_waiting),
            ("bytes", &config.max_buffered_bytes),
            ("resumed", &config.max_resumed_per_check),
            ("resumes", &config.resumes_bodies),
            ("asks", &config.queries_outcomes),
            ("answer", &config.max_answer_bytes),
            ("writing", &config.answer_write_timeout),
            ("come_back", &config.retry_after),
        ],
    )
}

pub(super) fn ledger_config(config: &GatewayConfig) -> Verbatim {
    let horizon = &config.attempt_ledger;
    record(
        "Horizon",
        &[
            ("span", &horizon.retention),
            ("tokens", &horizon.max_tokens),
            ("bytes", &horizon.max_answer_bytes),
        ],
    )
}

pub(super) fn peer_config(config: &GatewayConfig) -> Verbatim {
    let config = &config.peers;
    record(
        "PeerRule",
        &[
            ("fresh", &config.max_state_delay),
            ("bound", &config.state_lifetime),
            ("facts", &config.max_facts),
            ("purges", &config.purge_retention),
            ("gateways", &config.max_gateways),
            ("connections", &config.max_connections),
            ("accepted", &config.max_accepted),
        ],
    )
}
