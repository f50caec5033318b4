//! A gateway under test, and a peer at the other site whose messages the test writes.

#![allow(dead_code, reason = "each test uses a part")]

use bytes::{Bytes, BytesMut};
use linnethook_gateway::attempt_ledger::{Ticket, Token};
use linnethook_gateway::codec::{
    encode_frame, ForwardedRequest, Frame, FrameDecoder, Hello, Message, VersionRange, SUPPORTED_VERSIONS,
};
use linnethook_gateway::flow_control::Priority;
use linnethook_gateway::forwarding::ForwardRequest;
use linnethook_gateway::gateway::{Action, ConnectionId, Gateway, GatewayConfig, GatewaySetup};
use linnethook_gateway::site_state::{Fact, FactKey, FactValue, StatePosition, StateUpdate};

/// The connection that [`connected`] establishes.
pub const FIRST_CONNECTION: ConnectionId = 1;
/// The start of the peer on that connection.
pub const PEER_EPOCH: u64 = 5;

/// A gateway of the site `here`, without a connection to the site `there`.
pub fn gateway(config: GatewayConfig) -> Gateway {
    let setup = GatewaySetup {
        site: "here".to_string(),
        other_sites: vec!["there".to_string()],
        node: "g".to_string(),
        epoch: 7,
        seed: 1,
        dial_sites: Vec::new(),
        accepts_cluster_peers: false,
        config,
    };
    Gateway::new(0.0, setup)
}

/// The hello of the peer with this start.
pub fn hello(epoch: u64) -> Message {
    hello_with(epoch, SUPPORTED_VERSIONS)
}

/// The hello of a peer that supports other protocol versions.
pub fn hello_with(epoch: u64, versions: VersionRange) -> Message {
    Message::Hello(Hello {
        versions,
        site: "there".to_string(),
        node: "h".to_string(),
        epoch,
        known_state: StatePosition::default(),
        proof: Vec::new(),
    })
}

/// A request of the peer.
pub fn request(token: Option<Token>) -> Message {
    Message::Request(Box::new(ForwardedRequest {
        token,
        remaining_ms: 1_000,
        priority: 0,
        passed_sites: vec!["there".to_string()],
        resume_from: None,
        fields: Vec::new(),
        body: Bytes::new(),
    }))
}

/// Sends a message to the gateway on its first connection.
pub fn send(gateway: &mut Gateway, now: f64, stream: u32, message: Message) {
    send_on(gateway, FIRST_CONNECTION, now, stream, message);
}

/// Sends a message to the gateway on one of its connections.
pub fn send_on(gateway: &mut Gateway, connection: ConnectionId, now: f64, stream: u32, message: Message) {
    gateway.receive(now, connection, &encode_frame(&Frame { stream, message }));
}

/// Takes the output of the gateway on its first connection and decodes it.
pub fn sent_frames(gateway: &mut Gateway) -> Vec<Frame> {
    sent_frames_on(gateway, FIRST_CONNECTION)
}

/// Takes the output of the gateway on one of its connections and decodes it.
pub fn sent_frames_on(gateway: &mut Gateway, connection: ConnectionId) -> Vec<Frame> {
    let (mut bytes, mut decoder, mut frames) = (BytesMut::new(), FrameDecoder::default(), Vec::new());
    gateway.take_output(connection, 1 << 24, &mut bytes);
    gateway.mark_written(connection, bytes.len());
    decoder.push_bytes(&bytes);
    while let Ok(Some(frame)) = decoder.next_frame(1 << 24) {
        frames.push(frame);
    }
    frames
}

/// Answers the pings among these frames on a connection, so that the received state counts as recent.
pub fn answer_pings(gateway: &mut Gateway, connection: ConnectionId, now: f64, frames: &[Frame]) {
    for frame in frames {
        if let Message::Ping(number) = frame.message {
            send_on(gateway, connection, now, 0, Message::Pong(number));
        }
    }
}

/// Establishes a session on a new connection, with the start `epoch` of the peer.
pub fn connect(gateway: &mut Gateway, connection: ConnectionId, now: f64, epoch: u64) {
    connect_with(gateway, connection, now, hello(epoch));
}

/// Establishes a session with this hello of the peer, and returns what the gateway has sent on it.
pub fn connect_with(
    gateway: &mut Gateway,
    connection: ConnectionId,
    now: f64,
    hello: Message,
) -> Vec<Message> {
    gateway.connection_opened(now, connection, None);
    send_on(gateway, connection, now, 0, hello);
    gateway.on_timer(now + 1.0);
    let frames = sent_frames_on(gateway, connection);
    answer_pings(gateway, connection, now + 2.0, &frames);
    frames.into_iter().map(|frame| frame.message).collect()
}

/// Creates a gateway with an established session and recent state.
pub fn connected(config: GatewayConfig) -> Gateway {
    let mut gateway = gateway(config);
    connect(&mut gateway, FIRST_CONNECTION, 0.0, PEER_EPOCH);
    let load =
        Fact::new(FactKey::Site, FactValue::Load { utilization: 0.1, caches: 3, origin_reachable: true });
    send(
        &mut gateway,
        2.0,
        0,
        Message::StateUpdate(StateUpdate { epoch: PEER_EPOCH, since: 0, version: 1, facts: vec![load] }),
    );
    gateway.on_timer(60.0);
    gateway
}

/// A write that must not be executed twice, or else a read.
pub fn forward_request(not_idempotent: bool, deadline: f64) -> ForwardRequest {
    ForwardRequest {
        object: 1,
        write: not_idempotent,
        not_idempotent,
        parallel_attempts: false,
        home_site: None,
        priority: Priority::Booking,
        latency_objective: 500.0,
        deadline,
        passed_sites: Vec::new(),
        fields: Vec::new(),
        body: Bytes::from_static(b"a booking"),
    }
}

/// The actions that the gateway has queued.
pub fn actions(gateway: &mut Gateway) -> Vec<Action> {
    std::iter::from_fn(|| gateway.next_action()).collect()
}

/// Takes the actions of the gateway, and returns the ticket of the first request that it passes on to be served.
pub fn served_ticket(gateway: &mut Gateway) -> Option<Ticket> {
    actions(gateway).into_iter().find_map(|action| match action {
        Action::ServeRemote(request) => Some(request.ticket),
        _ => None,
    })
}
