//! Scores: what it costs to run a task on a machine, in seconds of delay.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use crate::config::Config;
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use crate::shard::Job;
use pulleywood_protocol::JobSpec;

/// Cost, in seconds, of taking all of a machine's processors from its free GPUs.
const STRANDED_GPUS_S: f64 = 20.0;
/// Cost, in seconds, of using a machine that other work needs because it fits no
/// other type.
const SCARCE_TYPE_S: f64 = 30.0;
/// Cost, in seconds, of an empty machine compared with a full one.
const SPREADING_S: f64 = 10.0;
/// Lowest rate at which a machine fetches images: delays are divided by it.
const MIN_FETCH_GB_PER_S: f64 = 0.001;
/// An image that is being fetched is, on average, half of the queue away.
const MEAN_FETCH_QUEUE: f64 = 0.5;

/// A candidate that can run one more task of a job, and the cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoredCandidate {
    /// Seconds of delay.
    pub(super) cost: f64,
    /// Index of the candidate.
    pub(super) at: usize,
}

impl CandidateMachine<'_> {
    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.iter().any(|(name, _)| *name == spec.image)
    }

    pub(super) fn is_fetching(&self, spec: &JobSpec) -> bool {
        self.fetching.contains(&spec.image.as_str())
    }

    /// Seconds until the job's image would be here.
    pub(super) fn fetch_delay_s(&self, spec: &JobSpec) -> f64 {
        if spec.image_gb.0 <= 0.0 || self.has_image(spec) {
            return 0.0;
        }
        let rate = self.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        if self.is_fetching(spec) {
            return self.fetch_queue_gb / rate * MEAN_FETCH_QUEUE;
        }
        (self.fetch_queue_gb + spec.image_gb.0) / rate
    }

    /// What it costs to run a task here, in seconds of delay.
    /// `avoid`: types that the job leaves to others.
    pub(super) fn cost(&self, spec: &JobSpec, avoid: &MachineTypes, config: &Config) -> f64 {
        let scarce = self.scarcity_cost(avoid);
        let bias = if spec.spot && !self.spot {
            config.policy.spot_bias_s
        } else {
            0.0
        };
        // Fuller machines come first, so that others fall idle and can be
        // released. Work that may not run on spot machines is packed by itself.
        let spread = if spec.spot {
            1.0 - self.free.dominant_share_in_use(&self.capacity)
        } else {
            1.0 - self.pinned
        };
        let wait = self.fetch_delay_s(spec) + self.next_heartbeat_s;
        wait + bias + scarce + SPREADING_S * spread + STRANDED_GPUS_S * self.stranded_gpus(spec)
    }

    /// The cost of using a type that the job leaves to others.
    pub(super) fn scarcity_cost(&self, avoid: &MachineTypes) -> f64 {
        if avoid.contains(self.flavor) {
            SCARCE_TYPE_S
        } else {
            0.0
        }
    }

    /// The share of this machine's GPUs that a task without GPUs would leave
    /// without processors. Such tasks go beside GPUs that are in use first.
    fn stranded_gpus(&self, spec: &JobSpec) -> f64 {
        if spec.gpus.0 > 0.0 || self.capacity.gpus <= 0.0 || self.capacity.cpus <= 0.0 {
            return 0.0;
        }
        let gpus = self.free.gpus / self.capacity.gpus;
        let cpus = (self.free.cpus - spec.cpus.0) / self.capacity.cpus;
        (gpus - cpus).max(0.0)
    }
}

/// Tasks a second that end on machines which have the job's image.
pub(super) fn warm_ends_per_s(candidates: &[CandidateMachine<'_>], spec: &JobSpec) -> f64 {
    candidates
        .iter()
        .filter(|c| c.allows(spec) && c.fetch_delay_s(spec) <= 0.0)
        .map(|c| c.ends_per_s)
        .sum()
}

impl SchedulingCycle<'_> {
    /// The open candidates that can run one more task of a job, with its cost.
    pub(super) fn score_candidates(
        &self,
        job: &Job,
        need: &ResourceVector,
        avoid: &MachineTypes,
    ) -> Vec<ScoredCandidate> {
        self.count_examined(self.open.len() as u64);
        self.open
            .iter()
            .filter(|at| {
                let candidate = &self.candidates[**at];
                candidate.free.fits(need) && self.is_eligible(candidate, job)
            })
            .map(|&at| ScoredCandidate {
                cost: self.candidates[at].cost(&job.spec, avoid, self.config),
                at,
            })
            .collect()
    }
}
