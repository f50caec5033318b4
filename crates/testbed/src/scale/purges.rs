//! Purges that the discovery service publishes at a steady rate.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::journal::Journal;
use super::Failure;

/// A thread that publishes purges at a steady rate; it ends on drop.
pub(super) struct Purges {
    over: Arc<AtomicBool>,
    publisher: Option<thread::JoinHandle<()>>,
}

impl Purges {
    pub(super) fn start(journal: &Arc<Journal>, rate: f64, seed: u64) -> Result<Self, Failure> {
        let over = Arc::new(AtomicBool::new(false));
        let (done, journal) = (over.clone(), journal.clone());
        let publisher = move || {
            let begun = Instant::now();
            let mut objects = Pcg64Mcg::seed_from_u64(seed);
            for n in 1u64.. {
                // With a rate of 0 no purge is ever due.
                let due = if rate > 0.0 { n as f64 / rate } else { f64::INFINITY };
                while begun.elapsed().as_secs_f64() < due {
                    if done.load(Ordering::Acquire) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(2));
                }
                let object = format!("{:016x}", objects.random::<u64>());
                let event = json!({"expire": {"name": object, "stamp": crate::recording::now().floor()}});
                journal.publish(event, begun + Duration::from_secs_f64(due));
            }
        };
        let publisher = Some(thread::Builder::new().spawn(publisher)?);
        Ok(Self { over, publisher })
    }
}

impl Drop for Purges {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        self.publisher.take().map(thread::JoinHandle::join);
    }
}
