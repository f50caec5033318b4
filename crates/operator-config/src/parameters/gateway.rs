//! Parameters of `gateway()`.

use linnethook_gateway::gateway::GatewayConfig as GatewayParameters;

use super::{Parameter, BYTES, NO_UNIT, SECONDS};

/// The numeric parameters of `gateway()`.
pub const PARAMETERS: &[Parameter<GatewayParameters>] = &[
    real!(
        peers.max_state_delay,
        "fresh",
        SECONDS,
        0.0..=10.0,
        "maximum age of the state received from another site for its requests to be admitted; 0 admits all"
    ),
    real!(
        peers.state_lifetime,
        "bound",
        SECONDS,
        0.1..=60.0,
        "how long the reported load and drain of a site are valid"
    ),
    real!(
        peers.purge_retention,
        "purges",
        SECONDS,
        10.0..=86_400.0,
        "how long purges are retained for a site that reconnects"
    ),
    integer!(
        peers.max_facts as usize,
        "facts",
        NO_UNIT,
        64.0..=8_192.0,
        "maximum number of retained drains and purges of the own site; twice as many of another gateway"
    ),
    integer!(
        peers.max_gateways as usize,
        "gateways",
        NO_UNIT,
        1.0..=1_024.0,
        "maximum number of known gateways of other sites"
    ),
    integer!(
        peers.max_accepted as usize,
        "accepted",
        NO_UNIT,
        1.0..=1_024.0,
        "maximum number of accepted connections from other gateways"
    ),
    real!(session.heartbeat.interval, "ping", SECONDS, 0.01..=5.0, "interval between pings on a connection"),
    real!(
        session.heartbeat.phi_threshold,
        "phi",
        NO_UNIT,
        1.0..=16.0,
        "suspicion from which a link counts as silent: at level n, the probability that it is alive is 10^-n"
    ),
    real!(
        session.heartbeat.min_silence,
        "silent_least",
        SECONDS,
        0.05..=60.0,
        "minimum time without a receipt before a link counts as silent"
    ),
    real!(
        session.heartbeat.max_silence,
        "silent_most",
        SECONDS,
        0.1..=120.0,
        "time without a receipt after which a link is always silent, and half-open if no message is answered"
    ),
    real!(
        session.heartbeat.slow_ratio,
        "slow",
        NO_UNIT,
        1.5..=100.0,
        "ratio of the round trip to the best one above which a link counts as slow"
    ),
    real!(
        reconnect.initial_delay,
        "retry",
        SECONDS,
        0.01..=60.0,
        "initial delay before a reconnect, doubled with each attempt"
    ),
    real!(reconnect.max_delay, "retry_most", SECONDS, 0.05..=600.0, "maximum delay before a reconnect"),
    integer!(
        session.flow_control.max_streams as usize,
        "streams",
        NO_UNIT,
        1.0..=65_536.0,
        "maximum number of concurrent requests on one connection, in each direction"
    ),
    integer!(
        session.flow_control.stream_window_bytes as u64,
        "stream_window",
        BYTES,
        16_384.0..=16_777_216.0,
        "flow-control window of a stream"
    ),
    integer!(
        session.flow_control.link_window_bytes as u64,
        "link_window",
        BYTES,
        65_536.0..=268_435_456.0,
        "flow-control window of a connection"
    ),
    real!(
        concurrency_window.initial,
        "window",
        NO_UNIT,
        1.0..=4_096.0,
        "initial limit of requests in flight to a site, also after an outage"
    ),
    real!(
        concurrency_window.max,
        "window_most",
        NO_UNIT,
        1.0..=65_536.0,
        "maximum limit of requests in flight to a site"
    ),
    real!(
        concurrency_window.max_expected_bytes,
        "window_bytes",
        BYTES,
        65_536.0..=1e9,
        "maximum number of bytes of answers expected at a time"
    ),
    integer!(
        forwarding.max_answer_bytes as u64,
        "answer",
        BYTES,
        1_024.0..=1e9,
        "maximum length of an answer from another site; a longer one is cancelled, other streams continue"
    ),
    real!(
        concurrency_window.max_late_ratio,
        "late",
        NO_UNIT,
        0.01..=1.0,
        "ratio of late answers above which the limit of requests in flight is decreased"
    ),
    real!(
        routing.initial_share,
        "first",
        NO_UNIT,
        0.0..=1.0,
        "share of the objects that a new or returning site receives at first"
    ),
    real!(
        routing.ramp_duration,
        "rise",
        SECONDS,
        0.0..=600.0,
        "time in which that share would rise from 0 to all objects"
    ),
    real!(
        routing.write_ramp_duration,
        "rise_writes",
        SECONDS,
        0.0..=600.0,
        "the same for writes, which run at the origin"
    ),
    real!(
        routing.share_half_life,
        "half",
        SECONDS,
        0.001..=600.0,
        "half-life of the share of a site while it is unreachable"
    ),
    real!(
        routing.flapping_share,
        "flapping",
        NO_UNIT,
        0.0..=1.0,
        "maximum share of a site while the link to it is flapping"
    ),
    real!(
        routing.full_utilization,
        "full",
        NO_UNIT,
        0.05..=1.0,
        "reported utilization from which a site receives only the initial share"
    ),
    real!(
        routing.reopen_utilization,
        "room",
        NO_UNIT,
        0.01..=1.0,
        "reported utilization up to which that limit is lifted"
    ),
    real!(
        routing.max_failure_ratio,
        "bad",
        NO_UNIT,
        0.01..=1.0,
        "ratio of failed requests from which a site receives only the initial share"
    ),
    real!(
        routing.reopen_failure_ratio,
        "good",
        NO_UNIT,
        0.0..=1.0,
        "ratio of failed requests up to which that limit is lifted"
    ),
    real!(
        routing.retries_per_request,
        "repeats",
        NO_UNIT,
        0.0..=10.0,
        "retries at another site that each first attempt there earns"
    ),
    real!(
        routing.max_saved_retries,
        "saved",
        NO_UNIT,
        0.0..=10_000.0,
        "maximum number of retries that can be saved up"
    ),
    integer!(
        routing.max_hops as usize,
        "hops",
        NO_UNIT,
        1.0..=16.0,
        "maximum number of sites that a request may visit, including the first"
    ),
    real!(
        local_capacity.max_failure_ratio,
        "unable",
        NO_UNIT,
        0.05..=1.0,
        "ratio of failed requests from which the local site counts as unavailable"
    ),
    real!(
        local_capacity.probe_interval,
        "home_try",
        SECONDS,
        0.01..=60.0,
        "interval between probes of an unavailable local site"
    ),
    integer!(
        local_capacity.recovery_successes as u32,
        "home_good",
        NO_UNIT,
        1.0..=100.0,
        "consecutive successes after which the local site counts as available again"
    ),
    real!(
        attempt_ledger.retention,
        "remember",
        SECONDS,
        5.0..=86_400.0,
        "how long the outcome of an attempt is retained; longer than any client waits"
    ),
    integer!(
        attempt_ledger.max_tokens as usize,
        "tokens",
        NO_UNIT,
        16.0..=10_000_000.0,
        "maximum number of retained attempts of each gateway"
    ),
    integer!(
        attempt_ledger.max_answer_bytes as usize,
        "answers",
        BYTES,
        0.0..=1e9,
        "maximum number of bytes of their answers"
    ),
    integer!(
        forwarding.max_attempts as usize,
        "attempts",
        NO_UNIT,
        1.0..=1e6,
        "maximum number of open attempts with tokens at other sites"
    ),
    integer!(
        forwarding.max_remote_requests as usize,
        "guests",
        NO_UNIT,
        1.0..=1e6,
        "maximum number of open requests from other sites"
    ),
    real!(
        forwarding.max_wait,
        "wait",
        SECONDS,
        0.0..=60.0,
        "longest time that an interrupted request waits for a connection"
    ),
    integer!(
        forwarding.max_waiting as usize,
        "waiting",
        NO_UNIT,
        0.0..=1e6,
        "maximum number of requests that wait for a connection"
    ),
    integer!(
        forwarding.max_buffered_bytes as usize,
        "held",
        BYTES,
        65_536.0..=1e10,
        "maximum number of buffered bytes of response bodies"
    ),
    integer!(
        forwarding.max_retries as u32,
        "tries",
        NO_UNIT,
        0.0..=100.0,
        "maximum number of retries of a request"
    ),
    real!(
        forwarding.retry_after,
        "come_back",
        SECONDS,
        0.0..=60.0,
        "minimum time after which a rejected client may retry"
    ),
];
