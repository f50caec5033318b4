//! A listener that accepts connections at once, and later keeps new ones pending for a while.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::Socket;

/// The backlog while connections come up at once.
const OPEN_BACKLOG: i32 = 128;
/// The interval between looks for a new connection.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The listener.
pub struct LateListener {
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connection that fills the backlog while new ones are held.
    filler: Option<TcpStream>,
}

impl LateListener {
    /// Binds a listener whose connections come up at once.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
        listener.set_nonblocking(true).expect("accepting doesn't block");
        let address = listener.local_addr().expect("a bound address");
        Self { address, listener, filler: None }
    }

    /// Keeps new connections pending: the system drops their SYN, and the connecting side repeats it a second
    /// later.
    pub fn hold(&mut self) {
        self.set_backlog(0);
        self.filler = Some(TcpStream::connect(self.address).expect("the first connection is established"));
    }

    /// Lets new connections come up again, the pending ones with their next SYN.
    pub fn release(&mut self) {
        self.set_backlog(OPEN_BACKLOG);
        let filler = self.accept_within(Duration::from_secs(1));
        assert!(filler.is_some(), "the connection that filled the backlog");
        self.filler = None;
    }

    fn set_backlog(&self, backlog: i32) {
        let socket = Socket::from(self.listener.try_clone().expect("another descriptor"));
        socket.listen(backlog).expect("it listens");
    }

    /// The next connection, if one comes up within this time.
    pub fn accept_within(&self, time: Duration) -> Option<TcpStream> {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).expect("reading blocks");
                return Some(stream);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }
}
