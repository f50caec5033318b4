//! Several routers in one process, each with its own thread and event loop, so that a fleet on one machine
//! can have more routers than processes.
//!
//! The main thread handles signals and forwards them to all routers. If one router fails, all are shut down.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::thread;

use calloop::channel::{channel, Channel, Event, Sender};
use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use linnethook_operator_config::OperatorConfig;

use crate::config::Config;
use crate::event_loop::{read_operator, serve, SIGNALS, WAIT_ERROR_PAUSE};
use crate::log::{self, log_line};
use crate::router::Router;
use crate::start_error::StartError;

/// Why one of several routers in a process failed to start, or ended with an error.
#[derive(Debug)]
pub enum RouterError {
    /// The router failed to start, or its event loop failed.
    Failed(StartError),
    /// The router's thread panicked.
    Panicked,
    /// The router's thread could not be started.
    Thread(io::Error),
}

impl fmt::Display for RouterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(error) => error.fmt(f),
            Self::Panicked => f.write_str("a router's thread panicked"),
            Self::Thread(error) => write!(f, "thread of a router could not be started: {error}"),
        }
    }
}

impl std::error::Error for RouterError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Failed(error) => Some(error),
            Self::Panicked => None,
            Self::Thread(error) => Some(error),
        }
    }
}

/// The result of a router in this process.
type RouterResult = Result<(), RouterError>;

/// The main thread's state of the routers in this process.
#[derive(Default)]
struct Routers {
    signals: Vec<Sender<Signal>>,
    running: usize,
    first_failure: Option<RouterError>,
}

impl Routers {
    /// Forwards a signal to all routers.
    fn broadcast(&self, signal: Signal) {
        // Sending fails for a router that has ended.
        self.signals.iter().for_each(|router| _ = router.send(signal));
    }

    /// Records that a router has ended; if it failed, shuts the others down.
    fn on_ended(&mut self, result: RouterResult) {
        self.running -= 1;
        if let Err(error) = result {
            self.first_failure.get_or_insert(error);
            self.broadcast(Signal::SIGTERM);
        }
    }
}

/// Reports a router's result to the main thread when dropped, also if its thread panics.
struct ResultGuard {
    sender: Sender<RouterResult>,
    result: RouterResult,
}

impl Drop for ResultGuard {
    fn drop(&mut self) {
        let _ = self.sender.send(std::mem::replace(&mut self.result, Ok(())));
    }
}

/// Runs a router for each configuration file until all have ended. The operator file of a router is next to
/// its configuration file, with the extension `star`; a router without one is not a member of a fleet.
///
/// # Errors
///
/// The first error of a router, and errors of the system.
pub fn run(files: &[PathBuf]) -> Result<(), StartError> {
    // Operator files are evaluated one at a time, each in a child process.
    let setups = files.iter().map(|path| RouterSetup::read(path)).collect::<Result<Vec<_>, _>>()?;
    log::start_with_thread_names(setups.iter().any(RouterSetup::logs_json));
    let mut events: EventLoop<'static, Routers> = EventLoop::try_new()?;
    // Signals are blocked before other threads start, so that only the main thread receives them.
    let signals = Signals::new(&SIGNALS)?;
    let on_signal = |event: calloop::signals::Event, _: &mut (), routers: &mut Routers| {
        routers.broadcast(event.signal());
    };
    events.handle().insert_source(signals, on_signal).map_err(|error| error.error)?;
    let (sender, results) = channel();
    let on_result = |event: Event<RouterResult>, _: &mut (), routers: &mut Routers| {
        if let Event::Msg(result) = event {
            routers.on_ended(result);
        }
    };
    events.handle().insert_source(results, on_result).map_err(|error| error.error)?;
    let mut routers = Routers::default();
    for setup in setups {
        start(&mut routers, &sender, setup);
    }
    while routers.running > 0 {
        if let Err(error) = events.dispatch(None, &mut routers) {
            log_line!(reason = %error, "waiting for events failed");
            thread::sleep(WAIT_ERROR_PAUSE);
        }
    }
    routers.first_failure.map_or(Ok(()), |error| Err(StartError::Router(Box::new(error))))
}

/// The configuration of one router.
struct RouterSetup {
    path: PathBuf,
    config: Config,
    /// The path and content of the operator file, if there is one.
    operator: Option<(PathBuf, OperatorConfig)>,
}

impl RouterSetup {
    fn read(path: &Path) -> Result<Self, StartError> {
        let file = path.with_extension("star");
        let operator = file.exists().then(|| read_operator(&file)).transpose()?;
        let operator = operator.map(|operator| (file, operator));
        Ok(Self { path: path.to_path_buf(), config: Config::read_at_start(path)?, operator })
    }

    fn logs_json(&self) -> bool {
        let log = self.operator.as_ref().and_then(|(_, operator)| operator.log);
        log.is_some_and(|log| log.json)
    }
}

/// Starts a router on its own thread.
fn start(routers: &mut Routers, sender: &Sender<RouterResult>, setup: RouterSetup) {
    let (signal_sender, signals) = channel();
    let guard = ResultGuard { sender: sender.clone(), result: Err(RouterError::Panicked) };
    let name = setup.config.file.name.clone();
    let router = move || {
        let mut guard = guard;
        guard.result = serve_one(setup, signals).map_err(RouterError::Failed);
    };
    // Counted before the thread starts: the guard reports a result even if the thread can't be started.
    routers.running += 1;
    routers.signals.push(signal_sender);
    if let Err(error) = thread::Builder::new().name(name).spawn(router) {
        routers.first_failure.get_or_insert(RouterError::Thread(error));
    }
}

/// Runs a router on the current thread.
fn serve_one(setup: RouterSetup, signals: Channel<Signal>) -> Result<(), StartError> {
    let RouterSetup { path, config, operator } = setup;
    let events: EventLoop<'static, Router> = EventLoop::try_new()?;
    let on_signal = |event: Event<Signal>, _: &mut (), router: &mut Router| {
        if let Event::Msg(signal) = event {
            router.on_signal(signal);
        }
    };
    events.handle().insert_source(signals, on_signal).map_err(|error| error.error)?;
    serve(events, &path, config, operator)
}
