//! Owns a hollow process: many routers in one, each on a thread and a loop of its own, so that a fleet larger than a
//! machine's processes can be run with the very control code and its real sockets.
//!
//! What belongs to the process is kept here once: signals come in here and go to all routers, the log has the names of
//! the threads, and one router that fails ends them all. Must never run a router in any way but [`serve`].

use std::path::{Path, PathBuf};
use std::thread;

use calloop::channel::{channel, Channel, Event, Sender};
use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use linnethook_operator_config::OperatorConfig;

use crate::config::{Config, Failure};
use crate::{log, operator, serve, Router, SIGNALS};

/// The routers of this process as its first thread sees them.
#[derive(Default)]
struct Hollow {
    signals: Vec<Sender<Signal>>,
    running: usize,
    failure: Option<String>,
}

impl Hollow {
    fn pass_on(&self, signal: Signal) {
        // One that has ended hears nothing any more.
        self.signals.iter().for_each(|router| _ = router.send(signal));
    }

    fn ended(&mut self, end: Result<(), String>) {
        self.running -= 1;
        if let Err(why) = end {
            self.failure.get_or_insert(why);
            self.pass_on(Signal::SIGTERM);
        }
    }
}

/// Tells the first thread how a router ended, also where its thread panics.
struct End {
    to: Sender<Result<(), String>>,
    how: Result<(), String>,
}

impl Drop for End {
    fn drop(&mut self) {
        let _ = self.to.send(std::mem::replace(&mut self.how, Ok(())));
    }
}

/// Runs a router for each configuration until all have ended. Its operator file stands beside it, with the extension
/// `star`; one without is no member of any fleet.
pub fn run(files: &[PathBuf]) -> Result<(), Failure> {
    let mut parts = Vec::new();
    for path in files {
        // One after another: each is read by a process of its own.
        let file = path.with_extension("star");
        let operator = file.exists().then(|| operator(&file)).transpose()?.map(|operator| (file, operator));
        parts.push((path.clone(), Config::read(path)?, operator));
    }
    let json = |(_, operator): &(PathBuf, OperatorConfig)| operator.log.is_some_and(|log| log.json);
    log::begin_named(parts.iter().any(|(.., operator)| operator.as_ref().is_some_and(json)));
    let mut events: EventLoop<'static, Hollow> = EventLoop::try_new()?;
    // Before any other thread is there: they are not to take signals either.
    let signals = Signals::new(&SIGNALS)?;
    let signalled = |event: calloop::signals::Event, _: &mut (), hollow: &mut Hollow| {
        hollow.pass_on(event.signal());
    };
    events.handle().insert_source(signals, signalled).map_err(|wrong| wrong.error)?;
    let (to, ends) = channel();
    let ended = |event: Event<Result<(), String>>, _: &mut (), hollow: &mut Hollow| {
        if let Event::Msg(end) = event {
            hollow.ended(end);
        }
    };
    events.handle().insert_source(ends, ended).map_err(|wrong| wrong.error)?;
    let mut hollow = Hollow::default();
    for (path, config, operator) in parts {
        let (signals, heard) = channel();
        let end = End { to: to.clone(), how: Err("a router's thread panicked".to_string()) };
        let name = config.file.name.clone();
        let router = move || {
            let mut end = end;
            end.how = one(&path, config, operator, heard).map_err(|why| why.to_string());
        };
        // Also one that does not begin tells its end.
        hollow.running += 1;
        hollow.signals.push(signals);
        if let Err(wrong) = thread::Builder::new().name(name).spawn(router) {
            hollow.failure.get_or_insert(wrong.to_string());
        }
    }
    while hollow.running > 0 {
        events.dispatch(None, &mut hollow)?;
    }
    hollow.failure.map_or(Ok(()), |why| Err(why.into()))
}

/// One of them, on its own thread.
fn one(
    path: &Path,
    config: Config,
    operator: Option<(PathBuf, OperatorConfig)>,
    signals: Channel<Signal>,
) -> Result<(), Failure> {
    let events: EventLoop<'static, Router> = EventLoop::try_new()?;
    let signalled = |event: Event<Signal>, _: &mut (), router: &mut Router| {
        if let Event::Msg(signal) = event {
            router.signalled(signal);
        }
    };
    events.handle().insert_source(signals, signalled).map_err(|wrong| wrong.error.to_string())?;
    serve(events, path, config, operator)
}
