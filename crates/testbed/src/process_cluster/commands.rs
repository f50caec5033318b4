//! Files, logs and control sockets of routers, and commands on those sockets.

use std::io;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{wait, ProcessCluster, PATIENCE};

impl ProcessCluster {
    /// Waits for the next line of a router's log that contains `part`, and returns it.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn logged(&self, router: &str, part: &str) -> io::Result<String> {
        let process = self.routers.get(router).and_then(|router| router.process.as_ref());
        wait(&process.ok_or(io::ErrorKind::NotFound)?.log, part)
    }

    /// The process id of a router; `None` if it does not run.
    pub fn process_id(&self, router: &str) -> Option<u32> {
        self.routers.get(router)?.process.as_ref().map(|process| process.child.id())
    }

    /// The control socket of a router; it replaces `SOCKET` in operator files.
    pub fn socket(&self, router: &str) -> PathBuf {
        self.folder.join(format!("{router}.sock"))
    }

    /// The operator file of a router.
    pub fn operator_file(&self, router: &str) -> PathBuf {
        self.folder.join(format!("{router}.star"))
    }

    /// Writes a file into the cluster's folder; returns its path.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn write_file(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text).map(|()| path)
    }

    /// Runs a command of the default program.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn command(&self, arguments: &[&str]) -> io::Result<Output> {
        Command::new(&self.program).args(arguments).stdin(Stdio::null()).output()
    }

    /// Runs a command on the control socket of a router; returns its output as JSON.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn query(&self, router: &str, arguments: &[&str]) -> io::Result<Value> {
        let socket = self.socket(router).display().to_string();
        let output = self.command(&[arguments, &["--socket", &socket, "--format", "json"]].concat())?;
        match output.status.success() {
            true => Ok(serde_json::from_slice(&output.stdout)?),
            false => Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned())),
        }
    }

    /// Repeats a command until its output fulfils a condition, or 20 s have passed; returns that output.
    /// `what` names the condition in the error.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn until(
        &self,
        router: &str,
        arguments: &[&str],
        what: &str,
        fits: impl Fn(&Value) -> bool,
    ) -> io::Result<Value> {
        let end = Instant::now() + PATIENCE;
        loop {
            let shown = self.query(router, arguments)?;
            if fits(&shown) {
                return Ok(shown);
            }
            if Instant::now() > end {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("{what}: not fulfilled within {PATIENCE:?}; last output: {shown}"),
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
