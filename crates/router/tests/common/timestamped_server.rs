//! A server that records when each request reached this machine, by the kernel's receive time stamps.
//!
//! On a busy machine the threads that accept and read a connection may be scheduled up to half a second late.
//! By their own clock a request would appear to have been sent when it was read.

use std::cell::Cell;
use std::io::{self, BufReader, IoSliceMut, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;

use linnethook_quickstart::cache::{array, encode, fields};
use linnethook_quickstart::Answer;
use linnethook_testbed::recording::{now, Ms};
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;

use super::Fields;

/// Handles a request, given its arrival time in Unix milliseconds, its id and its fields. `None` leaves it
/// unanswered.
pub type RequestHandler = Arc<dyn Fn(Ms, &str, &Fields) -> Option<Answer> + Send + Sync>;

/// A stream that remembers when the kernel received the bytes of the last read.
pub struct TimestampedStream {
    stream: TcpStream,
    received_at: Cell<Ms>,
}

impl TimestampedStream {
    /// Wraps a connection that was accepted from a listener with time stamps.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, received_at: Cell::new(0.0) }
    }

    /// When the bytes of the last read reached this machine, in Unix milliseconds.
    pub fn received_at(&self) -> Ms {
        self.received_at.get()
    }
}

impl Read for TimestampedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut space = nix::cmsg_space!(TimeSpec);
        let mut parts = [IoSliceMut::new(buffer)];
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<()>(fd, &mut parts, Some(&mut space), MsgFlags::empty())?;
        let timestamp = message.cmsgs()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(timestamp) => Some(timestamp),
            _ => None,
        });
        let received_at = timestamp.map(|time| time.tv_sec() as f64 * 1e3 + time.tv_nsec() as f64 / 1e6);
        self.received_at.set(received_at.unwrap_or_else(now));
        Ok(message.bytes)
    }
}

/// The connections that a server has accepted, to be reset by a test.
pub type AcceptedConnections = Arc<Mutex<Vec<TcpStream>>>;

/// Serves all connections to a listener until the test process ends; returns the listener's address.
pub fn serve(listener: TcpListener, handler: RequestHandler) -> SocketAddr {
    serve_and_keep(listener, handler, None)
}

/// The same; the accepted connections are added to `accepted`.
pub fn serve_and_keep(
    listener: TcpListener,
    handler: RequestHandler,
    accepted: Option<AcceptedConnections>,
) -> SocketAddr {
    let address = listener.local_addr().expect("the listener's address");
    // Accepted connections inherit the option, so that it holds from their first byte.
    setsockopt(&listener, ReceiveTimestampns, &true).expect("kernel time stamps are enabled");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            if let (Some(accepted), Ok(copy)) = (&accepted, stream.try_clone()) {
                accepted.lock().expect("the connections").push(copy);
            }
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &RequestHandler) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(TimestampedStream::new(stream));
    loop {
        let mut parts = array(&mut input)?.into_iter();
        let mut text = || parts.next().map(|part| String::from_utf8_lossy(&part).into_owned());
        let (command, id) = (text().unwrap_or_default(), text().unwrap_or_default());
        let answer = match command.as_str() {
            "ASK" => handler(input.get_ref().received_at(), &id, &fields(&text().unwrap_or_default())),
            "QUIT" => None,
            _ => Some(Answer::with_status("well")),
        };
        if let Some(answer) = answer {
            output.write_all(&encode(&id, &answer))?;
        }
    }
}
