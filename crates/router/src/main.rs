//! The program `linnethook`: a request router in front of caches, and commands for a running router.
//!
//! - [`router`]: the state of a router, and the dispatch between its components; [`event_loop`] runs it;
//! - [`downstream`], [`upstream`], [`discovery`]: connections to clients, to endpoints, and to the journal
//!   service;
//! - [`run_phase`]: the phases of a router, from serving to shutdown;
//! - [`proxy`]: the request path between clients, the policy, endpoints and other sites;
//! - [`requests`], [`answers`]: open requests and final answers;
//! - [`policy_adapter`]: the policy, behind inputs and commands;
//! - [`hierarchy_adapter`]: the hierarchy of caches, and the admission of fills;
//! - [`remote_sites`], [`cluster`], [`audit_log`]: other sites, other routers, and the audit log;
//! - [`control`], [`hierarchy_control`], [`cli`]: the control socket, its handlers, and the commands;
//! - [`config`], [`operator_parts`], [`operator_reload`], [`shadow_policy`], [`operator_digest`], [`log`],
//!   [`counters`], [`clock`], [`buffers`], [`descriptors`], [`sockets`]: configuration and shared utilities.

#![warn(clippy::missing_errors_doc, clippy::too_many_arguments, clippy::too_many_lines)]
#![warn(clippy::unwrap_used, clippy::wildcard_imports)]

mod answers;
mod audit_log;
mod buffers;
mod cli;
mod clock;
mod cluster;
mod config;
mod control;
mod counters;
mod descriptors;
mod discovery;
mod downstream;
mod event_handler;
mod event_loop;
#[cfg(test)]
#[path = "../tests/unit/golden.rs"]
mod golden;
#[cfg(test)]
#[path = "../tests/unit/hex.rs"]
mod hex;
mod hierarchy_adapter;
mod hierarchy_control;
mod log;
mod multi_router;
mod operator_digest;
mod operator_parts;
mod operator_reload;
mod peer_message;
mod permission;
mod policy_adapter;
mod proxy;
mod reload;
mod remote_sites;
mod requests;
mod retry_queue;
mod router;
mod run_phase;
mod shadow_policy;
mod sockets;
mod start_error;
mod start_retry;
mod system_error;
mod turn;
mod upstream;

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;

use cli::{Cli, Command};
use log::log_line;
use start_error::StartError;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => exit_code(event_loop::run(&cli.run)),
        Some(Command::Run(arguments)) => exit_code(event_loop::run(&arguments)),
        Some(Command::Hollow { configs }) => exit_code(multi_router::run(&configs)),
        Some(command) => run_command(&command),
    }
}

/// Runs a command that does not start routers.
fn run_command(command: &Command) -> ExitCode {
    // Write errors are ignored: the reader may have closed the pipe early.
    match cli::run_command(command) {
        Ok(text) => {
            let _ = std::io::stdout().write_all(text.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            let _ = std::io::stderr().write_all(format!("{}\n", error).as_bytes());
            error.exit_code()
        }
    }
}

fn exit_code(result: Result<(), StartError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::start(false);
            log_line!(always "{error}");
            ExitCode::FAILURE
        }
    }
}
