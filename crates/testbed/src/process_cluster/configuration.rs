//! Configurations, operator files and batches for the routers of a cluster.

use std::io;
use std::path::{Path, PathBuf};

use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec, SourceSpec};
use serde_json::{json, Value};

/// Deadline of requests, in milliseconds, for tests without time limits.
pub const LONG_DEADLINE_MS: f64 = 30_000.0;

/// Sets long objectives, deadlines and connect time-outs in a router's configuration. For tests that don't
/// check times: on a busy machine any response may be late, and late requests are rejected.
pub fn use_long_deadlines(config: &mut Value) {
    if let Some(grades) = config["settings"]["grades"].as_array_mut() {
        for grade in grades {
            grade["objective"] = json!(LONG_DEADLINE_MS / 2.0);
            grade["deadline"] = json!(LONG_DEADLINE_MS);
        }
    }
    config["settings"]["allowed"]["connect-timeout"] = json!(LONG_DEADLINE_MS / 2.0);
}

/// Like [`use_long_deadlines`], with a link flow in kB/s, from which a router computes when a response is
/// overdue. With a low flow a cache counts as hung only after seconds; a lower one also gives nodes that
/// start cold fewer requests.
pub fn use_long_deadlines_and_flow(flow: u32) -> impl Fn(&mut Value) {
    move |config| {
        use_long_deadlines(config);
        config["settings"]["family-info"]["flow-kb-per-s"] = json!(flow);
    }
}

/// An operator file for [`super::ProcessCluster::two_hubs`]: all caches fill from `parent`, with the origin
/// as fallback.
pub fn operator_file(caches: usize, parent: &str, settings: &str) -> String {
    format!(
        r#"control(path = "SOCKET")
hierarchy({settings})
node("origin", role = "origin", site = "hub", capacity = 20)
for hub in ["south", "centre"]:
    node(hub, role = "parent", site = hub, capacity = 30, sources = ["origin"])
for n in range({caches}):
    node("cache-%d" % n, site = "shop", capacity = 8, sources = [("{parent}", 0), ("origin", 9)])
"#
    )
}

/// Sources with ascending ranks from 0, and rank 9 for the last of several.
pub fn sources(names: &[&str]) -> Vec<SourceSpec> {
    let last = names.len().saturating_sub(1);
    let rank = |n: usize| if n == last && n > 0 { 9 } else { n as u16 };
    names.iter().enumerate().map(|(n, name)| SourceSpec { name: name.to_string(), rank: rank(n) }).collect()
}

/// A batch that gives each listed node new sources, in effect from now on.
pub fn reroute(
    author: u16,
    number: u64,
    stamp: u64,
    basis: &[(u16, u64)],
    lists: &[(&str, &[&str])],
) -> BatchSpec {
    let change = |(node, names): &(&str, &[&str])| ChangeSpec::Rerank {
        node: node.to_string(),
        sources: sources(names),
    };
    let effective_at = crate::recording::now();
    BatchSpec {
        author,
        number,
        stamp,
        basis: basis.to_vec(),
        effective_at,
        changes: lists.iter().map(change).collect(),
    }
}

/// The router's program for the binaries of this package: the given one, or `linnethook` in the folder of the
/// running binary.
///
/// # Errors
/// A process, a socket or a file that fails, or a name that does not exist.
pub fn router_program(given: Option<&Path>) -> io::Result<PathBuf> {
    match given {
        Some(path) => Ok(path.to_path_buf()),
        None => Ok(std::env::current_exe()?.with_file_name("linnethook")),
    }
}
