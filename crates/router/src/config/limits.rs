//! Every size, count and time of the transport, in a group for each concern. They are computed once, at the start.

use linnethook_settings::ConnectionSettings;
use serde::Deserialize;

use crate::policy_adapter::Ms;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// What the platform allows the process.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename = "Platform")]
pub(super) struct PlatformLimits {
    /// Memory in MiB.
    pub memory_mb: f64,
    /// How many descriptors it promises.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

/// Every size, count and time of the transport.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Memory for what is read and written.
    pub buffers: BufferLimits,
    /// Descriptors of the process.
    pub descriptors: DescriptorLimits,
    /// How connections are accepted.
    pub accept: AcceptLimits,
    /// Connections of clients.
    pub clients: ClientLimits,
    /// What requests may have in their fields, and how many may be open.
    pub requests: RequestLimits,
    /// Connections to caches, parents and the origin.
    pub upstreams: UpstreamLimits,
    /// Polls of the journal service.
    pub discovery: DiscoveryLimits,
    /// The shutdown after SIGTERM.
    pub shutdown: ShutdownLimits,
    /// The control socket.
    pub control: ControlLimits,
    /// Links with other sites.
    pub links: LinkLimits,
    /// Log lines in a second, where the operator file has no other bound.
    pub max_log_lines_per_second: u32,
}

impl Limits {
    /// The limits of a process that may have `descriptors` of them, however many the platform promises.
    /// `longest_wait_ms` is the longest that a client waits.
    pub(super) fn new(
        platform: PlatformLimits,
        descriptors: usize,
        connections: ConnectionSettings,
        longest_wait_ms: Ms,
    ) -> Self {
        let descriptors = DescriptorLimits::new(platform.descriptors.min(descriptors));
        Self {
            buffers: BufferLimits::new(platform.memory_mb),
            descriptors,
            accept: AcceptLimits::new(),
            clients: ClientLimits::new(descriptors.per_side()),
            requests: RequestLimits::new(connections),
            upstreams: UpstreamLimits::new(descriptors, connections),
            discovery: DiscoveryLimits::new(),
            shutdown: ShutdownLimits::new(longest_wait_ms),
            control: ControlLimits::new(),
            links: LinkLimits::new(descriptors),
            max_log_lines_per_second: 20,
        }
    }

    /// The limits of a router that has links with other sites: their descriptors are taken in equal parts from clients
    /// and from upstreams.
    pub fn with_links(mut self) -> Self {
        let per_side = self.links.max_connections.div_ceil(2);
        for max_connections in [&mut self.clients.max_connections, &mut self.upstreams.max_connections] {
            *max_connections = max_connections.saturating_sub(per_side).max(1);
        }
        self
    }
}

/// The least memory that is assumed, in MiB.
const MIN_MEMORY_MB: f64 = 8.0;

/// The share of the memory that buffers may take.
const BUFFER_MEMORY_RATIO: f64 = 0.5;

/// The most buffer blocks that are kept for reuse.
const MAX_FREE_BLOCKS: usize = 512;

/// Memory for what is read and written.
#[derive(Debug, Clone, Copy)]
pub struct BufferLimits {
    /// The size of a block.
    pub block_bytes: usize,
    /// Free blocks that are kept for reuse.
    pub max_free_blocks: usize,
    /// Blocks in use from which on clients are not read for a while.
    pub max_blocks_in_use: usize,
}

impl BufferLimits {
    fn new(memory_mb: f64) -> Self {
        let block_bytes = 16 * KIB;
        let memory_bytes = memory_mb.max(MIN_MEMORY_MB) * BUFFER_MEMORY_RATIO * 1024.0 * 1024.0;
        let max_blocks_in_use = memory_bytes as usize / block_bytes;
        Self { block_bytes, max_free_blocks: max_blocks_in_use.min(MAX_FREE_BLOCKS), max_blocks_in_use }
    }
}

/// Descriptors on each side, clients and upstreams, that are left for everything else.
pub(super) const SPARE_DESCRIPTORS_PER_SIDE: usize = 16;

/// What a process can't do without: its own descriptors, discovery, a client and a connection to a cache.
pub(super) const MIN_DESCRIPTORS: usize = 12;

/// The most descriptors in reserve.
pub(super) const MAX_RESERVED_DESCRIPTORS: usize = 8;

/// Descriptors of the process.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorLimits {
    /// How many there are, by the configuration and by the system.
    pub available: usize,
    /// How many of them are reserved at the start, for what has to go on when all others are in use.
    pub reserved: usize,
}

impl DescriptorLimits {
    fn new(available: usize) -> Self {
        let reserved = available.saturating_sub(MIN_DESCRIPTORS).clamp(1, MAX_RESERVED_DESCRIPTORS);
        Self { available, reserved }
    }

    /// How many are for clients, and as many for upstreams.
    fn per_side(self) -> usize {
        (self.available / 2).saturating_sub(SPARE_DESCRIPTORS_PER_SIDE).max(1)
    }
}

/// How connections are accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptLimits {
    /// Connections that wait to be accepted.
    pub backlog: i32,
    /// Connections that are accepted in one turn, and idle ones that are closed in one turn for their descriptors.
    pub max_per_turn: usize,
    /// The pause after an accept that failed, on the control socket and on the listener of links.
    pub retry_pause_ms: Ms,
}

impl AcceptLimits {
    fn new() -> Self {
        Self { backlog: 1024, max_per_turn: 32, retry_pause_ms: 100.0 }
    }
}

/// Connections of clients.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// Connections at once.
    pub max_connections: usize,
    /// Open requests on one connection, by the protocol.
    pub max_streams_per_connection: usize,
    /// The longest frame, without its length.
    pub max_frame_bytes: usize,
    /// Bytes that are read of one client before the others get their turn.
    pub max_read_bytes_per_turn: usize,
    /// Bytes that wait to be written to a client from which on it is not read.
    pub max_unwritten_bytes: usize,
    /// Bytes that are read ahead of a client that is not read, to find cancellations.
    pub max_read_ahead_bytes: usize,
    /// A client that was read within that time is not checked again for cancellations before something is sent for it.
    pub check_interval_ms: Ms,
    /// How often all clients are checked for the timeouts.
    pub sweep_interval_ms: Ms,
    /// A client that takes none of its answers for so long is closed.
    pub write_stall_timeout_ms: Ms,
    /// A client without requests and answers for so long is closed. Clients close idle connections earlier.
    pub idle_timeout_ms: Ms,
    /// A new connection must have sent a request after that time; the protocol allows 3 s for closing it otherwise.
    pub first_request_timeout_ms: Ms,
    /// A message that has begun must be complete after that time.
    pub message_timeout_ms: Ms,
    /// An idle connection keeps its descriptor for that time at least after it was accepted or answered.
    pub displacement_grace_ms: Ms,
    /// Requests that can't be used after which a client is closed.
    pub max_invalid_requests: u32,
    /// How long the input of a client that is closed is still discarded, so that it receives its last answer.
    pub linger_timeout_ms: Ms,
    /// How much of its input is discarded.
    pub max_linger_bytes: usize,
}

impl ClientLimits {
    fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            max_streams_per_connection: 32,
            max_frame_bytes: 256 * KIB,
            max_read_bytes_per_turn: 256 * KIB,
            max_unwritten_bytes: MIB,
            max_read_ahead_bytes: 256 * KIB,
            check_interval_ms: 25.0,
            sweep_interval_ms: 100.0,
            write_stall_timeout_ms: 4_000.0,
            idle_timeout_ms: 5_000.0,
            first_request_timeout_ms: 2_000.0,
            message_timeout_ms: 1_500.0,
            displacement_grace_ms: 100.0,
            max_invalid_requests: 16,
            linger_timeout_ms: 500.0,
            max_linger_bytes: MIB,
        }
    }
}

/// What a request may have in its fields, and how many may be open.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Open requests of all clients.
    pub max_open: usize,
    /// The longest that a client may wait.
    pub max_wait_ms: Ms,
    /// The part of a client's wait that the request and its answer spend on the network.
    pub network_allowance_ms: Ms,
    /// The largest object, in units of 1,000 bytes.
    pub max_size_kb: f64,
    /// The highest number of a part of an object.
    pub max_part: u32,
    /// The highest number of a group of objects.
    pub max_group: u32,
    /// The longest body.
    pub max_body_bytes: usize,
}

impl RequestLimits {
    fn new(connections: ConnectionSettings) -> Self {
        Self {
            max_open: connections.max_open as usize,
            max_wait_ms: 60_000.0,
            network_allowance_ms: 30.0,
            max_size_kb: 1e6,
            max_part: 1_000_000,
            max_group: 255,
            max_body_bytes: 48_000,
        }
    }
}

/// One endpoint may take one part in so many of all descriptors.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 8;

/// The part of the idle time after which connections are closed here, so that the cache does not close them first.
const IDLE_TIMEOUT_RATIO: f64 = 0.8;

/// Connections to caches, parents and the origin.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLimits {
    /// Connections to all endpoints.
    pub max_connections: usize,
    /// Connections to one endpoint.
    pub max_connections_per_endpoint: usize,
    /// Attempts on one connection.
    pub max_streams_per_connection: usize,
    /// The longest string of a reply.
    pub max_string_bytes: usize,
    /// The system's send buffer of a connection.
    pub send_buffer_bytes: usize,
    /// How long a connect may take, and how long a message may wait for its first byte to be written. Connects to other
    /// sites have the same bound.
    pub connect_timeout_ms: Ms,
    /// How long the reply to a health check may take.
    pub health_check_timeout_ms: Ms,
    /// A connection that was not used for so long is closed.
    pub idle_timeout_ms: Ms,
}

impl UpstreamLimits {
    fn new(descriptors: DescriptorLimits, connections: ConnectionSettings) -> Self {
        let max_connections = descriptors.per_side();
        let endpoint_share = descriptors.available / ENDPOINT_DESCRIPTOR_DIVISOR;
        Self {
            max_connections,
            max_connections_per_endpoint: endpoint_share.min(max_connections / 2).max(1),
            max_streams_per_connection: connections.streams_per_connection as usize,
            max_string_bytes: 256 * KIB,
            send_buffer_bytes: 128 * KIB,
            connect_timeout_ms: connections.connect_timeout,
            health_check_timeout_ms: 250.0,
            idle_timeout_ms: connections.idle_timeout * IDLE_TIMEOUT_RATIO,
        }
    }
}

/// Polls of the journal service. Two polls in a row may be lost before events that they would have brought are due.
#[derive(Debug, Clone, Copy)]
pub struct DiscoveryLimits {
    /// How long the service may hold a poll back.
    pub max_poll_wait_ms: Ms,
    /// How much later the response may arrive.
    pub response_grace_ms: Ms,
    /// How long a connect may take.
    pub connect_timeout_ms: Ms,
    /// The pause after a poll that failed.
    pub retry_pause_ms: Ms,
    /// The longest response.
    pub max_response_bytes: usize,
}

impl DiscoveryLimits {
    fn new() -> Self {
        Self {
            max_poll_wait_ms: 2_000.0,
            response_grace_ms: 800.0,
            connect_timeout_ms: 800.0,
            retry_pause_ms: 100.0,
            max_response_bytes: 8 * MIB,
        }
    }
}

/// The longest wait of a client for which the platform delays the kill after SIGTERM.
const MAX_WAIT_BEFORE_KILL_MS: Ms = 3_000.0;

/// A drain takes so much longer than the longest wait. The platform kills 700 ms after it.
const DRAIN_MARGIN_MS: Ms = 450.0;

/// The most that [`ShutdownLimits::min_drain_ms`] may be. Requests arrive for up to 600 ms after SIGTERM.
const MAX_MIN_DRAIN_MS: Ms = 1_000.0;

/// The shutdown after SIGTERM.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownLimits {
    /// A drain takes so long at least: requests may still arrive.
    pub min_drain_ms: Ms,
    /// After that time open requests are answered as failed.
    pub max_drain_ms: Ms,
    /// How long the last answers may then take to be written.
    pub close_ms: Ms,
}

impl ShutdownLimits {
    fn new(longest_wait_ms: Ms) -> Self {
        let max_drain_ms = longest_wait_ms.min(MAX_WAIT_BEFORE_KILL_MS) + DRAIN_MARGIN_MS;
        Self { min_drain_ms: max_drain_ms.min(MAX_MIN_DRAIN_MS), max_drain_ms, close_ms: 150.0 }
    }
}

/// The control socket, and the evaluation of the operator file.
#[derive(Debug, Clone, Copy)]
pub struct ControlLimits {
    /// Connections at once.
    pub max_connections: usize,
    /// The longest request, and the most output of an evaluation of the operator file.
    pub max_message_bytes: usize,
    /// How long a connection may take in all.
    pub connection_timeout_ms: Ms,
}

impl ControlLimits {
    fn new() -> Self {
        Self { max_connections: 4, max_message_bytes: 16 * MIB, connection_timeout_ms: 5_000.0 }
    }
}

/// Links may take one part in so many of all descriptors.
const LINK_DESCRIPTOR_DIVISOR: usize = 16;

/// Links with other sites.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    /// Connections at once.
    pub max_connections: usize,
    /// Bytes that are read or written at once.
    pub block_bytes: usize,
    /// Bytes that are read of one connection before the others get their turn.
    pub max_read_bytes_per_turn: usize,
}

impl LinkLimits {
    fn new(descriptors: DescriptorLimits) -> Self {
        Self {
            max_connections: (descriptors.available / LINK_DESCRIPTOR_DIVISOR).max(2),
            block_bytes: 64 * KIB,
            max_read_bytes_per_turn: MIB,
        }
    }
}
