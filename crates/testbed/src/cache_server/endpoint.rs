//! Responds to requests at one address of a server, with the faults of its script.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use linnethook_hierarchy::loop_detection::FillPath;
use linnethook_quickstart::Answer;

use super::{hints, part, LookupResult, ServerEndpoint};
use crate::faults::Fault;
use crate::recording::{Asked, RecordedEvent};
use crate::server::{CacheRequest, HandlerResponse, RequestHandler};

impl RequestHandler for ServerEndpoint {
    fn handle(&self, request: &CacheRequest) -> HandlerResponse {
        let inner = &self.inner;
        let attempt = inner.attempts.fetch_add(1, Ordering::Relaxed);
        let text = |name: &str| request.fields.get(name).cloned();
        let passed = text("passed").and_then(|text| FillPath::parse(&text).ok());
        let asked = Asked {
            at: inner.name.clone(),
            id: request.id.clone(),
            class: text("kind").unwrap_or_default(),
            object: text("obj").unwrap_or_default(),
            part: part(request),
            source: text("parent"),
            via: text("via").map(|via| via.split('+').map(str::to_string).collect()).unwrap_or_default(),
            cached_only: hints(request).any(|hint| hint == "h"),
            passed: passed.iter().flat_map(FillPath::names).map(str::to_string).collect(),
            version: passed.as_ref().map(|passed| passed.version),
            router: self.router.clone(),
        };
        inner.record.note(RecordedEvent::Asked { attempt, asked });
        let ended = |status: &str, res: &str, ran: bool| {
            let (status, res) = (status.to_string(), res.to_string());
            inner.record.note(RecordedEvent::Ended { attempt, status, res, ran });
        };
        let fault = inner.script.next();
        let accepted = inner.accepts_request();
        match fault {
            _ if !accepted => {
                ended("", "FALLEN", false);
                return HandlerResponse::Reset;
            }
            Some(Fault::Reject) => {
                ended("full", "", false);
                return HandlerResponse::Answer(Answer::with_status("full"));
            }
            Some(Fault::Reset) => {
                ended("", "RESET", false);
                return HandlerResponse::Reset;
            }
            Some(Fault::Silent) => return HandlerResponse::NoResponse,
            Some(Fault::Slow(by)) => thread::sleep(Duration::from_secs_f64(by / 1000.0)),
            Some(Fault::Fail | Fault::Cut) | None => {}
        }
        let found = inner.look_up(request);
        let LookupResult { status, res, copy, extra_fields, ran } = found;
        if fault == Some(Fault::Fail) {
            ended("failed", &res, ran);
            return HandlerResponse::Answer(Answer::with_status("failed"));
        }
        ended(status, &res, ran);
        let dated = copy.as_ref().map(|copy| {
            let digest = xxhash_rust::xxh3::xxh3_64(&copy.body[..copy.body.len().min(80)]);
            format!(",digest={digest:016x},dated={}", copy.dated)
        });
        let dated = dated.unwrap_or_default();
        let fields = format!("res={res},first=0{dated}{extra_fields}");
        let answer = Answer { status, fields, body: copy.map(|copy| copy.body).unwrap_or_default() };
        match fault {
            Some(Fault::Cut) => HandlerResponse::Truncated(answer),
            _ => HandlerResponse::Answer(answer),
        }
    }
}
