//! What the event loop reports of sockets. Connections only become ready: they are served later in the turn.

use std::fs::File;
use std::net::TcpListener;
use std::os::unix::net::UnixListener;

use calloop::Readiness;

use crate::downstream::ClientId;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::operator_reload::EvaluationProgress;
use crate::turn::{ConnectionKind, TurnWork};

use super::Router;

impl EventHandler for Router {
    fn accept_clients(&mut self, listener: &TcpListener) -> bool {
        self.note_event();
        self.measure(TurnWork::Accepts, |router| router.proxy.accept_clients(listener))
    }

    fn on_client_ready(&mut self, id: ClientId, readiness: Readiness) {
        self.note_event();
        self.proxy.mark_client_ready(id, readiness);
    }

    fn on_upstream_ready(&mut self, id: u64, readiness: Readiness) {
        self.note_event();
        self.proxy.mark_upstream_ready(id, readiness);
    }

    fn on_discovery_ready(&mut self, id: u64, readiness: Readiness) {
        self.note_event();
        self.ready.insert(ConnectionKind::Discovery, id, readiness);
    }

    fn on_evaluation_ready(&mut self, output: &File) -> bool {
        self.note_event();
        self.measure(TurnWork::Commands, |router| router.read_evaluation(output))
    }

    fn accept_commands(&mut self, listener: &UnixListener) -> bool {
        self.note_event();
        let now = self.clock.now();
        self.proxy.parts.control.as_mut().is_none_or(|control| control.accept(now, listener))
    }

    fn on_command_ready(&mut self, id: u64) {
        self.note_event();
        self.measure(TurnWork::Commands, |router| router.run_command(id));
    }

    fn accept_links(&mut self, listener: &TcpListener) -> bool {
        self.note_event();
        self.measure(TurnWork::Links, |router| router.proxy.accept_links(listener))
    }

    fn on_link_ready(&mut self, id: u64, readiness: Readiness) {
        self.note_event();
        self.proxy.mark_link_ready(id, readiness);
    }
}

impl Router {
    /// Reads output of the evaluation of the operator file; returns false if there is nothing more to read.
    fn read_evaluation(&mut self, output: &File) -> bool {
        let Some(file) = &mut self.operator_file else { return false };
        match file.read_output(output, self.limits.control.max_message_bytes) {
            EvaluationProgress::Running => return true,
            EvaluationProgress::Finished(Ok(operator)) => self.reload_operator_file(&operator),
            EvaluationProgress::Finished(Err(error)) => {
                log_line!(always "operator file not reloaded: {error}")
            }
            EvaluationProgress::Idle => {}
        }
        false
    }

    /// Reads and writes the connection of a command, and responds to its request once it is complete.
    fn run_command(&mut self, id: u64) {
        let request = self.proxy.parts.control.as_mut().and_then(|control| {
            control.flush(id);
            control.read(id)
        });
        let Some(request) = request else { return };
        let response = self.respond(request);
        if let Some(control) = &mut self.proxy.parts.control {
            control.respond(id, &response);
        }
        self.proxy.report_fill_sources();
    }
}
