//! The configuration that `LB_CONFIG` names, and the limits of the transport that follow from it.
//!
//! No figure here decides about requests; those are the policy's.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use linnethook_settings::{ConnectionSettings, DecodedSettings, SettingsError};
use serde::Deserialize;

use crate::descriptors;
use crate::discovery::event::EventPage;

/// What is wrong with the configuration.
#[derive(Debug)]
pub enum ConfigError {
    /// The file can't be read.
    Read(io::Error),
    /// It is not JSON, or a field is missing or of another type.
    Format(serde_json::Error),
    Setting(SettingsError),
    Seed,
    /// A setting that the operator file's `watch()` changes.
    ShadowSetting(SettingsError),
    /// One of these in a file.
    File {
        path: PathBuf,
        source: Box<ConfigError>,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => error.fmt(f),
            Self::Format(error) => error.fmt(f),
            Self::Setting(error) => write!(f, "settings.{error}"),
            Self::Seed => f.write_str("a seed that is not hexadecimal"),
            Self::ShadowSetting(error) => write!(f, "watch(): settings.{error}"),
            Self::File { path, source } => write!(f, "{}: {source}", path.display()),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Read(error) => Some(error),
            Self::Format(error) => Some(error),
            Self::Setting(error) | Self::ShadowSetting(error) => Some(error),
            Self::File { source, .. } => Some(source),
            Self::Seed => None,
        }
    }
}

/// The file that `LB_CONFIG` names.
#[derive(Debug, Deserialize)]
pub struct File {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: String,
    limits: Platform,
    pub journal: SocketAddr,
    pub known: EventPage,
    settings: serde_json::Value,
}

impl File {
    /// How many descriptors it promises.
    pub fn sockets(&self) -> usize {
        self.limits.sockets
    }
}

/// What the platform allows.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Platform {
    memory_mb: f64,
    sockets: usize,
}

/// All that a router starts from.
#[derive(Debug)]
pub struct Config {
    pub file: File,
    pub told: DecodedSettings,
    pub seed: u64,
    pub limits: Limits,
}

impl Config {
    /// Reads the configuration of a file.
    ///
    /// # Errors
    ///
    /// A file that can't be read or used; the error names it.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path).map_err(ConfigError::Read);
        let config = text.and_then(|text| Self::decode(&text, descriptors::soft_limit()));
        config.map_err(|error| ConfigError::File { path: path.to_path_buf(), source: Box::new(error) })
    }

    /// Decodes a configuration for a process that may have `descriptors` of them, however many it promises.
    ///
    /// # Errors
    ///
    /// A text that is no configuration, or a setting that can't be used.
    pub fn decode(text: &[u8], descriptors: usize) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_slice(text).map_err(ConfigError::Format)?;
        let settings = serde_json::to_vec(&file.settings).map_err(ConfigError::Format)?;
        let told = linnethook_settings::decode(&settings).map_err(ConfigError::Setting)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed)?;
        let longest = told.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let limits = Limits::new(file.limits, descriptors, told.connections, longest);
        Ok(Self { file, told, seed, limits })
    }

    /// Tells at a glance whether two routers were given the same settings.
    pub fn settings_digest(&self) -> u64 {
        // Objects are written in the order of their names.
        xxhash_rust::xxh3::xxh3_64(self.file.settings.to_string().as_bytes())
    }

    /// The settings with some of them changed, for the shadow policy.
    ///
    /// # Errors
    ///
    /// A changed setting that can't be used.
    pub fn with(&self, changes: &serde_json::Value) -> Result<DecodedSettings, ConfigError> {
        let settings = linnethook_settings::merge(&self.file.settings, changes);
        let settings = serde_json::to_vec(&settings).map_err(ConfigError::Format)?;
        linnethook_settings::decode(&settings).map_err(ConfigError::ShadowSetting)
    }
}

/// Every size, count and time of the transport. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Size of a buffer block.
    pub block: usize,
    /// Free blocks kept, and blocks in use above which clients are not read for a while.
    pub blocks_kept: usize,
    pub blocks_most: usize,
    /// The longest frame of a client after its length, and the longest string of a cache.
    pub frame: usize,
    pub string: usize,
    /// Bytes read of one client before the others get their turn.
    pub read_turn: usize,
    /// Bytes that wait to be written to a client before it is read no further.
    pub write_backlog: usize,
    /// Bytes of it that are read ahead then, for the word that it gives something up, and how long ago a client may
    /// have been looked at when something is sent for it.
    pub look_ahead: usize,
    pub client_looked: f64,
    /// How often clients are looked over; one that takes none of its answers for so long, or has had
    /// nothing to say or hear for so long, is closed: clients close idle connections themselves before.
    pub client_sweep: f64,
    pub client_stall: f64,
    pub client_idle: f64,
    /// A new connection must have asked something after that long, and a message that has begun must have
    /// come in whole. Whoever is closed for it is owed that within 3 s of connecting.
    pub client_first: f64,
    pub message: f64,
    /// How long a connection that has just come or been answered keeps its place in any case.
    pub client_spared: f64,
    /// Requests that can't be used after which a client is broken off, and how long, and for how many bytes,
    /// what it still sends is then thrown away.
    pub client_faults: u32,
    pub linger: f64,
    pub linger_bytes: usize,
    /// What a request may say: its wait, size, part, group and body.
    pub wait: f64,
    pub size_kb: f64,
    pub parts: u32,
    pub groups: u32,
    pub body: usize,
    /// Descriptors: how many there are by the configuration and by the system, whichever is fewer, and how many of
    /// them are taken at the start for what has to go on when all others are in use.
    pub descriptors: usize,
    pub reserve: usize,
    /// Connections that wait to be accepted, those accepted in one turn, and clients' connections at once.
    pub accept_backlog: i32,
    pub accept_turn: usize,
    pub clients: usize,
    /// Open requests on one connection of a client, by the protocol, and in all.
    pub client_streams: usize,
    pub open: usize,
    /// Bytes that the system is asked to hold for a cache that takes nothing.
    pub cache_send: usize,
    /// Attempts on one connection to a cache, connections to one cache, and to all.
    pub cache_streams: usize,
    pub cache_connections: usize,
    pub connections: usize,
    /// A connect, and the wait of a message for its first byte, are given up after that; so is a probe.
    pub connect: f64,
    pub probe: f64,
    /// After so long without use a connection to a cache is closed, before the cache does so.
    pub idle: f64,
    /// Part of a client's wait that its request and the answer spend on the way.
    pub way: f64,
    /// How long the journal may hold back its answer, how much longer it is waited for, how long a connect may
    /// take, the pause after a poll that was lost, and the most bytes of an answer.
    pub journal_wait: f64,
    pub journal_late: f64,
    pub journal_connect: f64,
    pub journal_pause: f64,
    pub journal_answer: usize,
    /// After SIGTERM requests are waited for that long at the least. After the most, what is still open is
    /// answered as failed: the platform kills no sooner than the longest wait, taken as 3 s where it is longer,
    /// and 0.7 s after the signal. Then the last answers may take so long to leave.
    pub stop_least: f64,
    pub stop_most: f64,
    pub stop_last: f64,
    /// Log lines a second.
    pub log_lines: u32,
    /// Commands at once on the control socket, the bytes of a question, and how long one may take.
    pub control_connections: usize,
    pub control_message: usize,
    pub control_time: f64,
    /// Connections of links with other sites, the bytes read or written in one go on one, and those read before others
    /// have their turn.
    pub links: usize,
    pub link_block: usize,
    pub link_turn: usize,
}

/// Descriptors left over on either side for what is neither a client nor a cache.
const SPARE: usize = 16;
/// What the process can't do without: its own ones, discovery, a client and a connection to a cache.
const LEAST: usize = 12;
/// The most that is in reserve.
const RESERVE: usize = 8;

impl Limits {
    fn new(platform: Platform, descriptors: usize, transport: ConnectionSettings, longest: f64) -> Self {
        let descriptors = platform.sockets.min(descriptors);
        let half = (descriptors / 2).saturating_sub(SPARE).max(1);
        let block = 16 * 1024;
        // Half of the memory may be in buffers.
        let blocks_most = (platform.memory_mb.max(8.0) * 0.5 * 1024.0 * 1024.0) as usize / block;
        Self {
            block,
            blocks_kept: blocks_most.min(512),
            blocks_most,
            frame: 262_144,
            string: 262_144,
            read_turn: 262_144,
            write_backlog: 1024 * 1024,
            look_ahead: 256 * 1024,
            client_looked: 25.0,
            client_sweep: 100.0,
            client_stall: 4_000.0,
            client_idle: 5_000.0,
            client_first: 2_000.0,
            message: 1_500.0,
            client_spared: 100.0,
            client_faults: 16,
            linger: 500.0,
            linger_bytes: 1024 * 1024,
            wait: 60_000.0,
            size_kb: 1e6,
            parts: 1_000_000,
            groups: 255,
            body: 48_000,
            accept_backlog: 1024,
            accept_turn: 32,
            descriptors,
            reserve: descriptors.saturating_sub(LEAST).clamp(1, RESERVE),
            clients: half,
            client_streams: 32,
            open: transport.max_open as usize,
            cache_send: 128 * 1024,
            cache_streams: transport.streams_per_connection as usize,
            // However few there are, one cache does not take all of them.
            cache_connections: (descriptors / 8).min(half / 2).max(1),
            connections: half,
            connect: transport.connect_timeout,
            probe: 250.0,
            idle: transport.idle_timeout * 0.8,
            way: 30.0,
            // Two polls in a row may be lost without a word before what they would have told binds.
            journal_wait: 2_000.0,
            journal_late: 800.0,
            journal_connect: 800.0,
            journal_pause: 100.0,
            journal_answer: 8 * 1024 * 1024,
            stop_least: (longest.min(3_000.0) + 450.0).min(1_000.0),
            stop_most: longest.min(3_000.0) + 450.0,
            stop_last: 150.0,
            log_lines: 20,
            control_connections: 4,
            control_message: 16 * 1024 * 1024,
            control_time: 5_000.0,
            links: (descriptors / 16).max(2),
            link_block: 64 * 1024,
            link_turn: 1024 * 1024,
        }
    }

    /// The same beside links with other sites, whose descriptors are then neither for clients nor for caches.
    pub fn beside_links(self) -> Self {
        let less = |count: usize| count.saturating_sub(self.links.div_ceil(2)).max(1);
        Self { clients: less(self.clients), connections: less(self.connections), ..self }
    }
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
