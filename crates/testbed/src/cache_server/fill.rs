//! How a server looks up an object: its copies, fills from a source, and requests that join a fill.

use std::sync::PoisonError;
use std::thread;

use linnethook_hierarchy::loop_detection::{FillPath, PathRejection};

use super::{Copy, Inner, Key, LookupResult, ServerRole, State};
use crate::recording::{now, Ms, RecordedEvent};
use crate::server::{send_request, CacheRequest};

impl Inner {
    /// Counts a request; returns false if the server has failed by overload, or fails with this request.
    pub(super) fn accepts_request(&self) -> bool {
        let cold = self.server_config.cold;
        let mut state = self.lock();
        if state.fallen {
            return false;
        }
        if cold.fall_multiple > 0.0 {
            let at = now();
            state.arrivals.push_back(at);
            while state.arrivals.front().is_some_and(|first| at - first > cold.window) {
                state.arrivals.pop_front();
            }
            let capacity_at =
                cold.capacity_at(at - state.started) * cold.fall_multiple * cold.window / 1000.0;
            if state.arrivals.len() as f64 > capacity_at * 1.1 {
                state.fallen = true;
                drop(state);
                self.record.note(RecordedEvent::Fell { node: self.name.clone() });
                return false;
            }
        }
        true
    }

    pub(super) fn look_up(&self, request: &CacheRequest) -> LookupResult {
        let text = |name: &str| request.fields.get(name).map(String::as_str);
        let class = text("kind").unwrap_or_default();
        let key = (text("obj").unwrap_or_default().to_string(), part(request));
        if self.server_config.kind == ServerRole::Origin {
            thread::sleep(self.server_config.latency);
            return self.serve_as_origin(request, class, &key);
        }
        let passed = match text("passed").map(FillPath::parse) {
            None => None,
            Some(Ok(passed)) => Some(passed),
            Some(Err(_)) => return LookupResult::without_copy("failed", "ORIGIN_ERR"),
        };
        if passed.as_ref().is_some_and(|passed| passed.version < self.lock().floor) {
            // A cached copy is fine, but a fill on an outdated hierarchy is not allowed.
            let cached = self.cached_copy(&key, f64::INFINITY);
            return cached.map_or_else(
                || LookupResult::without_copy("absent", "NO_FILL"),
                |copy| LookupResult::cached(copy, "HIT"),
            );
        }
        let passed = match passed.map(|passed| (passed.version, passed.append_node(&self.name))) {
            None => None,
            Some((_, Ok(passed))) => Some(passed),
            Some((version, Err(PathRejection::Loop { from, to }))) => {
                let extra_fields = format!(",round={version}:{from}>{to}");
                return LookupResult { extra_fields, ..LookupResult::without_copy("full", "LOOP") };
            }
            Some((_, Err(PathRejection::HopLimit))) => return LookupResult::without_copy("full", "LOOP"),
        };
        let fresh = self.server_config.fresh.get(class).copied().unwrap_or(0.0);
        let oldest = text("accept").and_then(|age| age.parse::<Ms>().ok()).filter(|age| *age > 0.0);
        let oldest = oldest.or((fresh > 0.0).then_some(fresh)).unwrap_or(f64::INFINITY);
        thread::sleep(self.server_config.latency);
        if let Some(copy) = self.cached_copy(&key, oldest) {
            let stale = fresh > 0.0 && now() - copy.dated > fresh;
            let res = if stale { "STALE" } else { "HIT" };
            return LookupResult::cached(copy, res);
        }
        let cached_only = hints(request).any(|hint| hint == "h");
        let hops = match self.hops(request, cached_only) {
            Ok(hops) => hops,
            Err(found) => return found,
        };
        if !self.begin_fill(&key) {
            return match self.cached_copy(&key, oldest) {
                Some(copy) => LookupResult::cached(copy, "COLLAPSED"),
                None => LookupResult::without_copy("full", "NO_FILL"),
            };
        }
        let found = self.fill(request, &key, &hops, passed.as_ref(), oldest);
        self.lock().filling.remove(&key);
        self.filled.notify_all();
        found
    }

    /// Whether requests name the source. For a cache they do; a parent uses their path, or its own sources.
    fn source_is_given(&self) -> bool {
        self.server_config.kind == ServerRole::Cache
    }

    /// The sources for a miss, in order, or the response if there is no fill.
    fn hops(&self, request: &CacheRequest, cached_only: bool) -> Result<Vec<String>, LookupResult> {
        let text = |name: &str| request.fields.get(name).map(String::as_str);
        Ok(match (self.source_is_given(), text("parent"), text("via")) {
            (true, None, _) => return Err(LookupResult::without_copy("absent", "NO_FILL")),
            (true, Some(source), _) => {
                vec![if cached_only { format!("{source}:h") } else { source.to_string() }]
            }
            (false, _, _) if cached_only => return Err(LookupResult::without_copy("absent", "UP_MISS")),
            (false, _, Some(via)) if self.server_config.follows_path => {
                via.split('+').map(str::to_string).collect()
            }
            (false, ..) => self.lock().upstream.first().cloned().into_iter().collect(),
        })
    }

    /// The stored copy, if it is not older than `oldest` milliseconds.
    pub(super) fn cached_copy(&self, key: &Key, oldest: Ms) -> Option<Copy> {
        let mut state = self.lock();
        state.uses += 1;
        let uses = state.uses;
        let copy = state.copies.get_mut(key).filter(|copy| now() - copy.dated <= oldest)?;
        copy.used = uses;
        let copy = copy.clone();
        state.order.push_back((key.clone(), uses));
        Some(copy)
    }

    /// Whether the caller has to fill. If not, it has waited for another fill, which has ended or timed out.
    pub(super) fn begin_fill(&self, key: &Key) -> bool {
        let mut state = self.lock();
        if state.filling.insert(key.clone()) {
            return true;
        }
        let busy = |state: &mut State| state.filling.contains(key);
        let waited = self.filled.wait_timeout_while(state, self.server_config.fill_timeout, busy);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
        false
    }

    pub(super) fn store_copy(&self, key: &Key, copy: &Copy) {
        let mut state = self.lock();
        state.uses += 1;
        let used = state.uses;
        state.copies.insert(key.clone(), Copy { used, ..copy.clone() });
        state.order.push_back((key.clone(), used));
        while state.copies.len() > self.server_config.copies
            || state.order.len() > self.server_config.copies * 4
        {
            let Some((key, used)) = state.order.pop_front() else { break };
            // Skips a key that was used again since: it has a later entry.
            if state.copies.get(&key).is_some_and(|copy| copy.used == used) {
                state.copies.remove(&key);
            }
        }
    }

    /// Fills from the first source; the next one is tried only after a source that serves cached copies only.
    pub(super) fn fill(
        &self,
        request: &CacheRequest,
        key: &Key,
        hops: &[String],
        passed: Option<&FillPath>,
        oldest: Ms,
    ) -> LookupResult {
        let mut last = LookupResult::without_copy("absent", "NO_FILL");
        for (n, hop) in hops.iter().enumerate() {
            let (name, cached_copy) =
                hop.strip_suffix(":h").map_or((hop.as_str(), false), |name| (name, true));
            let fields = self.fill_fields(request, key, &hops[n + 1..], passed, oldest, cached_copy);
            let Some(address) = self.directory.find(name) else {
                last = LookupResult::without_copy("full", "UP_DOWN");
                continue;
            };
            match send_request(address, &request.id, &fields.join(","), b"", self.server_config.fill_timeout)
            {
                Ok((status, fields, body)) if status == "data" => {
                    let dated = fields.get("dated").and_then(|at| at.parse().ok()).unwrap_or(0.0);
                    let copy = Copy { body, dated, used: 0 };
                    self.store_copy(key, &copy);
                    let origin = fields.get("res").is_some_and(|res| res == "MISS_ORIGIN");
                    let res = if origin { "MISS_ORIGIN" } else { "MISS" };
                    let res = res.to_string();
                    return LookupResult {
                        status: "data",
                        res,
                        copy: Some(copy),
                        extra_fields: String::new(),
                        ran: true,
                    };
                }
                Ok((_, fields, _)) if fields.get("res").is_some_and(|res| res == "LOOP") => {
                    let round = fields.get("round").map(|round| format!(",round={round}"));
                    return LookupResult {
                        extra_fields: round.unwrap_or_default(),
                        ..LookupResult::without_copy("full", "LOOP")
                    };
                }
                Ok((status, ..)) if status == "absent" => {
                    last = LookupResult::without_copy("absent", "UP_MISS")
                }
                Ok((status, ..)) if status == "full" => last = LookupResult::without_copy("full", "UP_BUSY"),
                Ok(_) => last = LookupResult::without_copy("failed", "ORIGIN_ERR"),
                Err(_) => last = LookupResult::without_copy("full", "UP_DOWN"),
            }
            if !cached_copy {
                break;
            }
        }
        last
    }

    /// The fields of a fill request to a source; `later_hops` are the sources after it.
    fn fill_fields(
        &self,
        request: &CacheRequest,
        key: &Key,
        later_hops: &[String],
        passed: Option<&FillPath>,
        oldest: Ms,
        cached_only: bool,
    ) -> Vec<String> {
        let source_is_given = self.source_is_given();
        let mut fields = vec![
            format!("kind={}", request.fields.get("kind").map_or("", String::as_str)),
            format!("obj={}", key.0),
            format!("seg={}", key.1),
        ];
        if oldest.is_finite() {
            fields.push(format!("accept={}", oldest.floor().max(1.0)));
        }
        if cached_only {
            fields.push("hints=h".to_string());
        }
        match passed {
            Some(passed) => fields.push(format!("passed={passed}")),
            // A fill from its own source starts a new path.
            None if !source_is_given => fields.push(format!("passed={}:{}", self.lock().version, self.name)),
            None => {}
        }
        // A cache forwards the path of the request to its source; a parent forwards the rest of the path.
        let via = match source_is_given {
            true => request.fields.get("via").cloned(),
            false => Some(later_hops.join("+")).filter(|via| !via.is_empty()),
        };
        let via = via.filter(|_| !cached_only || source_is_given);
        fields.extend(via.map(|via| format!("via={via}")));
        fields
    }

    /// Responds as the origin: counts a run of a write, and issues a copy.
    pub(super) fn serve_as_origin(&self, request: &CacheRequest, class: &str, key: &Key) -> LookupResult {
        if self.server_config.writes.iter().any(|write| write == class) {
            let mut state = self.lock();
            *state.runs.entry(request.id.clone()).or_default() += 1;
        }
        let dated = now();
        // The start of the body identifies the copy: object, part and time.
        let mut body = format!("{} {} {dated} ", key.0, key.1).into_bytes();
        body.resize(body.len().max(self.server_config.size), b'.');
        let copy = Copy { body, dated, used: 0 };
        LookupResult {
            status: "data",
            res: "MISS_ORIGIN".into(),
            copy: Some(copy),
            extra_fields: String::new(),
            ran: true,
        }
    }
}

pub(super) fn part(request: &CacheRequest) -> u32 {
    request.fields.get("seg").and_then(|part| part.parse().ok()).unwrap_or(0)
}

pub(super) fn hints(request: &CacheRequest) -> impl Iterator<Item = &str> {
    request.fields.get("hints").map(String::as_str).unwrap_or_default().split('+')
}
