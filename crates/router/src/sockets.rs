//! Non-blocking TCP sockets, and their registration with the event loop.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Socket, Type};

/// Listens at an address, with a backlog of at most `backlog` connections that wait to be accepted.
///
/// # Errors
///
/// Errors of the system, for example an address in use.
pub fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

/// Starts a connect without waiting for its result.
///
/// # Errors
///
/// Errors of the system. A connect in progress is not an error.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(libc::EINPROGRESS) => Err(error),
        _ => Ok(socket.into()),
    }
}

/// Registers a listener: `accept` is called while connections are waiting. It returns false if no more can be
/// accepted for now; the listener is then disabled.
///
/// # Errors
///
/// Errors of the system.
pub fn register_listener<W: 'static>(
    handle: &LoopHandle<'static, W>,
    listener: TcpListener,
    accept: fn(&mut W, &TcpListener) -> bool,
) -> io::Result<RegistrationToken> {
    let source = Generic::new(listener, Interest::READ, Mode::Level);
    let on_ready = move |_: Readiness, listener: &mut NoIoDrop<TcpListener>, handler: &mut W| {
        Ok(if accept(handler, listener) { PostAction::Continue } else { PostAction::Disable })
    };
    handle.insert_source(source, on_ready).map_err(|error| io::Error::other(error.error))
}

/// Registers a connection: `on_ready` is called each time that it becomes readable or writable.
///
/// # Errors
///
/// Errors of the system.
pub fn register_stream<W: 'static>(
    handle: &LoopHandle<'static, W>,
    stream: &Rc<TcpStream>,
    on_ready: impl Fn(&mut W, Readiness) + 'static,
) -> io::Result<RegistrationToken> {
    let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
    let on_ready = move |readiness: Readiness, _: &mut _, handler: &mut W| {
        on_ready(handler, readiness);
        Ok(PostAction::Continue)
    };
    handle.insert_source(source, on_ready).map_err(|error| io::Error::other(error.error))
}
