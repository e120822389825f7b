//! Victims: the cheapest tasks to stop on a machine so that another one fits.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use super::claim::{Claim, Preemptable};
use crate::resources::ResourceVector;
use crate::shard::machine::Slot;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobSpec, MonotonicTime};

/// Cost, in seconds, of stopping a service task, besides the time that it ran.
const SERVICE_LOSS_S: f64 = 60.0;
/// A task that has run for this many seconds counts as started for its user.
const STARTED_AFTER_S: f64 = 30.0;
/// Cost, in seconds, of stopping a task before that: its start is undone.
const UNDONE_START_S: f64 = 20.0;

/// Tasks to stop on one machine.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Victims {
    /// Seconds of work and waiting that are lost.
    pub(super) loss: f64,
    /// Positions of the tasks' slots.
    pub(super) slots: Vec<usize>,
}

/// A task that may be stopped.
struct Victim {
    loss: f64,
    slot: usize,
}

impl SchedulingCycle<'_> {
    /// The cheapest tasks to stop on one machine so that one of `spec` fits, or none
    /// if stopping all that may be stopped would not do. What is being released
    /// counts as free. `preempts`: whether anything may be stopped.
    pub(super) fn victims(
        &self,
        candidate: &CandidateMachine<'_>,
        spec: &JobSpec,
        need: &ResourceVector,
        claim: &Claim<'_>,
        preempts: bool,
    ) -> Option<Victims> {
        let mut free = candidate.free_for(spec);
        free += candidate.releasing;
        if free.fits(need) {
            return Some(Victims::default());
        }
        if !preempts {
            return None;
        }
        let preemptable = self.preemptable_tasks(candidate, spec, claim);
        let mut chosen: Vec<Victim> = Vec::new();
        for victim in preemptable {
            free += held_by(candidate, victim.slot);
            chosen.push(victim);
            if free.fits(need) {
                break;
            }
        }
        if !free.fits(need) {
            return None;
        }
        Some(drop_unneeded(candidate, chosen, free, need))
    }

    /// Tasks on a machine that may be preempted for one of `spec`, the cheapest first.
    /// Of each team no more than it borrows.
    fn preemptable_tasks(
        &self,
        candidate: &CandidateMachine<'_>,
        spec: &JobSpec,
        claim: &Claim<'_>,
    ) -> Vec<Victim> {
        let mut preemptable: Vec<Victim> = Vec::new();
        for (at, slot) in candidate.slots.iter().enumerate() {
            let Some(victim) = slot.spec.as_ref().filter(|_| slot.holds_resources()) else {
                continue;
            };
            let stopping = slot.stop_grace_s.is_some()
                || candidate
                    .preemptions
                    .iter()
                    .any(|(planned, _)| *planned == at);
            if !stopping && claim.preemptable(spec, victim) != Preemptable::Never {
                let loss = loss(slot, self.now);
                preemptable.push(Victim { loss, slot: at });
            }
        }
        preemptable.sort_by(|a, b| a.loss.total_cmp(&b.loss));
        let mut borrowed = self.borrowed.clone();
        preemptable.retain(|v| match &candidate.slots[v.slot].spec {
            Some(victim) => {
                claim.preemptable(spec, victim) == Preemptable::Always || borrowed.take(victim)
            }
            None => false,
        });
        preemptable
    }
}

/// Leaves out victims without which the task fits as well, the dearest first: one
/// large task may release what several small ones need not. `free`: what is free
/// with all of them stopped.
fn drop_unneeded(
    candidate: &CandidateMachine<'_>,
    chosen: Vec<Victim>,
    mut free: ResourceVector,
    need: &ResourceVector,
) -> Victims {
    let mut needed = Vec::new();
    for victim in chosen.into_iter().rev() {
        let mut without = free;
        without -= held_by(candidate, victim.slot);
        if without.fits(need) {
            free = without;
        } else {
            needed.push(victim);
        }
    }
    Victims {
        loss: needed.iter().map(|v| v.loss).sum(),
        slots: needed.iter().map(|v| v.slot).collect(),
    }
}

/// The resources of the task in a slot.
fn held_by(candidate: &CandidateMachine<'_>, slot: usize) -> ResourceVector {
    let spec = candidate.slots[slot].spec.as_deref();
    spec.map(ResourceVector::of_task).unwrap_or_default()
}

/// Seconds of work and waiting that stopping a task costs.
fn loss(slot: &Slot, now: MonotonicTime) -> f64 {
    let Some(spec) = &slot.spec else { return 0.0 };
    let ran_s = slot
        .running_since
        .map_or(0.0, |at| now.since(at).as_secs_f64());
    if spec.shape == Shape::Service {
        return SERVICE_LOSS_S + ran_s;
    }
    let undone_start = if ran_s < STARTED_AFTER_S {
        UNDONE_START_S
    } else {
        0.0
    };
    if spec.checkpoint_s.0 > 0.0 {
        spec.save_s.0 + undone_start
    } else {
        ran_s + undone_start
    }
}
