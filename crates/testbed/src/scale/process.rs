//! The processes of a run: they are started, signalled, asked for their counters, and ended by their ids, also
//! where the run itself is killed.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use super::places::{name, Places};
use super::{Failure, Form};

/// The counters of a router, by their names.
pub type Counters = HashMap<String, u64>;

/// What the log of a process had.
enum ProcessMessage {
    Listens,
    Counters(Counters),
    /// The process has ended; the last lines of its log.
    Ended(Vec<String>),
}

struct RunningLoad {
    child: Child,
    members: Vec<usize>,
    /// Its starts are numbered: what an earlier one says late does not count.
    start: u64,
}

/// Kills what is left of a run that was killed itself: a shell that reads ids until its input ends, and outlives what
/// is sent to all of the run at once.
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

    fn say(&mut self, sign: char, id: u32) -> io::Result<()> {
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
    running: BTreeMap<usize, RunningLoad>,
    guard: Guard,
    starts: u64,
    sender: Sender<(u64, usize, ProcessMessage)>,
    bytes_received: Receiver<(u64, usize, ProcessMessage)>,
}

impl Processes {
    pub fn new(program: &Path) -> io::Result<Self> {
        let (sender, bytes_received) = channel();
        let (program, running) = (program.to_path_buf(), BTreeMap::new());
        Ok(Self { program, running, guard: Guard::start()?, starts: 0, sender, bytes_received })
    }

    /// Starts a process with the files that its routers have; when it was started comes back.
    pub fn start(&mut self, places: &Places, process: usize) -> Result<Instant, Failure> {
        let members = places.processes[process].clone();
        let mut command = Command::new(&self.program);
        command.env_remove("LB_CONFIG").env_remove("LB_OPERATOR").stdin(Stdio::null()).stderr(Stdio::piped());
        match (places.forms[members[0]], &members[..]) {
            (Form::Real, [router]) => {
                let config = places.config(*router);
                command.env("LB_OPERATOR", config.with_extension("star")).env("LB_CONFIG", config);
            }
            _ => _ = command.arg("hollow").args(members.iter().map(|n| places.config(*n))),
        }
        let at = Instant::now();
        let mut child = command.spawn()?;
        self.starts += 1;
        self.guard.say('+', child.id())?;
        let log = child.stderr.take();
        self.running.insert(process, RunningLoad { child, members: members.clone(), start: self.starts });
        let (start, sender) = (self.starts, self.sender.clone());
        let log = log.ok_or("a process without a log")?;
        thread::Builder::new().stack_size(128 << 10).spawn(move || read(log, start, &members, &sender))?;
        Ok(at)
    }

    /// Ends a process outright.
    pub fn kill(&mut self, process: usize) {
        if let Some(mut running) = self.running.remove(&process) {
            let _ = running.child.kill();
            let _ = running.child.wait();
            let _ = self.guard.say('-', running.child.id());
        }
    }

    /// All routers that run.
    pub fn routers(&self) -> Vec<usize> {
        self.running.values().flat_map(|running| running.members.iter().copied()).collect()
    }

    /// Waits until those routers listen.
    pub fn until_up(&mut self, routers: &[usize], until: Instant) -> Result<(), Failure> {
        let mut left = routers.to_vec();
        while !left.is_empty() {
            let what = format!("{} routers do not start", left.len());
            if let (router, ProcessMessage::Listens) = self.next(until, &what)? {
                left.retain(|n| *n != router);
            }
        }
        Ok(())
    }

    /// What a process that still runs has said.
    fn next(&mut self, until: Instant, what: &str) -> Result<(usize, ProcessMessage), Failure> {
        loop {
            let wait = until.saturating_duration_since(Instant::now());
            let (start, router, bytes_received) = match self.bytes_received.recv_timeout(wait) {
                Ok(bytes_received) => bytes_received,
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {
                    return Err(format!("no more time: {what}").into());
                }
            };
            if !self.running.values().any(|running| running.start == start) {
                continue;
            }
            if let ProcessMessage::Ended(lines) = bytes_received {
                return Err(format!("the process of {} has ended: {lines:?}", name(router)).into());
            }
            return Ok((router, bytes_received));
        }
    }

    /// The counters of all routers that run.
    pub fn counters(&mut self, until: Instant) -> Result<BTreeMap<usize, Counters>, Failure> {
        let wanted = self.routers().len();
        for running in self.running.values() {
            signal(&running.child, Signal::SIGUSR1)?;
        }
        let mut all = BTreeMap::new();
        while all.len() < wanted {
            let what = format!("{} routers tell no counters", wanted - all.len());
            if let (router, ProcessMessage::Counters(counters)) = self.next(until, &what)? {
                all.insert(router, counters);
            }
        }
        Ok(all)
    }

    /// Processor time by router since its start, in seconds: that of its thread, and a share of what others of the
    /// process took.
    pub fn processor(&self) -> io::Result<BTreeMap<usize, f64>> {
        let mut all = BTreeMap::new();
        for running in self.running.values() {
            let (mut own, mut shared) = (BTreeMap::new(), 0.0);
            let tasks = PathBuf::from(format!("/proc/{}/task", running.child.id()));
            for task in std::fs::read_dir(tasks)? {
                let task = task?.path();
                let read = |file: &str| std::fs::read_to_string(task.join(file));
                let (Ok(called), Ok(stat)) = (read("comm"), read("schedstat")) else { continue };
                let spent = stat.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok());
                let spent = spent.ok_or(io::ErrorKind::InvalidData)? / 1e9;
                let called = called.trim();
                match running.members.iter().find(|n| name(**n) == called) {
                    Some(router) => _ = own.insert(*router, spent),
                    None => shared += spent,
                }
            }
            let share = shared / running.members.len() as f64;
            all.extend(running.members.iter().map(|n| (*n, own.get(n).copied().unwrap_or(0.0) + share)));
        }
        Ok(all)
    }

    /// Resident memory by router, in bytes: that of its process, divided by those in it.
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
        // All at once, then each is waited for.
        self.running.values_mut().for_each(|running| _ = running.child.kill());
        let all: Vec<usize> = self.running.keys().copied().collect();
        all.into_iter().for_each(|process| self.kill(process));
    }
}

fn signal(child: &Child, signal: Signal) -> io::Result<()> {
    let id = i32::try_from(child.id()).map_err(io::Error::other)?;
    kill(Pid::from_raw(id), signal).map_err(io::Error::from)
}

/// Reads a log to its end and passes on what counts.
fn read(log: ChildStderr, start: u64, members: &[usize], to: &Sender<(u64, usize, ProcessMessage)>) {
    let mut last = Vec::new();
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        // Lines of a process with several routers have the name of each.
        let router = match members {
            [router] => Some(*router),
            _ => members.iter().copied().find(|n| line.starts_with(&format!("linnethook: {}: ", name(*n)))),
        };
        let bytes_received = match line.split_once("counters ") {
            Some((_, counters)) => Some(ProcessMessage::Counters(numbers(counters))),
            None if line.contains(" listens on ") => Some(ProcessMessage::Listens),
            None => None,
        };
        if let (Some(router), Some(bytes_received)) = (router, bytes_received) {
            if to.send((start, router, bytes_received)).is_err() {
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

/// `name=count` for each.
fn numbers(line: &str) -> Counters {
    let pair = |pair: &str| {
        let (name, count) = pair.split_once('=')?;
        Some((name.to_string(), count.parse().ok()?))
    };
    line.split_whitespace().filter_map(pair).collect()
}

/// How long anything may take that a process is asked for.
pub const PATIENCE: Duration = Duration::from_secs(30);
