//! Events that the journals publish to routers.

use std::io;
use std::thread;
use std::time::Duration;

use linnethook_hierarchy::change_spec::BatchSpec;
use serde_json::json;

use super::ProcessCluster;
use crate::cache_server::CacheServerConfig;
use crate::recording::{Phase, RecordedEvent};

impl ProcessCluster {
    pub(super) fn routers(&self) -> Vec<String> {
        self.routers.keys().cloned().collect()
    }

    /// Publishes a server's phase to all routers.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn publish_phase(&self, node: &str, phase: Phase) -> io::Result<()> {
        for router in self.routers() {
            self.publish_phase_to(&router, node, phase)?;
        }
        Ok(())
    }

    /// Publishes a server's phase to one router.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn publish_phase_to(&self, router: &str, node: &str, phase: Phase) -> io::Result<()> {
        let target = self.line(router, node, phase)?;
        let event = json!({"hosts": {"rev": 2, "all": false, "targets": [target]}});
        self.record.note(RecordedEvent::Listed { router: router.to_string(), node: node.to_string(), phase });
        self.routers[router].journal.publish(event);
        Ok(())
    }

    /// Publishes to a router the phase of a node of another site. The recording has it for `bound`, a router
    /// of that site, which has to act on it from now on.
    pub fn publish_foreign_phase(&self, router: &str, node: &str, phase: Phase, bound: &str) {
        let state = if phase == Phase::Ready { "Ready" } else { "Terminating" };
        let target = json!({"uid": node, "endpoint": "127.0.0.1:1", "az": "elsewhere", "model": "box",
            "pod_group": 0, "state": state, "capacity_hint": 8, "boot_ms": 0});
        self.record.note(RecordedEvent::Listed { router: bound.to_string(), node: node.to_string(), phase });
        let event = json!({"hosts": {"rev": 2, "all": false, "targets": [target]}});
        self.routers[router].journal.publish(event);
    }

    /// Restarts a server, cold, and notifies all routers.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn restart_server(&mut self, node: &str) -> io::Result<()> {
        let listed = self.nodes.get_mut(node).ok_or(io::ErrorKind::NotFound)?;
        listed.started = listed.node.restart()?;
        self.publish_phase(node, Phase::Ready)
    }

    /// Kills a server, starts a new one at its addresses, and notifies all routers of both.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn replace_server(
        &mut self,
        old: &str,
        new: &str,
        server_config: CacheServerConfig,
    ) -> io::Result<()> {
        let (zone, capacity) = (self.nodes[old].zone.clone(), self.nodes[old].capacity);
        self.node(old).kill();
        self.add(new, &zone, capacity, server_config)?;
        for router in self.routers() {
            let address = self.node(old).address_for(&router)?;
            self.node(new).listen_at(&router, address)?;
        }
        self.publish_phase(old, Phase::Removed)?;
        self.publish_phase(new, Phase::Ready)
    }

    /// Publishes a purge to all routers; servers drop their old copies after `drop_after`.
    pub fn purge(&self, object: &str, drop_after: Duration) {
        let stamp = crate::recording::now().floor();
        for router in self.routers() {
            let event = json!({"expire": {"name": object, "stamp": stamp}});
            let object = Some(object.to_string());
            self.record.note(RecordedEvent::Purged { router: router.clone(), object, group: None, stamp });
            self.routers[&router].journal.publish(event);
        }
        thread::sleep(drop_after);
        self.nodes.values().for_each(|listed| listed.node.purge(object, stamp));
    }

    /// Publishes a purge to one router.
    pub fn publish_purge_to(&self, router: &str, object: &str, stamp: f64) {
        let what = RecordedEvent::Purged {
            router: router.to_string(),
            object: Some(object.to_string()),
            group: None,
            stamp,
        };
        self.record.note(what);
        self.routers[router].journal.publish(json!({"expire": {"name": object, "stamp": stamp}}));
    }

    /// Has all servers drop their copies of an object from before `stamp`.
    pub fn drop_copies(&self, object: &str, stamp: f64) {
        self.nodes.values().for_each(|listed| listed.node.purge(object, stamp));
    }

    /// Publishes a batch to one router.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn publish_batch(&self, router: &str, batch: &BatchSpec) -> io::Result<()> {
        self.routers[router].journal.publish(json!({"shape": serde_json::to_value(batch)?}));
        Ok(())
    }

    /// Records for the checker which edges may be used from a version on: the earlier ones, with the sources
    /// of the listed nodes replaced.
    pub fn record_hierarchy(&mut self, version: u64, lists: &[(&str, &[&str])]) {
        for (node, sources) in lists {
            self.edges.insert(node.to_string(), sources.iter().map(|source| source.to_string()).collect());
        }
        let pairs = self
            .edges
            .iter()
            .flat_map(|(node, sources)| sources.iter().map(move |source| (node.clone(), source.clone())));
        self.record.note(RecordedEvent::Shape { version, edges: pairs.collect() });
    }
}
