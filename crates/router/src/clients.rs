//! Owns the clients' connections: frames in, answers out, and who is owed one.
//!
//! Must never answer a request twice, block on a client that does not read, or decide about a request.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Socket, Type};

use crate::caches::Parcel;
use crate::config::{Failure, Limits};
use crate::decider::{Ms, Ticket, Wish};
use crate::frames::{self, Code, Fields, Message};
use crate::log::log_line;
use crate::pool::{Chain, Pool};
use crate::Router;

pub type ClientId = u64;

/// Who is owed an answer: streams are new on their connection only, and ids may come again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Asker {
    pub client: ClientId,
    pub stream: u32,
}

/// A request as it came in.
#[derive(Debug)]
pub struct Taken {
    pub asker: Asker,
    pub wish: Wish,
    pub parcel: Parcel,
}

/// What clients have said.
#[derive(Debug)]
pub enum Said {
    Request(Ticket, Box<Taken>),
    GivenUp(Ticket),
    /// It can't be read; its stream is answered as failed.
    Unreadable(Asker),
    /// More than may be open at once.
    TooMany(Asker),
}

struct Client {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    input: Chain,
    output: Chain,
    /// The tickets of the streams that are owed an answer.
    open: HashMap<u32, Ticket>,
    /// When something last came in or went out.
    used: Ms,
    /// Nothing more is read; it is closed once all is written.
    closing: bool,
}

pub struct Clients {
    limits: Limits,
    pool: Pool,
    handle: LoopHandle<'static, Router>,
    clients: HashMap<ClientId, Client>,
    last: ClientId,
    /// To be read on later: they do not take their answers, or others had to have their turn.
    held: BTreeSet<ClientId>,
    tickets: Ticket,
    next_sweep: Ms,
    stopping: bool,
    pub accepted: u64,
    pub malformed: u64,
}

impl Clients {
    pub fn new(limits: Limits, pool: &Pool, handle: LoopHandle<'static, Router>) -> Self {
        Self {
            limits,
            pool: pool.clone(),
            handle,
            clients: HashMap::new(),
            last: 0,
            held: BTreeSet::new(),
            tickets: 0,
            next_sweep: 0.0,
            stopping: false,
            accepted: 0,
            malformed: 0,
        }
    }

    /// Starts to listen; the address comes back.
    pub fn listen(&self, address: SocketAddr) -> Result<SocketAddr, Failure> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(self.limits.accept_backlog)?;
        let listener = TcpListener::from(socket);
        let address = listener.local_addr()?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let ready = |_, listener: &mut calloop::generic::NoIoDrop<TcpListener>, router: &mut Router| {
            router.client_waits(listener);
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, ready).map_err(|wrong| wrong.error)?;
        Ok(address)
    }

    /// Takes in the clients that wait to be accepted.
    pub fn accept(&mut self, now: Ms, listener: &TcpListener) {
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => continue,
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => return,
                Err(wrong) => return log_line!("accept: {wrong}"),
            };
            if self.clients.len() >= self.limits.clients {
                log_line!("a client beyond {} was turned away", self.limits.clients);
                continue;
            }
            if let Err(wrong) = self.take_in(now, stream) {
                log_line!("a client could not be taken in: {wrong}");
            }
        }
    }

    fn take_in(&mut self, now: Ms, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        self.last += 1;
        let id = self.last;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let ready = move |readiness: calloop::Readiness, _: &mut _, router: &mut Router| {
            router.client_ready(id, readiness);
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, ready).map_err(|w| io::Error::other(w.error))?;
        let mut output = Chain::new(&self.pool);
        if self.stopping {
            output.append(frames::no_more(&self.pool));
        }
        let input = Chain::new(&self.pool);
        let client = Client { stream, token, input, output, open: HashMap::new(), used: now, closing: false };
        self.clients.insert(id, client);
        self.accepted += 1;
        Ok(())
    }

    /// Reads what a client has sent. A lost client's open requests come back as given up.
    pub fn read(&mut self, now: Ms, id: ClientId, said: &mut Vec<Said>) {
        self.held.remove(&id);
        let mut budget = self.limits.read_turn;
        while let Some(client) = self.clients.get_mut(&id).filter(|client| !client.closing) {
            let behind = client.output.len() > self.limits.write_backlog;
            if behind || budget == 0 || self.pool.crowded() {
                self.held.insert(id);
                return;
            }
            match client.input.read_from(&*client.stream) {
                Ok(0) => return self.lose(id, said),
                Ok(n) => (budget, client.used) = (budget.saturating_sub(n), now),
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => return,
                Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return self.lose(id, said),
            }
            self.understand(now, id, said);
        }
    }

    /// Goes on with those that were held back.
    pub fn read_held(&mut self, now: Ms, said: &mut Vec<Said>) {
        if !self.pool.crowded() {
            for id in self.held.clone() {
                self.read(now, id, said);
            }
        }
    }

    /// Whether somebody who was held back could be read on at once.
    pub fn waits(&self) -> bool {
        let may = |id| self.clients.get(id).is_some_and(|c| c.output.len() <= self.limits.write_backlog);
        !self.pool.crowded() && self.held.iter().any(may)
    }

    fn understand(&mut self, now: Ms, id: ClientId, said: &mut Vec<Said>) {
        while let Some(client) = self.clients.get_mut(&id).filter(|client| !client.closing) {
            match frames::decode(&mut client.input, self.limits.frame) {
                Ok(None) => return,
                Ok(Some(Message::Request { stream, fields, body })) => {
                    if client.open.contains_key(&stream) {
                        return self.break_off(now, id, "a stream that is open", said);
                    }
                    let asker = Asker { client: id, stream };
                    if client.open.len() >= self.limits.client_streams {
                        said.push(Said::TooMany(asker));
                    } else {
                        said.push(match taken(asker, &fields, body, self.limits.way) {
                            Some(taken) => {
                                self.tickets += 1;
                                client.open.insert(stream, self.tickets);
                                Said::Request(self.tickets, Box::new(taken))
                            }
                            None => Said::Unreadable(asker),
                        });
                    }
                }
                Ok(Some(Message::GivenUp { stream })) => {
                    said.extend(client.open.remove(&stream).map(Said::GivenUp));
                }
                Ok(Some(Message::ReadyAsked { stream })) => {
                    client.output.append(frames::ready(&self.pool, stream, !self.stopping));
                }
                Err(wrong) => return self.break_off(now, id, wrong.0, said),
            }
        }
    }

    /// Gives the one final answer to a request, unless nobody waits for it any more.
    pub fn answer(&mut self, asker: Asker, code: Code, fields: &[(&str, &str)], body: Chain) {
        let Some(client) = self.clients.get_mut(&asker.client) else { return };
        if client.open.remove(&asker.stream).is_some() {
            client.output.append(frames::answer(&self.pool, asker.stream, code, fields, body));
        }
    }

    /// Answers what was never taken for a request.
    pub fn turn_away(&mut self, asker: Asker, code: Code) {
        if let Some(client) = self.clients.get_mut(&asker.client).filter(|client| !client.closing) {
            let nothing = Chain::new(&self.pool);
            client.output.append(frames::answer(&self.pool, asker.stream, code, &[], nothing));
        }
    }

    /// Writes as much as a client takes.
    pub fn flush(&mut self, now: Ms, id: ClientId, said: &mut Vec<Said>) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        while !client.output.is_empty() {
            match client.output.write_to(&*client.stream) {
                Ok(_) => client.used = now,
                Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock => return,
                Err(wrong) if wrong.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.lose(id, said),
            }
        }
        if client.closing {
            self.lose(id, said);
        }
    }

    /// Ends a connection whose frames can't be read any more.
    fn break_off(&mut self, now: Ms, id: ClientId, why: &str, said: &mut Vec<Said>) {
        self.malformed += 1;
        log_line!("a client is broken off: {why}");
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.closing = true;
        said.extend(client.open.drain().map(|(_, ticket)| Said::GivenUp(ticket)));
        let body = Chain::from_bytes(&self.pool, why.as_bytes());
        client.output.append(frames::answer(&self.pool, 0, Code::Failed, &[], body));
        self.flush(now, id, said);
    }

    fn lose(&mut self, id: ClientId, said: &mut Vec<Said>) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.held.remove(&id);
        self.handle.remove(client.token);
        said.extend(client.open.into_values().map(Said::GivenUp));
    }

    /// When `tick` is due.
    pub fn next(&self) -> Ms {
        self.next_sweep
    }

    /// Closes clients that do not take their answers, and those that have long been gone without a word.
    pub fn tick(&mut self, now: Ms, said: &mut Vec<Said>) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.limits.client_sweep;
        let over = |client: &Client| {
            let since = now - client.used;
            match (client.output.is_empty(), client.open.is_empty()) {
                (false, _) => since > self.limits.client_stall,
                (true, true) => since > self.limits.client_idle,
                (true, false) => false,
            }
        };
        let over: Vec<ClientId> = self.clients.iter().filter(|(_, c)| over(c)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.lose(id, said));
    }

    /// From here on every connection, also one that is yet to come, is told to bring nothing new.
    pub fn stop(&mut self, now: Ms, said: &mut Vec<Said>) {
        self.stopping = true;
        let ids: Vec<ClientId> = self.clients.keys().copied().collect();
        for id in ids {
            if let Some(client) = self.clients.get_mut(&id).filter(|client| !client.closing) {
                client.output.append(frames::no_more(&self.pool));
            }
            self.flush(now, id, said);
        }
    }

    /// Whether every answer has been written.
    pub fn written(&self) -> bool {
        self.clients.values().all(|client| client.output.is_empty())
    }

    /// Ends all connections in order, so that what was written still arrives.
    pub fn close(&mut self) {
        for client in self.clients.values() {
            // One that has ended by itself has nothing to be told.
            let _ = client.stream.shutdown(Shutdown::Write);
        }
    }
}

/// A request's fields; `None` where it lacks what it needs.
fn taken(asker: Asker, fields: &Fields, body: Chain, way: f64) -> Option<Taken> {
    let text = |name: &str| fields.get(name).unwrap_or_default();
    let class = fields.get("c")?;
    let id = fields.get("i")?;
    let wait: f64 = fields.get("d")?.parse().ok().filter(|wait: &f64| wait.is_finite())?;
    let object = fields.get("o")?;
    // It goes on to the caches as it stands, in a list that knows no quotes.
    let plain = |text: &str| !text.contains([',', '=']);
    if ![Some(class), Some(id), fields.get("known"), fields.get("k")].into_iter().flatten().all(plain) {
        return None;
    }
    let number = |name: &str| match fields.get(name) {
        Some(text) => text.parse::<u32>().ok(),
        None => Some(0),
    };
    let wish = Wish {
        class: class.to_string(),
        object: u64::from_str_radix(object, 16).ok()?,
        part: number("chunk")?,
        group: number("tag")?,
        size_kb: text("m").parse().ok().filter(|size: &f64| size.is_finite() && *size > 0.0).unwrap_or(0.0),
        repeat: text("r") == "1",
        budget: (wait - way).max(0.0),
    };
    let parcel = Parcel {
        id: id.to_string(),
        class: class.to_string(),
        object: object.to_string(),
        part: fields.get("chunk").unwrap_or("0").to_string(),
        known: fields.get("known").map(str::to_string),
        token: fields.get("k").map(str::to_string),
        body,
    };
    Some(Taken { asker, wish, parcel })
}
