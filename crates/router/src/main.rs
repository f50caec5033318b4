//! The program `linnethook`: a router of requests in front of caches, and the commands that ask a running one.
//!
//! - [`router`]: the state of a router, and the dispatch between its parts; [`event_loop`] runs it;
//! - [`downstream`], [`upstream`], [`discovery`]: connections of clients, of caches, and of the journal service;
//! - [`run_phase`]: its phases, from serving to the end;
//! - [`proxy`]: requests from their arrival to their answer;
//! - [`requests`], [`answers`]: the open requests, and their final answers;
//! - [`policy_adapter`]: the policy, with its events and actions;
//! - [`hierarchy_adapter`]: the hierarchy of caches, and the admission of fills;
//! - [`remote_sites`], [`cluster`], [`audit_log`]: other sites, other routers, and the audit log;
//! - [`control`], [`hierarchy_control`], [`cli`]: the control socket, its answers, and the commands;
//! - [`config`], [`operator_parts`], [`operator_reload`], [`shadow_policy`], [`operator_digest`], [`log`], [`counters`], [`clock`], [`buffers`], [`descriptors`], [`sockets`]: the rest.

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
mod policy_adapter;
mod proxy;
mod remote_sites;
mod requests;
mod router;
mod run_phase;
mod shadow_policy;
mod sockets;
mod start_error;
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

/// Runs a command that is not the router itself.
fn run_command(command: &Command) -> ExitCode {
    // Errors of the output are ignored: its reader may have seen enough.
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
