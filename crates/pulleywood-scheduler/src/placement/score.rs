//! Scores: estimates the cost of running a task on a machine, in seconds of delay.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use crate::config::Config;
use crate::machine_types::MachineTypes;
use crate::resources::ResourceVector;
use crate::shard::Job;
use pulleywood_protocol::JobSpec;

/// Cost of leaving all of a machine's free GPUs without processors.
const STRANDED_GPUS_COST_S: f64 = 20.0;
/// Cost of using a machine type that other jobs depend on because they fit no other.
const SCARCE_TYPE_COST_S: f64 = 30.0;
/// Cost of using an empty machine instead of a full one.
const EMPTY_MACHINE_COST_S: f64 = 10.0;
/// Lower bound of a machine's fetch rate, which is a divisor.
const MIN_FETCH_GB_PER_S: f64 = 0.001;
/// Fraction of a machine's fetch queue that precedes an image in it, on average.
const MEAN_QUEUE_FRACTION: f64 = 0.5;

/// A candidate that can run one more task of a job, and its cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct ScoredCandidate {
    /// Delay in seconds.
    pub(super) cost_s: f64,
    /// Index of the candidate.
    pub(super) candidate_index: usize,
}

impl CandidateMachine<'_> {
    pub(super) fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.iter().any(|(name, _)| *name == spec.image)
    }

    pub(super) fn is_fetching(&self, spec: &JobSpec) -> bool {
        self.fetching.contains(&spec.image.as_str())
    }

    /// Returns the seconds until the machine would have the job's image; 0 if it has
    /// the image already.
    pub(super) fn fetch_delay_s(&self, spec: &JobSpec) -> f64 {
        if spec.image_gb.0 <= 0.0 || self.has_image(spec) {
            return 0.0;
        }
        let rate = self.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S);
        if self.is_fetching(spec) {
            return self.fetch_queue_gb / rate * MEAN_QUEUE_FRACTION;
        }
        (self.fetch_queue_gb + spec.image_gb.0) / rate
    }

    /// Returns the cost of running a task on this machine, in seconds of delay.
    /// `avoided_types` are the types that the job leaves to jobs that can use no
    /// others.
    pub(super) fn cost_s(
        &self,
        spec: &JobSpec,
        avoided_types: &MachineTypes,
        config: &Config,
    ) -> f64 {
        let scarcity_cost_s = self.scarcity_cost_s(avoided_types);
        let spot_bias_s = if spec.spot && !self.spot {
            config.policy.spot_bias_s
        } else {
            0.0
        };
        // Fuller machines are preferred, so that others become idle and can be
        // released. Tasks that may not run on spot machines are packed among
        // themselves.
        let empty_share = if spec.spot {
            1.0 - self.free.dominant_share_in_use(&self.capacity)
        } else {
            1.0 - self.pinned_share
        };
        let wait_s = self.fetch_delay_s(spec) + self.next_heartbeat_s;
        wait_s
            + spot_bias_s
            + scarcity_cost_s
            + EMPTY_MACHINE_COST_S * empty_share
            + STRANDED_GPUS_COST_S * self.stranded_gpus(spec)
    }

    /// Returns the cost of using this machine if its type is one of `avoided_types`.
    pub(super) fn scarcity_cost_s(&self, avoided_types: &MachineTypes) -> f64 {
        if avoided_types.contains(self.flavor) {
            SCARCE_TYPE_COST_S
        } else {
            0.0
        }
    }

    /// Returns the share of this machine's GPUs that would be free but without free
    /// processors if a task without GPUs ran here. Such tasks are preferably placed on
    /// machines whose GPUs are in use.
    fn stranded_gpus(&self, spec: &JobSpec) -> f64 {
        if spec.gpus.0 > 0.0 || self.capacity.gpus <= 0.0 || self.capacity.cpus <= 0.0 {
            return 0.0;
        }
        let free_gpu_share = self.free.gpus / self.capacity.gpus;
        let free_cpu_share = (self.free.cpus - spec.cpus.0) / self.capacity.cpus;
        (free_gpu_share - free_cpu_share).max(0.0)
    }
}

/// Returns the number of tasks per second that end on machines with the job's image.
pub(super) fn warm_completions_per_s(candidates: &[CandidateMachine<'_>], spec: &JobSpec) -> f64 {
    candidates
        .iter()
        .filter(|candidate| candidate.allows(spec) && candidate.fetch_delay_s(spec) <= 0.0)
        .map(|candidate| candidate.completions_per_s)
        .sum()
}

impl SchedulingCycle<'_> {
    /// Returns the candidates that can run one more task of a job, with their costs.
    pub(super) fn score_candidates(
        &self,
        job: &Job,
        need: &ResourceVector,
        avoided_types: &MachineTypes,
    ) -> Vec<ScoredCandidate> {
        self.count_examined(self.open_candidates.len() as u64);
        self.open_candidates
            .iter()
            .filter(|candidate_index| {
                let candidate = &self.candidates[**candidate_index];
                candidate.free.fits(need) && self.is_eligible(candidate, job)
            })
            .map(|&candidate_index| ScoredCandidate {
                cost_s: self.candidates[candidate_index].cost_s(
                    &job.spec,
                    avoided_types,
                    self.config,
                ),
                candidate_index,
            })
            .collect()
    }
}
