//! All sizes, counts and times of the transport, grouped by concern. They are computed once at startup.

use linnethook_settings::ConnectionSettings;
use serde::Deserialize;

use crate::policy_adapter::Ms;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// The limits that the platform sets for the process.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename = "Platform")]
pub(super) struct PlatformLimits {
    /// The memory in MiB.
    pub memory_mb: f64,
    /// The number of descriptors that the platform promises.
    #[serde(rename = "sockets")]
    pub descriptors: usize,
}

/// All sizes, counts and times of the transport.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The memory for buffers.
    pub buffers: BufferLimits,
    /// Descriptors of the process.
    pub descriptors: DescriptorLimits,
    /// Turns of the event loop.
    pub turn: TurnLimits,
    /// Accepting connections.
    pub accept: AcceptLimits,
    /// Connections of clients.
    pub clients: ClientLimits,
    /// The valid range of request fields, and the number of open requests.
    pub requests: RequestLimits,
    /// Connections to caches, parents and the origin.
    pub upstreams: UpstreamLimits,
    /// Polls of the journal service.
    pub discovery: DiscoveryLimits,
    /// The shutdown after a signal.
    pub shutdown: ShutdownLimits,
    /// The control socket.
    pub control: ControlLimits,
    /// Links with other sites.
    pub links: LinkLimits,
    /// The maximum of log lines per second, unless the operator file sets another one.
    pub max_log_lines_per_second: u32,
}

impl Limits {
    /// The limits of a process that may open at most `descriptors` descriptors, even if the platform promises
    /// more. `longest_wait_ms` is the longest time that a client waits for an answer.
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
            turn: TurnLimits::new(),
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

    /// The limits of a router with links to other sites: the descriptors for links are taken in equal parts
    /// from clients and upstreams.
    pub fn with_links(mut self) -> Self {
        let per_side = self.links.max_connections.div_ceil(2);
        for max_connections in [&mut self.clients.max_connections, &mut self.upstreams.max_connections] {
            *max_connections = max_connections.saturating_sub(per_side).max(1);
        }
        self
    }
}

/// The minimum memory that is assumed, in MiB.
const MIN_MEMORY_MB: f64 = 8.0;

/// The share of the memory that buffers may use.
const BUFFER_MEMORY_RATIO: f64 = 0.5;

/// The maximum number of free buffer blocks that are retained for reuse.
const MAX_FREE_BLOCKS: usize = 512;

/// The memory for buffers.
#[derive(Debug, Clone, Copy)]
pub struct BufferLimits {
    /// The size of a buffer block.
    pub block_bytes: usize,
    /// The maximum number of free blocks that are retained for reuse.
    pub max_free_blocks: usize,
    /// The number of blocks in use at which reading from clients is paused.
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

/// Descriptors that each side, clients and upstreams, leaves for everything else.
pub(super) const SPARE_DESCRIPTORS_PER_SIDE: usize = 16;

/// The minimum that a process needs: its own descriptors, discovery, one client and one connection to a
/// cache.
pub(super) const MIN_DESCRIPTORS: usize = 12;

/// The maximum number of reserved descriptors.
pub(super) const MAX_RESERVED_DESCRIPTORS: usize = 8;

/// Descriptors of the process.
#[derive(Debug, Clone, Copy)]
pub struct DescriptorLimits {
    /// The number of descriptors that both the configuration and the system allow.
    pub available: usize,
    /// How many of them are reserved at startup, for connections that must succeed when all others are in
    /// use.
    pub reserved: usize,
}

impl DescriptorLimits {
    fn new(available: usize) -> Self {
        let reserved = available.saturating_sub(MIN_DESCRIPTORS).clamp(1, MAX_RESERVED_DESCRIPTORS);
        Self { available, reserved }
    }

    /// The number of descriptors for clients, which is also that for upstreams.
    fn per_side(self) -> usize {
        (self.available / 2).saturating_sub(SPARE_DESCRIPTORS_PER_SIDE).max(1)
    }
}

/// The work that one connection may cause before others have their turn.
#[derive(Debug, Clone, Copy)]
pub struct PartLimits {
    /// So many bytes that are read, or fewer with messages.
    pub max_bytes: usize,
    /// Handling a message counts as reading so many bytes.
    pub message_cost_bytes: usize,
}

/// Turns of the event loop.
#[derive(Debug, Clone, Copy)]
pub struct TurnLimits {
    /// A turn that takes longer is logged. Cancellations have to be noticed within 100 ms.
    pub max_duration_ms: Ms,
    /// The time in which connections to caches, the journal and other sites are served that are ready; the others
    /// are served in later turns. A request takes several turns from its accept to its answer.
    pub upstream_ms: Ms,
    /// The same for clients, after that.
    pub downstream_ms: Ms,
    /// A part of the work of an upstream connection.
    pub upstream_part: PartLimits,
    /// A part of the work of a client's connection.
    pub client_part: PartLimits,
    /// Decoding a byte of a request's fields counts as reading so many bytes.
    pub field_byte_cost: usize,
    /// A new client that has sent more than this at once waits among the others, so that new clients delay each other
    /// little.
    pub max_new_client_bytes: usize,
}

impl TurnLimits {
    fn new() -> Self {
        Self {
            max_duration_ms: 50.0,
            upstream_ms: 30.0,
            downstream_ms: 10.0,
            // The largest reply is read in one part: many that are read by halves would take the buffers.
            upstream_part: PartLimits { max_bytes: 512 * KIB, message_cost_bytes: 8 * KIB },
            // So is the largest request, and are more requests than a client may have open: a client that sends too
            // many at once is noticed before any of them is sent on.
            client_part: PartLimits { max_bytes: 64 * KIB, message_cost_bytes: KIB },
            field_byte_cost: 4,
            max_new_client_bytes: 16 * KIB,
        }
    }
}

/// Accepting connections.
#[derive(Debug, Clone, Copy)]
pub struct AcceptLimits {
    /// The backlog of the listener: connections that wait to be accepted.
    pub backlog: i32,
    /// The number of connections accepted per turn of the event loop, and of idle ones evicted per turn to
    /// refill the descriptor reserve.
    pub max_per_turn: usize,
    /// The pause after a failed accept on the control socket or the listener of links.
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
    /// The maximum number of connections.
    pub max_connections: usize,
    /// The maximum number of open requests on one connection, set by the protocol.
    pub max_streams_per_connection: usize,
    /// The maximum size of a frame, without its length field.
    pub max_frame_bytes: usize,
    /// The number of unwritten output bytes above which a client is not read.
    pub max_unwritten_bytes: usize,
    /// The maximum number of bytes read ahead from a paused client to find cancellations.
    pub max_read_ahead_bytes: usize,
    /// A client that was read within this time is not checked again for cancellations before something is
    /// sent for it.
    pub check_interval_ms: Ms,
    /// The interval between checks of all clients for timeouts.
    pub sweep_interval_ms: Ms,
    /// A client that reads none of its answers for this time is closed.
    pub write_stall_timeout_ms: Ms,
    /// A client without requests and answers for this time is closed. Clients close idle connections earlier.
    pub idle_timeout_ms: Ms,
    /// The time within which a new connection must send a request; the protocol allows 3 s for closing it
    /// otherwise.
    pub first_request_timeout_ms: Ms,
    /// The time within which a partially received message must be complete.
    pub message_timeout_ms: Ms,
    /// An idle connection is not evicted for this time after it was accepted or answered.
    pub eviction_grace_ms: Ms,
    /// The number of invalid requests after which a client is closed.
    pub max_invalid_requests: u32,
    /// How long the input of a closing client is still read and discarded, so that it receives its last
    /// answer.
    pub linger_timeout_ms: Ms,
    /// The maximum number of input bytes that are discarded in this time.
    pub max_linger_bytes: usize,
}

impl ClientLimits {
    fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            max_streams_per_connection: 32,
            max_frame_bytes: 256 * KIB,
            max_unwritten_bytes: MIB,
            max_read_ahead_bytes: 256 * KIB,
            check_interval_ms: 25.0,
            sweep_interval_ms: 100.0,
            write_stall_timeout_ms: 4_000.0,
            idle_timeout_ms: 5_000.0,
            first_request_timeout_ms: 2_000.0,
            message_timeout_ms: 1_500.0,
            eviction_grace_ms: 100.0,
            max_invalid_requests: 16,
            linger_timeout_ms: 500.0,
            max_linger_bytes: MIB,
        }
    }
}

/// The valid range of request fields, and the number of open requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// The maximum number of open requests of all clients.
    pub max_open: usize,
    /// The longest time that a client may wait for an answer.
    pub max_wait_ms: Ms,
    /// The part of a client's wait that is reserved for the transfer of the request and its answer over the
    /// network.
    pub network_allowance_ms: Ms,
    /// The maximum size of an object, in units of 1,000 bytes.
    pub max_size_kb: f64,
    /// The highest number of a part of an object.
    pub max_part: u32,
    /// The highest number of a group of objects.
    pub max_group: u32,
    /// The maximum size of a request's body.
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

/// One endpoint may use at most the number of all descriptors divided by this.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 8;

/// The fraction of the caches' idle timeout after which the router closes connections, so that the cache does
/// not close them first.
const IDLE_TIMEOUT_RATIO: f64 = 0.8;

/// Connections to caches, parents and the origin.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamLimits {
    /// The maximum number of connections to all endpoints.
    pub max_connections: usize,
    /// The maximum number of connections to one endpoint.
    pub max_connections_per_endpoint: usize,
    /// The maximum number of open messages on one connection.
    pub max_streams_per_connection: usize,
    /// The maximum size of a string in a reply.
    pub max_string_bytes: usize,
    /// The size of the system's send buffer of a connection.
    pub send_buffer_bytes: usize,
    /// The timeout of a connect, and of a queued message until its first byte is written. Connects to other
    /// sites have the same timeout.
    pub connect_timeout_ms: Ms,
    /// How long a connect is tried again that this machine can't begin. Shorter than the silence after which an
    /// endpoint is ejected.
    pub local_retry_timeout_ms: Ms,
    /// The timeout of a health check.
    pub health_check_timeout_ms: Ms,
    /// A connection that was not used for this time is closed.
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
            local_retry_timeout_ms: 250.0,
            health_check_timeout_ms: 250.0,
            idle_timeout_ms: connections.idle_timeout * IDLE_TIMEOUT_RATIO,
        }
    }
}

/// Polls of the journal service. The values allow two consecutive polls to fail before the events that they
/// would have delivered are due.
#[derive(Debug, Clone, Copy)]
pub struct DiscoveryLimits {
    /// How long the service may delay the response to a poll.
    pub max_poll_wait_ms: Ms,
    /// How much later than that the response may arrive.
    pub response_grace_ms: Ms,
    /// The timeout of a connect.
    pub connect_timeout_ms: Ms,
    /// The pause after a failed poll.
    pub retry_pause_ms: Ms,
    /// The maximum size of a response.
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

/// The platform delays the kill after SIGTERM by the longest wait of a client, but no more than this.
const MAX_WAIT_BEFORE_KILL_MS: Ms = 3_000.0;

/// A drain may take this much longer than the longest wait. The platform kills the process 700 ms after that
/// wait.
const DRAIN_MARGIN_MS: Ms = 450.0;

/// The upper limit of [`ShutdownLimits::min_drain_ms`]. Requests arrive for up to 600 ms after SIGTERM.
const MAX_MIN_DRAIN_MS: Ms = 1_000.0;

/// The shutdown after a signal.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownLimits {
    /// The minimum duration of a drain: requests may still arrive.
    pub min_drain_ms: Ms,
    /// The maximum duration of a drain; open requests are then answered as failed.
    pub max_drain_ms: Ms,
    /// How long writing the last answers may take after the drain.
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
    /// The maximum number of connections.
    pub max_connections: usize,
    /// The maximum size of a request, and of the output of an evaluation of the operator file.
    pub max_message_bytes: usize,
    /// The timeout of a connection, from its accept to the end of its response.
    pub connection_timeout_ms: Ms,
}

impl ControlLimits {
    fn new() -> Self {
        Self { max_connections: 4, max_message_bytes: 16 * MIB, connection_timeout_ms: 5_000.0 }
    }
}

/// Links may use at most the number of all descriptors divided by this.
const LINK_DESCRIPTOR_DIVISOR: usize = 16;

/// Links with other sites.
#[derive(Debug, Clone, Copy)]
pub struct LinkLimits {
    /// The maximum number of connections.
    pub max_connections: usize,
    /// The size of a single read or write.
    pub block_bytes: usize,
}

impl LinkLimits {
    fn new(descriptors: DescriptorLimits) -> Self {
        Self {
            max_connections: (descriptors.available / LINK_DESCRIPTOR_DIVISOR).max(2),
            block_bytes: 64 * KIB,
        }
    }
}
