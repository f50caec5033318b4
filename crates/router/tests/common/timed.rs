//! A stand-in that tells when each request came to this machine.
//!
//! On a full machine the thread that takes a connection in, and the one that reads it, get their turn up to half a second
//! later: by their own clock a request would seem to have been sent when it was read.

use std::cell::Cell;
use std::io::{self, BufReader, IoSliceMut, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;

use linnethook_quickstart::cache::{array, encode, fields};
use linnethook_quickstart::Answer;
use linnethook_testbed::recording::{now, Ms};
use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;

use super::Fields;

/// What is done about a request that came at that time, in Unix milliseconds; `None` leaves it open.
pub type Heeds = Arc<dyn Fn(Ms, &str, &Fields) -> Option<Answer> + Send + Sync>;

/// Reads, and keeps when the system had what was read last.
struct Stamped {
    stream: TcpStream,
    at: Cell<Ms>,
}

impl Read for Stamped {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut space = nix::cmsg_space!(TimeSpec);
        let mut parts = [IoSliceMut::new(buffer)];
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<()>(fd, &mut parts, Some(&mut space), MsgFlags::empty())?;
        let stamps = message.cmsgs()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(stamp) => Some(stamp),
            _ => None,
        });
        let at = stamps.map(|stamp| stamp.tv_sec() as f64 * 1e3 + stamp.tv_nsec() as f64 / 1e6);
        self.at.set(at.unwrap_or_else(now));
        Ok(message.bytes)
    }
}

/// Takes what comes to a listener, for as long as the test's process lasts.
pub fn serve(listener: TcpListener, heeds: Heeds) -> SocketAddr {
    let address = listener.local_addr().expect("its address");
    // Its connections have it from their beginning.
    setsockopt(&listener, ReceiveTimestampns, &true).expect("times of the system");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let heeds = heeds.clone();
            thread::spawn(move || talk(stream, &heeds));
        }
    });
    address
}

fn talk(stream: TcpStream, heeds: &Heeds) -> io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(Stamped { stream, at: Cell::new(0.0) });
    loop {
        let mut parts = array(&mut input)?.into_iter();
        let mut text = || parts.next().map(|part| String::from_utf8_lossy(&part).into_owned());
        let (command, id) = (text().unwrap_or_default(), text().unwrap_or_default());
        let answer = match command.as_str() {
            "ASK" => heeds(input.get_ref().at.get(), &id, &fields(&text().unwrap_or_default())),
            "QUIT" => None,
            _ => Some(Answer::with_status("well")),
        };
        if let Some(answer) = answer {
            output.write_all(&encode(&id, &answer))?;
        }
    }
}
