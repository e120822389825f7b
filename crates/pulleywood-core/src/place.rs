//! Placement and preemption: which waiting task goes to which machine, and
//! what yields to it.
//!
//! The plan is made anew whenever something changed; a machine's share of it
//! goes out when that machine reports. Teams take turns by weight, after work
//! within a guarantee.

use crate::config::Config;
use crate::ledger::{Job, PartLedger, Slot, SlotState};
use crate::room::{MOST_TASKS, Room, add, within};
use pulleywood_wire::job::{Rank, Shape};
use pulleywood_wire::record::Slots;
use pulleywood_wire::{JobId, JobSpec, MachineId, Moment, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Tasks of a job that begin when it has waited long enough.
const FIRST: u32 = 8;
/// A task stopped for a higher rank makes room in about this many seconds.
const YIELD_S: f64 = 6.0;
/// Most tasks of a job that one plan leaves for room which yields.
const MOST_PASSED: u32 = 64;
/// Most launches in one answer, which has a size too.
const MOST_LAUNCHES: usize = 100;
/// A plan is good for this long if nothing changes.
const PLAN_AGE: Duration = Duration::from_millis(1000);

/// A machine as the plan sees it.
struct Site {
    id: MachineId,
    zone: String,
    flavor: String,
    spot: bool,
    whole: Room,
    free: Room,
    /// Room of tasks that were told to stop.
    coming: Room,
    fetch_rate: f64,
    /// Images present, and those being fetched with the GB still queued.
    images: Vec<String>,
    fetching: Vec<String>,
    queued_gb: f64,
    /// Share held by tasks that may not run on spot machines.
    pinned: f64,
    /// Tasks expected to end here a second.
    ends: f64,
    /// Tasks that one plan may still add.
    left: usize,
}

impl Site {
    fn allows(&self, spec: &JobSpec) -> bool {
        self.left > 0
            && (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|z| *z == self.zone)
            && spec.types.as_ref().is_none_or(|t| t.contains(&self.flavor))
    }

    /// Seconds until a task with this image could start.
    fn delay(&self, spec: &JobSpec) -> f64 {
        if spec.image_gb.0 <= 0.0 || self.images.contains(&spec.image) {
            return 0.0;
        }
        let rate = self.fetch_rate.max(0.001);
        if self.fetching.contains(&spec.image) {
            return self.queued_gb / rate * 0.5;
        }
        (self.queued_gb + spec.image_gb.0) / rate
    }

    /// What it costs to run a task here, in seconds of delay.
    fn cost(&self, spec: &JobSpec, config: &Config) -> f64 {
        let bias = if spec.spot && !self.spot {
            config.policy.spot_bias_s
        } else {
            0.0
        };
        // Fuller machines first, so that others fall idle and can be returned;
        // work bound to ordinary machines gathers on as few as possible.
        let spread = if spec.spot {
            1.0 - self.free.used_of(&self.whole)
        } else {
            1.0 - self.pinned
        };
        self.delay(spec) + bias + 10.0 * spread
    }

    fn take(&mut self, spec: &JobSpec) {
        self.left = self.left.saturating_sub(1);
        let need = Room::of_task(spec);
        self.free -= need;
        if !spec.spot {
            self.pinned += need.share_of(&self.whole);
        }
        if spec.image_gb.0 > 0.0
            && !self.images.contains(&spec.image)
            && !self.fetching.contains(&spec.image)
        {
            self.fetching.push(spec.image.clone());
            self.queued_gb += spec.image_gb.0;
        }
    }
}

/// Whether one more task may go to `zone`. A task that was lent bound to a
/// zone goes there; its home counted it.
fn zone_allows(job: &Job, zones: &BTreeMap<String, u32>, index: u32, zone: &str) -> bool {
    let spec = &job.spec;
    if let Some(bound) = job.bound.get(&index) {
        return bound == zone;
    }
    if spec.one_zone && zones.keys().any(|z| z != zone) {
        return false;
    }
    !spec.spread || zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
}

/// A waiting job in the order of a plan.
struct Turn {
    id: JobId,
    rank: Rank,
    /// Expectations that can still be met, for the work that it takes. When
    /// more waits than fits, this keeps the most promises.
    worth: f64,
    at_ms: u64,
    /// How many of its tasks this turn places.
    most: u32,
    /// An earlier turn of the same plan may have placed some.
    again: bool,
}

/// Tasks a second that end on machines which have the job's image.
fn warm_rate(sites: &[Site], spec: &JobSpec) -> f64 {
    sites
        .iter()
        .filter(|s| s.allows(spec) && s.delay(spec) <= 0.0)
        .map(|s| s.ends)
        .sum()
}

impl PartLedger {
    /// Makes the plan anew if it is out of date.
    pub(crate) fn replan(&mut self, now: Moment, config: &Config) {
        if self.planned_at.is_some_and(|at| now.since(at) < PLAN_AGE) {
            return;
        }
        self.planned_at = Some(now);
        self.plan.clear();
        let mut sites = self.sites(now, config);
        let mut used = self.used(config);
        let mut unplaced: Vec<JobId> = Vec::new();
        let mut ahead = 0;
        let mut kept = false;
        let mut queues = self.queues(now, config);
        while let Some(team) = self.next_team(&queues, &used, config) {
            let Some(queue) = queues.get_mut(&team) else {
                break;
            };
            let Some(turn) = queue.pop() else {
                queues.remove(&team);
                continue;
            };
            if self.place(&turn, &mut sites, &mut used, &mut ahead, config) {
                continue;
            }
            if turn.worth == f64::INFINITY && !kept {
                kept = self.keep_room(&turn.id, &mut sites);
            }
            if !turn.again {
                unplaced.push(turn.id);
            }
        }
        for id in unplaced {
            self.preempt(&id, &mut sites, &used, now, config);
        }
    }

    /// Machines that may be given tasks now.
    fn sites(&self, now: Moment, config: &Config) -> Vec<Site> {
        let fresh = config.report.mul_f64(3.0) + Duration::from_secs(1);
        let mut sites = Vec::new();
        for (id, m) in &self.machines {
            let heard = m.heard.is_some_and(|at| now.since(at) < fresh);
            let usable = m.confirmed
                && heard
                && m.deaf_since.is_none()
                && !m.leaving
                && !m.unfit
                && !m.drains(now)
                && m.taken_at.is_none()
                && !m.has_foreign();
            let Some(flavor) = config.flavors.get(&m.record.flavor).filter(|_| usable) else {
                continue;
            };
            let whole = Room::of_flavor(flavor);
            let mut coming = Room::default();
            let mut fetching = Vec::new();
            let mut queued_gb = 0.0;
            let mut ends = 0.0;
            for slot in m.slots.iter().filter(|s| s.holds_room()) {
                let Some(spec) = &slot.spec else { continue };
                if slot.halt.is_some() {
                    coming += Room::of_task(spec);
                }
                if spec.shape != Shape::Service && slot.state == SlotState::Running {
                    ends += 1.0 / spec.estimate_s.0.max(5.0);
                }
                let waits = matches!(slot.state, SlotState::Sent { .. } | SlotState::Fetching);
                let has = m.images.iter().any(|(n, _)| *n == spec.image);
                if waits && !has && !fetching.contains(&spec.image) {
                    fetching.push(spec.image.clone());
                    queued_gb += spec.image_gb.0;
                }
            }
            sites.push(Site {
                id: id.clone(),
                zone: m.record.zone.clone(),
                flavor: m.record.flavor.clone(),
                spot: m.record.spot,
                whole,
                free: m.free(whole),
                coming,
                fetch_rate: flavor.fetch_gb_per_s.0,
                images: m.images.iter().map(|(n, _)| n.clone()).collect(),
                fetching,
                queued_gb,
                pinned: m.pinned().share_of(&whole),
                ends,
                left: (MOST_TASKS as usize)
                    .saturating_sub(m.slots.len())
                    .min(MOST_LAUNCHES),
            });
        }
        sites
    }

    /// Waiting jobs by team, next one last.
    fn queues(&self, now: Moment, config: &Config) -> BTreeMap<String, Vec<Turn>> {
        let mut queues: BTreeMap<String, Vec<Turn>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if job.waiting.is_empty() || now < job.held_until || self.may_run_unseen(job) {
                continue;
            }
            let turn = |worth, most, again| Turn {
                id: id.clone(),
                rank: job.spec.rank,
                worth,
                at_ms: job.at_ms,
                most,
                again,
            };
            let queue = queues.entry(job.spec.team.clone()).or_default();
            // Nobody waits for ever to begin, however much comes in: large jobs
            // lose by worth to small ones, which kept some from their first
            // task for seven minutes.
            let begun = !job.active.is_empty() || !job.done.is_empty();
            let age = now.since(self.submitted(job)).as_secs_f64();
            let first = !begun && age > config.policy.patience_s;
            if first && job.spec.shape == Shape::Gang {
                queue.push(turn(f64::INFINITY, u32::MAX, false));
                continue;
            }
            if first {
                queue.push(turn(f64::INFINITY, FIRST, false));
            }
            queue.push(turn(self.worth(job, now, config), u32::MAX, first));
        }
        for queue in queues.values_mut() {
            queue.sort_by(|a, b| {
                a.rank
                    .cmp(&b.rank)
                    .then(a.worth.total_cmp(&b.worth))
                    .then((b.at_ms, &b.id).cmp(&(a.at_ms, &a.id)))
            });
        }
        queues
    }

    /// What serving a job now is worth, within its rank.
    fn worth(&self, job: &Job, now: Moment, config: &Config) -> f64 {
        let age = now.since(self.submitted(job));
        let (open, longest) = config.expectations(&job.spec, age);
        // Nor does what has begun wait for ever for its end.
        if age.as_secs_f64() > 3.0 * longest {
            return f64::MAX;
        }
        let work = f64::from(job.waiting.len()) * job.spec.estimate_s.0.max(1.0);
        f64::from(open) / work
    }

    /// A team's usage over all parts, as far as known.
    fn everywhere(&self, team: &str, used: &BTreeMap<String, Slots>) -> Slots {
        let mut sum = used.get(team).copied().unwrap_or_default();
        if let Some(&more) = self.elsewhere.get(team) {
            add(&mut sum, more);
        }
        sum
    }

    /// The team whose turn it is: work within a guarantee first, then rank,
    /// then the least use for its weight.
    fn next_team(
        &self,
        queues: &BTreeMap<String, Vec<Turn>>,
        used: &BTreeMap<String, Slots>,
        config: &Config,
    ) -> Option<String> {
        queues
            .iter()
            .filter_map(|(name, queue)| {
                let turn = queue.last()?;
                let spec = &self.jobs.get(&turn.id)?.spec;
                let mut with = self.everywhere(name, used);
                let weight = config.teams.get(name).map_or(1.0, |t| t.weight).max(1e-6);
                let load = (with.gpus.0 * 1000.0 + with.cpus.0) / weight;
                add(&mut with, Room::of_task(spec).slots());
                let within = config.teams.get(name).is_some_and(|t| t.guarantees(with));
                Some((within, turn.rank, load, name))
            })
            .max_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(b.2.total_cmp(&a.2)))
            .map(|(.., name)| name.clone())
    }

    /// Whether the part's grant lets the team take these slots too.
    fn granted(&self, spec: &JobSpec, used: &BTreeMap<String, Slots>, config: &Config) -> bool {
        let Some(team) = config.teams.get(&spec.team) else {
            return false;
        };
        let grant = self
            .grants
            .teams
            .get(&spec.team)
            .copied()
            .unwrap_or_default();
        within(
            used.get(&spec.team).copied().unwrap_or_default(),
            Room::of_task(spec).slots(),
            grant,
            team.limit,
        )
    }

    /// Keeps the rest of one machine free for a job that has waited long enough
    /// and fits nowhere: as tasks end there, its room grows until a task fits.
    /// Without it, smaller tasks would take each piece that comes free.
    fn keep_room(&self, id: &JobId, sites: &mut [Site]) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let need = Room::of_task(&job.spec);
        let zones = self.by_zone(job);
        let Some(index) = job.waiting.iter().next() else {
            return false;
        };
        let lasting = |site: &Site| {
            let mut room = site.whole;
            let slots = self.machines.get(&site.id).map(|m| &m.slots);
            for slot in slots.into_iter().flatten().filter(|s| s.holds_room()) {
                match &slot.spec {
                    Some(spec) if spec.shape == Shape::Service => room -= Room::of_task(spec),
                    _ => {}
                }
            }
            room
        };
        let best = sites
            .iter_mut()
            .filter(|s| {
                s.allows(&job.spec)
                    && !job.failed_on.contains(&s.id)
                    && zone_allows(job, &zones, index, &s.zone)
                    && lasting(s).fits(&need)
            })
            .min_by(|a, b| {
                let used = |s: &Site| s.free.used_of(&s.whole);
                used(a).total_cmp(&used(b)).then(a.id.cmp(&b.id))
            });
        let Some(site) = best else {
            return false;
        };
        site.free = Room::default();
        true
    }

    /// Plans as many of a job's waiting tasks as fit; whether all did.
    fn place(
        &mut self,
        turn: &Turn,
        sites: &mut [Site],
        used: &mut BTreeMap<String, Slots>,
        ahead: &mut u32,
        config: &Config,
    ) -> bool {
        let id = &turn.id;
        let Some(job) = self.jobs.get(id) else {
            return true;
        };
        let spec = &job.spec;
        let need = Room::of_task(spec);
        let mut zones = self.by_zone(job);
        // What an earlier turn of this plan has placed.
        let mut planned: BTreeSet<u32> = BTreeSet::new();
        for site in sites.iter().filter(|_| turn.again) {
            for task in self.plan.get(&site.id).into_iter().flatten() {
                if &task.job == id {
                    planned.insert(task.index);
                    *zones.entry(site.zone.clone()).or_insert(0) += 1;
                }
            }
        }
        if spec.shape == Shape::Gang {
            // All or nothing: a part of a gang would only wait for the rest.
            let room: u32 = sites
                .iter()
                .filter(|s| s.allows(spec) && !job.failed_on.contains(&s.id))
                .map(|s| s.free.times(&need))
                .sum();
            // Its tasks share an attempt, so none starts again before all are out.
            if room < job.waiting.len() || job.broken {
                return false;
            }
        }
        let mut all = true;
        let mut warm = None;
        let mut passed = 0;
        let waiting = job.waiting.iter().filter(|i| !planned.contains(i));
        for index in waiting.take(turn.most as usize) {
            if !self.granted(spec, used, config) {
                // More room would not help.
                return true;
            }
            let best = sites
                .iter()
                .enumerate()
                .filter(|(_, s)| {
                    s.free.fits(&need)
                        && s.allows(spec)
                        && !job.failed_on.contains(&s.id)
                        && zone_allows(job, &zones, index, &s.zone)
                })
                .min_by(|(_, a), (_, b)| a.cost(spec, config).total_cmp(&b.cost(spec, config)));
            let Some((at, site)) = best else {
                if job.bound.is_empty() {
                    return false;
                }
                // Others may be bound elsewhere.
                all = false;
                continue;
            };
            // Room on a machine that has the image may come free sooner than
            // another fetches it.
            let delay = site.delay(spec);
            if delay > 1.0 && spec.shape == Shape::Array {
                let rate = *warm.get_or_insert_with(|| warm_rate(sites, spec));
                if rate > 0.0 && f64::from(*ahead + 1) / rate < delay {
                    *ahead += 1;
                    continue;
                }
            }
            // So may room that yields to a higher rank.
            if delay > YIELD_S && self.warm_room_yields(sites, job, &zones, index) {
                all = false;
                passed += 1;
                // One job may have very many tasks.
                if passed > MOST_PASSED {
                    return false;
                }
                continue;
            }
            let Some(site) = sites.get_mut(at) else {
                break;
            };
            site.take(spec);
            *zones.entry(site.zone.clone()).or_insert(0) += 1;
            add(used.entry(spec.team.clone()).or_default(), need.slots());
            self.plan.entry(site.id.clone()).or_default().push(TaskId {
                job: id.clone(),
                index,
            });
        }
        all
    }

    /// Whether a machine that has the image could make room for one more task
    /// by stopping lower ranks.
    fn warm_room_yields(
        &self,
        sites: &[Site],
        job: &Job,
        zones: &BTreeMap<String, u32>,
        index: u32,
    ) -> bool {
        let spec = &job.spec;
        let need = Room::of_task(spec);
        sites.iter().any(|site| {
            if site.delay(spec) > 0.0
                || !site.allows(spec)
                || job.failed_on.contains(&site.id)
                || !zone_allows(job, zones, index, &site.zone)
            {
                return false;
            }
            let mut room = site.free;
            room += site.coming;
            let slots = self.machines.get(&site.id).map(|m| &m.slots);
            for slot in slots.into_iter().flatten() {
                if let Some(victim) = &slot.spec
                    && slot.halt.is_none()
                    && slot.holds_room()
                    && victim.rank < spec.rank
                {
                    room += Room::of_task(victim);
                }
            }
            room.fits(&need)
        })
    }

    /// Stops what must yield to a job that found no room, cheapest first.
    /// Room that is already coming free is counted before more is taken.
    fn preempt(
        &mut self,
        id: &JobId,
        sites: &mut [Site],
        used: &BTreeMap<String, Slots>,
        now: Moment,
        config: &Config,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let spec = std::sync::Arc::clone(&job.spec);
        let need = Room::of_task(&spec);
        let planned: BTreeSet<u32> = self
            .plan
            .values()
            .flatten()
            .filter(|t| &t.job == id)
            .map(|t| t.index)
            .collect();
        // What is planned counts by zone like what runs: without it a spread
        // job's second task was once sent to the zone of its first.
        let mut zones = self.by_zone(job);
        for site in sites.iter() {
            let here = self.plan.get(&site.id).into_iter().flatten();
            let n = here.filter(|t| &t.job == id).count() as u32;
            if n > 0 {
                *zones.entry(site.zone.clone()).or_insert(0) += n;
            }
        }
        let waiting: Vec<u32> = job
            .waiting
            .iter()
            .filter(|i| !planned.contains(i))
            .collect();
        let mut used = used.clone();
        for index in waiting {
            let Some(job) = self.jobs.get(id) else {
                return;
            };
            if !self.granted(&spec, &used, config) {
                return;
            }
            let mut best: Option<(f64, usize, Vec<usize>)> = None;
            for (at, site) in sites.iter().enumerate() {
                if !site.allows(&spec)
                    || job.failed_on.contains(&site.id)
                    || !zone_allows(job, &zones, index, &site.zone)
                    || !site.whole.fits(&need)
                {
                    continue;
                }
                let Some((loss, victims)) = self.victims(site, &spec, &need, &used, now, config)
                else {
                    continue;
                };
                let cost = loss + site.delay(&spec);
                if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                    best = Some((cost, at, victims));
                }
            }
            let Some((_, at, victims)) = best else {
                if job.bound.is_empty() {
                    return;
                }
                continue;
            };
            let site = &mut sites[at];
            let whole = spec.shape != Shape::Gang;
            if victims.is_empty() && whole && site.free.fits(&need) {
                site.take(&spec);
                *zones.entry(site.zone.clone()).or_insert(0) += 1;
                add(used.entry(spec.team.clone()).or_default(), need.slots());
                self.plan.entry(site.id.clone()).or_default().push(TaskId {
                    job: id.clone(),
                    index,
                });
                continue;
            }
            if let Some(machine) = self.machines.get_mut(&site.id) {
                for v in victims {
                    let slot = &mut machine.slots[v];
                    if let Some(victim) = &slot.spec {
                        slot.halt = Some(victim.save_s.0 + 1.0);
                        site.coming += Room::of_task(victim);
                    }
                }
            }
            // The room now belongs to this job.
            let mut room = site.free;
            room += site.coming;
            room -= need;
            site.coming = room;
            site.free = Room::default();
            *zones.entry(site.zone.clone()).or_insert(0) += 1;
            add(used.entry(spec.team.clone()).or_default(), need.slots());
        }
    }

    /// The cheapest tasks to stop on one machine, and what is lost by it;
    /// nothing if stopping all that may be stopped would not do.
    fn victims(
        &self,
        site: &Site,
        spec: &JobSpec,
        need: &Room,
        used: &BTreeMap<String, Slots>,
        now: Moment,
        config: &Config,
    ) -> Option<(f64, Vec<usize>)> {
        let machine = self.machines.get(&site.id)?;
        let mut room = site.free;
        room += site.coming;
        if room.fits(need) {
            return Some((0.0, Vec::new()));
        }
        let mut mine = self.everywhere(&spec.team, used);
        add(&mut mine, need.slots());
        let within = config
            .teams
            .get(&spec.team)
            .is_some_and(|t| t.guarantees(mine));
        let mut candidates: Vec<(f64, usize)> = machine
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.halt.is_none() && slot.holds_room())
            .filter(|(_, slot)| {
                slot.spec.as_ref().is_some_and(|victim| {
                    let beyond = victim.team != spec.team
                        && !config
                            .teams
                            .get(&victim.team)
                            .is_some_and(|t| t.guarantees(self.everywhere(&victim.team, used)));
                    victim.rank < spec.rank || (within && beyond)
                })
            })
            .map(|(at, slot)| (loss(slot, now), at))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut lost = 0.0;
        let mut victims = Vec::new();
        for (loss, at) in candidates {
            if let Some(victim) = &machine.slots[at].spec {
                room += Room::of_task(victim);
                lost += loss;
                victims.push(at);
            }
            if room.fits(need) {
                return Some((lost, victims));
            }
        }
        None
    }
}

/// A task that has run this long has started in its user's eyes.
const FRESH_S: f64 = 30.0;

/// Seconds of work and waiting that stopping a task costs.
fn loss(slot: &Slot, now: Moment) -> f64 {
    let Some(spec) = &slot.spec else { return 0.0 };
    let ran = slot
        .running_since
        .map_or(0.0, |at| now.since(at).as_secs_f64());
    if spec.shape == Shape::Service {
        return 60.0 + ran;
    }
    // A start that is undone at once was none to its user.
    let fresh = if ran < FRESH_S { 20.0 } else { 0.0 };
    if spec.checkpoint_s.0 > 0.0 {
        spec.save_s.0 + fresh
    } else {
        ran + fresh
    }
}
