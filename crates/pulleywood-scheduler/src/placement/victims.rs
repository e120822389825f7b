//! Victims: selects the cheapest tasks to stop on a machine so that another one fits.

use super::SchedulingCycle;
use super::candidates::CandidateMachine;
use super::claim::{Claim, Preemptable};
use crate::resources::ResourceVector;
use crate::shard::machine::Slot;
use pulleywood_protocol::job::Shape;
use pulleywood_protocol::{JobSpec, MonotonicTime};

/// Cost of stopping a service task, in addition to the time that it has run.
const SERVICE_STOP_COST_S: f64 = 60.0;
/// A task that has run for less than this is still starting from its user's point of
/// view.
const STARTUP_PERIOD_S: f64 = 30.0;
/// Cost of stopping a task that is still starting, because it has to start again.
const REPEATED_STARTUP_COST_S: f64 = 20.0;

/// Tasks to stop on one machine.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Victims {
    /// Lost work and additional waiting, in seconds.
    pub(super) cost_s: f64,
    /// Indices of the tasks' slots.
    pub(super) slots: Vec<usize>,
}

/// A running task that may be stopped.
struct Victim {
    cost_s: f64,
    slot: usize,
}

impl SchedulingCycle<'_> {
    /// Returns the cheapest tasks to stop on one machine so that a task of `spec` fits,
    /// or `None` if stopping all eligible tasks would not make it fit. Resources that
    /// are being released count as free. `may_preempt` tells whether any task may be
    /// stopped.
    pub(super) fn victims(
        &self,
        candidate: &CandidateMachine<'_>,
        spec: &JobSpec,
        need: &ResourceVector,
        claim: &Claim<'_>,
        may_preempt: bool,
    ) -> Option<Victims> {
        let mut free = candidate.free_for(spec);
        free += candidate.releasing;
        if free.fits(need) {
            return Some(Victims::default());
        }
        if !may_preempt {
            return None;
        }
        let preemptable = self.preemptable_tasks(candidate, spec, claim);
        let mut chosen: Vec<Victim> = Vec::new();
        for victim in preemptable {
            free += slot_resources(candidate, victim.slot);
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

    /// Returns the tasks on a machine that may be preempted for a task of `spec`, the
    /// cheapest first. The tasks of each team are limited to its borrowed usage.
    fn preemptable_tasks(
        &self,
        candidate: &CandidateMachine<'_>,
        spec: &JobSpec,
        claim: &Claim<'_>,
    ) -> Vec<Victim> {
        let mut preemptable: Vec<Victim> = Vec::new();
        for (index, slot) in candidate.slots.iter().enumerate() {
            let Some(victim_spec) = slot.spec.as_ref().filter(|_| slot.holds_resources()) else {
                continue;
            };
            let is_stopping = slot.stop_grace_s.is_some()
                || candidate
                    .preemptions
                    .iter()
                    .any(|(planned, _)| *planned == index);
            if !is_stopping && claim.preemptable(spec, victim_spec) != Preemptable::Never {
                let cost_s = stop_cost_s(slot, self.now);
                preemptable.push(Victim {
                    cost_s,
                    slot: index,
                });
            }
        }
        preemptable.sort_by(|a, b| a.cost_s.total_cmp(&b.cost_s));
        let mut borrowed = self.borrowed.clone();
        preemptable.retain(|victim| match &candidate.slots[victim.slot].spec {
            Some(victim_spec) => {
                claim.preemptable(spec, victim_spec) == Preemptable::Always
                    || borrowed.try_take(victim_spec)
            }
            None => false,
        });
        preemptable
    }
}

/// Drops victims that are not needed for the task to fit, trying the most expensive
/// first. Victims are chosen cheapest first, so a large one chosen last may make
/// several small ones unnecessary. `free` is what is free when all of them are stopped.
fn drop_unneeded(
    candidate: &CandidateMachine<'_>,
    chosen: Vec<Victim>,
    mut free: ResourceVector,
    need: &ResourceVector,
) -> Victims {
    let mut needed = Vec::new();
    for victim in chosen.into_iter().rev() {
        let mut without = free;
        without -= slot_resources(candidate, victim.slot);
        if without.fits(need) {
            free = without;
        } else {
            needed.push(victim);
        }
    }
    Victims {
        cost_s: needed.iter().map(|victim| victim.cost_s).sum(),
        slots: needed.iter().map(|victim| victim.slot).collect(),
    }
}

/// Returns the resources of the task in a slot.
fn slot_resources(candidate: &CandidateMachine<'_>, slot: usize) -> ResourceVector {
    let spec = candidate.slots[slot].spec.as_deref();
    spec.map(ResourceVector::of_task).unwrap_or_default()
}

/// Returns the cost of stopping a task: lost work and additional waiting, in seconds.
fn stop_cost_s(slot: &Slot, now: MonotonicTime) -> f64 {
    let Some(spec) = &slot.spec else { return 0.0 };
    let ran_s = slot
        .running_since
        .map_or(0.0, |at| now.since(at).as_secs_f64());
    if spec.shape == Shape::Service {
        return SERVICE_STOP_COST_S + ran_s;
    }
    let repeated_startup_s = if ran_s < STARTUP_PERIOD_S {
        REPEATED_STARTUP_COST_S
    } else {
        0.0
    };
    if spec.checkpoint_s.0 > 0.0 {
        spec.save_s.0 + repeated_startup_s
    } else {
        ran_s + repeated_startup_s
    }
}
