//! Several routers in one process, each on a thread and an event loop of its own, so that a fleet can be larger than the
//! processes of a machine.
//!
//! The first thread handles the signals and passes them to all routers; a router that fails ends them all.

use std::path::{Path, PathBuf};
use std::thread;

use calloop::channel::{channel, Channel, Event, Sender};
use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use linnethook_operator_config::OperatorConfig;

use crate::config::Config;
use crate::event_loop::{read_operator, serve, SIGNALS};
use crate::log;
use crate::router::Router;
use crate::start_error::StartError;

/// How a router of this process ended.
type RouterResult = Result<(), String>;

/// The routers of this process, as its first thread sees them.
#[derive(Default)]
struct Routers {
    signals: Vec<Sender<Signal>>,
    running: usize,
    first_failure: Option<String>,
}

impl Routers {
    fn broadcast(&self, signal: Signal) {
        // A router that has ended receives nothing any more.
        self.signals.iter().for_each(|router| _ = router.send(signal));
    }

    fn on_ended(&mut self, result: RouterResult) {
        self.running -= 1;
        if let Err(reason) = result {
            self.first_failure.get_or_insert(reason);
            self.broadcast(Signal::SIGTERM);
        }
    }
}

/// Reports to the first thread how a router ended, also where its thread panics.
struct ResultGuard {
    sender: Sender<RouterResult>,
    result: RouterResult,
}

impl Drop for ResultGuard {
    fn drop(&mut self) {
        let _ = self.sender.send(std::mem::replace(&mut self.result, Ok(())));
    }
}

/// Runs a router for each configuration until all have ended. Its operator file is beside it, with the extension `star`;
/// a router without one is no member of a fleet.
///
/// # Errors
///
/// The first failure of a router, and errors of the system.
pub fn run(files: &[PathBuf]) -> Result<(), StartError> {
    let mut parts = Vec::new();
    for path in files {
        // One after the other: each is evaluated by a child process.
        let file = path.with_extension("star");
        let operator = file.exists().then(|| read_operator(&file)).transpose()?;
        let operator = operator.map(|operator| (file, operator));
        parts.push((path.clone(), Config::read(path)?, operator));
    }
    let json = |(_, operator): &(PathBuf, OperatorConfig)| operator.log.is_some_and(|log| log.json);
    log::start_with_thread_names(parts.iter().any(|(.., operator)| operator.as_ref().is_some_and(json)));
    let mut events: EventLoop<'static, Routers> = EventLoop::try_new()?;
    // Before there are other threads, which must not receive signals.
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
    for (path, config, operator) in parts {
        start(&mut routers, &sender, path, config, operator);
    }
    while routers.running > 0 {
        events.dispatch(None, &mut routers)?;
    }
    routers.first_failure.map_or(Ok(()), |reason| Err(StartError::Router(reason)))
}

/// Starts a router on a thread of its own.
fn start(
    routers: &mut Routers,
    sender: &Sender<RouterResult>,
    path: PathBuf,
    config: Config,
    operator: Option<(PathBuf, OperatorConfig)>,
) {
    let (signal_sender, signals) = channel();
    let result = Err("a router's thread panicked".to_string());
    let guard = ResultGuard { sender: sender.clone(), result };
    let name = config.file.name.clone();
    let router = move || {
        let mut guard = guard;
        guard.result = serve_one(&path, config, operator, signals).map_err(|error| error.to_string());
    };
    // Counted before it runs: a thread that can't be started reports its end too.
    routers.running += 1;
    routers.signals.push(signal_sender);
    if let Err(error) = thread::Builder::new().name(name).spawn(router) {
        routers.first_failure.get_or_insert(error.to_string());
    }
}

/// Runs a router on this thread.
fn serve_one(
    path: &Path,
    config: Config,
    operator: Option<(PathBuf, OperatorConfig)>,
    signals: Channel<Signal>,
) -> Result<(), StartError> {
    let events: EventLoop<'static, Router> = EventLoop::try_new()?;
    let on_signal = |event: Event<Signal>, _: &mut (), router: &mut Router| {
        if let Event::Msg(signal) = event {
            router.on_signal(signal);
        }
    };
    events.handle().insert_source(signals, on_signal).map_err(|error| error.error)?;
    serve(events, path, config, operator)
}
