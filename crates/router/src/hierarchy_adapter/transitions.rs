//! The rollout stages that migrations enter, for the log and the audit log.

use linnethook_hierarchy::rollout::{RolloutStage, StageTransition};

use crate::log::log_line;

use super::HierarchyAdapter;

/// The number of stages that may be queued for the audit log; further ones are only logged.
const MAX_ENTERED_STAGES: usize = 1_024;

/// A stage that a migration has entered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EnteredStage {
    /// The node that children migrate to.
    pub target: u64,
    /// The number of the stage in the audit log.
    pub stage: u8,
}

/// Stages that were entered, until they are recorded in the audit log.
#[derive(Debug, Default)]
pub(super) struct StageRecorder {
    entered: Vec<EnteredStage>,
}

impl StageRecorder {
    fn record(&mut self, transition: &StageTransition) {
        if self.entered.len() < MAX_ENTERED_STAGES {
            let target = transition.migration.target.0;
            self.entered.push(EnteredStage { target, stage: audit_number(transition.stage) });
        }
    }
}

/// The number of a stage in the audit log.
fn audit_number(stage: RolloutStage) -> u8 {
    match stage {
        RolloutStage::Planned => 0,
        RolloutStage::Announced => 1,
        RolloutStage::Warming => 2,
        RolloutStage::Settled => 3,
        RolloutStage::RolledBack(_) => 4,
    }
}

impl HierarchyAdapter {
    /// Removes and returns the stages that were entered since the last call.
    pub fn drain_stage_transitions(&mut self) -> Vec<EnteredStage> {
        self.entered_stages.as_mut().map(|stages| std::mem::take(&mut stages.entered)).unwrap_or_default()
    }

    pub(super) fn record_transitions(&mut self, transitions: &[StageTransition]) {
        for transition in transitions {
            if let Some(stages) = &mut self.entered_stages {
                stages.record(transition);
            }
            let to = self.names.node_name(transition.migration.target);
            let batch_id = transition.migration.position.batch_id();
            log_line!(
                to,
                author = batch_id.author.0,
                number = batch_id.number,
                stage = %transition.stage,
                for_good = transition.is_final,
                "hierarchy: a migration has entered its next stage"
            );
        }
    }
}
