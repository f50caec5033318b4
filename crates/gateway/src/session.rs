//! Owns one connection of a link: frames in and out, its turns and credit, its pulse, and which streams are open on it.
//!
//! Must never keep more than its bounds however the other side behaves, nor go on after a word that may not be said:
//! the session ends. What a word means for a request is not its business.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::{Bytes, BytesMut};
use linnethook::interface::Ms;

use crate::codec::{put, put_data, Begins, Decoder, Frame, Hello, Malformed, Open, Turned, Word, VERSIONS};
use crate::ledger::{Fate, Ticket, Token};
use crate::pulse::{Feel, Pulse, PulseRule};
use crate::site::{About, Fact, State};
use crate::streams::{Bounds, Breach, Priority, Receiving, Sending};

/// The bounds of a session.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SessionRule {
    pub streams: Bounds,
    pub pulse: PulseRule,
    /// The longest frame, after its length.
    pub frame: usize,
    /// Bytes of words that may wait to be written: beyond the first no new request goes out, beyond the second the
    /// session ends.
    pub crowded: usize,
    pub backlog: usize,
    /// How long the other side may take to say who it is.
    pub greeting: Ms,
    /// Streams that were called off here and are remembered, since their answers may be on the way.
    pub called_off: usize,
}

impl Default for SessionRule {
    fn default() -> Self {
        Self {
            streams: Bounds::default(),
            pulse: PulseRule::default(),
            frame: 1 << 20,
            crowded: 256 << 10,
            backlog: 2 << 20,
            greeting: 2_000.0,
            called_off: 4_096,
        }
    }
}

/// Why a session ended.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum Ended {
    #[error(transparent)]
    Malformed(#[from] Malformed),
    #[error(transparent)]
    Breach(#[from] Breach),
    #[error("a word before its hello")]
    NoHello,
    #[error("a second hello")]
    HelloAgain,
    #[error("no hello in time")]
    Late,
    #[error("it speaks versions {0} to {1}, expected {2} to {3}")]
    Versions(u16, u16, u16, u16),
    #[error("an answer to a stream that was never opened, or that has one")]
    Answer,
    #[error("it takes nothing of what waits for it")]
    Backlog,
    #[error("it says that it is this site")]
    Itself,
    #[error("it is of a site that is not known here")]
    Stranger,
    #[error("an earlier start of its, or another than it had")]
    Epoch,
    #[error("it says more of its site than is kept")]
    State,
    #[error("more gateways than may be")]
    Peers,
    #[error("nothing comes in any more")]
    Silent,
    #[error("nothing that is sent is answered")]
    HalfOpen,
    #[error("closed by the other side, or broken")]
    Closed,
    #[error("this gateway ends")]
    Stopped,
    #[error("a newer connection has taken its place")]
    Replaced,
}

/// What the other side has said, in its order.
#[derive(Debug, Clone, PartialEq)]
pub enum Heard {
    Hello(Hello),
    /// A request; `stream` is to be answered.
    Open(u32, Box<Open>),
    /// Words on a stream that this side has opened for that ticket.
    Begins(Ticket, Box<Begins>),
    Bytes(Ticket, Bytes),
    End(Ticket),
    Never(Ticket, Turned, Ms),
    /// The other side does not wait for that stream any more.
    Cancelled(u32),
    Ask(Token),
    Told(Token, Fate),
    State(State),
    Behind(u64, u64),
    Leave,
    Direct(Vec<(About, Fact)>),
}

/// A stream that this side has opened.
#[derive(Debug, Clone, Copy)]
struct Asked {
    ticket: Ticket,
    begun: bool,
}

/// What is to be sent on a stream that the other side has opened.
#[derive(Debug, Clone, Default)]
struct Serving {
    body: Bytes,
}

#[derive(Debug)]
pub struct Session {
    rule: SessionRule,
    since: Ms,
    greeted: bool,
    decoder: Decoder,
    /// Words that wait to be written.
    out: BytesMut,
    sending: Sending,
    receiving: Receiving,
    pub pulse: Pulse,
    next_ping: Ms,
    last_stream: u32,
    /// The highest stream of the other side: they are numbered upwards.
    highest: u32,
    asked: BTreeMap<u32, Asked>,
    streams: BTreeMap<Ticket, u32>,
    serving: BTreeMap<u32, Serving>,
    /// Bytes handed over to be written, and of these the bytes that the system has taken.
    handed: u64,
    taken: u64,
    /// Tokens whose request ends with that byte.
    marks: VecDeque<(u64, Token)>,
    called_off: BTreeSet<u32>,
    /// The version of the own state up to which the other side was told.
    pub told: u64,
    /// The other side brings nothing new here, or wants nothing new.
    pub leaving: bool,
    /// Bytes of bodies that came in.
    pub body_bytes: u64,
}

impl Session {
    pub fn new(now: Ms, rule: SessionRule) -> Self {
        Self {
            rule,
            since: now,
            greeted: false,
            decoder: Decoder::default(),
            out: BytesMut::new(),
            sending: Sending::new(rule.streams),
            receiving: Receiving::new(rule.streams),
            pulse: Pulse::new(now, rule.pulse),
            next_ping: now,
            last_stream: 0,
            highest: 0,
            asked: BTreeMap::new(),
            streams: BTreeMap::new(),
            serving: BTreeMap::new(),
            handed: 0,
            taken: 0,
            marks: VecDeque::new(),
            called_off: BTreeSet::new(),
            told: 0,
            leaving: false,
            body_bytes: 0,
        }
    }

    /// Says something on no stream.
    pub fn say(&mut self, word: &Word) {
        put(&mut self.out, 0, word);
    }

    pub fn is_greeted(&self) -> bool {
        self.greeted
    }

    /// Streams that this side has opened, and those that the other side has.
    pub fn open_streams(&self) -> (usize, usize) {
        (self.asked.len(), self.serving.len())
    }

    /// Bytes that wait to be written, those of bodies included.
    pub fn waiting(&self) -> u64 {
        self.out.len() as u64 + self.sending.waiting()
    }

    /// Whether a new request may go out here.
    pub fn takes(&self) -> bool {
        self.greeted
            && !self.leaving
            && self.out.len() < self.rule.crowded
            && self.asked.len() < self.rule.streams.streams
            && self.last_stream < u32::MAX
    }

    // ---- This side asks.

    /// Sends a request; its answer comes back with the ticket.
    pub fn open(&mut self, ticket: Ticket, open: Open) {
        self.last_stream += 1;
        let (stream, token) = (self.last_stream, open.token);
        put(&mut self.out, stream, &Word::Open(Box::new(open)));
        if let Some(token) = token {
            self.marks.push_back((self.handed + self.out.len() as u64, token));
        }
        self.asked.insert(stream, Asked { ticket, begun: false });
        self.streams.insert(ticket, stream);
        self.receiving.expect(stream);
    }

    fn over(&mut self, stream: u32) {
        if let Some(asked) = self.asked.remove(&stream) {
            self.streams.remove(&asked.ticket);
        }
        let grants = self.receiving.close(stream, 0);
        self.grant(grants);
    }

    /// Nobody waits for it any more.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(stream) = self.streams.get(&ticket).copied() {
            self.over(stream);
            put(&mut self.out, stream, &Word::Cancel);
            self.called_off.insert(stream);
            if self.called_off.len() > self.rule.called_off {
                self.called_off.pop_first();
            }
        }
    }

    fn grant(&mut self, grants: Vec<(u32, u32)>) {
        for (stream, bytes) in grants {
            put(&mut self.out, stream, &Word::Credit(bytes));
        }
    }

    // ---- This side answers.

    /// An answer to a stream of the other side; false where that has ended.
    pub fn answer(&mut self, stream: u32, priority: Priority, begins: Begins, body: Bytes) -> bool {
        let Some(serving) = self.serving.get_mut(&stream) else { return false };
        let bytes = body.len() as u64;
        serving.body = body;
        put(&mut self.out, stream, &Word::Answer(Box::new(begins)));
        self.sending.open(stream, priority);
        self.sending.push(stream, bytes, true);
        true
    }

    /// Turns a stream of the other side away.
    pub fn never(&mut self, stream: u32, why: Turned, come_back: Ms) {
        if self.serving.remove(&stream).is_some() {
            let come_back = come_back.clamp(0.0, f64::from(u32::MAX)) as u32;
            put(&mut self.out, stream, &Word::Never { why, come_back });
        }
    }

    /// A stream of the other side has had its time.
    pub fn drop_stream(&mut self, stream: u32) {
        self.serving.remove(&stream);
        self.sending.cancel(stream);
    }

    // ---- Bytes.

    /// What is to be written next, up to about that much; it counts as handed over.
    pub fn pull(&mut self, room: usize, into: &mut BytesMut) {
        let begun = into.len();
        if !self.out.is_empty() {
            into.extend_from_slice(&self.out);
            self.out.clear();
        }
        while into.len() - begun < room {
            let Some(turn) = self.sending.next((room - (into.len() - begun)) as u64) else { break };
            let Some(serving) = self.serving.get_mut(&turn.stream) else { continue };
            if turn.bytes > 0 {
                let bytes = serving.body.split_to((turn.bytes as usize).min(serving.body.len()));
                put_data(into, turn.stream, &bytes);
            }
            if turn.end {
                self.serving.remove(&turn.stream);
                put(into, turn.stream, &Word::End);
            }
        }
        self.handed += (into.len() - begun) as u64;
    }

    /// So many bytes of what was pulled were taken by the system: the requests that are whole with them.
    pub fn wrote(&mut self, bytes: usize) -> Vec<Token> {
        self.taken += bytes as u64;
        let mut whole = Vec::new();
        while let Some((_, token)) = self.marks.front().filter(|(at, _)| *at <= self.taken) {
            whole.push(*token);
            self.marks.pop_front();
        }
        whole
    }

    /// Takes in bytes; what they say.
    pub fn came(&mut self, now: Ms, bytes: &[u8], heard: &mut Vec<Heard>) -> Result<(), Ended> {
        self.pulse.heard(now);
        self.decoder.push(bytes);
        while let Some(frame) = self.decoder.next(self.rule.frame)? {
            self.understand(now, frame, heard)?;
        }
        if self.out.len() > self.rule.backlog {
            return Err(Ended::Backlog);
        }
        Ok(())
    }

    fn understand(&mut self, now: Ms, frame: Frame, heard: &mut Vec<Heard>) -> Result<(), Ended> {
        let Frame { stream, word } = frame;
        let word = match word {
            Word::Hello(_) if self.greeted => return Err(Ended::HelloAgain),
            Word::Hello(hello) => {
                let ((from, to), (least, most)) = (hello.versions, VERSIONS);
                if from > to || to < least || from > most {
                    return Err(Ended::Versions(from, to, least, most));
                }
                self.greeted = true;
                heard.push(Heard::Hello(hello));
                return Ok(());
            }
            _ if !self.greeted => return Err(Ended::NoHello),
            word => word,
        };
        match word {
            Word::Hello(_) => {}
            Word::Open(open) => {
                // One that may not be opened for want of room is turned away, and never ran.
                if self.receiving_open(stream)? {
                    self.serving.insert(stream, Serving::default());
                    heard.push(Heard::Open(stream, open));
                } else {
                    put(&mut self.out, stream, &Word::Never { why: Turned::Full, come_back: 0 });
                }
            }
            Word::Answer(begins) => {
                let Some(asked) = self.expected(stream)? else { return Ok(()) };
                if asked.begun || begins.from > begins.length {
                    return Err(Ended::Answer);
                }
                asked.begun = true;
                let ticket = asked.ticket;
                heard.push(Heard::Begins(ticket, begins));
            }
            Word::Data(bytes) => {
                let length = bytes.len() as u64;
                self.body_bytes += length;
                let grants = self.receiving.came(stream, length)?;
                self.grant(grants);
                let Some(asked) = self.expected(stream)? else { return Ok(()) };
                if !asked.begun {
                    return Err(Ended::Answer);
                }
                let ticket = asked.ticket;
                // What came is kept with its request, which has its own bound: it is granted again at once.
                let grants = self.receiving.taken(stream, length);
                self.grant(grants);
                heard.push(Heard::Bytes(ticket, bytes));
            }
            Word::End => {
                let Some(asked) = self.expected(stream)? else { return Ok(()) };
                if !asked.begun {
                    return Err(Ended::Answer);
                }
                let ticket = asked.ticket;
                self.over(stream);
                heard.push(Heard::End(ticket));
            }
            Word::Never { why, come_back } => {
                let Some(asked) = self.expected(stream)? else { return Ok(()) };
                if asked.begun {
                    return Err(Ended::Answer);
                }
                let ticket = asked.ticket;
                self.over(stream);
                heard.push(Heard::Never(ticket, why, f64::from(come_back)));
            }
            Word::Cancel => {
                if self.serving.remove(&stream).is_some() {
                    self.sending.cancel(stream);
                    heard.push(Heard::Cancelled(stream));
                } else if stream == 0 || stream > self.highest {
                    return Err(Breach::Unknown.into());
                }
            }
            Word::Credit(bytes) => self.sending.grant(stream, bytes)?,
            Word::Ping(number) => self.say(&Word::Pong(number)),
            Word::Pong(number) => self.pulse.pong(now, number),
            Word::Ask(token) => heard.push(Heard::Ask(token)),
            Word::Told(token, fate) => heard.push(Heard::Told(token, fate)),
            Word::State(state) => heard.push(Heard::State(state)),
            Word::Behind(epoch, version) => heard.push(Heard::Behind(epoch, version)),
            Word::Direct(facts) => heard.push(Heard::Direct(facts)),
            Word::Leave => {
                self.leaving = true;
                heard.push(Heard::Leave);
            }
        }
        Ok(())
    }

    /// A stream that the other side opens; those that it has answered to the end make room.
    fn receiving_open(&mut self, stream: u32) -> Result<bool, Ended> {
        if stream == 0 || stream <= self.highest {
            return Err(Breach::Again.into());
        }
        self.highest = stream;
        Ok(self.serving.len() < self.rule.streams.streams)
    }

    /// The stream that an answer is for; nothing where it was called off here, which a few answers may cross.
    fn expected(&mut self, stream: u32) -> Result<Option<&mut Asked>, Ended> {
        if stream == 0 || stream > self.last_stream {
            return Err(Ended::Answer);
        }
        match self.asked.get_mut(&stream) {
            Some(asked) => Ok(Some(asked)),
            None if self.called_off.contains(&stream) => Ok(None),
            None => Err(Ended::Answer),
        }
    }

    // ---- Time.

    /// Pings where one is due; an error where the other side is not there any more.
    pub fn tick(&mut self, now: Ms) -> Result<(), Ended> {
        if !self.greeted {
            return if now - self.since >= self.rule.greeting { Err(Ended::Late) } else { Ok(()) };
        }
        match self.pulse.feel(now) {
            Feel::Silent => return Err(Ended::Silent),
            Feel::HalfOpen => return Err(Ended::HalfOpen),
            Feel::Well | Feel::Slow => {}
        }
        if now >= self.next_ping {
            self.next_ping = now + self.rule.pulse.every;
            if let Some(number) = self.pulse.ping(now) {
                self.say(&Word::Ping(number));
            }
        }
        Ok(())
    }

    /// When `tick` is due.
    pub fn next(&self, now: Ms) -> Ms {
        match self.greeted {
            true => self.next_ping.min(self.pulse.next(now)),
            false => self.since + self.rule.greeting,
        }
    }

    /// Whether something waits that could be written.
    pub fn has_output(&self) -> bool {
        !self.out.is_empty() || self.sending.has_turn()
    }

    /// The tickets whose answers are lost with it.
    pub fn tickets(&self) -> Vec<Ticket> {
        self.streams.keys().copied().collect()
    }
}
