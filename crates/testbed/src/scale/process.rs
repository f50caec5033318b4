//! The processes of a run: starts, signals, counters, and their end by process id, also when the run itself
//! is killed.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::layout::{name, Layout};
use super::{Failure, Form};

/// The counters of a router, by name.
pub type Counters = HashMap<String, u64>;

/// A relevant line in the log of a process, or its end.
enum ProcessMessage {
    Listens,
    Counters(Counters),
    /// The process has ended; the last lines of its log.
    Ended(Vec<String>),
}

struct RunningProcess {
    child: Child,
    members: Vec<usize>,
    /// The number of this start: late messages of an earlier start are ignored.
    start: u64,
}

/// Kills the remaining processes of a run that was killed itself: a shell that reads process ids until its
/// input ends, and ignores signals that are sent to the entire process group.
struct Guard(Child);

const GUARD: &str = "trap '' HUP INT TERM; p=''; while read -r s i; do case $s in +) p=\"$p $i\";; \
    *) n=''; for q in $p; do [ \"$q\" = \"$i\" ] || n=\"$n $q\"; done; p=$n;; esac; done; \
    [ -z \"$p\" ] || kill -9 $p";

impl Guard {
    fn start() -> io::Result<Self> {
        let mut command = Command::new("sh");
        command.args(["-c", GUARD]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        command.spawn().map(Self)
    }

    fn send(&mut self, sign: char, id: u32) -> io::Result<()> {
        let input = self.0.stdin.as_mut().ok_or(io::ErrorKind::BrokenPipe)?;
        writeln!(input, "{sign} {id}")?;
        input.flush()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.0.stdin.take());
        let _ = self.0.wait();
    }
}

/// All processes of a run, by their numbers.
pub struct Processes {
    program: PathBuf,
    running: BTreeMap<usize, RunningProcess>,
    guard: Guard,
    starts: u64,
    sender: Sender<(u64, usize, ProcessMessage)>,
    messages: Receiver<(u64, usize, ProcessMessage)>,
}

impl Processes {
    pub fn new(program: &Path) -> io::Result<Self> {
        let (sender, messages) = channel();
        let (program, running) = (program.to_path_buf(), BTreeMap::new());
        Ok(Self { program, running, guard: Guard::start()?, starts: 0, sender, messages })
    }

    /// Starts a process with the files of its routers; returns the time of the start.
    pub fn start(&mut self, layout: &Layout, process: usize) -> Result<Instant, Failure> {
        let members = layout.processes[process].clone();
        let mut command = Command::new(&self.program);
        command.env_remove("LB_CONFIG").env_remove("LB_OPERATOR").stdin(Stdio::null()).stderr(Stdio::piped());
        match (layout.forms[members[0]], &members[..]) {
            (Form::Real, [router]) => {
                let config = layout.config(*router);
                command.env("LB_OPERATOR", config.with_extension("star")).env("LB_CONFIG", config);
            }
            _ => _ = command.arg("hollow").args(members.iter().map(|n| layout.config(*n))),
        }
        let at = Instant::now();
        let mut child = command.spawn()?;
        self.starts += 1;
        self.guard.send('+', child.id())?;
        let log = child.stderr.take();
        self.running.insert(process, RunningProcess { child, members: members.clone(), start: self.starts });
        let (start, sender) = (self.starts, self.sender.clone());
        let log = log.ok_or("a process without a log")?;
        thread::Builder::new().stack_size(128 << 10).spawn(move || read(log, start, &members, &sender))?;
        Ok(at)
    }

    /// Kills a process.
    pub fn kill(&mut self, process: usize) {
        if let Some(mut running) = self.running.remove(&process) {
            let _ = running.child.kill();
            let _ = running.child.wait();
            let _ = self.guard.send('-', running.child.id());
        }
    }

    /// All running routers.
    pub fn routers(&self) -> Vec<usize> {
        self.running.values().flat_map(|running| running.members.iter().copied()).collect()
    }

    /// Waits until these routers listen.
    pub fn until_up(&mut self, routers: &[usize], until: Instant) -> Result<(), Failure> {
        let mut missing = routers.to_vec();
        while !missing.is_empty() {
            let what = format!("waiting for {} routers to start", missing.len());
            if let (router, ProcessMessage::Listens) = self.next(until, &what)? {
                missing.retain(|n| *n != router);
            }
        }
        Ok(())
    }

    /// The next message of a running process; `what` says what is waited for.
    fn next(&mut self, until: Instant, what: &str) -> Result<(usize, ProcessMessage), Failure> {
        loop {
            let wait = until.saturating_duration_since(Instant::now());
            let (start, router, message) = match self.messages.recv_timeout(wait) {
                Ok(message) => message,
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    return Err(format!("timed out: {what}").into());
                }
            };
            if !self.running.values().any(|running| running.start == start) {
                continue;
            }
            if let ProcessMessage::Ended(lines) = message {
                return Err(format!("the process of {} has ended: {lines:?}", name(router)).into());
            }
            return Ok((router, message));
        }
    }

    /// The counters of all running routers.
    pub fn counters(&mut self, until: Instant) -> Result<BTreeMap<usize, Counters>, Failure> {
        let wanted = self.routers().len();
        for running in self.running.values() {
            signal(&running.child, Signal::SIGUSR1)?;
        }
        let mut all = BTreeMap::new();
        while all.len() < wanted {
            let what = format!("waiting for the counters of {} routers", wanted - all.len());
            if let (router, ProcessMessage::Counters(counters)) = self.next(until, &what)? {
                all.insert(router, counters);
            }
        }
        Ok(all)
    }

    /// Processor time of each router since its start, in seconds: that of its own thread, and a share of that
    /// of the process's other threads.
    pub fn processor(&self) -> io::Result<BTreeMap<usize, f64>> {
        let mut all = BTreeMap::new();
        for running in self.running.values() {
            let (mut own, mut shared) = (BTreeMap::new(), 0.0);
            let tasks = PathBuf::from(format!("/proc/{}/task", running.child.id()));
            for task in std::fs::read_dir(tasks)? {
                let task = task?.path();
                let read = |file: &str| std::fs::read_to_string(task.join(file));
                let (Ok(thread_name), Ok(stat)) = (read("comm"), read("schedstat")) else { continue };
                let processor_time = stat.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok());
                let processor_time = processor_time.ok_or(io::ErrorKind::InvalidData)? / 1e9;
                let thread_name = thread_name.trim();
                match running.members.iter().find(|n| name(**n) == thread_name) {
                    Some(router) => _ = own.insert(*router, processor_time),
                    None => shared += processor_time,
                }
            }
            let share = shared / running.members.len() as f64;
            all.extend(running.members.iter().map(|n| (*n, own.get(n).copied().unwrap_or(0.0) + share)));
        }
        Ok(all)
    }

    /// Resident memory of each router, in bytes: that of its process, divided by the number of its routers.
    pub fn memory(&self) -> io::Result<BTreeMap<usize, f64>> {
        let mut all = BTreeMap::new();
        for running in self.running.values() {
            let statm = std::fs::read_to_string(format!("/proc/{}/statm", running.child.id()))?;
            let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
            let bytes = pages.ok_or(io::ErrorKind::InvalidData)? * 4_096.0;
            let share = bytes / running.members.len() as f64;
            all.extend(running.members.iter().map(|n| (*n, share)));
        }
        Ok(all)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        // Signals all processes before it waits for each.
        self.running.values_mut().for_each(|running| _ = running.child.kill());
        let all: Vec<usize> = self.running.keys().copied().collect();
        all.into_iter().for_each(|process| self.kill(process));
    }
}

fn signal(child: &Child, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(child.id()).map_err(io::Error::other)?;
    kill(Pid::from_raw(id), signal).map_err(io::Error::from)
}

/// Reads a log to its end, and sends the relevant lines as messages.
fn read(log: ChildStderr, start: u64, members: &[usize], to: &Sender<(u64, usize, ProcessMessage)>) {
    let mut last = Vec::new();
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        // In the log of a process with several routers each line has the name of its router.
        let router = match members {
            [router] => Some(*router),
            _ => members.iter().copied().find(|n| line.starts_with(&format!("linnethook: {}: ", name(*n)))),
        };
        let message = match line.split_once("counters ") {
            Some((_, counters)) => Some(ProcessMessage::Counters(numbers(counters))),
            None if line.contains(" listens on ") => Some(ProcessMessage::Listens),
            None => None,
        };
        if let (Some(router), Some(message)) = (router, message) {
            if to.send((start, router, message)).is_err() {
                return;
            }
        }
        last.push(line);
        if last.len() > 8 {
            last.remove(0);
        }
    }
    let _ = to.send((start, members[0], ProcessMessage::Ended(last)));
}

/// Parses counters in the form `name=count name=count`.
fn numbers(line: &str) -> Counters {
    let pair = |pair: &str| {
        let (name, count) = pair.split_once('=')?;
        Some((name.to_string(), count.parse().ok()?))
    };
    line.split_whitespace().filter_map(pair).collect()
}

/// Time-out for commands and counters.
pub const TIMEOUT: Duration = Duration::from_secs(30);
